#include "job_cases.hpp"

#include <algorithm>
#include <array>

namespace petrelrail::world {

const char* name_of(HolderFault f) {
  constexpr std::array<const char*, 4> names{"kill", "stall", "cut", "leave"};
  return names.at(static_cast<std::size_t>(f));
}

RecoveryResult run_recovery_case(HolderFault fault, std::uint32_t nodes, std::uint32_t jobs,
                                 std::uint64_t seed) {
  JobFleet::Options o;
  o.nodes = nodes, o.seed = seed;
  // Slow enough that a hundred jobs of 4,000 tasks run longer than the faults last.
  o.tasks_per_second = 20;
  JobFleet fleet(o);
  for (std::uint32_t j = 0; j < jobs; ++j) fleet.submit_job(4'000);
  fleet.run_for(12);
  RecoveryResult r;
  for (int i = 0; i < 4; ++i) {
    const auto victim = fleet.random_holder();
    if (!victim) break;
    std::vector<std::uint32_t> affected;
    for (std::uint32_t j = 0; j < jobs; ++j)
      if (!fleet.is_finished(j) && fleet.holder_of(j) == victim) affected.push_back(j);
    fleet.measure_recovery(*victim);
    switch (fault) {
      case HolderFault::kill: fleet.kill(*victim); break;
      case HolderFault::stall: fleet.stall(*victim, true); break;
      case HolderFault::cut: fleet.set_isolated(*victim, true); break;
      case HolderFault::leave: fleet.leave(*victim); break;
    }
    fleet.run_for(12);
    std::map<std::uint32_t, std::uint32_t> jobs_by_successor;
    for (const auto j : affected)
      if (const auto h = fleet.holder_of(j))
        r.max_jobs_per_successor = std::max(r.max_jobs_per_successor, ++jobs_by_successor[*h]);
    switch (fault) {
      case HolderFault::stall: fleet.stall(*victim, false); break;
      case HolderFault::cut: fleet.set_isolated(*victim, false); break;
      case HolderFault::kill:
      case HolderFault::leave: fleet.start(*victim); break;
    }
    fleet.run_for(8);
  }
  r.recovery_times_s = fleet.recoveries();
  r.unrecovered = fleet.unrecovered_count();
  r.violations = fleet.violations();
  r.counts = fleet.counts();
  return r;
}

namespace {

class RandomFaultRun {
 public:
  explicit RandomFaultRun(const RandomFaultConfig& t)
      : config_(t), dice_(RandomStreams(t.seed).stream("faults")), fleet_(options(t)) {}

  RandomFaultResult run() {
    const auto end = fleet_.now() + from_seconds(config_.minutes * 60);
    while (fleet_.now() < end) {
      while (fleet_.open_job_count() < config_.jobs) submit();
      inject_fault();
      fleet_.run_for(dice_.between(1, 7));
    }
    // Ends all faults; then all open jobs must finish.
    fleet_.heal();
    for (std::uint32_t n = 0; n < fleet_.size(); ++n) {
      fleet_.stall(n, false);
      if (!fleet_.is_up(n)) fleet_.start(n);
    }
    for (int i = 0; i < 60 && fleet_.open_job_count() > 0; ++i) fleet_.run_for(10);
    return {fleet_.violations(), fleet_.counts(),
            seconds(fleet_.now().time_since_epoch()) / 60 - 60, fleet_.open_job_count()};
  }

 private:
  static JobFleet::Options options(const RandomFaultConfig& t) {
    JobFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed;
    o.tasks_per_second = 10;
    o.config.write_ahead = t.write_ahead;
    return o;
  }
  void submit() {
    last_job_ = fleet_.submit_job(1 + static_cast<std::uint32_t>(dice_.below(config_.max_tasks)),
                                  dice_.chance(0.3));
    if (!dice_.chance(0.1)) return;
    fleet_.after(dice_.between(1, 15), [this, job = last_job_] { fleet_.delete_job(job); });
  }
  std::uint32_t random_node() { return static_cast<std::uint32_t>(dice_.below(config_.nodes)); }
  // Returns a holder in half of the cases, as a fault of another node has little effect on jobs.
  std::uint32_t random_target() {
    if (const auto h = fleet_.random_holder(); h && dice_.chance(0.5)) return *h;
    return random_node();
  }
  // At most two nodes are down at a time, which the replication tolerates.
  bool may_kill() const {
    std::uint32_t down = 0;
    for (std::uint32_t n = 0; n < config_.nodes; ++n) down += !fleet_.is_up(n);
    return down < 2;
  }
  void kill(std::uint32_t n) {
    if (!may_kill() || fleet_.now() < next_kill_time_) return;
    // Sometimes kills two at once; then none until their records have been replicated again.
    fleet_.kill(n);
    if (may_kill() && dice_.chance(0.3)) fleet_.kill(random_target());
    next_kill_time_ = fleet_.now() + std::chrono::seconds(6);
    fleet_.after(dice_.between(0.2, 5), [this] {
      for (std::uint32_t i = 0; i < config_.nodes; ++i)
        if (!fleet_.is_up(i)) fleet_.start(i);
    });
  }
  void stall(std::uint32_t n, double for_s) {
    fleet_.stall(n, true);
    fleet_.after(for_s, [this, n] { fleet_.stall(n, false); });
  }
  void inject_fault() {
    const auto n = random_target();
    switch (dice_.below(13)) {
      case 0:
      case 1: return kill(n);
      case 2: return stall(n, dice_.between(0.1, 10));
      case 3:  // stalls for 1.01 lease durations, twice, as at a renewal
        stall(n, 3.03);
        return fleet_.after(4, [this, n] { stall(n, 3.03); });
      case 4:
        fleet_.set_counter_partition(n, true);
        return fleet_.after(dice_.between(1, 10),
                            [this, n] { fleet_.set_counter_partition(n, false); });
      case 5:
        fleet_.set_isolated(n, true);
        return fleet_.after(dice_.between(1, 10), [this, n] { fleet_.set_isolated(n, false); });
      case 6:
      case 7: {  // a partition between peers, in one or both directions, sometimes with the group
                 // cut off from the counter as well
        std::set<std::uint32_t> group{n};
        while (group.size() < 1 + dice_.below(config_.nodes / 2)) group.insert(random_node());
        fleet_.partition_peers(group, dice_.chance(0.4));
        if (dice_.chance(0.4))
          for (const auto g : group) fleet_.set_counter_partition(g, true);
        return fleet_.after(dice_.between(1, 10), [this] { fleet_.heal(); });
      }
      case 8: return fleet_.upgrade(n);
      case 9:
        if (!may_kill() || fleet_.now() < next_kill_time_) return;
        fleet_.leave(n);
        next_kill_time_ = fleet_.now() + std::chrono::seconds(6);
        return fleet_.after(dice_.between(1, 4), [this, n] {
          if (!fleet_.is_up(n)) fleet_.start(n);
        });
      case 10:  // the successor stalls as well, while it takes over
        kill(n);
        return fleet_.after(dice_.between(2, 4), [this] {
          if (const auto h = fleet_.random_holder()) stall(*h, dice_.between(0.5, 5));
        });
      case 11:  // no node reaches the counter
        for (std::uint32_t i = 0; i < config_.nodes; ++i) fleet_.set_counter_partition(i, true);
        return fleet_.after(dice_.between(0.5, 8), [this] {
          for (std::uint32_t i = 0; i < config_.nodes; ++i) fleet_.set_counter_partition(i, false);
        });
      default:
        if (dice_.chance(0.03)) fleet_.restart_all();
    }
  }

  RandomFaultConfig config_;
  RandomStreams dice_;
  JobFleet fleet_;
  Time next_kill_time_{};
  std::uint32_t last_job_ = 0;
};

}  // namespace

RandomFaultResult run_random_faults(const RandomFaultConfig& config) {
  return RandomFaultRun(config).run();
}

}  // namespace petrelrail::world
