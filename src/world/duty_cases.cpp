#include "duty_cases.hpp"

#include <stdexcept>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMost = 30s;  // for a duty to be held again

class Play {
 public:
  explicit Play(const DutyCaseTerms& t, std::function<void(DutyFleet::Options&)> change = {})
      : terms_(t),
        dice_(RandomStreams(mix_hash(t.seed)).stream("duty case")),
        fleet_(options(t, change)) {
    fleet_.start_all();
    fleet_.run_until([&] { return fleet_.acting().has_value(); }, kMost);
    fleet_.run_for(10s);
    from_ = fleet_.now(), before_ = fleet_.totals();
  }
  DutyFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  Duration term() const { return fleet::LeaderLeaseConfig{}.term_duration(); }
  const DutyCaseTerms& terms() const { return terms_; }
  // Any moment of a term.
  std::uint32_t holder_some_time() {
    fleet_.run_for(scaled(2 * term(), dice_.uniform()));
    fleet_.run_until([&] { return fleet_.acting().has_value(); }, kMost);
    return *fleet_.acting();
  }
  // From now until another than this one acts: for how long nobody did. Then a term more, for the
  // claims.
  void measure(std::uint32_t but) {
    const Time end = fleet_.now() + kMost;
    const auto claims = fleet_.totals().claims;
    Duration nobody{};
    for (auto acts = fleet_.acting(); (!acts || *acts == but) && fleet_.now() < end;
         acts = fleet_.acting()) {
      fleet_.run_for(10ms);
      if (!acts) nobody += 10ms;
    }
    figures_.again_s.push_back(petrelrail::seconds(nobody));
    figures_.claims.push_back(static_cast<double>(fleet_.totals().claims - claims));
    fleet_.run_for(term());
  }
  // Runs and tells in what share of the time somebody acted.
  void watch(double span_s) {
    std::uint64_t looks = 0, acting = 0;
    const Time end = fleet_.now() + from_seconds(span_s);
    while (fleet_.now() < end) {
      fleet_.run_for(10ms);
      ++looks, acting += fleet_.acting().has_value() ? 1 : 0;
    }
    figures_.values["acting_share"] = static_cast<double>(acting) / static_cast<double>(looks);
  }
  DutyCaseFigures done() {
    const double span = std::max(petrelrail::seconds(fleet_.now() - from_), 1e-9);
    const auto t = fleet_.totals();
    auto& v = figures_.values;
    v["calls_per_s"] = static_cast<double>(t.calls - before_.calls) / span;
    v["words_per_s"] = static_cast<double>(t.words - before_.words) / span;
    v["claims_per_s"] = static_cast<double>(t.claims - before_.claims) / span;
    v["most_in"] = static_cast<double>(t.most_in);
    v["refused"] = static_cast<double>(t.refused);
    v["effects"] = static_cast<double>(t.effects);
    v["given"] = static_cast<double>(t.given);
    figures_.breaches = fleet_.breach_count(), figures_.told = fleet_.breaches();
    return figures_;
  }

 private:
  static DutyFleet::Options options(const DutyCaseTerms& t,
                                    const std::function<void(DutyFleet::Options&)>& change) {
    DutyFleet::Options o;
    o.nodes = t.nodes, o.seed = t.seed, o.members = t.members;
    o.peers.loss = t.loss;
    if (change) change(o);
    return o;
  }

  DutyCaseTerms terms_;
  RandomStreams dice_;
  DutyFleet fleet_;
  Time from_{};
  DutyFleet::Totals before_;
  DutyCaseFigures figures_;
};

DutyCaseFigures calm(const DutyCaseTerms& t) {
  Play p(t);
  p.watch(t.seconds);
  return p.done();
}

// The fault comes to the holder again and again, and is undone after a while.
DutyCaseFigures holder_meets(const DutyCaseTerms& t,
                             const std::function<void(Play&, std::uint32_t)>& fault,
                             const std::function<void(Play&, std::uint32_t)>& undo) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    const auto holder = p.holder_some_time();
    fault(p, holder);
    p.measure(holder);
    undo(p, holder);
    p.fleet().run_for(10s);
  }
  return p.done();
}
void start(Play& p, std::uint32_t n) { p.fleet().start(n); }
void wake(Play& p, std::uint32_t n) { p.fleet().stall(n, false); }
void heal(Play& p, std::uint32_t n) { p.fleet().cut(n, {}); }
auto cut(DutyFleet::Cut c) {
  return [c](const DutyCaseTerms& t) {
    return holder_meets(
        t, [c](Play& p, std::uint32_t n) { p.fleet().cut(n, c); }, heal);
  };
}

DutyCaseFigures kill(const DutyCaseTerms& t) {
  return holder_meets(
      t, [](Play& p, std::uint32_t n) { p.fleet().kill(n); }, start);
}
DutyCaseFigures stall(const DutyCaseTerms& t) {
  return holder_meets(
      t, [](Play& p, std::uint32_t n) { p.fleet().stall(n, true); }, wake);
}
DutyCaseFigures terminate(const DutyCaseTerms& t) {
  return holder_meets(
      t, [](Play& p, std::uint32_t n) { p.fleet().terminate(n); },
      [](Play& p, std::uint32_t n) {
        p.fleet().run_for(5s);
        start(p, n);
      });
}
// Stopped for 1.01 lives at the instant at which it renews, and once more when it is back.
DutyCaseFigures renewal(const DutyCaseTerms& t) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    auto holder = p.holder_some_time();
    for (int twice = 0; twice < 2; ++twice) {
      const auto calls = [&] { return p.fleet().duty(holder)->stats().calls; };
      const auto before = calls();
      p.fleet().run_until([&] { return calls() > before; }, 5s);
      p.fleet().stall(holder, true);
      p.fleet().at(p.fleet().now() + scaled(fleet::LeaderLeaseConfig{}.failover_time, 1.01),
                   [&f = p.fleet(), holder] { f.stall(holder, false); });
      p.measure(p.terms().nodes);
      p.fleet().run_until([&] { return p.fleet().acting().has_value(); }, kMost);
      holder = *p.fleet().acting();
    }
    p.fleet().run_for(10s);
  }
  return p.done();
}
DutyCaseFigures upgrade(const DutyCaseTerms& t) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    p.fleet().upgrade(p.holder_some_time());
    p.measure(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.done();
}
DutyCaseFigures twin(const DutyCaseTerms& t) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    const auto holder = p.holder_some_time();
    p.fleet().twin(holder);
    p.watch(10);
    p.fleet().kill(holder);
    p.watch(5);
    p.fleet().start(holder);
  }
  return p.done();
}

// The counter misbehaves for a while; again: until somebody acts after it serves again.
DutyCaseFigures counter(const DutyCaseTerms& t, const std::function<void(Counter&, Time)>& fault,
                        const std::function<void(Counter&, Time)>& undo) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    p.holder_some_time();
    fault(p.fleet().counter(), p.fleet().now());
    p.fleet().run_for(8s);
    undo(p.fleet().counter(), p.fleet().now());
    p.measure(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.done();
}
DutyCaseFigures silent(const DutyCaseTerms& t) {
  return counter(
      t, [](Counter& c, Time now) { c.set_mode(now, Counter::Mode::silent); },
      [](Counter& c, Time now) { c.set_mode(now, Counter::Mode::serving); });
}
DutyCaseFigures slow(const DutyCaseTerms& t) {
  // Each call takes a third of a second: answers come late or not at all, adds are made all the
  // same.
  return counter(
      t, [](Counter& c, Time) { c.set_slowdown(200); },
      [](Counter& c, Time) { c.set_slowdown(1); });
}
DutyCaseFigures spoilt(const DutyCaseTerms& t) {
  return counter(
      t, [](Counter& c, Time) { c.set_malformed_share(0.5); },
      [](Counter& c, Time) { c.set_malformed_share(0); });
}
// Empty again and again, at any moment, the holder now and then dead as well.
DutyCaseFigures emptied(const DutyCaseTerms& t) {
  Play p(t);
  for (std::uint32_t i = 0; i < 4 * t.times; ++i) {
    p.fleet().run_for(2 * p.term() + scaled(p.term(), p.dice().uniform()));
    p.fleet().counter().reset(p.fleet().now());
    if (i % 4 != 3) continue;
    const auto holder = p.holder_some_time();
    p.fleet().kill(holder);
    p.measure(holder);
    p.fleet().start(holder);
  }
  return p.done();
}
DutyCaseFigures restart_all(const DutyCaseTerms& t) {
  Play p(t);
  for (std::uint32_t i = 0; i < t.times; ++i) {
    p.holder_some_time();
    for (std::uint32_t n = 0; n < t.nodes; ++n) p.fleet().kill(n);
    p.fleet().run_for(1s);
    p.fleet().start_all();
    p.measure(t.nodes);
    p.fleet().run_for(5s);
  }
  return p.done();
}
DutyCaseFigures unwanted(const DutyCaseTerms& t) {
  Play p(t);
  p.fleet().want(false);
  p.watch(t.seconds);
  return p.done();
}

// All faults, several duties, calls that wait for others, for as long as the terms say.
DutyCaseFigures all(const DutyCaseTerms& t) {
  Play p(t, [](DutyFleet::Options& o) {
    o.duties = {"book", "verdict", "jobs.1", "jobs.2"};
    o.busy = 40ms;
    o.peers.duplicate = 0.05, o.peers.reorder = 0.1;
  });
  auto& f = p.fleet();
  const Time end = f.now() + from_seconds(t.seconds);
  Time emptied = f.now();
  while (f.now() < end) {
    f.run_for(from_seconds(p.dice().exponential(2)));
    const auto acting = f.acting(p.dice().below(4));
    const auto n = acting && p.dice().chance(0.7)
                       ? *acting
                       : static_cast<std::uint32_t>(p.dice().below(t.nodes));
    const auto span = from_seconds(p.dice().between(0.1, 6));
    const auto later = [&](std::function<void()> what) { f.at(f.now() + span, std::move(what)); };
    switch (p.dice().below(9)) {
      case 0:
        f.kill(n);
        later([&f, n] {
          if (!f.up(n)) f.start(n);
        });
        break;
      case 1:
      case 2:
        f.stall(n, true);
        later([&f, n] { f.stall(n, false); });
        break;
      case 3:
        f.terminate(n);
        f.at(f.now() + 4s, [&f, n] {
          if (!f.up(n)) f.start(n);
        });
        break;
      case 4: {
        const auto way = [&] { return p.dice().chance(0.4); };
        f.cut(n, {way(), way(), way(), way()});
        later([&f, n] { f.cut(n, {}); });
        break;
      }
      case 5: f.upgrade(n); break;
      case 6:
        f.counter().set_mode(f.now(), Counter::Mode::silent);
        f.at(f.now() + span / 3, [&f] { f.counter().set_mode(f.now(), Counter::Mode::serving); });
        break;
      case 7:
        f.counter().set_slowdown(p.dice().between(1, 100)), f.counter().set_malformed_share(0.2);
        later([&f] { f.counter().set_slowdown(1), f.counter().set_malformed_share(0); });
        break;
      default:
        // Two losses in one term are beyond what is promised.
        if (f.now() - emptied < 2 * p.term()) break;
        emptied = f.now();
        f.counter().reset(f.now());
    }
  }
  return p.done();
}

}  // namespace

const std::vector<DutyCase>& duty_cases() {
  static const std::vector<DutyCase> cases{
      {"calm", "a held duty", calm},
      {"kill", "its holder is killed", kill, 4, 0, 10},
      {"stall", "its holder stalls", stall, 4, 0, 10},
      {"renewal", "stalled for 1.01 lives as it renews, twice", renewal, 0, 0, 10},
      {"sigterm", "its holder leaves", terminate, 0, 0.2, 10},
      {"upgrade", "its holder's process is replaced", upgrade},
      {"cut-counter", "its holder is cut from the counter", cut({true, true, false, false}), 4, 0,
       10},
      {"cut-answers", "what the counter answers its holder is lost",
       cut({false, true, false, false}), 4, 0, 10},
      {"cut-peers", "its holder is cut from all nodes", cut({false, false, true, true})},
      {"cut-words", "what its holder says to nodes is lost", cut({false, false, true, false})},
      {"silent", "the counter is silent for 8 s", silent},
      {"slow", "the counter takes a third of a second a call for 8 s", slow},
      {"spoilt", "half of the counter's answers are spoilt for 8 s", spoilt},
      {"emptied", "the counter loses its numbers again and again", emptied},
      {"restart-all", "all nodes start anew", restart_all},
      {"twin", "a second process under the holder's number", twin},
      {"unwanted", "nobody needs it any more", unwanted},
      {"all", "every fault in turn, four duties", all}};
  return cases;
}

const DutyCase& duty_case(const std::string& name) {
  for (const auto& c : duty_cases())
    if (c.name == name) return c;
  std::string known;
  for (const auto& c : duty_cases()) known += " " + c.name;
  throw std::invalid_argument("there is no case " + name + "; there are:" + known);
}

}  // namespace petrelrail::world
