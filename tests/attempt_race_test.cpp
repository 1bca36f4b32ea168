// Tests of retries through the whole node: which requests may be sent again, and when. They guard
// against a request that runs twice. Each order is forced: the first attempt waits at a server
// until the test makes it fail.
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

struct AttemptCrossing : NodeTest {
  // Sends a request and returns its client connection once the first attempt waits at a server.
  std::shared_ptr<Wire> asked(const RequestSpec& a) {
    respond = [this](Wire& w, const std::string&) {
      if (!first) first = w.shared_from_this();
    };
    const auto w = client();
    w->send(a.text());
    EXPECT_TRUE(loop.until([&] { return first != nullptr; }));
    return w;
  }
  void serve_the_next() {
    respond = [](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served")); };
  }
  void reload(std::size_t cls, Idempotency effect) {
    config.settings.settings.classes.at(cls).idempotency = effect;
    node->reconfigure(config);
  }
  std::shared_ptr<Wire> first;
};
// An unsafe request that may have run is not sent again, however its first attempt fails, and the
// answer does not say that it is safe to retry.
TEST_F(AttemptCrossing, AnUnsafeOneThatMayHaveRunIsSentOnce) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  start();
  for (const std::string& text :
       {std::string("HTTP/1.1 20"), chunked + "5\r\nab", chunked + "2\r\nab\r\n0\r\nX-T: 1\r\n",
        http_answer("200 OK") + http_answer("200 OK")}) {
    received_requests.clear(), first = nullptr;
    const auto w = asked(unsafe_request());
    serve_the_next();
    first->send(text, true);
    const int s = status(w);
    EXPECT_TRUE(s >= 500 && s != 503) << s << text;
    EXPECT_EQ(received_requests.size(), 1u) << text;
    EXPECT_EQ(status(RequestSpec{}), 200);
  }
}
// The first attempt's connection is closed before the second attempt is written, although the
// server still holds it open.
TEST_F(AttemptCrossing, TwoAttemptsAreNeverOutAtOnce) {
  start();
  const auto w = asked(RequestSpec{});
  std::shared_ptr<Wire> next;
  respond = [&](Wire& c, const std::string&) { next = c.shared_from_this(); };
  first->send("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return next && first->ended; }));
  next->send(http_answer("200 OK", "served"));
  EXPECT_EQ(status(w), 200);
  EXPECT_EQ(received_requests.size(), 2u);
}
// A request in flight during a reload keeps the configuration it started with.
TEST_F(AttemptCrossing, AReloadThatMakesTheClassUnsafeLeavesWhatIsOutAsItWas) {
  start();
  const auto w = asked(RequestSpec{});
  reload(0, Idempotency::non_idempotent);
  serve_the_next();
  first->reset();
  EXPECT_EQ(status(w), 200);
  EXPECT_EQ(received_requests.size(), 2u);
}
TEST_F(AttemptCrossing, AReloadThatMakesTheClassSafeLeavesWhatIsOutAsItWas) {
  start();
  const auto w = asked(unsafe_request());
  reload(2, Idempotency::idempotent);
  serve_the_next();
  first->reset();
  const int s = status(w);
  EXPECT_TRUE(s >= 500 && s != 503) << s;
  EXPECT_EQ(received_requests.size(), 1u);
}

// Clients adopt a new configuration with a delay. Until then requests in the previous form are
// accepted under its rules.
TEST_F(AttemptCrossing, AReloadThatChangesAnEffectTakesTheFormsOfNowAndOfBefore) {
  start();
  reload(0, Idempotency::non_idempotent);
  const RequestSpec now{.method = "POST", .body = "b"}, before{};
  for (const auto& [a, attempts] : {std::pair(before, 2U), std::pair(now, 1U)}) {
    received_requests.clear(), first = nullptr;
    const auto w = asked(a);
    ASSERT_NE(first, nullptr);
    serve_the_next();
    first->reset();
    const int s = status(w);
    EXPECT_EQ(s == 200, attempts == 2U) << s;
    EXPECT_EQ(received_requests.size(), attempts);
  }
  EXPECT_EQ(status(RequestSpec{.extra_headers = "Idempotency-Key: k1\r\n"}),
            405);  // valid in neither form
  reload(0, Idempotency::idempotent);
  EXPECT_EQ(status(before), 200);
  EXPECT_EQ(status(now), 200);
}

}  // namespace
}  // namespace petrelrail::test
