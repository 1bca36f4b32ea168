#include "record_cases.hpp"

#include <algorithm>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;
using fleet::RecordKey;
using Kind = fleet::ReplicatedStore::PutResult::Kind;

constexpr std::size_t kValue = 60;        // bytes
constexpr std::uint64_t kRecords = 1000;  // of a full table
constexpr auto kPatience = 400s;          // for anything to come about
constexpr std::uint32_t kDead = 7, kOf = 10;

class Play {
 public:
  Play(const RecordCaseTerms& terms, bool full)
      : terms_(terms), fleet_(options(terms)), dice_(mix_hash(terms.seed + 1)) {
    for (std::uint32_t n = 0; n < fleet_.size(); ++n) start(n, full);
    settle();
  }
  RecordFleet& fleet() { return fleet_; }
  RandomStreams& dice() { return dice_; }
  std::uint32_t any() { return static_cast<std::uint32_t>(dice_.below(fleet_.size())); }
  bool caught_up(std::uint32_t n) const { return fleet_.records(n).caught_up(fleet_.clock(n)); }
  bool settle() {
    return fleet_.run_until(
        [&] {
          for (std::uint32_t n = 0; n < fleet_.size(); ++n)
            if (fleet_.up(n) && !caught_up(n)) return false;
          return true;
        },
        kPatience, 500ms);
  }
  void start(std::uint32_t node, bool full) {
    fleet::ReplicatedStore::Snapshot state;
    if (full) {
      const auto ends = std::chrono::duration_cast<std::chrono::seconds>(
          (fleet_.now() + 1h).time_since_epoch());
      for (std::uint64_t i = 0; i < kRecords; ++i)
        state.records.push_back({{1, i},
                                 {1, 1, fleet::MemberId(0)},
                                 began_ends(ends),
                                 false,
                                 std::string(kValue, 'r')});
      state.caught_up = true;
    }
    fleet_.start_with(node, state);
  }
  std::size_t known(std::uint32_t node) const {
    std::size_t count = 0;
    fleet_.records(node).for_each(1, [&](const fleet::Record&) { ++count; });
    return count;
  }
  // Writes a new record at a node that is up and waits for what becomes of it; none: it was not
  // safe.
  struct Written {
    std::uint32_t writer = 0;
    RecordKey key;
    Time at{};
    bool safe = false;
  };
  Written write(std::uint32_t writer) {
    Written w{writer, {0, ++written_}, fleet_.now(), false};
    const auto put = fleet_.put(writer, w.key, std::string(kValue, 'w'));
    if (put.kind != Kind::accepted) return w;
    fleet_.run_until([&] { return fleet_.outcome(writer, put.ticket) != nullptr; }, kPatience, 5ms);
    w.safe = fleet_.outcome(writer, put.ticket)->safe;
    return w;
  }
  double since(Time t) const { return seconds(fleet_.now() - t); }

 private:
  static RecordFleet::Options options(const RecordCaseTerms& t) {
    RecordFleet::Options o;
    o.nodes = t.nodes, o.zones = t.zones, o.seed = t.seed;
    o.peers.loss = t.loss;
    o.terms = terms_of(t);
    return o;
  }
  // All nodes hold the same ends.
  std::uint32_t began_ends(std::chrono::seconds ends) {
    if (ends_ == 0) ends_ = static_cast<std::uint32_t>(ends.count());
    return ends_;
  }

  RecordCaseTerms terms_;
  RecordFleet fleet_;
  RandomStreams dice_;
  std::uint64_t written_ = 0;
  std::uint32_t ends_ = 0;
};

// A write at a time, at any node.
RecordFigures writes(const RecordCaseTerms& terms) {
  Play p(terms, false);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < terms.trials; ++i) {
    const auto w = p.write(p.any());
    found["unsafe"].push_back(w.safe ? 0 : 1);
    if (!w.safe) continue;
    found["safe_s"].push_back(p.since(w.at));
    f.run_until([&] { return f.holders(w.key) == f.size(); }, kPatience, 20ms);
    found["known_s"].push_back(p.since(w.at));
  }
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}

// One writer that writes and marks each second; how old a read may be, anywhere.
RecordFigures age(const RecordCaseTerms& terms) {
  Play p(terms, false);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < 20 + terms.trials; ++i) {
    f.put(0, {0, i % 30}, std::to_string(i));
    f.mark(0, 0);
    f.run_for(1s);
    if (i >= 20)
      for (std::uint32_t n = 0; n < f.size(); ++n)
        if (const auto a = f.records(n).staleness(f.clock(n), 0))
          found["age_s"].push_back(seconds(*a));
  }
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}

RecordFigures empty_node(const RecordCaseTerms& terms) {
  Play p(terms, true);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  const auto node = p.any();
  const Time began = f.now();
  f.start(node);
  f.run_until([&] { return p.known(node) == kRecords; }, kPatience, 100ms);
  found["has_all_s"].push_back(p.since(began));
  f.run_until([&] { return p.caught_up(node); }, kPatience, 100ms);
  found["caught_up_s"].push_back(p.since(began));
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}

// Seven in ten start empty at once, and ask each other as well.
RecordFigures empty_fleet(const RecordCaseTerms& terms) {
  Play p(terms, true);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  const Time began = f.now();
  for (std::uint32_t n = 0; n < f.size(); ++n)
    if (n % kOf < kDead) f.start(n);
  p.settle();
  found["caught_up_s"].push_back(p.since(began));
  double missing = 0;
  for (std::uint32_t n = 0; n < f.size(); ++n)
    missing += static_cast<double>(kRecords - p.known(n));
  found["missing"].push_back(missing);
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}

// Kills whom `dies` names within 5 ms of a yes; whether the record is lost, and until when all that
// live know it.
template <class Dies>
RecordFigures after_yes(const RecordCaseTerms& terms, Dies dies) {
  Play p(terms, false);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  for (std::uint32_t i = 0; i < terms.trials; ++i) {
    const auto w = p.write(p.any());
    if (!w.safe) continue;
    found["holders"].push_back(f.holders(w.key));
    const Time began = f.now();
    for (const auto n : dies(p, w)) f.kill(n);
    std::uint32_t living = 0;
    for (std::uint32_t n = 0; n < f.size(); ++n) living += f.up(n);
    const bool all = f.run_until([&] { return f.holders(w.key) == living; }, 40s, 20ms);
    found["lost"].push_back(f.holders(w.key) == 0 ? 1 : 0);
    if (all) found["known_s"].push_back(p.since(began));
    for (std::uint32_t n = 0; n < f.size(); ++n)
      if (!f.up(n)) f.start(n);
    f.run_for(5s);
    p.settle();
  }
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}
// Two of those that hold it, its writer among them.
RecordFigures two_die(const RecordCaseTerms& terms) {
  return after_yes(terms, [](Play& p, const Play::Written& w) {
    std::vector<std::uint32_t> others;
    for (std::uint32_t n = 0; n < p.fleet().size(); ++n)
      if (n != w.writer && p.fleet().records(n).find(w.key)) others.push_back(n);
    return std::vector{w.writer, others[p.dice().below(others.size())]};
  });
}
RecordFigures zone_dies(const RecordCaseTerms& terms) {
  return after_yes(terms, [](Play& p, const Play::Written& w) {
    std::vector<std::uint32_t> dead;
    for (std::uint32_t n = 0; n < p.fleet().size(); ++n)
      if (p.fleet().zone(n) == p.fleet().zone(w.writer)) dead.push_back(n);
    return dead;
  });
}
RecordFigures seven_in_ten_die(const RecordCaseTerms& terms) {
  return after_yes(terms, [](Play& p, const Play::Written&) {
    std::vector<std::uint32_t> dead(p.fleet().size());
    for (std::uint32_t n = 0; n < dead.size(); ++n) dead[n] = n;
    p.dice().shuffle(dead);
    dead.resize(dead.size() * kDead / kOf);
    return dead;
  });
}

// A zone is cut off for 6 s; the rest writes on, and each side's own writes are told after it.
RecordFigures cut(const RecordCaseTerms& terms) {
  Play p(terms, false);
  auto& f = p.fleet();
  RecordFigures found;
  f.reset_traffic();
  f.cut([&](std::uint32_t a, std::uint32_t b) { return (f.zone(a) == 0) != (f.zone(b) == 0); });
  for (std::uint64_t i = 0; i < 12; ++i) {
    f.put(1, {0, i}, std::string(kValue, 'm'));
    f.put(0, {0, 100 + i}, std::string(kValue, 'n'));
    f.run_for(500ms);
  }
  f.cut({});
  const Time healed = f.now();
  const bool all = f.run_until(
      [&] {
        return f.agreed(0) && f.holders({0, 0}) == f.size();
      },
      kPatience, 50ms);
  if (all) found["agreed_s"].push_back(p.since(healed));
  found["most_in"].push_back(static_cast<double>(f.most_in()));
  return found;
}

}  // namespace

fleet::ReplicatedStoreConfig terms_of(const RecordCaseTerms& t) {
  fleet::ReplicatedStoreConfig terms;
  terms.nodes = t.nodes, terms.spaces = 2;
  terms.gossip_per_s = t.news_per_s, terms.pull_per_s = t.pull_per_s;
  return terms;
}

const std::vector<RecordCase>& record_cases() {
  static const std::vector<RecordCase> cases{{"writes", writes},
                                             {"age", age},
                                             {"empty-node", empty_node},
                                             {"empty-fleet", empty_fleet},
                                             {"two-die", two_die},
                                             {"zone-dies", zone_dies},
                                             {"seven-in-ten", seven_in_ten_die},
                                             {"cut", cut}};
  return cases;
}

}  // namespace petrelrail::world
