// What passes between two processes of a node, and back again.
#include "hot_restart.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <chrono>

namespace petrelrail::test {
namespace {

using namespace std::chrono_literals;

TEST(HandoverTest, StateIsReadAsItWasWritten) {
  HandoverState s;
  HandoverState::CustomerLease l{CustomerId{7},
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
  l.prefetched.push_back({42, 2, 2, 0, Time::min(), false, true});
  s.leases = {l, HandoverState::CustomerLease{}};
  s.latencies = {{"a \"class\"", 0.125}};
  s.fastest_call_times = {0.001, 0.002};
  s.call_rate = 90, s.concurrency_limit = 12, s.recent_responses = 8, s.recent_arrivals = 9,
  s.export_time = Time(8h), s.counter_reset_time = Time(2h);
  const auto text = to_json(s).dump();
  const auto read = handover_state_from_json(nlohmann::json::parse(text));
  EXPECT_EQ(to_json(read).dump(), text);
  ASSERT_EQ(read.leases.size(), 2u);
  EXPECT_EQ(read.leases[0].customer, CustomerId{7});
  EXPECT_EQ(read.leases[0].current.held, 3.5);
  EXPECT_TRUE(read.leases[0].current.admitted_before_lease);
  EXPECT_EQ(read.leases[0].prefetched[0].window, 42);
  EXPECT_TRUE(read.leases[0].prefetched[0].exhausted);
  EXPECT_EQ(read.leases[0].slot_release_times.back(), Time(7h));
  EXPECT_EQ(read.leases[1].current.last_response_time, Time::min());
}
TEST(HandoverTest, WhatCannotBeReadThrows) {
  for (const char* text :
       {"{}", "{\"leases\":[{}]}", "5", "{\"leases\":[{\"customer\":1,\"plan\":0,\"now\":[1]}]}"})
    EXPECT_THROW(handover_state_from_json(nlohmann::json::parse(text)), std::exception) << text;
}

struct NoOwner : HotRestart::Callbacks {
  int listener() override { return -1; }
  nlohmann::json export_state() override { return {}; }
  void on_listener_received(Descriptor) override {}
  void on_state_received(const nlohmann::json&) override {}
  void on_replaced() override {}
  void on_peer_message(const nlohmann::json&) override {}
  void on_peer_lost() override {}
};
// Without a descriptor an accept fails, and would fail again at once, as long as somebody waits: a
// pause lies before the next one, and whoever waits is taken after it.
TEST(HandoverTest, AnAcceptThatFailsIsTriedAgainAfterAPause) {
  asio::io_context io(1);
  Clock clock;
  Timers timers{io, clock};
  NoOwner owner;
  const auto path = ::testing::TempDir() + "petrelrail-accept-" + std::to_string(::getpid()) +
                    ".sock";
  HotRestart serving(io, timers, path, owner);
  serving.wait_for_successor();
  const asio::local::stream_protocol::endpoint at(path);
  // One that comes and goes first: the sanitizers look at each type once, and need descriptors of
  // their own for that.
  asio::local::stream_protocol::socket first(io), waits(io);
  first.connect(at);
  while (!serving.is_connected() && io.run_one_for(10s) > 0) {}
  first.close();
  while (serving.is_connected() && io.run_one_for(10s) > 0) {}
  bool fired = false;
  timers.after(1ms, [&] { fired = true; });
  while (!fired && io.run_one_for(10s) > 0) {}
  ASSERT_TRUE(fired && !serving.is_connected());
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
  EXPECT_FALSE(serving.is_connected());
  while (!serving.is_connected() && io.run_one_for(10s) > 0) {}
  EXPECT_TRUE(serving.is_connected());
}

}  // namespace
}  // namespace petrelrail::test
