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

double percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5)];
}

// One play for each seed, on all cores; the same whatever the cores.
std::vector<LeaseCaseResult> play_seeds(const LeaseCase& c, const LeaseCaseConfig& terms,
                                        std::uint64_t first, std::uint32_t seeds) {
  std::vector<LeaseCaseResult> found(seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency()); ++w)
    workers.emplace_back([&] {
      for (std::uint32_t i = next++; i < seeds; i = next++) {
        auto t = terms;
        t.seed = first + i;
        found[i] = c.run(t);
      }
    });
  workers.clear();
  return found;
}

struct Row {
  std::vector<LeaseCaseResult> plays;
  std::vector<double> all(std::vector<double> LeaseCaseResult::*figure) const {
    std::vector<double> values;
    for (const auto& p : plays) values.insert(values.end(), (p.*figure).begin(), (p.*figure).end());
    return values;
  }
  std::vector<double> of(const std::string& name) const {
    std::vector<double> values;
    for (const auto& p : plays)
      if (const auto it = p.values.find(name); it != p.values.end()) values.push_back(it->second);
    return values;
  }
  std::uint64_t breaches() const {
    std::uint64_t sum = 0;
    for (const auto& p : plays) sum += p.violation_count;
    return sum;
  }
};

LeaseCaseConfig terms_of(const DutyStudy& s) {
  LeaseCaseConfig t;
  if (s.nodes) t.nodes = *s.nodes;
  if (s.times) t.repetitions = *s.times;
  if (s.loss) t.loss = *s.loss;
  if (s.seconds) t.seconds = *s.seconds;
  t.uses_membership = s.members;
  return t;
}

int print_cases(const DutyStudy& s) {
  const auto terms = terms_of(s);
  std::printf("%u nodes, %u seeds from %llu\n\n", terms.nodes, s.seeds,
              static_cast<unsigned long long>(s.first_seed));
  std::printf(
      "| case | what | held again, median | 99th | worst | claims, worst | calls a second | words "
      "a second | "
      "most words in a second | effects refused | breaches | goals |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  bool holds = true;
  for (const auto& c : lease_cases()) {
    if (!s.cases.empty() && std::ranges::find(s.cases, c.name) == s.cases.end()) continue;
    const Row row{play_seeds(c, terms, s.first_seed, s.seeds)};
    const auto again = row.all(&LeaseCaseResult::gaps_s),
               claims = row.all(&LeaseCaseResult::claims);
    std::string missed;
    const auto goal = [&](double is, double at_most, const char* what) {
      if (at_most > 0 && is > at_most) missed += (missed.empty() ? "" : ", ") + std::string(what);
    };
    goal(percentile(again, 0.99), c.max_gap_p99_s, "held again late");
    goal(percentile(again, 0.5), c.max_gap_median_s, "held again late in the median");
    goal(percentile(claims, 1), c.max_claims, "many claims");
    if (row.breaches() > 0) missed += (missed.empty() ? "" : ", ") + std::string("breaches");
    double refused = 0;
    for (const double r : row.of("refused")) refused += r;
    const auto cell = [](const std::vector<double>& v, double part) {
      char text[32];
      std::snprintf(text, sizeof text, "%.3f s", percentile(v, part));
      return v.empty() ? std::string() : std::string(text);
    };
    std::printf(
        "| %s | %s | %s | %s | %s | %s | %.2f | %.1f | %.0f | %.0f | %llu | %s |\n", c.name.c_str(),
        c.description.c_str(), cell(again, 0.5).c_str(), cell(again, 0.99).c_str(),
        cell(again, 1).c_str(),
        claims.empty() ? "" : std::to_string(static_cast<int>(percentile(claims, 1))).c_str(),
        percentile(row.of("calls_per_s"), 0.5), percentile(row.of("words_per_s"), 0.5),
        percentile(row.of("most_in"), 1), refused, static_cast<unsigned long long>(row.breaches()),
        missed.empty() ? "hold" : missed.c_str());
    for (const auto& p : row.plays)
      for (std::size_t i = 0; i < std::min<std::size_t>(p.violations.size(), 2); ++i)
        std::printf("  %s\n", p.violations[i].c_str());
    std::fflush(stdout);
    holds = holds && missed.empty();
  }
  return holds ? 0 : 1;
}

int print_growth(const DutyStudy& s) {
  std::printf(
      "| nodes | counter calls a second | words a second | held again after a kill, 99th | claims, "
      "worst "
      "|\n");
  std::printf("| --- | --- | --- | --- | --- |\n");
  for (const auto n : s.growth) {
    auto terms = terms_of(s);
    terms.nodes = n;
    const Row calm{play_seeds(lease_case("calm"), terms, s.first_seed, s.seeds)};
    const Row kill{play_seeds(lease_case("kill"), terms, s.first_seed, s.seeds)};
    std::printf("| %u | %.2f (worst %.2f) | %.1f | %.2f s | %.0f |\n", n,
                percentile(calm.of("calls_per_s"), 0.5), percentile(calm.of("calls_per_s"), 1),
                percentile(calm.of("words_per_s"), 0.5),
                percentile(kill.all(&LeaseCaseResult::gaps_s), 0.99),
                percentile(kill.all(&LeaseCaseResult::claims), 1));
    std::fflush(stdout);
  }
  return 0;
}

// The worlds at once, told in their order.
int print_explored(const DutyStudy& s) {
  auto worlds = exploration_scenarios(true);
  struct Found {
    ExplorationResult explored;
    double took = 0;
  };
  std::vector<Found> found(worlds.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < std::max(1U, std::thread::hardware_concurrency() / 2); ++w)
    workers.emplace_back([&] {
      for (auto i = next++; i < worlds.size(); i = next++) {
        if (s.depth > 0) worlds[i].bounds.max_depth = s.depth;
        if (s.states > 0) worlds[i].bounds.max_states = s.states;
        const auto from = std::chrono::steady_clock::now();
        found[i].explored = explore_lease(worlds[i].bounds);
        found[i].took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from)
                            .count();
      }
    });
  workers.clear();
  std::printf("| world | states | steps | depth | whole | time | outcome |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  bool holds = true;
  for (std::size_t i = 0; i < worlds.size(); ++i) {
    const auto& [e, took] = found[i];
    std::printf("| %s | %llu | %llu | %u | %s | %.1f s | %s |\n", worlds[i].name.c_str(),
                static_cast<unsigned long long>(e.states), static_cast<unsigned long long>(e.steps),
                e.depth, e.complete ? "yes" : "no", took,
                e.violation.empty() ? "no breach" : e.violation.c_str());
    holds = holds && e.violation.empty() != worlds[i].expects_violation;
  }
  for (std::size_t i = 0; i < worlds.size(); ++i) {
    if (found[i].explored.trace.empty()) continue;
    std::printf("\n%s\n", worlds[i].name.c_str());
    for (std::size_t k = 0; k < found[i].explored.trace.size(); ++k)
      std::printf("%3zu. %s\n", k + 1, found[i].explored.trace[k].c_str());
  }
  return holds ? 0 : 1;
}

}  // namespace

int duty_study(const DutyStudy& s) {
  for (const auto& name : s.cases) lease_case(name);
  if (s.explore) return print_explored(s);
  return s.growth.empty() ? print_cases(s) : print_growth(s);
}

}  // namespace petrelrail::lab
