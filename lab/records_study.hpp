// Command `records` of the lab: runs the cases of docs/records.md, which simulate record
// replication alone, with many seeds and prints their table.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "world/record_cases.hpp"

namespace petrelrail::lab {

struct RecordsStudy {
  std::vector<std::string> cases;  // empty: all
  std::uint32_t seeds = 20;
  std::uint64_t first_seed = 1;
  unsigned cores = 0;               // 0: all
  world::RecordCaseConfig terms{};  // the seed in it is not used
};

// Prints a table. Returns 0 if no record reported as replicated to the required copies is lost when
// two nodes or one zone fail, no record is missing at a node that reports to have caught up, and no
// second's intake exceeds the expected one; else 1. Throws std::invalid_argument for an invalid
// configuration or an unknown case.
int records_study(const RecordsStudy& study);

}  // namespace petrelrail::lab
