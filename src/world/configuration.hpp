// Derives from a scenario the configuration of its edge nodes, in the formats of DEPLOY and WIRE,
// and that of the invariant checker.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "rules.hpp"
#include "scenario.hpp"

namespace petrelrail::world {

// The plans with burst, ceiling and concurrency limit computed from their rate.
std::vector<Plan> plans_of(const Scenario& s);
// Returns the `settings` of a node's configuration file (WIRE, "What an instance is born with"). A
// `max_attempts` of 0 selects the default.
nlohmann::json settings_of(const Scenario& s, std::uint32_t node, std::uint32_t max_attempts = 0);
InvariantConfig invariant_config(const Scenario& s);

}  // namespace petrelrail::world
