// The figures of an experiment, counted from what the world saw: by second, node and zone. Times
// are counted from the start of the clients; what comes before belongs to second 0.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules.hpp"
#include "scenario.hpp"
#include "seen.hpp"

namespace petrelrail::world {

enum class Count : std::size_t {
  asked,        // first tries
  tries,        // all
  served,       // requests with a 200, by any of their tries
  refused,      // tries answered 429 or 503
  failed,       // tries answered otherwise, broken off, or with no answer in time
  unreachable,  // tries whose node had no connection for them
  lost,         // requests taken whose answer never came
  late,         // served beyond their aim
  beyond,       // tries sent on beyond their customer's quota
  attempts,     // that arrived whole at price servers
  cross_zone,   // of these, at servers of another zone than the node's
  handshakes,   // of new connections to price servers
  no_connect,   // connects that failed
  calls,        // to the counter
  calls_mute,   // that got no answer
  datagrams,    // sent between nodes
  datagram_bytes,
  datagrams_in,  // taken in
  breaches,
  number_of
};
const char* name_of(Count c);

class Figures {
 public:
  Figures(const Scenario& scenario, Time begin);

  void saw(Time now, const Seen& s, const Rules& rules);
  void breached(Time at) { ++second(at)[Count::breaches]; }

  // A figure over a span in seconds, by the name that scenarios use; none: there is no such name.
  std::optional<double> value(const std::string& name, double from, double to) const;
  static std::vector<std::string> names();

  struct Counts {
    std::array<std::uint64_t, static_cast<std::size_t>(Count::number_of)> n{};
    double earned = 0, offered = 0, over_price = 0;  // worth
    double late_worth = 0;                           // that ended unserved after its aim
    double work_s = 0, useful_s = 0;  // of price servers: all that ran, and what served an answer
    double taken_bytes = 0;           // of datagrams
    std::vector<std::pair<double, double>>
        plans{};  // by plan: earned and offered inside the quotas
    std::uint64_t& operator[](Count c) { return n[static_cast<std::size_t>(c)]; }
    std::uint64_t operator[](Count c) const { return n[static_cast<std::size_t>(c)]; }
    Counts& operator+=(const Counts& other);
  };
  const std::vector<Counts>& seconds_of() const { return seconds_; }
  const std::vector<Counts>& nodes() const { return nodes_; }
  std::vector<Counts> zones() const;
  // The goal of the settings: half of the whole span's worth, a quarter of the worst 10 s and of
  // the worst plan, less what costs() sums up.
  double goal(double from, double to) const;
  double worst_window(double from, double to) const;
  // The prices of a span, each in points of the goal, by name.
  std::vector<std::pair<const char*, double>> costs(double from, double to) const;
  Counts total() const;
  // Milliseconds from a request's first try to its 200, that a share of all stay under.
  double latency_ms(double share, double from, double to) const;
  struct Spent {
    double cpu_s = 0, memory_mb = 0;
  };
  Spent spent() const;
  // Of the nodes that are up at the end, how many hold just those for living that are up. Members
  // off: all.
  void views(double agreed) { views_agreed_ = agreed; }
  // The most that came to one node, and to the counter, within any second of the clock.
  std::uint64_t most_datagrams_in() const { return most_in_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Request {
    std::uint32_t node = 0, plan = 0;
    double units = 1;
    Time asked{}, sent{};
    TryId root{};
    bool ended = false, counted = false;
    double ran_s = 0;  // of its attempt that ended last, by a server's core
  };
  struct Root {  // a request, over all its tries
    bool served = false, late_failed = false;
    double worth = 0;
  };
  struct Running {
    TryId id{};
    double work_s = 0;
  };

  Counts span(double from, double to) const;
  Counts& second(Time at) { return seconds_[index(at)]; }
  std::size_t index(Time at) const;
  void add(Time at, std::uint32_t node, Count c, std::uint64_t n = 1);
  void asked(Time now, const TrySent& s);
  void served(Time now, Request& r, bool inside);
  void unserved(Time now, const Request& r);
  Histogram merged(double from, double to) const;

  Scenario scenario_;
  std::vector<Plan> plans_;
  Time begin_;
  std::vector<Counts> seconds_, nodes_;
  std::vector<Histogram> latency_;
  std::unordered_map<TryId, Request> open_;
  std::unordered_map<TryId, Root> roots_;
  std::unordered_map<std::uint64_t, Running> running_;  // attempts
  struct Store {
    double held = 0;
    Time at{};
  };
  // By customer and plan, of one gateway that sees all first tries.
  std::map<std::pair<CustomerId, std::uint32_t>, Store> stores_;
  std::map<std::uint32_t, Spent> spent_, before_;
  std::map<std::uint32_t, std::pair<std::size_t, std::uint64_t>>
      in_;  // the last second and what came in it
  std::uint64_t most_in_ = 0;
  double views_agreed_ = 1;
};

}  // namespace petrelrail::world
