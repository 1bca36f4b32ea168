// Verdicts on a candidate shard map: evaluates the statistics of its shards by sequential tests,
// and encodes and merges the verdicts that the lease holder publishes. A verdict is final for its
// map version. Error rates: docs/shadow.md. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shadow_statistics.hpp"

namespace petrelrail::fleet {

enum class Finding : std::uint8_t { undecided, same, differs, slower, failing };
enum class MapFinding : std::uint8_t { undecided, may_be_used, must_not };
const char* name_of(Finding finding);
const char* name_of(MapFinding finding);

// Bounds the probability of any wrong finding against a map, over all shards and kinds of findings,
// and that of a wrong "may be used".
inline constexpr double kMaxErrorRate = 0.01;

// A finding of "same" requires that the share of lookups with a worse result than at the control is
// below these fractions.
struct Tolerances {
  double differs = 0.001, failing = 0.001;
  double slower = 0.05;  // slower than an edge of the histogram; "slower" requires more than this
};
// Throws std::invalid_argument that names the field.
void validate(const Tolerances& tolerances);

// Evaluates one shard of a map with `shards` shards.
Finding evaluate_shard(const ShardStatistics& statistics, std::uint32_t shards,
                       const Tolerances& tolerances);
// Evaluates the map from the findings and statistics of all its shards.
MapFinding evaluate_map(std::span<const Finding> new_verdicts,
                        std::span<const ShardStatistics> statistics);

inline constexpr std::uint16_t kWholeMap = 0xFFFF;  // in place of a shard number

struct PublishedVerdict {
  std::uint32_t version = 0;
  std::uint16_t shard = 0;   // or kWholeMap
  std::uint8_t finding = 0;  // a Finding or, for the map, a MapFinding; never undecided
  std::uint64_t term = 0;    // lease term of the publisher
  bool operator==(const PublishedVerdict&) const = default;
};
std::string encode(const PublishedVerdict& verdict);
std::optional<PublishedVerdict> decode_verdict(std::string_view bytes);

// The verdicts on one map version that a node knows. The result does not depend on the order of
// merging: of two verdicts on a shard, the one with the older lease term wins.
class ShadowVerdicts {
 public:
  ShadowVerdicts(std::uint32_t version, std::uint32_t shards)
      : version_(version), shards_(shards) {}
  // Returns whether the verdicts changed; false for another version or an unknown shard.
  bool merge(const PublishedVerdict& verdict);
  Finding shard_finding(std::uint32_t shard) const {
    return static_cast<Finding>(shards_.at(shard).finding);
  }
  MapFinding map_finding() const { return static_cast<MapFinding>(map_verdict_.finding); }
  // True when the shard must not be copied any more.
  bool is_decided(std::uint32_t shard) const {
    return map_finding() != MapFinding::undecided || shard_finding(shard) != Finding::undecided;
  }
  std::uint64_t latest_term() const { return latest_epoch_; }
  std::uint32_t version() const { return version_; }
  std::vector<PublishedVerdict> all() const;

 private:
  std::uint32_t version_;
  std::vector<PublishedVerdict> shards_;
  PublishedVerdict map_verdict_;
  std::uint64_t latest_epoch_ = 0;
};

// Returns the verdicts that the lease holder of this term has to publish beyond the known ones.
// Returns nothing if a verdict with a later term is known, if the statistics are of another map
// version, or once the map has a verdict. The caller records each verdict, which counts as
// published when its record is replicated to the required copies.
std::vector<PublishedVerdict> new_verdicts(std::uint64_t term, const StatisticsTable& statistics,
                                           const ShadowVerdicts& known,
                                           const Tolerances& tolerances);

}  // namespace petrelrail::fleet
