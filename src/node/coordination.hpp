// What the nodes of a tier do together beside keeping quotas, as one part of the node: duties and
// records, and the desks that stand on them. Off it is not there.
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
  ClusterStateConfig shared;  // its names are filled in by what is on
  bool jobs = false;
  std::string control;  // where this node's operators call; empty: nobody can
};

class Coordination : private ClusterState::Callbacks, private JobService::Callbacks {
 public:
  struct Callbacks {
    virtual void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) = 0;
    virtual void add_to_counter(const std::string& name, double amount, Duration life,
                                std::function<void(CounterOutcome, double total)> told) = 0;
    virtual bool quota_calls_waiting() const = 0;
    virtual void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) = 0;
    virtual std::uint32_t best_effort_capacity() = 0;
    virtual std::shared_ptr<const Settings> current_settings() const = 0;

   protected:
    ~Callbacks() = default;
  };

  Coordination(Timers& timers, const CoordinationConfig& config, std::uint64_t seed,
               Callbacks& host);
  ~Coordination();

  // With what leave() of a predecessor gave; what can't be read of it is left out, and said.
  void start(const nlohmann::json* predecessor);
  void on_view_changed(const fleet::MembershipView& view) { cluster_state_.on_view_changed(view); }
  void on_message(fleet::MemberId from, const fleet::Message& message) {
    cluster_state_.on_message(from, message);
  }
  bool on_admin_request(const AdminServer::AdminRequest& ask,
                        const AdminServer::AdminCallback& answered);
  // This node ends soon: it takes up nothing more and gives its duties on.
  void step_down();
  bool has_stepped_down() const { return cluster_state_.has_stepped_down(); }
  nlohmann::json export_state();

  const ClusterState& cluster_state() const { return cluster_state_; }
  const JobService* jobs() const { return jobs_.get(); }

 private:
  void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) override;
  void add_to_counter(const std::string& name, double amount, Duration life,
                      std::function<void(CounterOutcome, double total)> told) override;
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
