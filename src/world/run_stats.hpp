// Statistics of a run, counted from its observations: by second, node and zone. Seconds count from
// the start of the clients; earlier observations count in second 0.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "observations.hpp"
#include "rules.hpp"
#include "scenario.hpp"

namespace petrelrail::world {

// Counters, written under the names that name_of() returns.
enum class Count : std::size_t {
  asked,        // requests, by their first client attempt
  tries,        // all client attempts
  served,       // requests answered 200, by any of their client attempts
  refused,      // client attempts answered 429 or 503
  failed,       // client attempts answered otherwise, broken off, or not answered in time
  unreachable,  // client attempts that got no connection to their node
  lost,         // client attempts received but never answered
  late,         // served past their latency target
  beyond,       // client attempts forwarded over their customer's quota
  attempts,     // arrived whole at price servers
  cross_zone,   // of these, at servers of another zone than the node's
  handshakes,   // new connections to price servers
  no_connect,   // failed connection attempts
  calls,        // counter calls
  calls_mute,   // without an answer
  datagrams,    // sent between nodes
  datagram_bytes,
  datagrams_in,  // received
  breaches,      // violations of invariants
  number_of
};
const char* name_of(Count c);

class RunStats {
 public:
  RunStats(const Scenario& scenario, Time begin);

  void observe(Time now, const Observation& s, const InvariantChecker& checker);
  void record_violation(Time at) { ++second(at)[Count::breaches]; }

  // Returns a statistic over a span in seconds, by its name in scenarios; none if there is no such
  // name.
  std::optional<double> value(const std::string& name, double from, double to) const;
  static std::vector<std::string> names();

  struct Counts {
    std::array<std::uint64_t, static_cast<std::size_t>(Count::number_of)> n{};
    double earned = 0, offered = 0, over_price = 0;  // values
    double late_worth = 0;                           // of requests unserved past their target
    double work_s = 0, useful_s = 0;  // work of price servers: all, and that of served answers
    double received_bytes = 0;        // of datagrams
    std::vector<std::pair<double, double>>
        plans{};  // by plan: values earned and offered within the quotas
    std::uint64_t& operator[](Count c) { return n[static_cast<std::size_t>(c)]; }
    std::uint64_t operator[](Count c) const { return n[static_cast<std::size_t>(c)]; }
    Counts& operator+=(const Counts& other);
  };
  const std::vector<Counts>& by_second() const { return by_second_; }
  const std::vector<Counts>& nodes() const { return nodes_; }
  std::vector<Counts> zones() const;
  // Objective value: half the share of value earned over the span, a quarter each that of the worst
  // 10 s and of the worst plan, less the sum of costs().
  double goal(double from, double to) const;
  double worst_window(double from, double to) const;
  // Deductions from the goal over a span, by name.
  std::vector<std::pair<const char*, double>> costs(double from, double to) const;
  Counts total() const;
  // Quantile `share` of the milliseconds from a request's first client attempt to its 200.
  double latency_ms(double share, double from, double to) const;
  struct ResourceTotal {
    double cpu_s = 0, memory_mb = 0;
  };
  ResourceTotal resource_usage() const;
  // Share of the nodes up at the end whose membership view lists exactly the nodes that are up; 1
  // without membership.
  void set_views_agreed(double agreed) { views_agreed_ = agreed; }
  // The most datagrams that one node received within a second of the run.
  std::uint64_t max_datagrams_received() const { return max_received_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct OpenAttempt {
    std::uint32_t node = 0, plan = 0;
    double units = 1;
    Time asked{}, sent{};
    ClientAttemptId root{};
    bool ended = false, forwarded = false;
    double processed_s = 0;  // reference work of its attempt that ended last
  };
  struct RequestTotal {  // a request, over all its client attempts
    bool served = false, late_unserved = false;
    double worth = 0;
  };
  struct RunningAttempt {
    ClientAttemptId id{};
    double work_s = 0;
  };

  Counts span(double from, double to) const;
  Counts& second(Time at) { return by_second_[index(at)]; }
  std::size_t index(Time at) const;
  void add(Time at, std::uint32_t node, Count c, std::uint64_t n = 1);
  void asked(Time now, const ClientAttemptSent& s);
  void served(Time now, OpenAttempt& r, bool within_quota);
  void unserved(Time now, const OpenAttempt& r);
  Histogram merged(double from, double to) const;

  Scenario scenario_;
  std::vector<Plan> plans_;
  Time begin_;
  std::vector<Counts> by_second_, nodes_;
  std::vector<Histogram> latency_;
  std::unordered_map<ClientAttemptId, OpenAttempt> open_;
  std::unordered_map<ClientAttemptId, RequestTotal> requests_;
  std::unordered_map<std::uint64_t, RunningAttempt> running_;  // by attempt
  struct TokenBucket {
    double tokens = 0;
    Time at{};
  };
  // By customer and plan, for a single gateway that receives all first client attempts.
  std::map<std::pair<CustomerId, std::uint32_t>, TokenBucket> buckets_;
  std::map<std::uint32_t, ResourceTotal> usage_, previous_usage_;
  std::map<std::uint32_t, std::pair<std::size_t, std::uint64_t>>
      received_by_node_;  // by node: the latest second, and the datagrams received in it
  std::uint64_t max_received_ = 0;
  double views_agreed_ = 1;
};

}  // namespace petrelrail::world
