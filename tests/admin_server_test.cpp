// The admin server over loopback sockets: the responses to operators' requests, and that stalled
// callers delay no other.
#include "admin_server.hpp"

#include <set>

#include "limits.hpp"
#include "loopback_peers.hpp"
#include "metrics.hpp"

namespace petrelrail::test {
namespace {

struct ControlTest : ::testing::Test, AdminServer::Callbacks {
  ControlTest() { control.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)); }

  bool is_serving() override { return ready; }
  std::string metrics_text() override { return "node_concurrent 0\n"; }
  std::optional<std::string> members_json() override { return members; }
  bool set_operator_ejection(const std::string& server, bool eject) override {
    if (server != "s-1" && server != "s 2") return false;
    if (eject) ejected.insert(server);
    if (!eject) ejected.erase(server);
    return true;
  }
  bool on_admin_request(const AdminServer::AdminRequest& request,
                        AdminServer::AdminCallback respond) override {
    if (request.path != "/late" && request.path != "/now") return false;
    last_request = request;
    if (request.path == "/now") respond({202, "{}\n", "application/json", {}});
    pending_callback = std::move(respond);
    return true;
  }
  int call(const std::string& text) {
    const auto w = loop.connect(control.listen_address());
    w->send(text);
    EXPECT_TRUE(loop.until([&] { return w->ended; })) << text;
    answer = w->in;
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
  }
  int call(const std::string& method, const std::string& target) {
    return call(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  bool ready = true;
  std::optional<std::string> members;
  std::set<std::string> ejected;
  std::string answer;
  std::optional<AdminServer::AdminRequest> last_request;
  AdminServer::AdminCallback pending_callback;
  AdminServer control{loop.io, timers, *this};
};

// Guards against a readiness probe that does not follow the node's state.
TEST_F(ControlTest, ReadyFollowsTheNode) {
  EXPECT_EQ(call("GET", "/ready"), 200);
  ready = false;
  EXPECT_EQ(call("GET", "/ready"), 503);
}
// Guards against metrics that are cut off or a connection that is kept open.
TEST_F(ControlTest, FiguresAreText) {
  EXPECT_EQ(call("GET", "/metrics"), 200);
  EXPECT_TRUE(answer.ends_with("\r\n\r\nnode_concurrent 0\n")) << answer;
  EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
}
// The member list exists only where membership is configured; without it the path must be unknown.
TEST_F(ControlTest, MembersAreJsonWhereTheyAreOn) {
  EXPECT_EQ(call("GET", "/members"), 404);
  members = "{}\n";
  EXPECT_EQ(call("GET", "/members"), 200);
  EXPECT_TRUE(answer.ends_with("\r\n\r\n{}\n")) << answer;
  EXPECT_NE(answer.find("Content-Type: application/json\r\n"), std::string::npos);
  EXPECT_EQ(call("POST", "/members"), 405);
}
// Guards against ejections that are lost or misread: with other parameters, an escaped id or a
// body.
TEST_F(ControlTest, ServersAreLeftOutAndPutBack) {
  EXPECT_EQ(call("POST", "/price-servers/disable?who=s-1"), 200);
  EXPECT_TRUE(ejected.contains("s-1"));
  EXPECT_EQ(call("POST", "/price-servers/enable?x=1&who=s-1"), 200);
  EXPECT_TRUE(ejected.empty());
  EXPECT_EQ(call("POST", "/price-servers/disable?who=s%202"), 200);
  EXPECT_EQ(
      call(
          "POST /price-servers/disable?who=s-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"),
      200);
}
// Each unknown or malformed request must get its 4xx status and eject no server.
TEST_F(ControlTest, WhatIsUnknownOrMalformedIsA4xx) {
  EXPECT_EQ(call("POST", "/price-servers/disable?who=s-9"), 404);
  EXPECT_EQ(call("GET", "/nothing"), 404);
  EXPECT_EQ(call("GET", "/price-servers/disable?who=s-1"), 405);
  EXPECT_EQ(call("POST", "/metrics"), 405);
  for (const char* bad :
       {"", "?", "?who", "?who=", "?who=%2", "?who=%zz", "?who=s-1&who=s-1", "?whom=s-1"})
    EXPECT_EQ(call("POST", std::string("/price-servers/enable") + bad), 400) << bad;
  EXPECT_EQ(call("what is this\r\n\r\n"), 400);
  EXPECT_EQ(call("GET /" + std::string(limits::kMaxHeaderBytes, 'x') + " HTTP/1.1\r\n\r\n"), 400);
  EXPECT_TRUE(ejected.empty());
}
// A handler may answer within the call or later. A second answer to the same request must be
// ignored.
TEST_F(ControlTest, OtherPathsAreAnsweredAtOnceOrLaterAndOnlyOnce) {
  EXPECT_EQ(call("POST /now?from=3&x=%20 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"), 202);
  EXPECT_NE(answer.find("Content-Type: application/json\r\n"), std::string::npos);
  EXPECT_EQ(last_request->method, "POST");
  EXPECT_EQ(last_request->body, "hi");
  EXPECT_EQ(last_request->parameter("from"), "3");
  EXPECT_EQ(last_request->parameter("x"), " ");
  EXPECT_FALSE(last_request->parameter("y"));
  pending_callback({500, "once more", {}, {}});  // ignored: the request has been answered
  last_request.reset();
  const auto w = loop.connect(control.listen_address());
  w->send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return last_request.has_value(); }));
  EXPECT_TRUE(w->in.empty());
  pending_callback({405, "no\n", "text/plain", "PUT"});
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_TRUE(w->in.starts_with("HTTP/1.1 405 ")) << w->in;
  EXPECT_NE(w->in.find("Allow: PUT\r\n"), std::string::npos);
}
// When connections are displaced, callers that wait for a response must be the last to go. Here
// twice as many stalled callers connect as there are slots.
TEST_F(ControlTest, ACallerThatWaitsForItsAnswerIsNotPushedOutByOnesThatStall) {
  const auto w = loop.connect(control.listen_address());
  w->send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return last_request.has_value(); }));
  std::vector<std::shared_ptr<Wire>> stalled;
  for (std::size_t i = 0; i < 2 * limits::kMaxAdminConnections; ++i) {
    stalled.push_back(loop.connect(control.listen_address()));
    stalled.back()->send("GET /rea");
  }
  EXPECT_EQ(call("GET", "/ready"), 200);
  pending_callback({200, "served\n", "text/plain", {}});
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_TRUE(w->in.ends_with("\r\n\r\nserved\n")) << w->in;
}
// Three times as many callers as slots connect, none with a complete request. The next complete
// request must be answered at once all the same.
TEST_F(ControlTest, CallersThatStallHoldUpNobody) {
  std::vector<std::shared_ptr<Wire>> stalled;
  for (std::size_t i = 0; i < 3 * limits::kMaxAdminConnections; ++i) {
    stalled.push_back(loop.connect(control.listen_address()));
    stalled.back()->send("GET /rea");
  }
  const auto start_time = std::chrono::steady_clock::now();
  EXPECT_EQ(call("GET", "/ready"), 200);
  EXPECT_LT(std::chrono::steady_clock::now() - start_time, limits::kAdminIoTimeout);
  EXPECT_TRUE(
      loop.until([&] { return std::ranges::all_of(stalled, [](auto& w) { return w->ended; }); }));
}

// Guards against a metric that is missing, has another name or shows another counter's value.
TEST(MetricsTest, EveryFigureHasItsLine) {
  Metrics m;
  m.response_counts("look\"up\\\n").success = 7;
  ++m.response_counts("b").overload;
  m.on_forwarded(), m.on_reload(true), m.on_reload(false), m.on_reload(false);
  const auto text = m.text({.concurrent = 3,
                            .endpoints = 9,
                            .endpoints_avoided = 2,
                            .sessions = 4,
                            .pool = {.open = 8,
                                     .idle = 5,
                                     .connecting = 1,
                                     .handshakes = 10,
                                     .reuses = 11,
                                     .stale_drops = 12,
                                     .released = 13,
                                     .failed_connects = 14},
                            .discovery = {.watches = 15,
                                          .polls = 16,
                                          .lost = 17,
                                          .silent = 18,
                                          .unreadable = 19,
                                          .bad_heads = 20,
                                          .bad_documents = 21,
                                          .bad_lists = 22,
                                          .bad_members = 23},
                            .clients = {{0, 24}, {431, 25}},
                            .control = {{404, 26}}});
  for (const char* line : {"node_replies{type=\"look\\\"up\\\\\\n\",status=\"success\"} 7\n",
                           "node_replies{type=\"b\",status=\"overload\"} 1\n",
                           "node_replies{type=\"b\",status=\"error\"} 0\n",
                           "\nnode_dispatches 1\n",
                           "\nnode_concurrent 3\n",
                           "\nnode_targets 9\n",
                           "\nnode_targets_disabled 2\n",
                           "\nnode_sessions 4\n",
                           "\nnode_pool_open 8\n",
                           "\nnode_pool_idle 5\n",
                           "\nnode_pool_connecting 1\n",
                           "\nnode_pool_handshakes 10\n",
                           "\nnode_pool_reuses 11\n",
                           "\nnode_pool_stale_drops 12\n",
                           "\nnode_pool_released 13\n",
                           "\nnode_pool_failed_connects 14\n",
                           "\nnode_reload_success 1\n",
                           "\nnode_reload_failure 2\n",
                           "\nnode_discovery_watches 15\n",
                           "\nnode_discovery_questions 16\n",
                           "\nnode_discovery_lost 17\n",
                           "\nnode_discovery_silent 18\n",
                           "\nnode_discovery_unreadable 19\n",
                           "\nnode_discovery_malformed{kind=\"head\"} 20\n",
                           "\nnode_discovery_malformed{kind=\"text\"} 21\n",
                           "\nnode_discovery_malformed{kind=\"list\"} 22\n",
                           "\nnode_discovery_malformed{kind=\"member\"} 23\n",
                           "\nnode_client_refusals{status=\"closed\"} 24\n",
                           "\nnode_client_refusals{status=\"431\"} 25\n",
                           "\nnode_control_refusals{status=\"404\"} 26\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

}  // namespace
}  // namespace petrelrail::test
