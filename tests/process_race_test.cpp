// Tests of the petrelrail program under simultaneous faults: descriptors run out while discovery is
// down, the counter is missing at the start, signals arrive during a shutdown or reload.
#include "agent.hpp"
#include "race_fixture.hpp"

namespace petrelrail::test {
namespace {

// A peer that accepts connections and resets each immediately.
class Breaker {
 public:
  explicit Breaker(asio::io_context& io)
      : acceptor_(io.get_executor(), {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }
  std::string text() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const error_code& failed, Socket s) {
      if (failed) return;
      std::make_shared<Wire>(std::move(s))->reset();
      accept();
    });
  }
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
};

// ---- Descriptors --------------------------------------------------------------------------------

struct Full : Crossing {
  static constexpr std::size_t kLimit = 128, kClients = 300;
  Full() { config["discovery"] = quiet.text(), config["limits"]["sockets"] = kLimit; }

  // Opens more client connections than the process has descriptors for; each is answered once and
  // then idles, or is closed.
  void fill() {
    for (std::size_t i = 0; i < kClients; ++i) {
      many.push_back(loop.connect(listen));
      many.back()->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    ASSERT_TRUE(loop.until([&] {
      return std::ranges::all_of(many, [](const auto& w) { return w->ended || !w->in.empty(); });
    }));
    ASSERT_TRUE(loop.until([&] { return kept() <= kLimit; }));
    EXPECT_GT(kept(), kLimit / 4);
  }
  void leaves_room(rlim_t descriptors);
  void answers_or_ends(rlim_t descriptors);
  std::size_t kept() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(many, [](const auto& w) { return !w->ended; }));
  }

  std::vector<std::shared_ptr<Wire>> many;
  Peer other{loop.io, [](Wire& w) {
               while (!w.message().empty()) w.send(http_answer("200 OK", "other"));
             }};
  Peer quiet{loop.io,
             [this](Wire& w) {
               if (w.message().empty()) return;
               const auto port = std::to_string(other.endpoint().port());
               w.send(kHead + chunk(list(2, true,
                                         member("s-00000002", "SERVING", port) + "," +
                                             member("s-00000003", "SERVING", port))));
             },
             false};
};
void Full::leaves_room(rlim_t descriptors) {
  run(descriptors);
  ASSERT_TRUE(up());
  ASSERT_NO_FATAL_FAILURE(fill());
  EXPECT_LE(sockets(), kLimit);
  EXPECT_TRUE(figures().starts_with("HTTP/1.1 200 "));
  const auto lost = counter.wires.size();
  ASSERT_GT(lost, 0U);
  for (const auto& w : counter.wires) w->reset();
  EXPECT_TRUE(loop.until([&] { return counter.wires.size() >= 2 * lost; }));
  EXPECT_LE(sockets(), kLimit);
  const auto before = loop.connect(listen);
  before->send(ProcessTest::ask());
  EXPECT_TRUE(served(before));
  quiet.accept();
  EXPECT_TRUE(loop.until([&] { return figure("node_targets") == "2"; })) << figures();
  const auto w = loop.connect(listen);
  w->send(ProcessTest::ask());
  ASSERT_TRUE(loop.until([&] { return w->in.find("\r\n\r\nother") != std::string::npos; }))
      << w->in;
  EXPECT_GT(kept(), kLimit / 4);
  EXPECT_LE(sockets(), kLimit);
  EXPECT_LT(std::ranges::count(log(), '\n'), 20) << log();
}
// Guards against idle clients that use up all descriptors: the control address, the counter,
// discovery when it comes back, and new price servers must still get connections.
TEST_F(Full, IdleClientsLeaveTheRestWhatItNeedsWhileDiscoveryIsDown) { leaves_room(kLimit); }
// The operating system permits more descriptors than the configuration: the program must keep to
// the configured limit.
TEST_F(Full, IdleClientsLeaveTheRestWhatItNeedsWhereOnlyTheSettingsLimitThem) { leaves_room(1024); }
// The configured limit is above the operating system's: the lack appears only when accept()
// fails, clients must still be served, and the failures must not add a log line each.
TEST_F(Full, ALimitBelowTheOneToldLeavesClientsServed) {
  config["limits"]["sockets"] = 1024;
  run(kLimit);
  ASSERT_TRUE(up());
  ASSERT_NO_FATAL_FAILURE(fill());
  const auto w = loop.connect(listen);
  w->send(ProcessTest::ask());
  EXPECT_TRUE(served(w));
  EXPECT_LE(sockets(), kLimit);
  EXPECT_LT(std::ranges::count(log(), '\n'), 20) << log();
}
// More clients send a request at the same time than descriptors permit. Each must get an answer
// or a closed connection, though no client hangs up. Meanwhile the accepted requests keep their
// connections, and the other clients wait unaccepted.
void Full::answers_or_ends(rlim_t descriptors) {
  std::vector<std::shared_ptr<Wire>> out;
  server.on([&](Wire& w) {
    if (!w.message().empty()) out.push_back(w.shared_from_this());
  });
  config["settings"]["packages"][0]["units-per-s"] = 0;  // 0: no request waits for quota
  run(descriptors);
  ASSERT_TRUE(up());
  char name[17];
  for (std::size_t i = 0; i < kClients; ++i) {
    std::snprintf(name, sizeof name, "%016zx", i + 1);
    many.push_back(loop.connect(listen));
    many.back()->send(ask("20000", name));
  }
  ASSERT_TRUE(loop.until([&] { return !out.empty(); }));
  EXPECT_LE(sockets(), kLimit);
  const auto told = figures();
  EXPECT_TRUE(told.starts_with("HTTP/1.1 200 ")) << told << log();
  for (std::string before; before != figure("node_sessions");) before = figure("node_sessions");
  EXPECT_LE(sockets(), kLimit);
  server.on([](Wire& w) {
    if (!w.message().empty()) w.send(http_answer("200 OK", "served"));
  });
  for (const auto& w : server.wires)
    w->on_data = [](Wire& x) {
      if (!x.message().empty()) x.send(http_answer("200 OK", "served"));
    };
  for (const auto& w : out) w->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(loop.until([&] {
    return std::ranges::all_of(many, [](const auto& w) { return w->ended || !w->in.empty(); });
  }));
  EXPECT_LE(sockets(), kLimit);
}
// Guards against requests that hang when the descriptors run out at the system's limit.
TEST_F(Full, MoreClientsThanFitThatAskAtOnceAreAnsweredOrClosed) { answers_or_ends(kLimit); }
// The same where only the configuration limits the number of descriptors.
TEST_F(Full, MoreClientsThanFitAreAnsweredOrClosedWhereOnlyTheSettingsLimitThem) {
  answers_or_ends(1024);
}

// ---- Readiness ----------------------------------------------------------------------------------

struct Readiness : Crossing {
  Readiness() { config["discovery"] = quiet.text(); }
  // Returns the status of the first readiness check that is answered.
  int first_word() {
    int status = 0;
    EXPECT_TRUE(loop.until([&] {
      try {
        const auto w = loop.connect(listen);
        w->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        status = answered(w);
        return true;
      } catch (const boost::system::system_error&) {
        return false;  // The program does not listen yet.
      }
    }));
    return status;
  }
  void tell(const std::string& members) { members_now = members, quiet.accept(); }

  std::string members_now;
  Peer quiet{loop.io,
             [this](Wire& w) {
               if (!w.message().empty()) w.send(kHead + chunk(list(2, true, members_now)));
             },
             false};
};
// Guards against a start that waits for the counter: the node becomes ready though the counter
// accepts connections and never answers.
TEST_F(Readiness, ComesWithACounterThatNeverAnswers) {
  Peer mute(loop.io);
  config["counter"] = mute.text();
  run();
  EXPECT_TRUE(up());
}
// The node becomes ready though the counter does not accept connections.
TEST_F(Readiness, ComesWithACounterThatAcceptsNothing) {
  Peer deaf(loop.io, {}, false);
  config["counter"] = deaf.text();
  run();
  EXPECT_TRUE(up());
}
// The node becomes ready though the counter's address refuses connections.
TEST_F(Readiness, ComesWithACounterThatRefuses) {
  counter.close();
  run();
  EXPECT_TRUE(up());
}
// The node becomes ready though the counter resets each connection.
TEST_F(Readiness, ComesWithACounterThatBreaksEachConnection) {
  Breaker breaker(loop.io);
  config["counter"] = breaker.text();
  run();
  EXPECT_TRUE(up());
}
// The node becomes ready from its known list though discovery refuses connections.
TEST_F(Readiness, ComesWithDiscoveryThatRefuses) {
  quiet.close();
  run();
  EXPECT_TRUE(up());
}
// Guards against reporting ready without a price server: with an empty known list the node
// answers 503 until discovery names one.
TEST_F(Readiness, AnEmptyKnownListIsNotReadyUntilDiscoveryNamesAServer) {
  config["known"]["members"] = json::array();
  run();
  EXPECT_EQ(first_word(), 503);
  tell(member("s-00000002", "SERVING", std::to_string(server.endpoint().port())));
  EXPECT_TRUE(up());
  const auto w = loop.connect(listen);
  w->send(ProcessTest::ask());
  EXPECT_TRUE(served(w));
}
// A known list with only draining and deleted price servers counts as empty: the node answers
// 503 until discovery names a serving one.
TEST_F(Readiness, AKnownListThatNamesOnlyServersThatDrainOrAreGoneIsNotReadyEither) {
  auto& members = config["known"]["members"];
  members.push_back(members[0]);
  members[0]["phase"] = "DRAINING", members[1]["phase"] = "DELETED",
  members[1]["id"] = "s-00000002";
  run();
  EXPECT_EQ(first_word(), 503);
  tell(member("s-00000003", "SERVING", std::to_string(server.endpoint().port())));
  EXPECT_TRUE(up());
}

// ---- Signals ------------------------------------------------------------------------------------

struct Signals : Crossing {
  // Starts the program with one request in flight that the server does not answer, and one idle
  // client connection, whose closing shows that the shutdown has begun.
  void hold(const std::string& timeout = "2000") {
    run();
    ASSERT_TRUE(up());
    answers = false;
    w = loop.connect(listen), idle = loop.connect(listen);
    w->send(ask(timeout));
    ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  }
  bool ends_begin() {
    return loop.until([&] { return idle->ended; });
  }
  void finish() {
    held->send(http_answer("200 OK", "served"));
    EXPECT_TRUE(served(w));
    w->close();
    EXPECT_EQ(exit_status(), 0) << log();
  }
  void move() {
    config["discovery"] = agent_now.text(), config["counter"] = counter_now.text(), write_config();
  }

  std::shared_ptr<Wire> w, idle;
  Peer agent_now{loop.io};
  Peer counter_now{loop.io, [](Wire& x) {
                     for (auto l = x.line(); !l.empty(); l = x.line())
                       x.send(l == "ping" ? "pong\r\n" : "ok 1\r\n");
                   }};
};
// A second SIGTERM during the shutdown neither ends the process early nor cuts the request in
// flight.
TEST_F(Signals, ASecondTermChangesNothing) {
  ASSERT_NO_FATAL_FAILURE(hold("20000"));
  kill(child, SIGTERM);
  ASSERT_TRUE(ends_begin());
  kill(child, SIGTERM);
  ASSERT_TRUE(loop.until([&] { return figures().starts_with("HTTP/1.1 200 "); }));  // still running
  finish();
}
// SIGTERM immediately after SIGHUP: the reload still takes effect, and the shutdown finishes
// with the new addresses.
TEST_F(Signals, TermRightAfterHangUpFinishesWithTheNewAddresses) {
  ASSERT_NO_FATAL_FAILURE(hold("20000"));
  move();
  kill(child, SIGHUP), kill(child, SIGTERM);
  ASSERT_TRUE(ends_begin());
  EXPECT_TRUE(loop.until([&] { return !agent_now.wires.empty() && !counter_now.wires.empty(); }));
  answers = true;
  const auto late = loop.connect(listen);
  late->send(ProcessTest::ask());
  EXPECT_TRUE(served(late));
  finish();
}
// SIGHUP during the shutdown: the configuration is reloaded, and the shutdown still completes.
TEST_F(Signals, HangUpAfterTermIsTakenAndTheEndComesAllTheSame) {
  ASSERT_NO_FATAL_FAILURE(hold("20000"));
  kill(child, SIGTERM);
  ASSERT_TRUE(ends_begin());
  move();
  kill(child, SIGHUP);
  EXPECT_TRUE(logged("configuration read again"));
  EXPECT_TRUE(loop.until([&] { return !agent_now.wires.empty() && !counter_now.wires.empty(); }));
  finish();
}
// SIGTERM while a price server does not answer: the client gets an error answer, and the process
// ends with status 0.
TEST_F(Signals, TermWhilePriceServersHangAnswersAndEnds) {
  ASSERT_NO_FATAL_FAILURE(hold());
  kill(child, SIGTERM);
  EXPECT_GE(answered(w), 400);
  EXPECT_EQ(exit_status(), 0) << log();
}
// The supervisor sends SIGKILL after the longest deadline of the settings, whatever timeout a
// client has sent (here an hour): the answer must come before that.
TEST_F(Signals, TermAnswersARequestWhoseClientWouldWaitForLonger) {
  ASSERT_NO_FATAL_FAILURE(hold("3600000"));
  kill(child, SIGTERM);
  EXPECT_GE(answered(w), 400);
  EXPECT_EQ(exit_status(), 0) << log();
}
// The longest request deadline (300 ms) is shorter than the drain: the request is answered, and
// the process ends with status 0.
TEST_F(Signals, TermWithADeadlineShorterThanTheDrain) {
  config["settings"]["grades"][0]["hard-limit-ns"] = 300000000;
  config["settings"]["grades"][0]["on-time-ns"] = 200000000;
  ASSERT_NO_FATAL_FAILURE(hold("300"));
  kill(child, SIGTERM);
  ASSERT_TRUE(ends_begin());
  EXPECT_GE(answered(w), 400);
  EXPECT_EQ(exit_status(), 0) << log();
}

}  // namespace
}  // namespace petrelrail::test
