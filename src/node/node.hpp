// The edge node: owns the Gateway, passes events to it and executes its actions in order. It owns
// the table of open requests and so guarantees that each one gets exactly one final response.
// Everything runs on the thread of the io_context.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "admin_server.hpp"
#include "coordination.hpp"
#include "counter_client.hpp"
#include "discovery.hpp"
#include "gossip_transport.hpp"
#include "hot_restart.hpp"
#include "http_server.hpp"
#include "metrics.hpp"
#include "net.hpp"
#include "petrelrail/gateway.hpp"
#include "policy/overload_manager.hpp"
#include "policy/request_history.hpp"
#include "policy/request_state.hpp"
#include "settings_reader.hpp"
#include "upstream.hpp"

namespace petrelrail {

struct NodeConfig {
  std::string name;
  Tcp::endpoint listen, discovery;
  std::string discovery_host;
  std::optional<Tcp::endpoint> counter, control;
  std::size_t descriptors = 0;
  std::size_t memory_limit = 0;  // of the process, in bytes; 0: none
  std::uint64_t seed = 0;
  Duration keep_alive{};
  std::string handover_path;  // socket to which a successor connects; empty: no hand-over
  nlohmann::json known_endpoints;
  reading::NamedSettings settings;
  std::optional<GossipConfig> gossip;              // none: membership is off
  std::optional<CoordinationConfig> coordination;  // none: off; requires `gossip`
};

class Node : private HttpServer::Callbacks,
             private Upstream::Callbacks,
             private AdminServer::Callbacks,
             private HotRestart::Callbacks,
             private GossipTransport::Callbacks,
             private Coordination::Callbacks {
 public:
  Node(asio::io_context& io, NodeConfig config);

  // Requests the hand-over from a predecessor if there is one, else opens the listener. Throws if
  // the listening address can't be used. Calls `replaced` when another process takes over from the
  // predecessor, so that this one can end.
  void start(std::function<void()> replaced = {});
  // Applies the settings and the addresses of discovery and the counter of a new configuration.
  // Throws, and changes nothing, if it differs in what can't change while the node runs.
  void reconfigure(const NodeConfig& config);
  // Ends sessions with their next response, and calls `done` when no request is open any more and
  // no client has connected for limits::kNewConnectionsAfterTerm.
  void drain(std::function<void()> done);
  Tcp::endpoint listen_address() const { return http_server_.listen_address(); }
  Tcp::endpoint admin_listen_address() const { return admin_server_.listen_address(); }
  // Counts a new configuration that was applied or refused.
  void on_reload(bool applied) { metrics_.on_reload(applied); }
  std::size_t open_requests() const { return open_requests_.size(); }

 private:
  struct OpenRequest {
    // None after the final response or once the client has disconnected.
    std::shared_ptr<ResponseSink> response_sink;
    std::shared_ptr<ClientRequest> request_message;
    Metrics::ResponseCounts* response_counts = nullptr;  // of its class
    policy::RequestState state;
    bool client_has_left = false;  // before its final response
    bool was_written = false;      // the last byte of an attempt
  };

  bool is_ready() override;
  std::uint64_t on_request(ClientRequest request, std::shared_ptr<HttpSession> session) override;
  void on_request_received(std::uint64_t request, Time not_written_until) override;
  void on_start_limited(std::uint64_t request, Time latest_start) override;
  void on_client_disconnected(std::uint64_t request) override;
  bool can_lend_descriptor() const override;
  bool lend_descriptor() override;
  bool has_free_descriptor() const override;
  bool reclaim_descriptor() override;
  bool is_still_wanted(RequestId request) override;
  void on_attempt_ended(const UpstreamExchange& exchange, AttemptOutcome outcome,
                        Response response) override;
  bool on_stream_started(const UpstreamExchange& exchange, const ResponseHead& head) override;
  void on_stream_chunk(const UpstreamExchange& exchange, std::string_view chunk,
                       std::function<void()> on_written) override;
  void on_attempt_written(const UpstreamExchange& exchange) override;
  void on_health_check_ended(const UpstreamExchange& exchange, AttemptOutcome outcome) override;
  bool is_serving() override { return serving_ && !on_drained_ && is_ready(); }
  std::string metrics_text() override;
  bool set_operator_ejection(const std::string& server, bool ejected) override;
  int listener() override { return http_server_.listener(); }
  nlohmann::json export_state() override;
  void on_listener_received(Descriptor socket) override;
  void on_state_received(const nlohmann::json& state) override;
  void on_replaced() override;
  void on_peer_message(const nlohmann::json& message) override;
  void on_peer_lost() override;
  void on_view_changed(const fleet::MembershipView& view) override;
  void on_message(fleet::MemberId from, const fleet::Message& message) override;
  bool on_admin_request(const AdminServer::AdminRequest& request,
                        AdminServer::AdminCallback callback) override;
  void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) override;
  void add_to_counter(const std::string& name, double amount, Duration lifetime,
                      std::function<void(CounterOutcome, double total)> callback) override;
  bool quota_calls_waiting() const override;
  void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) override;
  std::uint32_t best_effort_capacity() override;
  std::shared_ptr<const Settings> current_settings() const override { return settings_; }
  std::optional<std::string> members_json() override;
  void on_list_changed(EndpointListKind kind, const std::vector<Discovery::Entry>& entries);

  std::uint64_t accept_request(ClientRequest request, std::shared_ptr<ResponseSink> sink);
  void handle_event(Event event);
  void apply_settings();
  void execute(const Send& action);
  void execute(const Reject& action);
  void execute(const Fail& action);
  void execute(const Cancel& action);
  void execute(const AddToCounter& action);
  void execute(const SetTimer& action);
  void execute(const CheckHealth& action);
  void execute(const ReleaseIdleConnections& action);
  void execute(const Subscribe&) {}  // the watch is always open
  void execute(const Log& action);
  void respond(RequestId request, std::uint64_t Metrics::ResponseCounts::*count,
               const Response& response);
  void end_stream(RequestId request, bool complete);
  void erase_if_finished(RequestId request);
  void refuse_repeat(const ClientRequest& request);
  bool release_abandoned(RequestId abandoned, const ClientRequest& request);
  std::optional<RequestId> find_abandoned(const std::string& request_id);
  policy::RequestHistory::Entry history_entry(const OpenRequest& open) const;
  nlohmann::json unanswered_requests() const;
  void restore_unanswered(const nlohmann::json& unanswered);
  void on_invariant_violation(policy::InvariantViolation violation,
                              const std::string& request_id) override;
  void schedule_overdue_check();
  void respond_to_overdue();
  bool eject_endpoint(const std::string& server, bool ejected);
  void request_state_when_ready();
  void serve();
  void serve_with_retry();
  void start_admin_server();
  void join_cluster(const nlohmann::json* predecessor);
  void wait_until_drained();
  void fail_open_requests();
  void limit_memory();
  void limit_descriptors(std::size_t used_by_clients, std::size_t used_by_servers);
  std::unique_ptr<CounterClient> make_counter_client();

  asio::io_context& io_;
  NodeConfig config_;
  // A class that a reload removed, or whose idempotency it changed, while clients may still use it.
  struct RetiredClass {
    RequestClass request_class;
    Time retain_deadline{};
  };
  std::vector<RetiredClass> retired_classes_;
  Timers::Handle retired_class_timer_;  // expires the next retired class
  Timers::Handle overdue_timer_;
  Clock clock_;
  Timers timers_;
  std::shared_ptr<policy::OverloadManager> overload_;
  policy::MemoryAccount table_memory_;  // of the decision module's tables
  Upstream upstream_;
  Gateway gateway_;  // reads connection counts from upstream_
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  std::size_t unanswered_requests_ = 0;  // open requests without their final response
  policy::RequestHistory history_;       // of requests whose clients have no answer
  Metrics metrics_;
  std::uint64_t last_request_number_ = 0;
  std::deque<Event> pending_events_;  // not passed to the gateway yet
  bool handling_events_ = false;
  bool has_ready_servers_ = false;  // a list has named a price server that takes requests
  std::function<void()> on_drained_, on_replaced_;
  std::unique_ptr<CounterClient> counter_;
  // At former addresses, until their last calls have ended.
  std::deque<std::unique_ptr<CounterClient>> draining_counters_;
  bool was_ready_ = false;
  Discovery discovery_;
  HttpServer http_server_;
  AdminServer admin_server_;
  HotRestart hot_restart_;
  std::unique_ptr<GossipTransport> gossip_;
  std::unique_ptr<Coordination> coordination_;
  std::shared_ptr<const Settings> settings_;  // for new requests; set with coordination only
  Time step_down_deadline_ = Time::max();     // for leader leases to be transferred
  Descriptor inherited_listener_;             // from the predecessor, until this process serves
  bool serving_ = false;                      // this process accepts client connections
  bool handed_over_ = false;                  // a successor accepts them
  bool failed_open_requests_ = false;         // at the drain deadline
};

}  // namespace petrelrail
