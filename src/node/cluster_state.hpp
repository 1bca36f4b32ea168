// What the nodes of a tier share beside quotas: duties and records, carried by the peers' socket
// and the counter. What is decided is decided in src/fleet/duty and src/fleet/records;
// docs/duties.md, docs/records.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/leader_lease.hpp"
#include "fleet/records.hpp"
#include "net.hpp"

namespace petrelrail {

struct ClusterStateConfig {
  fleet::LeaderLeaseConfig duties;
  fleet::RecordTerms records;
  std::vector<std::string> names;  // of the duties, the same at all nodes
  fleet::MemberId self{};
  std::uint8_t zone = 0;
};

class ClusterState {
 public:
  struct Callbacks {
    virtual void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) = 0;
    // Answered once, perhaps at once; never answered where this process ends first.
    virtual void add_to_counter(const std::string& name, double amount, Duration life,
                                std::function<void(CounterOutcome, double total)> told) = 0;
    // Calls for quotas wait for their turn: others go after them.
    virtual bool quota_calls_waiting() const = 0;
    // Rights, records or outcomes may have changed.
    virtual void on_state_changed() = 0;

   protected:
    ~Callbacks() = default;
  };

  // Throws std::invalid_argument for terms that make no sense.
  ClusterState(Timers& timers, const ClusterStateConfig& config, std::uint64_t seed,
               Callbacks& owner);
  ~ClusterState();
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Begins, with what a predecessor in the same node's place has left, if anything. Throws if that
  // can't be read.
  void start(const nlohmann::json* predecessor);
  bool started() const { return started_; }
  void on_view_changed(const fleet::View& view);
  // A datagram of a kind that is not members' own.
  void on_message(fleet::MemberId from, const fleet::Message& message);
  // This node leaves: what it holds is given on. `resigned` once nothing is left to give.
  void step_down();
  bool has_stepped_down() const;
  // What a successor in this node's place goes on with. This process does nothing more.
  nlohmann::json export_state();

  // `duty` is a position in the configuration's names.
  void want(std::size_t duty, bool wanted);
  std::optional<fleet::FencingToken> may_act(std::size_t duty) const;
  // The first of the epochs under which this node has held the duty without a gap until now, and
  // since when.
  struct Hold {
    fleet::FencingToken epoch = 0, since = 0;
    Time began{};
  };
  std::optional<Hold> hold(std::size_t duty) const;
  std::optional<fleet::LeaderLease::Holder> holder(std::size_t duty) const;
  // Who claims the duty first if it is wanted there.
  std::optional<fleet::MemberId> expected(std::size_t duty) const {
    return duties_.at(duty).duty.preferred_claimant();
  }
  // Changes to records go through here, so that what is to be told goes out.
  fleet::Records& records() { return *records_; }
  void on_records_written();  // after a put or an erase

  const ClusterStateConfig& config() const { return config_; }
  const fleet::Records* kept() const { return records_.get(); }
  fleet::LeaderLease::Stats duty_figures() const;  // summed over all duties
  std::size_t held() const;                        // duties that this node may act under now
  // For operators: each duty that is held or known of, and what the records hold.
  nlohmann::json to_json() const;

 private:
  struct Kept {
    fleet::LeaderLease duty;
    std::optional<Hold> hold;
    bool wanted = false;
  };

  void run();
  void move(Time now);
  void carry(std::size_t duty);
  void write(std::size_t duty, const fleet::LeaderLease::CounterCall& call);
  void watch(Time now, Kept& k);

  Timers& timers_;
  const ClusterStateConfig config_;
  Callbacks& callbacks_;
  std::vector<Kept> duties_;
  std::unique_ptr<fleet::Records> records_;
  std::map<std::uint32_t, std::size_t> by_hash_;
  Timers::Handle due_;
  bool started_ = false, running_ = false, again_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(
      true);  // for answers that come after this object
};

}  // namespace petrelrail
