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

void print_violations(const JobFleet::Breaches& b, std::uint64_t seed) {
  for (const auto& w : b.words)
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
      std::vector<Recovery> results(s.seeds);
      run_parallel(s.threads, s.seeds, [&](std::size_t i) {
        results[i] = play_recovery(fault, s.nodes, jobs, s.first_seed + i);
      });
      std::vector<double> all;
      std::uint64_t never = 0, breaches = 0;
      std::uint32_t max_jobs_at_one_node = 0;
      for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& r = results[i];
        all.insert(all.end(), r.seconds.begin(), r.seconds.end());
        never += r.never, breaches += r.breaches.sum();
        max_jobs_at_one_node = std::max(max_jobs_at_one_node, r.most_by_one);
        print_violations(r.breaches, s.first_seed + i);
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
  std::vector<FaultFigures> results(runs);
  run_parallel(s.threads, runs, [&](std::size_t i) {
    FaultTerms t;
    t.seed = s.first_seed + i, t.minutes = kRunMinutes;
    results[i] = play_faults(t);
  });
  JobFleet::Breaches b;
  JobFleet::Counts c;
  double minutes = 0;
  std::uint64_t stuck = 0;
  for (std::size_t i = 0; i < runs; ++i) {
    const auto& f = results[i];
    b.both_out += f.breaches.both_out, b.older_epoch += f.breaches.older_epoch;
    b.after_fetch += f.breaches.after_fetch, b.unsafe_twice += f.breaches.unsafe_twice;
    b.no_client += f.breaches.no_client, b.after_delete += f.breaches.after_delete,
        b.lost += f.breaches.lost;
    c.lines_sent += f.counts.lines_sent, c.fetched += f.counts.fetched, c.rerun += f.counts.rerun;
    c.handed_in += f.counts.handed_in, c.takeovers += f.counts.takeovers,
        c.unknown += f.counts.unknown;
    c.dropped += f.counts.dropped;
    minutes += f.minutes, stuck += f.stuck;
    print_violations(f.breaches, s.first_seed + i);
  }
  const auto row = [](const char* what, std::uint64_t n) {
    std::printf("| %s | %llu |\n", what, static_cast<unsigned long long>(n));
  };
  std::printf("\nAll faults, 12 nodes, 6 jobs at a time, %zu plays from seed %llu\n\n", runs,
              static_cast<unsigned long long>(s.first_seed));
  std::printf("| what | count |\n| --- | --- |\n");
  row("simulated minutes", static_cast<std::uint64_t>(minutes));
  row("jobs handed in", c.handed_in);
  row("take-overs", c.takeovers);
  row("lines sent", c.lines_sent);
  row("answers fetched", c.fetched);
  row("lines run again, answer lost unfetched", c.rerun);
  row("lines told as unknown or lost", c.unknown);
  row("jobs lost as all nodes were restarted at once", c.dropped);
  row("jobs not over when all had healed", stuck);
  row("breach: out from two nodes at once", b.both_out);
  row("breach: an older epoch after a newer one", b.older_epoch);
  row("breach: run again though fetched", b.after_fetch);
  row("breach: run again though not safe to repeat", b.unsafe_twice);
  row("breach: a line that no client sent", b.no_client);
  row("breach: run after it was told deleted", b.after_delete);
  row("breach: accepted and lost", b.lost);
  return b.sum() == 0 && stuck == 0;
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
