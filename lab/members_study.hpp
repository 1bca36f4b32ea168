// Command `members` of the lab: runs the membership cases of docs/members.md with many seeds and
// prints their table. Simulates membership alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace petrelrail::lab {

struct MembersStudy {
  std::vector<std::string> cases;  // empty: all
  std::uint32_t seeds = 20;
  std::uint64_t first_seed = 1;
  std::optional<std::uint32_t> nodes;
  std::optional<double> loss, seconds;
  bool plain = false;  // the SWIM protocol of 2002 at the same pace, as a baseline
  // If not empty: runs quiet and kill-5 with each of these numbers of nodes instead of the cases.
  std::vector<std::uint32_t> growth;
  std::string plot;  // SVG file for a plot of the growth; empty: none
};

// Prints a table. Returns 0 if every goal is met, else 1. Throws std::invalid_argument for an
// unknown case.
int study_members(const MembersStudy& study);

}  // namespace petrelrail::lab
