// The test cases of the replicated store: each runs a simulated fleet and returns metrics by name,
// with a value for each trial. docs/records.md states the results; the lab's `records` command runs
// the cases.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record_fleet.hpp"

namespace petrelrail::world {

struct RecordCaseConfig {
  std::uint32_t nodes = 300, zones = 3;
  double loss = 0.05;
  double gossip_per_s = 5, pull_per_s = 10;
  std::uint32_t trials = 10;  // in one run of a fleet
  std::uint64_t seed = 1;
};
// Times are in seconds. `lost` is 1 for a trial in which no node holds a record that was reported
// as replicated, else 0.
using RecordCaseResult = std::map<std::string, std::vector<double>>;

struct RecordCase {
  std::string name;
  RecordCaseResult (*run)(const RecordCaseConfig& config);
};
const std::vector<RecordCase>& record_cases();
// Returns the configuration of the store of every node.
fleet::ReplicatedStoreConfig store_config(const RecordCaseConfig& config);

}  // namespace petrelrail::world
