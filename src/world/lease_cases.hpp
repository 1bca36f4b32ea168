// The test cases of leader leases: each runs a fleet under one fault and returns the statistics of
// docs/duties.md. The lab runs them over many seeds, tests over few.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lease_fleet.hpp"

namespace petrelrail::world {

struct LeaseCaseConfig {
  std::uint32_t nodes = 300;
  std::uint64_t seed = 1;
  std::uint32_t repetitions = 5;  // of the fault in one run
  double seconds = 60;            // length of the cases that run for a fixed time
  double loss = 0.03;
  bool uses_membership = false;  // views by src/fleet/membership
};
struct LeaseCaseResult {
  std::vector<double> gaps_s;  // for each fault: how long no node was active after it
  std::vector<double> claims;  // for each fault: made during the gap and one term after it
  std::uint64_t violation_count = 0;
  std::vector<std::string> violations;  // the first ones
  std::map<std::string, double>
      values;  // calls_per_s, words_per_s, most_in, acting_share, refused, given
};
struct LeaseCase {
  std::string name, description;
  std::function<LeaseCaseResult(const LeaseCaseConfig&)> run;
  double max_gap_p99_s = 0, max_gap_median_s = 0;  // goals; 0: none
  double max_claims = 0;
};
const std::vector<LeaseCase>& lease_cases();
// Throws std::invalid_argument for an unknown name.
const LeaseCase& lease_case(const std::string& name);

}  // namespace petrelrail::world
