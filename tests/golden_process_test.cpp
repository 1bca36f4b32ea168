// Golden tests of the petrelrail program's outer interfaces: replies of the control address, names
// of metrics, and a recorded hand-over state of an earlier process.
#include <sys/socket.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <cstring>

#include "golden.hpp"
#include "race_fixture.hpp"

namespace petrelrail::test {
namespace {

// Returns the lines of /metrics without their values.
std::string series_of(const std::string& reply) {
  std::istringstream lines(reply.substr(reply.find("\r\n\r\n") + 4));
  std::string text;
  for (std::string line; std::getline(lines, line);)
    text += (line.starts_with("#") ? line : line.substr(0, line.rfind(' '))) + "\n";
  return text;
}

struct GoldenControl : Crossing {};

// Guards against unintended changes of the control address's replies, which operators' tools
// depend on.
TEST_F(GoldenControl, RepliesAreAsBefore) {
  run();
  ASSERT_TRUE(up());
  std::string text;
  for (const std::string call_line :
       {"GET /ready", "POST /ready", "GET /members", "PUT /members", "POST /metrics",
        "GET /nothing", "GET /duties", "GET /jobs", "POST /price-servers/disable",
        "GET /price-servers/disable?who=s-00000001", "POST /price-servers/disable?who=s-00000009",
        "POST /price-servers/disable?who=s-00000001", "POST /price-servers/enable?who=s-00000001",
        "POST /price-servers/enable?who=%zz", "GET"}) {
    const auto with_version = call_line == "GET" ? call_line : call_line + " HTTP/1.1";
    text += "> " + call_line + "\n" + call(with_version + "\r\nHost: x\r\n\r\n") + "\n";
  }
  expect_golden("control_replies.txt", text);
}

// Guards against renamed or missing metrics.
TEST_F(GoldenControl, SeriesOfMetricsAreAsBefore) {
  run();
  ASSERT_TRUE(up());
  call("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n");
  expect_golden("metrics_series.txt", series_of(figures()));
}

// Stands in for the predecessor process: passes the listening socket and the recorded state to
// the program.
struct GoldenHandover : Crossing {
  using Local = asio::local::stream_protocol;

  GoldenHandover() : acceptor(loop.io), link(loop.io), listening(loop.io) {
    config["settings"]["fleet-size"] = 3;
    config["settings"]["extra"]["inbox-per-s"] = 60;
    config["settings"]["ceilings"]["peer-messages"] = true;
    config["peer_listen"] = "127.0.0.1:" + std::to_string(free_port().port());
    config["peers"] = json::array();
    for (int i = 0; i < 3; ++i)
      config["peers"].push_back("127.0.0.1:" + std::to_string(free_port().port()));
  }
  void wait_for_successor() {
    acceptor.open(Local());
    acceptor.bind((dir / ("petrelrail-" + config["listen"].get<std::string>() + ".sock")).string());
    acceptor.listen();
    listening.open(Tcp::v4());
    listening.set_option(asio::socket_base::reuse_address(true));
    listening.bind(listen);
    listening.listen();
    acceptor.async_accept(link, [this](const error_code& failed) { accepted = !failed; });
  }
  // Returns the next line that the successor has written.
  std::string line() {
    std::array<char, 512> space{};
    EXPECT_TRUE(loop.until([&] {
      const auto n = ::recv(link.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
      if (n > 0) in.append(space.data(), static_cast<std::size_t>(n));
      return in.find('\n') != std::string::npos;
    })) << log();
    const auto whole = in.substr(0, in.find('\n'));
    in.erase(0, whole.size() + 1);
    return whole;
  }
  void give_listener() {
    std::string text = "{\"listener\":true}\n";
    const int descriptor = listening.native_handle();
    iovec part{text.data(), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> space{};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = space.data();
    message.msg_controllen = space.size();
    auto* control_part = CMSG_FIRSTHDR(&message);
    control_part->cmsg_level = SOL_SOCKET;
    control_part->cmsg_type = SCM_RIGHTS;
    control_part->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(control_part), &descriptor, sizeof descriptor);
    ASSERT_GT(::sendmsg(link.native_handle(), &message, MSG_NOSIGNAL), 0);
  }

  asio::basic_socket_acceptor<Local> acceptor;
  asio::basic_stream_socket<Local> link;
  asio::basic_socket_acceptor<Tcp> listening;
  std::string in;
  bool accepted = false;
};

// Guards against a program that cannot read the hand-over state of an earlier version: it takes
// over the recorded state without a read error and serves on the passed socket.
TEST_F(GoldenHandover, StateOfAnEarlierProcessIsTakenOver) {
  wait_for_successor();
  run(1024, {"--members", "on,jobs"});
  ASSERT_TRUE(loop.until([&] { return accepted; })) << log();
  EXPECT_EQ(line(), "{\"hello\":1}");
  give_listener();
  EXPECT_EQ(line(), "{\"take\":true}");
  const auto state = json::parse(read_golden("handover_state_of_process.json"));
  const auto text = json{{"state", state}}.dump() + "\n";
  ASSERT_EQ(::send(link.native_handle(), text.data(), text.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(text.size()));
  EXPECT_TRUE(logged("taken over from a predecessor")) << log();
  EXPECT_EQ(log().find("can't be read"), std::string::npos) << log();
  error_code ignored;
  listening.close(ignored);  // the successor holds the listening socket
  const auto wire = loop.connect(listen);
  wire->send(ProcessTest::ask());
  EXPECT_TRUE(served(wire)) << log();
}

}  // namespace
}  // namespace petrelrail::test
