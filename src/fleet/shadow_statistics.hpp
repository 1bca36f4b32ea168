// Statistics of shadow copies by shard. Counters only increase and merging takes the maximum of
// each counter of an origin, so that the result does not depend on order, repetition or delay.
// Layout: docs/shadow.md, "What a sum looks like". Used by the coordinator and the verdicts; does
// no I/O.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "petrelrail/types.hpp"
#include "sequential.hpp"

namespace petrelrail::fleet {

// Latency histogram: the first bin ends at kFirstBinEdge, each further edge is twice the one
// before, the last bin is unbounded.
inline constexpr std::size_t kLatencyBins = 16;
inline constexpr Duration kFirstBinEdge = std::chrono::microseconds(250);
std::size_t latency_bin(Duration latency);
Duration upper_edge(std::size_t bin);  // Duration::max() for the last bin

struct ArmStatistics {          // of the copies sent to one arm
  std::uint32_t failed = 0;     // no complete response, or a server error
  std::uint32_t differing = 0;  // answered, but different from the client's response
  std::array<std::uint32_t, kLatencyBins> latencies{};

  std::uint64_t answered() const;
  std::uint64_t copies() const { return answered() + failed; }
  std::uint64_t answered_within(
      std::size_t bin) const;  // with a latency up to the bin's upper edge
  // Returns the upper edge of the bin that contains this percentile (fraction from 0 to 1); empty
  // without answers.
  std::optional<Duration> percentile(double fraction) const;
  bool operator==(const ArmStatistics&) const = default;
};

struct ShardStatistics {
  ArmStatistics candidate, control;

  void merge(const ShardStatistics& other);  // for the same origin
  void add(const ShardStatistics& other);    // for another origin; saturates
  bool empty() const { return *this == ShardStatistics{}; }
  Trial failures() const;
  Trial differences() const;
  Trial answered_within(std::size_t bin) const;
  Trial slower_than(std::size_t bin) const;  // all other copies, including failed ones
  bool operator==(const ShardStatistics&) const = default;
};

using ShardEntry = std::pair<std::uint32_t, ShardStatistics>;
struct ShadowStatistics {
  std::uint32_t version = 0;
  std::vector<ShardEntry> shards;  // ascending by shard, none empty
};
// Encodes as many entries as fit into `max_bytes`, starting at index `from`, and advances `from`
// past them. At least one always fits into kMaxRecordValueBytes.
std::string encode_statistics(std::uint32_t version, std::span<const ShardEntry> entries,
                              std::size_t& from, std::size_t max_bytes = kMaxRecordValueBytes);
// Returns nothing for bytes that encode_statistics does not produce.
std::optional<ShadowStatistics> decode_statistics(std::string_view bytes);

struct Origin {  // one process instance of a node
  MemberId node{};
  std::uint16_t incarnation = 0;
  auto operator<=>(const Origin&) const = default;
};

// Statistics of one map version by shard and origin.
class StatisticsTable {
 public:
  StatisticsTable(std::uint32_t version, std::uint32_t shards)
      : version_(version), shards_(shards) {}
  // Returns whether the table changed; false for a shard that the map does not have.
  bool merge(const Origin& origin, std::uint32_t shard, const ShardStatistics& statistics);
  ShardStatistics total(std::uint32_t shard) const;
  std::vector<ShardStatistics> totals() const;
  std::size_t origin_count(std::uint32_t shard) const;
  bool contains(const Origin& origin, std::uint32_t shard) const {
    return by_origin_.contains({shard, origin});
  }
  template <class Visit>  // called with (shard, origin, statistics)
  void for_each(Visit visit) const {
    for (const auto& [key, statistics] : by_origin_) visit(key.first, key.second, statistics);
  }
  std::uint32_t version() const { return version_; }
  std::uint32_t shards() const { return shards_; }

 private:
  std::uint32_t version_, shards_;
  std::map<std::pair<std::uint32_t, Origin>, ShardStatistics> by_origin_;
};

}  // namespace petrelrail::fleet
