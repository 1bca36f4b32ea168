#include "shadow_trial.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/lookup.hpp"
#include "common/time_math.hpp"
#include "fleet/shadow.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {
namespace {

using namespace fleet;

// Bursts: a shard's values are being published for a fiftieth of its lookups, and then many differ
// whatever the route.
constexpr double kBurst = 0.02;
constexpr std::uint32_t kBurstLookups = 200;
constexpr double kMeanTook = 0.004, kSpreadTook = 1.0;  // seconds, coefficient of variation
constexpr double kSlowFactor = 8;

// How one copy ends at each route. A publication lasts for lookups in a row, so that events come in
// heaps.
class Endings {
 public:
  Endings(const ShadowTruth& truth, RandomStreams dice)
      : truth_(truth), dice_(dice), bursts_(truth.shards) {}

  struct End {
    bool failed = false, differs = false;
    Duration took{};
  };
  End end(std::uint32_t shard, CopyTarget half) {
    auto& burst = bursts_[shard];
    if (burst > 0)
      --burst;
    else if (dice_.chance(kBurst / kBurstLookups))
      burst = kBurstLookups;
    const bool candidate = half == CopyTarget::candidate &&
                           (!truth_.only_shard || *truth_.only_shard == shard);
    End e;
    e.failed = dice_.chance(truth_.failing) || (candidate && dice_.chance(truth_.fails));
    e.differs = (burst > 0 && dice_.chance(std::min(1.0, truth_.published / kBurst))) ||
                (candidate && dice_.chance(truth_.differs));
    double took = dice_.lognormal(kMeanTook, kSpreadTook);
    if (candidate && truth_.slower > 0 && dice_.chance(truth_.slower)) took *= kSlowFactor;
    e.took = from_seconds(took);
    return e;
  }

 private:
  ShadowTruth truth_;
  RandomStreams dice_;
  std::vector<std::uint32_t> bursts_;
};

void put(ShardStatistics& sum, CopyTarget half, const Endings::End& e) {
  auto& h = half == CopyTarget::candidate ? sum.candidate : sum.control;
  if (e.failed) {
    ++h.failed;
    return;
  }
  ++h.latencies[latency_bin(e.took)];
  h.differing += e.differs ? 1 : 0;
}

}  // namespace

TrialOutcome play_trial(const TrialTerms& terms, std::uint64_t seed) {
  const RandomStreams all(seed);
  auto dice = all.stream("copies");
  Endings endings(terms.truth, all.stream("ends"));
  const auto shards = terms.truth.shards;
  std::vector<double> up_to(shards);  // parts of traffic, added up
  double whole = 0;
  for (std::uint32_t s = 0; s < shards; ++s) up_to[s] = whole += 1.0 / (8 + s);
  StatisticsTable sums(1, shards);
  std::vector<ShardStatistics> counted(shards);
  ShadowVerdicts verdicts(1, shards);
  TrialOutcome outcome;
  auto gap = static_cast<double>(terms.look_every), look = gap;
  std::uint32_t looks = 0;
  while (outcome.copies < terms.most_copies && verdicts.map_finding() == MapFinding::undecided) {
    const auto shard = static_cast<std::uint32_t>(
        std::ranges::upper_bound(up_to, dice.uniform() * whole) - up_to.begin());
    if (shard >= shards || verdicts.is_decided(shard)) continue;
    const auto half = dice.chance(0.5) ? CopyTarget::candidate : CopyTarget::control;
    put(counted[shard], half, endings.end(shard, half));
    if (static_cast<double>(++outcome.copies) < look) continue;
    if (++looks > 100) gap = std::max(gap, 0.02 * look);
    look += gap;
    for (std::uint32_t s = 0; s < shards; ++s) sums.merge({}, s, counted[s]);
    for (const auto& spoken : new_verdicts(1, sums, verdicts, {})) verdicts.merge(spoken);
  }
  outcome.map = verdicts.map_finding();
  for (std::uint32_t s = 0; s < shards; ++s) {
    outcome.bad_shards += verdicts.shard_finding(s) > Finding::same ? 1 : 0;
    outcome.same_shards += verdicts.shard_finding(s) == Finding::same ? 1 : 0;
  }
  return outcome;
}

namespace {

constexpr std::uint8_t kSumSpace = 1;
constexpr Duration kTick = std::chrono::milliseconds(50);    // lookups come in heaps of this
constexpr Duration kJudge = std::chrono::milliseconds(250);  // between looks of the holder
constexpr std::array kTellings = {0.0, 0.25,
                                  0.75};  // seconds after a verdict at which all are told
constexpr std::uint32_t kPaths = 50'000;

class ShadowFleet final : CellView {
 public:
  ShadowFleet(const ShadowFleetTerms& terms, std::uint64_t seed)
      : terms_(terms),
        dice_(RandomStreams(seed).stream("fleet")),
        wire_(RandomStreams(seed).stream("wire")),
        endings_(terms.truth, RandomStreams(seed).stream("ends")),
        made_(terms.truth.shards),
        intake_(terms.nodes) {
    ShadowConfig t;
    t.map.slots = terms.truth.shards;
    t.map.map = {{0, terms.truth.shards - 1, 1}};
    t.map.slice_ppm = terms.slice_ppm;
    t.max_copy_ratio = terms.extra_work;
    for (std::uint32_t n = 0; n < terms.nodes; ++n) {
      living_.push_back({MemberId(static_cast<std::uint16_t>(n)), 1});
      nodes_.push_back(std::make_unique<ShadowTraffic>(t, terms.nodes, living_.back()));
    }
    // Paths that all nodes look up alike; only those of the slice matter.
    for (std::uint32_t p = 0; p < kPaths; ++p) {
      auto path = "/prices/" + std::to_string(seed) + "/" + std::to_string(p);
      if (nodes_[0]->map().is_in_slice(path)) paths_.push_back(std::move(path));
    }
    view();
  }

  ShadowFleetOutcome play() {
    for (; seconds(now_ - Time{}) < terms_.seconds; now_ += kTick) {
      if (seconds(now_ - Time{}) >= next_second_) next_second();
      if (terms_.ends_at > 0 && !ended_ && seconds(now_ - Time{}) >= terms_.ends_at) end_some();
      for (const auto& o : living_) lookups(o);
      for (const auto& o : living_) speak_and_hear(o);
      deliver();
      watch();
      if ((now_ - Time{}) % kJudge == Duration{}) judge();
      if (done()) break;
    }
    close();
    return outcome_;
  }

 private:
  bool is_cell_usable(std::uint32_t) const override { return true; }
  bool has_control_server() const override { return true; }
  ShadowTraffic& at(const Origin& o) { return *nodes_[index_of(o.node)]; }
  bool alive(const Origin& o) const { return std::ranges::find(living_, o) != living_.end(); }
  bool done() const {
    if (terms_.truth.fails > 0.5) return outcome_.stopped_after.has_value();
    return outcome_.told.has_value();
  }

  void view() {
    for (const auto& o : living_) {
      at(o).coordinator().set_live_nodes(now_, living_);
      at(o).coordinator().set_collectors(
          std::span(living_).first(std::min<std::size_t>(2, living_.size())));
    }
  }
  // The holder and a tenth of the others, untold; the fleet learns of it at once (members' part is
  // measured elsewhere).
  void end_some() {
    ended_ = true;
    std::erase_if(living_,
                  [&](const Origin& o) { return o == living_.front() || dice_.chance(0.1); });
    view();
  }

  void lookups(const Origin& o) {
    if (terms_.quiet_after > 0 && seconds(now_ - Time{}) >= terms_.quiet_after) return;
    // Lookups beside the slice only fill the budget, which is no bound here: those of the slice
    // alone are played.
    auto& node = at(o);
    const double mean = terms_.lookups_per_s * terms_.slice_ppm / kPartsPerMillion * seconds(kTick);
    for (double t = dice_.exponential(1); t < mean; t += dice_.exponential(1)) {
      const auto& path = paths_[dice_.below(paths_.size())];
      const auto request = std::to_string(requests_++);
      for (double fill = 0; fill < 1; fill += terms_.extra_work)
        node.decide({"", "", Idempotency::idempotent, true, true, {}}, {}, *this);
      const auto choice = node.decide({path, request, Idempotency::idempotent, true, true, {}},
                                      {true, true, true, true}, *this);
      if (choice.target == CopyTarget::none) continue;
      ++outcome_.copies;
      const auto e = endings_.end(choice.shard, choice.target);
      const ResponseSummary primary{true, 200, 40, {1, 1}, from_seconds(kMeanTook)};
      ResponseSummary copy = primary;
      copy.is_complete = !e.failed;
      copy.latency = e.took;
      if (e.differs) copy.digest.low = 2;
      node.record_comparison(choice, path, primary, copy);
      put(made_[choice.shard], choice.target, e);
    }
  }

  void speak_and_hear(const Origin& o) {
    auto& keeper = at(o).coordinator();
    for (auto& w : keeper.drain_reports(now_)) {
      ++outcome_.words;
      if (!wire_.chance(terms_.loss))
        way_.emplace(arrival(), Letter{o, w.to, std::move(w.bytes), false});
    }
    // Records come to all at once here: they take some seconds, and are written every few minutes.
    for (const auto& due : keeper.drain_records(now_, kSumSpace)) {
      records_.insert(due.key.number);
      for (const auto& other : living_)
        if (other != o) at(other).coordinator().apply_record(due.key, due.value);
    }
  }
  Time arrival() { return now_ + from_seconds(wire_.between(terms_.least_way, terms_.most_way)); }

  // Letters are taken at the end of the tick in which they come.
  void deliver() {
    while (!way_.empty() && way_.begin()->first <= now_ + kTick) {
      const auto letter = std::move(way_.begin()->second);
      way_.erase(way_.begin());
      if (!alive(letter.to)) continue;
      if (letter.verdict) {
        at(letter.to).receive_verdict(letter.bytes);
      } else if (at(letter.to).coordinator().receive_report(now_, letter.from, letter.bytes)) {
        ++intake_[index_of(letter.to.node)];
      } else {
        ++outcome_.dropped;
      }
    }
    while (!tellings_.empty() && tellings_.begin()->first <= now_) {
      for (const auto& o : living_)
        if (!wire_.chance(terms_.loss))
          way_.emplace(arrival(), Letter{o, o, tellings_.begin()->second, true});
      tellings_.erase(tellings_.begin());
    }
  }

  void judge() {
    const auto holder = living_.front();
    for (const auto& spoken : at(holder).publish_verdicts(ended_ ? 2 : 1)) {
      for (const double after : kTellings)
        tellings_.emplace(now_ + from_seconds(after), encode(spoken));
      if (spoken.shard == kWholeMap && !outcome_.told) outcome_.told = seconds(now_ - Time{});
      if (spoken.shard == terms_.truth.only_shard && evident_ && !outcome_.found_after)
        outcome_.found_after = seconds(now_ - *evident_);
    }
    const auto known = at(holder).coordinator().known().totals();
    for (std::size_t s = 0; s < known.size(); ++s) {
      auto most = made_[s];
      most.merge(known[s]);
      outcome_.exceeded = outcome_.exceeded || most != made_[s];
    }
  }

  // When the copies made so far suffice, whoever knows of them; and the last copy after that.
  void watch() {
    if (!terms_.truth.only_shard) return;
    const auto shard = *terms_.truth.only_shard;
    if (!evident_ && judge_now(shard)) evident_ = now_;
    if (!evident_) return;
    bool all_know = true;
    for (const auto& o : living_) all_know = all_know && at(o).verdicts().is_decided(shard);
    if (all_know && !outcome_.stopped_after)
      outcome_.stopped_after = std::max(0.0, seconds(now_ - *evident_));
  }
  bool judge_now(std::uint32_t shard) const {
    return fleet::evaluate_shard(made_[shard], terms_.truth.shards, {}) > Finding::same;
  }

  void next_second() {
    ++next_second_;
    for (auto& n : intake_) {
      outcome_.worst_intake = std::max(outcome_.worst_intake, static_cast<double>(n));
      n = 0;
    }
  }

  void close() {
    std::uint64_t made = 0, known = 0;
    for (const auto& s : made_) made += s.candidate.copies() + s.control.copies();
    for (const auto& s : at(living_.front()).coordinator().known().totals())
      known += s.candidate.copies() + s.control.copies();
    outcome_.counted = known;
    outcome_.lost = made - std::min(made, known);
    outcome_.records = static_cast<std::uint32_t>(records_.size());
  }

  struct Letter {
    Origin from, to;
    std::string bytes;
    bool verdict = false;
  };
  ShadowFleetTerms terms_;
  RandomStreams dice_, wire_;
  Endings endings_;
  std::vector<ShardStatistics> made_;
  std::vector<std::uint32_t> intake_;
  std::vector<Origin> living_;
  std::vector<std::unique_ptr<ShadowTraffic>> nodes_;
  std::vector<std::string> paths_;
  std::multimap<Time, Letter> way_;
  std::multimap<Time, std::string> tellings_;
  std::set<std::uint64_t> records_;
  Time now_{};
  std::optional<Time> evident_;
  double next_second_ = 1;
  std::uint64_t requests_ = 0;
  bool ended_ = false;
  ShadowFleetOutcome outcome_;
};

}  // namespace

ShadowFleetOutcome play_shadow_fleet(const ShadowFleetTerms& terms, std::uint64_t seed) {
  return ShadowFleet(terms, seed).play();
}

}  // namespace petrelrail::world
