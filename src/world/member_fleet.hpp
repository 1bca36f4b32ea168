// Simulates a fleet that runs the membership protocol: the src/fleet Membership of every node and
// the peer network between them on one simulated clock. Injects partitions, stalls, crashes and
// restarts. Single-threaded; the same seed gives the same run.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "event_queue.hpp"
#include "fleet/membership.hpp"
#include "peers.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {

class MemberFleet {
 public:
  struct Options {
    std::uint32_t nodes = 300, zones = 3;
    PeerConfig peers{};
    fleet::MembershipConfig config{};  // the constructor sets `nodes` and `inbox_per_s`
                                       // from these options
    std::uint64_t seed = 1;
  };
  // Called when a node (`observer`) concludes a change of a member's status.
  using StatusCallback = std::function<void(Time, std::uint32_t observer,
                                            const fleet::StatusChange&)>;

  explicit MemberFleet(
      Options options,
      StatusCallback on_status_change = [](Time, std::uint32_t, const fleet::StatusChange&) {});

  std::uint32_t size() const { return options_.nodes; }
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }
  Time now() const { return agenda_.now(); }
  Time start_time() const { return start_time_; }

  // Starts a process without hand-over state; kills the node's present process first.
  void start(std::uint32_t node);
  void start_all();
  void kill(std::uint32_t node);
  void leave(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  bool is_up(std::uint32_t node) const { return nodes_[node].members != nullptr; }
  // Drops all datagrams for which `drops` returns true, besides random loss; an empty function
  // drops none.
  void set_link_filter(std::function<bool(std::uint32_t from, std::uint32_t to)> drops) {
    drops_ = std::move(drops);
  }
  void set_loss(double share) { network_.set_extra_loss(share); }
  // Delivers arbitrary bytes as a datagram from a node's address.
  void inject(std::uint32_t from, std::uint32_t to, std::string bytes);
  // `listener` is called for every datagram that arrives, before intake limits.
  void set_datagram_listener(
      std::function<void(std::uint32_t from, std::uint32_t to, const std::string&)> listener) {
    datagram_listener_ = std::move(listener);
  }

  void run_for(Duration span);
  void at(Time when, std::function<void()> action) { agenda_.at(when, std::move(action)); }
  // Runs until `condition` holds, which is evaluated every `step`; returns false if it does not
  // within `timeout`.
  bool run_until(const std::function<bool()>& condition, Duration timeout,
                 Duration step = std::chrono::milliseconds(50));

  const fleet::Membership& membership(std::uint32_t node) const { return *nodes_[node].members; }
  std::shared_ptr<const fleet::MembershipView> view(std::uint32_t node) const;
  // Whether the view of every running node is accurate.
  bool views_are_accurate() const;
  // Whether one node's view lists exactly the running nodes as living, each with its present
  // incarnation.
  bool view_is_accurate(std::uint32_t node) const;

  struct Traffic {
    std::uint64_t sent = 0, bytes = 0;     // datagrams sent by a node, and their bytes
    std::uint64_t max_arrivals_per_s = 0;  // at the node within any one second, accepted or dropped
    // The arrivals of that second by kind, in the order of fleet::Body.
    std::array<std::uint64_t, std::variant_size_v<fleet::Body>> max_arrivals_by_kind{};
  };
  Traffic traffic(std::uint32_t node) const { return nodes_[node].traffic; }
  std::uint64_t max_arrivals_per_s() const;
  // Returns the traffic of the node with the most arrivals within a second.
  Traffic busiest_traffic() const;
  std::uint64_t bytes_sent() const;
  std::uint64_t datagrams_sent() const;
  void reset_traffic();

 private:
  struct Node {
    std::unique_ptr<fleet::Membership> members;
    std::uint64_t generation = 0;  // of the process; rises with each start and kill
    bool stalled = false;
    std::deque<std::pair<std::uint32_t, std::string>> inbox;  // during a stall
    Time tick_time = Time::max();
    Traffic traffic;
    std::deque<std::pair<Time, std::size_t>>
        recent_arrivals;  // of the last second, with their kinds
  };

  void drain_outputs(std::uint32_t node);
  void on_arrival(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void tick(std::uint32_t node);

  Options options_;
  StatusCallback on_status_change_;
  RandomStreams dice_;
  EventQueue agenda_;
  Time start_time_;
  PeerNetwork network_;
  std::function<bool(std::uint32_t, std::uint32_t)> drops_;
  std::function<void(std::uint32_t, std::uint32_t, const std::string&)> datagram_listener_;
  std::vector<Node> nodes_;
};

}  // namespace petrelrail::world
