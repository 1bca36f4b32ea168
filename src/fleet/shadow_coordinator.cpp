#include "shadow_coordinator.hpp"

#include <limits>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

// More groups shorten the rounds to aggregators but need more records; with 8, the rounds of both
// levels stay below a minute with 300 nodes.
constexpr std::uint32_t kMaxGroups = 8;
constexpr double kMaxRecordsPerS = 2;        // over the whole fleet; each node receives all of them
constexpr std::uint32_t kReportRepeats = 8;  // rounds in which a changed value is reported; with a
                                             // loss of a fifth, 3 in 1,000,000 never arrive
constexpr Duration kMinUrgentInterval = std::chrono::milliseconds(250);  // between urgent reports
constexpr std::size_t kReportHeaderBytes = 3;  // the level and the receiver's incarnation
constexpr char kLocalCountsPart = 1, kReceivedPart = 2,
               kKnownPart = 3;                // entry types of the hand-over state
constexpr std::size_t kEntryHeaderBytes = 5;  // the entry type, the node and its incarnation
constexpr unsigned kVersionShift = 40, kShardShift = 32,
                   kNodeShift = 16;  // bit positions in a record's number

Duration interval_for(double datagrams, double per_s) {
  return from_seconds(std::max(1.0, datagrams / per_s));
}

std::uint64_t record_number(std::uint32_t version, std::uint32_t shard, const Origin& o) {
  return static_cast<std::uint64_t>(version) << kVersionShift |
         static_cast<std::uint64_t>(shard) << kShardShift |
         static_cast<std::uint64_t>(index_of(o.node)) << kNodeShift | o.incarnation;
}
std::uint32_t event_count(const ShardStatistics& s) {
  std::uint64_t all = s.candidate.copies() + s.control.copies() + s.candidate.differing +
                      s.control.differing;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(all, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

std::uint32_t ReportConfig::groups() const { return std::min(nodes, kMaxGroups); }
std::uint32_t ReportConfig::group_of(MemberId node) const {
  return static_cast<std::uint32_t>(index_of(node)) % groups();
}
Duration ReportConfig::aggregator_interval() const {
  return interval_for((nodes + groups() - 1) / groups() - 1, max_reports_per_s / 2);
}
Duration ReportConfig::collector_interval() const {
  const auto aggregators = std::min(shards, (nodes + groups() - 1) / groups());
  return interval_for(static_cast<double>(aggregators) * groups(), max_reports_per_s / 2);
}
Duration ReportConfig::record_interval() const {
  return interval_for(static_cast<double>(shards) * groups(), kMaxRecordsPerS);
}

void validate(const ReportConfig& config) {
  if (config.nodes < 1 || config.nodes > std::numeric_limits<std::uint16_t>::max())
    throw std::invalid_argument("shadow: nodes must be from 1 to 65535");
  if (config.shards < 1 || config.shards > kMaxShards)
    throw std::invalid_argument("shadow: shards must be from 1 to " + std::to_string(kMaxShards));
  if (!(config.max_reports_per_s >= 2))
    throw std::invalid_argument("shadow: in_per_s must be at least 2");
}

std::optional<Origin> choose_aggregator(std::uint32_t shard, std::uint32_t group,
                                        const ReportConfig& config, std::span<const Origin> live) {
  std::optional<Origin> chosen;
  std::uint64_t highest_rank = 0;
  for (const auto& o : live) {
    if (config.group_of(o.node) != group) continue;
    const auto rank = mix_hash(mix_hash(shard + 1) ^ index_of(o.node));
    if (chosen && (rank < highest_rank || (rank == highest_rank && o < *chosen))) continue;
    chosen = o;
    highest_rank = rank;
  }
  return chosen;
}

std::uint64_t ShadowCoordinator::UrgentEvents::events(const ShardStatistics& s) {
  return std::uint64_t{s.candidate.failed} + s.candidate.differing + s.control.failed +
         s.control.differing;
}
bool ShadowCoordinator::UrgentEvents::is_due(const ShardStatistics& s) const {
  const auto now = events(s);
  return now > reported && 2 * now >= 3 * reported;
}

ShadowCoordinator::ShadowCoordinator(const ReportConfig& config, Origin self, std::uint32_t version)
    : config_((validate(config), config)),
      self_(self),
      version_(version),
      live_nodes_{self},
      aggregators_(config.shards),
      local_counts_(config.shards),
      aggregates_(config.shards),
      received_(version, config.shards),
      known_(version, config.shards) {}

void ShadowCoordinator::set_live_nodes(Time now, std::span<const Origin> live) {
  live_nodes_.assign(live.begin(), live.end());
  std::ranges::sort(live_nodes_);
  for (std::uint32_t s = 0; s < config_.shards; ++s)
    aggregators_[s] = choose_aggregator(s, config_.group_of(self_.node), config_, live_nodes_);
  if (is_started_) return;
  is_started_ = true;
  // Each node has its own phase in the round, which spreads the reports to one node evenly.
  const double phase = static_cast<double>(mix_hash(index_of(self_.node))) /
                       static_cast<double>(~0ULL);
  aggregator_report_time_ = now + scaled(config_.aggregator_interval(), phase);
  collector_report_time_ = now + scaled(config_.collector_interval(), phase);
  record_time_ = now + scaled(config_.record_interval(), phase);
}

std::uint32_t ShadowCoordinator::repeat_count() const {
  return kReportRepeats * static_cast<std::uint32_t>(collectors_.size());
}
void ShadowCoordinator::set_collectors(std::span<const Origin> collectors) {
  if (std::ranges::equal(collectors, collectors_)) return;
  collectors_.assign(collectors.begin(), collectors.end());
  has_urgent_events_ = true;
  for (auto& f : aggregates_)
    if (!f.statistics.empty()) f.rounds_left = repeat_count(), f.urgent.reported = 0;
}

ShadowCoordinator::LocalCounts* ShadowCoordinator::local_counts(std::uint32_t shard) {
  const auto aggregator = aggregators_.at(shard);
  if (!aggregator) return nullptr;
  auto& all = local_counts_[shard];
  // A former aggregator continues from its earlier counts, which must not decrease.
  const auto it = std::ranges::find(all, *aggregator, &LocalCounts::aggregator);
  if (it != all.end()) return &*it;
  if (all.size() >= kMaxAggregators) return nullptr;
  return &all.emplace_back(LocalCounts{*aggregator, {}});
}

void ShadowCoordinator::record_copy(std::uint32_t shard, CopyTarget target,
                                    std::optional<Duration> latency, bool is_different) {
  if (target == CopyTarget::none) return;
  auto* const l = local_counts(shard);
  if (!l) {
    ++stats_.overflowed;
    return;
  }
  ShardStatistics one;
  auto& h = target == CopyTarget::candidate ? one.candidate : one.control;
  if (latency) {
    h.latencies[latency_bin(*latency)] = 1;
    h.differing = is_different ? 1 : 0;
  } else {
    h.failed = 1;
  }
  l->pending.statistics.add(one);
  l->pending.rounds_left = kReportRepeats;
  has_urgent_events_ = has_urgent_events_ || !latency || is_different;
  if (l->aggregator == self_ && received_.merge(self_, shard, l->pending.statistics))
    update_aggregate(shard);
}

void ShadowCoordinator::update_aggregate(std::uint32_t shard) {
  auto& f = aggregates_[shard];
  const auto events = UrgentEvents::events(f.statistics);
  f.statistics = received_.total(shard);
  has_urgent_events_ = has_urgent_events_ || UrgentEvents::events(f.statistics) > events;
  f.rounds_left = repeat_count();
  merge_known(self_, shard, f.statistics);
}

bool ShadowCoordinator::merge_known(const Origin& aggregator, std::uint32_t shard,
                                    const ShardStatistics& statistics) {
  if (shard >= config_.shards) return false;
  if (!known_.contains(aggregator, shard)) {
    std::size_t aggregator_count = 0;
    const auto group = config_.group_of(aggregator.node);
    known_.for_each([&](std::uint32_t s, const Origin& o, const ShardStatistics&) {
      aggregator_count += s == shard && config_.group_of(o.node) == group ? 1 : 0;
    });
    if (aggregator_count >= kMaxAggregators) {
      ++stats_.overflowed;
      return false;
    }
  }
  known_.merge(aggregator, shard, statistics);
  return true;
}

void ShadowCoordinator::append_report(Level level, const Origin& to, const Batch& batch,
                                      std::vector<Report>& out) {
  if (batch.empty()) return;
  // Starts after the last shard of the previous report, so that all shards get reported where they
  // don't fit into one.
  auto& next = next_shard_[{level, to}];
  std::vector<ShardEntry> entries;
  for (const auto& [shard, o] : batch)
    if (shard >= next) entries.emplace_back(shard, o->statistics);
  if (entries.empty())
    for (const auto& [shard, o] : batch) entries.emplace_back(shard, o->statistics);
  std::size_t sent = 0;
  std::string bytes{static_cast<char>(level),
                    static_cast<char>(static_cast<std::uint8_t>(to.incarnation >> 8U)),
                    static_cast<char>(static_cast<std::uint8_t>(to.incarnation))};
  bytes += encode_statistics(version_, entries, sent, kMaxRecordValueBytes - kReportHeaderBytes);
  for (const auto& [shard, o] : batch) {
    if (shard < entries.front().first || shard > entries[sent - 1].first) continue;
    if (o->rounds_left > 0) --o->rounds_left;
    o->urgent.reported = UrgentEvents::events(o->statistics);
  }
  next = sent < entries.size() ? entries[sent].first : 0;
  out.push_back({to, std::move(bytes)});
}

void ShadowCoordinator::report_to_aggregators(bool is_round, std::vector<Report>& out) {
  std::map<Origin, Batch> batches;
  for (std::uint32_t s = 0; s < config_.shards; ++s)
    for (auto& l : local_counts_[s])
      if (l.aggregator != self_ && is_live(l.aggregator) &&
          (is_round ? l.pending.rounds_left > 0 : l.pending.urgent.is_due(l.pending.statistics)))
        batches[l.aggregator].emplace_back(s, &l.pending);
  for (const auto& [to, batch] : batches) append_report(Level::aggregator, to, batch, out);
}

void ShadowCoordinator::report_to_collectors(bool is_round, std::vector<Report>& out) {
  Batch batch;
  for (std::uint32_t s = 0; s < config_.shards; ++s)
    if (is_round ? aggregates_[s].rounds_left > 0
                 : aggregates_[s].urgent.is_due(aggregates_[s].statistics))
      batch.emplace_back(s, &aggregates_[s]);
  for (const auto& to : collectors_)
    if (to != self_) append_report(Level::collector, to, batch, out);
}

std::vector<ShadowCoordinator::Report> ShadowCoordinator::drain_reports(Time now) {
  std::vector<Report> out;
  if (!is_started_) return out;
  const bool is_aggregator_round = now >= aggregator_report_time_,
             is_collector_round = now >= collector_report_time_;
  const bool is_urgent = has_urgent_events_ && now >= next_urgent_time_;
  if (is_urgent) has_urgent_events_ = false;
  if (is_aggregator_round || is_urgent) report_to_aggregators(is_aggregator_round, out);
  if (is_collector_round || is_urgent) report_to_collectors(is_collector_round, out);
  if (is_urgent && !out.empty()) next_urgent_time_ = now + kMinUrgentInterval;
  if (is_aggregator_round) aggregator_report_time_ = now + config_.aggregator_interval();
  if (is_collector_round) collector_report_time_ = now + config_.collector_interval();
  return out;
}

bool ShadowCoordinator::receive_report(Time now, Origin from, std::string_view bytes) {
  ++stats_.reports_received;
  // Accepts at most max_reports_per_s in any second.
  while (!recent_report_times_.empty() &&
         now - recent_report_times_.front() >= std::chrono::seconds(1))
    recent_report_times_.pop_front();
  if (static_cast<double>(recent_report_times_.size()) + 1 > config_.max_reports_per_s)
    return ++stats_.dropped, false;
  recent_report_times_.push_back(now);
  const auto reject = [&] { return ++stats_.rejected, false; };
  if (bytes.size() < kReportHeaderBytes || bytes.size() > kMaxRecordValueBytes ||
      from.node == self_.node)
    return reject();
  const auto level = static_cast<Level>(bytes[0]);
  const auto incarnation = static_cast<std::uint16_t>(static_cast<std::uint8_t>(bytes[1]) << 8U |
                                                      static_cast<std::uint8_t>(bytes[2]));
  const auto decoded = decode_statistics(bytes.substr(kReportHeaderBytes));
  if ((level != Level::aggregator && level != Level::collector) ||
      incarnation != self_.incarnation || !decoded || decoded->version != version_ ||
      decoded->shards.back().first >= config_.shards)
    return reject();
  // Local counts are accepted from this node's group only: counted in two groups, they would count
  // twice.
  if (level == Level::aggregator && config_.group_of(from.node) != config_.group_of(self_.node))
    return reject();
  for (const auto& [shard, statistics] : decoded->shards) {
    if (level == Level::collector)
      merge_known(from, shard, statistics);
    else if (received_.merge(from, shard, statistics))
      update_aggregate(shard);
  }
  return true;
}

std::vector<ShadowCoordinator::PendingRecord> ShadowCoordinator::drain_records(Time now,
                                                                               std::uint8_t space) {
  std::vector<PendingRecord> due;
  if (!is_started_) return due;
  const bool is_round = now >= record_time_;
  if (is_round) record_time_ = now + config_.record_interval();
  const bool is_collector = std::ranges::find(collectors_, self_) != collectors_.end();
  if (!is_round && !is_collector) return due;
  known_.for_each([&](std::uint32_t shard, const Origin& o, const ShardStatistics& statistics) {
    if (o == self_ ? !is_round : !is_collector || is_live(o)) return;
    auto& r = recorded_[{shard, o}];
    if (r == statistics) return;
    r = statistics;
    const ShardEntry one{shard, statistics};
    std::size_t from = 0;
    due.push_back({{space, record_number(version_, shard, o)},
                   event_count(statistics),
                   encode_statistics(version_, std::span(&one, 1), from)});
  });
  return due;
}

bool ShadowCoordinator::apply_record(const RecordKey& key, std::string_view value) {
  const auto decoded = decode_statistics(value);
  if (!decoded || decoded->version != version_ || decoded->shards.size() != 1) return false;
  const auto& [shard, statistics] = decoded->shards.front();
  const Origin aggregator{MemberId(static_cast<std::uint16_t>(key.number >> kNodeShift)),
                          static_cast<std::uint16_t>(key.number)};
  if (key.number != record_number(version_, shard, aggregator) ||
      !merge_known(aggregator, shard, statistics))
    return false;
  recorded_[{shard, aggregator}].merge(statistics);
  return true;
}

std::vector<std::string> ShadowCoordinator::save_state() const {
  std::vector<std::string> all;
  const auto append = [&](char part, std::uint32_t shard, const Origin& o,
                          const ShardStatistics& statistics) {
    if (statistics.empty()) return;
    const ShardEntry one{shard, statistics};
    std::size_t from = 0;
    std::string entry(1, part);
    for (const auto n : {static_cast<std::uint16_t>(o.node), o.incarnation}) {
      entry += static_cast<char>(static_cast<std::uint8_t>(n >> 8U));
      entry += static_cast<char>(static_cast<std::uint8_t>(n));
    }
    all.push_back(entry + encode_statistics(version_, std::span(&one, 1), from));
  };
  for (std::uint32_t s = 0; s < config_.shards; ++s)
    for (const auto& l : local_counts_[s])
      append(kLocalCountsPart, s, l.aggregator, l.pending.statistics);
  received_.for_each([&](std::uint32_t s, const Origin& o, const ShardStatistics& statistics) {
    append(kReceivedPart, s, o, statistics);
  });
  known_.for_each([&](std::uint32_t s, const Origin& o, const ShardStatistics& statistics) {
    append(kKnownPart, s, o, statistics);
  });
  return all;
}

bool ShadowCoordinator::restore_state(std::span<const std::string> state) {
  bool is_valid = true;
  for (const std::string_view entry : state) {
    const auto decoded = entry.size() < kEntryHeaderBytes
                             ? std::nullopt
                             : decode_statistics(entry.substr(kEntryHeaderBytes));
    if (!decoded || decoded->version != version_ ||
        decoded->shards.front().first >= config_.shards) {
      is_valid = false;
      continue;
    }
    const auto read_u16 = [&](std::size_t at) {
      return static_cast<std::uint16_t>(static_cast<std::uint8_t>(entry[at]) << 8U |
                                        static_cast<std::uint8_t>(entry[at + 1]));
    };
    const Origin o{MemberId(read_u16(1)), read_u16(3)};
    const auto& [shard, statistics] = decoded->shards.front();
    switch (entry.front()) {
      case kLocalCountsPart:
        local_counts_[shard].push_back({o, {statistics, kReportRepeats, {}}});
        break;
      case kReceivedPart:
        received_.merge(o, shard, statistics);
        update_aggregate(shard);
        break;
      case kKnownPart: merge_known(o, shard, statistics); break;
      default: is_valid = false;
    }
  }
  return is_valid;
}

}  // namespace petrelrail::fleet
