#include "jobs_study.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "world/job_cases.hpp"

namespace petrelrail::lab {
namespace {

using namespace world;

// Goal for the 99th percentile of the time until a job continues after a fault, in seconds.

constexpr double kMaxRecoveryP99Seconds = 5;
constexpr double kRunMinutes = 5;  // simulated duration of one run with all faults

// Calls run(0) to run(runs - 1) on the given number of threads and waits for all of them.

void run_parallel(unsigned threads, std::size_t runs, const std::function<void(std::size_t)>& run) {
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> workers;
  for (unsigned w = 0; w < threads; ++w)
    workers.emplace_back([&] {
      for (auto i = next++; i < runs; i = next++) run(i);
    });
}

double percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void print_violations(const JobFleet::Violations& b, std::uint64_t seed) {
  for (const auto& w : b.texts)
    std::printf("  seed %llu, %s\n", static_cast<unsigned long long>(seed), w.c_str());
}

bool print_recovery(const JobsStudy& s) {
  bool all_goals_met = true;
  std::printf("%u nodes, %u seeds from %llu, four holders after one another\n\n", s.nodes, s.seeds,
              static_cast<unsigned long long>(s.first_seed));
  std::printf(
      "| holder | jobs | went on | median | 99th percentile | most | never | most jobs at one heir "
      "| "
      "breaches |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto fault :
       {HolderFault::kill, HolderFault::stall, HolderFault::cut, HolderFault::leave})
    for (const std::uint32_t jobs : {1U, 100U}) {
      std::vector<RecoveryResult> results(s.seeds);
      run_parallel(s.threads, s.seeds, [&](std::size_t i) {
        results[i] = run_recovery_case(fault, s.nodes, jobs, s.first_seed + i);
      });
      std::vector<double> all;
      std::uint64_t never = 0, breaches = 0;
      std::uint32_t max_jobs_at_one_node = 0;
      for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& r = results[i];
        all.insert(all.end(), r.recovery_times_s.begin(), r.recovery_times_s.end());
        never += r.unrecovered, breaches += r.violations.total();
        max_jobs_at_one_node = std::max(max_jobs_at_one_node, r.max_jobs_per_successor);
        print_violations(r.violations, s.first_seed + i);
      }
      std::ranges::sort(all);
      const double p99 = percentile(all, 0.99);
      std::printf("| %s | %u | %zu | %.2f s | %.2f s | %.2f s | %llu | %u | %llu |\n",
                  name_of(fault), jobs, all.size(), percentile(all, 0.5), p99, percentile(all, 1),
                  static_cast<unsigned long long>(never), max_jobs_at_one_node,
                  static_cast<unsigned long long>(breaches));
      std::fflush(stdout);
      all_goals_met = all_goals_met && p99 <= kMaxRecoveryP99Seconds && never == 0 &&
                      breaches == 0 && !all.empty();
    }
  return all_goals_met;
}

bool print_faults(const JobsStudy& s) {
  const auto runs = static_cast<std::size_t>(s.minutes / kRunMinutes);
  std::vector<RandomFaultResult> results(runs);
  run_parallel(s.threads, runs, [&](std::size_t i) {
    RandomFaultConfig t;
    t.seed = s.first_seed + i, t.minutes = kRunMinutes;
    results[i] = run_random_faults(t);
  });
  JobFleet::Violations b;
  JobFleet::Counts c;
  double minutes = 0;
  std::uint64_t stuck = 0;
  for (std::size_t i = 0; i < runs; ++i) {
    const auto& f = results[i];
    b.concurrent_runs += f.violations.concurrent_runs, b.older_epoch += f.violations.older_epoch;
    b.rerun_after_fetch += f.violations.rerun_after_fetch,
        b.unsafe_reruns += f.violations.unsafe_reruns;
    b.unknown_tasks += f.violations.unknown_tasks,
        b.run_after_delete += f.violations.run_after_delete, b.lost_jobs += f.violations.lost_jobs;
    c.tasks_sent += f.counts.tasks_sent, c.answers_fetched += f.counts.answers_fetched,
        c.reruns += f.counts.reruns;
    c.jobs_submitted += f.counts.jobs_submitted, c.takeovers += f.counts.takeovers,
        c.unknown_outcomes += f.counts.unknown_outcomes;
    c.jobs_dropped += f.counts.jobs_dropped;
    minutes += f.minutes, stuck += f.unfinished_jobs;
    print_violations(f.violations, s.first_seed + i);
  }
  const auto row = [](const char* what, std::uint64_t n) {
    std::printf("| %s | %llu |\n", what, static_cast<unsigned long long>(n));
  };
  std::printf("\nAll faults, 12 nodes, 6 jobs at a time, %zu plays from seed %llu\n\n", runs,
              static_cast<unsigned long long>(s.first_seed));
  std::printf("| what | count |\n| --- | --- |\n");
  row("simulated minutes", static_cast<std::uint64_t>(minutes));
  row("jobs handed in", c.jobs_submitted);
  row("take-overs", c.takeovers);
  row("lines sent", c.tasks_sent);
  row("answers fetched", c.answers_fetched);
  row("lines run again, answer lost unfetched", c.reruns);
  row("lines told as unknown or lost", c.unknown_outcomes);
  row("jobs lost as all nodes were restarted at once", c.jobs_dropped);
  row("jobs not over when all had healed", stuck);
  row("breach: out from two nodes at once", b.concurrent_runs);
  row("breach: an older epoch after a newer one", b.older_epoch);
  row("breach: run again though fetched", b.rerun_after_fetch);
  row("breach: run again though not safe to repeat", b.unsafe_reruns);
  row("breach: a line that no client sent", b.unknown_tasks);
  row("breach: run after it was told deleted", b.run_after_delete);
  row("breach: accepted and lost", b.lost_jobs);
  return b.total() == 0 && stuck == 0;
}

}  // namespace

int jobs_study(const JobsStudy& s) {
  if (s.nodes < 5) throw std::invalid_argument("nodes: 5 at least");
  if (s.threads == 0) throw std::invalid_argument("threads: above 0");
  if (s.minutes < 0) throw std::invalid_argument("minutes: not below 0");
  const bool recovery_passes = s.seeds == 0 || print_recovery(s);
  const bool faults_pass = s.minutes < kRunMinutes || print_faults(s);
  return recovery_passes && faults_pass ? 0 : 1;
}

}  // namespace petrelrail::lab
