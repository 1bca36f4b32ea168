// The state handed over between two processes of a node, and the socket over which it passes.
#include "hot_restart.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <chrono>

namespace petrelrail::test {
namespace {

using namespace std::chrono_literals;

// Guards against a field that is lost or changed between export and import.
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
// A malformed state must throw, so that it is never applied in part.
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
// Without a free descriptor an accept fails, and would fail again at once as long as a connection
// is pending. The server must pause before the next accept, or it spins, and must accept the
// pending connection afterwards.
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
  // A first connection comes and goes: the sanitizers examine each type once and need descriptors
  // of their own for that.
  asio::local::stream_protocol::socket first(io), second(io);
  first.connect(at);
  while (!serving.is_connected() && io.run_one_for(10s) > 0) {}
  first.close();
  while (serving.is_connected() && io.run_one_for(10s) > 0) {}
  bool fired = false;
  timers.after(1ms, [&] { fired = true; });
  while (!fired && io.run_one_for(10s) > 0) {}
  ASSERT_TRUE(fired && !serving.is_connected());
  second.connect(at);
  rlimit saved_limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  const int next_descriptor = ::dup(second.native_handle());
  ::close(next_descriptor);
  const rlimit exhausted_limit{static_cast<rlim_t>(next_descriptor), saved_limit.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &exhausted_limit), 0);
  std::size_t handlers_run = 0;
  while (handlers_run < 1000 && io.poll_one() > 0) ++handlers_run;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  EXPECT_GE(handlers_run, 1u);
  EXPECT_LT(handlers_run, 1000u);
  EXPECT_FALSE(serving.is_connected());
  while (!serving.is_connected() && io.run_one_for(10s) > 0) {}
  EXPECT_TRUE(serving.is_connected());
}

}  // namespace
}  // namespace petrelrail::test
