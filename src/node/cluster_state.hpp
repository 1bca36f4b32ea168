// State that the edge nodes of a fleet share beside quotas: leader leases and replicated records,
// carried over the gossip socket and the quota counter. Owned by Coordination, on the thread of the
// io_context. It connects src/fleet/duty and src/fleet/records, which decide, to timers, datagrams
// and the counter (docs/duties.md, docs/records.md).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/leader_lease.hpp"
#include "fleet/replicated_store.hpp"
#include "net.hpp"

namespace petrelrail {

struct ClusterStateConfig {
  fleet::LeaderLeaseConfig lease;
  fleet::ReplicatedStoreConfig store;
  std::vector<std::string> lease_names;  // the same at all nodes
  fleet::MemberId self{};
  std::uint8_t zone = 0;
};

class ClusterState {
 public:
  struct Callbacks {
    virtual void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) = 0;
    // `on_response` is called once, possibly before this returns, unless this process ends first.
    virtual void add_to_counter(const std::string& key, double amount, Duration lifetime,
                                std::function<void(CounterOutcome, double total)> on_response) = 0;
    // Whether counter calls for quotas are queued; they take precedence over calls for leases.
    virtual bool quota_calls_waiting() const = 0;
    // Called when lease terms, records or write outcomes may have changed.
    virtual void on_state_changed() = 0;

   protected:
    ~Callbacks() = default;
  };

  // Throws std::invalid_argument for an invalid configuration.
  ClusterState(Timers& timers, const ClusterStateConfig& config, std::uint64_t seed,
               Callbacks& callbacks);
  ~ClusterState();
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Starts, with the state exported by the predecessor process of this node, if any. Throws, and
  // applies nothing, if that can't be parsed.
  void start(const nlohmann::json* predecessor);
  bool started() const { return started_; }
  void on_view_changed(const fleet::MembershipView& view);
  // Called with each datagram of a kind that the membership protocol does not handle.
  void on_message(fleet::MemberId from, const fleet::Message& message);
  // Called when this node leaves: transfers its leases to other nodes.
  void step_down();
  // Whether no lease is left to transfer.
  bool has_stepped_down() const;
  // Returns the state for the successor process of this node. This process does nothing afterwards.
  nlohmann::json export_state();

  // `lease`: an index into the configuration's names, here and below.
  void set_candidate(std::size_t lease, bool candidate);
  // The term under which this node may act now; none: it must not act.
  std::optional<fleet::FencingToken> valid_term(std::size_t lease) const;
  // An uninterrupted period of holding a lease: its present and its first term, and when it began.
  struct Tenure {
    fleet::FencingToken term = 0, first_term = 0;
    Time start_time{};
  };
  std::optional<Tenure> tenure(std::size_t lease) const;
  // The holder of the present term as far as this node knows.
  std::optional<fleet::LeaderLease::Holder> holder(std::size_t lease) const;
  // The node that claims the lease first if it is a candidate.
  std::optional<fleet::MemberId> expected_holder(std::size_t lease) const {
    return leases_.at(lease).lease.preferred_claimant();
  }
  // For writing; on_records_written() has to be called after a put or an erase, to send it out.
  fleet::ReplicatedStore& mutable_store() { return *store_; }
  void on_records_written();

  const ClusterStateConfig& config() const { return config_; }
  const fleet::ReplicatedStore* store() const { return store_.get(); }
  // Summed over all leases.
  fleet::LeaderLease::Stats lease_stats() const;
  // The number of leases under which this node may act now.
  std::size_t held_lease_count() const;
  // The state for operators: each lease with its known holder, and the size of the store.
  nlohmann::json to_json() const;

 private:
  struct LeaseState {
    fleet::LeaderLease lease;
    std::optional<Tenure> tenure;
    bool candidate = false;
  };

  void run();
  void advance(Time now);
  void send_outgoing(std::size_t lease);
  void call_counter(std::size_t lease, const fleet::LeaderLease::CounterCall& call);
  void update_tenure(Time now, LeaseState& state);

  Timers& timers_;
  const ClusterStateConfig config_;
  Callbacks& callbacks_;
  std::vector<LeaseState> leases_;
  std::unique_ptr<fleet::ReplicatedStore> store_;
  std::map<std::uint32_t, std::size_t> lease_by_hash_;
  Timers::Handle timer_;
  bool started_ = false, running_ = false, rerun_ = false;
  // False after destruction, for callbacks that outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace petrelrail
