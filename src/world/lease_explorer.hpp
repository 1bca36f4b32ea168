// Model-checks src/fleet LeaderLease by running it through every interleaving of a bounded system:
// a few nodes, one counter, messages that arrive in any order, late, twice or never, nodes that
// pause or crash at any step, and a counter that loses its data. Searches breadth first, so the
// trace of a violation is a shortest one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/leader_lease.hpp"

namespace petrelrail::world {

struct ExplorationBounds {
  std::uint32_t nodes = 3;
  std::uint32_t max_depth = 60;          // steps
  std::uint64_t max_states = 2'000'000;  // approximate
  double terms = 1.1;                    // simulated time, from the start of the first term
  bool first_term_held = true;           // by node 0; else by no node
  bool effects = false;  // nodes may pause between the check of their clock and the effect
  bool announcements_delivered = true;  // else all of them are lost
  // How often each fault may happen in one run.
  std::uint32_t timeouts = 1, duplicates = 0, pauses = 1, crashes = 0, step_downs = 0,
                counter_losses = 1;
  // The clocks differ by the permitted skew: node 0 is behind all others, or ahead of them.
  bool holder_clock_behind = true;
  bool uses_fencing = true;
  fleet::LeaseViolation disabled_safeguards{};
  std::uint64_t seed = 1;
};

struct ExplorationResult {
  std::uint64_t states = 0, steps = 0;  // distinct states, transitions between them
  std::uint32_t depth = 0;              // of the last state that was expanded
  bool complete = false;                // every state within the bounds was expanded
  std::string violation;                // empty: none
  std::vector<std::string> trace;       // a shortest one that leads to the violation
};

// Throws std::invalid_argument for 0 nodes or more than 8.
ExplorationResult explore_lease(const ExplorationBounds& bounds);

// Bounds with an expected outcome: a violation if a needed safeguard is disabled, else none.
struct ExplorationScenario {
  std::string name;
  ExplorationBounds bounds;
  bool expects_violation = false;
};
// Returns all scenarios with large bounds if `full`, else smaller ones for tests.
std::vector<ExplorationScenario> exploration_scenarios(bool full);

}  // namespace petrelrail::world
