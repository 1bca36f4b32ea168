// The client of the quota counter, against scripted counters over loopback sockets.
#include "counter_client.hpp"

#include <list>

#include "limits.hpp"
#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

struct CounterTest : ::testing::Test {
  void start(const Tcp::endpoint& at, Duration timeout = 50ms) {
    counter.emplace(
        loop.io, timers, at, timeout, [this](const CounterResponse& a) { responses.push_back(a); },
        [this] { ++recoveries; });
    ASSERT_TRUE(loop.until([&] { return counter->has_tried_all(); }));
  }
  void call(std::uint64_t name, double amount = 2) { counter->add(CounterKey(name), amount, 4s); }
  bool wait_for(std::size_t n) {
    return loop.until([&] { return responses.size() >= n; });
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<CounterResponse> responses;
  int recoveries = 0;  // how often the counter was reported to answer again
  std::optional<CounterClient> counter;
};

// Returns a handler that answers each line with the script's result.
std::function<void(Wire&)> answer_lines(std::function<std::string(const std::string&)> script) {
  return [script](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line()) w.send(script(l));
  };
}

// Guards against a call or response in another format than the counter's protocol.
TEST_F(CounterTest, CallIsOneLineAndOkGivesTheTotal) {
  std::string received_line;
  Peer server(loop.io,
              answer_lines([&](const std::string& l) { return received_line = l, "ok 7.5\r\n"; }));
  start(server.endpoint());
  counter->add(CounterKey(40), -2.5, 4s);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(received_line, "incr 40 -2.5 4000");
  EXPECT_EQ(responses[0].outcome, CounterOutcome::ok);
  EXPECT_EQ(responses[0].total, 7.5);
}
// Calls with names of their own must get their outcome through their own callback, and never
// through that for quota calls.
TEST_F(CounterTest, OtherCallsHaveNamesAndAnswersOfTheirOwn) {
  std::string received_line;
  Peer server(loop.io, answer_lines([&](const std::string& l) {
                return received_line = l,
                       l.starts_with("incr late ") ? std::string() : std::string("ok 3\r\n");
              }));
  start(server.endpoint());
  std::vector<std::pair<CounterOutcome, double>> answers;
  const auto note = [&](CounterOutcome o, double total) { answers.emplace_back(o, total); };
  counter->call("d/book/77", 3, 1500ms, note);
  ASSERT_TRUE(loop.until([&] { return answers.size() == 1; }));
  EXPECT_EQ(received_line, "incr d/book/77 3 1500");
  EXPECT_EQ(answers[0], std::pair(CounterOutcome::ok, 3.0));
  counter->call("late", 1, 4s, note);
  ASSERT_TRUE(loop.until([&] { return answers.size() == 2; }));
  EXPECT_EQ(answers[1].first, CounterOutcome::timeout);
  server.stop();
  ASSERT_TRUE(loop.until([&] {
    counter->call("gone", 1, 4s, note);
    return answers.back().first == CounterOutcome::refused;
  }));
  EXPECT_TRUE(responses.empty());
}
// The counter's "busy" and "error" state that nothing was added; they must count as refused.
TEST_F(CounterTest, BusyAndErrorAddedNothing) {
  Peer server(loop.io, answer_lines([](const std::string& l) {
                return l.starts_with("incr 4 ") ? std::string("busy\r\n")
                                                : std::string("error\r\n");
              }));
  start(server.endpoint());
  call(4), call(8);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::refused);
  EXPECT_EQ(responses[1].outcome, CounterOutcome::refused);
}
// A call that was never written must be reported as refused, not as unknown.
TEST_F(CounterTest, NothingListensIsRefused) {
  Tcp::endpoint at;
  {
    Peer gone(loop.io);
    at = gone.endpoint();
  }
  start(at);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::refused);
}
// A counter slower than the configured timeout: its first response arrives late, and the client
// must learn from it how long to wait for the next one. Otherwise every call times out.
TEST_F(CounterTest, ACounterThatTakesLongerThanItsTimeForEachCallIsWaitedFor) {
  std::shared_ptr<Wire> connection;
  Peer server(loop.io, [&](Wire& w) {
    if (w.line().starts_with("incr")) connection = w.shared_from_this();
  });
  start(server.endpoint(), 500ms);
  const auto answered_after = [&](Duration pause) {
    connection.reset();
    timers.after(pause, [&] { connection->send("ok 2\r\n"); });
    call(1);
  };
  answered_after(1500ms);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
  bool over = false;
  timers.after(1700ms, [&] { over = true; });  // the late response has arrived
  ASSERT_TRUE(loop.until([&] { return over; }));
  answered_after(600ms);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(responses[1].outcome, CounterOutcome::ok);
}
// Responses arrive in the order of the calls. The late response of a call that timed out must not
// be taken for that of the next call.
TEST_F(CounterTest, LateAnswerIsConsumed) {
  std::shared_ptr<Wire> w;
  Peer server(loop.io, [&](Wire& x) { w = x.shared_from_this(); });
  start(server.endpoint(), 2s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
  call(4);
  ASSERT_TRUE(loop.until([&] { return w && w->in.find("\r\nincr 4") != std::string::npos; }));
  w->send("ok 2\r\nok 4\r\n");
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(responses.size(), 2u);
  EXPECT_EQ(responses[1].outcome, CounterOutcome::ok);
  EXPECT_EQ(responses[1].total, 4);
}
// A connection reset after the call was written: the amount may have been added, so the outcome is
// unknown and must not be reported as refused.
TEST_F(CounterTest, ResetAfterTheCallIsNotKnown) {
  Peer server(loop.io, [](Wire& w) {
    if (!w.line().empty()) w.reset();
  });
  start(server.endpoint(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
}
// After a reset the client must connect again and serve further calls.
TEST_F(CounterTest, ReconnectsAndGoesOn) {
  int received_calls = 0;
  Peer server(loop.io, [&](Wire& w) {
    if (w.line().empty()) return;
    if (++received_calls == 1) return w.reset();
    w.send("ok 2\r\n");
  });
  start(server.endpoint(), 5s);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == limits::kCounterConnections; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  ASSERT_TRUE(loop.until([&] { return server.wires.size() > limits::kCounterConnections; }));
  ASSERT_TRUE(loop.until([&] {
    responses.clear();
    call(4);
    return loop.until([&] { return !responses.empty(); }) &&
           responses[0].outcome == CounterOutcome::ok;
  }));
}
// A machine that vanished answers no connect; a full accept queue stands for it. The connects must
// be given up soon, or a short outage lasts longer for this node.
TEST_F(CounterTest, AConnectionThatNeverComesUpIsGivenUpSoon) {
  Tcp::acceptor full(loop.io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), false);
  full.listen(0);
  std::list<Socket> queued;
  for (int i = 0; i < 8; ++i) {
    queued.emplace_back(loop.io.get_executor());
    queued.back().async_connect(full.local_endpoint(), [](const error_code&) {});
  }
  bool late = false;
  counter.emplace(
      loop.io, timers, full.local_endpoint(), 50ms,
      [this](const CounterResponse& a) { responses.push_back(a); }, [] {});
  timers.after(700ms, [&] { late = true; });  // a second would prolong a short outage by half
  ASSERT_TRUE(loop.until([&] { return late || counter->has_tried_all(); }));
  EXPECT_FALSE(late);
}
// A machine that vanished leaves its connections open and silent. After a timeout the client must
// open a new connection.
TEST_F(CounterTest, SilentConnectionIsReplaced) {
  Peer server(loop.io);
  start(server.endpoint(), 20ms);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == limits::kCounterConnections; }));
  call(4);
  EXPECT_TRUE(loop.until([&] { return server.wires.size() > limits::kCounterConnections; }));
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
}
// A counter that stopped answering must be pinged, on the silent connection and on its
// replacements, so that its recovery is noticed without a call that could time out.
// Guards against a counter whose answer comes byte by byte and never ends: each byte passed for a
// sign of life, and calls behind it waited for as long.
TEST_F(CounterTest, AnAnswerThatTricklesEndsItsConnection) {
  constexpr Duration kTimeout = 50ms;
  std::shared_ptr<Wire> trickling;
  Peer server(loop.io, [&](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line())
      if (l == "ping")
        w.send("pong\r\n");
      else
        trickling = w.shared_from_this();
  });
  start(server.endpoint(), kTimeout);
  call(7);
  ASSERT_TRUE(loop.until([&] { return trickling != nullptr; }));
  const auto start_time = std::chrono::steady_clock::now();
  while (!trickling->ended && std::chrono::steady_clock::now() - start_time < 5s) {
    trickling->send("o");
    const auto next = std::chrono::steady_clock::now() + kTimeout;
    loop.until([&] { return std::chrono::steady_clock::now() >= next; });
  }
  EXPECT_TRUE(trickling->ended);
  EXPECT_LT(std::chrono::steady_clock::now() - start_time,
            2 * limits::kCounterSilenceTimeouts * kTimeout);
}
TEST_F(CounterTest, ASilentCounterIsPingedUntilItIsThereAgain) {
  bool silent = true;
  std::size_t calls = 0;
  const auto answer = [&](const std::string& l) {
    calls += l != "ping";
    return silent ? std::string() : std::string(l == "ping" ? "pong\r\n" : "ok 1\r\n");
  };
  Peer server(loop.io, answer_lines(answer));
  start(server.endpoint(), 20ms);
  call(4);
  ASSERT_TRUE(wait_for(1));
  ASSERT_TRUE(loop.until([&] {
    return server.wires.size() > limits::kCounterConnections + 1;
  }));  // two replacements of the silent connection
  EXPECT_EQ(recoveries, 0);
  silent = false;
  EXPECT_TRUE(loop.until([&] { return recoveries > 0; }));
  EXPECT_EQ(calls, 1U);
  call(4);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(responses[1].outcome, CounterOutcome::ok);
  EXPECT_EQ(recoveries, 1);  // reported once
}
// After a response that does not parse, the order of responses is lost: the connection must be
// closed.
TEST_F(CounterTest, NonsenseEndsTheConnection) {
  Peer server(loop.io,
              answer_lines([](const std::string&) { return std::string("ok seven\r\n"); }));
  start(server.endpoint(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::any_of(server.wires, [](const auto& w) { return w->ended; }); }));
}
// Not-a-number and infinity parse as floating-point values. Taken for a total they would let every
// request pass.
TEST_F(CounterTest, NotANumberAndInfinityAreNoTotals) {
  for (const std::string total : {"nan", "-nan", "inf", "-inf", ""}) {
    responses.clear();
    Peer server(loop.io, answer_lines([&](const std::string&) { return "ok " + total + "\r\n"; }));
    start(server.endpoint(), 5s);
    call(4);
    ASSERT_TRUE(wait_for(1));
    EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout) << total;
  }
}
// Guards against a buffer that grows without bound on a line that never ends.
TEST_F(CounterTest, EndlessLineEndsTheConnection) {
  Peer server(loop.io, [](Wire& w) { w.in.clear(), w.send(std::string(10000, '7')); });
  start(server.endpoint(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::timeout);
}
// Calls for one key must reach the counter in order, so they must all use the same connection.
TEST_F(CounterTest, OneNameKeepsToOneConnectionInOrder) {
  std::vector<std::string> received;
  Peer server(loop.io, answer_lines([&](const std::string& l) {
                received.push_back(l);
                return "ok " + std::to_string(received.size()) + "\r\n";
              }));
  start(server.endpoint());
  for (int i = 1; i <= 20; ++i) call(4, i);
  ASSERT_TRUE(wait_for(20));
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(received[i], "incr 4 " + std::to_string(i + 1) + " 4000");
    EXPECT_EQ(responses[i].total, static_cast<double>(i + 1));
  }
}
// The counter closes a connection that idles for about 10 s, so the client must ping it before.
TEST_F(CounterTest, PingKeepsAnIdleConnection) {
  std::size_t pings = 0;
  Peer server(loop.io, answer_lines([&](const std::string& l) {
                pings += l == "ping";
                return l == "ping" ? std::string("pong\r\n") : std::string("ok 1\r\n");
              }));
  start(server.endpoint());
  ASSERT_TRUE(loop.until([&] { return pings >= limits::kCounterConnections; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(responses[0].outcome, CounterOutcome::ok);
  EXPECT_EQ(server.wires.size(), limits::kCounterConnections);
}

}  // namespace
}  // namespace petrelrail::test
