// Connections to stand-in price servers over loopback sockets, on the test's own event loop.
#pragma once

#include <set>

#include "peers.hpp"
#include "upload.hpp"
#include "upstream.hpp"

namespace petrelrail::test {

constexpr ServerId kOne{1};

struct PoolTest : ::testing::Test, Upstream::Owner {
  bool still_wanted(RequestId request) override {
    if (looked) looked(request);
    return !gone.contains(request);
  }
  void attempt_ended(const Errand& e, Outcome o, Answer a) override {
    ends.push_back({e, o, std::move(a)});
    if (told) told();
  }
  bool stream_began(const Errand&, const AnswerHead&) override { return true; }
  void stream_piece(const Errand&, std::string_view piece, std::function<void()> taken) override {
    streamed += piece;
    if (taken) taken();
  }
  void attempt_written(const Errand&) override { ++written; }
  void probe_ended(const Errand&, Outcome) override {}

  struct End {
    Errand errand;
    Outcome outcome;
    Answer answer;
  };

  void send(ServerId server = kOne, Duration timeout = 10s, std::shared_ptr<Upload> upload = nullptr) {
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->id = "r" + std::to_string(++sent);
    m->upload = std::move(upload);
    const auto now = timers.now();
    m->deadline = now + timeout;
    upstream->send({RequestId(sent), 0, server, now, now + timeout, m, {}, {}});
  }
  bool ended(std::size_t n) {
    return loop.until([&] { return ends.size() >= n; });
  }
  // One answered attempt, which leaves a connection that idles.
  void warm(Peer& server) {
    upstream->update(kOne, server.at(), true);
    send();
    ASSERT_TRUE(ended(1));
    ASSERT_EQ(figures().idle, 1u);
  }
  // The last attempt went on a new connection and was served.
  void expect_served_on_another(Peer& server) {
    ASSERT_TRUE(ended(2));
    EXPECT_EQ(ends[1].outcome, Outcome::ok);
    EXPECT_EQ(server.wires.size(), 2u);
    EXPECT_EQ(figures().stale_drops, 1u);
    EXPECT_EQ(figures().handshakes, 2u);
  }
  const PoolFigures& figures() const { return upstream->figures(); }
  static void answer(Wire& w) {
    while (!w.message().empty()) w.send(http_answer("200 OK", "x"));
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<End> ends;
  std::set<RequestId> gone;
  std::function<void(RequestId)> looked;  // a client is being looked at
  std::function<void()> told;             // an attempt has ended
  std::string streamed;
  std::uint64_t sent = 0, written = 0;
  std::optional<Upstream> upstream{std::in_place, loop.io, timers, 250ms, 30s, 8u, *this};
};

}  // namespace petrelrail::test
