// The world that the edge nodes serve, put together: clients and their front, price servers,
// counter, discovery, the network between them, and what goes wrong. It does no I/O and has no
// clock: a carrier lets the agenda run and takes messages to the nodes and back, either as events
// on a simulated clock or over sockets to real processes.
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

struct ClientAttempt {  // a client's request on its way to a node
  ClientAttemptId id{}, root{};
  std::uint32_t node = 0, plan = 0, number = 0;  // number: 0 for the first try
  CustomerId customer{};
  std::size_t asker = 0;  // the customer's place in the world's table
  double units = 1;
  std::uint32_t first = 0, spread = 1;       // the customer's set
  Time asked{}, sent{}, deadline{}, last{};  // last: when the client gives up for good
};

struct Entry {  // of the list, as discovery tells it
  std::uint32_t server = 0;
  std::string id;
  std::uint32_t zone = 0, cell = 0;
  EndpointPhase phase = EndpointPhase::ready;
  double size = 1;
  std::optional<Time> started;
};

enum class ServerAnswer { ok, error, full, spoilt };
enum class AttemptNumber : std::uint64_t { none = 0 };
enum class Connect { up, refused, silent };

// How the world reaches the nodes.
class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual void start_node(std::uint32_t node) = 0;  // World::node_ready() follows
  virtual void kill_node(std::uint32_t node) = 0;   // at once
  virtual void term_node(std::uint32_t node) = 0;   // World::node_ended() follows
  virtual void stall_node(std::uint32_t node, bool stalled) = 0;
  virtual void reload_node(std::uint32_t node, const Fault& fault) = 0;
  virtual void upgrade_node(std::uint32_t node) = 0;
  // Whether clients have a connection to it that carries no request.
  virtual bool has_idle_connection(std::uint32_t) const { return false; }
  virtual void submit(
      const ClientAttempt& t) = 0;  // one of the calls under "what came of a try" follows, or none
  virtual void leave(ClientAttemptId id) = 0;  // the client closes its connection
  virtual void answer(AttemptNumber attempt, ServerAnswer answer) = 0;
  virtual void server_added(std::uint32_t server) = 0;
  virtual void reset_connections(std::uint32_t server) = 0;
  virtual void list_changed(std::uint32_t node, std::span<const Entry> changes,
                            std::int64_t revision) = 0;
  virtual void network_changed() = 0;  // cuts, servers and counter that come and go
  virtual void datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) = 0;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, EventQueue& agenda, Runtime& carrier,
             std::function<void(Time, const Observation&)> watcher);

  // Starts all nodes. Clients begin when all are ready, or after `patience`.
  void begin(Duration patience);
  bool node_up(std::uint32_t node) const { return nodes_[node].life == Life::up; }
  bool clients_began() const { return began_at_ != Time{}; }
  Time began_at() const { return began_at_; }
  // Clients ask no more and nothing of theirs is open; faults go on until then.
  bool over() const;
  // The end of the last of the clients' requests at the latest.
  Time ends_at() const;

  // ---- From the nodes, by way of the carrier ----------------------------------------------------
  void node_ready(std::uint32_t node);
  void node_ended(std::uint32_t node);  // its process is gone, by itself or as it was told
  void taken(ClientAttemptId id);
  // What came of a try.
  void answered(ClientAttemptId id, Verdict verdict, Duration retry_after, bool genuine);
  void broken(ClientAttemptId id, bool first_on_connection);
  void unreachable(ClientAttemptId id);
  // A connection that a node opens to a price server.
  Connect connect(std::uint32_t node, std::uint32_t server);
  void closed(std::uint32_t node, std::uint32_t server);
  // A request that has come whole at a price server; `none` where nobody took it in.
  AttemptNumber attempt(std::uint32_t node, std::uint32_t server, ClientAttemptId id,
                        Time first_byte);
  void attempt_left(AttemptNumber attempt);
  // `told` is called when the answer reaches the node's machine; not at all where none does.
  void call(std::uint32_t node, const Counter::Call& call,
            std::function<void(const Counter::Answer&)> told);
  void datagram(std::uint32_t from, std::uint32_t to, std::string payload);

  // ---- What is so -------------------------------------------------------------------------------
  struct List {
    std::map<std::uint32_t, Entry> entries;
    std::int64_t revision = 0;
  };
  const List& list(std::uint32_t node) const { return nodes_.at(node).list; }
  std::uint32_t zone_of_node(std::uint32_t node) const;
  std::uint32_t zone_of_server(std::uint32_t server) const { return servers_.at(server).zone; }
  std::size_t servers() const { return servers_.size(); }
  const std::string& server_id(std::uint32_t server) const { return servers_.at(server).id; }
  // Whether a new connection would come up; the counter's and discovery's likewise.
  Connect would_connect(std::uint32_t node, std::uint32_t server) const;
  Connect counter_would_connect(std::uint32_t node) const;
  bool talks_with_discovery(std::uint32_t node) const;
  bool passes(Party from, Party to) const { return network_.passes(from, to); }
  Duration way(std::uint32_t node, std::uint32_t server);  // one way, drawn
  Duration counter_way(std::uint32_t node);
  Duration client_way() { return network_.client_delay(); }
  Duration handshake(std::uint32_t node, std::uint32_t server);
  const ClientAttempt* find(ClientAttemptId id) const;
  // The same, while its client waits; null too once that has gone.
  const ClientAttempt* find_waiting(ClientAttemptId id) const;
  // By fault of the scenario, what it has touched so far.
  const std::vector<std::uint64_t>& fault_effects() const { return effects_.counts(); }
  EventQueue& agenda() { return agenda_; }
  const Scenario& scenario() const { return scenario_; }

 private:
  enum class Life { down, starting, up, ending };
  struct Node {
    Life life = Life::down;
    bool front_sees = false;  // the front sends to it
    bool comes_back = false;  // after its planned end
    std::uint64_t lives = 0;
    List list;
    Time told_at{};                // the last news was written; later ones come no sooner
    std::vector<Entry> held_back;  // while it can't hear discovery
  };
  struct Server {
    std::string id;
    std::uint32_t zone = 0, cell = 0;
    PriceServer model;
    Time started{};
    std::uint64_t life = 0;  // of what is scheduled for it
    Time wakes_at = Time::max();
    double errors = 0;
    std::uint32_t connections = 0;
    Entry listed;  // as discovery has it
    bool slowed = false;
  };
  struct OpenTry {
    ClientAttempt t;
    bool ended = false, retried = false;
    bool swallowed = false;  // its answer, by a cut
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
    double spike = 1;  // factor of a spike; 1: it has none
    Duration spike_for{}, spike_every{}, spike_phase{};
    RandomStreams dice;
    bool honours = true;
    std::vector<double> weights{};  // over its set
    std::int64_t shift = -1;        // the period the weights are of
  };

  void see(const Observation& s) { watcher_(agenda_.now(), s); }
  void make_servers();
  std::uint32_t add_server(std::uint32_t zone, std::uint32_t cell);
  void make_customers();
  void begin_clients();
  void next_arrival(std::size_t customer);
  double rate_now(const Customer& c, Time at) const;
  std::optional<std::uint32_t> pick_node(Customer& c);
  std::uint32_t pick_plan(const Customer& c, ClientAttemptId id) const;
  bool takes_requests(std::uint32_t node) const;
  void ask(std::size_t customer, const ClientAttempt* before);
  void leave(ClientAttemptId id);
  void time_up(ClientAttemptId id);
  void retry(OpenTry& o, Duration advice);
  void forget(ClientAttemptId id);

  void start_server(std::uint32_t server, bool cold);
  void lose_server(std::uint32_t server, PriceServer::Phase as);
  void wake(std::uint32_t server);
  void run_server(std::uint32_t server);
  void finish(AttemptNumber number, ServerAnswer answer);
  void list(std::uint32_t server, EndpointPhase phase, Duration noticed,
            std::optional<std::uint32_t> wrong_zone = {});
  void tell(std::uint32_t node, std::vector<Entry> changes);
  void write_list(std::uint32_t node, std::vector<Entry> changes);

  void start(std::uint32_t node);
  void down(std::uint32_t node, bool crashed);
  void planned_end(std::uint32_t node);

  std::vector<std::uint32_t> pick(const Selector& s, std::size_t of, std::uint64_t number) const;
  std::set<Party> parties(const std::vector<Selector>& selectors, std::uint64_t number) const;
  std::vector<std::uint32_t> chosen(const Fault& f, Selector::Kind kind,
                                    std::uint64_t number) const;
  void schedule(const Fault& f, std::uint64_t number);
  void strike(const Fault& f, std::uint64_t number);
  void lose_zone(const Fault& f);
  void replace(const std::vector<std::uint32_t>& servers, Duration over);
  void slow_server(std::uint32_t server, double factor);

  Scenario scenario_;
  RandomStreams dice_;
  EventQueue& agenda_;
  Runtime& carrier_;
  std::function<void(Time, const Observation&)> watcher_;
  std::vector<Plan> plans_;
  Network network_;
  PeerNetwork peer_network_;
  Counter counter_;
  RandomStreams works_, clients_, discovery_dice_;
  std::vector<Node> nodes_;
  std::vector<Server> servers_;
  std::vector<Customer> customers_;
  std::unordered_map<ClientAttemptId, OpenTry> tries_;
  std::unordered_map<AttemptNumber, Attempt> attempts_;
  std::uint64_t last_try_ = 0, last_attempt_ = 0;
  std::int64_t revision_ = 0;
  FaultEffects effects_;
  double burst_ = 1, spoilt_ = 0;
  Duration list_late_{};
  Time began_at_{}, quiet_from_{};
};

// What a fault is called in logs and reports: its kind, its figures and whom it hits.
std::string text_of(const Fault& f);

}  // namespace petrelrail::world
