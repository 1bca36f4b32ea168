#include "shadow.hpp"

#include <algorithm>
#include <stdexcept>

namespace petrelrail::fleet {
namespace {

// Copies that the budget can accumulate, which bounds the burst of copies after a pause.
constexpr double kMaxSavedCopies = 10;
constexpr std::uint16_t kFirstServerError = 500;          // lowest HTTP status of a server error
constexpr std::uint32_t kMinOpenSlots = 2;                // the copy's slot and one that stays free
constexpr unsigned kVersionShift = 40, kShardShift = 24;  // bit positions in a record's number
constexpr std::uint64_t kTermMask = (1ULL << kShardShift) - 1;

}  // namespace

bool ShadowConfig::operator==(const ShadowConfig& o) const {
  return map == o.map && tolerances.differs == o.tolerances.differs &&
         tolerances.failing == o.tolerances.failing && tolerances.slower == o.tolerances.slower &&
         max_copy_ratio == o.max_copy_ratio;
}

void validate(const ShadowConfig& config) {
  validate(config.map);
  validate(config.tolerances);
  if (!(config.max_copy_ratio >= 0 && config.max_copy_ratio <= 1))
    throw std::invalid_argument("shadow: extra_work must be from 0 to 1");
}

const char* name_of(SkipReason reason) {
  switch (reason) {
    case SkipReason::copied: return "copied";
    case SkipReason::not_in_slice: return "not in slice";
    case SkipReason::ended: return "ended";
    case SkipReason::unsuitable: return "unsuitable";
    case SkipReason::conditions: return "conditions";
    case SkipReason::open_cap: return "open cap";
    case SkipReason::no_cell: return "no cell";
    case SkipReason::no_control: return "no control";
    case SkipReason::budget: return "budget";
  }
  return "";
}

bool ResponseSummary::is_success() const { return is_complete && status < kFirstServerError; }

ShadowTraffic::ShadowTraffic(const ShadowConfig& config, std::uint32_t nodes, Origin self)
    : config_((validate(config), config)),
      map_(config.map),
      verdicts_(map_.version(), map_.shards()),
      coordinator_({nodes, map_.shards()}, self, map_.version()),
      examples_(map_.shards()) {}

SkipReason ShadowTraffic::skip_reason(const Lookup& l, const NodeConditions& c,
                                      const CellView& cells, std::uint32_t shard) const {
  if (verdicts_.is_decided(shard)) return SkipReason::ended;
  if (l.idempotency != Idempotency::idempotent || !l.is_copy_permitted || !l.has_attempt_left)
    return SkipReason::unsuitable;
  if (!c.is_counter_reachable || !c.are_zones_available || !c.are_servers_warm ||
      !c.are_requests_on_time)
    return SkipReason::conditions;
  if (l.open_slots && *l.open_slots < kMinOpenSlots) return SkipReason::open_cap;
  // Both arms must be available whichever is chosen, or they would get different lookups.
  if (!cells.is_cell_usable(map_.cell_of(shard))) return SkipReason::no_cell;
  if (!cells.has_control_server()) return SkipReason::no_control;
  return budget_ < 1 ? SkipReason::budget : SkipReason::copied;
}

CopyDecision ShadowTraffic::decide(const Lookup& lookup, const NodeConditions& conditions,
                                   const CellView& cells) {
  ++stats_.lookups;
  budget_ = std::min(kMaxSavedCopies, budget_ + config_.max_copy_ratio);
  CopyDecision decision;
  decision.version = map_.version();
  if (map_.is_in_slice(lookup.path)) {
    decision.shard = map_.shard_of(lookup.path);
    decision.cell = map_.cell_of(decision.shard);
    decision.reason = skip_reason(lookup, conditions, cells, decision.shard);
  }
  ++stats_.by_reason[static_cast<std::size_t>(decision.reason)];
  if (decision.reason != SkipReason::copied) return decision;
  --budget_;
  decision.target = map_.choose_target(lookup.path, lookup.request_id);
  return decision;
}

void ShadowTraffic::record_comparison(const CopyDecision& decision, std::string_view path,
                                      const ResponseSummary& primary, const ResponseSummary& copy) {
  if (decision.target == CopyTarget::none) return;
  if (decision.version != map_.version()) {
    ++stats_.outdated;
    return;
  }
  if (!primary.is_success()) {
    ++stats_.unpaired;
    return;
  }
  ++stats_.compared;
  if (!copy.is_success()) {
    ++stats_.failed;
    return coordinator_.record_copy(decision.shard, decision.target, {}, false);
  }
  const bool is_different = primary.status != copy.status || primary.length != copy.length ||
                            primary.digest != copy.digest;
  coordinator_.record_copy(decision.shard, decision.target, copy.latency, is_different);
  if (!is_different) return;
  ++stats_.differing;
  auto& examples = examples_[decision.shard];
  if (decision.target == CopyTarget::candidate && examples.size() < kMaxExamples)
    examples.push_back({std::string(path.substr(0, kMaxExamplePathBytes)), primary, copy});
}

bool ShadowTraffic::receive_verdict(std::string_view value) {
  const auto verdict = decode_verdict(value);
  if (!verdict || verdict->version != map_.version() ||
      (verdict->shard != kWholeMap && verdict->shard >= map_.shards()))
    return false;
  verdicts_.merge(*verdict);
  return true;
}

std::vector<PublishedVerdict> ShadowTraffic::publish_verdicts(std::uint64_t term) {
  auto published = new_verdicts(term, coordinator_.known(), verdicts_, config_.tolerances);
  for (const auto& s : published) verdicts_.merge(s);
  return published;
}

RecordKey verdict_record_key(const PublishedVerdict& s, std::uint8_t space) {
  return {space, static_cast<std::uint64_t>(s.version) << kVersionShift |
                     static_cast<std::uint64_t>(s.shard) << kShardShift | (s.term & kTermMask)};
}

}  // namespace petrelrail::fleet
