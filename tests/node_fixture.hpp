// Runs a complete edge node in the test's process over loopback sockets. Clients, two price
// servers, the quota counter and discovery are scripted.
#pragma once

#include "gateway_fixture.hpp"
#include "loopback_peers.hpp"
#include "node.hpp"

namespace petrelrail::test {

// A client's request; the defaults make a valid one of the class "safe".
struct RequestSpec {
  std::string method = "GET", path = "/safe?q=1", id = "a1", class_name = "safe", plan = "plain";
  std::string cookie = "client=00000000b4d65521", timeout = "2000",
              quota = "units=1,spread=2,first=1", extra_headers{}, body{};
  std::string text() const {
    auto t = method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id +
             "\r\nX-Priority-Class: " + class_name + "\r\nX-Plan: " + plan +
             "\r\nCookie: " + cookie + "\r\nX-Timeout-Ms: " + timeout + "\r\nX-Quota: " + quota +
             "\r\n" + extra_headers;
    if (method != "GET" || !body.empty())
      t += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return t + "\r\n" + body;
  }
};
inline RequestSpec keyed_request() {
  return {.method = "POST",
          .path = "/keyed",
          .class_name = "keyed",
          .extra_headers = "Idempotency-Key: k1\r\n",
          .body = "b"};
}
inline RequestSpec unsafe_request() {
  return {.method = "POST", .path = "/unsafe", .class_name = "unsafe", .body = "b"};
}

struct NodeTest : ::testing::Test {
  void start(std::size_t descriptors = 1024) {
    NodeConfig c;
    c.listen = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    c.discovery = agent.endpoint(), c.discovery_host = agent.text(), c.counter = counter.endpoint();
    c.control = c.listen;
    c.descriptors = descriptors, c.seed = 1, c.keep_alive = 30s;
    c.settings.settings = settings();
    c.settings.settings.connect_timeout = 250ms;
    c.settings.settings.retry_after = sends_retry_after;
    c.settings.settings.cancel = allows_cancel;
    c.settings.names.zones = {{"a", 0}};
    nlohmann::json members = nlohmann::json::array();
    for (const auto* s : {&server, &second}) {
      members.push_back({{"id", s == &server ? "s-00000001" : "s-00000002"},
                         {"host_port", s->text()},
                         {"locality", "a"},
                         {"cell", 1},
                         {"phase", "SERVING"},
                         {"up_since_ms", 0}});
      if (one_server) break;
    }
    c.known_endpoints = {{"revision", 1}, {"complete", true}, {"members", members}};
    config = c;
    node.emplace(loop.io, std::move(c));
    node->start();
    const auto probe = client();
    ASSERT_TRUE(loop.until([&] {
      probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return status(probe) == 200;
    }));
  }
  std::shared_ptr<Wire> client() { return loop.connect(node->listen_address()); }
  // Waits for the next response and returns its status, or 0 if the connection ended without one.
  // The response's text is kept in `answer`.
  int status(const std::shared_ptr<Wire>& w) {
    answer.clear();
    loop.until([&] { return !(answer = w->message()).empty() || w->ended; });
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
  }
  int status(const std::string& text) {
    const auto w = client();
    w->send(text);
    return status(w);
  }
  int status(const RequestSpec& a) { return status(a.text()); }
  // Sends a request to the admin listener and returns the complete response.
  std::string admin_request(const std::string& method, const std::string& target) {
    const auto w = loop.connect(node->admin_listen_address());
    w->send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(loop.until([&] { return w->ended; }));
    return w->in;
  }
  // True if the metrics contain exactly this line.
  bool has_metric(const std::string& line) {
    return admin_request("GET", "/metrics").find("\n" + line + "\n") != std::string::npos;
  }
  // Answers health checks; records any other request and passes it to `respond`.
  void serve(Wire& w) {
    const auto m = w.message();
    if (m.empty()) return;
    if (m.starts_with("GET /-/healthy")) return w.send(http_answer("200 OK"));
    received_requests.push_back(m);
    if (respond) respond(w, m);
  }

  Loop loop;
  bool one_server = false, sends_retry_after = true, allows_cancel = false;
  // Requests received by either price server, without health checks.
  std::vector<std::string> received_requests;
  std::string answer;
  std::function<void(Wire&, const std::string&)> respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", "served"));
  };
  // The counter's answer to each line but "ping".
  std::function<std::string()> counter_reply = [] { return std::string("ok 2\r\n"); };
  Peer server{loop.io, [this](Wire& w) { serve(w); }};
  Peer second{loop.io, [this](Wire& w) { serve(w); }};
  Peer counter{loop.io, [this](Wire& w) {
                 for (auto l = w.line(); !l.empty(); l = w.line())
                   w.send(l == "ping" ? "pong\r\n" : counter_reply());
               }};
  Peer agent{loop.io};
  NodeConfig config;  // the node was started with this
  std::optional<Node> node;
};

}  // namespace petrelrail::test
