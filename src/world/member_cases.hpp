// The test cases of the membership protocol: each runs a simulated fleet under one fault and
// returns metrics. docs/members.md has the table of results; the lab's `members` command runs the
// cases over many seeds, tests over few.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "member_fleet.hpp"

namespace petrelrail::world {

struct MemberCaseConfig {
  std::uint32_t nodes = 300;
  double loss = 0.05;       // probability for each datagram
  double inbox_per_s = 60;  // datagrams per second that a node accepts
  bool plain_swim = false;  // SWIM of 2002 at the same intervals
  std::uint64_t seed = 1;
  double seconds = 0;  // length of the cases that run for a fixed time; 0: the default of the case
};

// `values`: metrics by name, times in seconds.
struct MemberCaseResult {
  std::map<std::string, double> values;
  std::vector<double> detection_times_s;  // of the failure, by observer
};

struct MemberCaseGoal {
  std::string metric;  // of `values`, or "know_p99": 99th percentile of detection_times_s of all
                       // nodes and seeds
  double at_most = 0;
};
struct MemberCase {
  std::string name, description;
  MemberCaseConfig config;  // under which the goals apply
  std::vector<MemberCaseGoal> goals;
  MemberCaseResult (*run)(const MemberCaseConfig&);
  bool has_fixed_loss = false;  // the loss defines the case: the lab's option must not change it
};

const std::vector<MemberCase>& member_cases();
// Throws std::invalid_argument for an unknown name.
const MemberCase& member_case(const std::string& name);

}  // namespace petrelrail::world
