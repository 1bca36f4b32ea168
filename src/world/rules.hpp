// The rules as WIRE, "Lines not to cross", PROTOCOL, "The rules on sockets", and TERMS word them,
// checked on what the world saw. One checker for both carriers.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "seen.hpp"

namespace petrelrail::world {

struct RuleTerms {
  Duration answer_slack = std::chrono::milliseconds(16 + 50);  // WIRE's, and 50 ms on sockets
  Duration lost_after = std::chrono::milliseconds(500);        // beyond its time a request is lost
  Duration read_late = std::chrono::milliseconds(
      50);  // that a first byte is read after it came: the sockets'
  Duration drain_grace = std::chrono::milliseconds(1000 + 50);
  Duration ceiling_slack = std::chrono::milliseconds(150);  // the ceiling's rate over so long
  double told_share = 2.0 / 3;  // of what pushed a cold server over, from nodes that were told
  std::uint32_t max_attempts = 3;
  bool second_copies = true;
  Idempotency effect = Idempotency::idempotent;  // of every class
  DeduplicationScope group = DeduplicationScope::all;
  Duration memory_span = std::chrono::seconds(5);
  std::uint32_t most_bytes = 256;
  std::vector<Plan> plans;
  // An attempt that begins so long after its client has closed is a lost request; 50 ms of it are
  // the sockets'.
  Duration left_slack = std::chrono::milliseconds(100 + 50);
};

struct Breach {
  Time at{};
  std::string rule, what;
};

class Rules {
 public:
  explicit Rules(RuleTerms terms) : terms_(std::move(terms)) {}

  void saw(Time now, const Seen& s);
  // Of requests whose time is over. To be called now and then, and at the end.
  void pass(Time now);
  const std::vector<Breach>& breaches() const { return breaches_; }
  // Units sent on beyond what the customer's store held, and all: a price, not a rule.
  double units_sent() const { return units_; }
  double units_beyond() const { return beyond_; }
  // What the latest whole first attempt of a try was: inside the quota.
  bool inside(TryId id) const;

 private:
  struct Store {  // fills at a rate and holds so much at most
    double held = 0;
    Time at{};
    double level(Time now, double rate, double most) const;
  };
  struct CustomerPlan {  // each of a customer's plans has quotas of its own
    Store quota, ceiling, windows;
    bool begun = false;
    std::uint64_t losses = 0;  // of the counter's numbers that its windows were given anew for
  };
  struct Sent {  // one attempt
    EndpointId server{};
    std::uint64_t attempt = 0;
    Time at{};
    bool out = true, never_ran = false;
  };
  struct Open {
    TrySent sent;
    Time at{};
    bool taken = false, answered = false, ended = false, over_time = false, inside = false,
         counted = false;
    std::vector<Sent> attempts;
    Time left = Time::max();  // when its client closed
  };
  struct Told {
    EndpointPhase phase{};
    Time at{};
  };
  struct Where {
    std::uint32_t zone = 0, cell = 0;
  };

  void on(Time now, const TrySent& s);
  void on(Time now, const TryTaken& s);
  void on(Time now, const TryAnswered& s);
  void on(Time now, const TryBroken& s);
  void on(Time now, const TryUnreachable& s);
  void on(Time now, const TryLeft& s);
  void on(Time now, const NodeDown& s);
  void on(Time now, const ServerTold& s);
  void on(Time now, const ServerStarted& s);
  void on(Time now, const ServerFell& s);
  void on(Time now, const AttemptArrived& s);
  void on(Time now, const AttemptOver& s);
  void on(Time now, const CounterLost& s);
  void on(Time now, const Datagram& s);
  template <class Other>
  void on(Time, const Other&) {}

  void breach(Time now, const char* rule, std::string what);
  void check_copies(Time now, const Open& open, const AttemptArrived& s);
  void check_quota(Time now, Open& open);
  static std::string text(TryId id);

  RuleTerms terms_;
  std::unordered_map<TryId, Open> open_;
  std::deque<std::pair<Time, TryId>>
      due_;  // by the end of their time and what is allowed beyond it
  std::map<std::uint32_t, std::set<TryId>> held_;  // by node, taken and not answered
  std::map<std::pair<std::uint32_t, EndpointId>, Told> told_;
  std::map<std::uint32_t, Time> down_at_;  // when a node last ended
  std::map<EndpointId, Where> where_;
  std::map<std::pair<CustomerId, std::uint32_t>, CustomerPlan> customer_plans_;
  std::unordered_map<CustomerId, std::uint32_t> attempts_out_;
  std::uint64_t losses_ = 0;
  std::vector<Breach> breaches_;
  double units_ = 0, beyond_ = 0;
};

}  // namespace petrelrail::world
