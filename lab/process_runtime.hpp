// Runs a simulated fleet with real processes of the edge node, in real time over loopback. The lab
// plays the clients, the front load balancer, the price servers, the quota counter, the discovery
// agents and the peer network. Each node reaches each of them at an address of its own, so that any
// single path can be cut. All on one thread. docs/lab.md lists what loopback can't show.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "child.hpp"
#include "crowd.hpp"
#include "experiment.hpp"
#include "wire.hpp"

namespace petrelrail::lab {

class ProcessRuntime final : public world::Runtime {
 public:
  ProcessRuntime(const Options& options, asio::io_context& io, world::EventQueue& agenda,
                 std::filesystem::path folder);
  ~ProcessRuntime() override;
  // Opens the addresses of all simulated processes. Throws if one can't be opened.
  void start(world::Simulation& world);
  // Reaps processes that have ended and, if `should_measure`, reports the usage of the others.
  // Called every 20 ms during a run.
  void poll_processes(bool should_measure);
  // Describes the first process that ended unexpectedly; empty if there was none.
  const std::string& crash() const { return crash_; }
  // Returns the log lines in which nodes report a broken invariant.
  std::vector<std::string> violations() const;
  // Requests the membership view of every running node. The answers arrive asynchronously.
  void request_views();
  // Returns the share of running nodes whose latest view matches which nodes run.
  double agreeing_view_share() const;
  // The callback receives the node's number and its usage.
  void set_usage_callback(std::function<void(std::uint32_t, Child::Usage)> on_usage) {
    on_usage_ = std::move(on_usage);
  }

  void start_node(std::uint32_t node) override;
  void kill_node(std::uint32_t node) override;
  void term_node(std::uint32_t node) override;
  void stall_node(std::uint32_t node, bool stalled) override;
  void reload_node(std::uint32_t node, const world::Fault& fault) override;
  void upgrade_node(std::uint32_t node) override;
  bool has_idle_connection(std::uint32_t node) const override;
  void submit(const world::ClientAttempt& client_attempt) override;
  void disconnect_client(world::ClientAttemptId id) override;
  void answer(world::AttemptNumber attempt, world::ServerAnswer answer) override;
  void server_added(std::uint32_t server) override;
  void reset_connections(std::uint32_t server) override;
  void list_changed(std::uint32_t node, std::span<const world::Entry> changes,
                    std::int64_t revision) override;
  void network_changed() override;
  void datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) override;

 private:
  class FrontLink;
  class ServerLink;
  class CounterLink;
  class AgentLink;
  struct Node {
    std::unique_ptr<Child> child;                  // serves requests
    std::unique_ptr<Child> successor;              // starts up during a hot restart
    std::vector<std::unique_ptr<Child>> draining;  // replaced processes that finish their requests
    bool is_ready = false, is_stalled = false;
    bool is_terminating = false;    // has received SIGTERM
    std::uint64_t incarnation = 0;  // changes with each start and end of the serving process
    std::uint32_t max_attempts = 0;
    Tcp::endpoint listen, control, successor_control;
    std::filesystem::path folder, log;
    std::unique_ptr<Port> agent_port, counter_port;
    std::vector<std::unique_ptr<Port>> server_ports;     // by server number
    std::unique_ptr<asio::ip::udp::socket> peer_socket;  // receives datagrams for this node
    std::vector<std::shared_ptr<FrontLink>> idle_front_links;
    std::set<std::shared_ptr<FrontLink>> front_links;
    std::set<std::shared_ptr<ServerLink>> server_links;
    std::set<std::shared_ptr<CounterLink>> counter_links;
    std::set<std::shared_ptr<AgentLink>> agent_links;
    std::deque<world::ClientAttempt>
        queued_attempts;  // wait for a connection of the front load balancer
  };

  asio::ip::address address(std::uint32_t node) const;
  void write_config(std::uint32_t node, const Tcp::endpoint& control);
  std::unique_ptr<Child> spawn(std::uint32_t node, const Tcp::endpoint& control);
  std::map<std::string, std::string> system_faults(std::uint32_t node) const;
  void poll_ready(std::uint32_t node, const Tcp::endpoint& endpoint,
                  std::function<bool()> is_wanted, std::function<void()> on_ready);
  void open_server(std::uint32_t node, std::uint32_t server);
  void open_agent(std::uint32_t node);
  void open_counter(std::uint32_t node);
  void receive_datagrams(std::uint32_t node);
  void forward(const world::ClientAttempt& client_attempt);
  void check_memory(std::uint32_t node, const Child::Usage& usage);
  void record_crash(std::uint32_t node, const Child& child, int status);
  std::string entry_json(std::uint32_t node, const world::Entry& entry) const;
  std::string list_json(std::uint32_t node, std::span<const world::Entry> entries,
                        std::int64_t revision, bool complete) const;

  const Options& options_;
  asio::io_context& io_;
  world::EventQueue& agenda_;
  std::filesystem::path folder_;
  world::Simulation* world_ = nullptr;
  unsigned address_octet_ = 0;  // second octet of this lab's loopback addresses
  std::vector<Node> nodes_;
  std::unordered_map<world::AttemptNumber, std::weak_ptr<ServerLink>> attempts_;
  std::unordered_map<world::ClientAttemptId, std::shared_ptr<FrontLink>> in_flight_;  // at nodes
  std::map<std::uint32_t, std::array<char, 2048>> datagram_buffers_;
  std::map<std::uint32_t, asio::ip::udp::endpoint> senders_;
  std::map<std::uint32_t, nlohmann::json> views_;
  std::set<world::ClientAttemptId> truncated_answers_;  // the price server's answer was cut off
  std::set<world::ClientAttemptId> forwarded_;          // reached a price server
  std::uint64_t answers_ = 0;                           // of price servers
  std::string crash_;
  std::uint64_t drawn_seeds_ = 0;
  Crowd crowd_;
  std::set<std::uint32_t> over_memory_;  // nodes that held more than their limit
  std::function<void(std::uint32_t, Child::Usage)> on_usage_ = [](std::uint32_t, Child::Usage) {};
};

}  // namespace petrelrail::lab
