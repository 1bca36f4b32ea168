#include "compare.hpp"

#include <algorithm>
#include <map>

namespace petrelrail::lab {

Spread spread_of(std::vector<double> values) {
  if (values.empty()) return {};
  std::ranges::sort(values);
  const auto n = values.size();
  const double median = n % 2 == 1 ? values[n / 2] : (values[n / 2 - 1] + values[n / 2]) / 2;
  return {values.front(), median, values.back()};
}

Comparison compare(Options a, Options b, std::uint64_t first_seed, std::uint32_t seeds,
                   const std::vector<std::string>& figures) {
  Comparison comparison;
  std::map<std::string, std::vector<double>> values_a, values_b, differences;
  for (std::uint32_t i = 0; i < seeds && !comparison.stopped; ++i) {
    a.seed = b.seed = first_seed + i;
    const auto result_a = run_scenario(a), result_b = run_scenario(b);
    for (const auto& [side, result] : {std::pair{"A", &result_a}, {"B", &result_b}}) {
      const auto prefix = std::string(side) + ", seed " + std::to_string(a.seed) + ": ";
      for (const auto& text : result->violations) comparison.problems.push_back(prefix + text);
      if (!result->void_reason.empty())
        comparison.problems.push_back(prefix + "void: " + result->void_reason);
      if (!result->crash.empty()) comparison.problems.push_back(prefix + result->crash);
      comparison.stopped = comparison.stopped || result->stopped;
    }
    for (const auto& f : figures) {
      const double value_a = result_a.figures["figures"][f],
                   value_b = result_b.figures["figures"][f];
      values_a[f].push_back(value_a), values_b[f].push_back(value_b),
          differences[f].push_back(value_b - value_a);
    }
  }
  for (const auto& f : figures)
    comparison.rows.push_back(
        {f, spread_of(values_a[f]), spread_of(values_b[f]), spread_of(differences[f])});
  return comparison;
}

}  // namespace petrelrail::lab
