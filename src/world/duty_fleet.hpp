// A fleet with duties on one simulated clock: the real src/fleet/duty of every node, the world's
// counter with its line, and words over the peer network, with clocks that differ, deaths, stalls,
// cuts and upgrades. The world is the judge of effects. The same seed gives the same course.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "counter.hpp"
#include "event_queue.hpp"
#include "fleet/leader_lease.hpp"
#include "member_fleet.hpp"
#include "peers.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {

class DutyFleet {
 public:
  struct Options {
    std::uint32_t nodes = 300, zones = 3;
    std::vector<std::string> duties{"book"};
    fleet::LeaderLeaseConfig
        terms{};  // `nodes` and `counter_timeout` follow from here and from the counter
    fleet::LeaseViolation broken{};
    PeerConfig peers{};
    CounterConfig counter{};
    NetworkConfig network{};
    bool members = false;  // views by src/fleet/members; else all learn after a while
    Duration learns = std::chrono::seconds(
        8);  // without members: until a view shows one that is gone
    Duration clocks = std::chrono::milliseconds(50);  // by which clocks do differ
    Duration busy{};     // that calls for quotas let a call of a duty wait, at most
    bool fenced = true;  // receivers refuse older epochs
    std::uint64_t seed = 1;
  };
  // What does not pass between a node and the rest.
  struct Cut {
    bool to_counter = false, from_counter = false, to_peers = false, from_peers = false;
  };

  explicit DutyFleet(Options options);

  std::uint32_t size() const { return options_.nodes; }
  Time now() const { return agenda_ ? agenda_->now() : members_->now(); }
  void run_for(Duration span);
  // Runs until it holds, looked at every 10 ms; false: it did not within `most`.
  bool run_until(const std::function<bool()>& holds, Duration most);

  void at(Time when, std::function<void()> what);

  // A process from nothing in a node's place; one that is there is killed at that moment.
  void start(std::uint32_t node);
  void start_all();
  void kill(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  // SIGTERM; it is gone after `grace`.
  void terminate(std::uint32_t node, Duration grace = std::chrono::milliseconds(3700));
  void upgrade(std::uint32_t node);
  // A second process under the node's number. The node's address stays with the first.
  void twin(std::uint32_t node);
  void want(bool wanted);
  void cut(std::uint32_t node, Cut cut);
  Counter& counter() { return counter_; }
  void lose_words(double share) { network_.set_extra_loss(share); }

  // The node that may act at this moment and does not stall.
  std::optional<std::uint32_t> acting(std::size_t duty = 0) const;
  std::optional<Time> acted(std::size_t duty = 0) const;  // latest
  const fleet::LeaderLease* duty(std::uint32_t node, std::size_t duty = 0) const;
  bool up(std::uint32_t node) const { return process_of(node) != nullptr; }

  struct Totals {
    std::uint64_t claims = 0, calls = 0, words = 0, effects = 0, refused = 0, terms = 0, given = 0;
    std::uint64_t most_in = 0;  // words that came to a node within any one second
  };
  Totals totals() const;
  // Two that act at one time, an older epoch taken after a newer one, two holders under one epoch.
  const std::vector<std::string>& breaches() const { return breaches_; }
  std::uint64_t breach_count() const { return breach_count_; }

 private:
  struct Process {
    std::uint64_t id = 0;
    std::uint32_t node = 0;
    Duration skew{};
    bool stalled = false;
    std::vector<fleet::LeaderLease> duties;
    std::vector<Time> ticks;                   // true time for which a tick is set, by duty
    std::vector<std::function<void()>> waits;  // what came while it stalled
    std::uint64_t view = ~0ULL;                // version that it was shown
  };
  struct Receiver {
    fleet::FencingCheck fence;
    fleet::FencingToken newest = 0;
    std::uint64_t holder = 0;  // process that the newest was taken from
    std::uint32_t holder_node = 0;
  };
  struct Judge {  // of one duty
    std::vector<Receiver> receivers;
    std::optional<Time> acted;
  };

  Time local(const Process& p) const { return now() + p.skew; }
  Process* process_of(std::uint32_t node) const { return by_id(addressed_[node]); }
  Process* by_id(std::uint64_t id) const;
  Process& add(std::uint32_t node, bool addressed, Duration skew);
  void end(Process& p);
  // Runs it now, or when the process wakes; not at all where that is gone.
  void in(std::uint64_t id, const std::function<void(Process&)>& what);
  void after(Process& p, std::size_t duty);
  void write(std::uint64_t id, std::size_t duty, const fleet::LeaderLease::CounterCall& call);
  void send(const Process& p, std::size_t duty, const fleet::LeaderLease::Announcement& word);
  void look();
  void views();
  const fleet::MembershipView& common();
  void show(Process& p);
  void judge(std::size_t duty);
  void effect(const Process& p, std::size_t duty, fleet::FencingToken epoch);
  void receive(std::size_t duty, std::size_t receiver, std::uint64_t id, std::uint32_t node,
               fleet::FencingToken epoch);
  void breach(std::string what);
  const Cut& cut_of(std::uint32_t node) const { return cuts_[node]; }

  Options options_;
  RandomStreams dice_;
  std::unique_ptr<MemberFleet> members_;  // its agenda is the fleet's then
  std::unique_ptr<EventQueue> agenda_;
  Counter counter_;
  PeerNetwork network_;
  std::vector<Cut> cuts_;
  std::vector<std::unique_ptr<Process>> processes_;  // by id
  std::vector<std::uint64_t> lives_;
  std::vector<Time> gone_since_;  // of each node, without members; max(): it is there
  std::vector<bool> left_;
  fleet::MembershipView common_;
  Time common_at_{};
  std::uint64_t last_id_ = 0;
  std::vector<std::uint64_t> addressed_;  // the process that a node's datagrams come to
  std::vector<std::deque<Time>> came_;
  std::vector<Judge> judges_;
  std::vector<std::string> breaches_;
  std::uint64_t breach_count_ = 0;
  Totals totals_, gone_;  // gone_: of processes that are no more
  bool wanted_ = true;
};

}  // namespace petrelrail::world
