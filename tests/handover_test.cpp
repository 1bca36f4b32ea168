// What passes between two processes of a node, and back again.
#include "handover.hpp"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace petrelrail::test
