// The connection pools over loopback sockets: which connections are reused, which must not be, and
// that the gauges agree with the sockets that exist.
#include <filesystem>
#include <random>
#include <set>

#include "connection_pool_fixture.hpp"

namespace petrelrail::test {
namespace {

// Guards against gauges and counters that miss a handshake or a reuse.
TEST_F(PoolTest, TheFiguresTellHandshakesAndReuses) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  EXPECT_GT(ends[0].exchange.connect_duration, Duration{});
  send();
  EXPECT_EQ(stats().idle, 0u);
  ASSERT_TRUE(wait_for_ends(2));
  EXPECT_EQ(ends[1].exchange.connect_duration, Duration{});
  EXPECT_EQ(stats().handshakes, 1u);
  EXPECT_EQ(stats().reuses, 1u);
  EXPECT_EQ(stats().open, 1u);
  EXPECT_EQ(stats().idle, 1u);
  EXPECT_EQ(stats().connecting, 0u);
}
// Guards against writing to a connection whose end has arrived but was not yet reported by the
// event loop.
TEST_F(PoolTest, AConnectionThatTheOtherEndHasClosedIsNotUsedAgain) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  server.wires[0]->close();
  send();
  expect_served_on_new_connection(server);
}
// The same with a reset instead of an orderly close.
TEST_F(PoolTest, AConnectionThatWasResetIsNotUsedAgain) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  server.wires[0]->reset();
  send();
  expect_served_on_new_connection(server);
}
// Unrequested bytes on an idle connection would be taken for the response to the next request.
TEST_F(PoolTest, AConnectionWithBytesThatNobodyAskedForIsNotUsedAgain) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  asio::write(server.wires[0]->socket, asio::buffer(http_answer("200 OK", "of another")));
  send();
  expect_served_on_new_connection(server);
  EXPECT_EQ(ends[1].answer.body, "x");
}
// Guards against reuse of a connection whose idle timeout has passed between two sweeps.
TEST_F(PoolTest, OnePastItsIdleTimeIsNotUsedAgainEvenIfNoSweepHasRun) {
  Peer server(loop.io, answer);
  make_idle_connection(server);
  upstream->set_timeouts(250ms, Duration(1));
  send();
  expect_served_on_new_connection(server);
}
// A later start time on the list means a new process: connections to the old one must be closed.
TEST_F(PoolTest, AServerThatBeganAnewLosesItsConnections) {
  Peer server(loop.io, answer);
  upstream->update_endpoint(kServer, server.endpoint(), true, Time(1h));
  send();
  ASSERT_TRUE(wait_for_ends(1));
  upstream->update_endpoint(kServer, server.endpoint(), true, Time(1h));
  EXPECT_EQ(stats().idle, 1u);
  upstream->update_endpoint(kServer, server.endpoint(), true, Time(2h));
  EXPECT_EQ(stats().open, 0u);
  send();
  expect_served_on_new_connection(server);
}
// The server's address changes during an attempt: the response must still be served, and the
// connection to the old address not be pooled.
TEST_F(PoolTest, OneThatIsBusyWhenItsServerMovesEndsWithItsAnswer) {
  Peer former(loop.io), server(loop.io, answer);
  upstream->update_endpoint(kServer, former.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !former.wires.empty() && !former.wires[0]->in.empty(); }));
  upstream->update_endpoint(kServer, server.endpoint(), true);
  answer(*former.wires[0]);
  ASSERT_TRUE(wait_for_ends(1));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::ok);
  EXPECT_EQ(stats().open, 0u);
  send();
  ASSERT_TRUE(wait_for_ends(2));
  EXPECT_EQ(server.wires.size(), 1u);
}
// A server drains, leaves the list and returns under the same id at another address while a
// connection to the old address is being set up. Nothing may be written to that connection.
TEST_F(PoolTest, AConnectionThatComesUpToAFormerLifeIsNotWrittenTo) {
  Peer former(loop.io, answer), server(loop.io, answer);
  upstream->update_endpoint(kServer, former.endpoint(), true);
  send();
  upstream->update_endpoint(kServer, former.endpoint(), false);
  upstream->retain_endpoints({});
  upstream->update_endpoint(kServer, server.endpoint(), true);
  ASSERT_TRUE(wait_for_ends(1));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::never_sent);
  EXPECT_EQ(written, 0u);
  EXPECT_EQ(stats().open, 0u);
  send();
  ASSERT_TRUE(wait_for_ends(2));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::ok);
}
// A server cut off without a reset: its connections stay open and never answer. After one timeout
// the idle connections to it must be closed too, or each costs another request its timeout.
TEST_F(PoolTest, OneTimeOutOfASilentServerEndsWhatIdlesThere) {
  bool silent = false;
  Peer server(loop.io, [&](Wire& w) {
    if (!silent) answer(w);
  });
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send(), send(), send();
  ASSERT_TRUE(wait_for_ends(3));
  ASSERT_EQ(stats().idle, 3u);
  silent = true;
  upstream->set_timeouts(1ms, 30s);
  send(kServer, 30ms);
  ASSERT_TRUE(wait_for_ends(4));
  EXPECT_EQ(ends[3].outcome, AttemptOutcome::timeout);
  EXPECT_EQ(stats().open, 0u);
}
// A timeout at a server that answers other requests must not close the other connections.
TEST_F(PoolTest, ATimeOutOfAServerThatAnswersOthersEndsOneConnectionAlone) {
  Peer server(loop.io, [](Wire& w) {
    if (const auto m = w.message(); !m.empty() && m.find("r3\r\n") == std::string::npos)
      w.send(http_answer("200 OK"));
  });
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send(), send();
  ASSERT_TRUE(wait_for_ends(2));
  upstream->set_timeouts(1ms, 30s);
  send(kServer, 100ms);
  send();
  ASSERT_TRUE(wait_for_ends(4));
  EXPECT_EQ(ends[3].outcome, AttemptOutcome::timeout);
  EXPECT_EQ(stats().idle, 1u);
}
// A reset that crosses a request on a reused connection: the request may have run, so the pool must
// report the reset and must not send the request again.
TEST_F(PoolTest, AResetThatCrossesARequestIsToldAndNothingIsSentTwice) {
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    if (ends.empty()) return w.send(http_answer("200 OK"));
    w.reset();
  });
  make_idle_connection(server);
  send();
  ASSERT_TRUE(wait_for_ends(2));
  EXPECT_EQ(ends[1].outcome, AttemptOutcome::reset);
  EXPECT_EQ(written, 2u);
  EXPECT_EQ(server.wires.size(), 1u);
  EXPECT_EQ(stats().open, 0u);
}
// A connect that fails within the call itself must still be counted and release its slot.
TEST_F(PoolTest, AConnectThatFailsAtOnceIsCounted) {
  std::optional<Peer> server(std::in_place, loop.io);
  upstream->update_endpoint(kServer, server->endpoint(), true);
  server.reset();
  send();
  ASSERT_TRUE(wait_for_ends(1));
  EXPECT_EQ(ends[0].outcome, AttemptOutcome::connect_failed);
  EXPECT_EQ(stats().failed_connects, 1u);
  EXPECT_EQ(stats().open, 0u);
  EXPECT_EQ(stats().connecting, 0u);
}
// A reset right after the connect must give one failed attempt and no further connection.
TEST_F(PoolTest, OneThatComesUpAndIsClosedBeforeTheFirstByteFailsOnce) {
  Peer server(loop.io);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty(); }));
  server.wires[0]->reset();
  ASSERT_TRUE(wait_for_ends(1));
  EXPECT_NE(ends[0].outcome, AttemptOutcome::ok);
  EXPECT_EQ(stats().open, 0u);
  EXPECT_EQ(server.wires.size(), 1u);
}
// A response that does not match the framing in its head: the attempt must fail and the connection
// be closed, or leftover bytes would be taken for the next response.
TEST_F(PoolTest, AnswersThatAreNotWhatTheySayFailAndEndTheirConnection) {
  const std::vector<std::string> wrong{
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nserved",  // longer than stated
      http_answer("200 OK", "served") +
          http_answer("200 OK", "of another"),                  // followed by another response
      "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nserved",    // truncated
      "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nserved",  // malformed length
      // malformed chunk size
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nserved\r\n0\r\n\r\n"};
  for (const auto& text : wrong) {
    ends.clear();
    Peer server(loop.io, [&](Wire& w) {
      if (!w.message().empty()) w.send(text, text.find("Content-Length: 40") != std::string::npos);
    });
    upstream->update_endpoint(kServer, server.endpoint(), true);
    send();
    ASSERT_TRUE(wait_for_ends(1)) << text;
    EXPECT_EQ(ends[0].outcome, AttemptOutcome::reset) << text;
    EXPECT_EQ(stats().open, 0u) << text;
  }
}
// Guards against gauges that do not follow when idle connections are released.
TEST_F(PoolTest, IdleOnesAreLetGoTheOldestFirst) {
  Peer server(loop.io, answer);
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send(), send(), send();
  ASSERT_TRUE(wait_for_ends(3));
  upstream->release_idle(kServer, 1);
  EXPECT_EQ(stats().idle, 1u);
  EXPECT_EQ(stats().released, 2u);
  EXPECT_EQ(upstream->connections(kServer).idle, 1u);
  EXPECT_EQ(upstream->connections(kServer).open, 1u);
  ASSERT_TRUE(loop.until([&] {
    return std::ranges::count_if(server.wires, [](const auto& w) { return w->ended; }) == 2;
  }));
}
// Destroys the pool with a connection in each stage: sockets must be closed and no callback may run
// afterwards.
TEST_F(PoolTest, EndsWithConnectionsInEveryStage) {
  Peer server(loop.io, [&](Wire& w) {
    if (w.in.find("r1\r\n") != std::string::npos) answer(w);
  });
  upstream->update_endpoint(kServer, server.endpoint(), true);
  send();
  ASSERT_TRUE(wait_for_ends(1));  // leaves an idle connection
  send();                         // its request is written
  ASSERT_TRUE(loop.until([&] { return !server.wires[0]->in.empty(); }));
  send();  // its connection is being set up
  EXPECT_EQ(stats().connecting, 1u);
  upstream.reset();
  ASSERT_TRUE(loop.until(
      [&] { return std::ranges::all_of(server.wires, [](const auto& w) { return w->ended; }); }));
  EXPECT_EQ(ends.size(), 1u);
}

// The number of sockets of any kind that this process holds.
std::size_t socket_count() {
  std::size_t n = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
    n += std::filesystem::status(entry.path()).type() == std::filesystem::file_type::socket;
  return n;
}

// Guards against gauges that drift from the sockets that exist. Random steps of clients, servers
// and the list are made, and the gauges compared after each of them.
TEST_F(PoolTest, CountsAgreeWithTheSocketsThroughRandomSteps) {
  constexpr std::size_t kServers = 4;
  std::mt19937 random(7);
  const auto pick = [&](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  std::vector<std::unique_ptr<Peer>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Peer>(loop.io));
    upstream->update_endpoint(EndpointId(static_cast<std::uint32_t>(i)), servers[i]->endpoint(),
                              true);
  }
  const auto other_sockets = socket_count();
  std::uint64_t started = 0;
  for (int step = 0; step < 10000; ++step) {
    const auto i = pick(kServers);
    const auto id = static_cast<EndpointId>(i);
    auto& wires = servers[i]->wires;
    std::erase_if(wires, [](const auto& w) { return w->ended && (w->close(), true); });
    Wire* wire = wires.empty() ? nullptr : wires[pick(wires.size())].get();
    switch (pick(12)) {
      case 0:
      case 1: send(id); break;
      case 2:
      case 3:
      case 4:
        for (const auto& w : wires)
          if (w->socket.is_open() && pick(2) == 0) answer(*w);
        break;
      case 5:
        if (wire && pick(16) == 0) wire->close();
        break;
      case 6:
        if (wire && pick(16) == 0) wire->reset();
        break;
      case 7:
        if (pick(8) == 0) upstream->release_idle(id, pick(2));
        break;
      case 8:
        started += pick(32) == 0;
        upstream->update_endpoint(id, servers[i]->endpoint(), pick(32) != 0,
                                  Time(Duration(started)));
        break;
      case 9: upstream->set_ejected(id, pick(32) == 0); break;
      case 10:
        if (sent > 0) upstream->cancel(RequestId(sent - pick(std::min<std::uint64_t>(sent, 6))), 0);
        break;
      default: loop.io.restart(), loop.io.poll();
    }
    const auto& f = stats();
    ASSERT_LE(f.open, 8u) << step;
    ASSERT_LE(f.idle + f.connecting, f.open) << step;
    std::size_t idle = 0, open = 0;
    for (std::size_t s = 0; s < kServers; ++s) {
      const auto counts = upstream->connections(EndpointId(static_cast<std::uint32_t>(s)));
      idle += counts.idle, open += counts.open;
    }
    ASSERT_EQ(idle, f.idle) << step;
    ASSERT_EQ(open, f.open) << step;
    std::size_t peer_sockets = 0;
    for (const auto& s : servers)
      peer_sockets += static_cast<std::size_t>(
          std::ranges::count_if(s->wires, [](const auto& w) { return w->socket.is_open(); }));
    ASSERT_EQ(socket_count() - other_sockets - peer_sockets, f.open) << step;
    ASSERT_EQ(sent - ends.size(), f.open - f.idle)
        << step;  // each busy connection carries one attempt
  }
  // Each path must have been taken many times, or the run proves little.
  EXPECT_GT(stats().handshakes, 100u);
  EXPECT_GT(stats().reuses, 100u);
  EXPECT_GT(stats().stale_drops, 10u);
  EXPECT_GT(stats().released, 10u);
}

}  // namespace
}  // namespace petrelrail::test
