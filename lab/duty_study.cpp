#include "duty_study.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

#include "world/lease_cases.hpp"
#include "world/lease_explorer.hpp"

namespace petrelrail::lab {
namespace {

using namespace world;

double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1) + 0.5)];
}

// Runs the case once for each seed, on all cores. The results do not depend on the number of cores.
std::vector<LeaseCaseResult> run_seeds(const LeaseCase& c, const LeaseCaseConfig& terms,
                                       std::uint64_t first, std::uint32_t seeds) {
  std::vector<LeaseCaseResult> results(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&] {
      for (std::uint32_t i = next++; i < seeds; i = next++) {
        auto t = terms;
        t.seed = first + i;
        results[i] = c.run(t);
      }
    });
  workers.clear();
  return results;
}

struct CaseResults {
  std::vector<LeaseCaseResult> runs;
  std::vector<double> all(std::vector<double> LeaseCaseResult::*figure) const {
    std::vector<double> values;
    for (const auto& p : runs) values.insert(values.end(), (p.*figure).begin(), (p.*figure).end());
    return values;
  }
  std::vector<double> of(const std::string& name) const {
    std::vector<double> values;
    for (const auto& p : runs)
      if (const auto it = p.values.find(name); it != p.values.end()) values.push_back(it->second);
    return values;
  }
  std::uint64_t breaches() const {
    std::uint64_t sum = 0;
    for (const auto& p : runs) sum += p.violation_count;
    return sum;
  }
};

LeaseCaseConfig make_terms(const DutyStudy& s) {
  LeaseCaseConfig t;
  if (s.nodes) t.nodes = *s.nodes;
  if (s.times) t.repetitions = *s.times;
  if (s.loss) t.loss = *s.loss;
  if (s.seconds) t.seconds = *s.seconds;
  t.uses_membership = s.members;
  return t;
}

int print_cases(const DutyStudy& s) {
  const auto terms = make_terms(s);
  std::printf("%u nodes, %u seeds from %llu\n\n", terms.nodes, s.seeds,
              static_cast<unsigned long long>(s.first_seed));
  std::printf(
      "| case | what | held again, median | 99th | worst | claims, worst | calls a second | words "
      "a second | "
      "most words in a second | effects refused | breaches | goals |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  bool all_goals_met = true;
  for (const auto& c : lease_cases()) {
    if (!s.cases.empty() && std::ranges::find(s.cases, c.name) == s.cases.end()) continue;
    const CaseResults results_of_case{run_seeds(c, terms, s.first_seed, s.seeds)};
    const auto takeover_s = results_of_case.all(&LeaseCaseResult::gaps_s),
               claims = results_of_case.all(&LeaseCaseResult::claims);
    std::string missed_goals;
    const auto check_goal = [&](double actual, double at_most, const char* what) {
      if (at_most > 0 && actual > at_most)
        missed_goals += (missed_goals.empty() ? "" : ", ") + std::string(what);
    };
    check_goal(percentile(takeover_s, 0.99), c.max_gap_p99_s, "held again late");
    check_goal(percentile(takeover_s, 0.5), c.max_gap_median_s, "held again late in the median");
    check_goal(percentile(claims, 1), c.max_claims, "many claims");
    if (results_of_case.breaches() > 0)
      missed_goals += (missed_goals.empty() ? "" : ", ") + std::string("breaches");
    double refused = 0;
    for (const double r : results_of_case.of("refused")) refused += r;
    const auto cell = [](const std::vector<double>& v, double fraction) {
      char text[32];
      std::snprintf(text, sizeof text, "%.3f s", percentile(v, fraction));
      return v.empty() ? std::string() : std::string(text);
    };
    std::printf(
        "| %s | %s | %s | %s | %s | %s | %.2f | %.1f | %.0f | %.0f | %llu | %s |\n", c.name.c_str(),
        c.description.c_str(), cell(takeover_s, 0.5).c_str(), cell(takeover_s, 0.99).c_str(),
        cell(takeover_s, 1).c_str(),
        claims.empty() ? "" : std::to_string(static_cast<int>(percentile(claims, 1))).c_str(),
        percentile(results_of_case.of("calls_per_s"), 0.5),
        percentile(results_of_case.of("words_per_s"), 0.5),
        percentile(results_of_case.of("most_in"), 1), refused,
        static_cast<unsigned long long>(results_of_case.breaches()),
        missed_goals.empty() ? "hold" : missed_goals.c_str());
    for (const auto& p : results_of_case.runs)
      for (std::size_t i = 0; i < std::min<std::size_t>(p.violations.size(), 2); ++i)
        std::printf("  %s\n", p.violations[i].c_str());
    std::fflush(stdout);
    all_goals_met = all_goals_met && missed_goals.empty();
  }
  return all_goals_met ? 0 : 1;
}

int print_growth(const DutyStudy& s) {
  std::printf(
      "| nodes | counter calls a second | words a second | held again after a kill, 99th | claims, "
      "worst "
      "|\n");
  std::printf("| --- | --- | --- | --- | --- |\n");
  for (const auto n : s.growth) {
    auto terms = make_terms(s);
    terms.nodes = n;
    const CaseResults calm_results{run_seeds(lease_case("calm"), terms, s.first_seed, s.seeds)};
    const CaseResults kill_results{run_seeds(lease_case("kill"), terms, s.first_seed, s.seeds)};
    std::printf("| %u | %.2f (worst %.2f) | %.1f | %.2f s | %.0f |\n", n,
                percentile(calm_results.of("calls_per_s"), 0.5),
                percentile(calm_results.of("calls_per_s"), 1),
                percentile(calm_results.of("words_per_s"), 0.5),
                percentile(kill_results.all(&LeaseCaseResult::gaps_s), 0.99),
                percentile(kill_results.all(&LeaseCaseResult::claims), 1));
    std::fflush(stdout);
  }
  return 0;
}

// Explores the models in parallel and prints the results in their order.
int print_exploration(const DutyStudy& s) {
  auto models = exploration_scenarios(true);
  struct TimedExploration {
    ExplorationResult explored;
    double duration_s = 0;
  };
  std::vector<TimedExploration> results(models.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency() / 2); ++w)
    workers.emplace_back([&] {
      for (auto i = next++; i < models.size(); i = next++) {
        if (s.depth > 0) models[i].bounds.max_depth = s.depth;
        if (s.states > 0) models[i].bounds.max_states = s.states;
        const auto from = std::chrono::steady_clock::now();
        results[i].explored = explore_lease(models[i].bounds);
        results[i].duration_s = std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                                              from)
                                    .count();
      }
    });
  workers.clear();
  std::printf("| world | states | steps | depth | whole | time | outcome |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  bool all_goals_met = true;
  for (std::size_t i = 0; i < models.size(); ++i) {
    const auto& [e, duration_s] = results[i];
    std::printf("| %s | %llu | %llu | %u | %s | %.1f s | %s |\n", models[i].name.c_str(),
                static_cast<unsigned long long>(e.states), static_cast<unsigned long long>(e.steps),
                e.depth, e.complete ? "yes" : "no", duration_s,
                e.violation.empty() ? "no breach" : e.violation.c_str());
    all_goals_met = all_goals_met && e.violation.empty() != models[i].expects_violation;
  }
  for (std::size_t i = 0; i < models.size(); ++i) {
    if (results[i].explored.trace.empty()) continue;
    std::printf("\n%s\n", models[i].name.c_str());
    for (std::size_t k = 0; k < results[i].explored.trace.size(); ++k)
      std::printf("%3zu. %s\n", k + 1, results[i].explored.trace[k].c_str());
  }
  return all_goals_met ? 0 : 1;
}

}  // namespace

int duty_study(const DutyStudy& s) {
  for (const auto& name : s.cases) lease_case(name);
  if (s.explore) return print_exploration(s);
  return s.growth.empty() ? print_cases(s) : print_growth(s);
}

}  // namespace petrelrail::lab
