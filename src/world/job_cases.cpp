#include "job_cases.hpp"

#include <algorithm>
#include <array>

namespace petrelrail::world {

const char* name_of(HolderFault f) {
  constexpr std::array<const char*, 4> names{"kill", "stall", "cut", "leave"};
  return names.at(static_cast<std::size_t>(f));
}

Recovery play_recovery(HolderFault fault, std::uint32_t nodes, std::uint32_t jobs,
                       std::uint64_t seed) {
  JobFleet::Options o;
  o.nodes = nodes, o.seed = seed;
  // So that a hundred jobs of 4,000 lines last longer than the faults do.
  o.pace = 20;
  JobFleet fleet(o);
  for (std::uint32_t j = 0; j < jobs; ++j) fleet.begin_job(4'000);
  fleet.run_for(12);
  Recovery r;
  for (int i = 0; i < 4; ++i) {
    const auto victim = fleet.any_holder();
    if (!victim) break;
    std::vector<std::uint32_t> had;
    for (std::uint32_t j = 0; j < jobs; ++j)
      if (!fleet.over(j) && fleet.holder_of(j) == victim) had.push_back(j);
    fleet.watch_recovery(*victim);
    switch (fault) {
      case HolderFault::kill: fleet.kill(*victim); break;
      case HolderFault::stall: fleet.stall(*victim, true); break;
      case HolderFault::cut: fleet.cut_off(*victim, true); break;
      case HolderFault::leave: fleet.leave(*victim); break;
    }
    fleet.run_for(12);
    std::map<std::uint32_t, std::uint32_t> heirs;
    for (const auto j : had)
      if (const auto h = fleet.holder_of(j)) r.most_by_one = std::max(r.most_by_one, ++heirs[*h]);
    switch (fault) {
      case HolderFault::stall: fleet.stall(*victim, false); break;
      case HolderFault::cut: fleet.cut_off(*victim, false); break;
      case HolderFault::kill:
      case HolderFault::leave: fleet.start(*victim); break;
    }
    fleet.run_for(8);
  }
  r.seconds = fleet.recoveries();
  r.never = fleet.not_recovered();
  r.breaches = fleet.breaches();
  r.counts = fleet.counts();
  return r;
}

namespace {

class FaultPlay {
 public:
  explicit FaultPlay(const FaultTerms& t)
      : terms_(t), dice_(RandomStreams(t.seed).stream("faults")), fleet_(options(t)) {}

  FaultFigures play() {
    const auto end = fleet_.now() + from_seconds(terms_.minutes * 60);
    while (fleet_.now() < end) {
      while (fleet_.open_jobs() < terms_.jobs) begin();
      fault();
      fleet_.run_for(dice_.between(1, 7));
    }
    // All heals, and what is open must end.
    fleet_.heal();
    for (std::uint32_t n = 0; n < fleet_.size(); ++n) {
      fleet_.stall(n, false);
      if (!fleet_.up(n)) fleet_.start(n);
    }
    for (int i = 0; i < 60 && fleet_.open_jobs() > 0; ++i) fleet_.run_for(10);
    return {fleet_.breaches(), fleet_.counts(), seconds(fleet_.now().time_since_epoch()) / 60 - 60,
            fleet_.open_jobs()};
  }

 private:
  static JobFleet::Options options(const FaultTerms& t) {
    JobFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed;
    o.pace = 10;
    o.terms.write_ahead = t.write_ahead;
    return o;
  }
  void begin() {
    last_ = fleet_.begin_job(1 + static_cast<std::uint32_t>(dice_.below(terms_.lines)),
                             dice_.chance(0.3));
    if (!dice_.chance(0.1)) return;
    fleet_.at(dice_.between(1, 15), [this, job = last_] { fleet_.delete_job(job); });
  }
  std::uint32_t some() { return static_cast<std::uint32_t>(dice_.below(terms_.nodes)); }
  // A holder half of the time, as a fault of others moves nothing.
  std::uint32_t target() {
    if (const auto h = fleet_.any_holder(); h && dice_.chance(0.5)) return *h;
    return some();
  }
  // At most two are down at a time, which records bear.
  bool may_kill() const {
    std::uint32_t down = 0;
    for (std::uint32_t n = 0; n < terms_.nodes; ++n) down += !fleet_.up(n);
    return down < 2;
  }
  void kill(std::uint32_t n) {
    if (!may_kill() || fleet_.now() < spread_) return;
    // Two at once now and then, then none until what they held has gone round again.
    fleet_.kill(n);
    if (may_kill() && dice_.chance(0.3)) fleet_.kill(target());
    spread_ = fleet_.now() + std::chrono::seconds(6);
    fleet_.at(dice_.between(0.2, 5), [this] {
      for (std::uint32_t i = 0; i < terms_.nodes; ++i)
        if (!fleet_.up(i)) fleet_.start(i);
    });
  }
  void stall(std::uint32_t n, double for_s) {
    fleet_.stall(n, true);
    fleet_.at(for_s, [this, n] { fleet_.stall(n, false); });
  }
  void fault() {
    const auto n = target();
    switch (dice_.below(13)) {
      case 0:
      case 1: return kill(n);
      case 2: return stall(n, dice_.between(0.1, 10));
      case 3:  // 1.01 leases at the instant of renewal, twice
        stall(n, 3.03);
        return fleet_.at(4, [this, n] { stall(n, 3.03); });
      case 4:
        fleet_.cut_counter(n, true);
        return fleet_.at(dice_.between(1, 10), [this, n] { fleet_.cut_counter(n, false); });
      case 5:
        fleet_.cut_off(n, true);
        return fleet_.at(dice_.between(1, 10), [this, n] { fleet_.cut_off(n, false); });
      case 6:
      case 7: {  // a cut through the peers, both ways or one, now and then of the counter as well
                 // on one side
        std::set<std::uint32_t> group{n};
        while (group.size() < 1 + dice_.below(terms_.nodes / 2)) group.insert(some());
        fleet_.cut_peers(group, dice_.chance(0.4));
        if (dice_.chance(0.4))
          for (const auto g : group) fleet_.cut_counter(g, true);
        return fleet_.at(dice_.between(1, 10), [this] { fleet_.heal(); });
      }
      case 8: return fleet_.upgrade(n);
      case 9:
        if (!may_kill() || fleet_.now() < spread_) return;
        fleet_.leave(n);
        spread_ = fleet_.now() + std::chrono::seconds(6);
        return fleet_.at(dice_.between(1, 4), [this, n] {
          if (!fleet_.up(n)) fleet_.start(n);
        });
      case 10:  // the heir meets one as well, while it takes over
        kill(n);
        return fleet_.at(dice_.between(2, 4), [this] {
          if (const auto h = fleet_.any_holder()) stall(*h, dice_.between(0.5, 5));
        });
      case 11:  // the counter gives no holder anything
        for (std::uint32_t i = 0; i < terms_.nodes; ++i) fleet_.cut_counter(i, true);
        return fleet_.at(dice_.between(0.5, 8), [this] {
          for (std::uint32_t i = 0; i < terms_.nodes; ++i) fleet_.cut_counter(i, false);
        });
      default:
        if (dice_.chance(0.03)) fleet_.restart_all();
    }
  }

  FaultTerms terms_;
  RandomStreams dice_;
  JobFleet fleet_;
  Time spread_{};
  std::uint32_t last_ = 0;
};

}  // namespace

FaultFigures play_faults(const FaultTerms& terms) { return FaultPlay(terms).play(); }

}  // namespace petrelrail::world
