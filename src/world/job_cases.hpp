// The test cases of jobs on a simulated fleet. docs/jobs.md has the tables of results; the lab's
// `jobs` command runs the cases over many seeds, tests over few.
#pragma once

#include <string>
#include <vector>

#include "job_fleet.hpp"

namespace petrelrail::world {

enum class HolderFault : std::uint8_t { kill, stall, cut, leave };
const char* name_of(HolderFault f);

// Four holders of jobs get the fault, one after another.
struct RecoveryResult {
  std::vector<double> recovery_times_s;  // from the fault to the next task, by affected job
  std::uint32_t unrecovered = 0;         // jobs that did not continue within 20 s
  JobFleet::Violations violations;
  JobFleet::Counts counts;
  std::uint32_t max_jobs_per_successor = 0;  // of the jobs of one failed holder
};
RecoveryResult run_recovery_case(HolderFault fault, std::uint32_t nodes, std::uint32_t jobs,
                                 std::uint64_t seed);

// Clients submit jobs while random faults of all kinds occur, one about every 4 s.
struct RandomFaultConfig {
  std::uint32_t nodes = 12, jobs = 6, max_tasks = 150;  // jobs: open at a time
  double minutes = 5;
  bool write_ahead = true;
  std::uint64_t seed = 1;
};
struct RandomFaultResult {
  JobFleet::Violations violations;
  JobFleet::Counts counts;
  double minutes = 0;
  std::uint32_t unfinished_jobs = 0;  // 10 minutes after the last fault
};
RandomFaultResult run_random_faults(const RandomFaultConfig& config);

}  // namespace petrelrail::world
