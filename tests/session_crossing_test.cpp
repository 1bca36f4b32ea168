// Clients' sessions where two events cross: a close and a send, a shutdown and a request. Each order is forced.
#include "node_host.hpp"

namespace petrelrail::test {
namespace {

int error_of(Wire& w) {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(w.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

struct GoneClient : NodeTest {
  // Without having been sent on, or not sent on once more.
  void expect_left(std::size_t attempts) {
    ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0 && figure("node_concurrent 0"); }));
    EXPECT_EQ(seen.size(), attempts);
    EXPECT_EQ(status(Ask{.id = "a9"}), 200);  // others are served
    EXPECT_EQ(seen.size(), attempts + 1);
  }
};
// The units that a request waits for and its client's close have both come before the loop goes on, the units first.
TEST_F(GoneClient, ACloseThatTheLoopHasNotToldOfComesBeforeTheSend) {
  start();
  for (const bool resets : {false, true}) {
    std::shared_ptr<Wire> asked;
    counter.on([&](Wire& w) {
      if (!w.line().empty()) asked = w.shared_from_this();
    });
    for (const auto& w : counter.wires)
      w->came = [&](Wire& c) {
        if (!c.line().empty()) asked = c.shared_from_this();
      };
    const auto w = client();
    w->send(Ask{.cookie = resets ? "client=0000000000000002" : "client=0000000000000001"}.text());
    ASSERT_TRUE(loop.until([&] { return asked != nullptr; }));
    asio::write(asked->socket, asio::buffer(std::string("ok 1\r\n")));
    resets ? w->reset() : w->close();
    ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
    EXPECT_TRUE(seen.empty());
  }
}
// Of a client that has written far ahead nothing more is kept, but it is read on: its close lies behind all that.
TEST_F(GoneClient, ACloseBehindALotThatNobodyAskedForIsSeen) {
  start();
  std::shared_ptr<Wire> first;
  respond = [&](Wire& w, const std::string&) {
    if (!first) return void(first = w.shared_from_this());
    w.send(http_answer("200 OK", "served"));
  };
  const auto w = client();
  asio::write(w->socket, asio::buffer(Ask{.timeout = "3600000"}.text()));
  ASSERT_TRUE(loop.until([&] { return first != nullptr; }));
  asio::write(w->socket, asio::buffer(std::string(400000, 'x')));
  w->close();
  ASSERT_TRUE(loop.until([&] { return figure("node_sessions 1"); }));  // the test's first one
  first->send(http_answer("500 Oops"));  // safe to repeat: a further attempt would be made
  expect_left(1);
}

struct LingeringClose : NodeTest {
  // A session that rests after its answer, and a node that has just been told to end.
  std::shared_ptr<Wire> resting() {
    start();
    const auto w = client();
    w->send(Ask{}.text());
    EXPECT_EQ(status(w), 200);
    node->drain([this] { ended = true; });
    EXPECT_TRUE(loop.until([&] { return w->ended; }));  // its sending side
    return w;
  }
  bool ended = false;
};
// What crosses the close is thrown away and is no reset, which could take an answer with it that is still on its way.
TEST_F(LingeringClose, ARequestThatCrossesTheCloseIsNeitherSentOnNorAReset) {
  const auto w = resting();
  const auto text = Ask{.id = "a2"}.text();
  for (const auto& part : {text.substr(0, 1), text.substr(1, 40), text.substr(41), text}) {
    asio::write(w->socket, asio::buffer(part));
    EXPECT_EQ(error_of(*w), 0);
  }
  w->close();
  EXPECT_TRUE(loop.until([&] { return ended; }));
  EXPECT_EQ(seen.size(), 1u);
}
// It reads on for a bounded time: the node ends though this client neither closes nor stops to write.
TEST_F(LingeringClose, AClientThatNeverClosesDoesNotHoldTheNodeUp) {
  const auto w = resting();
  EXPECT_TRUE(loop.until([&] {
    error_code failed;
    asio::write(w->socket, asio::buffer(std::string("x")), failed);
    return ended;
  }));
  EXPECT_EQ(seen.size(), 1u);
}

}  // namespace
}  // namespace petrelrail::test
