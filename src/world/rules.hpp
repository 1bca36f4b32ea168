// Checks the invariants of WIRE, "Lines not to cross", PROTOCOL, "The rules on sockets", and TERMS
// on the observations of a run. Both runtimes use this checker; it relies on nothing a node
// reports.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "observations.hpp"

namespace petrelrail::world {

struct InvariantConfig {
  // Allowance of WIRE, and 50 ms for delays on sockets.
  Duration answer_slack = std::chrono::milliseconds(16 + 50);
  Duration lost_after = std::chrono::milliseconds(500);  // past its deadline a request is lost
  // Delay on sockets between the arrival of a first byte and its reading.
  Duration read_delay = std::chrono::milliseconds(50);
  Duration drain_grace = std::chrono::milliseconds(1000 + 50);
  Duration ceiling_slack = std::chrono::milliseconds(150);  // allows the ceiling's rate times this
  // Share of the work that overloaded a cold server, from nodes notified of its start, at or above
  // which the nodes are at fault.
  double min_informed_share = 2.0 / 3;
  std::uint32_t max_attempts = 3;
  bool second_copies = true;
  Idempotency idempotency = Idempotency::idempotent;  // of every class
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Duration deduplication_window = std::chrono::seconds(5);
  std::uint32_t max_datagram_bytes = 256;
  std::vector<Plan> plans;
  // An attempt that starts later than this after its client has disconnected violates the rule of
  // one final answer; 50 ms of it allow for delays on sockets.
  Duration disconnect_slack = std::chrono::milliseconds(100 + 50);
};

struct Violation {
  Time at{};
  std::string rule, description;
};

class InvariantChecker {
 public:
  explicit InvariantChecker(InvariantConfig config) : config_(std::move(config)) {}

  // Observations must come in order of time.
  void observe(Time now, const Observation& s);
  // Checks and removes requests whose deadline is past. Called periodically and at the end of a
  // run.
  void check_expired(Time now);
  const std::vector<Violation>& violations() const { return violations_; }
  // Units of all forwarded requests, and of those over the customer's quota. Requests over the
  // quota have a cost and violate no invariant.
  double units_forwarded() const { return units_forwarded_; }
  double units_over_quota() const { return units_over_quota_; }
  // Whether the first attempt of this client attempt was within the quota when it arrived whole at
  // a price server.
  bool is_within_quota(ClientAttemptId id) const;

 private:
  struct TokenBucket {
    double tokens = 0;
    Time at{};
    double level(Time now, double rate, double capacity) const;
  };
  struct CustomerPlan {  // each plan of a customer has quotas of its own
    TokenBucket quota, ceiling, windows;
    bool initialized = false;
    std::uint64_t resets = 0;  // counter resets for which `windows` has been refilled
  };
  struct Attempt {
    EndpointId server{};
    std::uint64_t number = 0;
    Time at{};
    bool in_flight = true, never_ran = false;
  };
  struct OpenAttempt {  // a client attempt, kept until some time after its deadline
    ClientAttemptSent sent;
    Time at{};
    bool received = false, answered = false, ended = false, over_time = false, within_quota = false,
         counted = false;
    std::vector<Attempt> attempts;
    Time disconnected_at = Time::max();  // when its client disconnected
  };
  struct Announcement {
    EndpointPhase phase{};
    Time at{};
  };
  struct Location {
    std::uint32_t zone = 0, cell = 0;
  };

  void on(Time now, const ClientAttemptSent& s);
  void on(Time now, const ClientAttemptReceived& s);
  void on(Time now, const ClientAttemptAnswered& s);
  void on(Time now, const ClientAttemptBroken& s);
  void on(Time now, const ClientAttemptUnreachable& s);
  void on(Time now, const ClientAttemptAbandoned& s);
  void on(Time now, const NodeDown& s);
  void on(Time now, const ServerAnnounced& s);
  void on(Time now, const ServerStarted& s);
  void on(Time now, const ServerOverloadedCold& s);
  void on(Time now, const AttemptArrived& s);
  void on(Time now, const AttemptCompleted& s);
  void on(Time now, const CounterReset& s);
  void on(Time now, const Datagram& s);
  template <class Other>
  void on(Time, const Other&) {}

  void add_violation(Time now, const char* rule, std::string description);
  void check_copies(Time now, const OpenAttempt& open, const AttemptArrived& s);
  void check_quota(Time now, OpenAttempt& open);
  static std::string text(ClientAttemptId id);

  InvariantConfig config_;
  std::unordered_map<ClientAttemptId, OpenAttempt> open_;
  // In order of deadline plus the allowed delay.
  std::deque<std::pair<Time, ClientAttemptId>> expiries_;
  std::map<std::uint32_t, std::set<ClientAttemptId>> unanswered_;  // received, by node
  std::map<std::pair<std::uint32_t, EndpointId>, Announcement> announcements_;
  std::map<std::uint32_t, Time> down_at_;  // when a node last ended
  std::map<EndpointId, Location> locations_;
  std::map<std::pair<CustomerId, std::uint32_t>, CustomerPlan> customer_plans_;
  std::unordered_map<CustomerId, std::uint32_t> attempts_in_flight_;
  std::uint64_t counter_resets_ = 0;
  std::vector<Violation> violations_;
  double units_forwarded_ = 0, units_over_quota_ = 0;
};

}  // namespace petrelrail::world
