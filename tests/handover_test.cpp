// What passes between two processes of a node, and back again.
#include "handover.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <chrono>

namespace petrelrail::test {
namespace {

using namespace std::chrono_literals;

TEST(HandoverTest, StateIsReadAsItWasWritten) {
  Succession s;
  Succession::Lease l{CustomerId{7},
                      PlanIndex{2},
                      {41, 3.5, 9, 0.25, Time(5h), true, false},
                      {},
                      1,
                      2,
                      3,
                      4,
                      5,
                      Time(3h),
                      Time(4h),
                      {Time(6h), Time(7h)}};
  l.ahead.push_back({42, 2, 2, 0, Time::min(), false, true});
  s.leases = {l, Succession::Lease{}};
  s.latencies = {{"a \"class\"", 0.125}};
  s.quickest_calls = {0.001, 0.002};
  s.call_rate = 90, s.bound = 12, s.answers = 8, s.arrivals = 9, s.at = Time(8h), s.lost_at = Time(2h);
  const auto text = to_json(s).dump();
  const auto read = succession_of(nlohmann::json::parse(text));
  EXPECT_EQ(to_json(read).dump(), text);
  ASSERT_EQ(read.leases.size(), 2u);
  EXPECT_EQ(read.leases[0].customer, CustomerId{7});
  EXPECT_EQ(read.leases[0].now.held, 3.5);
  EXPECT_TRUE(read.leases[0].now.credit);
  EXPECT_EQ(read.leases[0].ahead[0].window, 42);
  EXPECT_TRUE(read.leases[0].ahead[0].empty);
  EXPECT_EQ(read.leases[0].places.back(), Time(7h));
  EXPECT_EQ(read.leases[1].now.answered_at, Time::min());
}
TEST(HandoverTest, WhatCannotBeReadThrows) {
  for (const char* text :
       {"{}", "{\"leases\":[{}]}", "5", "{\"leases\":[{\"customer\":1,\"plan\":0,\"now\":[1]}]}"})
    EXPECT_THROW(succession_of(nlohmann::json::parse(text)), std::exception) << text;
}

struct NoOwner : Handover::Owner {
  int listener() override { return -1; }
  nlohmann::json leave_state() override { return {}; }
  void listener_came(Descriptor) override {}
  void state_came(const nlohmann::json&) override {}
  void replaced() override {}
  void told_by_peer(const nlohmann::json&) override {}
  void peer_lost() override {}
};
// Without a descriptor an accept fails, and would fail again at once, as long as somebody waits: a pause lies before the
// next one, and whoever waits is taken after it.
TEST(HandoverTest, AnAcceptThatFailsIsTriedAgainAfterAPause) {
  asio::io_context io(1);
  Clock clock;
  Timers timers{io, clock};
  NoOwner owner;
  const auto path = ::testing::TempDir() + "petrelrail-accept-" + std::to_string(::getpid()) + ".sock";
  Handover serving(io, timers, path, owner);
  serving.offer();
  const asio::local::stream_protocol::endpoint at(path);
  // One that comes and goes first: the sanitizers look at each type once, and need descriptors of their own for that.
  asio::local::stream_protocol::socket first(io), waits(io);
  first.connect(at);
  while (!serving.linked() && io.run_one_for(10s) > 0) {}
  first.close();
  while (serving.linked() && io.run_one_for(10s) > 0) {}
  bool fired = false;
  timers.after(1ms, [&] { fired = true; });
  while (!fired && io.run_one_for(10s) > 0) {}
  ASSERT_TRUE(fired && !serving.linked());
  waits.connect(at);
  rlimit given{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &given), 0);
  const int next = ::dup(waits.native_handle());
  ::close(next);
  const rlimit none{static_cast<rlim_t>(next), given.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
  std::size_t ran = 0;
  while (ran < 1000 && io.poll_one() > 0) ++ran;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &given), 0);
  EXPECT_GE(ran, 1u);
  EXPECT_LT(ran, 1000u);
  EXPECT_FALSE(serving.linked());
  while (!serving.linked() && io.run_one_for(10s) > 0) {}
  EXPECT_TRUE(serving.linked());
}

}  // namespace
}  // namespace petrelrail::test
