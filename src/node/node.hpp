// The edge node: owns the Gateway, tells it what happens, and carries out what it decides, in order. It owns the
// table of open requests, and with it that each gets exactly one final answer.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

#include "clients.hpp"
#include "control.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "handover.hpp"
#include "metrics.hpp"
#include "net.hpp"
#include "peers.hpp"
#include "petrelrail/gateway.hpp"
#include "policy/request_rules.hpp"
#include "settings_reader.hpp"
#include "together.hpp"
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
  std::string handover;  // the path of the socket on which a successor calls; empty: none can
  nlohmann::json known;
  reading::NamedSettings named;
  std::optional<PeersConfig> peers;        // none: members are off
  std::optional<TogetherConfig> together;  // none: off; else with peers
};

class Node : private Clients::Owner,
             private Upstream::Owner,
             private Control::Owner,
             private Handover::Owner,
             private Peers::Owner,
             private Together::Host {
 public:
  Node(asio::io_context& io, NodeConfig config);

  // `replaced`: another process follows the predecessor instead of this one, which has nothing to do.
  void start(std::function<void()> replaced = {});
  // Goes on with the settings of a new configuration, and with discovery and the counter where it says that
  // they are. Throws, and changes nothing, if it has what can't change while the node runs.
  void reconfigure(const NodeConfig& config);
  // Takes no new sessions for long and calls `done` when nothing is open any more.
  void drain(std::function<void()> done);
  Tcp::endpoint listens_at() const { return clients_.listens_at(); }
  Tcp::endpoint control_at() const { return control_.listens_at(); }
  // A new configuration was taken, or turned down.
  void reloaded(bool taken) { metrics_.reloaded(taken); }
  std::size_t open_requests() const { return open_.size(); }

 private:
  struct Open {
    std::shared_ptr<Asker> asker;  // none: it has its final answer, or its client has gone
    std::shared_ptr<const ClientRequest> message;
    Metrics::Replies* replies = nullptr;  // the counts of its class
    policy::RequestLife life;             // what may be done for it
  };

  bool ready() override;
  std::uint64_t arrived(ClientRequest request, std::shared_ptr<ClientSession> session) override;
  void client_gone(std::uint64_t request) override;
  bool could_lend() const override;
  bool lend() override;
  bool descriptor_free() const override;
  bool reclaim_descriptor() override;
  bool still_wanted(RequestId request) override;
  void attempt_ended(const Errand& errand, Outcome outcome, Answer answer) override;
  bool stream_began(const Errand& errand, const AnswerHead& head) override;
  void stream_piece(const Errand& errand, std::string_view piece, std::function<void()> taken) override;
  void attempt_written(const Errand& errand) override;
  void probe_ended(const Errand& errand, Outcome outcome) override;
  bool serves() override { return serves_ && !drained_ && ready(); }
  std::string figures() override;
  bool leave_out(const std::string& server, bool out) override;
  int listener() override { return clients_.listener(); }
  nlohmann::json leave_state() override;
  void listener_came(Descriptor socket) override;
  void state_came(const nlohmann::json& state) override;
  void replaced() override;
  void told_by_peer(const nlohmann::json& message) override;
  void peer_lost() override;
  void view_changed(const fleet::View& view) override;
  void other_came(fleet::MemberId from, const fleet::Message& message) override;
  bool asked(const Control::Ask& ask, Control::Answered answered) override;
  void tell(fleet::MemberId to, fleet::Body body, std::uint32_t echo) override;
  void add(const std::string& name, double amount, Duration life,
           std::function<void(CountOutcome, double total)> told) override;
  bool quotas_wait() const override;
  void ask(ClientRequest request, std::shared_ptr<Asker> asker) override;
  std::uint32_t room_for_lines() override;
  std::shared_ptr<const Settings> settings_now() const override { return settings_; }
  std::optional<std::string> members() override;
  void list_changed(ListKind kind, const std::vector<Discovery::Entry>& entries);

  std::uint64_t take(ClientRequest request, std::shared_ptr<Asker> asker);
  void happened(Event event);
  void tune();
  void carry_out(const Send& s);
  void carry_out(const Refuse& s);
  void carry_out(const Fail& s);
  void carry_out(const Cancel& s);
  void carry_out(const AddToCount& s);
  void carry_out(const SetTimer& s);
  void carry_out(const Probe& s);
  void carry_out(const Release& s);
  void carry_out(const Subscribe&) {}  // the watch runs anyway
  void carry_out(const Log& s);
  void finish(RequestId request, std::uint64_t Metrics::Replies::*count, const Answer& answer);
  void end_stream(RequestId request, bool whole);
  void forget_if_done(RequestId request);
  void breached(policy::Breach breach, const std::string& request_id) override;
  void watch_overdue();
  void answer_overdue();
  bool set_out(const std::string& server, bool out);
  void ask_when_ready();
  void serve();
  void serve_in_any_case();
  void listen_for_operators();
  void join(const nlohmann::json* predecessor);
  void wait_until_drained();
  void give_up();
  void limit_descriptors(std::size_t taken_by_clients, std::size_t taken_by_servers);
  std::unique_ptr<Counter> new_counter();

  asio::io_context& io_;
  NodeConfig config_;
  struct Leaving {  // a class that was dropped, or had another effect, while clients may still use it
    RequestClass cls;
    Time until{};
  };
  std::vector<Leaving> leaving_;
  Timers::Handle turn_;     // the next of them goes
  Timers::Handle overdue_;  // open requests are looked at
  Clock clock_;
  Timers timers_;
  Upstream upstream_;
  Gateway gateway_;  // asks upstream_ for its links
  std::unordered_map<RequestId, Open> open_;
  std::size_t concurrent_ = 0;  // of these, those without their final answer
  Metrics metrics_;
  std::uint64_t requests_ = 0;  // the number of the last one
  std::deque<Event> events_;    // that have not been told yet
  bool telling_ = false;
  bool knows_servers_ = false;
  std::function<void()> drained_, replaced_;
  std::unique_ptr<Counter> counter_;
  std::deque<std::unique_ptr<Counter>> left_;  // at former addresses, until their last calls are answered
  bool was_ready_ = false;
  Discovery discovery_;
  Clients clients_;
  Control control_;
  Handover handover_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Together> together_;
  std::shared_ptr<const Settings> settings_;  // that requests begin under now
  Time drains_until_ = Time::max();           // at the latest, for duties to be given on
  Descriptor inherited_;                      // the listening socket, until this process serves
  bool serves_ = false;                       // clients' connections are accepted here
  bool succeeded_ = false;                    // a successor accepts them
  bool gave_up_ = false;                      // the end can't wait for answers any more
};

}  // namespace petrelrail
