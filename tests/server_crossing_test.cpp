// Connections to price servers where two events cross: an answer and the next request, a close and a write, a connect
// and the end of what it was for. Each order is forced: what crosses is in the socket before the loop goes on.
#include "facts.hpp"
#include "node_host.hpp"
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
