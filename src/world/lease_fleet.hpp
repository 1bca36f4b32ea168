// Simulates a fleet whose nodes compete for leader leases: the src/fleet LeaderLease of every node,
// the simulated counter with its queue, and announcements over the peer network, on one simulated
// clock. Injects clock skew, crashes, stalls, partitions and upgrades, and checks that effects obey
// the leases. Single-threaded; the same seed gives the same run.
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

class LeaseFleet {
 public:
  struct Options {
    std::uint32_t nodes = 300, zones = 3;
    std::vector<std::string> lease_names{"book"};
    fleet::LeaderLeaseConfig
        lease_config{};  // the constructor sets `nodes` and `counter_timeout` from these options
    fleet::LeaseViolation disabled_safeguards{};
    PeerConfig peers{};
    CounterConfig counter{};
    NetworkConfig network{};
    bool uses_membership = false;  // views by src/fleet/membership; else all follow view_delay
    Duration view_delay = std::chrono::seconds(
        8);  // without membership: until a view shows that a node is unreachable
    Duration max_clock_skew = std::chrono::milliseconds(50);  // between the clocks of two nodes
    Duration max_call_delay{};  // of a lease's counter call behind quota calls; 0: no delay
    bool uses_fencing = true;   // receivers refuse older epochs
    std::uint64_t seed = 1;
  };
  // Directions in which a node's traffic is dropped.
  struct Partition {
    bool to_counter = false, from_counter = false, to_peers = false, from_peers = false;
  };

  explicit LeaseFleet(Options options);

  std::uint32_t size() const { return options_.nodes; }
  Time now() const { return agenda_ ? agenda_->now() : members_->now(); }
  void run_for(Duration span);
  // Runs until `condition` holds, which is evaluated every 10 ms; returns false if it does not
  // within `timeout`.
  bool run_until(const std::function<bool()>& condition, Duration timeout);

  void at(Time when, std::function<void()> action);

  // Starts a process without hand-over state; kills the node's present process first.
  void start(std::uint32_t node);
  void start_all();
  void kill(std::uint32_t node);
  void stall(std::uint32_t node, bool stalled);
  // Delivers SIGTERM; the process ends after `grace`.
  void terminate(std::uint32_t node, Duration grace = std::chrono::milliseconds(3700));
  void upgrade(std::uint32_t node);
  // Starts a second process with the same member ID. Datagrams still go to the first.
  void start_duplicate(std::uint32_t node);
  void set_candidates(bool candidate);
  void set_partition(std::uint32_t node, Partition partition);
  Counter& counter() { return counter_; }
  void set_announcement_loss(double share) { network_.set_extra_loss(share); }

  // Returns the node that may act now and is not stalled.
  std::optional<std::uint32_t> active_node(std::size_t lease_index = 0) const;
  std::optional<Time> last_active_time(std::size_t lease_index = 0) const;
  const fleet::LeaderLease* lease(std::uint32_t node, std::size_t lease_index = 0) const;
  bool is_up(std::uint32_t node) const { return process_of(node) != nullptr; }

  struct Totals {
    std::uint64_t claims = 0, calls = 0, announcements = 0, effects = 0, rejected_effects = 0,
                  terms_acquired = 0, transfers = 0;
    std::uint64_t max_arrivals_per_s = 0;  // announcements that reach one node within a second
  };
  Totals totals() const;
  // Two nodes active at one time, an older epoch accepted after a newer one, or two holders under
  // one epoch. Lists the first ones only; violation_count() counts all.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t violation_count() const { return violation_count_; }

 private:
  struct Process {
    std::uint64_t id = 0;
    std::uint32_t node = 0;
    Duration skew{};
    bool stalled = false;
    std::vector<fleet::LeaderLease> leases;
    std::vector<Time> tick_times;                 // true time of the scheduled tick, by lease
    std::vector<std::function<void()>> deferred;  // events that arrived during a stall
    std::uint64_t view_version = ~0ULL;           // of the last delivered view
  };
  struct Receiver {
    fleet::FencingCheck fence;
    fleet::FencingToken newest_epoch = 0;
    std::uint64_t holder_process = 0;  // from which the newest epoch was accepted
    std::uint32_t holder_node = 0;
  };
  struct LeaseAudit {
    std::vector<Receiver> receivers;
    std::optional<Time> last_active_time;
  };

  Time local(const Process& p) const { return now() + p.skew; }
  Process* process_of(std::uint32_t node) const { return by_id(addressed_processes_[node]); }
  Process* by_id(std::uint64_t id) const;
  Process& add(std::uint32_t node, bool addressed, Duration skew);
  void end(Process& p);
  // Runs `action` now, or when the process resumes from its stall; drops it if the process ended.
  void run_in(std::uint64_t id, const std::function<void(Process&)>& action);
  void drain_outputs(Process& p, std::size_t lease_index);
  void send_call(std::uint64_t id, std::size_t lease_index,
                 const fleet::LeaderLease::CounterCall& call);
  void send_announcement(const Process& p, std::size_t lease_index,
                         const fleet::LeaderLease::Announcement& announcement);
  void audit_all();
  void update_views();
  const fleet::MembershipView& common_view();
  void deliver_view(Process& p);
  void audit(std::size_t lease_index);
  void emit_effect(const Process& p, std::size_t lease_index, fleet::FencingToken epoch);
  void receive_effect(std::size_t lease_index, std::size_t receiver, std::uint64_t id,
                      std::uint32_t node, fleet::FencingToken epoch);
  void add_violation(std::string text);
  const Partition& partition_of(std::uint32_t node) const { return partitions_[node]; }

  Options options_;
  RandomStreams dice_;
  std::unique_ptr<MemberFleet> members_;  // if set, its clock is the clock of this fleet
  std::unique_ptr<EventQueue> agenda_;
  Counter counter_;
  PeerNetwork network_;
  std::vector<Partition> partitions_;
  std::vector<std::unique_ptr<Process>> processes_;  // by id
  std::vector<std::uint64_t> start_counts_;
  std::vector<Time> unreachable_since_;  // by node, without membership; max(): reachable
  std::vector<bool> has_left_;
  fleet::MembershipView common_view_;
  Time common_view_time_{};
  std::uint64_t last_id_ = 0;
  std::vector<std::uint64_t> addressed_processes_;  // by node: the process that gets its datagrams
  std::vector<std::deque<Time>> arrival_times_;
  std::vector<LeaseAudit> audits_;
  std::vector<std::string> violations_;
  std::uint64_t violation_count_ = 0;
  Totals totals_, ended_totals_;  // ended_totals_: of processes that ended
  bool is_candidate_ = true;
};

}  // namespace petrelrail::world
