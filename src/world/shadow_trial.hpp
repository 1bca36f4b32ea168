// Simulates shadow traffic for a candidate shard map, to measure how often its verdict is wrong and
// how soon it is reached. Has two models: the statistics alone, for the error rates of the tests,
// and a fleet of src/fleet Shadow objects with datagrams that get lost. Single-threaded; the same
// seed gives the same result.
#pragma once

#include <cstdint>
#include <optional>

#include "fleet/shadow_verdict.hpp"

namespace petrelrail::world {

// The true behaviour of the two routes, as shares of lookups from 0 to 1.
struct ShadowGroundTruth {
  std::uint32_t shards = 64;
  // At either route. A lookup differs because its value was published meanwhile, in bursts of a
  // shard.
  double published_share = 0.0002, failing_share = 0.0001;
  // At the candidate alone, in addition.
  double candidate_differing_share = 0, candidate_failing_share = 0;
  double candidate_slow_share = 0;                // takes eight times as long
  std::optional<std::uint32_t> affected_shard{};  // where the candidate deviates; none: everywhere
};

struct ShadowTrialConfig {
  ShadowGroundTruth truth;
  std::uint64_t max_copies = 8'000'000;
  std::uint64_t copies_per_evaluation = 500;  // after 100 evaluations the interval is 2% of all
                                              // copies if longer
};
struct ShadowTrialResult {
  fleet::MapFinding map{};
  std::uint64_t copies = 0;  // until the finding; without one, all
  std::uint32_t worse_shards = 0, same_shards = 0;
};
// Runs the statistics alone, without delays, and evaluates them repeatedly. Shards have unequal
// traffic: the share of shard s is proportional to 1 / (8 + s).
ShadowTrialResult run_shadow_trial(const ShadowTrialConfig& config, std::uint64_t seed);

struct ShadowFleetConfig {
  ShadowGroundTruth truth;
  std::uint32_t nodes = 300;
  double lookups_per_s = 10;  // by each node
  std::uint32_t slice_ppm = 50'000;
  double extra_work = 0.06;  // above the slice, so that only the slice limits the copies
  double loss = 0.01;        // of datagrams
  double min_delay_s = 0.0005, max_delay_s = 0.005;  // of a datagram
  double duration_s = 600;
  double crash_time_s = 0;  // when the holder and one node in ten crash; 0: never
  double idle_time_s = 0;   // when lookups end; 0: never
};
struct ShadowFleetResult {
  std::optional<double> verdict_time_s;  // until the holder publishes a verdict on the map
  std::uint64_t copies = 0;              // by the fleet until then; without a verdict, all
  // For `affected_shard`, from when the copies made so far suffice as evidence against it:
  // detection_delay_s until the holder publishes that, stop_delay_s until every node knows, after
  // which no node makes copies.
  std::optional<double> detection_delay_s, stop_delay_s;
  double max_messages_per_s = 0;  // statistics messages that one node accepts in a second
  std::uint64_t messages = 0, dropped = 0, counted_copies = 0,
                lost_copies = 0;  // made, but unknown to the holder at the end
  std::uint32_t record_keys = 0;  // that exist at the end
  bool has_overcount = false;  // the holder at some time counted more copies of a shard than were
                               // made
};
ShadowFleetResult run_shadow_fleet(const ShadowFleetConfig& config, std::uint64_t seed);

}  // namespace petrelrail::world
