// The whole edge node over loopback sockets: clients, a server, the counter and discovery are
// scripted.
#include <boost/beast/http/string_body.hpp>

#include "limits.hpp"
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

TEST_F(NodeTest, ServesAndForwardsUnchanged) {
  start();
  EXPECT_EQ(status(fix()), 200);
  EXPECT_TRUE(answer.ends_with("\r\n\r\nserved"));
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_TRUE(seen[0].starts_with("POST /keyed HTTP/1.1\r\n"));
  EXPECT_NE(seen[0].find("X-Request-ID: a1\r\n"), std::string::npos);
  EXPECT_NE(seen[0].find("Idempotency-Key: k1\r\n"), std::string::npos);
  EXPECT_NE(seen[0].find("X-Timeout-Ms: "), std::string::npos);
  EXPECT_TRUE(seen[0].ends_with("\r\n\r\nb"));
  EXPECT_EQ(node->open_requests(), 0u);
}
TEST_F(NodeTest, LargestBodiesPassBothWays) {
  start();
  const std::string big(65536, 'z');
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", big)); };
  auto a = notice();
  a.body = big;
  EXPECT_EQ(status(a), 200);
  EXPECT_TRUE(answer.ends_with(big));
  EXPECT_TRUE(seen.at(0).ends_with(big));
}
TEST_F(NodeTest, ALongAnswerPassesOnAndTheSessionIsKept) {
  start();
  const std::string big(1000000, 'z');
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", big)); };
  const auto w = client();
  for (int i = 0; i < 2; ++i) {
    w->send(Ask{}.text());
    EXPECT_EQ(status(w), 200);
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + big));
  }
  EXPECT_TRUE(figure("node_replies{type=\"safe\",status=\"success\"} 2"));
  EXPECT_EQ(node->open_requests(), 0u);
}
TEST_F(NodeTest, ALongAnswerOfNoGivenLengthPassesOnInChunks) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(100000, 'z'), true);
  };
  const auto w = client();
  w->send(Ask{}.text());
  ASSERT_TRUE(loop.until([&] { return w->in.ends_with("\r\n0\r\n\r\n"); }));
  EXPECT_NE(w->in.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
  EXPECT_EQ(std::ranges::count(w->in.substr(w->in.find("\r\n\r\n")), 'z'), 100000);
}
// The client can tell that the answer is not whole, and it is not tried again.
TEST_F(NodeTest, ALongAnswerThatBreaksIsCutOff) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", true);
  };
  const auto w = client();
  w->send(Ask{}.text());
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_EQ(seen.size(), 1u);
  EXPECT_TRUE(figure("node_replies{type=\"safe\",status=\"error\"} 1"));
  EXPECT_EQ(node->open_requests(), 0u);
}
TEST_F(NodeTest, AClientThatLeavesALongAnswerEndsItAtTheServer) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc");
  };
  const auto w = client();
  w->send(Ask{}.text());
  ASSERT_TRUE(loop.until([&] { return w->in.ends_with("abc"); }));
  w->close();
  EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_TRUE(figure("node_concurrent 0"));
}
// ---- Long bodies --------------------------------------------------------------------------------

// In every form, on from the client while it still writes; the session is kept.
TEST_F(NodeTest, LongBodiesPassOnWhileTheyCome) {
  start();
  std::string body;
  for (int i = 0; body.size() < 400000; ++i) body += std::to_string(i) + "\r\n0\r\n\r\n";
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += 9999) {
    const auto part = body.substr(i, 9999);
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    chunks += size.data() + part + "\r\n";
  }
  std::string got;  // what came to the server, its chunks undone
  bool chunked = false;
  std::size_t before_the_end = 0;
  server.on([&](Wire& w) { got += w.in, w.in.clear(); });
  second.on([&](Wire& w) { got += w.in, w.in.clear(); });
  const auto w = client();
  for (const bool in_chunks : {false, true}) {
    got.clear();
    auto a = notice();
    a.body.clear();
    a.more = in_chunks ? "Transfer-Encoding: chunked\r\n" : "";
    auto head = a.text();
    const std::string none = "Content-Length: 0\r\n";
    head.replace(head.find(none), none.size(),
                 in_chunks ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
    const auto text = in_chunks ? chunks + "0\r\nX-T: 1\r\n\r\n" : body;
    w->send(head + text.substr(0, text.size() - 5));
    const auto size = [&] { return got.size(); };
    ASSERT_TRUE(loop.until([&] { return size() >= body.size(); }));
    before_the_end = got.size();
    w->send(text.substr(text.size() - 5));
    ASSERT_TRUE(loop.until([&] {
      return got.ends_with(in_chunks ? "\r\n0\r\n\r\n" : body.substr(body.size() - 50));
    }));
    chunked = got.find("Transfer-Encoding: chunked\r\n") != std::string::npos;
    EXPECT_EQ(chunked, in_chunks);
    if (in_chunks) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none), parser.eager(true);
      error_code failed;
      auto rest = asio::const_buffer(got.data(), got.size());
      while (!failed && !parser.is_done() && rest.size() > 0) rest += parser.put(rest, failed);
      ASSERT_TRUE(parser.is_done()) << failed.message();
      EXPECT_TRUE(parser.get().body() == body);
    } else {
      EXPECT_TRUE(got.ends_with("\r\n\r\n" + body));
    }
    for (const auto* peer : {&server, &second})
      for (const auto& wire : peer->wires)
        if (!wire->ended) wire->send(http_answer("200 OK", "served"));
    EXPECT_EQ(status(w), 200);
  }
  EXPECT_GT(before_the_end, 0u);
}
// What was passed on is held no more: nothing is sent a second time, also where that would be
// allowed.
TEST_F(NodeTest, ABrokenLongBodyIsNotSentAgain) {
  start();
  int broken = 0;
  const auto breaks = [&](Wire& w) { ++broken, w.came = {}, w.reset(); };
  server.on(breaks), second.on(breaks);
  auto a = notice();
  a.body = std::string(8UL << 20U, 'x');
  const auto w = client();
  w->send(a.text());
  const int s = status(w);
  EXPECT_GE(s, 429);
  EXPECT_EQ(broken, 1);
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
}
// A client that leaves in the middle of its body ends the attempt; one that stops is let go.
TEST_F(NodeTest, AClientThatEndsOrStopsInItsBodyIsForgotten) {
  start();
  for (const bool leaves : {true, false}) {
    auto a = notice();
    a.body = std::string(1000000, 'x');
    const auto w = client();
    w->send(a.text().substr(0, 200000));
    ASSERT_TRUE(loop.until([&] { return node->open_requests() == 1; }));
    if (leaves) w->close();
    EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0 && (leaves || w->ended); }));
  }
}
// A refusal does not wait for the body.
TEST_F(NodeTest, ALongBodyIsRefusedAtOnce) {
  count = [] { return std::string("ok 1000\r\n"); };
  start();
  auto a = notice();
  a.body = std::string(1000000, 'x');
  const auto w = client();
  w->send(a.text().substr(0, 100000));
  EXPECT_EQ(status(w), 429);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}
TEST_F(NodeTest, SessionsAreKept) {
  start();
  const auto w = client();
  for (int i = 0; i < 3; ++i) {
    w->send(Ask{}.text());
    EXPECT_EQ(status(w), 200);
  }
}
// What never ran may go on to another server, also where repeats are forbidden.
TEST_F(NodeTest, TurnedAwayUnsafeRequestGoesElsewhere) {
  start();
  respond = [&](Wire& w, const std::string&) {
    w.send(seen.size() == 1 ? http_answer("503 Service Unavailable", "", "X-Not-Processed: 1\r\n")
                            : http_answer("200 OK", "served"));
  };
  EXPECT_EQ(status(notice()), 200);
  EXPECT_EQ(seen.size(), 2u);
}
// What may have run may not: not sent again, and not called harmless to try again.
TEST_F(NodeTest, BrokenUnsafeRequestFailsOnce) {
  start();
  respond = [](Wire& w, const std::string&) { w.reset(); };
  const int s = status(notice());
  EXPECT_TRUE(s >= 500 && s != 503) << s;
  EXPECT_EQ(seen.size(), 1u);
}
TEST_F(NodeTest, BrokenSafeRequestIsTriedAgain) {
  start();
  respond = [&](Wire& w, const std::string&) {
    if (seen.size() == 1) return w.reset();
    w.send(http_answer("200 OK", "served"));
  };
  EXPECT_EQ(status(Ask{}), 200);
}
// The final answer leaves when the client's time is up, however silent the server is; then nothing
// more comes.
TEST_F(NodeTest, SilentServerGetsAFinalAnswerInTime) {
  start();
  respond = {};
  auto a = notice();
  a.timeout = "200";
  const auto w = client();
  w->send(a.text());
  const int s = status(w);
  EXPECT_TRUE(s >= 500 && s != 503) << s;
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(w->in, "");
}
TEST_F(NodeTest, RefusalSaysWhenToComeBack) {
  count = [] { return std::string("ok 1000\r\n"); };  // the window is used up
  start();
  const int s = status(Ask{});
  EXPECT_TRUE(s == 429 || s == 503) << s;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(seen.empty());
}
TEST_F(NodeTest, RefusalGivesNoAdviceWhereTheSettingsAllowNone) {
  count = [] { return std::string("ok 1000\r\n"); };
  advises = false;
  start();
  const int s = status(Ask{});
  EXPECT_TRUE(s == 429 || s == 503) << s;
  EXPECT_EQ(answer.find("Retry-After: "), std::string::npos);
}
// While the counter is down nothing passes beyond units held.
TEST_F(NodeTest, CounterThatIsDownClosesTheNodeNearly) {
  start();
  counter.stop();
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    auto a = notice();
    a.cookie = "client=00000000000000" + std::to_string(10 + i);
    served += status(a) == 200;
  }
  EXPECT_LE(served, 3);
}
TEST_F(NodeTest, ClientThatGoesAwayIsForgotten) {
  start();
  respond = {};
  const auto w = client();
  auto a = Ask{};
  a.timeout = "500";
  w->send(a.text());
  ASSERT_TRUE(loop.until([&] { return seen.size() == 1; }));
  w->close();
  EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(seen.size(), 1u);  // and not tried again for nobody
}
TEST_F(NodeTest, DeadServerIsLeftForTheOther) {
  start();
  server.stop();
  for (int i = 0; i < 10; ++i) EXPECT_EQ(status(notice()), 200) << i;
}
TEST_F(NodeTest, DrainedServerGetsNothingMore) {
  one_server = true;
  start();
  ASSERT_TRUE(
      loop.until([&] { return !agent.wires.empty() && !agent.wires[0]->message().empty(); }));
  const std::string
      line = R"({"revision":2,"complete":false,"members":[{"id":"s-00000001","host_port":")" +
             server.text() +
             R"(","locality":"a","cell":1,"phase":"DRAINING","up_since_ms":0}]})"
             "\n";
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
  EXPECT_EQ(status(Ask{}), 200);
  agent.wires[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       (size.data() + line) + "\r\n");
  // Its idle connections are closed when the change has been taken in.
  ASSERT_TRUE(loop.until([&] { return server.wires.back()->ended; }));
  EXPECT_EQ(status(notice()), 429);
  EXPECT_EQ(seen.size(), 1u);
}

// ---- What operators see and do ------------------------------------------------------------------

TEST_F(NodeTest, FiguresCountWhatHappened) {
  start();
  EXPECT_TRUE(figure("node_replies{type=\"keyed\",status=\"success\"} 0"));
  EXPECT_EQ(status(fix()), 200);
  respond = [](Wire& w, const std::string&) { w.reset(); };
  EXPECT_GE(status(notice()), 500);
  count = [] { return std::string("ok 1000\r\n"); };
  auto other = Ask{};
  other.cookie = "client=0000000000000009";
  EXPECT_EQ(status(other), 429);
  EXPECT_TRUE(figure("node_replies{type=\"keyed\",status=\"success\"} 1"));
  EXPECT_TRUE(figure("node_replies{type=\"unsafe\",status=\"error\"} 1"));
  EXPECT_TRUE(figure("node_replies{type=\"safe\",status=\"overload\"} 1"));
  EXPECT_TRUE(figure("node_dispatches 2"));
  EXPECT_TRUE(figure("node_concurrent 0"));
  EXPECT_TRUE(figure("node_targets 2"));
}
TEST_F(NodeTest, ConcurrentIsWhatIsTakenAndNotEnded) {
  start();
  respond = {};
  const auto w = client();
  w->send(Ask{}.text());
  ASSERT_TRUE(loop.until([&] { return seen.size() == 1; }));
  EXPECT_TRUE(figure("node_concurrent 1"));
  w->close();
  ASSERT_TRUE(loop.until([&] { return figure("node_concurrent 0"); }));
}
TEST_F(NodeTest, ServerLeftOutByHandGetsNothingUntilItIsPutBack) {
  one_server = true;
  start();
  EXPECT_TRUE(call("POST", "/price-servers/disable?who=s-00000007").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(call("POST", "/price-servers/disable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(call("POST", "/price-servers/disable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(figure("node_targets_disabled 1"));
  EXPECT_EQ(status(notice()), 429);
  EXPECT_TRUE(seen.empty());
  EXPECT_TRUE(call("POST", "/price-servers/enable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(figure("node_targets_disabled 0"));
  EXPECT_EQ(status(notice()), 200);
}

// ---- Bad input: an answer that says so, and no harm to other sessions ---------------------------

TEST_F(NodeTest, BadInputIsAnswered) {
  start();
  const auto good = client();
  const auto expect = [&](int wanted, auto change) {
    Ask a;
    change(a);
    EXPECT_EQ(status(a), wanted) << a.text();
  };
  expect(400, [](Ask& a) { a.cls = "write"; });
  expect(400, [](Ask& a) { a.cls = "keyed"; });
  expect(400, [](Ask& a) { a.plan = "gold"; });
  expect(400, [](Ask& a) { a.cookie = "client=b4d65521"; });
  expect(400, [](Ask& a) { a.cookie = "client=00000000b4d6552g"; });
  expect(400, [](Ask& a) { a.cookie = "client=0000000200000000"; });  // 2^33
  expect(400, [](Ask& a) { a.cookie = "other=1"; });
  expect(400, [](Ask& a) { a.timeout = "soon"; });
  expect(400, [](Ask& a) { a.timeout = "-5"; });
  expect(400, [](Ask& a) { a.timeout = "0"; });
  expect(400, [](Ask& a) { a.timeout = "99999999999999999999"; });
  expect(400, [](Ask& a) { a.quota = "units=1"; });
  expect(400, [](Ask& a) { a.quota = "units=nan,spread=2,first=1"; });
  expect(400, [](Ask& a) { a.quota = "units=1e9,spread=2,first=1"; });
  expect(400, [](Ask& a) { a.quota = "units=1,spread=9,first=1"; });
  expect(400, [](Ask& a) { a.quota = "units=1,spread=2,first=2"; });
  expect(400, [](Ask& a) { a.more = "X-Retried: maybe\r\n"; });
  expect(400, [](Ask& a) { a.more = "X-Plan: plain\r\n"; });
  expect(400, [](Ask& a) { a.more = "no colon here\r\n"; });
  expect(400, [](Ask& a) { a.more = "Idempotency-Key: k\r\n"; });
  expect(400, [](Ask& a) { a = fix(), a.more = ""; });
  expect(404, [](Ask& a) { a.path = "/nothing"; });
  expect(405, [](Ask& a) { a.method = "DELETE"; });
  auto huge = notice().text();
  huge.replace(huge.find("Content-Length: 1"), 17,
               "Content-Length: " + std::to_string(limits::kMaxStreamedBodyBytes + 1));
  EXPECT_EQ(status(huge), 413);
  expect(431, [](Ask& a) { a.more = "X-Long: " + std::string(9000, 'x') + "\r\n"; });
  EXPECT_EQ(status("rubbish\r\n\r\n"), 400);
  EXPECT_EQ(status("GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n"), 404);
  EXPECT_TRUE(seen.empty());
  good->send(Ask{}.text());
  EXPECT_EQ(status(good), 200);
}
TEST_F(NodeTest, SlowClientIsTimedOut) {
  start();
  const auto w = client();
  w->send("GET /safe HT");
  EXPECT_EQ(status(w), 408);
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
}
// TERMS give whoever connects 3 s, from the connection on, until it has an error or a close.
TEST_F(NodeTest, PeersThatSendNoWholeRequestAreLetGoInTime) {
  start();
  const auto begun = std::chrono::steady_clock::now();
  const auto silent = client(), late = client();
  loop.until([&] { return std::chrono::steady_clock::now() - begun > 1500ms; });
  late->send("GET /safe HT");
  EXPECT_EQ(status(late), 408);
  EXPECT_TRUE(loop.until([&] { return silent->ended; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begun, 3s);
}
// A slow client may take 2 s for its head, and its time counts from the last byte.
TEST_F(NodeTest, ASlowClientIsServedAndItsTimeCountsFromItsLastByte) {
  start();
  auto a = notice();
  a.timeout = "1500";
  const auto text = a.text();
  const auto w = client();
  const auto begun = std::chrono::steady_clock::now();
  w->send(text.substr(0, 30));
  loop.until([&] { return std::chrono::steady_clock::now() - begun > 2300ms; });
  EXPECT_FALSE(w->ended);
  w->send(text.substr(30));
  EXPECT_EQ(status(w), 200);
}
// In a crowd that stops half way, a client that goes on writing keeps its place.
TEST_F(NodeTest, ACrowdThatStopsHalfWayMakesRoom) {
  start(80);
  const auto slow = client();
  slow->send("GET /safe?q=1 ");
  std::vector<std::shared_ptr<Wire>> crowd;
  const auto rest = Ask{}.text().substr(14);
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(client());
    crowd.back()->send("GET /safe HT");
    call("GET", "/ready");  // so that the node has taken what came before
    ASSERT_FALSE(slow->ended) << i;
    if (i % 5 == 0) slow->send(rest.substr(static_cast<std::size_t>(i / 5), 1));
    if (i != 40) continue;
    EXPECT_EQ(status(Ask{.id = "new"}), 200);  // while all places are taken by the crowd
  }
  slow->send(rest.substr(12));
  EXPECT_EQ(status(slow), 200);
  EXPECT_EQ(status(Ask{.id = "a2"}), 200);
}
TEST_F(NodeTest, AConnectionThatWasServedMayIdleLonger) {
  start();
  const auto w = client();
  w->send(Ask{}.text());
  ASSERT_EQ(status(w), 200);
  const auto silent = client();
  ASSERT_TRUE(loop.until([&] { return silent->ended; }));
  EXPECT_FALSE(w->ended);
  w->send(Ask{.id = "a2"}.text());
  EXPECT_EQ(status(w), 200);
}
TEST_F(NodeTest, RequestInPiecesIsServed) {
  start();
  const auto text = notice().text();
  const auto w = client();
  for (std::size_t i = 0; i < text.size(); i += 40) {
    w->send(text.substr(i, 40));
    loop.io.poll();
  }
  EXPECT_EQ(status(w), 200);
}
TEST_F(NodeTest, WaitsForTheBodyWhenAskedTo) {
  start();
  auto a = notice();
  a.more = "Expect: 100-continue\r\n";
  const auto text = a.text();
  const auto w = client();
  w->send(text.substr(0, text.size() - 1));
  EXPECT_EQ(status(w), 100);
  w->send("b");
  EXPECT_EQ(status(w), 200);
}

// ---- Descriptors --------------------------------------------------------------------------------

// More clients than the budget holds: those that idle make room, and nobody is left unanswered.
TEST_F(NodeTest, IdleSessionsMakeRoom) {
  start(60);
  std::vector<std::shared_ptr<Wire>> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(client());
  EXPECT_EQ(status(Ask{}), 200);
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::any_of(idle, [](const auto& w) { return w->ended; }); }));
}

// ---- One budget of descriptors ------------------------------------------------------------------

// 20 for both: a share of 11 for clients and 9 for servers, of which 5 can be lent to a crowd.
constexpr std::size_t kTwenty = limits::kReservedDescriptors + limits::kCounterConnections + 20;

struct CrowdTest : NodeTest {
  // Eight requests on these sessions, each of another customer; they are out at the same time.
  void send_eight(const std::vector<std::shared_ptr<Wire>>& sessions) {
    for (std::size_t i = 0; i < 8; ++i) {
      Ask a;
      a.id = std::to_string(i), a.cookie.replace(a.cookie.size() - 4, 4, std::to_string(1000 + i));
      sessions.at(i)->send(a.text());
    }
    ASSERT_TRUE(loop.until([&] { return seen.size() == 8; }));
  }
  std::vector<std::shared_ptr<Wire>> sessions(std::size_t n) {
    std::vector<std::shared_ptr<Wire>> all;
    while (all.size() < n) all.push_back(client());
    return all;
  }
  // Descriptors of clients and servers.
  std::size_t held() {
    const auto text = call("GET", "/metrics");
    std::size_t n = 0;
    for (const std::string name : {"\nnode_sessions ", "\nnode_pool_open "})
      n += std::stoul(text.substr(text.find(name) + name.size()));
    return n;
  }
  static auto ended(const std::vector<std::shared_ptr<Wire>>& all) {
    return std::ranges::count_if(all, [](const auto& w) { return w->ended; });
  }
  void SetUp() override {
    respond = [](Wire&, const std::string&) {};  // held back
    start(kTwenty);
  }
};

// Idle connections to servers go before any client does.
TEST_F(CrowdTest, IsLentWhatTheServersLeave) {
  const auto busy = sessions(8);
  send_eight(busy);
  for (const auto* s : {&server, &second})
    for (const auto& w : s->wires) w->send(http_answer("200 OK", "served"));
  for (const auto& w : busy) ASSERT_EQ(status(w), 200);
  EXPECT_TRUE(figure("node_pool_idle 8"));
  const auto crowd = sessions(7);  // the test's own first session makes 16
  ASSERT_TRUE(loop.until([&] { return figure("node_sessions 16"); }));
  EXPECT_TRUE(figure("node_pool_idle 4"));
  EXPECT_EQ(ended(busy) + ended(crowd), 0);
}
// And it gives it back when the servers need it.
TEST_F(CrowdTest, WhatItWasLentIsHadBack) {
  const auto crowd = sessions(15);
  ASSERT_TRUE(loop.until([&] { return figure("node_sessions 16"); }));
  ASSERT_EQ(ended(crowd), 0);
  send_eight({crowd.end() - 8, crowd.end()});
  EXPECT_TRUE(figure("node_pool_open 8"));
  EXPECT_TRUE(figure("node_sessions 12"));
}
// Nor does a crowd that asks at once get more, though whoever has asked can't be let go for the
// next.
TEST_F(CrowdTest, ThatAsksAtOnceIsLentNoMore) {
  const auto crowd = sessions(40);
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    Ask a;
    a.cookie.replace(a.cookie.size() - 4, 4, std::to_string(1000 + i));
    crowd[i]->send(a.text());
  }
  ASSERT_TRUE(loop.until([&] { return !seen.empty(); }));
  for (int i = 0; i < 20; ++i) EXPECT_LE(held(), 20u);
  respond = [](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served")); };
  for (const auto* s : {&server, &second})
    for (const auto& w : s->wires) w->send(http_answer("200 OK", "served"));
  ASSERT_TRUE(loop.until([&] {
    return std::ranges::all_of(crowd, [](const auto& w) { return w->ended || !w->in.empty(); });
  }));
  EXPECT_LE(held(), 20u);
}

// ---- Accepting that fails -----------------------------------------------------------------------

struct FailingAccept : NodeTest {
  // Every accept of the node fails from now on: its listening socket is shut down.
  void shut() {
    for (int fd = 0; fd < 1024; ++fd) {
      int listens = 0;
      socklen_t size = sizeof listens;
      if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
        continue;
      sockaddr_in at{};
      size = sizeof at;
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
      if (ntohs(at.sin_port) == node->listen_address().port()) return void(::shutdown(fd, SHUT_RD));
    }
    FAIL() << "the node does not listen";
  }
  static long value(const std::string& figures, const std::string& name) {
    const auto line = "\nnode_" + name + " ";
    return std::stol(figures.substr(figures.find(line) + line.size()));
  }
};
// A pause lies before each further try, and one client that holds nothing is let go at each.
TEST_F(FailingAccept, IsTriedAgainAfterAPauseAndLetsOneIdleClientGoEachTime) {
  start();
  std::vector<std::shared_ptr<Wire>> idle;
  while (idle.size() < 40) {
    idle.push_back(client());
    idle.back()->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_EQ(status(idle.back()), 200);
  }
  ASSERT_TRUE(figure("node_sessions 41"));
  ASSERT_TRUE(figure("node_accept_failures 0"));
  const auto began = std::chrono::steady_clock::now();
  ASSERT_NO_FATAL_FAILURE(shut());
  std::string figures;
  ASSERT_TRUE(loop.until([&] {
    figures = call("GET", "/metrics");
    return value(figures, "accept_failures") >= 5;
  }));
  const auto passed = std::chrono::steady_clock::now() - began;
  EXPECT_LE(value(figures, "accept_failures"), passed / limits::kAcceptRetryDelay + 1);
  EXPECT_LE(value(figures, "sessions"), std::max(0L, 41 - value(figures, "accept_failures")));
}

}  // namespace
}  // namespace petrelrail::test
