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

// A shard is in a burst, while its values are being published, for a fiftieth of its lookups; many
// of these differ at either route.
constexpr double kBurstShare = 0.02;
constexpr std::uint32_t kBurstLookups = 200;
constexpr double kMeanLatencyS = 0.004, kLatencyVariation = 1.0;  // coefficient of variation
constexpr double kSlowFactor = 8;

// Draws the result of each copy at either route. A burst lasts for consecutive lookups of a shard,
// so differences are clustered.
class CopyOutcomes {
 public:
  CopyOutcomes(const ShadowGroundTruth& truth, RandomStreams dice)
      : truth_(truth), dice_(dice), burst_lookups_left_(truth.shards) {}

  struct Outcome {
    bool failed = false, differs = false;
    Duration latency{};
  };
  Outcome draw(std::uint32_t shard, CopyTarget route) {
    auto& burst = burst_lookups_left_[shard];
    if (burst > 0)
      --burst;
    else if (dice_.chance(kBurstShare / kBurstLookups))
      burst = kBurstLookups;
    const bool is_affected = route == CopyTarget::candidate &&
                             (!truth_.affected_shard || *truth_.affected_shard == shard);
    Outcome e;
    e.failed = dice_.chance(truth_.failing_share) ||
               (is_affected && dice_.chance(truth_.candidate_failing_share));
    e.differs = (burst > 0 && dice_.chance(std::min(1.0, truth_.published_share / kBurstShare))) ||
                (is_affected && dice_.chance(truth_.candidate_differing_share));
    double latency_s = dice_.lognormal(kMeanLatencyS, kLatencyVariation);
    if (is_affected && truth_.candidate_slow_share > 0 && dice_.chance(truth_.candidate_slow_share))
      latency_s *= kSlowFactor;
    e.latency = from_seconds(latency_s);
    return e;
  }

 private:
  ShadowGroundTruth truth_;
  RandomStreams dice_;
  std::vector<std::uint32_t> burst_lookups_left_;
};

void add_copy(ShardStatistics& sum, CopyTarget route, const CopyOutcomes::Outcome& e) {
  auto& h = route == CopyTarget::candidate ? sum.candidate : sum.control;
  if (e.failed) {
    ++h.failed;
    return;
  }
  ++h.latencies[latency_bin(e.latency)];
  h.differing += e.differs ? 1 : 0;
}

}  // namespace

ShadowTrialResult run_shadow_trial(const ShadowTrialConfig& config, std::uint64_t seed) {
  const RandomStreams all(seed);
  auto dice = all.stream("copies");
  CopyOutcomes outcomes(config.truth, all.stream("ends"));
  const auto shards = config.truth.shards;
  std::vector<double> cumulative_weights(shards);  // of traffic
  double total_weight = 0;
  for (std::uint32_t s = 0; s < shards; ++s) cumulative_weights[s] = total_weight += 1.0 / (8 + s);
  StatisticsTable sums(1, shards);
  std::vector<ShardStatistics> counted(shards);
  ShadowVerdicts verdicts(1, shards);
  ShadowTrialResult result;
  auto interval = static_cast<double>(config.copies_per_evaluation), next_evaluation = interval;
  std::uint32_t evaluations = 0;
  while (result.copies < config.max_copies && verdicts.map_finding() == MapFinding::undecided) {
    const auto shard = static_cast<std::uint32_t>(
        std::ranges::upper_bound(cumulative_weights, dice.uniform() * total_weight) -
        cumulative_weights.begin());
    if (shard >= shards || verdicts.is_decided(shard)) continue;
    const auto route = dice.chance(0.5) ? CopyTarget::candidate : CopyTarget::control;
    add_copy(counted[shard], route, outcomes.draw(shard, route));
    if (static_cast<double>(++result.copies) < next_evaluation) continue;
    if (++evaluations > 100) interval = std::max(interval, 0.02 * next_evaluation);
    next_evaluation += interval;
    for (std::uint32_t s = 0; s < shards; ++s) sums.merge({}, s, counted[s]);
    for (const auto& verdict : new_verdicts(1, sums, verdicts, {})) verdicts.merge(verdict);
  }
  result.map = verdicts.map_finding();
  for (std::uint32_t s = 0; s < shards; ++s) {
    result.worse_shards += verdicts.shard_finding(s) > Finding::same ? 1 : 0;
    result.same_shards += verdicts.shard_finding(s) == Finding::same ? 1 : 0;
  }
  return result;
}

namespace {

constexpr std::uint8_t kSumSpace = 1;
constexpr Duration kTick = std::chrono::milliseconds(
    50);  // lookups are simulated in batches of this length
constexpr Duration kVerdictInterval = std::chrono::milliseconds(
    250);  // between evaluations by the holder
constexpr std::array kAnnouncementDelaysS = {
    0.0, 0.25, 0.75};  // seconds after a verdict at which the holder announces it to all nodes
constexpr std::uint32_t kPaths = 50'000;

class ShadowFleet final : CellView {
 public:
  ShadowFleet(const ShadowFleetConfig& config, std::uint64_t seed)
      : config_(config),
        dice_(RandomStreams(seed).stream("fleet")),
        network_dice_(RandomStreams(seed).stream("wire")),
        copy_outcomes_(config.truth, RandomStreams(seed).stream("ends")),
        actual_sums_(config.truth.shards),
        accepted_messages_(config.nodes) {
    ShadowConfig t;
    t.map.slots = config.truth.shards;
    t.map.map = {{0, config.truth.shards - 1, 1}};
    t.map.slice_ppm = config.slice_ppm;
    t.max_copy_ratio = config.extra_work;
    for (std::uint32_t n = 0; n < config.nodes; ++n) {
      living_nodes_.push_back({MemberId(static_cast<std::uint16_t>(n)), 1});
      nodes_.push_back(std::make_unique<ShadowTraffic>(t, config.nodes, living_nodes_.back()));
    }
    // All nodes look up the same paths; only paths of the slice are simulated.
    for (std::uint32_t p = 0; p < kPaths; ++p) {
      auto path = "/prices/" + std::to_string(seed) + "/" + std::to_string(p);
      if (nodes_[0]->map().is_in_slice(path)) paths_.push_back(std::move(path));
    }
    update_membership();
  }

  ShadowFleetResult run() {
    for (; seconds(now_ - Time{}) < config_.duration_s; now_ += kTick) {
      if (seconds(now_ - Time{}) >= next_second_) next_second();
      if (config_.crash_time_s > 0 && !has_crashed_ &&
          seconds(now_ - Time{}) >= config_.crash_time_s)
        crash_nodes();
      for (const auto& o : living_nodes_) run_lookups(o);
      for (const auto& o : living_nodes_) exchange_statistics(o);
      deliver();
      check_detection();
      if ((now_ - Time{}) % kVerdictInterval == Duration{}) publish_verdicts();
      if (is_done()) break;
    }
    finish();
    return result_;
  }

 private:
  bool is_cell_usable(std::uint32_t) const override { return true; }
  bool has_control_server() const override { return true; }
  ShadowTraffic& at(const Origin& o) { return *nodes_[index_of(o.node)]; }
  bool is_alive(const Origin& o) const {
    return std::ranges::find(living_nodes_, o) != living_nodes_.end();
  }
  bool is_done() const {
    if (config_.truth.candidate_failing_share > 0.5) return result_.stop_delay_s.has_value();
    return result_.verdict_time_s.has_value();
  }

  void update_membership() {
    for (const auto& o : living_nodes_) {
      at(o).coordinator().set_live_nodes(now_, living_nodes_);
      at(o).coordinator().set_collectors(
          std::span(living_nodes_).first(std::min<std::size_t>(2, living_nodes_.size())));
    }
  }
  // Crashes the holder and a tenth of the other nodes without a hand-over. The fleet detects it at
  // once: the tests of the membership protocol measure the detection.
  void crash_nodes() {
    has_crashed_ = true;
    std::erase_if(living_nodes_,
                  [&](const Origin& o) { return o == living_nodes_.front() || dice_.chance(0.1); });
    update_membership();
  }

  void run_lookups(const Origin& o) {
    if (config_.idle_time_s > 0 && seconds(now_ - Time{}) >= config_.idle_time_s) return;
    // Simulates only lookups of the slice: others would only raise the budget, which does not limit
    // the copies here.
    auto& node = at(o);
    const double mean = config_.lookups_per_s * config_.slice_ppm / kPartsPerMillion *
                        seconds(kTick);
    for (double t = dice_.exponential(1); t < mean; t += dice_.exponential(1)) {
      const auto& path = paths_[dice_.below(paths_.size())];
      const auto request = std::to_string(requests_++);
      for (double budget = 0; budget < 1; budget += config_.extra_work)
        node.decide({"", "", Idempotency::idempotent, true, true, {}}, {}, *this);
      const auto choice = node.decide({path, request, Idempotency::idempotent, true, true, {}},
                                      {true, true, true, true}, *this);
      if (choice.target == CopyTarget::none) continue;
      ++result_.copies;
      const auto drawn = copy_outcomes_.draw(choice.shard, choice.target);
      const ResponseSummary primary{true, 200, 40, {1, 1}, from_seconds(kMeanLatencyS)};
      ResponseSummary copy = primary;
      copy.is_complete = !drawn.failed;
      copy.latency = drawn.latency;
      if (drawn.differs) copy.digest.low = 2;
      node.record_comparison(choice, path, primary, copy);
      add_copy(actual_sums_[choice.shard], choice.target, drawn);
    }
  }

  void exchange_statistics(const Origin& o) {
    auto& keeper = at(o).coordinator();
    for (auto& w : keeper.drain_reports(now_)) {
      ++result_.messages;
      if (!network_dice_.chance(config_.loss))
        pending_messages_.emplace(arrival_time(),
                                  PendingMessage{o, w.to, std::move(w.bytes), false});
    }
    // Records reach all nodes at once here: in a fleet they take some seconds, but they are written
    // only every few minutes.
    for (const auto& due : keeper.drain_records(now_, kSumSpace)) {
      record_keys_.insert(due.key.number);
      for (const auto& other : living_nodes_)
        if (other != o) at(other).coordinator().apply_record(due.key, due.value);
    }
  }
  Time arrival_time() {
    return now_ + from_seconds(network_dice_.between(config_.min_delay_s, config_.max_delay_s));
  }

  // Delivers each message at the end of the tick in which it arrives.
  void deliver() {
    while (!pending_messages_.empty() && pending_messages_.begin()->first <= now_ + kTick) {
      const auto message = std::move(pending_messages_.begin()->second);
      pending_messages_.erase(pending_messages_.begin());
      if (!is_alive(message.to)) continue;
      if (message.is_verdict) {
        at(message.to).receive_verdict(message.bytes);
      } else if (at(message.to).coordinator().receive_report(now_, message.from, message.bytes)) {
        ++accepted_messages_[index_of(message.to.node)];
      } else {
        ++result_.dropped;
      }
    }
    while (!announcements_.empty() && announcements_.begin()->first <= now_) {
      for (const auto& o : living_nodes_)
        if (!network_dice_.chance(config_.loss))
          pending_messages_.emplace(arrival_time(),
                                    PendingMessage{o, o, announcements_.begin()->second, true});
      announcements_.erase(announcements_.begin());
    }
  }

  void publish_verdicts() {
    const auto holder = living_nodes_.front();
    for (const auto& verdict : at(holder).publish_verdicts(has_crashed_ ? 2 : 1)) {
      for (const double delay_s : kAnnouncementDelaysS)
        announcements_.emplace(now_ + from_seconds(delay_s), encode(verdict));
      if (verdict.shard == kWholeMap && !result_.verdict_time_s)
        result_.verdict_time_s = seconds(now_ - Time{});
      if (verdict.shard == config_.truth.affected_shard && evidence_time_ &&
          !result_.detection_delay_s)
        result_.detection_delay_s = seconds(now_ - *evidence_time_);
    }
    const auto known = at(holder).coordinator().known().totals();
    for (std::size_t s = 0; s < known.size(); ++s) {
      auto merged = actual_sums_[s];
      merged.merge(known[s]);
      result_.has_overcount = result_.has_overcount || merged != actual_sums_[s];
    }
  }

  // Records when the copies made so far, known to the holder or not, suffice as evidence, and when
  // all nodes know the verdict.
  void check_detection() {
    if (!config_.truth.affected_shard) return;
    const auto shard = *config_.truth.affected_shard;
    if (!evidence_time_ && is_worse(shard)) evidence_time_ = now_;
    if (!evidence_time_) return;
    bool all_know = true;
    for (const auto& o : living_nodes_) all_know = all_know && at(o).verdicts().is_decided(shard);
    if (all_know && !result_.stop_delay_s)
      result_.stop_delay_s = std::max(0.0, seconds(now_ - *evidence_time_));
  }
  bool is_worse(std::uint32_t shard) const {
    return fleet::evaluate_shard(actual_sums_[shard], config_.truth.shards, {}) > Finding::same;
  }

  void next_second() {
    ++next_second_;
    for (auto& n : accepted_messages_) {
      result_.max_messages_per_s = std::max(result_.max_messages_per_s, static_cast<double>(n));
      n = 0;
    }
  }

  void finish() {
    std::uint64_t made = 0, known = 0;
    for (const auto& s : actual_sums_) made += s.candidate.copies() + s.control.copies();
    for (const auto& s : at(living_nodes_.front()).coordinator().known().totals())
      known += s.candidate.copies() + s.control.copies();
    result_.counted_copies = known;
    result_.lost_copies = made - std::min(made, known);
    result_.record_keys = static_cast<std::uint32_t>(record_keys_.size());
  }

  struct PendingMessage {
    Origin from, to;
    std::string bytes;
    bool is_verdict = false;
  };
  ShadowFleetConfig config_;
  RandomStreams dice_, network_dice_;
  CopyOutcomes copy_outcomes_;
  std::vector<ShardStatistics> actual_sums_;
  std::vector<std::uint32_t> accepted_messages_;
  std::vector<Origin> living_nodes_;
  std::vector<std::unique_ptr<ShadowTraffic>> nodes_;
  std::vector<std::string> paths_;
  std::multimap<Time, PendingMessage> pending_messages_;
  std::multimap<Time, std::string> announcements_;
  std::set<std::uint64_t> record_keys_;
  Time now_{};
  std::optional<Time> evidence_time_;
  double next_second_ = 1;
  std::uint64_t requests_ = 0;
  bool has_crashed_ = false;
  ShadowFleetResult result_;
};

}  // namespace

ShadowFleetResult run_shadow_fleet(const ShadowFleetConfig& config, std::uint64_t seed) {
  return ShadowFleet(config, seed).run();
}

}  // namespace petrelrail::world
