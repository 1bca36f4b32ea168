// Command `jobs` of the lab: runs the cases of docs/jobs.md, which simulate the job scheduler
// alone, with many seeds and prints their tables.
#pragma once

#include <cstdint>

namespace petrelrail::lab {

struct JobsStudy {
  std::uint32_t nodes = 300;  // of the recovery runs
  std::uint32_t seeds = 3;    // of each recovery case
  std::uint64_t first_seed = 1;
  double minutes = 10'000;  // simulated with all faults on 12 nodes; 0: none
  unsigned threads = 2;     // runs in parallel; the results don't depend on it
};

// Prints the tables. Returns 0 if every goal is met, else 1. Throws std::invalid_argument for
// invalid options.
int jobs_study(const JobsStudy& study);

}  // namespace petrelrail::lab
