// A fleet of members on one simulated clock: the real src/fleet/members of every node, and between
// them the peer network of the world with cuts, stalls, deaths and restarts. The same seed gives
// the same course.
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
    fleet::MembershipConfig terms{};  // `nodes` and `in_per_s` follow from the above
    std::uint64_t seed = 1;
  };
  // Told as a node concludes it: by whom and what.
  using Watch = std::function<void(Time, std::uint32_t observer, const fleet::StatusChange&)>;

  explicit MemberFleet(
      Options options, Watch watch = [](Time, std::uint32_t, const fleet::StatusChange&) {});

  std::uint32_t size() const { return options_.nodes; }
  std::uint32_t zone(std::uint32_t node) const { return node % options_.zones; }
  Time now() const { return agenda_.now(); }
  Time began() const { return began_; }

  // From nothing; a node that is up is started anew, as if it had been killed at that moment.
  void start(std::uint32_t node);
  void start_all();
  void kill(std::uint32_t node);
  void leave(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  bool up(std::uint32_t node) const { return nodes_[node].members != nullptr; }
  // What is lost between two nodes besides chance; none: nothing.
  void cut(std::function<bool(std::uint32_t from, std::uint32_t to)> lost) {
    lost_ = std::move(lost);
  }
  void lose(double share) { network_.set_extra_loss(share); }
  // A datagram of anybody's making, as if it came from a node's address.
  void inject(std::uint32_t from, std::uint32_t to, std::string bytes);
  // What every datagram is shown to as it arrives.
  void overhear(
      std::function<void(std::uint32_t from, std::uint32_t to, const std::string&)> listener) {
    overheard_ = std::move(listener);
  }

  void run_for(Duration span);
  void at(Time when, std::function<void()> what) { agenda_.at(when, std::move(what)); }
  // Runs until it holds, looked at every `step`; false: it did not within `most`.
  bool run_until(const std::function<bool()>& holds, Duration most,
                 Duration step = std::chrono::milliseconds(50));

  const fleet::Membership& members(std::uint32_t node) const { return *nodes_[node].members; }
  std::shared_ptr<const fleet::MembershipView> view(std::uint32_t node) const;
  // Whether every node that is up holds just those for living that are up, all with the same
  // incarnations.
  bool agreed() const;
  // The same of one node's view alone.
  bool sees_all(std::uint32_t node) const;

  struct Traffic {
    std::uint64_t sent = 0, bytes = 0;  // by a node
    std::uint64_t most_in = 0;          // that came to it within any one second, taken in or not
    // Of these by kind, in the order of the bodies.
    std::array<std::uint64_t, std::variant_size_v<fleet::Body>> most_by_kind{};
  };
  Traffic traffic(std::uint32_t node) const { return nodes_[node].traffic; }
  std::uint64_t most_in() const;
  // Of the node and second with the most.
  Traffic worst() const;
  std::uint64_t bytes() const;
  std::uint64_t sent() const;
  void reset_traffic();

 private:
  struct Node {
    std::unique_ptr<fleet::Membership> members;
    std::uint64_t lives = 0;
    bool stalled = false;
    std::deque<std::pair<std::uint32_t, std::string>> inbox;  // while it is stalled
    Time ticks_at = Time::max();
    Traffic traffic;
    std::deque<std::pair<Time, std::size_t>> came;  // within the last second, with their kinds
  };

  void after(std::uint32_t node);
  void arrive(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void tick(std::uint32_t node);

  Options options_;
  Watch watch_;
  RandomStreams dice_;
  EventQueue agenda_;
  Time began_;
  PeerNetwork network_;
  std::function<bool(std::uint32_t, std::uint32_t)> lost_;
  std::function<void(std::uint32_t, std::uint32_t, const std::string&)> overheard_;
  std::vector<Node> nodes_;
};

}  // namespace petrelrail::world
