// Simulates the environment of the edge nodes: clients and their front, price servers, quota
// counter, discovery, the network between them, and injected faults. It does no I/O and has no
// clock: a Runtime advances the event queue and passes messages between the simulation and the
// nodes, either as events on a simulated clock or over sockets to real processes. Single-threaded.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "counter.hpp"
#include "event_queue.hpp"
#include "fault_effects.hpp"
#include "network.hpp"
#include "observations.hpp"
#include "peers.hpp"
#include "price_server.hpp"

namespace petrelrail::world {

struct ClientAttempt {  // one sending of a client's request to a node
  ClientAttemptId id{}, root{};
  std::uint32_t node = 0, plan = 0, number = 0;  // number: 0 for the first
  CustomerId customer{};
  std::size_t customer_index = 0;
  double units = 1;
  std::uint32_t first = 0, spread = 1;  // the customer's set
  // `final_deadline`: when the client stops waiting for any attempt of the request.
  Time first_sent{}, sent{}, deadline{}, final_deadline{};
};

struct Entry {  // of the endpoint list, as discovery sends it
  std::uint32_t server = 0;
  std::string id;
  std::uint32_t zone = 0, cell = 0;
  EndpointPhase phase = EndpointPhase::ready;
  double size = 1;
  std::optional<Time> started;
};

enum class ServerAnswer { ok, error, full, truncated };
enum class AttemptNumber : std::uint64_t { none = 0 };
enum class ConnectResult { up, refused, silent };

// Runs the nodes and passes messages from the simulation to them.
class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual void start_node(std::uint32_t node) = 0;  // Simulation::node_ready() follows
  virtual void kill_node(std::uint32_t node) = 0;   // at once
  virtual void term_node(std::uint32_t node) = 0;   // Simulation::node_ended() follows
  virtual void stall_node(std::uint32_t node, bool stalled) = 0;
  virtual void reload_node(std::uint32_t node, const Fault& fault) = 0;
  virtual void upgrade_node(std::uint32_t node) = 0;
  // Whether clients have a connection to the node that carries no request.
  virtual bool has_idle_connection(std::uint32_t) const { return false; }
  // Sends a client attempt to its node. At most one call of the group "Outcome of a client attempt"
  // follows.
  virtual void submit(const ClientAttempt& t) = 0;
  virtual void disconnect_client(ClientAttemptId id) = 0;  // the client closes its connection
  virtual void answer(AttemptNumber attempt, ServerAnswer answer) = 0;
  virtual void server_added(std::uint32_t server) = 0;
  virtual void reset_connections(std::uint32_t server) = 0;
  virtual void list_changed(std::uint32_t node, std::span<const Entry> changes,
                            std::int64_t revision) = 0;
  virtual void network_changed() = 0;  // a partition, a price server or the counter changed state
  virtual void datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) = 0;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, EventQueue& queue, Runtime& runtime,
             std::function<void(Time, const Observation&)> observer);

  // Starts all nodes. Clients start when all are ready, or after `patience`.
  void begin(Duration patience);
  bool node_up(std::uint32_t node) const { return nodes_[node].state == NodeState::up; }
  bool clients_began() const { return began_at_ != Time{}; }
  Time began_at() const { return began_at_; }
  // Whether clients have stopped sending and no client attempt is open; faults continue until then.
  bool is_over() const;
  // Latest time at which the last client attempt ends.
  Time ends_at() const;

  // ---- Called by the runtime for the nodes ------------------------------------------------------
  void node_ready(std::uint32_t node);
  void node_ended(std::uint32_t node);  // its process has exited, planned or not
  void received(ClientAttemptId id);
  // Outcome of a client attempt.
  void answered(ClientAttemptId id, Verdict verdict, Duration retry_after, bool genuine);
  void broken(ClientAttemptId id, bool first_on_connection);
  void unreachable(ClientAttemptId id);
  // A node opens a connection to a price server.
  ConnectResult connect(std::uint32_t node, std::uint32_t server);
  void closed(std::uint32_t node, std::uint32_t server);
  // A request has arrived whole at a price server; returns `none` if no server received it.
  AttemptNumber attempt(std::uint32_t node, std::uint32_t server, ClientAttemptId id,
                        Time first_byte);
  void attempt_left(AttemptNumber attempt);
  // Calls `on_answer` when the answer reaches the node's machine, and never if no answer does.
  void call(std::uint32_t node, const Counter::Call& call,
            std::function<void(const Counter::Answer&)> on_answer);
  void datagram(std::uint32_t from, std::uint32_t to, std::string payload);

  // ---- State ------------------------------------------------------------------------------------
  struct List {
    std::map<std::uint32_t, Entry> entries;
    std::int64_t revision = 0;
  };
  const List& list(std::uint32_t node) const { return nodes_.at(node).list; }
  std::uint32_t zone_of_node(std::uint32_t node) const;
  std::uint32_t zone_of_server(std::uint32_t server) const { return servers_.at(server).zone; }
  std::size_t servers() const { return servers_.size(); }
  const std::string& server_id(std::uint32_t server) const { return servers_.at(server).id; }
  // The result that a new connection would have.
  ConnectResult would_connect(std::uint32_t node, std::uint32_t server) const;
  ConnectResult counter_would_connect(std::uint32_t node) const;
  bool talks_with_discovery(std::uint32_t node) const;
  bool passes(Party from, Party to) const { return network_.passes(from, to); }
  Duration network_delay(std::uint32_t node, std::uint32_t server);  // one way, drawn at random
  Duration counter_delay(std::uint32_t node);
  Duration client_delay() { return network_.client_delay(); }
  Duration handshake(std::uint32_t node, std::uint32_t server);
  const ClientAttempt* find(ClientAttemptId id) const;
  // As find(), but null after the attempt ended or its client disconnected.
  const ClientAttempt* find_waiting(ClientAttemptId id) const;
  // Effects so far, by index of the fault in the scenario.
  const std::vector<std::uint64_t>& fault_effects() const { return effects_.counts(); }
  EventQueue& queue() { return queue_; }
  const Scenario& scenario() const { return scenario_; }

 private:
  enum class NodeState { down, starting, up, ending };
  struct Node {
    NodeState state = NodeState::down;
    bool in_front = false;  // the clients' front sends requests to it
    bool restarts = false;  // started again after a planned stop
    std::uint64_t incarnation = 0;
    List list;
    Time last_notified{};            // time of the latest notification; later ones come no earlier
    std::vector<Entry> undelivered;  // changes not sent while the node can't reach discovery
  };
  struct Server {
    std::string id;
    std::uint32_t zone = 0, cell = 0;
    PriceServer model;
    Time started{};
    std::uint64_t incarnation = 0;  // events scheduled for an earlier one are ignored
    Time wakes_at = Time::max();
    double errors = 0;
    std::uint32_t connections = 0;
    Entry listed;  // the entry as discovery lists it
    bool slowed = false;
  };
  struct OpenClientAttempt {
    ClientAttempt t;
    bool ended = false, retried = false;
    bool answer_dropped = false;  // a partition dropped the answer
  };
  struct Attempt {
    std::uint32_t node = 0, server = 0;
    ClientAttemptId id{};
    JobId job{};
  };
  struct Customer {
    CustomerId id{};
    std::uint32_t plan = 0, first = 0, spread = 1;
    double rate = 0;   // requests a second
    double spike = 1;  // factor of the rate in a spike; 1: no spikes
    Duration spike_for{}, spike_every{}, spike_phase{};
    RandomStreams random;
    bool honours_retry_after = true;
    std::vector<double> weights{};  // of the nodes of its set
    std::int64_t shift = -1;        // the period that the weights belong to
  };

  void observe(const Observation& s) { observer_(queue_.now(), s); }
  void make_servers();
  std::uint32_t add_server(std::uint32_t zone, std::uint32_t cell);
  void make_customers();
  void begin_clients();
  void next_arrival(std::size_t customer);
  double rate_now(const Customer& c, Time at) const;
  std::optional<std::uint32_t> pick_node(Customer& c);
  std::uint32_t pick_plan(const Customer& c, ClientAttemptId id) const;
  bool takes_requests(std::uint32_t node) const;
  void send_client_attempt(std::size_t customer, const ClientAttempt* before);
  void disconnect_early(ClientAttemptId id);
  void on_deadline(ClientAttemptId id);
  void retry(OpenClientAttempt& o, Duration advice);
  void forget(ClientAttemptId id);

  void start_server(std::uint32_t server, bool cold);
  void stop_server(std::uint32_t server, PriceServer::Phase as);
  void schedule_wakeup(std::uint32_t server);
  void advance_server(std::uint32_t server);
  void finish(AttemptNumber number, ServerAnswer answer);
  void publish_entry(std::uint32_t server, EndpointPhase phase, Duration noticed,
                     std::optional<std::uint32_t> wrong_zone = {});
  void notify(std::uint32_t node, std::vector<Entry> changes);
  void write_list(std::uint32_t node, std::vector<Entry> changes);

  void start_node(std::uint32_t node);
  void mark_down(std::uint32_t node, bool crashed);
  void stop_node(std::uint32_t node);

  std::vector<std::uint32_t> select(const Selector& s, std::size_t of, std::uint64_t number) const;
  std::set<Party> selected_parties(const std::vector<Selector>& selectors,
                                   std::uint64_t number) const;
  std::vector<std::uint32_t> selected(const Fault& f, Selector::Kind kind,
                                      std::uint64_t number) const;
  void schedule_fault(const Fault& f, std::uint64_t number);
  void inject_fault(const Fault& f, std::uint64_t number);
  void lose_zone(const Fault& f);
  void replace(const std::vector<std::uint32_t>& servers, Duration over);
  void slow_server(std::uint32_t server, double factor);

  Scenario scenario_;
  RandomStreams random_;
  EventQueue& queue_;
  Runtime& runtime_;
  std::function<void(Time, const Observation&)> observer_;
  std::vector<Plan> plans_;
  Network network_;
  PeerNetwork peer_network_;
  Counter counter_;
  RandomStreams work_random_, clients_random_, discovery_random_;
  std::vector<Node> nodes_;
  std::vector<Server> servers_;
  std::vector<Customer> customers_;
  std::unordered_map<ClientAttemptId, OpenClientAttempt> client_attempts_;
  std::unordered_map<AttemptNumber, Attempt> attempts_;
  std::uint64_t last_client_attempt_ = 0, last_attempt_ = 0;
  std::int64_t revision_ = 0;
  FaultEffects effects_;
  double burst_factor_ = 1, truncated_share_ = 0;
  Duration list_delay_{};
  Time began_at_{}, clients_stop_at_{};
};

// Describes a fault in logs and reports: its kind, parameters and affected parties.
std::string text_of(const Fault& f);

}  // namespace petrelrail::world
