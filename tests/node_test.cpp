// Tests of a complete edge node over loopback sockets; clients, price servers, the counter and
// discovery are scripted.
#include <boost/beast/http/string_body.hpp>

#include "limits.hpp"
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

// Guards against a request or response that is altered on its way through the node.
TEST_F(NodeTest, ServesAndForwardsUnchanged) {
  start();
  EXPECT_EQ(status(keyed_request()), 200);
  EXPECT_TRUE(answer.ends_with("\r\n\r\nserved"));
  ASSERT_EQ(received_requests.size(), 1u);
  EXPECT_TRUE(received_requests[0].starts_with("POST /keyed HTTP/1.1\r\n"));
  EXPECT_NE(received_requests[0].find("X-Request-ID: a1\r\n"), std::string::npos);
  EXPECT_NE(received_requests[0].find("Idempotency-Key: k1\r\n"), std::string::npos);
  EXPECT_NE(received_requests[0].find("X-Timeout-Ms: "), std::string::npos);
  EXPECT_TRUE(received_requests[0].ends_with("\r\n\r\nb"));
  EXPECT_EQ(node->open_requests(), 0u);
}
// Guards against a limit that refuses or cuts bodies of the largest buffered size.
TEST_F(NodeTest, LargestBodiesPassBothWays) {
  start();
  const std::string big(65536, 'z');
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", big)); };
  auto a = unsafe_request();
  a.body = big;
  EXPECT_EQ(status(a), 200);
  EXPECT_TRUE(answer.ends_with(big));
  EXPECT_TRUE(received_requests.at(0).ends_with(big));
}
// Guards against a streamed response that ends the session or leaves its request open.
TEST_F(NodeTest, ALongAnswerPassesOnAndTheSessionIsKept) {
  start();
  const std::string big(1000000, 'z');
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", big)); };
  const auto w = client();
  for (int i = 0; i < 2; ++i) {
    w->send(RequestSpec{}.text());
    EXPECT_EQ(status(w), 200);
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + big));
  }
  EXPECT_TRUE(has_metric("node_replies{type=\"safe\",status=\"success\"} 2"));
  EXPECT_EQ(node->open_requests(), 0u);
}
// A response that ends with its connection must reach the client in chunks, so that the client can
// tell where it ends.
TEST_F(NodeTest, ALongAnswerOfNoGivenLengthPassesOnInChunks) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(100000, 'z'), true);
  };
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_TRUE(loop.until([&] { return w->in.ends_with("\r\n0\r\n\r\n"); }));
  EXPECT_NE(w->in.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
  EXPECT_EQ(std::ranges::count(w->in.substr(w->in.find("\r\n\r\n")), 'z'), 100000);
}
// A streamed response that breaks: the client must be able to tell that it is incomplete, and the
// request must not be retried, since part of the response has been passed on.
TEST_F(NodeTest, ALongAnswerThatBreaksIsCutOff) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", true);
  };
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_EQ(received_requests.size(), 1u);
  EXPECT_TRUE(has_metric("node_replies{type=\"safe\",status=\"error\"} 1"));
  EXPECT_EQ(node->open_requests(), 0u);
}
// A client that leaves during a streamed response must not leave a request open.
TEST_F(NodeTest, AClientThatLeavesALongAnswerEndsItAtTheServer) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc");
  };
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_TRUE(loop.until([&] { return w->in.ends_with("abc"); }));
  w->close();
  EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_TRUE(has_metric("node_concurrent 0"));
}
// ---- Streamed request bodies --------------------------------------------------------------------

// A long body, with a length and in chunks, must be passed on while the client still writes, and
// the session be kept. The body contains text that looks like the end of a chunked body.
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
  std::string got;  // bytes received by the price servers
  bool chunked = false;
  std::size_t before_the_end = 0;
  server.on([&](Wire& w) { got += w.in, w.in.clear(); });
  second.on([&](Wire& w) { got += w.in, w.in.clear(); });
  const auto w = client();
  for (const bool in_chunks : {false, true}) {
    got.clear();
    auto a = unsafe_request();
    a.body.clear();
    a.extra_headers = in_chunks ? "Transfer-Encoding: chunked\r\n" : "";
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
// The part of a streamed body that was passed on is no longer buffered. When its connection breaks,
// the request must not be sent again, also where its class allows a retry.
TEST_F(NodeTest, ABrokenLongBodyIsNotSentAgain) {
  start();
  int broken = 0;
  const auto breaks = [&](Wire& w) { ++broken, w.on_data = {}, w.reset(); };
  server.on(breaks), second.on(breaks);
  auto a = unsafe_request();
  a.body = std::string(8UL << 20U, 'x');
  const auto w = client();
  w->send(a.text());
  const int s = status(w);
  EXPECT_GE(s, 429);
  EXPECT_EQ(broken, 1);
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
}
// A client that leaves in the middle of its body must end the attempt, and the session of one that
// stops sending must time out. Otherwise either holds a request and a descriptor forever.
TEST_F(NodeTest, AClientThatEndsOrStopsInItsBodyIsForgotten) {
  start();
  for (const bool leaves : {true, false}) {
    auto a = unsafe_request();
    a.body = std::string(1000000, 'x');
    const auto w = client();
    w->send(a.text().substr(0, 200000));
    ASSERT_TRUE(loop.until([&] { return node->open_requests() == 1; }));
    if (leaves) w->close();
    EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0 && (leaves || w->ended); }));
  }
}
// A rejection must not wait for the rest of a long body.
TEST_F(NodeTest, ALongBodyIsRefusedAtOnce) {
  counter_reply = [] { return std::string("ok 1000\r\n"); };
  start();
  auto a = unsafe_request();
  a.body = std::string(1000000, 'x');
  const auto w = client();
  w->send(a.text().substr(0, 100000));
  EXPECT_EQ(status(w), 429);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}
// Guards against earlier requests of a connection running again in place of later ones: the parser
// moved the buffer into which a read was pending (review, case 2).
TEST_F(NodeTest, RequestsSentAtOnceRunOnceEachInTheirOrder) {
  start();
  const auto id_of = [](const std::string& request) {
    const std::string field = "X-Request-ID: ";
    const auto begin = request.find(field) + field.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
  };
  respond = [&](Wire& w, const std::string& m) { w.send(http_answer("200 OK", id_of(m))); };
  std::vector<std::string> ids;
  const auto w = client();
  for (int batch = 0; batch < 4; ++batch) {
    std::string text;
    std::vector<std::string> at_once;
    for (int i = 0; i < 3; ++i) {
      auto a = unsafe_request();
      a.id = "order-" + std::to_string(batch) + "-" + std::to_string(i);
      a.body = std::string(static_cast<std::size_t>(10 * batch + i), 'x');
      text += a.text();
      at_once.push_back(a.id);
    }
    w->send(text);
    for (const auto& id : at_once) {
      ASSERT_EQ(status(w), 200);
      EXPECT_TRUE(answer.ends_with("\r\n\r\n" + id)) << answer;
    }
    ids.insert(ids.end(), at_once.begin(), at_once.end());
  }
  std::vector<std::string> ran;
  for (const auto& m : received_requests) ran.push_back(id_of(m));
  EXPECT_EQ(ran, ids);
}
// Guards against a session closed after its first response.
TEST_F(NodeTest, SessionsAreKept) {
  start();
  const auto w = client();
  for (int i = 0; i < 3; ++i) {
    w->send(RequestSpec{}.text());
    EXPECT_EQ(status(w), 200);
  }
}
// A request that provably never ran may go to another server, also in a class that forbids retries.
TEST_F(NodeTest, TurnedAwayUnsafeRequestGoesElsewhere) {
  start();
  respond = [&](Wire& w, const std::string&) {
    w.send(received_requests.size() == 1
               ? http_answer("503 Service Unavailable", "", "X-Not-Processed: 1\r\n")
               : http_answer("200 OK", "served"));
  };
  EXPECT_EQ(status(unsafe_request()), 200);
  EXPECT_EQ(received_requests.size(), 2u);
}
// A request of an unsafe class that may have run must not be sent again, nor be answered with a
// status that invites the client to repeat it.
TEST_F(NodeTest, BrokenUnsafeRequestFailsOnce) {
  start();
  respond = [](Wire& w, const std::string&) { w.reset(); };
  const int s = status(unsafe_request());
  EXPECT_TRUE(s >= 500 && s != 503) << s;
  EXPECT_EQ(received_requests.size(), 1u);
}
// Guards against a lost retry: a request of a safe class must survive a connection reset.
TEST_F(NodeTest, BrokenSafeRequestIsTriedAgain) {
  start();
  respond = [&](Wire& w, const std::string&) {
    if (received_requests.size() == 1) return w.reset();
    w.send(http_answer("200 OK", "served"));
  };
  EXPECT_EQ(status(RequestSpec{}), 200);
}
// With a silent server the final response must leave at the client's deadline, and nothing may
// follow it.
TEST_F(NodeTest, SilentServerGetsAFinalAnswerInTime) {
  start();
  respond = {};
  auto a = unsafe_request();
  a.timeout = "200";
  const auto w = client();
  w->send(a.text());
  const int s = status(w);
  EXPECT_TRUE(s >= 500 && s != 503) << s;
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(w->in, "");
}
// Guards against a rejection without Retry-After, and one that is forwarded all the same.
TEST_F(NodeTest, RefusalSaysWhenToComeBack) {
  counter_reply = [] { return std::string("ok 1000\r\n"); };  // the window's quota is used up
  start();
  const int s = status(RequestSpec{});
  EXPECT_TRUE(s == 429 || s == 503) << s;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(received_requests.empty());
}
// Guards against a Retry-After that the settings do not allow.
TEST_F(NodeTest, RefusalGivesNoAdviceWhereTheSettingsAllowNone) {
  counter_reply = [] { return std::string("ok 1000\r\n"); };
  sends_retry_after = false;
  start();
  const int s = status(RequestSpec{});
  EXPECT_TRUE(s == 429 || s == 503) << s;
  EXPECT_EQ(answer.find("Retry-After: "), std::string::npos);
}
// While the counter is unreachable only requests covered by units already leased may pass.
TEST_F(NodeTest, CounterThatIsDownClosesTheNodeNearly) {
  start();
  counter.stop();
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    auto a = unsafe_request();
    a.cookie = "client=00000000000000" + std::to_string(10 + i);
    served += status(a) == 200;
  }
  EXPECT_LE(served, 3);
}
// A client that leaves while its attempt is in flight must end the request.
TEST_F(NodeTest, ClientThatGoesAwayIsForgotten) {
  start();
  respond = {};
  const auto w = client();
  auto a = RequestSpec{};
  a.timeout = "500";
  w->send(a.text());
  ASSERT_TRUE(loop.until([&] { return received_requests.size() == 1; }));
  w->close();
  EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(received_requests.size(), 1u);  // and not retried for an absent client
}
// A price server that dies must cost no request an error while another one is healthy.
TEST_F(NodeTest, DeadServerIsLeftForTheOther) {
  start();
  server.stop();
  for (int i = 0; i < 10; ++i) EXPECT_EQ(status(unsafe_request()), 200) << i;
}
// Guards against requests to a server after discovery has reported it as draining.
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
  EXPECT_EQ(status(RequestSpec{}), 200);
  agent.wires[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       (size.data() + line) + "\r\n");
  // Its idle connections are closed once the change has been applied.
  ASSERT_TRUE(loop.until([&] { return server.wires.back()->ended; }));
  EXPECT_EQ(status(unsafe_request()), 429);
  EXPECT_EQ(received_requests.size(), 1u);
}

// ---- Metrics and operators' requests ------------------------------------------------------------

// Guards against a response or an attempt that is missing in the metrics or counted twice.
TEST_F(NodeTest, FiguresCountWhatHappened) {
  start();
  EXPECT_TRUE(has_metric("node_replies{type=\"keyed\",status=\"success\"} 0"));
  EXPECT_EQ(status(keyed_request()), 200);
  respond = [](Wire& w, const std::string&) { w.reset(); };
  EXPECT_GE(status(unsafe_request()), 500);
  counter_reply = [] { return std::string("ok 1000\r\n"); };
  auto other = RequestSpec{};
  other.cookie = "client=0000000000000009";
  EXPECT_EQ(status(other), 429);
  EXPECT_TRUE(has_metric("node_replies{type=\"keyed\",status=\"success\"} 1"));
  EXPECT_TRUE(has_metric("node_replies{type=\"unsafe\",status=\"error\"} 1"));
  EXPECT_TRUE(has_metric("node_replies{type=\"safe\",status=\"overload\"} 1"));
  EXPECT_TRUE(has_metric("node_dispatches 2"));
  EXPECT_TRUE(has_metric("node_concurrent 0"));
  EXPECT_TRUE(has_metric("node_targets 2"));
}
// Guards against a gauge of requests in flight that does not fall when a client leaves.
TEST_F(NodeTest, ConcurrentIsWhatIsTakenAndNotEnded) {
  start();
  respond = {};
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_TRUE(loop.until([&] { return received_requests.size() == 1; }));
  EXPECT_TRUE(has_metric("node_concurrent 1"));
  w->close();
  ASSERT_TRUE(loop.until([&] { return has_metric("node_concurrent 0"); }));
}
// An ejection by the operator must hold until the operator reverts it; repeating it changes
// nothing.
TEST_F(NodeTest, ServerLeftOutByHandGetsNothingUntilItIsPutBack) {
  one_server = true;
  start();
  EXPECT_TRUE(
      admin_request("POST", "/price-servers/disable?who=s-00000007").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(
      admin_request("POST", "/price-servers/disable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(
      admin_request("POST", "/price-servers/disable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(has_metric("node_targets_disabled 1"));
  EXPECT_EQ(status(unsafe_request()), 429);
  EXPECT_TRUE(received_requests.empty());
  EXPECT_TRUE(
      admin_request("POST", "/price-servers/enable?who=s-00000001").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(has_metric("node_targets_disabled 0"));
  EXPECT_EQ(status(unsafe_request()), 200);
}

// ---- Bad input: a 4xx response, and no effect on other sessions ---------------------------------

// Each malformed request must get its 4xx status and reach no price server, and a session opened
// before must still be served.
TEST_F(NodeTest, BadInputIsAnswered) {
  start();
  const auto good = client();
  const auto expect = [&](int wanted, auto change) {
    RequestSpec a;
    change(a);
    EXPECT_EQ(status(a), wanted) << a.text();
  };
  expect(400, [](RequestSpec& a) { a.class_name = "write"; });
  expect(400, [](RequestSpec& a) { a.class_name = "keyed"; });
  expect(400, [](RequestSpec& a) { a.plan = "gold"; });
  expect(400, [](RequestSpec& a) { a.cookie = "client=b4d65521"; });
  expect(400, [](RequestSpec& a) { a.cookie = "client=00000000b4d6552g"; });
  expect(400, [](RequestSpec& a) { a.cookie = "client=0000000200000000"; });  // 2^33
  expect(400, [](RequestSpec& a) { a.cookie = "other=1"; });
  expect(400, [](RequestSpec& a) { a.timeout = "soon"; });
  expect(400, [](RequestSpec& a) { a.timeout = "-5"; });
  expect(400, [](RequestSpec& a) { a.timeout = "0"; });
  expect(400, [](RequestSpec& a) { a.timeout = "99999999999999999999"; });
  expect(400, [](RequestSpec& a) { a.quota = "units=1"; });
  expect(400, [](RequestSpec& a) { a.quota = "units=nan,spread=2,first=1"; });
  expect(400, [](RequestSpec& a) { a.quota = "units=1e9,spread=2,first=1"; });
  expect(400, [](RequestSpec& a) { a.quota = "units=1,spread=9,first=1"; });
  expect(400, [](RequestSpec& a) { a.quota = "units=1,spread=2,first=2"; });
  expect(400, [](RequestSpec& a) { a.extra_headers = "X-Retried: maybe\r\n"; });
  expect(400, [](RequestSpec& a) { a.extra_headers = "X-Plan: plain\r\n"; });
  expect(400, [](RequestSpec& a) { a.extra_headers = "no colon here\r\n"; });
  expect(400, [](RequestSpec& a) { a.extra_headers = "Idempotency-Key: k\r\n"; });
  expect(400, [](RequestSpec& a) { a = keyed_request(), a.extra_headers = ""; });
  expect(404, [](RequestSpec& a) { a.path = "/nothing"; });
  expect(405, [](RequestSpec& a) { a.method = "DELETE"; });
  auto huge = unsafe_request().text();
  huge.replace(huge.find("Content-Length: 1"), 17,
               "Content-Length: " + std::to_string(limits::kMaxStreamedBodyBytes + 1));
  EXPECT_EQ(status(huge), 413);
  expect(431,
         [](RequestSpec& a) { a.extra_headers = "X-Long: " + std::string(9000, 'x') + "\r\n"; });
  EXPECT_EQ(status("rubbish\r\n\r\n"), 400);
  EXPECT_EQ(status("GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n"), 404);
  EXPECT_TRUE(received_requests.empty());
  good->send(RequestSpec{}.text());
  EXPECT_EQ(status(good), 200);
}
// A client that stops in the middle of its head must get a 408 and a close.
TEST_F(NodeTest, SlowClientIsTimedOut) {
  start();
  const auto w = client();
  w->send("GET /safe HT");
  EXPECT_EQ(status(w), 408);
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
}
// TERMS allow 3 s from the connect until a client without a complete request gets an error or a
// close. The limit must also hold for a client that starts its request late.
TEST_F(NodeTest, PeersThatSendNoWholeRequestAreLetGoInTime) {
  start();
  const auto start_time = std::chrono::steady_clock::now();
  const auto silent = client(), late = client();
  loop.until([&] { return std::chrono::steady_clock::now() - start_time > 1500ms; });
  late->send("GET /safe HT");
  EXPECT_EQ(status(late), 408);
  EXPECT_TRUE(loop.until([&] { return silent->ended; }));
  EXPECT_LT(std::chrono::steady_clock::now() - start_time, 3s);
}
// A slow client may take 2 s for its head. Its timeout must count from the last byte, or its
// request would expire before it is forwarded.
TEST_F(NodeTest, ASlowClientIsServedAndItsTimeCountsFromItsLastByte) {
  start();
  auto a = unsafe_request();
  a.timeout = "1500";
  const auto text = a.text();
  const auto w = client();
  const auto start_time = std::chrono::steady_clock::now();
  w->send(text.substr(0, 30));
  loop.until([&] { return std::chrono::steady_clock::now() - start_time > 2300ms; });
  EXPECT_FALSE(w->ended);
  w->send(text.substr(30));
  EXPECT_EQ(status(w), 200);
}
// Many clients that stop in the middle of a request must not displace a client that keeps writing,
// nor block new clients.
TEST_F(NodeTest, ACrowdThatStopsHalfWayMakesRoom) {
  start(80);
  const auto slow = client();
  slow->send("GET /safe?q=1 ");
  std::vector<std::shared_ptr<Wire>> crowd;
  const auto rest = RequestSpec{}.text().substr(14);
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(client());
    crowd.back()->send("GET /safe HT");
    // The response shows that the node has read all that was sent before.
    admin_request("GET", "/ready");
    ASSERT_FALSE(slow->ended) << i;
    if (i % 5 == 0) slow->send(rest.substr(static_cast<std::size_t>(i / 5), 1));
    if (i != 40) continue;
    EXPECT_EQ(status(RequestSpec{.id = "new"}), 200);  // while the stalled clients hold all slots
  }
  slow->send(rest.substr(12));
  EXPECT_EQ(status(slow), 200);
  EXPECT_EQ(status(RequestSpec{.id = "a2"}), 200);
}
// The limit for the first request must not apply between requests of a kept session.
TEST_F(NodeTest, AConnectionThatWasServedMayIdleLonger) {
  start();
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_EQ(status(w), 200);
  const auto silent = client();
  ASSERT_TRUE(loop.until([&] { return silent->ended; }));
  EXPECT_FALSE(w->ended);
  w->send(RequestSpec{.id = "a2"}.text());
  EXPECT_EQ(status(w), 200);
}
// Guards against a parser that expects a request in one read.
TEST_F(NodeTest, RequestInPiecesIsServed) {
  start();
  const auto text = unsafe_request().text();
  const auto w = client();
  for (std::size_t i = 0; i < text.size(); i += 40) {
    w->send(text.substr(i, 40));
    loop.io.poll();
  }
  EXPECT_EQ(status(w), 200);
}
// A client that sends Expect: 100-continue holds its body back until it gets the 100.
TEST_F(NodeTest, WaitsForTheBodyWhenAskedTo) {
  start();
  auto a = unsafe_request();
  a.extra_headers = "Expect: 100-continue\r\n";
  const auto text = a.text();
  const auto w = client();
  w->send(text.substr(0, text.size() - 1));
  EXPECT_EQ(status(w), 100);
  w->send("b");
  EXPECT_EQ(status(w), 200);
}

// ---- Descriptors --------------------------------------------------------------------------------

// More clients than the descriptor budget allows: idle sessions must be closed for new requests,
// and no request may stay unanswered.
TEST_F(NodeTest, IdleSessionsMakeRoom) {
  start(60);
  std::vector<std::shared_ptr<Wire>> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(client());
  EXPECT_EQ(status(RequestSpec{}), 200);
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::any_of(idle, [](const auto& w) { return w->ended; }); }));
}

// ---- Descriptor budget shared by clients and servers --------------------------------------------

// 20 descriptors to share: 11 for clients and 9 for servers, of which 5 can be lent to clients.
constexpr std::size_t kTwentyShared = limits::kReservedDescriptors + limits::kCounterConnections +
                                      20;

struct CrowdTest : NodeTest {
  // Sends eight requests on these sessions, each of another customer, all in flight at the same
  // time.
  void send_eight(const std::vector<std::shared_ptr<Wire>>& sessions) {
    for (std::size_t i = 0; i < 8; ++i) {
      RequestSpec a;
      a.id = std::to_string(i), a.cookie.replace(a.cookie.size() - 4, 4, std::to_string(1000 + i));
      sessions.at(i)->send(a.text());
    }
    ASSERT_TRUE(loop.until([&] { return received_requests.size() == 8; }));
  }
  std::vector<std::shared_ptr<Wire>> sessions(std::size_t n) {
    std::vector<std::shared_ptr<Wire>> all;
    while (all.size() < n) all.push_back(client());
    return all;
  }
  // The descriptors held by clients and servers together.
  std::size_t open_descriptors() {
    const auto text = admin_request("GET", "/metrics");
    std::size_t n = 0;
    for (const std::string name : {"\nnode_sessions ", "\nnode_pool_open "})
      n += std::stoul(text.substr(text.find(name) + name.size()));
    return n;
  }
  static auto ended(const std::vector<std::shared_ptr<Wire>>& all) {
    return std::ranges::count_if(all, [](const auto& w) { return w->ended; });
  }
  void SetUp() override {
    respond = [](Wire&, const std::string&) {};  // the response is held back
    start(kTwentyShared);
  }
};

// When more clients connect, idle connections to servers must be closed before any client is.
TEST_F(CrowdTest, IsLentWhatTheServersLeave) {
  const auto busy = sessions(8);
  send_eight(busy);
  for (const auto* s : {&server, &second})
    for (const auto& w : s->wires) w->send(http_answer("200 OK", "served"));
  for (const auto& w : busy) ASSERT_EQ(status(w), 200);
  EXPECT_TRUE(has_metric("node_pool_idle 8"));
  const auto crowd = sessions(7);  // with the fixture's own first session 16
  ASSERT_TRUE(loop.until([&] { return has_metric("node_sessions 16"); }));
  EXPECT_TRUE(has_metric("node_pool_idle 4"));
  EXPECT_EQ(ended(busy) + ended(crowd), 0);
}
// Descriptors lent to clients must be reclaimed when attempts at the servers need them.
TEST_F(CrowdTest, WhatItWasLentIsHadBack) {
  const auto crowd = sessions(15);
  ASSERT_TRUE(loop.until([&] { return has_metric("node_sessions 16"); }));
  ASSERT_EQ(ended(crowd), 0);
  send_eight({crowd.end() - 8, crowd.end()});
  EXPECT_TRUE(has_metric("node_pool_open 8"));
  EXPECT_TRUE(has_metric("node_sessions 12"));
}
// Clients that all have a request in flight can't be displaced. Together with the servers they must
// stay within the budget all the same.
TEST_F(CrowdTest, ThatAsksAtOnceIsLentNoMore) {
  const auto crowd = sessions(40);
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    RequestSpec a;
    a.cookie.replace(a.cookie.size() - 4, 4, std::to_string(1000 + i));
    crowd[i]->send(a.text());
  }
  ASSERT_TRUE(loop.until([&] { return !received_requests.empty(); }));
  for (int i = 0; i < 20; ++i) EXPECT_LE(open_descriptors(), 20u);
  respond = [](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served")); };
  for (const auto* s : {&server, &second})
    for (const auto& w : s->wires) w->send(http_answer("200 OK", "served"));
  ASSERT_TRUE(loop.until([&] {
    return std::ranges::all_of(crowd, [](const auto& w) { return w->ended || !w->in.empty(); });
  }));
  EXPECT_LE(open_descriptors(), 20u);
}

// ---- Failing accepts ----------------------------------------------------------------------------

struct FailingAccept : NodeTest {
  // Makes each further accept of the node fail by shutting down its listening socket.
  void shut_down_listener() {
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
  static long value(const std::string& metrics, const std::string& name) {
    const auto line = "\nnode_" + name + " ";
    return std::stol(metrics.substr(metrics.find(line) + line.size()));
  }
};
// When accepts fail, the node must pause before each retry, or it spins, and must close one idle
// session each time, since a lack of descriptors may be the cause.
TEST_F(FailingAccept, IsTriedAgainAfterAPauseAndLetsOneIdleClientGoEachTime) {
  start();
  std::vector<std::shared_ptr<Wire>> idle;
  while (idle.size() < 40) {
    idle.push_back(client());
    idle.back()->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_EQ(status(idle.back()), 200);
  }
  ASSERT_TRUE(has_metric("node_sessions 41"));
  ASSERT_TRUE(has_metric("node_accept_failures 0"));
  const auto start_time = std::chrono::steady_clock::now();
  ASSERT_NO_FATAL_FAILURE(shut_down_listener());
  std::string metrics;
  ASSERT_TRUE(loop.until([&] {
    metrics = admin_request("GET", "/metrics");
    return value(metrics, "accept_failures") >= 5;
  }));
  const auto passed = std::chrono::steady_clock::now() - start_time;
  EXPECT_LE(value(metrics, "accept_failures"), passed / limits::kAcceptRetryDelay + 1);
  EXPECT_LE(value(metrics, "sessions"), std::max(0L, 41 - value(metrics, "accept_failures")));
}

}  // namespace
}  // namespace petrelrail::test
