// Tests of client sessions when two events coincide: a close and the forwarding of a request, a
// shutdown and a request. They guard against forwarding for a client that has left and against lost
// answers. Each order is forced.
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

int error_of(Wire& w) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(w.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

struct GoneClient : NodeTest {
  // Expects that the request was not forwarded again after the given number of attempts.
  void expect_left(std::size_t attempts) {
    ASSERT_TRUE(
        loop.until([&] { return node->open_requests() == 0 && has_metric("node_concurrent 0"); }));
    EXPECT_EQ(received_requests.size(), attempts);
    EXPECT_EQ(status(RequestSpec{.id = "a9"}), 200);  // others are served
    EXPECT_EQ(received_requests.size(), attempts + 1);
  }
};
// The units that a request waits for and its client's close both arrive before the loop continues,
// the units first. The request must not be forwarded.
TEST_F(GoneClient, ACloseThatTheLoopHasNotToldOfComesBeforeTheSend) {
  start();
  for (const bool resets : {false, true}) {
    std::shared_ptr<Wire> asked;
    counter.on([&](Wire& w) {
      if (!w.line().empty()) asked = w.shared_from_this();
    });
    for (const auto& w : counter.wires)
      w->on_data = [&](Wire& c) {
        if (!c.line().empty()) asked = c.shared_from_this();
      };
    const auto w = client();
    w->send(RequestSpec{.cookie = resets ? "client=0000000000000002" : "client=0000000000000001"}
                .text());
    ASSERT_TRUE(loop.until([&] { return asked != nullptr; }));
    asio::write(asked->socket, asio::buffer(std::string("ok 1\r\n")));
    resets ? w->reset() : w->close();
    ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
    EXPECT_TRUE(received_requests.empty());
  }
}
// When a client has sent far ahead, the session stores no more but continues to read, because the
// client's close arrives after all that data.
TEST_F(GoneClient, ACloseBehindALotThatNobodyAskedForIsSeen) {
  start();
  std::shared_ptr<Wire> first;
  respond = [&](Wire& w, const std::string&) {
    if (!first) return void(first = w.shared_from_this());
    w.send(http_answer("200 OK", "served"));
  };
  const auto w = client();
  asio::write(w->socket, asio::buffer(RequestSpec{.timeout = "3600000"}.text()));
  ASSERT_TRUE(loop.until([&] { return first != nullptr; }));
  asio::write(w->socket, asio::buffer(std::string(400000, 'x')));
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return has_metric("node_sessions 1"); }));  // the fixture's own session
  first->send(http_answer("500 Oops"));  // safe to repeat: a retry would follow
  expect_left(1);
}

// An answer is cut short while it is passed on. The node closes without a reset, which could
// discard what the client has received, and the missing end shows the client that the answer is
// incomplete.
TEST_F(NodeTest, AnAnswerThatBreaksOnItsWayEndsInOrderWithoutItsEnd) {
  start();
  for (const char* framing : {"", "Content-Length: 70000\r\n"}) {
    respond = [&](Wire& w, const std::string&) {
      w.send("HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n" + std::string(20000, 'x'));
    };
    const auto w = client();
    w->send(RequestSpec{}.text());
    ASSERT_TRUE(loop.until([&] { return std::ranges::count(w->in, 'x') == 20000; }));
    for (auto* p : {&server, &second})
      for (const auto& c : p->wires) c->reset();
    ASSERT_TRUE(loop.until([&] { return w->ended; }));
    EXPECT_FALSE(w->has_error);
    EXPECT_FALSE(w->in.ends_with("\r\n0\r\n\r\n"));
  }
}
// A head alone is not passed on, so another server can be tried. An answer that never continues
// after its head ends at the request's deadline.
TEST_F(NodeTest, AHeadAloneIsHeldAndMayBeTriedElsewhere) {
  start();
  std::shared_ptr<Wire> first;
  respond = [&](Wire& w, const std::string&) {
    const auto begun = std::string("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n");
    if (received_requests.size() == 2) return w.send(begun + "abc");
    if (first) return w.send(http_answer("200 OK", "served"));
    first = w.shared_from_this();
    w.send(begun);
  };
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_TRUE(loop.until([&] { return first != nullptr; }));
  const auto later = client();  // its held partial answer is passed on after the same time
  later->send(RequestSpec{.id = "a2"}.text());
  ASSERT_TRUE(loop.until([&] { return later->in.ends_with("abc"); }));
  first->reset();
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(answer.ends_with("served"));
  respond = [](Wire& c, const std::string&) { c.send("HTTP/1.1 200 OK\r\n\r\n"); };
  EXPECT_GE(status(RequestSpec{.timeout = "400"}), 429);
}

struct LingeringClose : NodeTest {
  // Returns a session that is idle after its answer, on a node that has just begun to drain.
  std::shared_ptr<Wire> resting() {
    start();
    const auto w = client();
    w->send(RequestSpec{}.text());
    EXPECT_EQ(status(w), 200);
    node->drain([this] { ended = true; });
    EXPECT_TRUE(loop.until([&] { return w->ended; }));  // the node's sending side
    return w;
  }
  bool ended = false;
};
// A request that coincides with the close is discarded without a reset, which could discard an
// answer that is still in transit.
TEST_F(LingeringClose, ARequestThatCrossesTheCloseIsNeitherSentOnNorAReset) {
  const auto w = resting();
  const auto text = RequestSpec{.id = "a2"}.text();
  for (const auto& part : {text.substr(0, 1), text.substr(1, 40), text.substr(41), text}) {
    asio::write(w->socket, asio::buffer(part));
    EXPECT_EQ(error_of(*w), 0);
  }
  w->close();
  EXPECT_TRUE(loop.until([&] { return ended; }));
  EXPECT_EQ(received_requests.size(), 1u);
}
// A lingering close reads for a bounded time: the node ends although this client neither closes nor
// stops writing.
TEST_F(LingeringClose, AClientThatNeverClosesDoesNotHoldTheNodeUp) {
  const auto w = resting();
  EXPECT_TRUE(loop.until([&] {
    error_code failed;
    asio::write(w->socket, asio::buffer(std::string("x")), failed);
    return ended;
  }));
  EXPECT_EQ(received_requests.size(), 1u);
}

}  // namespace
}  // namespace petrelrail::test
