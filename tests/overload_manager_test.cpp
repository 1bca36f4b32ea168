// Unit tests of the accounting of memory, its stages and its victims, and of the limited log of a
// state that flips.
#include "policy/overload_manager.hpp"

#include <gtest/gtest.h>

#include <random>

#include "policy/transition_log.hpp"

namespace petrelrail::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLimit = 32UL << 20U;

struct OverloadManagerTest : ::testing::Test {
  void hold(double share) {
    account.set(MemoryKind::bodies,
                1 + static_cast<std::size_t>(share * static_cast<double>(manager->budget())));
  }
  std::shared_ptr<OverloadManager> manager = std::make_shared<OverloadManager>(kLimit);
  MemoryAccount account{manager};
};

TEST_F(OverloadManagerTest, AStageIsLeftBelowTheShareAtWhichItWasEntered) {
  EXPECT_LT(manager->budget(), kLimit / 2);
  const std::vector<std::pair<double, OverloadStage>> steps{
      {0.59, OverloadStage::normal},       {0.6, OverloadStage::stop_reading},
      {0.51, OverloadStage::stop_reading}, {0.49, OverloadStage::normal},
      {0.95, OverloadStage::close},        {0.81, OverloadStage::close},
      {0.79, OverloadStage::shed},         {0.66, OverloadStage::shed},
      {0.64, OverloadStage::stop_reading}, {0.0, OverloadStage::normal}};
  for (const auto& [share, stage] : steps) {
    hold(share);
    EXPECT_EQ(manager->stage(), stage) << share;
  }
}
TEST_F(OverloadManagerTest, WithoutALimitNothingIsShed) {
  manager->set_memory_limit(0);
  account.set(MemoryKind::input, 1UL << 40U);
  EXPECT_EQ(manager->stage(), OverloadStage::normal);
  EXPECT_FALSE(manager->has_limit());
  EXPECT_EQ(manager->max_customers(1), SIZE_MAX);
}
TEST_F(OverloadManagerTest, ASmallRequestIsReadAndAcceptedUntilTheLastStage) {
  constexpr std::size_t kSmall = 2000, kLarge = 60'000;
  EXPECT_TRUE(manager->may_read(kLarge) && manager->may_accept(kLarge));
  hold(0.6);
  EXPECT_TRUE(manager->may_read(kSmall) && !manager->may_read(kLarge));
  EXPECT_TRUE(manager->may_accept(kLarge));
  hold(0.75);
  EXPECT_TRUE(manager->may_accept(kSmall) && !manager->may_accept(kLarge));
  hold(0.9);
  EXPECT_FALSE(manager->may_accept(kSmall));
}
TEST_F(OverloadManagerTest, VictimsAreTheLargestUntilTheStageIsLeft) {
  hold(0.76);
  const auto large = manager->budget() / 20;
  const std::vector<IncompleteRequest> requests{{0, 1000, Time(1s)},
                                                {1, large, Time(3s)},
                                                {2, large, Time(2s)},
                                                {3, 2 * large, Time(9s)},
                                                {4, large, Time(4s)}};
  EXPECT_EQ(manager->choose_victims(requests), (std::vector<std::size_t>{3, 2}));
  hold(0.7);
  EXPECT_EQ(manager->choose_victims(requests), (std::vector<std::size_t>{3}));
  hold(0.6);
  EXPECT_TRUE(manager->choose_victims(requests).empty());
  hold(0.99);
  EXPECT_EQ(manager->choose_victims({{7, 1000, Time(1s)}}), (std::vector<std::size_t>{7}));
}
// Guards against a sum that drifts from what is held: the node would shed for nothing, or never.
TEST_F(OverloadManagerTest, WhatIsChargedIsReleasedWhateverTheOrder) {
  std::mt19937 random(5);
  std::vector<MemoryAccount> accounts;
  for (int i = 0; i < 2000; ++i) {
    if (accounts.empty() || random() % 3 == 0) accounts.emplace_back(manager);
    auto& chosen = accounts[random() % accounts.size()];
    chosen.set(static_cast<MemoryKind>(random() % kMemoryKindNames.size()), random() % 100'000);
    if (random() % 5 == 0) std::swap(chosen, accounts.back()), accounts.pop_back();
    std::size_t sum = 0;
    for (const auto& a : accounts) sum += a.total();
    ASSERT_EQ(manager->total(), sum);
  }
  EXPECT_GT(manager->peak(), 0U);
  accounts.clear();
  EXPECT_EQ(manager->total(), 0U);
}

TEST(TransitionLogTest, AStateThatFlipsIsReportedSeldomAndItsLastStateAlways) {
  TransitionLog<bool> log(false);
  Time now{1h};
  std::size_t reports = 0;
  std::uint64_t changes = 0;
  bool reported = false;
  for (int i = 1; i <= 501; ++i, now += 20ms)
    if (const auto report = log.update(now, i % 2 != 0))
      ++reports, changes += 1 + report->unreported, reported = report->state;
  EXPECT_LE(reports, 14U);
  if (const auto report = log.update(now += 2s, false))
    changes += 1 + report->unreported, reported = report->state;
  EXPECT_FALSE(reported);
  EXPECT_EQ(changes, 502U);
}

}  // namespace
}  // namespace petrelrail::policy
