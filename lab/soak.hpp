// Soak runs: scenarios with random, overlapping faults drawn from a seed, for a fleet of real
// processes whose events the invariant checker judges. Draws scenarios and evaluates results; runs
// nothing.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace petrelrail::lab {

struct SoakConfig {
  std::uint64_t seed = 1;
  std::uint32_t nodes = 24;
  double seconds = 15;
  // Adds plans of every kind, customers that change between them, at least one restart, series of
  // signals, clients that keep using open connections until the kill, and replaced servers while
  // discovery's lists are late. Without it, a seed draws the same scenario as before these existed,
  // which the tests' first seeds rely on.
  bool extended = false;
  // Further connections to each node, which has the least memory of DEPLOY then; see crowd.hpp.
  std::uint32_t crowd_per_node = 0;
};

// Draws a scenario: configuration of clients and servers, forms of answers, failing system calls
// and overlapping faults. Equal configurations give equal scenarios.
world::Scenario soak_scenario(const SoakConfig& config);

// Returns the reasons why a run is void whatever its findings: it was stopped, the lab ran late,
// too few requests were served, or a fault affected nothing. Empty if the run is valid.
std::vector<std::string> soak_void_reasons(const RunResult& played);

// Returns what a run found: violated invariants, a crash, and violations that nodes logged
// themselves.
std::vector<std::string> soak_findings(const RunResult& played);

}  // namespace petrelrail::lab
