// Tests of the petrelrail program with requests that wait for their attempts while their clients
// close the connections, and beside them with clients that stay. They guard against an attempt that
// begins for a client that has gone, which a node can't see behind input that it doesn't read
// (review, case 9).
#include "overload_fixture.hpp"

namespace petrelrail::test {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class Framing { length, chunked };
enum class Leaving { close, reset };

constexpr std::size_t kSmall = 200'000, kMedium = 2'000'000, kLarge = 20'000'000;
// After the close of a client: 0.1 s, and the 50 ms that PROTOCOL adds for sockets.
constexpr Duration kMaxLateStart = 150ms;

// One price server, whose capacity lookups of other clients take up for a while.
struct WaitingRequests : OverloadTest {
  static constexpr Duration kWorkTime = 400ms;
  static constexpr Duration kStayTime = 20ms;  // of a client behind its last byte
  static constexpr int kLookups = 8;
  static constexpr std::size_t kWaitingLookups = 4, kMaxLookups = 100;
  static constexpr std::size_t kMaxHeadBytes = 500;

  ~WaitingRequests() override {
    if (old_process > 0) kill(old_process, SIGKILL), waitpid(old_process, nullptr, 0);
  }
  void start(std::size_t memory_mb) {
    OverloadTest::start({memory_mb, 1024}, 1);
    server.on([this](Wire& w) { serve_order(w); });
  }
  // Answers after work_time. Notes when the first byte of an order arrived.
  void serve_order(Wire& w) {
    const bool is_order = w.in.starts_with("POST");
    arrived_lookups += !is_order && !w.in.empty();
    if (is_order && !begun) begun = std::chrono::steady_clock::now();
    const auto head = std::string_view(w.in).substr(0, kMaxHeadBytes);
    const bool is_chunked = is_order && head.find("Transfer-Encoding: chunked\r\n") != head.npos;
    if (is_chunked ? !w.in.ends_with("\r\n0\r\n\r\n") : w.message().empty()) return;
    if (is_chunked) w.in.clear();
    const auto timer = std::make_shared<asio::steady_timer>(loop.io, work_time);
    timer->async_wait([timer, weak = w.weak_from_this()](const error_code&) {
      if (const auto wire = weak.lock()) wire->send(http_answer("200 OK", "served"));
    });
  }
  static std::string lookup(std::uint64_t customer) {
    return fields("GET /read", customer, "2000", "free") + "\r\n";
  }
  static std::string order(Framing framing, std::size_t body_bytes,
                           const std::string& plan = "free") {
    const auto head = fields("POST /order", next_customer++, "2000", plan);
    if (framing == Framing::length)
      return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
             std::string(body_bytes, 'b');
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked_body(body_bytes) + "0\r\n\r\n";
  }
  // Sends lookups until some of them wait.
  void occupy_server() {
    begun.reset();
    arrived_lookups = 0;
    while (lookups.size() < arrived_lookups + kWaitingLookups && lookups.size() < kMaxLookups) {
      lookups.push_back(loop.connect(listen));
      lookups.back()->send(lookup(next_customer++));
      loop.until([&] { return arrived_lookups == lookups.size(); }, 10ms);
    }
    ASSERT_LT(lookups.size(), kMaxLookups);
  }
  // Until nothing is in flight any more.
  void finish_round() {
    for (const auto& w : lookups) EXPECT_GT(answered(w), 0);
    lookups.clear();
    wait(kWorkTime + 100ms);
  }
  // Writes in the background.
  void write(const std::shared_ptr<Wire>& w, std::string text) {
    is_written = false;
    const auto buffer = std::make_shared<std::string>(std::move(text));
    asio::async_write(w->socket, asio::buffer(*buffer),
                      [this, w, buffer](const error_code&, std::size_t) { is_written = true; });
  }
  void leave(Wire& w, Leaving leaving) {
    wait(kStayTime);
    leaving == Leaving::close ? w.close() : w.reset();
    closed = std::chrono::steady_clock::now();
  }
  // Writes the text, if there is time for it, and leaves.
  void send_and_leave(std::string text, Leaving leaving = Leaving::close) {
    const auto w = loop.connect(listen);
    write(w, std::move(text));
    loop.until([&] { return is_written; }, 100ms);
    leave(*w, leaving);
  }
  void expect_not_begun_late() {
    finish_round();
    EXPECT_FALSE(has_begun_late());
  }
  bool has_begun_late() const { return begun && *begun - closed >= kMaxLateStart; }

  static inline std::uint64_t next_customer = 1;
  Duration work_time = kWorkTime;  // of the price server
  std::vector<std::shared_ptr<Wire>> lookups;
  std::size_t arrived_lookups = 0;  // of the round, at the price server
  std::optional<SteadyTime> begun;  // the first order of the round, at the price server
  SteadyTime closed{};              // when its client left
  bool is_written = false;
  pid_t old_process = 0;  // of an upgrade
};

// Guards against an attempt for a client that has closed its connection behind a body, or a part of
// one, that its node doesn't read while the request waits for capacity.
struct LeavingClients : WaitingRequests, testing::WithParamInterface<Framing> {};
INSTANTIATE_TEST_SUITE_P(Framings, LeavingClients,
                         testing::Values(Framing::length, Framing::chunked));
TEST_P(LeavingClients, HaveNoAttemptBegunWhileTheirLongBodiesWait) {
  start(32);
  struct Case {
    std::size_t body_bytes;
    bool is_whole;
    Leaving leaving;
  };
  for (const auto& [body_bytes, is_whole, leaving] :
       {Case{kSmall, true, Leaving::close}, Case{kSmall, false, Leaving::close},
        Case{kSmall, true, Leaving::reset}, Case{kMedium, true, Leaving::close},
        Case{kMedium, false, Leaving::close}, Case{kLarge, false, Leaving::close}}) {
    SCOPED_TRACE(testing::Message() << body_bytes << " bytes, whole " << is_whole << ", reset "
                                    << (leaving == Leaving::reset));
    occupy_server();
    const auto text = order(GetParam(), body_bytes);
    send_and_leave(is_whole ? text : text.substr(0, text.size() / 2), leaving);
    expect_not_begun_late();
  }
  expect_within_memory();
}
// Guards against a waiting request that is begun although its client has left since, while the
// process reads a new configuration or ends.
TEST_F(WaitingRequests, OfClientsThatLeftAreNotBegunByAProcessThatEnds) {
  start(32);
  occupy_server();
  send_and_leave(order(Framing::length, kSmall));
  kill(child, SIGHUP);
  expect_not_begun_late();
  occupy_server();
  send_and_leave(order(Framing::length, kSmall));
  kill(child, SIGTERM);
  expect_not_begun_late();
  EXPECT_EQ(exit_status(), 0) << log();
}
// The same in a process that has handed over to a successor.
TEST_F(WaitingRequests, OfClientsThatLeftAreNotBegunByTheOldProcessOfAnUpgrade) {
  start(32);
  for (int i = 0; i < kLookups; ++i) lookups.push_back(loop.connect(listen));
  const auto leaver = loop.connect(listen);
  old_process = child;
  config["control"] = "127.0.0.1:" + std::to_string(free_port().port());
  run();
  ASSERT_TRUE(logged("a successor takes over"));
  for (const auto& w : lookups) w->send(lookup(next_customer++));
  wait(50ms);
  write(leaver, order(Framing::length, kSmall));
  loop.until([&] { return is_written; }, 100ms);
  leave(*leaver, Leaving::close);
  expect_not_begun_late();
}
// Guards against a close that is hidden behind input of a next request.
TEST_F(WaitingRequests, OfClientsThatLeftBehindMoreInputAreNotBegun) {
  start(32);
  for (const std::size_t extra : {2'000UL, 90'000UL, 3'000'000UL}) {
    for (const std::size_t body : {0UL, kSmall}) {
      SCOPED_TRACE(testing::Message() << extra << " bytes behind a body of " << body);
      occupy_server();
      send_and_leave(order(Framing::length, body) + order(Framing::length, extra));
      expect_not_begun_late();
    }
  }
  expect_within_memory();
}
// Guards against a refusal for the sake of input that lies behind the request of a client that
// stays.
TEST_F(WaitingRequests, OfClientsThatStayBehindMoreInputAreServed) {
  start(32);
  for (const std::size_t extra : {2'000UL, 20'000UL, 90'000UL, 3'000'000UL}) {
    SCOPED_TRACE(testing::Message() << extra << " bytes");
    occupy_server();
    const auto w = loop.connect(listen);
    write(w, order(Framing::length, 0) + order(Framing::length, extra));
    EXPECT_EQ(answered(w), 200);
    finish_round();
  }
}
// Guards against a long request being discarded that its client sends while the one before it is at
// the price server.
TEST_F(WaitingRequests, BehindOneThatHasBegunAreServed) {
  start(32);
  work_time = 100ms;
  const auto w = loop.connect(listen);
  w->send(order(Framing::length, 0));
  ASSERT_TRUE(loop.until([&] { return begun.has_value(); }));
  write(w, order(Framing::length, kMedium));
  EXPECT_EQ(answered(w), 200);
  EXPECT_EQ(answered(w), 200);
}
// Guards against an attempt for a client that left while the counter was silent.
TEST_F(WaitingRequests, OfClientsThatLeftAreNotBegunOnceTheCounterAnswers) {
  config["settings"]["extra"]["count-limit-ns"] = 600'000'000;
  counter.on([this](Wire& w) {
    for (auto line = w.line(); !line.empty(); line = w.line()) {
      if (line == "ping") {
        w.send("pong\r\n");
        continue;
      }
      const auto timer = std::make_shared<asio::steady_timer>(loop.io, kWorkTime);
      timer->async_wait([timer, weak = w.weak_from_this()](const error_code&) {
        if (const auto wire = weak.lock()) wire->send("ok 1\r\n");
      });
    }
  });
  start(32);
  for (const std::size_t body : {kSmall, kMedium, kLarge}) {
    begun.reset();
    send_and_leave(order(Framing::length, body, "p"));
    expect_not_begun_late();
  }
  expect_within_memory();
}
// A connection to the price server that comes up a second late.
struct LateConnection : WaitingRequests {
  LateConnection() {
    config["settings"]["ceilings"]["connect-timeout-ns"] = 3'000'000'000;
    config["known"]["members"][0]["host_port"] = late.text();
    // Fills the accept queue: the next connect has to wait.
    for (int i = 0; i < 2; ++i) {
      queued.push_back(std::make_shared<Wire>(Socket(loop.io.get_executor())));
      queued.back()->socket.async_connect(late.endpoint(), [](const error_code&) {});
    }
    loop.io.poll();
  }
  void start() {
    WaitingRequests::start(32);
    late.on([this](Wire& w) { serve_order(w); });
  }
  Peer late{loop.io, {}, false};
  std::vector<std::shared_ptr<Wire>> queued;
};
TEST_F(LateConnection, IsNotUsedForAClientThatLeft) {
  start();
  send_and_leave(order(Framing::length, kMedium));
  late.accept();
  wait(1500ms);
  EXPECT_FALSE(has_begun_late());
}
TEST_F(LateConnection, IsUsedForAClientThatStays) {
  start();
  const auto w = loop.connect(listen);
  write(w, order(Framing::length, kMedium));
  wait(100ms);
  late.accept();
  EXPECT_EQ(answered(w), 200);
}

// Guards against clients that stay being refused for the sake of those that leave.
struct StayingClients : WaitingRequests, testing::WithParamInterface<std::size_t> {
  static constexpr std::size_t kPieces = 20;
  void send_in_pieces(const std::shared_ptr<Wire>& w, const std::string& text) {
    const auto piece = text.size() / kPieces + 1;
    for (std::size_t i = 0; i < text.size(); i += piece) {
      write(w, text.substr(i, piece));
      wait(15ms);
      // One write after another: parts of two at a time would mix.
      loop.until([&] { return is_written || !w->in.empty() || w->ended; });
    }
  }
};
INSTANTIATE_TEST_SUITE_P(MemoryLimits, StayingClients, testing::Values(32, 192));
TEST_P(StayingClients, AreServedHoweverLongTheirBodiesAre) {
  start(GetParam());
  for (const auto framing : {Framing::length, Framing::chunked}) {
    for (const auto body_bytes : {kSmall, kMedium, kLarge}) {
      for (const bool at_once : {true, false}) {
        SCOPED_TRACE(testing::Message()
                     << body_bytes << " bytes, chunked " << (framing == Framing::chunked)
                     << ", at once " << at_once);
        occupy_server();
        const auto w = loop.connect(listen);
        const auto text = order(framing, body_bytes);
        at_once ? write(w, text) : send_in_pieces(w, text);
        EXPECT_EQ(answered(w), 200);
        finish_round();
      }
    }
  }
  expect_within_memory();
}
// A body that memory can't hold is refused, with advice, if no attempt may begin for it at once.
TEST_F(WaitingRequests, ThatCanNeitherBeHeldNorBegunAreRefused) {
  config["settings"]["extra"]["count-limit-ns"] = 600'000'000;
  counter.on([](Wire& w) {
    for (auto line = w.line(); !line.empty(); line = w.line())
      if (line == "ping") w.send("pong\r\n");
  });
  start(32);
  const auto w = loop.connect(listen);
  const auto sent = std::chrono::steady_clock::now();
  write(w, order(Framing::length, kLarge, "p"));
  EXPECT_TRUE(loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_LT(std::chrono::steady_clock::now() - sent, 400ms);
  EXPECT_TRUE(w->in.starts_with("HTTP/1.1 429 ")) << w->in;
  EXPECT_NE(w->in.find("Retry-After"), std::string::npos) << w->in;
  EXPECT_FALSE(begun);
}
// Guards against a crowd whose long bodies wait taking the memory of others, or their answers: each
// request beside it has its final answer, and once the crowd has left it is served.
TEST_F(WaitingRequests, OfACrowdLeaveMemoryToOthers) {
  constexpr std::size_t kCrowd = 100;
  start(32);
  occupy_server();
  for (std::size_t i = 0; i < kCrowd; ++i) {
    hostile.push_back({Hostility::half_long_body, loop.connect(listen)});
    const auto text = order(Framing::length, kMedium);
    hostile.back().wire->send(text.substr(0, text.size() / 2));
  }
  wait(200ms);
  EXPECT_EQ(number("node_overload_stage"), 0U);
  for (const auto body_bytes : {0UL, kSmall, kMedium}) {
    const auto w = loop.connect(listen);
    write(w, order(Framing::length, body_bytes));
    const auto status = answered(w);
    EXPECT_TRUE(status == 200 || status == 429) << status << " for " << body_bytes << " bytes";
  }
  finish_round();
  expect_within_memory();
  for (const auto& peer : hostile) peer.wire->close();
  wait(100ms);
  for (const auto body_bytes : {0UL, kSmall, kMedium}) {
    const auto w = loop.connect(listen);
    write(w, order(Framing::length, body_bytes));
    EXPECT_EQ(answered(w), 200) << body_bytes << " bytes";
  }
}

}  // namespace
}  // namespace petrelrail::test
