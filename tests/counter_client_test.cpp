// The counter's client over loopback sockets.
#include "counter_client.hpp"

#include <list>

#include "limits.hpp"
#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

struct CounterTest : ::testing::Test {
  void start(const Tcp::endpoint& at, Duration timeout = 50ms) {
    counter.emplace(
        loop.io, timers, at, timeout, [this](const CounterResponse& a) { told.push_back(a); },
        [this] { ++heard; });
    ASSERT_TRUE(loop.until([&] { return counter->has_tried_all(); }));
  }
  void call(std::uint64_t name, double amount = 2) { counter->add(CounterKey(name), amount, 4s); }
  bool wait_for(std::size_t n) {
    return loop.until([&] { return told.size() >= n; });
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<CounterResponse> told;
  int heard = 0;  // how often the counter was there again
  std::optional<CounterClient> counter;
};

// Answers each line by a script.
std::function<void(Wire&)> lines(std::function<std::string(const std::string&)> script) {
  return [script](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line()) w.send(script(l));
  };
}

TEST_F(CounterTest, CallIsOneLineAndOkGivesTheTotal) {
  std::string asked;
  Peer server(loop.io, lines([&](const std::string& l) { return asked = l, "ok 7.5\r\n"; }));
  start(server.at());
  counter->add(CounterKey(40), -2.5, 4s);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(asked, "incr 40 -2.5 4000");
  EXPECT_EQ(told[0].outcome, CounterOutcome::ok);
  EXPECT_EQ(told[0].total, 7.5);
}
TEST_F(CounterTest, OtherCallsHaveNamesAndAnswersOfTheirOwn) {
  std::string asked;
  Peer server(loop.io, lines([&](const std::string& l) {
                return asked = l,
                       l.starts_with("incr late ") ? std::string() : std::string("ok 3\r\n");
              }));
  start(server.at());
  std::vector<std::pair<CounterOutcome, double>> answers;
  const auto note = [&](CounterOutcome o, double total) { answers.emplace_back(o, total); };
  counter->call("d/book/77", 3, 1500ms, note);
  ASSERT_TRUE(loop.until([&] { return answers.size() == 1; }));
  EXPECT_EQ(asked, "incr d/book/77 3 1500");
  EXPECT_EQ(answers[0], std::pair(CounterOutcome::ok, 3.0));
  counter->call("late", 1, 4s, note);
  ASSERT_TRUE(loop.until([&] { return answers.size() == 2; }));
  EXPECT_EQ(answers[1].first, CounterOutcome::timeout);
  server.stop();
  ASSERT_TRUE(loop.until([&] {
    counter->call("gone", 1, 4s, note);
    return answers.back().first == CounterOutcome::refused;
  }));
  EXPECT_TRUE(told.empty());
}
TEST_F(CounterTest, BusyAndErrorAddedNothing) {
  Peer server(loop.io, lines([](const std::string& l) {
                return l.starts_with("incr 4 ") ? std::string("busy\r\n")
                                                : std::string("error\r\n");
              }));
  start(server.at());
  call(4), call(8);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[0].outcome, CounterOutcome::refused);
  EXPECT_EQ(told[1].outcome, CounterOutcome::refused);
}
TEST_F(CounterTest, NothingListensIsRefused) {
  Tcp::endpoint at;
  {
    Peer gone(loop.io);
    at = gone.at();
  }
  start(at);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::refused);
}
// One that is slow by nature: its first answer comes after the settings' time, and teaches how long
// to wait for the next.
TEST_F(CounterTest, ACounterThatTakesLongerThanItsTimeForEachCallIsWaitedFor) {
  std::shared_ptr<Wire> asked;
  Peer server(loop.io, [&](Wire& w) {
    if (w.line().starts_with("incr")) asked = w.shared_from_this();
  });
  start(server.at(), 500ms);
  const auto answered_after = [&](Duration pause) {
    asked.reset();
    timers.after(pause, [&] { asked->send("ok 2\r\n"); });
    call(1);
  };
  answered_after(1500ms);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
  bool over = false;
  timers.after(1700ms, [&] { over = true; });  // the late one has come
  ASSERT_TRUE(loop.until([&] { return over; }));
  answered_after(600ms);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].outcome, CounterOutcome::ok);
}
// Answers come in the order of the calls: the late answer of a call that was given up is not the
// next one's.
TEST_F(CounterTest, LateAnswerIsConsumed) {
  std::shared_ptr<Wire> w;
  Peer server(loop.io, [&](Wire& x) { w = x.shared_from_this(); });
  start(server.at(), 2s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
  call(4);
  ASSERT_TRUE(loop.until([&] { return w && w->in.find("\r\nincr 4") != std::string::npos; }));
  w->send("ok 2\r\nok 4\r\n");
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told.size(), 2u);
  EXPECT_EQ(told[1].outcome, CounterOutcome::ok);
  EXPECT_EQ(told[1].total, 4);
}
// Written and then broken: it may have been added.
TEST_F(CounterTest, ResetAfterTheCallIsNotKnown) {
  Peer server(loop.io, [](Wire& w) {
    if (!w.line().empty()) w.reset();
  });
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
}
TEST_F(CounterTest, ReconnectsAndGoesOn) {
  int lives = 0;
  Peer server(loop.io, [&](Wire& w) {
    if (w.line().empty()) return;
    if (++lives == 1) return w.reset();
    w.send("ok 2\r\n");
  });
  start(server.at(), 5s);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == limits::kCounterConnections; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  ASSERT_TRUE(loop.until([&] { return server.wires.size() > limits::kCounterConnections; }));
  ASSERT_TRUE(loop.until([&] {
    told.clear();
    call(4);
    return loop.until([&] { return !told.empty(); }) && told[0].outcome == CounterOutcome::ok;
  }));
}
// A machine that vanished keeps its connections open and silent: after some time-outs a new one is
// tried. As one whose machine is lost: its queue of connections is full, and no further one comes
// up.
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
      [this](const CounterResponse& a) { told.push_back(a); }, [] {});
  timers.after(700ms, [&] { late = true; });  // a second would be half of a short outage once more
  ASSERT_TRUE(loop.until([&] { return late || counter->has_tried_all(); }));
  EXPECT_FALSE(late);
}
TEST_F(CounterTest, SilentConnectionIsReplaced) {
  Peer server(loop.io);
  start(server.at(), 20ms);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == limits::kCounterConnections; }));
  call(4);
  EXPECT_TRUE(loop.until([&] { return server.wires.size() > limits::kCounterConnections; }));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
}
// On the connection that was silent, and on the one that takes its place: no call has to be risked
// to know.
TEST_F(CounterTest, ASilentCounterIsPingedUntilItIsThereAgain) {
  bool silent = true;
  std::size_t calls = 0;
  const auto answer = [&](const std::string& l) {
    calls += l != "ping";
    return silent ? std::string() : std::string(l == "ping" ? "pong\r\n" : "ok 1\r\n");
  };
  Peer server(loop.io, lines(answer));
  start(server.at(), 20ms);
  call(4);
  ASSERT_TRUE(wait_for(1));
  ASSERT_TRUE(loop.until([&] {
    return server.wires.size() > limits::kCounterConnections + 1;
  }));  // two have followed it
  EXPECT_EQ(heard, 0);
  silent = false;
  EXPECT_TRUE(loop.until([&] { return heard > 0; }));
  EXPECT_EQ(calls, 1U);
  call(4);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].outcome, CounterOutcome::ok);
  EXPECT_EQ(heard, 1);  // once
}
TEST_F(CounterTest, NonsenseEndsTheConnection) {
  Peer server(loop.io, lines([](const std::string&) { return std::string("ok seven\r\n"); }));
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::any_of(server.wires, [](const auto& w) { return w->ended; }); }));
}
// These read as floating-point values, and a total that is none of them would let every request
// pass.
TEST_F(CounterTest, NotANumberAndInfinityAreNoTotals) {
  for (const std::string total : {"nan", "-nan", "inf", "-inf", ""}) {
    told.clear();
    Peer server(loop.io, lines([&](const std::string&) { return "ok " + total + "\r\n"; }));
    start(server.at(), 5s);
    call(4);
    ASSERT_TRUE(wait_for(1));
    EXPECT_EQ(told[0].outcome, CounterOutcome::timeout) << total;
  }
}
TEST_F(CounterTest, EndlessLineEndsTheConnection) {
  Peer server(loop.io, [](Wire& w) { w.in.clear(), w.send(std::string(10000, '7')); });
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::timeout);
}
TEST_F(CounterTest, OneNameKeepsToOneConnectionInOrder) {
  std::vector<std::string> asked;
  Peer server(loop.io, lines([&](const std::string& l) {
                asked.push_back(l);
                return "ok " + std::to_string(asked.size()) + "\r\n";
              }));
  start(server.at());
  for (int i = 1; i <= 20; ++i) call(4, i);
  ASSERT_TRUE(wait_for(20));
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(asked[i], "incr 4 " + std::to_string(i + 1) + " 4000");
    EXPECT_EQ(told[i].total, static_cast<double>(i + 1));
  }
}
// The counter closes a connection that idles for about 10 s.
TEST_F(CounterTest, PingKeepsAnIdleConnection) {
  std::size_t pings = 0;
  Peer server(loop.io, lines([&](const std::string& l) {
                pings += l == "ping";
                return l == "ping" ? std::string("pong\r\n") : std::string("ok 1\r\n");
              }));
  start(server.at());
  ASSERT_TRUE(loop.until([&] { return pings >= limits::kCounterConnections; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CounterOutcome::ok);
  EXPECT_EQ(server.wires.size(), limits::kCounterConnections);
}

}  // namespace
}  // namespace petrelrail::test
