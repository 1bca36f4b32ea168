// Tests of the simulated parties: the quota counter against the protocol's table, the price server
// against a queue computed by hand, the event queue, the network and the datagram network.
#include <gtest/gtest.h>

#include <cmath>

#include "world/counter.hpp"
#include "world/event_queue.hpp"
#include "world/network.hpp"
#include "world/peers.hpp"
#include "world/price_server.hpp"

namespace petrelrail::world::test {
namespace {

using namespace std::chrono_literals;
using Kind = Counter::Answer::Kind;

constexpr Time kNow{1000s};

// ---- Event queue --------------------------------------------------------------------------------

TEST(EventQueue, RunsInOrderOfTimeThenOfInsertionAndNeverGoesBack) {
  EventQueue queue(kNow);
  std::string order;
  queue.at(kNow + 2s, [&] { order += 'c'; });
  queue.at(kNow + 1s, [&] { order += 'a'; });
  queue.at(kNow + 1s, [&] {
    order += 'b';
    queue.at(kNow, [&] { order += '!'; });  // in the past: runs next
  });
  queue.run_until(kNow + 1s);
  EXPECT_EQ(order, "ab!");
  queue.run_until(kNow + 10s);
  EXPECT_EQ(order, "ab!c");
  EXPECT_EQ(queue.now(), kNow + 10s);
  EXPECT_FALSE(queue.next_time());
}

// ---- Quota counter: every line of PROTOCOL's table ----------------------------------------------

struct CounterTest : ::testing::Test {
  CounterConfig config{
      .calls_per_s = 500, .parts = 1, .call_ms = 1, .line_ms = 20, .timeout_ms = 50};
  Counter counter{config, RandomStreams(1)};
  CounterTest() { counter.set_mode(kNow, Counter::Mode::serving); }
  Counter::Answer add(Time at, const std::string& name, double amount, Duration lifetime = 4s) {
    return counter.call(at, {name, amount, lifetime});
  }
};

TEST_F(CounterTest, AddsAndReturnsTheTotal) {
  EXPECT_EQ(add(kNow, "a", -2.5).total, -2.5);
  EXPECT_EQ(add(kNow, "a", 4).total, 1.5);
  EXPECT_EQ(add(kNow, "b", 0).total, 0);
  EXPECT_EQ(Counter::format(add(kNow, "a", 1)), "ok 2.5");
}
TEST_F(CounterTest, AnswersInOrderAtTheConfiguredRate) {
  const auto first = add(kNow, "a", 1), second = add(kNow, "b", 1), third = add(kNow + 1s, "a", 1);
  EXPECT_EQ(first.at, kNow + 2ms + 1ms);
  EXPECT_EQ(second.at, kNow + 4ms + 1ms);
  EXPECT_EQ(third.at, kNow + 1s + 3ms);
}
TEST_F(CounterTest, RejectsCallsBeyondItsQueueAndAddsNothing) {
  for (int i = 0; i < 11; ++i) EXPECT_EQ(add(kNow, "a", 1).kind, Kind::ok) << i;
  const auto rejected = add(kNow, "a", 1);
  EXPECT_EQ(rejected.kind, Kind::busy);
  EXPECT_EQ(Counter::format(rejected), "busy");
  EXPECT_EQ(add(kNow + 10s, "a", 0).total, 0);  // its lifetime of 4 s has ended
  add(kNow + 11s, "c", 1);
  EXPECT_EQ(add(kNow + 12s, "c", 0).total, 1);
}
TEST_F(CounterTest, ATotalExpiresWithTheLifetimeOfItsFirstCallWhichLaterCallsDoNotExtend) {
  add(kNow, "a", 5, 2s);
  EXPECT_EQ(add(kNow + 1900ms, "a", 1, 60s).total, 6);
  EXPECT_EQ(add(kNow + 2100ms, "a", 1, 2s).total, 1);
}
TEST_F(CounterTest, LifetimesAreCappedAtSixtySeconds) {
  EXPECT_EQ(Counter::parse("incr a 1 600000")->lifetime, 60s);
  add(kNow, "a", 5, 3600s);
  EXPECT_EQ(add(kNow + 59s, "a", 0).total, 5);
  EXPECT_EQ(add(kNow + 61s, "a", 0).total, 0);
}
TEST_F(CounterTest, TotalsAreRoundedToSevenDigits) {
  EXPECT_EQ(add(kNow, "a", 1234567.89).total, 1234568);
  EXPECT_EQ(add(kNow, "b", 0.123456789).total, 0.1234568);
  EXPECT_EQ(Counter::format(add(kNow, "c", 12345678)), "ok 1.234568e+07");
}
TEST_F(CounterTest, ParsesCallsAndRejectsMalformedLines) {
  const auto call = Counter::parse("incr n-1 -2.5 4000");
  ASSERT_TRUE(call);
  EXPECT_EQ(call->name, "n-1");
  EXPECT_EQ(call->amount, -2.5);
  EXPECT_EQ(call->lifetime, 4s);
  EXPECT_TRUE(Counter::parse("incr " + std::string(64, 'x') + " 1 1"));
  EXPECT_TRUE(Counter::parse("incr a 1e9 1"));
  for (const auto* line : {"", "incr", "incr a", "incr a 1", "incr a 1 0", "incr a 1 -5",
                           "incr a x 5", "incr a 1 5x", "incr  1 5", "incr a 1.1e9 5",
                           "incr a nan 5", "incr a inf 5", "decr a 1 5", "incr a 1 5 6"})
    EXPECT_FALSE(Counter::parse(line)) << line;
  EXPECT_FALSE(Counter::parse("incr " + std::string(65, 'x') + " 1 1"));
}
TEST_F(CounterTest, ClosedSilentAndRefusingModesAddNothing) {
  add(kNow, "a", 1);
  counter.set_mode(kNow, Counter::Mode::closed);
  EXPECT_EQ(add(kNow, "a", 1).kind, Kind::busy);
  counter.set_mode(kNow, Counter::Mode::silent);
  EXPECT_EQ(add(kNow, "a", 1).kind, Kind::none);
  counter.set_mode(kNow, Counter::Mode::refusing);
  EXPECT_EQ(add(kNow, "a", 1).kind, Kind::refused);
  counter.set_mode(kNow + 1s, Counter::Mode::serving);
  EXPECT_EQ(add(kNow + 1s, "a", 0).total, 1);
  counter.reset(kNow + 1s);
  EXPECT_EQ(add(kNow + 1s, "a", 0).total, 0);
}
TEST_F(CounterTest, AMalformedAnswerStillAddsTheAmount) {
  counter.set_malformed_share(1);
  const auto a = add(kNow, "a", 3);
  EXPECT_EQ(a.kind, Kind::malformed);
  EXPECT_EQ(Counter::format(a), "ok");
  counter.set_malformed_share(0);
  EXPECT_EQ(add(kNow, "a", 0).total, 3);
}
TEST_F(CounterTest, ASlowdownReducesTheCallRate) {
  counter.set_slowdown(4);
  EXPECT_EQ(add(kNow, "a", 1).at, kNow + 8ms + 1ms);
}

// ---- Price server against a queue computed by hand ----------------------------------------------

ServerConfig plain_config() {
  ServerConfig t;
  t.cores = 2, t.thrash = 0, t.full_tax = 0, t.fall_multiple = 2, t.fall_s = 1;
  return t;
}
struct Completion {
  std::uint64_t job;
  double at;  // seconds from kNow
  bool served = true;
};
std::vector<Completion> run(PriceServer& server, Time until) {
  std::vector<Completion> all;
  while (server.next_event_time() && *server.next_event_time() <= until)
    for (const auto& d : server.advance(*server.next_event_time()))
      all.push_back({static_cast<std::uint64_t>(d.job), seconds(d.at - kNow), d.served});
  return all;
}

TEST(PriceServer, TwoCoresServeTwoRequestsAtFullRateAndThreeAtTwoThirds) {
  PriceServer server(plain_config(), 1, 8, 8);
  server.start(kNow, 1, {});
  server.accept(kNow, JobId(1), 0.3, Time::max());
  server.accept(kNow, JobId(2), 0.6, Time::max());
  server.advance(kNow + 100ms);
  server.accept(kNow + 100ms, JobId(3), 0.2, Time::max());
  // From 0.1 s three requests share two cores, two thirds each. Requests 1 and 3 have 0.2 s of work
  // left and complete at 0.4 s. Then request 2 has 0.6 - 0.1 - 0.2 = 0.3 s left and runs alone
  // until 0.7 s.
  const auto done = run(server, kNow + 2s);
  ASSERT_EQ(done.size(), 3U);
  EXPECT_NEAR(done[0].at, 0.4, 1e-6);
  EXPECT_NEAR(done[1].at, 0.4, 1e-6);
  EXPECT_EQ(done[2].job, 2U);
  EXPECT_NEAR(done[2].at, 0.7, 1e-6);
}
TEST(PriceServer, FreeSlotsTakeQueuedRequestsAndAFullQueueRejects) {
  PriceServer server(plain_config(), 1, 2, 1);
  server.start(kNow, 1, {});
  EXPECT_TRUE(server.accept(kNow, JobId(1), 0.1, Time::max()));
  EXPECT_TRUE(server.accept(kNow, JobId(2), 0.2, Time::max()));
  EXPECT_TRUE(server.accept(kNow, JobId(3), 0.1, Time::max()));
  EXPECT_FALSE(server.accept(kNow, JobId(4), 0.1, Time::max()));
  const auto done = run(server, kNow + 2s);
  ASSERT_EQ(done.size(), 3U);
  EXPECT_NEAR(done[0].at, 0.1, 1e-6);
  EXPECT_NEAR(done[1].at, 0.2, 1e-6);  // request 3, started at 0.1 s, and request 2
  EXPECT_NEAR(done[2].at, 0.2, 1e-6);
}
TEST(PriceServer, AQueuedRequestPastItsDeadlineIsRejected) {
  PriceServer server(plain_config(), 1, 1, 4);
  server.start(kNow, 1, {});
  server.accept(kNow, JobId(1), 0.5, Time::max());
  server.accept(kNow, JobId(2), 0.5, kNow + 400ms);
  const auto done = run(server, kNow + 2s);
  ASSERT_EQ(done.size(), 2U);
  EXPECT_EQ(done[1].job, 2U);
  EXPECT_FALSE(done[1].served);
}
TEST(PriceServer, AColdServerWarmsUpLinearly) {
  PriceServer server(plain_config(), 1.5, 8, 8);
  server.start(kNow, 0.2, 10s);
  EXPECT_NEAR(server.capacity(kNow), 3 * 0.2, 1e-9);
  EXPECT_NEAR(server.capacity(kNow + 5s), 3 * 0.6, 1e-9);
  EXPECT_NEAR(server.capacity(kNow + 10s), 3, 1e-9);
  EXPECT_TRUE(server.is_cold(kNow + 9s));
  EXPECT_FALSE(server.is_cold(kNow + 10s));
}
TEST(PriceServer, AColdServerCrashesWhenOverloadedAndAWarmOneDoesNot) {
  PriceServer server(plain_config(), 1, 100, 100);
  server.start(kNow, 0.25, 1000s);
  // Bound: 2 x 0.5 in a second, a tenth more, and three requests of slack: 1.1 + 0.3.
  int sent = 0;
  while (!server.record_load(kNow + 1ms * sent, 0.1, sent % 4 != 0)) ++sent;
  EXPECT_EQ(sent, 14);
  EXPECT_EQ(server.phase(), PriceServer::Phase::crashed);
  EXPECT_NEAR(server.informed_share(), 11.0 / 15, 1e-9);
  server.start(kNow, 1, {});
  for (int i = 0; i < 1000; ++i) EXPECT_FALSE(server.record_load(kNow, 0.1, true));
}
TEST(PriceServer, LoadOlderThanTheSpanDoesNotCount) {
  PriceServer server(plain_config(), 1, 100, 100);
  server.start(kNow, 0.25, 1000s);
  for (int i = 0; i < 200; ++i) EXPECT_FALSE(server.record_load(kNow + 100ms * i, 0.1, true)) << i;
}
TEST(PriceServer, AFullConnectionTableReducesCapacity) {
  auto config = plain_config();
  config.full_tax = 0.5, config.connections_per_core = 10;
  PriceServer server(config, 1, 8, 8);
  server.start(kNow, 1, {});
  EXPECT_EQ(server.max_connections(), 20U);
  server.set_connections(20);
  server.accept(kNow, JobId(1), 0.1, Time::max());
  const auto done = run(server, kNow + 2s);
  ASSERT_EQ(done.size(), 1U);
  EXPECT_NEAR(done[0].at, 0.2, 1e-6);
}

// ---- Network and datagram network ---------------------------------------------------------------

TEST(Network, PartitionsAnyTwoSetsInOneOrBothDirections) {
  Network net(NetworkConfig{}, RandomStreams(1));
  const Party a{Party::Kind::node, 0}, b{Party::Kind::node, 1}, s{Party::Kind::server, 0};
  const auto both = net.partition({{a}, {s}, true, true, false});
  EXPECT_FALSE(net.passes(a, s));
  EXPECT_FALSE(net.passes(s, a));
  EXPECT_TRUE(net.connected(b, s));
  const auto out = net.partition({{b}, {a}, true, false, true});
  EXPECT_FALSE(net.passes(b, a));
  EXPECT_TRUE(net.passes(a, b));
  EXPECT_FALSE(net.connected(a, b));
  EXPECT_TRUE(net.resets(a, b));
  EXPECT_FALSE(net.resets(a, s));
  net.heal(both);
  EXPECT_TRUE(net.connected(a, s));
  net.heal(out);
  EXPECT_TRUE(net.connected(a, b));
}
TEST(PeerNetwork, LosesDelaysAndDuplicatesAsConfigured) {
  PeerNetwork net({.delay_ms = {1, 24}, .loss = 0.1, .duplicate = 0.2, .reorder = 0.3}, 2,
                  RandomStreams(7));
  int lost = 0, duplicated = 0, reordered = 0;
  for (int i = 0; i < 10000; ++i) {
    const auto at = net.send(kNow);
    lost += at.empty(), duplicated += at.size() == 2;
    for (const auto t : at) {
      EXPECT_GE(t, kNow + 1ms);
      reordered += t > kNow + 24ms;
    }
  }
  EXPECT_NEAR(lost / 1e4, 0.1, 0.015);
  EXPECT_NEAR(duplicated / 9e3, 0.2, 0.02);
  EXPECT_GT(reordered, 500);
  net.set_extra_loss(1);
  EXPECT_TRUE(net.send(kNow).empty());
}
TEST(PeerNetwork, ANodeReceivesAtMostItsLimitEachSecond) {
  PeerNetwork net({.in_per_s = 60}, 2, RandomStreams(7));
  int received = 0;
  for (int i = 0; i < 200; ++i) received += net.receive(kNow + 5ms * i, 0);
  EXPECT_EQ(received, 60);
  EXPECT_TRUE(net.receive(kNow + 999ms, 1));
  EXPECT_TRUE(net.receive(kNow + 1s, 0));
  EXPECT_TRUE(net.too_long(257));
  EXPECT_FALSE(net.too_long(256));
}

}  // namespace
}  // namespace petrelrail::world::test
