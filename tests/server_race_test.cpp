// Tests of connections to price servers when two events coincide: an answer and the next request, a
// close and a write, a completed connect and the end of its attempt. They guard against answers
// given to the wrong request and requests written twice or too late. Each order is forced: the
// second event is in the socket before the loop continues.
#include "connection_pool_fixture.hpp"
#include "limits.hpp"

namespace petrelrail::test {
namespace {

struct ServerCrossing : PoolTest {
  // Writes into the socket immediately, before the loop continues.
  static void put(Wire& w, const std::string& text) { asio::write(w.socket, asio::buffer(text)); }
  bool passed(Time when) {
    return loop.until([&] { return timers.now() >= when; });
  }
  // Returns the text read so far on all of a server's connections.
  static std::string all(const Peer& server) {
    std::string text;
    for (const auto& w : server.wires) text += w->in;
    return text;
  }
  void expect_end(std::size_t which, AttemptOutcome outcome) {
    ASSERT_TRUE(wait_for_ends(which + 1));
    EXPECT_EQ(ends[which].outcome, outcome) << which;
  }
};

// ---- A second answer, some time after the first -------------------------------------------------

// The second answer arrives in the callback for the first one. The system completes the next read
// with it at once, but the loop reports that only after the next request.
TEST_F(ServerCrossing, ASecondAnswerThatIsReadAheadIsSeenBeforeTheNextRequestIsWritten) {
  Peer server(loop.io, answer);
  on_end = [&] {
    on_end = nullptr;
    put(*server.wires[0], http_answer("200 OK", "of another"));
    asio::post(loop.io, [this] { send(); });
  };
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send();
  expect_served_on_new_connection(server);
  EXPECT_EQ(ends[1].answer.body, "x");
}
// A server processes a request only after its last byte has arrived, so an answer sent before that
// belongs to another request.
TEST_F(ServerCrossing, AnAnswerBeforeItsRequestIsWrittenWholeIsNotItsOwn) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  const auto upload = std::make_shared<RequestBodyStream>(std::nullopt);
  upload->append("a part");
  server.on({});
  server.wires[0]->on_data = nullptr;
  send(kServer, 10s, upload);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->in.ends_with("a part\r\n"); }));
  server.wires[0]->send(http_answer("200 OK", "of another"));
  expect_end(1, AttemptOutcome::never_sent);
  EXPECT_EQ(ends[1].answer.body, "");
  EXPECT_EQ(stats().open, 0u);
  EXPECT_EQ(written, 1u);
}

// After unsolicited data a server may send more of it. Its connections must stay idle for a time
// before reuse, so that such data arrives while no request is in flight.
TEST_F(ServerCrossing, AServerThatAnsweredOutOfTurnHasItsConnectionsRest) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  server.wires[0]->send(http_answer("200 OK", "of another"));
  ASSERT_TRUE(loop.until([&] { return stats().open == 0; }));
  on_end = [&] {
    on_end = nullptr;
    server.on({});
    server.wires[1]->on_data = nullptr;
    send();  // at once
  };
  send();
  ASSERT_TRUE(loop.until([&] { return !all(server).empty(); }));
  server.wires[1]->send(http_answer("200 OK", "of another"));
  ASSERT_TRUE(loop.until([&] { return server.wires[1]->ended; }));
  EXPECT_EQ(ends.size(), 2u);
  ASSERT_EQ(server.wires.size(), 3u);
  answer(*server.wires[2]);
  expect_end(2, AttemptOutcome::ok);
  EXPECT_EQ(ends[2].answer.body, "x");
  // After that idle time the connection is reused.
  ASSERT_TRUE(passed(timers.now() + limits::kMaxIdleAfterUnsolicitedData));
  server.wires[2]->on_data = answer;
  send();
  expect_end(3, AttemptOutcome::ok);
  EXPECT_EQ(server.wires.size(), 3u);
}
// The same holds if the second answer directly follows the first one, or is found by the check
// before a write.
TEST_F(ServerCrossing, HoweverASecondAnswerIsFoundTheConnectionsRest) {
  for (const bool with_the_first : {true, false}) {
    ends.clear();
    Peer server(loop.io, answer);
    upstream->update_endpoint(kServer, server.endpoint(), true);
    if (with_the_first) {
      server.on([](Wire& w) {
        if (!w.message().empty()) w.send(http_answer("200 OK") + http_answer("200 OK"));
      });
      send();
      expect_end(0, AttemptOutcome::reset);
      server.on(answer);
    } else {
      send();
      ASSERT_TRUE(wait_for_ends(1));
      put(*server.wires[0], http_answer("200 OK", "of another"));
    }
    send();
    expect_end(1, AttemptOutcome::ok);
    on_end = [&] {
      on_end = nullptr;
      send();  // at once
    };
    send();
    ASSERT_TRUE(wait_for_ends(4));
    EXPECT_GE(server.wires.size(), 3u);
  }
}
// The preference alone opens no new connection: the pool takes the most recently used connection
// that has been idle long enough, else the one that has been idle longest.
TEST_F(ServerCrossing, TheOneUsedLastOfThoseThatHaveRestedIsTaken) {
  Peer server(loop.io, answer);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  PoolStats own;
  ConnectionPool pool(kServer, own);
  pool.set_address(server.endpoint(), std::nullopt);
  std::vector<ConnectionPool::Connection> made;
  for (std::size_t i = 0; i < 2; ++i) {
    made.push_back(std::make_shared<UpstreamConnection>(*upstream, pool, loop.io));
    pool.on_connecting(made[i]);
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->request_id = "r" + std::to_string(i);
    const auto now = timers.now();
    made[i]->open(server.endpoint(), {RequestId(i), 0, kServer, now, now + 10s, m, {}, {}});
    ASSERT_TRUE(wait_for_ends(i + 1));
  }
  const Time first = made[0]->idle_since(), second = made[1]->idle_since();
  ASSERT_LT(first, second);
  const auto taken = [&](Time now) {
    const auto c = pool.acquire(now, 30s);
    pool.return_idle(c);
    return c;
  };
  EXPECT_EQ(taken(second + limits::kPreferredIdleTime), made[1]);
  EXPECT_EQ(taken(second + limits::kPreferredIdleTime - Duration(1)), made[0]);
  EXPECT_EQ(taken(first + Duration(1)), made[0]);
  EXPECT_EQ(own.idle, 2u);
  pool.on_unsolicited_data(second, second);
  EXPECT_EQ(pool.acquire(first + limits::kMinIdleAfterUnsolicitedData - Duration(1), 30s), nullptr);
  EXPECT_EQ(taken(first + limits::kMinIdleAfterUnsolicitedData), made[0]);
}

// ---- Between choice and write -------------------------------------------------------------------

// The client left just before the write. Nothing was written, so for the server the connection has
// been idle since its last answer.
TEST_F(ServerCrossing, OneThatWasNotWrittenToAfterAllHasIdledSinceItsLastAnswer) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  const Time since = timers.now();
  ASSERT_TRUE(passed(since + 50ms));
  int looks = 0;
  on_wanted_check = [&](RequestId r) {
    if (++looks == 2) abandoned.insert(r);
  };
  send();
  expect_end(1, AttemptOutcome::never_sent);
  ASSERT_EQ(stats().idle, 1u);
  on_wanted_check = nullptr;
  upstream->set_timeouts(250ms,
                         std::chrono::duration_cast<Duration>(50ms / limits::kIdleTimeoutShare));
  send();
  ASSERT_TRUE(wait_for_ends(3));
  EXPECT_EQ(server.wires.size(), 2u);
  EXPECT_EQ(written, 2u);
}

// Part of an answer's line arrives on an idle connection; the loop has reported it or not yet.
TEST_F(ServerCrossing, HalfALineThatComesWhileItRestsEndsIt) {
  for (const bool told_of : {true, false}) {
    ends.clear();
    Peer server(loop.io, answer);
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send();
    ASSERT_TRUE(wait_for_ends(1));
    put(*server.wires[0], "HTTP/1.1 2");
    if (told_of) {
      ASSERT_TRUE(loop.until([&] { return stats().open == 0; }));
    }
    send();
    expect_end(1, AttemptOutcome::ok);
    EXPECT_EQ(server.wires.size(), 2u);
  }
}
TEST_F(ServerCrossing, BytesAsItIsBeingClosedAreForNobody) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  put(*server.wires[0], http_answer("200 OK", "of another"));
  upstream->update_endpoint(kServer, server.endpoint(), false);
  EXPECT_EQ(stats().open, 0u);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->ended; }));
  EXPECT_EQ(ends.size(), 1u);
}
// The server closes after the check before the write found nothing. The request may have run and is
// written only once.
TEST_F(ServerCrossing, ACloseThatCrossesTheRequestIsAReset) {
  for (const bool read_first : {true, false}) {
    ends.clear(), written = 0;
    Peer server(loop.io, answer);
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send();
    ASSERT_TRUE(wait_for_ends(1));
    const auto wire = server.wires[0];
    wire->on_data = nullptr;
    send();
    if (read_first) {
      ASSERT_TRUE(loop.until([&] { return !wire->in.empty(); }));
    }
    read_first ? wire->send("", true) : wire->close();
    expect_end(1, AttemptOutcome::reset);
    EXPECT_EQ(written, 2u);
    EXPECT_EQ(server.wires.size(), 1u);
    EXPECT_EQ(stats().open, 0u);
  }
}
// The connect has completed, but the loop reports it after the event that ends the attempt.
TEST_F(ServerCrossing, AConnectThatComesUpForNothingIsNotWrittenTo) {
  struct Case {
    std::string what;
    std::function<void(Peer&)> crosses;
    AttemptOutcome outcome;
    std::size_t kept;
  };
  Peer other(loop.io);
  const std::vector<Case> cases{
      {"given up", [&](Peer&) { upstream->cancel(RequestId(sent), 0); }, AttemptOutcome::cancelled,
       0},
      {"client gone", [&](Peer&) { abandoned.insert(RequestId(sent)); }, AttemptOutcome::never_sent,
       1},
      {"drains", [&](Peer& p) { upstream->update_endpoint(kServer, p.endpoint(), false); },
       AttemptOutcome::never_sent, 0},
      {"gone from the list", [&](Peer&) { upstream->retain_endpoints({}); },
       AttemptOutcome::never_sent, 0},
      {"out by hand", [&](Peer&) { upstream->set_ejected(kServer, true); },
       AttemptOutcome::never_sent, 0},
      {"at another address",
       [&](Peer&) { upstream->update_endpoint(kServer, other.endpoint(), true); },
       AttemptOutcome::never_sent, 0},
      {"began anew",
       [&](Peer& p) { upstream->update_endpoint(kServer, p.endpoint(), true, Time(1h)); },
       AttemptOutcome::never_sent, 0},
      {"vanished", [&](Peer& p) { p.stop(); }, AttemptOutcome::connect_failed, 0},
      {"a successor serves",
       [&](Peer&) { upstream->set_keep_idle(false), abandoned.insert(RequestId(sent)); },
       AttemptOutcome::never_sent, 0}};
  for (const auto& c : cases) {
    ends.clear();
    Peer server(loop.io);
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send();
    c.crosses(server);
    ASSERT_TRUE(wait_for_ends(1)) << c.what;
    EXPECT_EQ(ends[0].outcome, c.outcome) << c.what;
    EXPECT_EQ(stats().open, c.kept) << c.what;
    EXPECT_EQ(stats().connecting, 0u) << c.what;
    upstream->set_ejected(kServer, false), upstream->set_keep_idle(true);
    upstream->release_idle(kServer, 0);
    if (c.outcome != AttemptOutcome::connect_failed) {
      ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && server.wires[0]->ended; }))
          << c.what;
    }
    EXPECT_EQ(all(server), "") << c.what;
    EXPECT_EQ(written, 0u) << c.what;
  }
}
// The deadline passes and the connect completes, or the answer arrives, before the loop continues.
// The attempt has exactly one outcome, and the connection's remaining state does not affect the
// next attempt.
TEST_F(ServerCrossing, TheLastInstantOfADeadline) {
  const auto let_pass = [&](Time when) {
    while (timers.now() < when) {}
  };
  Peer server(loop.io);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send(kServer, 50ms);
  let_pass(timers.now() + 50ms);
  expect_end(0, AttemptOutcome::never_sent);
  EXPECT_EQ(written, 0u);
  upstream->release_idle(kServer, 0);
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && server.wires[0]->ended; }));
  EXPECT_EQ(all(server), "");
  server.wires.clear();

  send(kServer, 500ms);
  const Time until = timers.now() + 500ms;
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && !server.wires[0]->in.empty(); }));
  put(*server.wires[0], http_answer("200 OK", "in time"));
  let_pass(until);
  ASSERT_TRUE(wait_for_ends(2));
  loop.io.poll();
  ASSERT_EQ(ends.size(), 2u);
  const bool served = ends[1].outcome == AttemptOutcome::ok;
  EXPECT_TRUE(served || ends[1].outcome == AttemptOutcome::timeout);
  EXPECT_EQ(stats().open, served ? 1u : 0u);
  server.on(answer);
  server.wires[0]->in.clear(), server.wires[0]->on_data = answer;
  send();
  expect_end(2, AttemptOutcome::ok);
  EXPECT_EQ(ends[2].answer.body, "x");
}
// The first byte of a repeat must be written while its idempotency key is still remembered. Here
// the connect completes in time, but the loop reports it too late.
TEST_F(ServerCrossing, ARepeatWhoseConnectComesUpAfterItsSpanIsNotWritten) {
  Peer server(loop.io, answer);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  const auto repeat = [&](Duration left) {
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::post, m->target = "/write", m->request_id = "r",
    m->idempotency_key = "k", m->body = "b";
    const auto now = timers.now();
    upstream->send({RequestId(++sent), 1, kServer, now, now + 10s, m, {}, {}, now + left});
    while (left < 1s && timers.now() < now + left) {}
  };
  repeat(10ms);
  expect_end(0, AttemptOutcome::never_sent);
  EXPECT_EQ(written, 0u);
  ASSERT_EQ(stats().idle, 1u);  // kept; a repeat that is too late is not written on it either
  repeat(0ms);
  expect_end(1, AttemptOutcome::never_sent);
  repeat(5s);
  expect_end(2, AttemptOutcome::ok);
  EXPECT_EQ(server.wires.size(), 1u);
  EXPECT_EQ(written, 1u);
}
TEST_F(ServerCrossing, AnAnswerToAGivenUpAttemptInTheInstantOfTheNextIsForNobody) {
  Peer server(loop.io);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !all(server).empty(); }));
  server.on(answer);
  put(*server.wires[0], http_answer("200 OK", "late"));
  upstream->cancel(RequestId(1), 0);
  send();
  ASSERT_TRUE(wait_for_ends(2));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::ok);
  EXPECT_EQ(ends[1].answer.body, "x");
}

// ---- Answers that are cut short or never end ----------------------------------------------------

// A chunk line or trailer without an end is not an answer, and it is not stored.
TEST_F(ServerCrossing, ALineThatNeverEndsIsNoAnswer) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string long_line(2 * limits::kMaxHeaderBytes, 'x');
  for (const auto& text :
       {"HTTP/1.1 200 " + long_line, "HTTP/1.1 200 OK\r\nX: " + long_line,
        chunked + "1;" + long_line, chunked + "1\r\na\r\n0;" + long_line,
        chunked + "1\r\na\r\n0\r\nX: " + long_line, chunked + std::string(long_line.size(), '0')}) {
    ends.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (!w.message().empty()) w.send(text);
    });
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send(kServer, 2s);
    ASSERT_TRUE(wait_for_ends(1));
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset) << text.substr(0, 70);
    EXPECT_EQ(stats().open, 0u);
  }
}
// Wherever an answer is cut short, by a close or a reset, none of it is passed on, and its
// connection is not reused.
TEST_F(ServerCrossing, AnAnswerThatBreaksIsAReset) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& text :
       {std::string("HTTP/1.1 20"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), chunked, chunked + "1",
        chunked + "5\r\nab", chunked + "2\r\nab", chunked + "2\r\nab\r\n",
        chunked + "2\r\nab\r\n0\r\n", chunked + "2\r\nab\r\n0\r\nX-T: 1\r\n",
        std::string("HTTP/1.1 102 Processing\r\n\r\n")})
    for (const bool in_order : {true, false}) {
      ends.clear();
      Peer server(loop.io, [&](Wire& w) {
        if (w.message().empty()) return;
        if (in_order) return w.send(text, true);
        put(w, text), w.reset();
      });
      upstream->update_endpoint(kServer, server.endpoint(), true);
      send();
      expect_end(0, AttemptOutcome::reset);
      EXPECT_EQ(ends[0].answer.body + streamed, "") << text;
      EXPECT_EQ(stats().open, 0u) << text;
    }
}
// An endless answer continues while the client reads it and ends when the client leaves. One that
// is not passed on to a client ends at its deadline.
TEST_F(ServerCrossing, AnAnswerThatNeverEndsEndsWithItsClientOrItsTime) {
  Peer server(loop.io);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !all(server).empty(); }));
  const auto wire = server.wires[0];
  wire->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string piece(limits::kStreamChunkBytes, 'x');
  for (std::size_t n = 1; n <= 4; ++n) {
    wire->send("4000\r\n" + piece + "\r\n");
    ASSERT_TRUE(loop.until([&] { return streamed.size() == n * piece.size(); }));
  }
  EXPECT_TRUE(ends.empty());
  upstream->cancel(RequestId(1), 0);
  expect_end(0, AttemptOutcome::cancelled);
  ASSERT_TRUE(loop.until([&] { return wire->ended; }));
  for (const std::string& text :
       {"HTTP/1.1 500 Oops\r\n\r\n" + piece, std::string("HTTP/1.1 102 Processing\r\n\r\n")}) {
    ends.clear(), streamed.clear();
    server.on([&](Wire& w) {
      if (!w.message().empty()) w.send(text);
    });
    send(kServer, 100ms);
    expect_end(0, AttemptOutcome::timeout);
    EXPECT_EQ(streamed, "");
    EXPECT_EQ(stats().open, 0u);
  }
}

}  // namespace
}  // namespace petrelrail::test
