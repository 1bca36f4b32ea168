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
