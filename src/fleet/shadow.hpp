// Shadow traffic of one node for a candidate shard map: decides which lookups are copied and to
// which arm, records the comparisons and stops decided shards (docs/shadow.md). Does no I/O and has
// no clock or randomness; the caller sends the copies. Single-threaded.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "petrelrail/settings.hpp"
#include "shadow_coordinator.hpp"
#include "shadow_map.hpp"
#include "shadow_verdict.hpp"

namespace petrelrail::fleet {

struct ShadowConfig {
  ShadowMapConfig map;
  Tolerances tolerances;
  double
      max_copy_ratio = 0.02;  // copies per lookup, at most, over any period since the node's start
  bool operator==(const ShadowConfig&) const;
};
// Throws std::invalid_argument that names the field.
void validate(const ShadowConfig& config);

// State of the node. Lookups are copied only while all of these hold.
struct NodeConditions {
  bool is_counter_reachable = false;
  bool are_zones_available = false;  // no zone is lost
  bool are_servers_warm = false;     // no server is in its slow start
  bool are_requests_on_time = false;
};

struct Lookup {
  std::string_view path;
  std::string_view request_id;  // the client's X-Request-ID
  Idempotency idempotency = Idempotency::non_idempotent;
  bool is_copy_permitted = false;
  bool has_attempt_left = false;  // beyond those that the request may still need
  // Free slots below the customer's limit of open attempts, with this request's attempt counted;
  // empty without a limit.
  std::optional<std::uint32_t> open_slots{};
};

// The caller's view of the servers.
class CellView {
 public:
  virtual bool is_cell_usable(
      std::uint32_t cell) const = 0;  // a server listed in the cell takes attempts
  virtual bool has_control_server()
      const = 0;  // another server of the current route than the lookup's

 protected:
  ~CellView() = default;
};

// Why a lookup was not copied, or `copied`.
enum class SkipReason : std::uint8_t {
  copied,
  not_in_slice,
  ended,       // the shard or the map has a verdict
  unsuitable,  // not safe to repeat, copies not permitted, no attempt left
  conditions,
  open_cap,
  no_cell,     // no usable server in the mapped cell
  no_control,  // no second server of the current route
  budget
};
inline constexpr std::size_t kSkipReasons = 9;
const char* name_of(SkipReason reason);

struct CopyDecision {
  CopyTarget target = CopyTarget::none;
  SkipReason reason = SkipReason::not_in_slice;
  std::uint32_t version = 0, shard = 0;
  std::uint32_t cell = 0;  // mapped cell, target of a copy to the candidate
};

// Response to a lookup or to its copy.
struct ResponseSummary {
  bool is_complete = false;  // false: none, truncated, or too late
  std::uint16_t status = 0;
  std::uint64_t length = 0;
  Digest digest;
  Duration latency{};
  bool is_success() const;  // complete and not a server error
};

// A difference at the candidate's cell, shown to operators.
struct Example {
  std::string path;  // its first kMaxExamplePathBytes bytes
  ResponseSummary primary, copy;
};
inline constexpr std::size_t kMaxExamples = 10, kMaxExamplePathBytes = 200;

class ShadowTraffic {
 public:
  struct Stats {
    std::uint64_t lookups = 0;
    std::array<std::uint64_t, kSkipReasons> by_reason{};
    std::uint64_t compared = 0, differing = 0, failed = 0;  // copies to both arms
    std::uint64_t unpaired = 0;  // copies left out, as the client's response was not a success
    std::uint64_t outdated = 0;  // comparisons for another map version
  };

  // Throws std::invalid_argument for an invalid configuration.
  ShadowTraffic(const ShadowConfig& config, std::uint32_t nodes, Origin self);

  // Decides whether to copy a lookup that is forwarded to its regular server. The caller must send
  // the copy and report its result to record_comparison().
  CopyDecision decide(const Lookup& lookup, const NodeConditions& conditions,
                      const CellView& cells);
  void record_comparison(const CopyDecision& decision, std::string_view path,
                         const ResponseSummary& primary, const ResponseSummary& copy);

  // Merges an encoded verdict from a record or a datagram, which ends the copies of its shard.
  // Returns whether it was a verdict on this map version.
  bool receive_verdict(std::string_view value);
  // Called by the lease holder of this term. Returns the verdicts that have not been published;
  // they apply on this node at once, and the caller records each and sends it to all nodes.
  std::vector<PublishedVerdict> publish_verdicts(std::uint64_t term);

  const ShadowMap& map() const { return map_; }
  const ShadowConfig& config() const { return config_; }
  const ShadowVerdicts& verdicts() const { return verdicts_; }
  ShadowCoordinator& coordinator() { return coordinator_; }
  const ShadowCoordinator& coordinator() const { return coordinator_; }
  const std::vector<Example>& examples(std::uint32_t shard) const { return examples_.at(shard); }
  const Stats& stats() const { return stats_; }

 private:
  SkipReason skip_reason(const Lookup& lookup, const NodeConditions& conditions,
                         const CellView& cells, std::uint32_t shard) const;

  ShadowConfig config_;
  ShadowMap map_;
  ShadowVerdicts verdicts_;
  ShadowCoordinator coordinator_;
  double budget_ = 0;  // copies
  std::vector<std::vector<Example>> examples_;
  Stats stats_;
};

// Returns the key of a verdict's record. Verdicts of two lease holders on one shard have different
// records; ShadowVerdicts decides which one applies.
RecordKey verdict_record_key(const PublishedVerdict& verdict, std::uint8_t space);

}  // namespace petrelrail::fleet
