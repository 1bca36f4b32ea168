// The lab's `records`: plays the cases of docs/records.md over many seeds and prints their table.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "world/record_cases.hpp"

namespace petrelrail::lab {

struct RecordsStudy {
  std::vector<std::string> cases;  // none: all
  std::uint32_t seeds = 20;
  std::uint64_t first_seed = 1;
  unsigned cores = 0;               // 0: all
  world::RecordCaseConfig terms{};  // their seed is not used
};

// Prints a table. 0 if nothing that was called safe is lost to two deaths or a zone's, nothing is
// missing where a node says that it has caught up, and no second brings more than is reckoned;
// else 1. Throws std::invalid_argument for terms that make no sense and a case that there is none
// of.
int records_study(const RecordsStudy& study);

}  // namespace petrelrail::lab
