// Jobs on eight real processes, with faults between them: each line runs at one place at a time,
// answers that were fetched are not asked for again, and a job goes on when its node is gone.
#include "process_cluster_fixture.hpp"

namespace petrelrail::test {
namespace {

constexpr std::uint32_t kNodes = 8;

struct JobsOnProcesses : ::testing::Test {
  explicit JobsOnProcesses(int safe = 1) : tier(kNodes, "on,jobs", safe) {}
  void SetUp() override {
    tier.start_all();
    ASSERT_TRUE(tier.ready()) << tier.log(0);
    ASSERT_TRUE(tier.agreed());
  }
  void TearDown() override {
    for (const auto& b : tier.breaches) ADD_FAILURE() << b;
    if (HasFailure())
      for (std::uint32_t i = 0; i < kNodes; ++i) std::cerr << "node " << i << ":\n" << tier.log(i);
  }
  std::string spec(std::uint32_t lines, const std::string& prefix = "9b1f03aa5c7e") {
    return json{{"customer", "0000000000000007"},
                {"plan", "p"},
                {"class", "read"},
                {"prefix", prefix},
                {"path", "/read/{}"},
                {"range", {{"first", 1000}, {"count", lines}}},
                {"ends", ends}}
        .dump();
  }
  std::string hand_in(std::uint32_t lines) {
    const auto r = tier.ask("POST", "/jobs", spec(lines));
    EXPECT_EQ(r.status, 202) << r.body;
    return r.status == 202 ? r.body["id"].get<std::string>() : "";
  }
  // A job that is well under way when this returns.
  std::string running(std::uint32_t lines) {
    tier.work = 50ms;
    auto id = hand_in(lines);
    EXPECT_TRUE(tier.until([&] { return tier.runs.size() >= 30; }));
    return id;
  }
  // Fetches until all lines have been told; each is told once.
  std::map<std::uint32_t, json> fetch_all(const std::string& id, std::uint32_t lines) {
    std::map<std::uint32_t, json> told;
    std::uint32_t next = 0;
    EXPECT_TRUE(tier.until([&] {
      const auto r = tier.ask("GET", "/jobs/" + id + "/answers?from=" + std::to_string(next));
      if (r.status != 200) return false;
      for (const auto& a : r.body["answers"])
        EXPECT_TRUE(told.emplace(a["line"].get<std::uint32_t>(), a).second) << a;
      next = r.body["next"].get<std::uint32_t>();
      return next >= lines;
    }));
    return told;
  }
  std::uint32_t holder(const std::string& id) {
    std::uint32_t found = kNodes;
    EXPECT_TRUE(tier.until([&] {
      for (std::uint32_t i = 0; i < kNodes; ++i) {
        if (!tier.up(i)) continue;
        const auto r = tier.call(i, "GET", "/jobs/" + id);
        if (r.status == 200 && r.body.value("here", false)) found = i;
      }
      return found < kNodes;
    }));
    return found;
  }
  void all_served(const std::map<std::uint32_t, json>& told, std::uint32_t lines) {
    ASSERT_EQ(told.size(), lines);
    for (const auto& [line, a] : told) {
      EXPECT_EQ(a["state"], "served") << a;
      EXPECT_EQ(a.value("body", ""), "value of /read/" + std::to_string(1000 + line));
    }
  }
  Tier tier;
  const std::int64_t ends = std::chrono::duration_cast<std::chrono::seconds>(
                                tier.now().time_since_epoch())
                                .count() +
                            600;
};

TEST_F(JobsOnProcesses, AJobRunsAndIsFetchedFromAnyNode) {
  const auto id = hand_in(40);
  all_served(fetch_all(id, 40), 40);
  EXPECT_EQ(tier.runs.size(), 40U);
  // Handed in again, at another node, it is the same job; other content under its prefix is a
  // conflict.
  EXPECT_EQ(tier.ask("POST", "/jobs", spec(40), 5).body["id"], id);
  EXPECT_EQ(tier.ask("POST", "/jobs", spec(41), 3).status, 409);
  EXPECT_EQ(tier.ask("POST", "/jobs", spec(4001)).status, 400);
  EXPECT_EQ(tier.call(0, "POST", "/jobs", "{}").status, 400);
  EXPECT_EQ(tier.call(0, "PUT", "/jobs").status, 405);
  EXPECT_EQ(tier.call(0, "GET", "/jobs/00000000000000").status, 404);
  EXPECT_EQ(tier.ask("DELETE", "/jobs/" + id).status, 200);
  EXPECT_EQ(tier.ask("POST", "/jobs", spec(40)).status, 409);
}
// Whatever is handed in at two nodes at once under one prefix is one job.
TEST_F(JobsOnProcesses, HandedInTwiceAtOnceItRunsOnce) {
  const auto body = spec(30);
  const auto a = tier.begin(1, "POST", "/jobs", body), b = tier.begin(6, "POST", "/jobs", body);
  ASSERT_TRUE(tier.until([&] { return a->ended && b->ended; }));
  const auto id = hand_in(30);
  all_served(fetch_all(id, 30), 30);
  EXPECT_EQ(tier.runs.size(), 30U);
}
TEST_F(JobsOnProcesses, AnotherNodeGoesOnWhenTheHolderIsKilled) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.kill(first);
  const auto next = holder(id);
  EXPECT_NE(next, first);
  all_served(fetch_all(id, 200), 200);
}
// It wakes up when another has gone on: nothing of what it does counts, and no line is out twice.
TEST_F(JobsOnProcesses, AHolderThatStallsAndWakesDoesNothing) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.signal(first, SIGSTOP);
  ASSERT_TRUE(tier.until([&] { return tier.ran_elsewhere(first, 30); }));
  tier.signal(first, SIGCONT);
  const auto woke = tier.runs.size();
  all_served(fetch_all(id, 200), 200);
  // What had been written to a price server before the stall may still come from there; nothing new
  // does.
  std::set<std::uint32_t> nodes;
  for (auto i = woke + 8; i < tier.runs.size(); ++i) nodes.insert(tier.runs[i].node);
  EXPECT_FALSE(nodes.contains(first));
}
// Peers don't hear it, the counter does: whoever holds a term at the counter works, and only that
// one.
TEST_F(JobsOnProcesses, CutFromItsPeersOrFromTheCounterTheJobGoesOn) {
  const auto id = running(200);
  auto at = holder(id);
  tier.cut_counter(at);
  ASSERT_TRUE(tier.until([&] { return tier.ran_elsewhere(at, 60); }));
  tier.cut_counter(at, false);
  at = holder(id);
  tier.cut_off(at);
  const auto ran = tier.runs.size();
  ASSERT_TRUE(tier.until([&] { return tier.runs.size() > ran + 30; }));
  tier.cut_off(at, false);
  all_served(fetch_all(id, 200), 200);
}
// A silent counter stops jobs within a term; one that has lost its numbers gives nobody a second
// holder.
TEST_F(JobsOnProcesses, ASilentCounterPausesAndAnEmptiedOneBreaksNothing) {
  tier.lose(0.05), tier.repeat(0.05);
  const auto id = running(150);
  tier.counter().reset(tier.now());
  ASSERT_TRUE(tier.until([&] { return tier.runs.size() >= 60; }));
  tier.counter().set_mode(tier.now(), world::Counter::Mode::silent);
  ASSERT_TRUE(tier.until([&] { return tier.held("jobs/") == 0; }));
  tier.counter().set_mode(tier.now(), world::Counter::Mode::serving);
  all_served(fetch_all(id, 150), 150);
}
// SIGTERM gives the job on at once.
TEST_F(JobsOnProcesses, AHolderThatLeavesGivesTheJobOn) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.signal(first, SIGTERM);
  ASSERT_TRUE(tier.until([&] { return tier.ended(first); }));
  tier.kill(first);
  EXPECT_NE(holder(id), first);
  all_served(fetch_all(id, 200), 200);
}
// A new version takes the holder's place in mid job, with its right and its records: the job goes
// on there.
TEST_F(JobsOnProcesses, AnUpgradeOfTheHolderGoesOnWithTheJob) {
  const auto id = running(200);
  const auto first = holder(id);
  ASSERT_TRUE(tier.upgrade(first));
  all_served(fetch_all(id, 200), 200);
}

// A class that must not run twice: what may have run when its holder died ends as unknown, and
// nothing runs again.
struct UnsafeJobs : JobsOnProcesses {
  UnsafeJobs() : JobsOnProcesses(0) {}
};
TEST_F(UnsafeJobs, NothingThatMayHaveRunRunsAgain) {
  tier.work = 50ms;
  const auto id = hand_in(80);
  const auto first = holder(id);
  ASSERT_TRUE(tier.until([&] { return tier.runs.size() >= 20; }));
  tier.kill(first);
  const auto told = fetch_all(id, 80);
  ASSERT_EQ(told.size(), 80U);
  std::map<std::string, int> ran;
  for (const auto& r : tier.runs) ++ran[r.id];
  for (const auto& [request, times] : ran) EXPECT_EQ(times, 1) << request;
  std::map<std::string, int> states;
  for (const auto& [line, a] : told) ++states[a["state"].get<std::string>()];
  EXPECT_GT(states["served"], 0);
  EXPECT_GT(states["unknown"] + states["lost"], 0);
  EXPECT_EQ(states["served"] + states["unknown"] + states["lost"], 80);
}

}  // namespace
}  // namespace petrelrail::test
