// A short bounded part of the soak: random overlapping faults over a dozen real processes. README
// has the command for the rest.
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

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Soak, NoRuleIsBrokenUnderOverlappingFaults) {
  Options options;
  options.seed = GetParam();
  options.scenario = soak_scenario({.seed = GetParam(), .nodes = 12, .seconds = 8});
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM, options.system_faults = SYSTEM_FAULTS;
  // A play in which the lab itself ran late tells nothing.
  auto played = run_scenario(options);
  for (int again = 0; again < kPlaysAgain && !played.void_reason.empty(); ++again)
    played = run_scenario(options);
  ASSERT_EQ(played.void_reason, "");
  EXPECT_EQ(soak_findings(played), std::vector<std::string>{});
  EXPECT_GT(played.figures["figures"]["served"].get<double>(), 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::Values(1, 2, 3));

// Guards against a lab's client that sends a request after it has left: "was sent on after its
// client had left" on seed 3.
TEST(LabClients, OneThatHasLeftSendsNothing) {
  const TemporaryFolder folder;
  Options options;
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM;
  options.out = folder.path, options.trace = true;
  options.scenario.fleet.nodes = 2, options.scenario.fleet.seconds = 4;
  // All leave, many of them while their request is still on its way to the front.
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
  EXPECT_GT(left.size(), 0U);  // before their requests were sent
  EXPECT_GT(taken.size(), 100U);
}

// A node that misses that its clients have closed sends on requests after they left, and that is
// reported; the same play of a sound node is clean.
TEST(SoakJudge, ANodeThatMissesThatItsClientsLeftIsReported) {
  const auto play_with = [](bool hide_closes) {
    Options options;
    options.processes = true;
    options.program = PETRELRAIL_PROGRAM, options.system_faults = SYSTEM_FAULTS;
    auto& scenario = options.scenario;
    scenario.fleet.nodes = 2, scenario.fleet.seconds = 4;
    scenario.servers.count = 2;
    scenario.system.hide_closes = hide_closes;
    // More than the servers can do, so that requests wait for a place, and all clients leave.
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

// Guards against a client whose requests are all malformed: without an Idempotency-Key every node
// rejected each of a keyed class, and no play of one told.
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

// Requests whose time is not over when a play is stopped are no finding.
TEST(SoakVoid, AStoppedPlayDoesNotReportRequestsUnderWay) {
  int asked = 0;
  Options options;
  options.processes = true;
  options.program = PETRELRAIL_PROGRAM;
  options.scenario = soak_scenario({.seed = 1, .nodes = 4, .seconds = 8});
  options.scenario.faults.clear();
  options.should_stop = [&asked] { return ++asked > 150; };  // some seconds after the start
  const auto played = run_scenario(options);
  EXPECT_TRUE(played.stopped);
  EXPECT_EQ(soak_findings(played), std::vector<std::string>{});
}

// All effects, and every fault takes hold: a play that shows nothing is no pass.
class SoakOfEveryEffect : public ::testing::TestWithParam<std::uint64_t> {};

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
