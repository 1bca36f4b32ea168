// Tests of jobs on eight petrelrail processes with faults between them: each task runs at one place
// at a time, fetched answers are not requested again, and a job continues when its node is gone.
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
  // Submits a job and returns its ID after 30 of its requests have reached price servers.
  std::string running(std::uint32_t lines) {
    tier.work = 50ms;
    auto id = hand_in(lines);
    EXPECT_TRUE(tier.until([&] { return tier.runs.size() >= 30; }));
    return id;
  }
  // Fetches answers until all tasks are reported; each must be reported once.
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

// A job submitted once runs each task once, and its answers can be fetched. Submitting it again
// returns the same job; invalid, conflicting and deleted jobs are rejected.
TEST_F(JobsOnProcesses, AJobRunsAndIsFetchedFromAnyNode) {
  const auto id = hand_in(40);
  all_served(fetch_all(id, 40), 40);
  EXPECT_EQ(tier.runs.size(), 40U);
  // Submitted again at another node it is the same job; other content under its prefix is a
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
// Guards against running a job twice: submissions at two nodes at the same time under one prefix
// are one job.
TEST_F(JobsOnProcesses, HandedInTwiceAtOnceItRunsOnce) {
  const auto body = spec(30);
  const auto a = tier.begin(1, "POST", "/jobs", body), b = tier.begin(6, "POST", "/jobs", body);
  ASSERT_TRUE(tier.until([&] { return a->ended && b->ended; }));
  const auto id = hand_in(30);
  all_served(fetch_all(id, 30), 30);
  EXPECT_EQ(tier.runs.size(), 30U);
}
// Guards against a job that is lost with its node: the holder is killed, another node takes the
// job over, and every task is served.
TEST_F(JobsOnProcesses, AnotherNodeGoesOnWhenTheHolderIsKilled) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.kill(first);
  const auto next = holder(id);
  EXPECT_NE(next, first);
  all_served(fetch_all(id, 200), 200);
}
// The holder stalls, another node continues the job, and the holder resumes: nothing that it
// does takes effect, and no task is in flight twice.
TEST_F(JobsOnProcesses, AHolderThatStallsAndWakesDoesNothing) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.signal(first, SIGSTOP);
  ASSERT_TRUE(tier.until([&] { return tier.ran_elsewhere(first, 30); }));
  tier.signal(first, SIGCONT);
  const auto woke = tier.runs.size();
  all_served(fetch_all(id, 200), 200);
  // Requests written to a price server before the stall may still arrive from the stalled node, but
  // no new ones.
  std::set<std::uint32_t> nodes;
  for (auto i = woke + 8; i < tier.runs.size(); ++i) nodes.insert(tier.runs[i].node);
  EXPECT_FALSE(nodes.contains(first));
}
// The holder loses first the counter, then its peers, which do not hear it while the counter
// does. Only the node that holds a term at the counter may run the job, and the job continues.
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
// With 5% of the datagrams lost and 5% duplicated: a silent counter stops jobs within a lease
// term, and a counter that has lost its values must not give a job a second holder.
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
// The holder gets SIGTERM: it transfers the job immediately, and another node finishes it.
TEST_F(JobsOnProcesses, AHolderThatLeavesGivesTheJobOn) {
  const auto id = running(200);
  const auto first = holder(id);
  tier.signal(first, SIGTERM);
  ASSERT_TRUE(tier.until([&] { return tier.ended(first); }));
  tier.kill(first);
  EXPECT_NE(holder(id), first);
  all_served(fetch_all(id, 200), 200);
}
// A hot restart of the holder in the middle of a job: the new process takes over the lease and
// the records, and the job continues there.
TEST_F(JobsOnProcesses, AnUpgradeOfTheHolderGoesOnWithTheJob) {
  const auto id = running(200);
  const auto first = holder(id);
  ASSERT_TRUE(tier.upgrade(first));
  all_served(fetch_all(id, 200), 200);
}

// Jobs of a class whose requests must not run twice: a task that may have run when its holder
// died ends as unknown, and nothing runs again.
struct UnsafeJobs : JobsOnProcesses {
  UnsafeJobs() : JobsOnProcesses(0) {}
};
// The holder is killed while tasks are in flight: no request reaches a price server twice, and
// every task ends as served, unknown or lost.
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
