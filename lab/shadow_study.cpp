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

// Calls `run` once for each seed, on all cores. The results do not depend on the number of cores.
template <class Run>
auto run_seeds(std::uint64_t first, std::uint32_t seeds, Run run) {
  std::vector<decltype(run(first))> results(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&] {
      for (std::uint32_t i = next++; i < seeds; i = next++) results[i] = run(first + i);
    });
  workers.clear();
  return results;
}
double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

struct ErrorCase {
  const char* name;
  const char* description;
  ShadowTrialConfig terms;
  MapFinding wrong_finding;  // finding that counts as an error in this case
};
std::vector<ErrorCase> error_cases() {
  const auto terms = [](auto change) {
    ShadowTrialConfig t;
    change(t);
    return t;
  };
  const auto in_busiest_shard = [](ShadowTrialConfig& t) {
    t.truth.affected_shard = 0;
  };  // shard 0 has the most traffic
  const auto use_four_shards = [](ShadowTrialConfig& t) {
    t.truth.shards = 4, t.max_copies = 400'000;
  };
  return {
      {"alike", "nothing differs beyond the control",
       terms([](ShadowTrialConfig& t) { t.max_copies = 300'000; }), MapFinding::must_not},
      {"alike-4", "the same, a map of 4 shards, to its verdict",
       terms([&](ShadowTrialConfig& t) { use_four_shards(t); }), MapFinding::must_not},
      {"alike-busy", "the same, 1 in 50 differs by publication, 1 in 50 fails",
       terms([](ShadowTrialConfig& t) {
         t.truth.published_share = 0.019, t.truth.failing_share = 0.02;
         t.max_copies = 200'000;
       }),
       MapFinding::must_not},
      {"differs", "one shard of 4 differs by the margin, 0.001", terms([&](ShadowTrialConfig& t) {
         use_four_shards(t), in_busiest_shard(t);
         t.truth.candidate_differing_share = 0.001, t.truth.published_share = 0.0002;
       }),
       MapFinding::may_be_used},
      {"fails", "one shard of 4 fails by the margin, 0.001", terms([&](ShadowTrialConfig& t) {
         use_four_shards(t), in_busiest_shard(t);
         t.truth.candidate_failing_share = 0.001, t.truth.failing_share = 0.0002;
       }),
       MapFinding::may_be_used},
      {"slower", "one shard of 4 is later by the margin, 0.05", terms([&](ShadowTrialConfig& t) {
         use_four_shards(t), in_busiest_shard(t);
         t.truth.candidate_slow_share = 0.064;  // 0.79 of these responses exceed a latency bound
                                                // that they would otherwise meet
       }),
       MapFinding::may_be_used},
      {"differs-64", "each of 64 shards differs by the margin, 0.001",
       terms([](ShadowTrialConfig& t) { t.truth.candidate_differing_share = 0.001; }),
       MapFinding::may_be_used},
  };
}

struct TimeCase {
  const char* name;
  const char* description;
  ShadowFleetConfig terms;
  std::uint32_t run_divisor = 1;  // divides the requested number of runs; above 1 for long cases
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

bool is_selected(const ShadowStudy& study, const char* name) {
  return study.cases.empty() || std::ranges::find(study.cases, name) != study.cases.end();
}

bool print_error_case(const ShadowStudy& study, const ErrorCase& c) {
  const auto runs = run_seeds(study.first_seed, study.maps,
                              [&](std::uint64_t seed) { return run_shadow_trial(c.terms, seed); });
  std::array<std::uint32_t, 3> by_finding{};
  std::uint32_t wrong_count = 0;
  std::vector<double> copies;
  for (const auto& p : runs) {
    ++by_finding.at(static_cast<std::size_t>(p.map));
    wrong_count += p.map == c.wrong_finding ||
                           (c.wrong_finding == MapFinding::must_not && p.worse_shards > 0)
                       ? 1
                       : 0;
    if (p.map != MapFinding::undecided) copies.push_back(static_cast<double>(p.copies));
  }
  const bool is_met = wrong_count < fleet::kMaxErrorRate * study.maps || wrong_count == 0;
  std::printf(
      "| %s | %s | %u | %u | %u | %u | %.0f | %s %.4f (goal under %.2f)%s |\n", c.name,
      c.description, study.maps, by_finding[1], by_finding[2], by_finding[0],
      percentile(copies, 0.5),
      c.wrong_finding == MapFinding::must_not ? "wrong against it" : "wrong \"may be used\"",
      static_cast<double>(wrong_count) / study.maps, fleet::kMaxErrorRate, is_met ? "" : " MISSED");
  std::fflush(stdout);
  return is_met;
}

bool print_time_case(const ShadowStudy& study, const TimeCase& c) {
  const auto run_count = std::max(1U, study.plays / c.run_divisor);
  const auto runs = run_seeds(study.first_seed, run_count,
                              [&](std::uint64_t seed) { return run_shadow_fleet(c.terms, seed); });
  std::vector<double> copies, verdict_times, found_after, stopped_after, intake, lost;
  std::uint32_t records = 0, without_verdict = 0, not_stopped = 0;
  bool exceeded = false;
  const bool expects_stop = c.terms.truth.candidate_failing_share > 0.5,
             has_end = c.terms.crash_time_s > 0;
  for (const auto& p : runs) {
    copies.push_back(static_cast<double>(p.copies));
    if (p.verdict_time_s) verdict_times.push_back(*p.verdict_time_s);
    if (p.detection_delay_s) found_after.push_back(*p.detection_delay_s);
    if (p.stop_delay_s) stopped_after.push_back(*p.stop_delay_s);
    without_verdict += p.verdict_time_s ? 0 : 1;
    not_stopped += p.stop_delay_s ? 0 : 1;
    intake.push_back(p.max_messages_per_s);
    lost.push_back(static_cast<double>(p.lost_copies) /
                   static_cast<double>(std::max<std::uint64_t>(1, p.copies)));
    records = std::max(records, p.record_keys);
    exceeded = exceeded || p.has_overcount;
  }
  bool is_met = !exceeded;
  std::printf("| %s | %s | %u | ", c.name, c.description, run_count);
  if (expects_stop) {
    is_met = is_met && not_stopped == 0 && percentile(stopped_after, 0.99) <= 2;
    std::printf(
        "told %.2f s, stopped %.2f s after the evidence (median), %.2f s (99th percentile; goal 2) "
        "|",
        percentile(found_after, 0.5), percentile(stopped_after, 0.5),
        percentile(stopped_after, 0.99));
  } else if (has_end) {
    std::printf("%.0f copies, the holder at the end doesn't know %.4f of them, told %u |",
                percentile(copies, 0.5), percentile(lost, 0.5), run_count - without_verdict);
  } else {
    is_met = is_met && without_verdict == 0 && percentile(copies, 0.5) <= 30'000;
    std::printf("told after %.0f copies (median; goal 30,000), %.0f (95th percentile), %.0f s |",
                percentile(copies, 0.5), percentile(copies, 0.95), percentile(verdict_times, 0.5));
  }
  std::printf(" %.0f | %u | %s%s |\n", percentile(intake, 1), records,
              exceeded ? "MORE THAN MADE" : "never more than made", is_met ? "" : " MISSED");
  std::fflush(stdout);
  return is_met;
}

}  // namespace

int study_shadow(const ShadowStudy& study) {
  const auto errors = error_cases();
  const auto times = time_cases();
  for (const auto& name : study.cases) {
    const auto has_name = [&](const auto& c) { return name == c.name; };
    if (std::ranges::none_of(errors, has_name) && std::ranges::none_of(times, has_name))
      throw std::invalid_argument("no case " + name + " of shadow");
  }
  bool is_met = true;
  std::printf(
      "| case | what | maps | may be used | must not | undecided | copies until found, median | "
      "errors |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& c : errors)
    if (is_selected(study, c.name)) is_met = print_error_case(study, c) && is_met;
  std::printf(
      "\n| case | what | plays | result | words a node took in, worst second | records | counts "
      "|\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& c : times)
    if (is_selected(study, c.name)) is_met = print_time_case(study, c) && is_met;
  return is_met ? 0 : 1;
}

}  // namespace petrelrail::lab
