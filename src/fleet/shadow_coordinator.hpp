// Aggregates the statistics of shadow copies over the fleet without a record per node and shard.
// Nodes form groups; in each group one node per shard, the aggregator, adds up the group's counts
// and reports to the collectors (docs/shadow.md, "Reports"). One object per node and map version;
// does no I/O and reads no clock. The times of reports must not depend on the arm in which an event
// occurred, as the sequential tests assume that.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"
#include "shadow_map.hpp"
#include "shadow_statistics.hpp"

namespace petrelrail::fleet {

// Parameters from which the report intervals follow.
struct ReportConfig {
  std::uint32_t nodes = 1;        // nodes of the tier
  std::uint32_t shards = 1;       // shards of the map
  double max_reports_per_s = 10;  // reports that a node may receive, at both levels together

  std::uint32_t groups() const;
  std::uint32_t group_of(MemberId node) const;
  Duration aggregator_interval() const;  // a node sends each aggregator at most one datagram in it
  Duration collector_interval()
      const;  // an aggregator sends each collector at most one datagram in it
  Duration record_interval()
      const;  // an aggregator rewrites each of its records at most once in it
};
// Throws std::invalid_argument that names the field.
void validate(const ReportConfig& config);

// Returns the aggregator of a shard among the live nodes, given in any order; empty if the group
// has no live node.
std::optional<Origin> choose_aggregator(std::uint32_t shard, std::uint32_t group,
                                        const ReportConfig& config, std::span<const Origin> live);

inline constexpr std::size_t
    kMaxAggregators = 8;  // per shard and group, over the lifetime of a map version

class ShadowCoordinator {
 public:
  struct Report {
    Origin to;
    std::string bytes;  // at most kMaxRecordValueBytes
  };
  struct Stats {
    std::uint64_t reports_received = 0,
                  rejected = 0;    // rejected: malformed, or for another map version or incarnation
    std::uint64_t dropped = 0;     // above max_reports_per_s
    std::uint64_t overflowed = 0;  // counts and reports lost, as a shard had kMaxAggregators
  };

  // Throws what validate() throws.
  ShadowCoordinator(const ReportConfig& config, Origin self, std::uint32_t version);

  // Called after each change of the live nodes, which include this node, and of the collectors, to
  // which aggregators report: the lease holder, if known, and its first successor, in another zone
  // if there is one, so that the statistics survive the failure of either.
  void set_live_nodes(Time now, std::span<const Origin> live);
  void set_collectors(std::span<const Origin> collectors);

  // Records the end of a copy; without a latency it failed.
  void record_copy(std::uint32_t shard, CopyTarget target, std::optional<Duration> latency,
                   bool is_different);

  // Returns the reports to send now. Call it at next_time() or soon after, and after failures and
  // differences.
  std::vector<Report> drain_reports(Time now);
  Time next_time() const {
    return std::min({aggregator_report_time_, collector_report_time_, record_time_});
  }
  // Handles a report of another node, identified by the datagram's header. Returns whether the
  // report was accepted.
  bool receive_report(Time now, Origin from, std::string_view bytes);

  // Returns the records to write now: this node's statistics as an aggregator and, on a collector,
  // also those of aggregators that are no longer live. All use one lease term, and `sequence` as
  // the sequence of the record version: of two values of a key, the one with higher counts has the
  // higher sequence.
  struct PendingRecord {
    RecordKey key;
    std::uint32_t sequence = 0;
    std::string value;
  };
  std::vector<PendingRecord> drain_records(Time now, std::uint8_t space);
  // Merges a record of statistics from any writer. Returns whether it was valid.
  bool apply_record(const RecordKey& key, std::string_view value);

  // Hand-over to the process that replaces this one under the same incarnation, whose counts must
  // not decrease. Copies recorded after save_state() are lost. Call restore_state() before
  // set_live_nodes(); it returns false if it skipped invalid entries.
  std::vector<std::string> save_state() const;
  bool restore_state(std::span<const std::string> state);

  // Statistics that this node knows, by shard and aggregator; the lease holder evaluates them.
  const StatisticsTable& known() const { return known_; }
  const Stats& stats() const { return stats_; }

 private:
  // Number of failures and differences last reported, over both arms (see the head of this file).
  struct UrgentEvents {
    std::uint64_t reported = 0;
    static std::uint64_t events(const ShardStatistics& s);
    bool is_due(const ShardStatistics& s) const;
  };
  struct PendingReport {  // repeated for several rounds after the last change, as datagrams can get
                          // lost
    ShardStatistics statistics;
    std::uint32_t rounds_left = 0;
    UrgentEvents urgent;
  };
  struct LocalCounts {  // copies of this node in one shard, for one aggregator
    Origin aggregator;
    PendingReport pending;
  };
  enum class Level : std::uint8_t { aggregator = 3, collector = 4 };

  bool is_live(const Origin& o) const { return std::ranges::binary_search(live_nodes_, o); }
  LocalCounts* local_counts(std::uint32_t shard);
  bool merge_known(const Origin& aggregator, std::uint32_t shard,
                   const ShardStatistics& statistics);
  void update_aggregate(std::uint32_t shard);
  std::uint32_t repeat_count() const;  // reports to collectors after a change, over all collectors
  using Batch = std::vector<std::pair<std::uint32_t, PendingReport*>>;  // ascending by shard
  void append_report(Level level, const Origin& to, const Batch& batch, std::vector<Report>& out);
  void report_to_aggregators(bool is_round, std::vector<Report>& out);
  void report_to_collectors(bool is_round, std::vector<Report>& out);

  ReportConfig config_;
  Origin self_;
  std::uint32_t version_;
  std::vector<Origin> live_nodes_;  // sorted
  std::vector<Origin> collectors_;
  std::vector<std::optional<Origin>> aggregators_;      // of this node's group, by shard
  std::vector<std::vector<LocalCounts>> local_counts_;  // by shard
  std::vector<PendingReport>
      aggregates_;            // by shard: group totals as an aggregator, for the collectors
  StatisticsTable received_;  // counts received as an aggregator, by sender
  StatisticsTable known_;     // by aggregator
  std::map<std::pair<std::uint32_t, Origin>, ShardStatistics> recorded_;
  std::map<std::pair<Level, Origin>, std::uint32_t> next_shard_;  // first shard of the next report
  bool is_started_ = false;
  Time aggregator_report_time_{}, collector_report_time_{}, record_time_{};
  bool has_urgent_events_ = false;        // failures or differences since the last urgent reports
  Time next_urgent_time_{};               // earliest time of the next urgent reports
  std::deque<Time> recent_report_times_;  // times of reports accepted within the last second
  Stats stats_;
};

}  // namespace petrelrail::fleet
