// An Upstream with connections to scripted price servers over loopback sockets, on the test's own
// event loop. The fixture records the outcome of each attempt.
#pragma once

#include <set>

#include "loopback_peers.hpp"
#include "request_body_stream.hpp"
#include "upstream.hpp"

namespace petrelrail::test {

constexpr EndpointId kServer{1};

struct PoolTest : ::testing::Test, Upstream::Callbacks {
  bool is_still_wanted(RequestId request) override {
    if (on_wanted_check) on_wanted_check(request);
    return !abandoned.contains(request);
  }
  void on_attempt_ended(const UpstreamExchange& e, AttemptOutcome o, Response a) override {
    ends.push_back({e, o, std::move(a)});
    if (on_end) on_end();
  }
  bool on_stream_started(const UpstreamExchange&, const ResponseHead&) override { return true; }
  void on_stream_chunk(const UpstreamExchange&, std::string_view piece,
                       std::function<void()> taken) override {
    streamed += piece;
    if (taken) taken();
  }
  void on_attempt_written(const UpstreamExchange&) override { ++written; }
  void on_health_check_ended(const UpstreamExchange&, AttemptOutcome) override {}

  struct End {
    UpstreamExchange exchange;
    AttemptOutcome outcome;
    Response answer;
  };

  void send(EndpointId server = kServer, Duration timeout = 10s,
            std::shared_ptr<RequestBodyStream> upload = nullptr) {
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->request_id = "r" + std::to_string(++sent);
    m->body_stream = std::move(upload);
    const auto now = timers.now();
    m->deadline = policy::RequestDeadline::running(now, timeout);
    upstream->send({RequestId(sent), 0, server, now, now + timeout, m, {}, {}});
  }
  bool wait_for_ends(std::size_t n) {
    return loop.until([&] { return ends.size() >= n; });
  }
  // Completes one attempt at the server, which leaves one idle connection.
  void make_idle_connection(Peer& server) {
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send();
    ASSERT_TRUE(wait_for_ends(1));
    ASSERT_EQ(stats().idle, 1u);
  }
  // Expects that the second attempt succeeded on a new connection and that the pool dropped the
  // idle one as stale.
  void expect_served_on_new_connection(Peer& server) {
    ASSERT_TRUE(wait_for_ends(2));
    EXPECT_EQ(ends[1].outcome, AttemptOutcome::ok);
    EXPECT_EQ(server.wires.size(), 2u);
    EXPECT_EQ(stats().stale_drops, 1u);
    EXPECT_EQ(stats().handshakes, 2u);
  }
  const PoolStats& stats() const { return upstream->stats(); }
  static void answer(Wire& w) {
    while (!w.message().empty()) w.send(http_answer("200 OK", "x"));
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<End> ends;
  std::set<RequestId> abandoned;
  std::function<void(RequestId)> on_wanted_check;  // called when the client's presence is checked
  std::function<void()> on_end;                    // called after each attempt's end
  std::string streamed;
  std::uint64_t sent = 0, written = 0;
  std::optional<Upstream> upstream{std::in_place, loop.io, timers, 250ms, 30s, 8u, *this};
};

}  // namespace petrelrail::test
