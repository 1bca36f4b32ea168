// What docs/records.md states of records, played on a fleet: each case gives figures by name, a
// value for each trial.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record_fleet.hpp"

namespace petrelrail::world {

struct RecordCaseTerms {
  std::uint32_t nodes = 300, zones = 3;
  double loss = 0.05;
  double news_per_s = 5, pull_per_s = 10;
  std::uint32_t trials = 10;  // of a fleet
  std::uint64_t seed = 1;
};
// Times in seconds. `lost` is 1 for a trial in which a record that was called safe is known to
// nobody, else 0.
using RecordFigures = std::map<std::string, std::vector<double>>;

struct RecordCase {
  std::string name;
  RecordFigures (*play)(const RecordCaseTerms& terms);
};
const std::vector<RecordCase>& record_cases();
// What the terms make of the fleet's.
fleet::ReplicatedStoreConfig terms_of(const RecordCaseTerms& terms);

}  // namespace petrelrail::world
