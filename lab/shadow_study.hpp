// Command `shadow` of the lab: measures how often verdicts on a candidate shard map are wrong and
// how soon they are published (docs/shadow.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace petrelrail::lab {

struct ShadowStudy {
  std::vector<std::string> cases;  // empty: all
  std::uint32_t maps = 1000;       // simulated for each error case
  std::uint32_t plays = 101;       // simulated fleets for each time case
  std::uint64_t first_seed = 1;
};

// Prints a table. Returns 0 if every goal is met, else 1. Throws std::invalid_argument for an
// unknown case.
int study_shadow(const ShadowStudy& study);

}  // namespace petrelrail::lab
