#include "shadow_study.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <thread>

#include "world/shadow_trial.hpp"

namespace petrelrail::lab {
namespace {

using namespace world;
using fleet::MapFinding;

// One play for each seed, on all cores; the same whatever the cores.
template <class Play>
auto play_seeds(std::uint64_t first, std::uint32_t seeds, Play play) {
  std::vector<decltype(play(first))> found(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&] {
      for (std::uint32_t i = next++; i < seeds; i = next++) found[i] = play(first + i);
    });
  workers.clear();
  return found;
}
double percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

struct ErrorCase {
  const char* name;
  const char* what;
  ShadowTrialConfig terms;
  MapFinding wrong;  // what must not be found
};
std::vector<ErrorCase> error_cases() {
  const auto terms = [](auto change) {
    ShadowTrialConfig t;
    change(t);
    return t;
  };
  const auto in_one = [](ShadowTrialConfig& t) {
    t.truth.affected_shard = 0;
  };  // the one with the most traffic
  const auto few = [](ShadowTrialConfig& t) { t.truth.shards = 4, t.max_copies = 400'000; };
  return {
      {"alike", "nothing differs beyond the control",
       terms([](ShadowTrialConfig& t) { t.max_copies = 300'000; }), MapFinding::must_not},
      {"alike-4", "the same, a map of 4 shards, to its verdict",
       terms([&](ShadowTrialConfig& t) { few(t); }), MapFinding::must_not},
      {"alike-busy", "the same, 1 in 50 differs by publication, 1 in 50 fails",
       terms([](ShadowTrialConfig& t) {
         t.truth.published_share = 0.019, t.truth.failing_share = 0.02;
         t.max_copies = 200'000;
       }),
       MapFinding::must_not},
      {"differs", "one shard of 4 differs by the margin, 0.001", terms([&](ShadowTrialConfig& t) {
         few(t), in_one(t);
         t.truth.candidate_differing_share = 0.001, t.truth.published_share = 0.0002;
       }),
       MapFinding::may_be_used},
      {"fails", "one shard of 4 fails by the margin, 0.001", terms([&](ShadowTrialConfig& t) {
         few(t), in_one(t);
         t.truth.candidate_failing_share = 0.001, t.truth.failing_share = 0.0002;
       }),
       MapFinding::may_be_used},
      {"slower", "one shard of 4 is later by the margin, 0.05", terms([&](ShadowTrialConfig& t) {
         few(t), in_one(t);
         t.truth.candidate_slow_share = 0.064;  // of these 0.79 come later than an edge that they
                                                // would have kept
       }),
       MapFinding::may_be_used},
      {"differs-64", "each of 64 shards differs by the margin, 0.001",
       terms([](ShadowTrialConfig& t) { t.truth.candidate_differing_share = 0.001; }),
       MapFinding::may_be_used},
  };
}

struct TimeCase {
  const char* name;
  const char* what;
  ShadowFleetConfig terms;
  std::uint32_t one_in = 1;  // of the plays asked for: the long ones are fewer
};
std::vector<TimeCase> time_cases() {
  ShadowFleetConfig rare;
  rare.truth.candidate_differing_share = 0.001;
  rare.truth.published_share = 0;
  rare.truth.failing_share = 0;
  auto one = rare;
  one.truth.shards = 1;
  one.truth.affected_shard = 0;
  auto published = rare;
  published.truth.published_share = 0.0001;
  ShadowFleetConfig failing;
  failing.lookups_per_s = 200;
  failing.truth.affected_shard = 5;
  failing.truth.candidate_failing_share = 1;
  failing.duration_s = 30;
  auto calm = failing;
  calm.lookups_per_s = 10;
  calm.duration_s = 120;
  auto lossy = failing;
  lossy.loss = 0.2;
  ShadowFleetConfig deaths;
  deaths.truth.candidate_differing_share = 0.0;
  deaths.crash_time_s = 200;
  deaths.idle_time_s = 300;
  deaths.duration_s = 450;
  return {{"rare", "1 in 1,000 differs, slice 5%", rare},
          {"rare-one", "the same, a map of one shard", one},
          {"rare-published", "1 in 1,000 differs, 1 in 10,000 by publication", published},
          {"failing", "one shard of 64 fails, 200 lookups/s a node", failing},
          {"failing-calm", "the same, 10 lookups/s a node", calm},
          {"failing-lossy", "200 lookups/s, a datagram in five lost", lossy},
          {"deaths", "the holder and a tenth die after 200 s", deaths, 20}};
}

bool wanted(const ShadowStudy& study, const char* name) {
  return study.cases.empty() || std::ranges::find(study.cases, name) != study.cases.end();
}

bool study_errors(const ShadowStudy& study, const ErrorCase& c) {
  const auto plays = play_seeds(study.first_seed, study.maps, [&](std::uint64_t seed) {
    return run_shadow_trial(c.terms, seed);
  });
  std::array<std::uint32_t, 3> by_finding{};
  std::uint32_t wrong = 0;
  std::vector<double> copies;
  for (const auto& p : plays) {
    ++by_finding.at(static_cast<std::size_t>(p.map));
    wrong += p.map == c.wrong || (c.wrong == MapFinding::must_not && p.worse_shards > 0) ? 1 : 0;
    if (p.map != MapFinding::undecided) copies.push_back(static_cast<double>(p.copies));
  }
  const bool kept = wrong < fleet::kMaxErrorRate * study.maps || wrong == 0;
  std::printf("| %s | %s | %u | %u | %u | %u | %.0f | %s %.4f (goal under %.2f)%s |\n", c.name,
              c.what, study.maps, by_finding[1], by_finding[2], by_finding[0],
              percentile(copies, 0.5),
              c.wrong == MapFinding::must_not ? "wrong against it" : "wrong \"may be used\"",
              static_cast<double>(wrong) / study.maps, fleet::kMaxErrorRate, kept ? "" : " MISSED");
  std::fflush(stdout);
  return kept;
}

bool study_time(const ShadowStudy& study, const TimeCase& c) {
  const auto number = std::max(1U, study.plays / c.one_in);
  const auto plays = play_seeds(study.first_seed, number, [&](std::uint64_t seed) {
    return run_shadow_fleet(c.terms, seed);
  });
  std::vector<double> copies, told, found, stopped, intake, lost;
  std::uint32_t records = 0, untold = 0, unstopped = 0;
  bool exceeded = false;
  const bool stops = c.terms.truth.candidate_failing_share > 0.5, ends = c.terms.crash_time_s > 0;
  for (const auto& p : plays) {
    copies.push_back(static_cast<double>(p.copies));
    if (p.verdict_time_s) told.push_back(*p.verdict_time_s);
    if (p.detection_delay_s) found.push_back(*p.detection_delay_s);
    if (p.stop_delay_s) stopped.push_back(*p.stop_delay_s);
    untold += p.verdict_time_s ? 0 : 1;
    unstopped += p.stop_delay_s ? 0 : 1;
    intake.push_back(p.max_messages_per_s);
    lost.push_back(static_cast<double>(p.lost_copies) /
                   static_cast<double>(std::max<std::uint64_t>(1, p.copies)));
    records = std::max(records, p.record_keys);
    exceeded = exceeded || p.has_overcount;
  }
  bool kept = !exceeded;
  std::printf("| %s | %s | %u | ", c.name, c.what, number);
  if (stops) {
    kept = kept && unstopped == 0 && percentile(stopped, 0.99) <= 2;
    std::printf(
        "told %.2f s, stopped %.2f s after the evidence (median), %.2f s (99th percentile; goal 2) "
        "|",
        percentile(found, 0.5), percentile(stopped, 0.5), percentile(stopped, 0.99));
  } else if (ends) {
    std::printf("%.0f copies, the holder at the end doesn't know %.4f of them, told %u |",
                percentile(copies, 0.5), percentile(lost, 0.5), number - untold);
  } else {
    kept = kept && untold == 0 && percentile(copies, 0.5) <= 30'000;
    std::printf("told after %.0f copies (median; goal 30,000), %.0f (95th percentile), %.0f s |",
                percentile(copies, 0.5), percentile(copies, 0.95), percentile(told, 0.5));
  }
  std::printf(" %.0f | %u | %s%s |\n", percentile(intake, 1), records,
              exceeded ? "MORE THAN MADE" : "never more than made", kept ? "" : " MISSED");
  std::fflush(stdout);
  return kept;
}

}  // namespace

int study_shadow(const ShadowStudy& study) {
  const auto errors = error_cases();
  const auto times = time_cases();
  for (const auto& name : study.cases) {
    const auto is = [&](const auto& c) { return name == c.name; };
    if (std::ranges::none_of(errors, is) && std::ranges::none_of(times, is))
      throw std::invalid_argument("no case " + name + " of shadow");
  }
  bool kept = true;
  std::printf(
      "| case | what | maps | may be used | must not | undecided | copies until found, median | "
      "errors |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& c : errors)
    if (wanted(study, c.name)) kept = study_errors(study, c) && kept;
  std::printf(
      "\n| case | what | plays | result | words a node took in, worst second | records | counts "
      "|\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& c : times)
    if (wanted(study, c.name)) kept = study_time(study, c) && kept;
  return kept ? 0 : 1;
}

}  // namespace petrelrail::lab
