// The model carrier: the real Gateway of every node on one simulated clock, with hundreds of nodes
// as discrete events. The same scenario and seed give the same course to the last event. What
// stands in for src/node (connections, time-outs, the counter's links, a process's life) is told in
// docs/lab.md; a node's own processor time is not modelled.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "node/settings_reader.hpp"
#include "simulation.hpp"

namespace petrelrail::world {

class SimulatedRuntime final : public Runtime {
 public:
  using Logged = std::function<void(Time, std::uint32_t node, const std::string& text)>;

  SimulatedRuntime(const Scenario& scenario, std::uint64_t seed, EventQueue& agenda, Logged logged);
  ~SimulatedRuntime() override;
  void serve(Simulation& world) { world_ = &world; }

  void start_node(std::uint32_t node) override;
  void kill_node(std::uint32_t node) override;
  void term_node(std::uint32_t node) override;
  void stall_node(std::uint32_t node, bool stalled) override;
  void reload_node(std::uint32_t node, const Fault& fault) override;
  void upgrade_node(std::uint32_t node) override;
  void submit(const ClientAttempt& t) override;
  void leave(ClientAttemptId id) override;
  void answer(AttemptNumber attempt, ServerAnswer answer) override;
  void server_added(std::uint32_t) override {}
  void reset_connections(std::uint32_t server) override;
  void list_changed(std::uint32_t node, std::span<const Entry> changes,
                    std::int64_t revision) override;
  void network_changed() override;
  void datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) override;
  // Of the nodes that are up, how many hold just those for living that are up; 1 where members are
  // off.
  double views_agreed() const;

 private:
  class Process;
  struct Node {
    std::shared_ptr<Process> serving;               // takes new requests
    std::vector<std::shared_ptr<Process>> leaving;  // predecessors that finish what they have
    bool stalled = false;
    std::deque<std::function<void()>> waiting;  // for it to go on
    std::uint64_t lives = 0;
  };
  struct Flight {  // an attempt at a price server
    std::shared_ptr<Process> process;
    RequestId request{};
    std::uint32_t attempt = 0, server = 0;
  };

  // Runs now, or once the node goes on.
  void enter(std::uint32_t node, std::function<void()> what);
  std::shared_ptr<Process> new_process(std::uint32_t node);
  void drain(const std::shared_ptr<Process>& process, Time from);

  const Scenario& scenario_;
  RandomStreams dice_;
  EventQueue& agenda_;
  Logged logged_;
  Simulation* world_ = nullptr;
  std::vector<Node> nodes_;
  std::unordered_map<AttemptNumber, Flight> flights_;
  std::unordered_map<ClientAttemptId, std::shared_ptr<Process>> holders_;
};

}  // namespace petrelrail::world
