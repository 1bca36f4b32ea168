#include "lease_cases.hpp"

#include <stdexcept>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMaxWait = 30s;  // for a lease to be held again

class CaseRun {
 public:
  explicit CaseRun(const LeaseCaseConfig& t, std::function<void(LeaseFleet::Options&)> change = {})
      : config_(t),
        dice_(RandomStreams(mix_hash(t.seed)).stream("duty case")),
        fleet_(options(t, change)) {
    fleet_.start_all();
    fleet_.run_until([&] { return fleet_.active_node().has_value(); }, kMaxWait);
    fleet_.run_for(10s);
    start_time_ = fleet_.now(), initial_totals_ = fleet_.totals();
  }
  LeaseFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  Duration term() const { return fleet::LeaderLeaseConfig{}.term_duration(); }
  const LeaseCaseConfig& config() const { return config_; }
  // Waits until a random moment of a term; returns the holder at that time.
  std::uint32_t holder_at_random_time() {
    fleet_.run_for(scaled(2 * term(), dice_.uniform()));
    fleet_.run_until([&] { return fleet_.active_node().has_value(); }, kMaxWait);
    return *fleet_.active_node();
  }
  // Runs until a node other than `previous_holder` is active and records how long none was. Then
  // runs for one more term, so that its claims count too.
  void measure_gap(std::uint32_t previous_holder) {
    const Time end = fleet_.now() + kMaxWait;
    const auto claims = fleet_.totals().claims;
    Duration gap{};
    for (auto active = fleet_.active_node();
         (!active || *active == previous_holder) && fleet_.now() < end;
         active = fleet_.active_node()) {
      fleet_.run_for(10ms);
      if (!active) gap += 10ms;
    }
    result_.gaps_s.push_back(petrelrail::seconds(gap));
    result_.claims.push_back(static_cast<double>(fleet_.totals().claims - claims));
    fleet_.run_for(term());
  }
  // Runs for `span_s` and records in what share of that time a node was active.
  void measure_active_share(double span_s) {
    std::uint64_t samples = 0, active = 0;
    const Time end = fleet_.now() + from_seconds(span_s);
    while (fleet_.now() < end) {
      fleet_.run_for(10ms);
      ++samples, active += fleet_.active_node().has_value() ? 1 : 0;
    }
    result_.values["acting_share"] = static_cast<double>(active) / static_cast<double>(samples);
  }
  LeaseCaseResult result() {
    const double span = std::max(petrelrail::seconds(fleet_.now() - start_time_), 1e-9);
    const auto t = fleet_.totals();
    auto& v = result_.values;
    v["calls_per_s"] = static_cast<double>(t.calls - initial_totals_.calls) / span;
    v["words_per_s"] = static_cast<double>(t.announcements - initial_totals_.announcements) / span;
    v["claims_per_s"] = static_cast<double>(t.claims - initial_totals_.claims) / span;
    v["most_in"] = static_cast<double>(t.max_arrivals_per_s);
    v["refused"] = static_cast<double>(t.rejected_effects);
    v["effects"] = static_cast<double>(t.effects);
    v["given"] = static_cast<double>(t.transfers);
    result_.violation_count = fleet_.violation_count(), result_.violations = fleet_.violations();
    return result_;
  }

 private:
  static LeaseFleet::Options options(const LeaseCaseConfig& t,
                                     const std::function<void(LeaseFleet::Options&)>& change) {
    LeaseFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed, o.uses_membership = t.uses_membership;
    o.peers.loss = t.loss;
    if (change) change(o);
    return o;
  }

  LeaseCaseConfig config_;
  RandomStreams dice_;
  LeaseFleet fleet_;
  Time start_time_{};
  LeaseFleet::Totals initial_totals_;
  LeaseCaseResult result_;
};

LeaseCaseResult calm(const LeaseCaseConfig& t) {
  CaseRun p(t);
  p.measure_active_share(t.seconds);
  return p.result();
}

// Injects the fault into the present holder, measures the gap and undoes the fault, repeatedly.
LeaseCaseResult inject_into_holder(const LeaseCaseConfig& t,
                                   const std::function<void(CaseRun&, std::uint32_t)>& fault,
                                   const std::function<void(CaseRun&, std::uint32_t)>& undo) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    const auto holder = p.holder_at_random_time();
    fault(p, holder);
    p.measure_gap(holder);
    undo(p, holder);
    p.fleet().run_for(10s);
  }
  return p.result();
}
void start(CaseRun& p, std::uint32_t n) { p.fleet().start(n); }
void resume(CaseRun& p, std::uint32_t n) { p.fleet().stall(n, false); }
void heal(CaseRun& p, std::uint32_t n) { p.fleet().set_partition(n, {}); }
auto partition(LeaseFleet::Partition c) {
  return [c](const LeaseCaseConfig& t) {
    return inject_into_holder(
        t, [c](CaseRun& p, std::uint32_t n) { p.fleet().set_partition(n, c); }, heal);
  };
}

LeaseCaseResult kill(const LeaseCaseConfig& t) {
  return inject_into_holder(
      t, [](CaseRun& p, std::uint32_t n) { p.fleet().kill(n); }, start);
}
LeaseCaseResult stall(const LeaseCaseConfig& t) {
  return inject_into_holder(
      t, [](CaseRun& p, std::uint32_t n) { p.fleet().stall(n, true); }, resume);
}
LeaseCaseResult terminate(const LeaseCaseConfig& t) {
  return inject_into_holder(
      t, [](CaseRun& p, std::uint32_t n) { p.fleet().terminate(n); },
      [](CaseRun& p, std::uint32_t n) {
        p.fleet().run_for(5s);
        start(p, n);
      });
}
// Stalls the holder for 1.01 failover times at the instant at which it calls the counter to renew,
// and stalls the next holder in the same way.
LeaseCaseResult stall_at_renewal(const LeaseCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    auto holder = p.holder_at_random_time();
    for (int stalls = 0; stalls < 2; ++stalls) {
      const auto calls = [&] { return p.fleet().lease(holder)->stats().calls; };
      const auto calls_before = calls();
      p.fleet().run_until([&] { return calls() > calls_before; }, 5s);
      p.fleet().stall(holder, true);
      p.fleet().at(p.fleet().now() + scaled(fleet::LeaderLeaseConfig{}.failover_time, 1.01),
                   [&f = p.fleet(), holder] { f.stall(holder, false); });
      p.measure_gap(p.config().nodes);
      p.fleet().run_until([&] { return p.fleet().active_node().has_value(); }, kMaxWait);
      holder = *p.fleet().active_node();
    }
    p.fleet().run_for(10s);
  }
  return p.result();
}
LeaseCaseResult upgrade(const LeaseCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    p.fleet().upgrade(p.holder_at_random_time());
    p.measure_gap(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.result();
}
LeaseCaseResult duplicate(const LeaseCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    const auto holder = p.holder_at_random_time();
    p.fleet().start_duplicate(holder);
    p.measure_active_share(10);
    p.fleet().kill(holder);
    p.measure_active_share(5);
    p.fleet().start(holder);
  }
  return p.result();
}

// The counter is faulty for 8 s; measures the gap from the time when it serves again.
LeaseCaseResult counter_fault(const LeaseCaseConfig& t,
                              const std::function<void(Counter&, Time)>& fault,
                              const std::function<void(Counter&, Time)>& undo) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    p.holder_at_random_time();
    fault(p.fleet().counter(), p.fleet().now());
    p.fleet().run_for(8s);
    undo(p.fleet().counter(), p.fleet().now());
    p.measure_gap(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.result();
}
LeaseCaseResult counter_silent(const LeaseCaseConfig& t) {
  return counter_fault(
      t, [](Counter& c, Time now) { c.set_mode(now, Counter::Mode::silent); },
      [](Counter& c, Time now) { c.set_mode(now, Counter::Mode::serving); });
}
LeaseCaseResult counter_slow(const LeaseCaseConfig& t) {
  // Each call takes a third of a second: replies arrive late or not at all, but the adds are
  // applied.
  return counter_fault(
      t, [](Counter& c, Time) { c.set_slowdown(200); },
      [](Counter& c, Time) { c.set_slowdown(1); });
}
LeaseCaseResult counter_replies_corrupted(const LeaseCaseConfig& t) {
  return counter_fault(
      t, [](Counter& c, Time) { c.set_malformed_share(0.5); },
      [](Counter& c, Time) { c.set_malformed_share(0); });
}
// The counter loses its data repeatedly, at random moments; each fourth time the holder is killed
// too.
LeaseCaseResult counter_data_lost(const LeaseCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < 4 * t.repetitions; ++i) {
    p.fleet().run_for(2 * p.term() + scaled(p.term(), p.dice().uniform()));
    p.fleet().counter().reset(p.fleet().now());
    if (i % 4 != 3) continue;
    const auto holder = p.holder_at_random_time();
    p.fleet().kill(holder);
    p.measure_gap(holder);
    p.fleet().start(holder);
  }
  return p.result();
}
LeaseCaseResult restart_all(const LeaseCaseConfig& t) {
  CaseRun p(t);
  for (std::uint32_t i = 0; i < t.repetitions; ++i) {
    p.holder_at_random_time();
    for (std::uint32_t n = 0; n < t.nodes; ++n) p.fleet().kill(n);
    p.fleet().run_for(1s);
    p.fleet().start_all();
    p.measure_gap(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.result();
}
LeaseCaseResult no_candidates(const LeaseCaseConfig& t) {
  CaseRun p(t);
  p.fleet().set_candidates(false);
  p.measure_active_share(t.seconds);
  return p.result();
}

// Injects random faults of all kinds for the configured time, with four leases and with counter
// calls delayed behind quota calls.
LeaseCaseResult all_faults(const LeaseCaseConfig& t) {
  CaseRun p(t, [](LeaseFleet::Options& o) {
    o.lease_names = {"book", "verdict", "jobs.1", "jobs.2"};
    o.max_call_delay = 40ms;
    o.peers.duplicate = 0.05, o.peers.reorder = 0.1;
  });
  auto& f = p.fleet();
  const Time end = f.now() + from_seconds(t.seconds);
  Time last_data_loss = f.now();
  while (f.now() < end) {
    f.run_for(from_seconds(p.dice().exponential(2)));
    const auto holder = f.active_node(p.dice().below(4));
    const auto n = holder && p.dice().chance(0.7)
                       ? *holder
                       : static_cast<std::uint32_t>(p.dice().below(t.nodes));
    const auto span = from_seconds(p.dice().between(0.1, 6));
    const auto undo_later = [&](std::function<void()> action) {
      f.at(f.now() + span, std::move(action));
    };
    switch (p.dice().below(9)) {
      case 0:
        f.kill(n);
        undo_later([&f, n] {
          if (!f.is_up(n)) f.start(n);
        });
        break;
      case 1:
      case 2:
        f.stall(n, true);
        undo_later([&f, n] { f.stall(n, false); });
        break;
      case 3:
        f.terminate(n);
        f.at(f.now() + 4s, [&f, n] {
          if (!f.is_up(n)) f.start(n);
        });
        break;
      case 4: {
        const auto dropped = [&] { return p.dice().chance(0.4); };
        f.set_partition(n, {dropped(), dropped(), dropped(), dropped()});
        undo_later([&f, n] { f.set_partition(n, {}); });
        break;
      }
      case 5: f.upgrade(n); break;
      case 6:
        f.counter().set_mode(f.now(), Counter::Mode::silent);
        f.at(f.now() + span / 3, [&f] { f.counter().set_mode(f.now(), Counter::Mode::serving); });
        break;
      case 7:
        f.counter().set_slowdown(p.dice().between(1, 100)), f.counter().set_malformed_share(0.2);
        undo_later([&f] { f.counter().set_slowdown(1), f.counter().set_malformed_share(0); });
        break;
      default:
        // Two losses within two terms are outside the guarantee.
        if (f.now() - last_data_loss < 2 * p.term()) break;
        last_data_loss = f.now();
        f.counter().reset(f.now());
    }
  }
  return p.result();
}

}  // namespace

const std::vector<LeaseCase>& lease_cases() {
  static const std::vector<LeaseCase> cases{
      {"calm", "a held lease, no fault", calm},
      {"kill", "the holder is killed", kill, 4, 0, 10},
      {"stall", "the holder stalls", stall, 4, 0, 10},
      {"renewal", "the holder stalls for 1.01 failover times as it renews, twice", stall_at_renewal,
       0, 0, 10},
      {"sigterm", "the holder leaves", terminate, 0, 0.2, 10},
      {"upgrade", "the holder's process is replaced", upgrade},
      {"cut-counter", "the holder is partitioned from the counter",
       partition({true, true, false, false}), 4, 0, 10},
      {"cut-answers", "replies of the counter to the holder are lost",
       partition({false, true, false, false}), 4, 0, 10},
      {"cut-peers", "the holder is partitioned from all nodes",
       partition({false, false, true, true})},
      {"cut-words", "datagrams of the holder to other nodes are lost",
       partition({false, false, true, false})},
      {"silent", "the counter does not reply for 8 s", counter_silent},
      {"slow", "the counter takes a third of a second a call for 8 s", counter_slow},
      {"spoilt", "half of the counter's replies are corrupted for 8 s", counter_replies_corrupted},
      {"emptied", "the counter loses its numbers again and again", counter_data_lost},
      {"restart-all", "all nodes restart", restart_all},
      {"twin", "a second process with the holder's member ID", duplicate},
      {"unwanted", "no node is a candidate any more", no_candidates},
      {"all", "all faults at random, four leases", all_faults}};
  return cases;
}

const LeaseCase& lease_case(const std::string& name) {
  for (const auto& c : lease_cases())
    if (c.name == name) return c;
  std::string known;
  for (const auto& c : lease_cases()) known += " " + c.name;
  throw std::invalid_argument("unknown case " + name + "; known cases:" + known);
}

}  // namespace petrelrail::world
