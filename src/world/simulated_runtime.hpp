// Runs the real Gateway of every node on one simulated clock, for hundreds of nodes as discrete
// events. The same scenario and seed give the same sequence of events. docs/lab.md describes what
// replaces src/node: connections, time-outs, the links to the counter and the life cycle of a
// process. The processor time of a node is not simulated.
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
  using LogCallback = std::function<void(Time, std::uint32_t node, const std::string& text)>;

  SimulatedRuntime(const Scenario& scenario, std::uint64_t seed, EventQueue& queue,
                   LogCallback on_log);
  ~SimulatedRuntime() override;
  void attach(Simulation& simulation) { simulation_ = &simulation; }

  void start_node(std::uint32_t node) override;
  void kill_node(std::uint32_t node) override;
  void term_node(std::uint32_t node) override;
  void stall_node(std::uint32_t node, bool stalled) override;
  void reload_node(std::uint32_t node, const Fault& fault) override;
  void upgrade_node(std::uint32_t node) override;
  void submit(const ClientAttempt& t) override;
  void disconnect_client(ClientAttemptId id) override;
  void answer(AttemptNumber attempt, ServerAnswer answer) override;
  void server_added(std::uint32_t) override {}
  void reset_connections(std::uint32_t server) override;
  void list_changed(std::uint32_t node, std::span<const Entry> changes,
                    std::int64_t revision) override;
  void network_changed() override;
  void datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) override;
  // Share of the nodes that are up whose membership view lists exactly the nodes that are up; 1
  // without membership.
  double views_agreed() const;

 private:
  class Process;
  struct Node {
    std::shared_ptr<Process> serving;                // receives new requests
    std::vector<std::shared_ptr<Process>> draining;  // predecessors finishing their requests
    bool stalled = false;
    std::deque<std::function<void()>> resumed_callbacks;  // callbacks to run when the node resumes
    std::uint64_t incarnation = 0;
  };
  struct AttemptInFlight {  // an attempt received by a price server
    std::shared_ptr<Process> process;
    RequestId request{};
    std::uint32_t attempt = 0, server = 0;
  };

  // Runs the callback now, or when a stalled node resumes.
  void run_on_node(std::uint32_t node, std::function<void()> callback);
  std::shared_ptr<Process> new_process(std::uint32_t node);
  void drain(const std::shared_ptr<Process>& process, Time from);

  const Scenario& scenario_;
  RandomStreams random_;
  EventQueue& queue_;
  LogCallback on_log_;
  Simulation* simulation_ = nullptr;
  std::vector<Node> nodes_;
  std::unordered_map<AttemptNumber, AttemptInFlight> attempts_in_flight_;
  std::unordered_map<ClientAttemptId, std::shared_ptr<Process>> process_by_attempt_;
};

}  // namespace petrelrail::world
