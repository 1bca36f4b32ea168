// Soak plays: random faults that overlap, drawn from a seed, over some dozen real processes, judged
// by the rules.
#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "experiment.hpp"

namespace petrelrail::lab {

struct SoakTerms {
  std::uint64_t seed = 1;
  std::uint32_t nodes = 24;
  double seconds = 15;
  // More of each: plans of every kind, customers that turn between them, a restart in any case,
  // with signals in series and clients that use open connections until the kill, and news while
  // lists come late. Without it, what the tests' first seeds were drawn with.
  bool extended = false;
};

// The scenario of a seed: terms of the parties, forms of the answers, failing system calls, and
// faults that overlap.
world::Scenario soak_scenario(const SoakTerms& terms);

// Why a play says nothing, whatever it found: it was stopped, the lab ran late, too little was
// served, or a fault touched nothing. Empty: it counts.
std::vector<std::string> soak_void_reasons(const RunResult& played);

// What is wrong after a play: broken rules, a crash, breaches that nodes counted themselves. Empty:
// nothing.
std::vector<std::string> soak_findings(const RunResult& played);

}  // namespace petrelrail::lab
