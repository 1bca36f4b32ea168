// Reads a scenario from a TOML file; docs/lab.md lists the keys. Unknown keys, wrong types, values
// out of bounds and names of parties that do not exist are errors that name file, line and key.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "world/scenario.hpp"

namespace petrelrail::lab {

// Message for the user: file, line and key of the fault in the input.
struct ScenarioError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `sets` are overrides KEY=VALUE, applied to the file in order; dots in KEY step into tables,
// numbers into arrays (fault.0.for=3). Throws ScenarioError.
world::Scenario read_scenario(const std::string& path, const std::vector<std::string>& sets = {});
world::Scenario parse_scenario(std::string_view text, const std::string& path,
                               const std::vector<std::string>& sets = {});

}  // namespace petrelrail::lab
