// Golden tests of nodes with membership and jobs enabled: every key of the control address's JSON,
// every name of the metrics, every key of the hand-over state.
#include <sys/socket.h>
#include <sys/un.h>

#include "golden.hpp"
#include "process_cluster_fixture.hpp"

namespace petrelrail::test {
namespace {

constexpr std::uint32_t kNodes = 3;

struct GoldenTier : ::testing::Test {
  GoldenTier() : tier(kNodes, "on,jobs") {}
  void SetUp() override {
    tier.start_all();
    ASSERT_TRUE(tier.ready()) << tier.log(0);
    ASSERT_TRUE(tier.agreed());
  }
  static std::string job(const std::string& prefix) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return json{{"customer", "0000000000000007"},
                {"plan", "p"},
                {"class", "read"},
                {"prefix", prefix},
                {"path", "/read/{}"},
                {"range", {{"first", 1000}, {"count", 20}}},
                {"ends", std::chrono::duration_cast<std::chrono::seconds>(now).count() + 600}}
        .dump();
  }
  // Submits a job, waits until it has finished, and returns its ID.
  std::string finished_job(const std::string& prefix) {
    const auto accepted = tier.ask("POST", "/jobs", job(prefix));
    EXPECT_EQ(accepted.status, 202) << accepted.body;
    const auto id = accepted.body.value("id", "");
    EXPECT_TRUE(tier.until([&] {
      const auto answers = tier.ask("GET", "/jobs/" + id + "/answers");
      return answers.status == 200 && answers.body["next"] == 20;
    }));
    return id;
  }
  std::filesystem::path handover_socket(std::uint32_t node) const {
    for (const auto& entry :
         std::filesystem::directory_iterator(tier.dir / std::to_string(node) / "tmp"))
      if (entry.path().extension() == ".sock") return entry.path();
    return {};
  }
  // Sends one client request, so that a customer's lease exists.
  void request_once(std::uint32_t node) {
    const auto name = handover_socket(node).stem().string();  // petrelrail-ADDRESS:PORT
    const auto colon = name.rfind(':');
    const auto dash = name.find('-');
    const auto wire = tier.loop.connect(
        {asio::ip::make_address(name.substr(dash + 1, colon - dash - 1)),
         static_cast<unsigned short>(std::stoi(name.substr(colon + 1)))});
    wire->send(
        "GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: a1\r\nX-Priority-Class: "
        "read\r\nX-Plan: p\r\n"
        "Cookie: client=0000000000000007\r\nX-Timeout-Ms: 2000\r\nX-Quota: "
        "units=1,spread=2,first=0\r\n\r\n");
    EXPECT_TRUE(tier.until([&] { return wire->in.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(wire->in.starts_with("HTTP/1.1 200")) << wire->in;
  }
  // Requests the node's hand-over state as a successor process does, and returns it.
  json handed_over(std::uint32_t node) {
    const int link = ::socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    const auto path = handover_socket(node).string();
    std::copy(path.begin(), path.end(), at.sun_path);
    EXPECT_EQ(::connect(link, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0) << path;
    const std::string words = "{\"hello\":1}\n{\"take\":true}\n";
    EXPECT_EQ(::send(link, words.data(), words.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(words.size()));
    std::string in;
    std::array<char, 65536> space{};
    const auto complete = [&] { return std::ranges::count(in, '\n') == 2; };
    tier.until([&] {
      const auto n = ::recv(link, space.data(), space.size(), MSG_DONTWAIT);
      if (n > 0) in.append(space.data(), static_cast<std::size_t>(n));
      return complete();
    });
    ::close(link);
    EXPECT_TRUE(complete()) << in.substr(0, 200);
    return json::parse(in.substr(in.find('\n') + 1)).at("state");
  }
  static std::string series_of(const std::string& metrics) {
    std::istringstream lines(metrics.substr(metrics.find("\r\n\r\n") + 4));
    std::string text;
    for (std::string line; std::getline(lines, line);)
      text += (line.starts_with("#") ? line : line.substr(0, line.rfind(' '))) + "\n";
    return text;
  }

  Tier tier;
};

// Guards against renamed or missing keys in the replies about members, leases and jobs, which
// operators' tools depend on.
TEST_F(GoldenTier, ControlRepliesHaveTheKeysOfBefore) {
  const auto id = finished_job("9b1f03aa5c7e");
  std::string text;
  const auto add = [&](const std::string& call, const Tier::Reply& reply) {
    text += "> " + call + " " + std::to_string(reply.status) + "\n" + paths_of(reply.body);
  };
  // A member that is not yet known for long enough has the additional key "settled".
  Tier::Reply members;
  EXPECT_TRUE(tier.until([&] {
    members = tier.call(0, "GET", "/members");
    return members.status == 200 &&
           std::ranges::none_of(members.body["members"],
                                [](const json& member) { return member.contains("settled"); });
  }));
  add("GET /members", members);
  add("GET /duties", tier.call(0, "GET", "/duties"));
  add("POST /jobs", tier.ask("POST", "/jobs", job("9b1f03aa5c7f")));
  add("POST /jobs conflict",
      tier.ask("POST", "/jobs", job("9b1f03aa5c7f").replace(1, 0, "\"units\":2,")));
  add("POST /jobs {}", tier.call(0, "POST", "/jobs", "{}"));
  add("GET /jobs/ID", tier.ask("GET", "/jobs/" + id));
  add("GET /jobs/ID/answers", tier.ask("GET", "/jobs/" + id + "/answers"));
  add("GET /jobs/unknown", tier.call(0, "GET", "/jobs/00000000000000"));
  add("PUT /jobs", tier.call(0, "PUT", "/jobs"));
  add("DELETE /jobs/ID", tier.ask("DELETE", "/jobs/" + id));
  expect_golden("control_paths.txt", text);
}

// Guards against renamed or missing metrics of a node with membership and jobs enabled.
TEST_F(GoldenTier, SeriesOfMetricsAreAsBefore) {
  const auto wire = tier.begin(0, "GET", "/metrics");
  ASSERT_TRUE(tier.until([&] { return wire->ended; }));
  expect_golden("metrics_series_members.txt", series_of(wire->in));
}

// Guards against a changed hand-over format, which an older or newer process could not read.
// With PETRELRAIL_RECORD_GOLDEN set, also records the state for
// StateOfAnEarlierProcessIsTakenOver.
TEST_F(GoldenTier, HandoverStateHasTheKeysOfBefore) {
  finished_job("9b1f03aa5c7e");
  request_once(0);
  const auto state = handed_over(0);
  if (std::getenv("PETRELRAIL_RECORD_GOLDEN") != nullptr)
    std::ofstream(golden_path("handover_state_of_process.json")) << state.dump(1) << "\n";
  expect_golden("handover_state_keys.txt", paths_of(state));
}

}  // namespace
}  // namespace petrelrail::test
