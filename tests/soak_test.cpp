// A short, bounded part of the soak test: random overlapping faults on a dozen petrelrail
// processes. README has the command for the long soak.
#include "soak.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

namespace petrelrail::lab {
namespace {

constexpr int kPlaysAgain = 3;

struct TemporaryFolder {
  std::filesystem::path path;
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "petrelrail-soak-XXXXXX").string();
    path = mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

std::vector<nlohmann::json> events_of(const std::filesystem::path& folder) {
  std::vector<nlohmann::json> events;
  std::ifstream file(folder / "events.jsonl");
  for (std::string line; std::getline(file, line);) events.push_back(nlohmann::json::parse(line));
  return events;
}

// Runs the scenario on real processes and expects no finding, and requests that were served.
void expect_no_finding(std::uint64_t seed, world::Scenario scenario) {
  Options options;
  options.seed = seed;
  options.scenario = std::move(scenario);
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM, options.system_faults = SYSTEM_FAULTS;
  // A run in which the lab itself ran late is void and is repeated.
  auto played = run_scenario(options);
  for (int again = 0; again < kPlaysAgain && !played.void_reason.empty(); ++again)
    played = run_scenario(options);
  ASSERT_EQ(played.void_reason, "");
  EXPECT_EQ(soak_findings(played), std::vector<std::string>{});
  EXPECT_GT(played.figures["figures"]["served"].get<double>(), 0);
}

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against invariant violations that only overlapping faults cause: random faults by seed
// on 12 nodes for 8 seconds must give no finding, and requests must be served.
TEST_P(Soak, NoRuleIsBrokenUnderOverlappingFaults) {
  expect_no_finding(GetParam(), soak_scenario({.seed = GetParam(), .nodes = 12, .seconds = 8}));
}
INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::Values(1, 2, 3));

// Guards against a node of the least memory that a crowd of hostile clients ends, or that breaks a
// promise to others beside it, under overlapping faults and series of signals.
TEST(SoakWithACrowd, NoRuleIsBrokenAndNoLimitPassed) {
  constexpr std::uint64_t kSeed = 9001;
  expect_no_finding(
      kSeed,
      soak_scenario(
          {.seed = kSeed, .nodes = 4, .seconds = 8, .extended = true, .crowd_per_node = 60}));
}

// Guards against a simulated client that sends its request after it has disconnected, which made
// the lab report "was sent on after its client had left" on seed 3.
TEST(LabClients, OneThatHasLeftSendsNothing) {
  const TemporaryFolder folder;
  Options options;
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM;
  options.out = folder.path, options.trace = true;
  options.scenario.fleet.nodes = 2, options.scenario.fleet.seconds = 4;
  // All clients disconnect, many of them before their request has reached the front.
  auto& clients = options.scenario.clients;
  clients.deadline_ms = 20, clients.aim_ms = 10, clients.early_disconnect_share = 1;
  clients.plans = {world::PlanConfig{.name = "basic", .rate = 100}};
  const auto played = run_scenario(options);
  EXPECT_EQ(played.crash, "");
  std::set<std::string> left, taken;
  for (const auto& event : events_of(folder.path)) {
    if (event["event"] == "left") left.insert(event["id"]);
    if (event["event"] != "taken") continue;
    taken.insert(event["id"]);
    EXPECT_FALSE(left.contains(event["id"]))
        << event["id"] << " was sent after its client had left";
  }
  std::erase_if(left, [&](const auto& id) { return taken.contains(id); });
  EXPECT_GT(left.size(), 0U);  // Some disconnected before their requests were sent.
  EXPECT_GT(taken.size(), 100U);
}

// Guards against a judge that misses a faulty node: a node that does not notice that its clients
// have closed forwards requests after they disconnected, and that is reported; the same run of a
// correct node gives no finding.
TEST(SoakJudge, ANodeThatMissesThatItsClientsLeftIsReported) {
  const auto play_with = [](bool hide_closes) {
    Options options;
    options.processes = true;
    options.program = PETRELRAIL_PROGRAM, options.system_faults = SYSTEM_FAULTS;
    auto& scenario = options.scenario;
    scenario.fleet.nodes = 2, scenario.fleet.seconds = 4;
    scenario.servers.count = 2;
    scenario.system.hide_closes = hide_closes;
    // The load exceeds the servers' capacity, so that requests wait for a free slot, and all
    // clients disconnect.
    auto& clients = scenario.clients;
    clients.load = 3, clients.early_disconnect_share = 1;
    clients.deadline_ms = 3000, clients.aim_ms = 2500;
    clients.plans = {world::PlanConfig{.name = "basic", .rate = 100}};
    return soak_findings(run_scenario(options));
  };
  const auto sent_on = [](const std::string& finding) {
    return finding.find("was sent on after its client had left") != std::string::npos;
  };
  EXPECT_TRUE(std::ranges::any_of(play_with(true), sent_on));
  EXPECT_EQ(play_with(false), std::vector<std::string>{});
}

RunResult play_clients_of(const std::string& effect) {
  Options options;
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM;
  options.scenario.fleet.nodes = 2, options.scenario.fleet.seconds = 3;
  options.scenario.clients.effect = effect;
  options.scenario.clients.plans = {world::PlanConfig{.name = "basic"}};
  return run_scenario(options);
}

// Guards against simulated clients whose requests are all malformed: without an Idempotency-Key
// every node rejected each request of a keyed class, and no run of such a class reported it.
TEST(LabClients, RequestsOfEveryEffectAreServed) {
  constexpr double kMostOfThem = 0.5;
  for (const auto* effect : {"safe", "keyed", "unsafe"}) {
    const auto played = play_clients_of(effect);
    EXPECT_EQ(soak_findings(played), std::vector<std::string>{}) << effect;
    EXPECT_GT(played.figures["figures"]["served_share"].get<double>(), kMostOfThem) << effect;
  }
}

RunResult counting_play() {
  RunResult played;
  played.figures["figures"]["served_share"] = 0.5;
  played.fault_effects = {{"kill", 2}};
  return played;
}

// Guards against a run that passes without testing anything: no request served, a fault without
// effect, an early stop or a late lab makes it void, with the reason.
TEST(SoakVoid, APlayThatShowsNothingIsVoidAndSaysWhy) {
  EXPECT_EQ(soak_void_reasons(counting_play()).size(), 0U);
  auto none_served = counting_play();
  none_served.figures["figures"]["served_share"] = 0.0;
  EXPECT_EQ(soak_void_reasons(none_served).size(), 1U);
  auto no_effect = counting_play();
  no_effect.fault_effects.push_back({"list_late", 0});
  EXPECT_EQ(soak_void_reasons(no_effect),
            std::vector<std::string>{"a fault touched nothing: list_late"});
  auto stopped = counting_play();
  stopped.stopped = true;
  EXPECT_EQ(soak_void_reasons(stopped), std::vector<std::string>{"it was stopped before its end"});
  auto late = counting_play();
  late.void_reason = "the lab itself ran late";
  EXPECT_EQ(soak_void_reasons(late), std::vector<std::string>{"the lab itself ran late"});
}

// Requests whose deadline has not passed when a run is stopped are no finding.
TEST(SoakVoid, AStoppedPlayDoesNotReportRequestsUnderWay) {
  int asked = 0;
  Options options;
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM;
  options.scenario = soak_scenario({.seed = 1, .nodes = 4, .seconds = 8});
  options.scenario.faults.clear();
  options.should_stop = [&asked] { return ++asked > 150; };  // stops some seconds after the start
  const auto played = run_scenario(options);
  EXPECT_TRUE(played.stopped);
  EXPECT_EQ(soak_findings(played), std::vector<std::string>{});
}

// Classes of every effect (safe, keyed, unsafe), with every fault taking effect: a void run is
// no pass.
class SoakOfEveryEffect : public ::testing::TestWithParam<std::uint64_t> {};

// Extended soak by seed on 12 nodes for 8 seconds: the run is not void, and there is no finding.
TEST_P(SoakOfEveryEffect, ServesAndIsHitByItsFaults) {
  Options options;
  options.seed = GetParam();
  options.scenario = soak_scenario(
      {.seed = GetParam(), .nodes = 12, .seconds = 8, .extended = true});
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM, options.system_faults = SYSTEM_FAULTS;
  auto played = run_scenario(options);
  for (int again = 0; again < kPlaysAgain && !played.void_reason.empty(); ++again)
    played = run_scenario(options);
  EXPECT_EQ(soak_void_reasons(played), std::vector<std::string>{});
  EXPECT_EQ(soak_findings(played), std::vector<std::string>{});
}
INSTANTIATE_TEST_SUITE_P(Seeds, SoakOfEveryEffect, ::testing::Values(5000, 5002, 5004));

// Guards against runs that cannot be reproduced: a seed always generates the same scenario, and
// another seed a different one.
TEST(SoakScenario, ASeedDrawsTheSameScenarioAgainAndAnotherOneAnother) {
  const auto first = soak_scenario({.seed = 5}), again = soak_scenario({.seed = 5}),
             other = soak_scenario({.seed = 6});
  ASSERT_EQ(first.faults.size(), again.faults.size());
  for (std::size_t i = 0; i < first.faults.size(); ++i) {
    EXPECT_EQ(first.faults[i].kind, again.faults[i].kind);
    EXPECT_EQ(first.faults[i].at, again.faults[i].at);
  }
  EXPECT_NE(first.clients.deadline_ms, other.clients.deadline_ms);
}

}  // namespace
}  // namespace petrelrail::lab
