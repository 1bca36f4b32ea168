// Command `duties` of the lab: runs the leader lease cases of docs/duties.md with many seeds, or
// explores every interleaving of bounded models, and prints the results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace petrelrail::lab {

struct DutyStudy {
  std::vector<std::string> cases;  // empty: all
  std::uint32_t seeds = 20;
  std::uint64_t first_seed = 1;
  std::optional<std::uint32_t> nodes, times;
  std::optional<double> loss, seconds;
  bool members = false;  // views from src/fleet/members instead of ones that learn after 8 s
  // If not empty: runs calm and kill with each of these numbers of nodes instead of the cases.
  std::vector<std::uint32_t> growth;
  bool explore = false;      // runs the explorer instead of the cases
  std::uint32_t depth = 0;   // explorer: maximum number of steps; 0: the default of each model
  std::uint64_t states = 0;  // explorer: maximum number of states; 0: the default of each model
};

// Prints a table. Returns 0 if every goal is met, else 1. Throws std::invalid_argument for an
// unknown case.
int duty_study(const DutyStudy& study);

}  // namespace petrelrail::lab
