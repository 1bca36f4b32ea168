// The edge node: owns the Gateway, tells it what happens, and carries out what it decides, in
// order. It owns the table of open requests, and with it that each gets exactly one final answer.
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
  std::uint64_t seed = 0;
  Duration keep_alive{};
  std::string handover_path;  // the path of the socket on which a successor calls; empty: none can
  nlohmann::json known_endpoints;
  reading::NamedSettings settings;
  std::optional<GossipConfig> gossip;              // none: members are off
  std::optional<CoordinationConfig> coordination;  // none: off; else with peers
};

class Node : private HttpServer::Callbacks,
             private Upstream::Callbacks,
             private AdminServer::Callbacks,
             private HotRestart::Callbacks,
             private GossipTransport::Callbacks,
             private Coordination::Callbacks {
 public:
  Node(asio::io_context& io, NodeConfig config);

  // `replaced`: another process follows the predecessor instead of this one, which has nothing to
  // do.
  void start(std::function<void()> replaced = {});
  // Goes on with the settings of a new configuration, and with discovery and the counter where it
  // says that they are. Throws, and changes nothing, if it has what can't change while the node
  // runs.
  void reconfigure(const NodeConfig& config);
  // Takes no new sessions for long and calls `done` when nothing is open any more.
  void drain(std::function<void()> done);
  Tcp::endpoint listens_at() const { return http_server_.listens_at(); }
  Tcp::endpoint control_at() const { return admin_server_.listens_at(); }
  // A new configuration was taken, or turned down.
  void on_reload(bool taken) { metrics_.on_reload(taken); }
  std::size_t open_requests() const { return open_requests_.size(); }

 private:
  struct OpenRequest {
    std::shared_ptr<ResponseSink>
        response_sink;  // none: it has its final answer, or its client has gone
    std::shared_ptr<const ClientRequest> request_message;
    Metrics::ResponseCounts* response_counts = nullptr;  // the counts of its class
    policy::RequestState state;                          // what may be done for it
  };

  bool is_ready() override;
  std::uint64_t on_request(ClientRequest request, std::shared_ptr<HttpSession> session) override;
  void on_client_disconnected(std::uint64_t request) override;
  bool can_lend_descriptor() const override;
  bool lend_descriptor() override;
  bool has_free_descriptor() const override;
  bool reclaim_descriptor() override;
  bool is_still_wanted(RequestId request) override;
  void on_attempt_ended(const UpstreamExchange& exchange, AttemptOutcome outcome,
                        Response answer) override;
  bool on_stream_started(const UpstreamExchange& exchange, const ResponseHead& head) override;
  void on_stream_chunk(const UpstreamExchange& exchange, std::string_view piece,
                       std::function<void()> taken) override;
  void on_attempt_written(const UpstreamExchange& exchange) override;
  void on_health_check_ended(const UpstreamExchange& exchange, AttemptOutcome outcome) override;
  bool is_serving() override { return serving_ && !on_drained_ && is_ready(); }
  std::string metrics_text() override;
  bool set_operator_ejection(const std::string& server, bool out) override;
  int listener() override { return http_server_.listener(); }
  nlohmann::json export_state() override;
  void on_listener_received(Descriptor socket) override;
  void on_state_received(const nlohmann::json& state) override;
  void on_replaced() override;
  void on_peer_message(const nlohmann::json& message) override;
  void on_peer_lost() override;
  void on_view_changed(const fleet::MembershipView& view) override;
  void on_message(fleet::MemberId from, const fleet::Message& message) override;
  bool on_admin_request(const AdminServer::AdminRequest& ask,
                        AdminServer::AdminCallback answered) override;
  void send_datagram(fleet::MemberId to, fleet::Body body, std::uint32_t echo) override;
  void add_to_counter(const std::string& name, double amount, Duration life,
                      std::function<void(CounterOutcome, double total)> told) override;
  bool quota_calls_waiting() const override;
  void send_request(ClientRequest request, std::shared_ptr<ResponseSink> sink) override;
  std::uint32_t best_effort_capacity() override;
  std::shared_ptr<const Settings> current_settings() const override { return settings_; }
  std::optional<std::string> members_json() override;
  void list_changed(EndpointListKind kind, const std::vector<Discovery::Entry>& entries);

  std::uint64_t accept_request(ClientRequest request, std::shared_ptr<ResponseSink> sink);
  void handle_event(Event event);
  void apply_settings();
  void execute(const Send& s);
  void execute(const Reject& s);
  void execute(const Fail& s);
  void execute(const Cancel& s);
  void execute(const AddToCounter& s);
  void execute(const SetTimer& s);
  void execute(const CheckHealth& s);
  void execute(const ReleaseIdleConnections& s);
  void execute(const Subscribe&) {}  // the watch runs anyway
  void execute(const Log& s);
  void respond(RequestId request, std::uint64_t Metrics::ResponseCounts::*count,
               const Response& answer);
  void end_stream(RequestId request, bool whole);
  void forget_if_done(RequestId request);
  void on_invariant_violation(policy::InvariantViolation breach,
                              const std::string& request_id) override;
  void watch_overdue();
  void answer_overdue();
  bool eject_endpoint(const std::string& server, bool out);
  void request_state_when_ready();
  void serve();
  void serve_with_retry();
  void start_admin_server();
  void join_cluster(const nlohmann::json* predecessor);
  void wait_until_drained();
  void abandon_unanswered();
  void limit_descriptors(std::size_t taken_by_clients, std::size_t taken_by_servers);
  std::unique_ptr<CounterClient> new_counter();

  asio::io_context& io_;
  NodeConfig config_;
  struct RetiredClass {  // a class that was dropped, or had another effect, while clients may still
                         // use it
    RequestClass request_class;
    Time until{};
  };
  std::vector<RetiredClass> retired_classes_;
  Timers::Handle retired_class_timer_;  // the next of them goes
  Timers::Handle overdue_timer_;        // open requests are looked at
  Clock clock_;
  Timers timers_;
  Upstream upstream_;
  Gateway gateway_;  // asks upstream_ for its links
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  std::size_t concurrent_ = 0;  // of these, those without their final answer
  Metrics metrics_;
  std::uint64_t last_request_number_ = 0;  // the number of the last one
  std::deque<Event> pending_events_;       // that have not been told yet
  bool handling_events_ = false;
  bool knows_servers_ = false;
  std::function<void()> on_drained_, on_replaced_;
  std::unique_ptr<CounterClient> counter_;
  std::deque<std::unique_ptr<CounterClient>>
      draining_counters_;  // at former addresses, until their last calls are answered
  bool was_ready_ = false;
  Discovery discovery_;
  HttpServer http_server_;
  AdminServer admin_server_;
  HotRestart hot_restart_;
  std::unique_ptr<GossipTransport> gossip_;
  std::unique_ptr<Coordination> coordination_;
  std::shared_ptr<const Settings> settings_;  // that requests begin under now
  Time step_down_deadline_ = Time::max();     // at the latest, for duties to be given on
  Descriptor inherited_;                      // the listening socket, until this process serves
  bool serving_ = false;                      // clients' connections are accepted here
  bool handed_over_ = false;                  // a successor accepts them
  bool abandoned_unanswered_ = false;         // the end can't wait for answers any more
};

}  // namespace petrelrail
