// Connections to price servers where two events cross: an answer and the next request, a close and a write, a connect
// and the end of what it was for. Each order is forced: what crosses is in the socket before the loop goes on.
#include "facts.hpp"
#include "pool_host.hpp"

namespace petrelrail::test {
namespace {

struct ServerCrossing : PoolTest {
  // Into the socket at once, before the loop goes on.
  static void put(Wire& w, const std::string& text) { asio::write(w.socket, asio::buffer(text)); }
  bool passed(Time when) {
    return loop.until([&] { return timers.now() >= when; });
  }
  // What has been read so far on all of a server's connections.
  static std::string all(const Peer& server) {
    std::string text;
    for (const auto& w : server.wires) text += w->in;
    return text;
  }
  void expect_end(std::size_t which, Outcome outcome) {
    ASSERT_TRUE(ended(which + 1));
    EXPECT_EQ(ends[which].outcome, outcome) << which;
  }
};

// ---- A second answer, some time after the first ---------------------------------------------------------------

// It comes while the first one is being told; the system serves the next read with it at once, and the loop tells of
// that after the next request.
TEST_F(ServerCrossing, ASecondAnswerThatIsReadAheadIsSeenBeforeTheNextRequestIsWritten) {
  Peer server(loop.io, answer);
  told = [&] {
    told = nullptr;
    put(*server.wires[0], http_answer("200 OK", "of another"));
    asio::post(loop.io, [this] { send(); });
  };
  upstream->update(kOne, server.at(), true);
  send();
  expect_served_on_another(server);
  EXPECT_EQ(ends[1].answer.body, "x");
}
// A server starts on a request once its last byte has arrived: what it sends before that answers another one.
TEST_F(ServerCrossing, AnAnswerBeforeItsRequestIsWrittenWholeIsNotItsOwn) {
  Peer server(loop.io, answer);
  warm(server);
  const auto upload = std::make_shared<Upload>(std::nullopt);
  upload->put("a part");
  server.on({});
  server.wires[0]->came = nullptr;
  send(kOne, 10s, upload);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->in.ends_with("a part\r\n"); }));
  server.wires[0]->send(http_answer("200 OK", "of another"));
  expect_end(1, Outcome::never_sent);
  EXPECT_EQ(ends[1].answer.body, "");
  EXPECT_EQ(figures().open, 0u);
  EXPECT_EQ(written, 1u);
}

// Once it has done so, what it may send yet finds no request out: its connections rest first.
TEST_F(ServerCrossing, AServerThatAnsweredOutOfTurnHasItsConnectionsRest) {
  Peer server(loop.io, answer);
  warm(server);
  server.wires[0]->send(http_answer("200 OK", "of another"));
  ASSERT_TRUE(loop.until([&] { return figures().open == 0; }));
  told = [&] {
    told = nullptr;
    server.on({});
    server.wires[1]->came = nullptr;
    send();  // at once
  };
  send();
  ASSERT_TRUE(loop.until([&] { return !all(server).empty(); }));
  server.wires[1]->send(http_answer("200 OK", "of another"));
  ASSERT_TRUE(loop.until([&] { return server.wires[1]->ended; }));
  EXPECT_EQ(ends.size(), 2u);
  ASSERT_EQ(server.wires.size(), 3u);
  answer(*server.wires[2]);
  expect_end(2, Outcome::ok);
  EXPECT_EQ(ends[2].answer.body, "x");
  // When it has rested it is used again.
  ASSERT_TRUE(passed(timers.now() + facts::kLongestRest));
  server.wires[2]->came = answer;
  send();
  expect_end(3, Outcome::ok);
  EXPECT_EQ(server.wires.size(), 3u);
}
// Also where the second answer lies behind the first one, or is found by the look before a write.
TEST_F(ServerCrossing, HoweverASecondAnswerIsFoundTheConnectionsRest) {
  for (const bool with_the_first : {true, false}) {
    ends.clear();
    Peer server(loop.io, answer);
    upstream->update(kOne, server.at(), true);
    if (with_the_first) {
      server.on([](Wire& w) {
        if (!w.message().empty()) w.send(http_answer("200 OK") + http_answer("200 OK"));
      });
      send();
      expect_end(0, Outcome::reset);
      server.on(answer);
    } else {
      send();
      ASSERT_TRUE(ended(1));
      put(*server.wires[0], http_answer("200 OK", "of another"));
    }
    send();
    expect_end(1, Outcome::ok);
    told = [&] {
      told = nullptr;
      send();  // at once
    };
    send();
    ASSERT_TRUE(ended(4));
    EXPECT_GE(server.wires.size(), 3u);
  }
}
// Without a cause none is opened for it: of those that have rested the one used last, else the one that has longest.
TEST_F(ServerCrossing, TheOneUsedLastOfThoseThatHaveRestedIsTaken) {
  Peer server(loop.io, answer);
  upstream->update(kOne, server.at(), true);
  PoolFigures own;
  Pool pool(kOne, own);
  pool.settle(server.at(), std::nullopt);
  std::vector<Pool::Connection> made;
  for (std::size_t i = 0; i < 2; ++i) {
    made.push_back(std::make_shared<ServerConnection>(*upstream, pool, loop.io));
    pool.opened(made[i]);
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->id = "r" + std::to_string(i);
    const auto now = timers.now();
    made[i]->open(server.at(), {RequestId(i), 0, kOne, now, now + 10s, m, {}, {}});
    ASSERT_TRUE(ended(i + 1));
  }
  const Time first = made[0]->since(), second = made[1]->since();
  ASSERT_LT(first, second);
  const auto taken = [&](Time now) {
    const auto c = pool.take(now, 30s);
    pool.rest(c);
    return c;
  };
  EXPECT_EQ(taken(second + facts::kRest), made[1]);
  EXPECT_EQ(taken(second + facts::kRest - Duration(1)), made[0]);
  EXPECT_EQ(taken(first + Duration(1)), made[0]);
  EXPECT_EQ(own.idle, 2u);
  pool.out_of_turn(second, second);
  EXPECT_EQ(pool.take(first + facts::kRestOutOfTurn - Duration(1), 30s), nullptr);
  EXPECT_EQ(taken(first + facts::kRestOutOfTurn), made[0]);
}

// ---- Between choice and write ---------------------------------------------------------------------------------

// Its client went in the last instant: nothing was written, and to the server the connection idles as it did.
TEST_F(ServerCrossing, OneThatWasNotWrittenToAfterAllHasIdledSinceItsLastAnswer) {
  Peer server(loop.io, answer);
  warm(server);
  const Time since = timers.now();
  ASSERT_TRUE(passed(since + 50ms));
  int looks = 0;
  looked = [&](RequestId r) {
    if (++looks == 2) gone.insert(r);
  };
  send();
  expect_end(1, Outcome::never_sent);
  ASSERT_EQ(figures().idle, 1u);
  looked = nullptr;
  upstream->tune(250ms, std::chrono::duration_cast<Duration>(50ms / facts::kIdlePart));
  send();
  ASSERT_TRUE(ended(3));
  EXPECT_EQ(server.wires.size(), 2u);
  EXPECT_EQ(written, 2u);
}

// ---- Answers that break, and that never end ---------------------------------------------------------------------

// A line of chunks or a trailer without an end is no answer, and not kept.
TEST_F(ServerCrossing, ALineThatNeverEndsIsNoAnswer) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string long_line(2 * facts::kMostHeader, 'x');
  for (const auto& text :
       {"HTTP/1.1 200 " + long_line, "HTTP/1.1 200 OK\r\nX: " + long_line, chunked + "1;" + long_line,
        chunked + "1\r\na\r\n0;" + long_line, chunked + "1\r\na\r\n0\r\nX: " + long_line,
        chunked + std::string(long_line.size(), '0')}) {
    ends.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (!w.message().empty()) w.send(text);
    });
    upstream->update(kOne, server.at(), true);
    send(kOne, 2s);
    ASSERT_TRUE(ended(1));
    EXPECT_EQ(ends[0].outcome, Outcome::reset) << text.substr(0, 70);
    EXPECT_EQ(figures().open, 0u);
  }
}

}  // namespace
}  // namespace petrelrail::test
