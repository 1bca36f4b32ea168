// Attempts at scripted price servers over loopback sockets: every row of the protocol's table of
// outcomes, streamed responses, and the reuse and bound of connections.
#include "upstream.hpp"

#include "limits.hpp"
#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

struct UpstreamTest : ::testing::Test, Upstream::Callbacks {
  struct End {
    UpstreamExchange exchange;
    AttemptOutcome outcome;
    Response answer;
    std::size_t connections;  // held when the outcome was reported
  };

  bool is_still_wanted(RequestId) override { return wanted; }
  void on_attempt_ended(const UpstreamExchange& e, AttemptOutcome o, Response a) override {
    ends.push_back({e, o, std::move(a), upstream.size()});
  }
  bool on_stream_started(const UpstreamExchange&, const ResponseHead& head) override {
    return heads.push_back(head), wanted;
  }
  void on_stream_chunk(const UpstreamExchange&, std::string_view piece,
                       std::function<void()> next) override {
    largest = std::max(largest, piece.size());
    pieces += piece;
    on_consumed = std::move(next);
    if (consumes_at_once && on_consumed) std::exchange(on_consumed, nullptr)();
  }
  void on_attempt_written(const UpstreamExchange&) override { ++written; }
  void on_health_check_ended(const UpstreamExchange& e, AttemptOutcome o) override {
    ends.push_back({e, o, {}, upstream.size()});
  }

  void send(Duration timeout = 10s, std::string body = "", EndpointId server = EndpointId(1)) {
    auto m = std::make_shared<ClientRequest>();
    m->method = body.empty() ? http::verb::get : http::verb::post;
    m->target = "/read?x=1";
    m->request_id = "r" + std::to_string(++sent);
    m->body = std::move(body);
    const auto now = timers.now();
    // The client's deadline; the attempt's may be earlier.
    m->deadline = policy::RequestDeadline::running(now, 10s);
    upstream.send({RequestId(sent), 0, server, now, now + timeout, m});
  }
  // Makes one attempt at a server that runs the script, and returns its only outcome.
  End outcome(const std::function<void(Wire&)>& script, Duration timeout = 10s) {
    Peer server(loop.io, script);
    upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
    send(timeout);
    EXPECT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends.size(), 1u);
    return ends.empty() ? End{} : ends.front();
  }
  static std::function<void(Wire&)> answers(std::string text) {
    return [text](Wire& w) {
      if (!w.message().empty()) w.send(text);
    };
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<End> ends;
  bool wanted = true;
  std::vector<ResponseHead> heads;
  std::string pieces;
  std::size_t largest = 0;
  std::function<void()> on_consumed;
  bool consumes_at_once = true;
  std::uint64_t sent = 0, written = 0;
  Upstream upstream{loop.io, timers, 250ms, 30s, 4, *this};
};

// Guards against a body altered or cut at a zero byte, a line end or a byte that is not ASCII.
TEST_F(UpstreamTest, OkCarriesTheBodyUnchanged) {
  const std::string body("\0\r\n\xff longish", 12);
  const auto e = outcome(answers(http_answer("200 OK", body)));
  EXPECT_EQ(e.outcome, AttemptOutcome::ok);
  EXPECT_EQ(e.answer.body, body);
}
// An attempt must count as written only once its last byte is written. Here the server resets the
// connection in the middle of a large request.
TEST_F(UpstreamTest, OnlyAttemptsWrittenWholeAreCounted) {
  outcome(answers(http_answer("200 OK")));
  EXPECT_EQ(written, 1u);
  Peer server(loop.io, [](Wire& w) { w.reset(); });
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send(10s, std::string(64UL << 20U, 'x'));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(written, 1u);
}
// An ejection by the operator must hold whatever the endpoint list says, also for an attempt whose
// connection is still being set up.
TEST_F(UpstreamTest, BarredServerGetsNothingUntilItIsPutBack) {
  Peer server(loop.io, answers(http_answer("200 OK")));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  upstream.set_ejected(EndpointId(1), true);
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::never_sent);
  EXPECT_EQ(written, 0u);
  upstream.set_ejected(EndpointId(1), false);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 3; }));
  EXPECT_EQ(ends[2].outcome, AttemptOutcome::ok);
}
// ---- Streamed responses -------------------------------------------------------------------------

// Each framing (length, chunks, end of connection) must be passed on in bounded pieces, and the
// connection be kept where the framing allows it. The body contains text that looks like framing.
TEST_F(UpstreamTest, LongAnswersOfEveryFormPassOnInPieces) {
  std::string body;
  for (int i = 0; body.size() < 300000; ++i)
    body += std::to_string(i) + "\r\n\r\nHTTP/1.1 200 OK\r\n0\r\n\r\n";
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += 7777) {
    const auto part = body.substr(i, 7777);
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zX;x=y\r\n", part.size());
    chunks += size.data() + part + "\r\n";
  }
  struct Form {
    std::string text;
    bool length, kept;
  };
  const std::vector<Form> forms{
      {http_answer("200 OK", body), true, true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + chunks +
           "0\r\nX-T: 1\r\n\r\n",
       false, true},
      {"HTTP/1.1 100 Continue\r\n\r\n" + http_answer("200 ", body, "connection: close\r\n"), true,
       false},
      {"HTTP/1.1 200 OK\r\n\r\n" + body, false, false}};
  for (const auto& form : forms) {
    ends.clear(), heads.clear(), pieces.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (w.message().empty()) return;
      w.send(form.text, !form.kept);
    });
    upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
    send();
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::ok);
    ASSERT_EQ(heads.size(), 1u);
    EXPECT_EQ(heads[0].length.has_value(), form.length);
    EXPECT_TRUE(pieces == body) << form.text.substr(0, 60);
    EXPECT_EQ(ends[0].connections, form.kept ? 1u : 0u);
  }
  EXPECT_LE(largest, 2 * limits::kStreamChunkBytes);
}
// Back-pressure: while the client has not consumed a piece, nothing more may be read. Otherwise a
// slow client makes the node buffer the whole response.
TEST_F(UpstreamTest, NothingMoreIsReadUntilTheClientHasTakenAPiece) {
  consumes_at_once = false;
  Peer server(loop.io, answers(http_answer("200 OK", std::string(32UL << 20U, 'x'))));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return on_consumed != nullptr; }));
  const auto before = pieces.size();
  for (int i = 0; i < 20; ++i) loop.io.run_one_for(5ms);
  EXPECT_EQ(pieces.size(), before);
  consumes_at_once = true;
  std::exchange(on_consumed, nullptr)();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(pieces.size(), 32UL << 20U);
}
// A response that arrives slowly: its first part must be passed on before the rest arrives, and the
// attempt's timeout must not cut off a response that has begun.
TEST_F(UpstreamTest, AnAnswerThatTricklesIsNotHeldBackNorCutOff) {
  Peer server(loop.io, [](Wire& w) {
    if (!w.message().empty()) w.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
  });
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send(500ms);
  ASSERT_TRUE(loop.until([&] { return pieces == "abc"; }));
  const auto end = timers.now() + 600ms;
  loop.until([&] { return timers.now() > end; });
  EXPECT_TRUE(ends.empty());
  server.wires.front()->send("def");
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::ok);
  EXPECT_EQ(pieces, "abcdef");
}
// A streamed response that ends short of its length must not leave a connection in the pool.
TEST_F(UpstreamTest, ALongAnswerThatBreaksOrThatNobodyWantsEndsItsConnection) {
  Peer server(loop.io, [](Wire& w) {
    if (w.message().empty()) return;
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", true);
  });
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset);
  EXPECT_NE(ends[0].exchange.response_started, Time{});
  EXPECT_EQ(upstream.size(), 0u);
}

// A response without a length ends with its connection, but a reset is not such an end: otherwise a
// truncated response would be taken for a complete one.
TEST_F(UpstreamTest, AnAnswerWithoutALengthThatIsResetIsNotWhole) {
  // One response is still buffered, the other already streamed.
  for (const std::size_t size : {std::size_t{3}, limits::kMaxBufferedResponseBytes + 1}) {
    ends.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (w.message().empty()) return;
      asio::write(w.socket, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(size, 'x')));
      w.reset();
    });
    upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
    send();
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset) << size;
    EXPECT_EQ(upstream.size(), 0u);
  }
  EXPECT_EQ(heads.size(), 1u);  // from the streamed one
}

// Guards against taking a 1xx response for the final one.
TEST_F(UpstreamTest, InterimAnswerIsPassedOver) {
  EXPECT_EQ(
      outcome(answers("HTTP/1.1 102 Processing\r\n\r\n" + http_answer("200 OK", "x"))).outcome,
      AttemptOutcome::ok);
}
// A 500 does not prove that the request did not run, so it must not count as safe to repeat.
TEST_F(UpstreamTest, ErrorMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Internal Server Error"))).outcome,
            AttemptOutcome::error);
}
// A 503 with X-Not-Processed proves that nothing ran.
TEST_F(UpstreamTest, TurnedAwayNeverRan) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable", "", "X-Not-Processed: 1\r\n")))
                .outcome,
            AttemptOutcome::overloaded);
}
// A 504 with X-Not-Processed proves that nothing ran.
TEST_F(UpstreamTest, TurnedAwayWithGatewayTimeoutNeverRan) {
  EXPECT_EQ(
      outcome(answers(http_answer("504 Gateway Timeout", "", "X-Not-Processed: 1\r\n"))).outcome,
      AttemptOutcome::overloaded);
}
// Guards against taking any 503 as proof that nothing ran.
TEST_F(UpstreamTest, PlainUnavailableMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable"))).outcome,
            AttemptOutcome::error);
}
// Guards against trusting X-Not-Processed on a status that does not allow it.
TEST_F(UpstreamTest, NotProcessedOnAnotherStatusMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Oops", "", "X-Not-Processed: 1\r\n"))).outcome,
            AttemptOutcome::error);
}
// Nothing listens at the address: the connect fails and must not leave a connection counted.
TEST_F(UpstreamTest, RefusedConnectionIsConnectFailed) {
  {
    Peer gone(loop.io);
    upstream.update_endpoint(EndpointId(1), gone.endpoint(), true);
  }
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
// A machine that vanished neither refuses nor answers a connect, so the connect needs a timeout of
// its own. A full accept queue stands for that machine.
TEST_F(UpstreamTest, ConnectionThatNeverComesUpIsConnectFailed) {
  Peer silent(loop.io, {}, false);
  std::vector<std::shared_ptr<Socket>> queued;
  for (int i = 0; i < 3; ++i) {
    queued.push_back(std::make_shared<Socket>(loop.io.get_executor()));
    queued.back()->async_connect(silent.endpoint(), [](const error_code&) {});
  }
  upstream.update_endpoint(EndpointId(1), silent.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
// A connection reset before the last byte of the request was written.
TEST_F(UpstreamTest, BrokenBeforeTheLastByteIsConnectFailed) {
  Peer server(loop.io, [](Wire& w) { w.reset(); });  // as soon as a part has arrived
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send(10s, std::string(64UL << 20U, 'x'));  // far more than the sockets' buffers hold
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
}
// A connection reset after the whole request was written: the request may have run.
TEST_F(UpstreamTest, BrokenAfterTheLastByteIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (!w.message().empty()) w.reset();
            }).outcome,
            AttemptOutcome::reset);
}
// Guards against passing on a body that is shorter than its Content-Length.
TEST_F(UpstreamTest, EndedInsideTheAnswerIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (w.message().empty()) return;
              w.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
              error_code ignored;
              w.socket.shutdown(Socket::shutdown_send, ignored);
            }).outcome,
            AttemptOutcome::reset);
}
// A response that does not parse as HTTP: the request may have run.
TEST_F(UpstreamTest, WhatIsNoHttpIsReset) {
  EXPECT_EQ(outcome(answers("rubbish\r\n\r\n")).outcome, AttemptOutcome::reset);
}
// The connection must be closed before the timeout is reported, so that a retry never runs beside
// the first copy.
TEST_F(UpstreamTest, TimeoutClosesTheConnectionFirst) {
  const auto e = outcome([](Wire&) {}, 30ms);
  EXPECT_EQ(e.outcome, AttemptOutcome::timeout);
  EXPECT_EQ(e.connections, 0u);
}
// A cancelled attempt must close its connection and report exactly one outcome, also when it is
// cancelled again.
TEST_F(UpstreamTest, CancelClosesTheConnectionAndIsToldOnce) {
  Peer server(loop.io);
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && !server.wires[0]->in.empty(); }));
  upstream.cancel(RequestId(1), 0);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::cancelled);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->ended; }));
  upstream.cancel(RequestId(1), 0);
  EXPECT_EQ(ends.size(), 1u);
}
// A late response must never be taken for that of the next request.
TEST_F(UpstreamTest, LateAnswerReachesNobody) {
  int request_count = 0;
  std::shared_ptr<Wire> first;
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    if (++request_count == 1) {
      first = w.shared_from_this();
      return;
    }
    first->send(http_answer("200 OK", "late"));
    w.send(http_answer("200 OK", "own"));
  });
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send(30ms);
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].answer.body, "own");
}
// Guards against a new connection for each of several sequential attempts.
TEST_F(UpstreamTest, ConnectionsAreUsedAgain) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  for (std::size_t i = 1; i <= 5; ++i) {
    send();
    ASSERT_TRUE(loop.until([&] { return ends.size() == i; }));
  }
  EXPECT_EQ(server.wires.size(), 1u);
}
// A read stays pending on idle connections, so that a connection closed by the server is never
// written to.
TEST_F(UpstreamTest, CloseOfAnIdleConnectionIsSeen) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  server.wires[0]->close();
  ASSERT_TRUE(loop.until([&] { return upstream.size() == 0; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::ok);
  EXPECT_EQ(server.wires.size(), 2u);
}
// A response with Connection: close must be served, and its connection not be pooled.
TEST_F(UpstreamTest, AnswerThatEndsItsConnectionIsServed) {
  const auto e = outcome(answers(http_answer("200 OK", "x", "Connection: close\r\n")));
  EXPECT_EQ(e.outcome, AttemptOutcome::ok);
  EXPECT_EQ(e.connections, 0u);
}
// Guards against sending to a draining server, also over a connection that is already open.
TEST_F(UpstreamTest, DrainingServerLosesIdleConnectionsAndGetsNothing) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  upstream.update_endpoint(EndpointId(1), server.endpoint(), false);
  EXPECT_EQ(upstream.size(), 0u);
  send();
  ASSERT_EQ(ends.size(), 2u);
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::never_sent);
}
// While a connection is being set up, the reason for the choice of the server may lapse. Nothing
// may be written then. A full accept queue delays the connect.
struct DuringConnect : UpstreamTest {
  void connect_slowly(Duration timeout = 10s) {
    queued.push_back(
        loop.connect(silent.endpoint()));  // fills the accept queue: the next connect has to wait
    queued.push_back(std::make_shared<Wire>(Socket(loop.io.get_executor())));
    queued.back()->socket.async_connect(silent.endpoint(), [](const error_code&) {});
    slow_upstream.update_endpoint(EndpointId(1), silent.endpoint(), true);
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->request_id = "r1";
    slow_upstream.send({RequestId(1), 0, EndpointId(1), timers.now(), timers.now() + timeout, m});
    loop.io.poll();
    EXPECT_TRUE(ends.empty());
  }
  void accept_and_expect_never_sent() {
    silent.accept();  // the system retries the connect after a second
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
    for (const auto& w : silent.wires) EXPECT_EQ(w->in, "");
  }
  Peer silent{loop.io, {}, false};
  std::vector<std::shared_ptr<Wire>> queued;
  Upstream slow_upstream{loop.io, timers, 20s, 30s, 4, *this};
};
// The server drains during the connect.
TEST_F(DuringConnect, DrainStopsTheSend) {
  connect_slowly();
  slow_upstream.update_endpoint(EndpointId(1), silent.endpoint(), false);
  accept_and_expect_never_sent();
}
// The client leaves during the connect.
TEST_F(DuringConnect, ClientThatWentStopsTheSend) {
  connect_slowly();
  wanted = false;
  accept_and_expect_never_sent();
}
// The server leaves the list during the connect.
TEST_F(DuringConnect, ServerThatLeftTheListStopsTheSend) {
  connect_slowly();
  slow_upstream.retain_endpoints({});
  accept_and_expect_never_sent();
}
// At the connection limit a further attempt must end at once, without being sent.
TEST_F(UpstreamTest, NoMoreConnectionsThanAllowed) {
  Peer server(loop.io);
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  for (int i = 0; i < 5; ++i) send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome,
            AttemptOutcome::never_sent);  // and so may go to another server or be rejected
  EXPECT_EQ(upstream.size(), 4u);
}
// At the connection limit an idle connection to one server must yield to an attempt at another.
TEST_F(UpstreamTest, IdleConnectionElsewhereMakesRoom) {
  Peer one(loop.io, answers(http_answer("200 OK"))), two(loop.io);
  upstream.update_endpoint(EndpointId(1), one.endpoint(), true);
  upstream.update_endpoint(EndpointId(2), two.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  for (int i = 0; i < 4; ++i) send(10s, "", EndpointId(2));
  EXPECT_EQ(ends.size(), 1u);
  EXPECT_EQ(upstream.size(), 4u);
}
// Guards against a health check that requests another path than the servers answer.
TEST_F(UpstreamTest, ProbeAsksForHealth) {
  std::string request;
  Peer server(loop.io, [&](Wire& w) {
    request = w.message();
    w.send(http_answer("200 OK"));
  });
  upstream.update_endpoint(EndpointId(1), server.endpoint(), true);
  upstream.check_health(EndpointId(1));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::ok);
  EXPECT_TRUE(request.starts_with("GET /-/healthy HTTP/1.1\r\n"));
}
// An endpoint that is not on the list must get a definite outcome, not a hanging attempt.
TEST_F(UpstreamTest, UnknownServerIsNeverSent) {
  send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
}

}  // namespace
}  // namespace petrelrail::test
