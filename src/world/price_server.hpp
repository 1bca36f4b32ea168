// Simulates one price server: cores shared evenly by the requests being processed, slots, a queue,
// and a capacity that grows after a start (PROTOCOL, "Edge nodes to price servers"; for cold starts
// WIRE, "Lines not to cross" 4). Work is in seconds on a reference core. The caller passes in the
// time, which must not decrease.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "scenario.hpp"

namespace petrelrail::world {

enum class JobId : std::uint64_t {};

class PriceServer {
 public:
  enum class Phase {
    gone,
    serving,
    draining,
    unresponsive,  // sends nothing, not even a reset
    crashed        // overloaded while cold
  };
  struct Done {
    JobId job{};
    bool served = true;  // false: rejected because its deadline passed while it was queued
    Time at{};
  };

  PriceServer(const ServerConfig& config, double speed, std::uint32_t slots, std::uint32_t queue);

  // Starts with `initial_share` of the full capacity, which grows to all of it within `warm_up`; a
  // `warm_up` of 0 starts the server warm.
  void start(Time now, double initial_share, Duration warm_up);
  void drain() { phase_ = Phase::draining; }
  // Drops all requests and connections.
  void stop(Phase as);
  Phase phase() const { return phase_; }
  bool is_reachable() const { return phase_ == Phase::serving || phase_ == Phase::draining; }
  void set_slowdown(double factor) { slowdown_ = factor; }  // 1: the configured speed

  // Called when the last byte of a request has arrived. Returns false if the request is rejected.
  bool accept(Time now, JobId job, double work, Time deadline);
  void cancel(Time now, JobId job);  // the request's connection ended; processing stops
  // Records work that arrived, rejected or not; `informed`: its node had been notified of this
  // server's start. Returns true if a cold server is overloaded by it and has crashed; then
  // informed_share() is the share of the work sent by informed nodes.
  bool record_load(Time now, double work, bool informed);
  double informed_share() const { return informed_share_; }

  // A full table of connections takes capacity: `full_tax`.
  void set_connections(std::uint32_t open) { connections_ = open; }
  std::uint32_t max_connections() const;

  // When advance() must be called next if nothing else arrives; none if no request is processed.
  std::optional<Time> next_event_time() const;
  // Processes up to `now` and returns the requests completed or rejected.
  std::vector<Done> advance(Time now);

  // Reference work per second, in seconds: at `now` and when warm.
  double capacity(Time now) const;
  double full_capacity() const { return config_.cores * speed_; }
  bool is_cold(Time now) const { return now < started_at_ + warm_up_; }
  std::size_t request_count() const { return working_.size() + waiting_.size(); }

 private:
  struct QueuedRequest {
    JobId job{};
    double work = 0;
    Time deadline{};
  };
  double rate_per_request(Time now) const;  // reference work per second of each running request
  void start_queued(Time now, std::vector<Done>* rejected);

  ServerConfig config_;
  double speed_;
  std::uint32_t slots_, queue_;
  Phase phase_ = Phase::gone;
  double slowdown_ = 1;
  Time started_at_ = Time{}, advanced_to_{};
  Duration warm_up_{};
  double initial_share_ = 1;
  std::uint32_t connections_ = 0;
  // All running requests progress at the same rate: `progress_` is the work that one running since
  // the start would have received, and a request completes when it reaches its finish mark.
  double progress_ = 0;
  std::set<std::pair<double, JobId>> working_;
  std::unordered_map<JobId, double> finish_marks_;
  std::deque<QueuedRequest> waiting_;
  struct Load {
    Time at{};
    double work = 0;
    bool informed = false;
  };
  std::deque<Load> recent_load_;  // within the last `fall_s`, while cold
  double informed_share_ = 0;
};

}  // namespace petrelrail::world
