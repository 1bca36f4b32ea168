// Tests of the petrelrail program between scripted clients and price servers: truncated or
// malformed answers, and the log lines and metrics about requests and refusals.
#include "race_fixture.hpp"

namespace petrelrail::test {
namespace {

struct Answers : Crossing {
  // Starts the program with request logging and a class whose requests must not be sent twice.
  void start() {
    config["settings"]["grades"][0]["idempotency"] = "unsafe";
    run(1024, {"--log-requests"});
    ASSERT_TRUE(up());
  }
  static std::string post() {
    auto words = ProcessTest::ask();
    words.replace(0, 3, "POST");
    return words.insert(words.size() - 2, "Content-Length: 0\r\n");
  }
};

// With --log-requests, each step of a request is logged under its ID, and the ends of the
// attempt and of the session are counted.
TEST_F(Answers, ARequestCanBeFollowedByItsIdAndItsEndIsCounted) {
  start();
  const auto w = loop.connect(listen);
  w->send(post());
  EXPECT_TRUE(served(w));
  for (const auto* event :
       {"node: taken", "node: sent", "upstream: attempt ended", "node: answered"})
    EXPECT_TRUE(logged(std::string(event) + " request=a1 ")) << event << '\n' << log();
  EXPECT_EQ(figure("node_attempt_ends{reason=\"answered\"}"), "1");
  EXPECT_EQ(figure("node_retries"), "0");
  w->close();
  EXPECT_TRUE(
      loop.until([&] { return figure("node_session_ends{reason=\"client_closed\"}") == "1"; }));
}
// A request refused because the quota is used up is counted and logged with that cause.
TEST_F(Answers, ARefusalIsCountedByItsCause) {
  counter.on([](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line())
      w.send(l == "ping" ? "pong\r\n" : "ok 1000000\r\n");
  });
  start();
  const auto w = loop.connect(listen);
  w->send(post());
  EXPECT_EQ(answered(w), 429);
  EXPECT_EQ(figure("node_refusals{cause=\"quota_used\"}"), "1");
  EXPECT_TRUE(logged("node: refused request=a1 cause=quota_used")) << log();
}

// Body length in bytes; long enough that the node forwards a part of the answer before the
// answer is complete.
constexpr std::size_t kLong = 24'000;

struct Framing {
  const char* name;
  bool chunked;
};
struct Behind {
  const char* name;
  std::string bytes;
};

// Issue 30: a part of the answer has been forwarded when its last byte arrives together with
// further bytes that belong to no answer. The answer is complete: the client gets all of it, the
// next request on the client's connection is served, and the server's connection is not reused.
TEST_F(Answers, AWholeAnswerThatIsPassedOnIsFinishedWhateverComesBehindIt) {
  const std::string body(kLong, 'b');
  std::string answer;
  server.on([&](Wire& w) {
    if (!w.message().empty()) w.send(answer);
  });
  start();
  const std::vector<Framing> framings{{"length", false}, {"chunked", true}};
  const std::vector<Behind> behinds{
      {"a few bytes", std::string(52, 'x')},
      {"a second answer", http_answer("200 OK", "another")},
      {"a second answer, long", http_answer("200 OK", std::string(kLong, 'c'))}};
  const auto w = loop.connect(listen);
  for (const auto& framing : framings) {
    for (const auto& behind : behinds) {
      SCOPED_TRACE(std::string(framing.name) + ", behind it " + behind.name);
      char size[16];
      std::snprintf(size, sizeof size, "%zx", body.size());
      answer = framing.chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                     std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n"
                               : http_answer("200 OK", body);
      answer += behind.bytes;
      w->in.clear();
      w->send(post());
      const auto whole = [&] {
        return framing.chunked ? w->in.ends_with("\r\n0\r\n\r\n")
                               : w->in.ends_with("\r\n\r\n" + body);
      };
      ASSERT_TRUE(loop.until([&] { return whole() || w->ended; }));
      EXPECT_TRUE(whole()) << w->in.size() << " bytes came, and the connection ended\n" << log();
      ASSERT_FALSE(w->ended);
    }
  }
  EXPECT_EQ(figure("node_session_ends{reason=\"answer_broke\"}"), "0");
  EXPECT_EQ(figure("node_pool_reuses"), "0");
}

// A chunked answer becomes malformed after a valid part: the client gets everything before the
// malformed byte, also where the fault lies in the same read as the last valid part.
TEST_F(Answers, AnAnswerThatBreaksIsPassedOnUpToWhereItBroke) {
  const std::string last(100, 'z');
  server.on([&](Wire& w) {
    if (w.message().empty()) return;
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5dc0\r\n" +
                         std::string(kLong, 'b') + "\r\n";
    w.send(answer + "64\r\n" + last + "\r\nno chunk\r\n");
  });
  start();
  const auto w = loop.connect(listen);
  w->send(post());
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_NE(w->in.find(last), std::string::npos) << w->in.size() << " bytes came\n" << log();
  EXPECT_FALSE(w->in.ends_with("0\r\n\r\n"));
  EXPECT_TRUE(logged("reason=malformed")) << log();
  w->close();
  EXPECT_TRUE(
      loop.until([&] { return figure("node_session_ends{reason=\"answer_broke\"}") == "1"; }));
}

}  // namespace
}  // namespace petrelrail::test
