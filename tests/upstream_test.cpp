// Attempts over loopback sockets: every row of the protocol's table of outcomes, and the pools.
#include "upstream.hpp"

#include "limits.hpp"
#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

struct UpstreamTest : ::testing::Test, Upstream::Callbacks {
  struct End {
    UpstreamExchange errand;
    AttemptOutcome outcome;
    Response answer;
    std::size_t connections;  // still held when the outcome was told
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
    taken = std::move(next);
    if (eager && taken) std::exchange(taken, nullptr)();
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
    m->deadline = now + 10s;  // the client's: an attempt may have less
    upstream.send({RequestId(sent), 0, server, now, now + timeout, m});
  }
  // The one outcome of one attempt at a server that answers as the script says.
  End outcome(const std::function<void(Wire&)>& script, Duration timeout = 10s) {
    Peer server(loop.io, script);
    upstream.update_endpoint(EndpointId(1), server.at(), true);
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
  std::function<void()> taken;
  bool eager = true;
  std::uint64_t sent = 0, written = 0;
  Upstream upstream{loop.io, timers, 250ms, 30s, 4, *this};
};

TEST_F(UpstreamTest, OkCarriesTheBodyUnchanged) {
  const std::string body("\0\r\n\xff longish", 12);
  const auto e = outcome(answers(http_answer("200 OK", body)));
  EXPECT_EQ(e.outcome, AttemptOutcome::ok);
  EXPECT_EQ(e.answer.body, body);
}
// An attempt counts once its last byte is written, and not before.
TEST_F(UpstreamTest, OnlyAttemptsWrittenWholeAreCounted) {
  outcome(answers(http_answer("200 OK")));
  EXPECT_EQ(written, 1u);
  Peer server(loop.io, [](Wire& w) { w.reset(); });
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send(10s, std::string(64UL << 20U, 'x'));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(written, 1u);
}
// Out by hand holds whatever the list says, also for an attempt that still connects.
TEST_F(UpstreamTest, BarredServerGetsNothingUntilItIsPutBack) {
  Peer server(loop.io, answers(http_answer("200 OK")));
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  upstream.set_ejected(EndpointId(1), true);
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::never_sent);
  EXPECT_EQ(written, 0u);
  upstream.set_ejected(EndpointId(1), false);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 3; }));
  EXPECT_EQ(ends[2].outcome, AttemptOutcome::ok);
}
// ---- Long answers -------------------------------------------------------------------------------

// All forms pass on in bounded pieces, and the connection is kept where the form allows it.
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
    upstream.update_endpoint(EndpointId(1), server.at(), true);
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
// Back-pressure: while the client has not taken a piece, nothing more is read.
TEST_F(UpstreamTest, NothingMoreIsReadUntilTheClientHasTakenAPiece) {
  eager = false;
  Peer server(loop.io, answers(http_answer("200 OK", std::string(32UL << 20U, 'x'))));
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return taken != nullptr; }));
  const auto before = pieces.size();
  for (int i = 0; i < 20; ++i) loop.io.run_one_for(5ms);
  EXPECT_EQ(pieces.size(), before);
  eager = true;
  std::exchange(taken, nullptr)();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(pieces.size(), 32UL << 20U);
}
// A part of an answer is passed on after a while, and its server may take longer than the attempt's
// time.
TEST_F(UpstreamTest, AnAnswerThatTricklesIsNotHeldBackNorCutOff) {
  Peer server(loop.io, [](Wire& w) {
    if (!w.message().empty()) w.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
  });
  upstream.update_endpoint(EndpointId(1), server.at(), true);
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
TEST_F(UpstreamTest, ALongAnswerThatBreaksOrThatNobodyWantsEndsItsConnection) {
  Peer server(loop.io, [](Wire& w) {
    if (w.message().empty()) return;
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", true);
  });
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset);
  EXPECT_NE(ends[0].errand.response_started, Time{});
  EXPECT_EQ(upstream.size(), 0u);
}

// An answer without a length ends with its connection, but a reset is no end: a part of it would
// pass for the whole.
TEST_F(UpstreamTest, AnAnswerWithoutALengthThatIsResetIsNotWhole) {
  for (const std::size_t size :
       {std::size_t{3}, limits::kMaxBufferedResponseBytes + 1}) {  // held, and on its way in pieces
    ends.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (w.message().empty()) return;
      asio::write(w.socket, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(size, 'x')));
      w.reset();
    });
    upstream.update_endpoint(EndpointId(1), server.at(), true);
    send();
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset) << size;
    EXPECT_EQ(upstream.size(), 0u);
  }
  EXPECT_EQ(heads.size(), 1u);  // of the one that had begun to pass on
}

TEST_F(UpstreamTest, InterimAnswerIsPassedOver) {
  EXPECT_EQ(
      outcome(answers("HTTP/1.1 102 Processing\r\n\r\n" + http_answer("200 OK", "x"))).outcome,
      AttemptOutcome::ok);
}
TEST_F(UpstreamTest, ErrorMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Internal Server Error"))).outcome,
            AttemptOutcome::error);
}
TEST_F(UpstreamTest, TurnedAwayNeverRan) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable", "", "X-Not-Processed: 1\r\n")))
                .outcome,
            AttemptOutcome::overloaded);
}
TEST_F(UpstreamTest, TurnedAwayWithGatewayTimeoutNeverRan) {
  EXPECT_EQ(
      outcome(answers(http_answer("504 Gateway Timeout", "", "X-Not-Processed: 1\r\n"))).outcome,
      AttemptOutcome::overloaded);
}
// Guards against taking any 503 for a proof that nothing ran.
TEST_F(UpstreamTest, PlainUnavailableMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable"))).outcome,
            AttemptOutcome::error);
}
TEST_F(UpstreamTest, NotProcessedOnAnotherStatusMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Oops", "", "X-Not-Processed: 1\r\n"))).outcome,
            AttemptOutcome::error);
}
TEST_F(UpstreamTest, RefusedConnectionIsConnectFailed) {
  {
    Peer gone(loop.io);
    upstream.update_endpoint(EndpointId(1), gone.at(), true);
  }
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
// A machine that vanished: nothing refuses, nothing answers. The connect has its own limit.
TEST_F(UpstreamTest, ConnectionThatNeverComesUpIsConnectFailed) {
  Peer silent(loop.io, {}, false);
  std::vector<std::shared_ptr<Socket>> fill;
  for (int i = 0; i < 3; ++i) {
    fill.push_back(std::make_shared<Socket>(loop.io.get_executor()));
    fill.back()->async_connect(silent.at(), [](const error_code&) {});
  }
  upstream.update_endpoint(EndpointId(1), silent.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
TEST_F(UpstreamTest, BrokenBeforeTheLastByteIsConnectFailed) {
  Peer server(loop.io, [](Wire& w) { w.reset(); });  // as soon as a part has come
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send(10s, std::string(64UL << 20U, 'x'));  // far more than the sockets' buffers hold
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
}
TEST_F(UpstreamTest, BrokenAfterTheLastByteIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (!w.message().empty()) w.reset();
            }).outcome,
            AttemptOutcome::reset);
}
TEST_F(UpstreamTest, EndedInsideTheAnswerIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (w.message().empty()) return;
              w.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
              error_code ignored;
              w.socket.shutdown(Socket::shutdown_send, ignored);
            }).outcome,
            AttemptOutcome::reset);
}
TEST_F(UpstreamTest, WhatIsNoHttpIsReset) {
  EXPECT_EQ(outcome(answers("rubbish\r\n\r\n")).outcome, AttemptOutcome::reset);
}
// The connection is closed before the module is told, so that a further attempt is never a second
// copy.
TEST_F(UpstreamTest, TimeoutClosesTheConnectionFirst) {
  const auto e = outcome([](Wire&) {}, 30ms);
  EXPECT_EQ(e.outcome, AttemptOutcome::timeout);
  EXPECT_EQ(e.connections, 0u);
}
TEST_F(UpstreamTest, CancelClosesTheConnectionAndIsToldOnce) {
  Peer server(loop.io);
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && !server.wires[0]->in.empty(); }));
  upstream.cancel(RequestId(1), 0);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::cancelled);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->ended; }));
  upstream.cancel(RequestId(1), 0);
  EXPECT_EQ(ends.size(), 1u);
}
// A late answer must never be taken for that of the next request.
TEST_F(UpstreamTest, LateAnswerReachesNobody) {
  int asked = 0;
  std::shared_ptr<Wire> first;
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    if (++asked == 1) {
      first = w.shared_from_this();
      return;
    }
    first->send(http_answer("200 OK", "late"));
    w.send(http_answer("200 OK", "own"));
  });
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send(30ms);
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].answer.body, "own");
}
TEST_F(UpstreamTest, ConnectionsAreUsedAgain) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  for (std::size_t i = 1; i <= 5; ++i) {
    send();
    ASSERT_TRUE(loop.until([&] { return ends.size() == i; }));
  }
  EXPECT_EQ(server.wires.size(), 1u);
}
// A read stays pending on idle connections: one that the server closed is never written to.
TEST_F(UpstreamTest, CloseOfAnIdleConnectionIsSeen) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  server.wires[0]->close();
  ASSERT_TRUE(loop.until([&] { return upstream.size() == 0; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::ok);
  EXPECT_EQ(server.wires.size(), 2u);
}
TEST_F(UpstreamTest, AnswerThatEndsItsConnectionIsServed) {
  const auto e = outcome(answers(http_answer("200 OK", "x", "Connection: close\r\n")));
  EXPECT_EQ(e.outcome, AttemptOutcome::ok);
  EXPECT_EQ(e.connections, 0u);
}
TEST_F(UpstreamTest, DrainingServerLosesIdleConnectionsAndGetsNothing) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  upstream.update_endpoint(EndpointId(1), server.at(), false);
  EXPECT_EQ(upstream.size(), 0u);
  send();
  ASSERT_EQ(ends.size(), 2u);
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::never_sent);
}
// Connections take time to come up: what was right when the module chose may be wrong at the first
// byte.
struct DuringConnect : UpstreamTest {
  void connect_slowly(Duration timeout = 10s) {
    fill.push_back(
        loop.connect(silent.at()));  // the accept queue is full now: the next connect has to wait
    fill.push_back(std::make_shared<Wire>(Socket(loop.io.get_executor())));
    fill.back()->socket.async_connect(silent.at(), [](const error_code&) {});
    patient.update_endpoint(EndpointId(1), silent.at(), true);
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->request_id = "r1";
    patient.send({RequestId(1), 0, EndpointId(1), timers.now(), timers.now() + timeout, m});
    loop.io.poll();
    EXPECT_TRUE(ends.empty());
  }
  void let_up() {
    silent.accept();  // the connect is tried again by the system after a second
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
    for (const auto& w : silent.wires) EXPECT_EQ(w->in, "");
  }
  Peer silent{loop.io, {}, false};
  std::vector<std::shared_ptr<Wire>> fill;
  Upstream patient{loop.io, timers, 20s, 30s, 4, *this};
};
TEST_F(DuringConnect, DrainStopsTheSend) {
  connect_slowly();
  patient.update_endpoint(EndpointId(1), silent.at(), false);
  let_up();
}
TEST_F(DuringConnect, ClientThatWentStopsTheSend) {
  connect_slowly();
  wanted = false;
  let_up();
}
TEST_F(DuringConnect, ServerThatLeftTheListStopsTheSend) {
  connect_slowly();
  patient.retain_endpoints({});
  let_up();
}
TEST_F(UpstreamTest, NoMoreConnectionsThanAllowed) {
  Peer server(loop.io);
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  for (int i = 0; i < 5; ++i) send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome,
            AttemptOutcome::never_sent);  // and so free to go elsewhere, or to be refused
  EXPECT_EQ(upstream.size(), 4u);
}
TEST_F(UpstreamTest, IdleConnectionElsewhereMakesRoom) {
  Peer one(loop.io, answers(http_answer("200 OK"))), two(loop.io);
  upstream.update_endpoint(EndpointId(1), one.at(), true);
  upstream.update_endpoint(EndpointId(2), two.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  for (int i = 0; i < 4; ++i) send(10s, "", EndpointId(2));
  EXPECT_EQ(ends.size(), 1u);
  EXPECT_EQ(upstream.size(), 4u);
}
TEST_F(UpstreamTest, ProbeAsksForHealth) {
  std::string asked;
  Peer server(loop.io, [&](Wire& w) {
    asked = w.message();
    w.send(http_answer("200 OK"));
  });
  upstream.update_endpoint(EndpointId(1), server.at(), true);
  upstream.check_health(EndpointId(1));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::ok);
  EXPECT_TRUE(asked.starts_with("GET /-/healthy HTTP/1.1\r\n"));
}
TEST_F(UpstreamTest, UnknownServerIsNeverSent) {
  send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
}

}  // namespace
}  // namespace petrelrail::test
