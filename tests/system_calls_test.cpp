// Tests of the petrelrail program while system calls fail in ways that Linux documents, and while
// the wall clock is stepped: every request still gets its final answer in time.
// lab/shim/system_faults.cpp injects the failures from a seed.
#include "race_fixture.hpp"

namespace petrelrail::test {
namespace {

struct SystemCalls : Crossing {
  static constexpr int kRequests = 60;
  static constexpr Duration kAnswered = 5s;  // limit for one answer; longer than any request takes

  void start(const std::string& faults) {
    variables = {{"LD_PRELOAD", SYSTEM_FAULTS},
                 {"PETRELRAIL_FAULTS", "seed=7," + faults},
                 {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
    config["settings"]["packages"][0]["units-per-s"] = 0;  // 0: no request waits for quota
    run();
    ASSERT_TRUE(up());
    ASSERT_TRUE(loop.until([&] { return has_control_address(); }));
  }
  // The program retries while it finds no socket for the control address.
  bool has_control_address() {
    error_code failed;
    Socket(loop.io.get_executor()).connect(control, failed);
    return !failed;
  }
  // Returns the status of an ended process, or nullopt while it runs.
  std::optional<int> exit_status_now() const {
    int status = 0;
    return waitpid(child, &status, WNOHANG) == child ? std::optional(status) : std::nullopt;
  }
  // Makes the server answer every request with a body of this length.
  void answers_with(std::size_t bytes) {
    server.on([body = std::string(bytes, 'b')](Wire& w) {
      if (!w.message().empty()) w.send(http_answer("200 OK", body));
    });
  }
  // Sends kRequests requests, each on a new connection or all on one, and counts the statuses; 0
  // stands for no answer.
  std::map<int, int> ask_often(bool new_connections) {
    std::map<int, int> statuses;
    std::shared_ptr<Wire> w;
    for (int i = 0; i < kRequests; ++i) {
      if (!w || new_connections) w = loop.connect(listen);
      w->send(ask("20000"));
      std::string text;
      loop.until([&] { return !(text = w->message()).empty() || w->ended; }, kAnswered);
      ++statuses[text.empty() ? 0 : std::stoi(text.substr(9, 3))];
      if (w->ended) w.reset();
    }
    return statuses;
  }
};

// Guards against a client left in the listen queue after a transient accept() failure: no other
// client connects meanwhile, so nothing else would wake the acceptor.
TEST_F(SystemCalls, AcceptsThatFailForAMomentLoseNoClient) {
  start("accept=0.5");
  EXPECT_EQ(ask_often(true), (std::map<int, int>{{200, kRequests}}));
  EXPECT_NE(figure("node_accept_failures"), "0");
}
// A transient accept() failure is no lack of descriptors: no idle client connection may be
// closed for it.
TEST_F(SystemCalls, AcceptsThatFailForAMomentCostNoIdleClientItsConnection) {
  start("accept=0.5");
  const auto rests = loop.connect(listen);
  rests->send(ask("20000"));
  ASSERT_TRUE(served(rests));
  EXPECT_EQ(ask_often(true), (std::map<int, int>{{200, kRequests}}));
  EXPECT_FALSE(rests->ended);
  EXPECT_EQ(figure("node_session_ends{reason=\"descriptor\"}"), "0");
}
// Short or interrupted reads are continued, and every request is answered.
TEST_F(SystemCalls, ShortReadsAndInterruptionsAreReadOn) {
  answers_with(40'000);
  start("read=0.9");
  EXPECT_EQ(ask_often(false), (std::map<int, int>{{200, kRequests}}));
}
// Short or interrupted writes are continued, and every request is answered.
TEST_F(SystemCalls, ShortWritesAndInterruptionsAreWrittenOn) {
  answers_with(40'000);
  start("write=0.9");
  EXPECT_EQ(ask_often(false), (std::map<int, int>{{200, kRequests}}));
}
// A connection that cannot be opened for reasons local to this machine does not count against
// the price server: the request is rejected with 429 or retried.
TEST_F(SystemCalls, ConnectionsThatCantBeOpenedForAMomentAreNoServersFault) {
  server.on([](Wire& w) {
    if (!w.message().empty()) w.send(http_answer("200 OK", "served", "Connection: close\r\n"));
  });
  start("connect=0.3,socket=0.1");
  auto statuses = ask_often(false);
  EXPECT_GE(statuses[200], kRequests / 2);
  EXPECT_EQ(statuses[200] + statuses[429], kRequests);
  EXPECT_EQ(figure("node_pool_failed_connects"), "0");
}
// Half of all socket() calls fail: a starting process retries until it listens.
TEST_F(SystemCalls, AStartThatFindsNoSocketIsTriedAgain) {
  for (int i = 0; i < 8; ++i) {
    start("socket=0.5,seed=" + std::to_string(i));
    EXPECT_EQ(exit_status_now(), std::nullopt) << log();
    kill(child, SIGKILL);
    exit_status();
  }
}
// Guards against timers that follow the wall clock: while a request waits at the price server,
// the wall clock steps an hour forward or back, and the request neither ends early nor is
// delayed.
TEST_F(SystemCalls, AStepOfTheWallClockEndsNoRequestAndHoldsNoneUp) {
  for (const std::string step : {"step_s=3600", "step_s=-3600"}) {
    SCOPED_TRACE(step);
    answers = false;
    held.reset();
    start(step + ",step_after_ms=200");
    const auto w = loop.connect(listen);
    w->send(ask("20000"));
    ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
    const auto stepped = std::chrono::steady_clock::now() + 400ms;
    ASSERT_TRUE(loop.until([&] { return std::chrono::steady_clock::now() > stepped; }));
    EXPECT_FALSE(w->ended);
    held->send(http_answer("200 OK", "served"));
    EXPECT_TRUE(served(w));
    answers = true;
    EXPECT_EQ(ask_often(false), (std::map<int, int>{{200, kRequests}}));
    kill(child, SIGKILL);
    exit_status();
  }
}

}  // namespace
}  // namespace petrelrail::test
