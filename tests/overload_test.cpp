// Tests of a complete edge node over loopback sockets: limits on what one client can make it hold,
// and the turns that its connections get.
#include "limits.hpp"
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

// Guards against a connection whose requests are answered at once taking more turns of the event
// loop than others.
TEST_F(NodeTest, ManyRequestsOnOneConnectionLetOthersHaveTheirTurns) {
  start();
  constexpr std::size_t kRequests = 2000;
  std::string many;
  for (std::size_t i = 0; i < kRequests; ++i) many += "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto flood = client(), other = client();
  other->send(RequestSpec{}.text());
  ASSERT_EQ(status(other), 200);  // has a lease and a connection to a server
  std::size_t answers = 0;
  flood->on_data = [&](Wire& w) {
    while (!w.message().empty()) ++answers;
  };
  asio::write(flood->socket, asio::buffer(many));
  other->send(RequestSpec{.id = "a2"}.text());
  EXPECT_EQ(status(other), 200);
  EXPECT_LT(answers, kRequests / 10);
  EXPECT_TRUE(loop.until([&] { return answers == kRequests; }));
}

struct FieldLimit : NodeTest {
  static std::string with_fields(std::size_t more) {
    std::string fields;
    for (std::size_t i = 0; i < more; ++i) fields += "a:b\r\n";
    return RequestSpec{.extra_headers = fields}.text();
  }
  static std::size_t own_fields() {
    const auto text = RequestSpec{}.text();
    std::size_t lines = 0;
    for (auto at = text.find("\r\n"); at != std::string::npos; at = text.find("\r\n", at + 2))
      ++lines;
    return lines - 2;  // the request line, and the empty one
  }
};
// Guards against short fields of a header that take many times their bytes.
TEST_F(FieldLimit, ARequestWithMoreFieldsIsAnswered431) {
  start();
  EXPECT_EQ(status(with_fields(limits::kMaxHeaderFields - own_fields())), 200);
  EXPECT_EQ(status(with_fields(limits::kMaxHeaderFields - own_fields() + 1)), 431);
  EXPECT_TRUE(has_metric("node_sheddings{reason=\"too_many_fields\"} 1"));
}
// Guards against a header of a chunk that is buffered without end.
TEST_F(FieldLimit, AChunkHeaderWithoutEndIsAnswered431) {
  start();
  auto spec = unsafe_request();
  spec.body.clear(), spec.extra_headers = "Transfer-Encoding: chunked\r\n";
  auto text = spec.text();
  const std::string no_body = "Content-Length: 0\r\n";
  text.replace(text.find(no_body), no_body.size(), "");
  EXPECT_EQ(status(text + "5;" + std::string(3 * limits::kMaxHeaderBytes, 'e')), 431);
}
// Guards against an answer whose fields take many times their bytes.
TEST_F(FieldLimit, AnAnswerWithMoreFieldsIsMalformed) {
  std::string fields;
  for (std::size_t i = 0; i <= limits::kMaxHeaderFields; ++i) fields += "a:b\r\n";
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served", fields)); };
  start();
  EXPECT_EQ(status(unsafe_request()), 502);
  EXPECT_TRUE(has_metric("node_attempt_ends{reason=\"malformed\"} 1"));
}
// Guards against requests behind an open one being dropped where more is sent ahead than is read.
TEST_F(NodeTest, RequestsSentFarAheadAreServedInTheirOrder) {
  start();
  constexpr std::size_t kRequests = 12;
  std::string many;
  auto spec = unsafe_request();
  spec.body = std::string(2000, 'b'), spec.timeout = "30000";
  for (std::size_t i = 0; i < kRequests; ++i) {
    spec.id = "n" + std::to_string(i);
    many += spec.text();
  }
  const auto w = client();
  w->send(many);
  for (std::size_t i = 0; i < kRequests; ++i) ASSERT_NE(status(w), 0) << i;
  EXPECT_FALSE(w->ended);
  EXPECT_NE(received_requests.front().find("X-Request-ID: n0\r\n"), std::string::npos);
}

}  // namespace
}  // namespace petrelrail::test
