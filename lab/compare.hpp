// Compares two programs or two settings of a scenario: runs both with the same seeds, alternating
// (A B A B), and takes the difference of each pair.
#pragma once

#include <string>
#include <vector>

#include "experiment.hpp"

namespace petrelrail::lab {

struct Spread {
  double least = 0, median = 0, most = 0;
};
// Returns zeros for no values.
Spread spread_of(std::vector<double> values);

struct ComparisonRow {
  std::string figure;
  Spread a, b, difference;  // b - a for each seed
};

struct Comparison {
  std::vector<ComparisonRow> rows;
  // Violations, void runs and crashes, each with its side and seed.
  std::vector<std::string> problems;
  bool stopped = false;
};

// `figures` are names of figures. Ends early where a run is stopped.
Comparison compare(Options a, Options b, std::uint64_t first_seed, std::uint32_t seeds,
                   const std::vector<std::string>& figures);

}  // namespace petrelrail::lab
