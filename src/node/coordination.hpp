// Coordination between edge nodes beside quotas, as one optional part of the node: cluster state
// (leader leases and replicated records) and the batch job service that uses it. Owned by Node, on
// the thread of the io_context; absent if the configuration turns it off.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cluster_state.hpp"
#include "job_service.hpp"

namespace petrelrail {

struct CoordinationConfig {
  ClusterStateConfig cluster_state;  // its lease names are filled in by Coordination
  bool jobs = false;
  std::string admin_address;  // of this node's admin server; empty: it has none
};

class Coordination : private ClusterState::Callbacks, private JobService::Callbacks {
 public:
  // See ClusterState::Callbacks and JobService::Callbacks.
  struct Callbacks {
    virtual void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) = 0;
    virtual void add_to_counter(const std::string& key, double amount, Duration lifetime,
                                std::function<void(CounterOutcome, double total)> on_response) = 0;
    virtual bool quota_calls_waiting() const = 0;
    virtual void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) = 0;
    virtual std::uint32_t best_effort_capacity() = 0;
    virtual std::shared_ptr<const Settings> current_settings() const = 0;

   protected:
    ~Callbacks() = default;
  };

  Coordination(Timers& timers, const CoordinationConfig& config, std::uint64_t seed,
               Callbacks& callbacks);
  ~Coordination();

  // Starts with what export_state() of a predecessor process returned; null: without. State that
  // can't be parsed is logged and left out.
  void start(const nlohmann::json* predecessor);
  void on_view_changed(const fleet::MembershipView& view) { cluster_state_.on_view_changed(view); }
  void on_message(fleet::MemberId from, const fleet::Message& message) {
    cluster_state_.on_message(from, message);
  }
  // Handles a request to the admin server. Returns false if the path belongs to no part of this.
  bool on_admin_request(const AdminServer::AdminRequest& request,
                        const AdminServer::AdminCallback& on_response);
  // Called before this process ends: starts no new work and transfers the leases.
  void step_down();
  bool has_stepped_down() const { return cluster_state_.has_stepped_down(); }
  // Returns the state for the successor process of this node, and stops.
  nlohmann::json export_state();

  const ClusterState& cluster_state() const { return cluster_state_; }
  // Null if jobs are off.
  const JobService* jobs() const { return jobs_.get(); }

 private:
  void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) override;
  void add_to_counter(const std::string& key, double amount, Duration lifetime,
                      std::function<void(CounterOutcome, double total)> on_response) override;
  bool quota_calls_waiting() const override { return callbacks_.quota_calls_waiting(); }
  void on_state_changed() override;
  void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) override;
  std::uint32_t best_effort_capacity() override { return callbacks_.best_effort_capacity(); }
  std::shared_ptr<const Settings> current_settings() const override {
    return callbacks_.current_settings();
  }
  std::optional<std::string> admin_address_of(fleet::MemberId node) const override;

  void publish_address();

  Timers& timers_;
  const CoordinationConfig config_;
  Callbacks& callbacks_;
  ClusterState cluster_state_;
  std::unique_ptr<JobService> jobs_;
  Timers::Handle address_timer_;
};

}  // namespace petrelrail
