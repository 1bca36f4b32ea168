// The process carrier: real processes of the program over loopback, in real time. The lab plays
// clients and front, price servers, counter, discovery's agents and the peer network, each node
// with addresses of its own for every party, so that any two can be cut from each other.
// docs/lab.md tells what loopback can't show.
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
#include "experiment.hpp"
#include "wire.hpp"

namespace petrelrail::lab {

class Processes final : public world::Runtime {
 public:
  Processes(const Options& options, asio::io_context& io, world::EventQueue& agenda,
            std::filesystem::path folder);
  ~Processes() override;
  // Opens all addresses. Throws where that can't be.
  void serve(world::Simulation& world);
  // Looks after processes that have ended, and what they use; to be called now and then.
  void look(bool measure);
  const std::string& crash() const { return crash_; }
  std::vector<std::string> breaches() const;
  // Asks every node that is up for its view of the members; views_agreed() tells of the latest
  // answers.
  void ask_views();
  double views_agreed() const;
  void started(std::function<void(std::uint32_t, Child::Usage)> used) { used_ = std::move(used); }

  void start_node(std::uint32_t node) override;
  void kill_node(std::uint32_t node) override;
  void term_node(std::uint32_t node) override;
  void stall_node(std::uint32_t node, bool stalled) override;
  void reload_node(std::uint32_t node, const world::Fault& fault) override;
  void upgrade_node(std::uint32_t node) override;
  bool has_idle_connection(std::uint32_t node) const override;
  void submit(const world::ClientAttempt& t) override;
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
    std::unique_ptr<Child> child;                 // that serves
    std::unique_ptr<Child> next;                  // that is to take over
    std::vector<std::unique_ptr<Child>> leaving;  // that finish what they have
    bool ready = false, stalled = false;
    bool ending = false;  // was told to end
    std::uint64_t lives = 0;
    std::uint32_t max_attempts = 0;
    Tcp::endpoint listen, control, next_control;
    std::filesystem::path folder, log;
    std::unique_ptr<Port> agent, counter;
    std::vector<std::unique_ptr<Port>> servers;   // by number
    std::unique_ptr<asio::ip::udp::socket> peer;  // others reach it here
    std::vector<std::shared_ptr<FrontLink>> idle;
    std::set<std::shared_ptr<FrontLink>> front;
    std::set<std::shared_ptr<ServerLink>> server_links;
    std::set<std::shared_ptr<CounterLink>> counter_links;
    std::set<std::shared_ptr<AgentLink>> agents;
    std::deque<world::ClientAttempt> waiting;  // for a connection of the front
  };

  asio::ip::address address(std::uint32_t node) const;
  void write_config(std::uint32_t node, const Tcp::endpoint& control);
  std::unique_ptr<Child> spawn(std::uint32_t node, const Tcp::endpoint& control);
  std::map<std::string, std::string> system_faults(std::uint32_t node) const;
  void ask_ready(std::uint32_t node, const Tcp::endpoint& at, std::function<bool()> wanted,
                 std::function<void()> yes);
  void open_server(std::uint32_t node, std::uint32_t server);
  void open_agent(std::uint32_t node);
  void open_counter(std::uint32_t node);
  void hear_peer(std::uint32_t node);
  void pass_on(const world::ClientAttempt& t);
  void ended(std::uint32_t node, const Child& child, int status);
  std::string entry_json(std::uint32_t node, const world::Entry& e) const;
  std::string list_json(std::uint32_t node, std::span<const world::Entry> entries,
                        std::int64_t revision, bool complete) const;

  const Options& options_;
  asio::io_context& io_;
  world::EventQueue& agenda_;
  std::filesystem::path folder_;
  world::Simulation* world_ = nullptr;
  unsigned base_ = 0;  // second octet of this lab's addresses
  std::vector<Node> nodes_;
  std::unordered_map<world::AttemptNumber, std::weak_ptr<ServerLink>> attempts_;
  std::unordered_map<world::ClientAttemptId, std::shared_ptr<FrontLink>> out_;  // requests at nodes
  std::map<std::uint32_t, std::array<char, 2048>> datagrams_;
  std::map<std::uint32_t, asio::ip::udp::endpoint> senders_;
  std::map<std::uint32_t, nlohmann::json> views_;
  std::set<world::ClientAttemptId> spoilt_;   // answers to these broke on their way
  std::set<world::ClientAttemptId> sent_on_;  // these came to a price server
  std::uint64_t answers_ = 0;                 // of price servers
  std::string crash_;
  std::uint64_t seeds_ = 0;
  std::function<void(std::uint32_t, Child::Usage)> used_ = [](std::uint32_t, Child::Usage) {};
};

}  // namespace petrelrail::lab
