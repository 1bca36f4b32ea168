// The real code of src/fleet/duty through every interleaving of a bounded world: a few nodes, one
// counter, messages that come in any order, late, twice or never, nodes that pause or crash at any
// step, a counter that comes back empty. Breadth first, so that what it finds is shown by the
// shortest trace.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/leader_lease.hpp"

namespace petrelrail::world {

struct DutyBounds {
  std::uint32_t nodes = 3;
  std::uint32_t depth = 60;          // steps
  std::uint64_t states = 2'000'000;  // at most
  double terms = 1.1;                // from the beginning of the first
  bool held = true;                  // by node 0, the first; else nobody holds it
  bool effects = false;  // nodes may pause between the look at their clock and the effect
  bool words = true;     // else all of them are lost
  // How often each may happen in a course.
  std::uint32_t timeouts = 1, repeats = 0, pauses = 1, crashes = 0, resigns = 0, empties = 1;
  // Clocks are as far apart as they may be: node 0 behind and the others ahead, or the other way
  // round.
  bool behind = true;
  bool fenced = true;
  fleet::LeaseViolation broken{};
  std::uint64_t seed = 1;
};

struct DutyExplored {
  std::uint64_t states = 0, steps = 0;  // different states, steps between them
  std::uint32_t depth = 0;              // of the last state looked at
  bool complete = false;                // every state within the bounds was looked at
  std::string breach;                   // empty: none
  std::vector<std::string> trace;       // the shortest that leads to it
};

// Throws std::invalid_argument for bounds without nodes, or with more than 8.
DutyExplored explore_duty(const DutyBounds& bounds);

// A world with its bounds, and what is left out of the code in it: which must come to a breach, or
// to none.
struct DutyWorld {
  std::string name;
  DutyBounds bounds;
  bool breaks = false;
};
// Small ones for tests, or all.
std::vector<DutyWorld> duty_worlds(bool full);

}  // namespace petrelrail::world
