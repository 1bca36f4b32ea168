// Fixture with a scripted discovery agent and a Discovery that watches it.
#pragma once

#include "discovery.hpp"
#include "loopback_peers.hpp"

namespace petrelrail::test {

inline std::string chunk(const std::string& text) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}
inline const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string member(const std::string& id, const std::string& phase = "SERVING",
                          const std::string& port = "7070", const std::string& up = "0") {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:)" + port +
         R"(","locality":"a","flavor":"m2","cell":3,"phase":")" + phase +
         R"(","size":1.0,"up_since_ms":)" + up + "}";
}
inline std::string list(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}";
}

struct DiscoveryTest : ::testing::Test {
  struct Update {
    EndpointListKind kind;
    std::vector<Discovery::Entry> entries;
  };
  void start(const std::string& known = list(41, true, member("s-0000000a"))) {
    discovery.start(nlohmann::json::parse(known));
  }
  bool wait_for(std::size_t n) {
    return loop.until([&] { return told.size() >= n; });
  }
  // Waits for the request of the n-th watch (counted from 1) and returns its connection, or null on
  // time-out.
  std::shared_ptr<Wire> watch(std::size_t n = 1) {
    if (!loop.until([&] { return asked.size() >= n; })) return nullptr;
    return watches[n - 1];
  }
  // The same for the n-th poll, which is sent on a connection separate from the watch.
  std::shared_ptr<Wire> question(std::size_t n = 1) {
    if (!loop.until([&] { return questions.size() >= n; })) return nullptr;
    return questions[n - 1];
  }
  void came(Wire& w) {
    const auto m = w.message();
    if (m.empty()) return;
    if (m.starts_with("GET /api/targets HTTP/1.1\r\n")) {
      questions.push_back(w.shared_from_this());
      if (on_question) on_question(w);
    } else {
      asked.push_back(m.substr(0, m.find("\r\n")));
      watches.push_back(w.shared_from_this());
      if (on_watch) on_watch(w);
    }
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<std::string> asked;  // request lines of watches and of everything but polls
  std::vector<std::shared_ptr<Wire>> watches, questions;
  std::function<void(Wire&)> on_watch, on_question;
  std::vector<Update> told;
  Peer agent{loop.io, [this](Wire& w) { came(w); }};
  Discovery discovery{
      loop.io,          timers,
      agent.endpoint(), agent.text(),
      {{"a", 0}},       [this](EndpointListKind k, const auto& e) { told.push_back({k, e}); },
      Duration(1s)};
};

}  // namespace petrelrail::test
