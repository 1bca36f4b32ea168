#include "records_study.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <numeric>
#include <stdexcept>
#include <thread>

namespace petrelrail::lab {
namespace {

using namespace world;

double percentile(const std::vector<double>& sorted, double fraction) {
  return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

// Runs the case once for each seed and returns the sorted values of each figure. The result does
// not depend on the number of cores.
RecordCaseResult run_seeds(const RecordCase& c, const RecordsStudy& s) {
  std::vector<RecordCaseResult> runs(s.seeds);
  std::atomic<std::uint32_t> next{0};
  std::vector<std::jthread> workers;
  const unsigned cores = s.cores > 0 ? s.cores : std::max(1U, std::thread::hardware_concurrency());
  for (unsigned w = 0; w < cores; ++w)
    workers.emplace_back([&, terms = s.terms]() mutable {
      for (std::uint32_t i = next++; i < s.seeds; i = next++) {
        terms.seed = s.first_seed + i;
        runs[i] = c.run(terms);
      }
    });
  workers.clear();
  RecordCaseResult all;
  for (const auto& p : runs)
    for (const auto& [name, values] : p)
      all[name].insert(all[name].end(), values.begin(), values.end());
  for (auto& [name, values] : all) std::ranges::sort(values);
  return all;
}

bool meets_goal(const std::string& case_name, const std::string& figure, double worst_value,
                double expected_per_s) {
  if (figure == "lost") return case_name == "seven-in-ten" || worst_value == 0;
  if (figure == "missing") return worst_value == 0;
  return figure != "most_in" || worst_value <= expected_per_s;
}

}  // namespace

int records_study(const RecordsStudy& s) {
  const auto terms = store_config(s.terms);
  fleet::validate(terms);
  if (s.terms.nodes < 2 || s.terms.zones < 1 || s.terms.zones > fleet::kMaxZones || s.seeds < 1)
    throw std::invalid_argument(
        "records are played with 2 nodes or more, 1 to 32 zones and 1 seed or more");
  for (const auto& name : s.cases)
    if (std::ranges::none_of(record_cases(), [&](const RecordCase& c) { return c.name == name; }))
      throw std::invalid_argument("no case '" + name + "' of records");
  std::printf(
      "%u nodes, %u zones, %.0f%% loss, seeds %llu to %llu, news %.0f and pulls %.0f a second; "
      "reckoned "
      "%.1f\n\n",
      s.terms.nodes, s.terms.zones, s.terms.loss * 100,
      static_cast<unsigned long long>(s.first_seed),
      static_cast<unsigned long long>(s.first_seed + s.seeds - 1), s.terms.gossip_per_s,
      s.terms.pull_per_s, terms.expected_intake_per_s());
  std::printf(
      "| case | figure | values | mean | median | 99th percentile | most |\n| --- | --- | --- | "
      "--- | --- | "
      "--- | --- |\n");
  bool all = true;
  for (const auto& c : record_cases()) {
    if (!s.cases.empty() && std::ranges::find(s.cases, c.name) == s.cases.end()) continue;
    for (const auto& [name, values] : run_seeds(c, s)) {
      const double mean = std::accumulate(values.begin(), values.end(), 0.0) /
                          static_cast<double>(values.size());
      const bool is_met = meets_goal(c.name, name, values.back(), terms.expected_intake_per_s());
      all = all && is_met;
      std::printf("| %s | %s | %zu | %.3f | %.2f | %.2f | %.2f%s |\n", c.name.c_str(), name.c_str(),
                  values.size(), mean, percentile(values, 0.5), percentile(values, 0.99),
                  values.back(), is_met ? "" : " (not kept)");
    }
    std::fflush(stdout);
  }
  return all ? 0 : 1;
}

}  // namespace petrelrail::lab
