// Datagram transport between edge nodes: owns the UDP socket and the timer of the membership
// protocol (src/fleet/members), which makes all decisions. Owned by Node, on the thread of the
// io_context. Wire format: PROTOCOL, "Between edge nodes".
#pragma once

#include <array>
#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/membership.hpp"
#include "net.hpp"

namespace petrelrail {

using Udp = asio::ip::udp;

struct GossipConfig {
  Udp::endpoint listen;
  std::vector<Udp::endpoint> addresses;  // of all nodes, this one's included, by node index
  fleet::MembershipConfig terms;
  std::uint8_t zone = 0;
  std::vector<std::string> zones;  // zone names, by zone index
  std::uint32_t index = 0;
  bool paces_counter = false;  // paces counter calls by the number of living nodes
  bool jobs = false;           // batch jobs are on: they continue on another node if theirs fails
};

// The member's identity, which a successor process of this node takes over.
nlohmann::json to_json(const fleet::LocalMember& s);
// Applies a to_json() result to `self`. Throws if it can't be parsed.
fleet::LocalMember self_from_json(const nlohmann::json& j, fleet::LocalMember self);

class GossipTransport {
 public:
  struct Callbacks {
    virtual void on_view_changed(const fleet::MembershipView& view) = 0;
    // Called with a datagram of a kind that the membership protocol does not handle.
    virtual void on_message(fleet::MemberId from, const fleet::Message& message) {
      static_cast<void>(from), static_cast<void>(message);
    }

   protected:
    ~Callbacks() = default;
  };

  GossipTransport(asio::io_context& io, Timers& timers, const GossipConfig& config,
                  std::uint64_t seed, Callbacks& callbacks);
  ~GossipTransport();
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  // Binds the address and joins, as the member that the predecessor process was, if given. Throws
  // boost::system::system_error if the address can't be bound.
  void start(const std::optional<fleet::LocalMember>& predecessor);
  // Announces that this node leaves, and repeats it until the process ends.
  void leave();
  // Sends a datagram of another part of the node; drops it if the socket is closed.
  void send(fleet::MemberId to, fleet::Body body, std::uint32_t echo);
  // Closes the socket, so that a successor can bind the address.
  void stop();
  bool started() const { return socket_.is_open(); }

  fleet::LocalMember self() const { return members_ ? members_->self() : self_; }
  // The present membership view; only after start(), as stats() and to_json().
  std::shared_ptr<const fleet::MembershipView> view() const {
    return members_->view(timers_.now());
  }
  const fleet::Membership::Stats& stats() const { return members_->stats(); }
  // The membership view for operators.
  nlohmann::json to_json() const;
  // Datagrams that the system refused to send.
  std::uint64_t unsent() const { return unsent_; }

 private:
  void receive();
  void drain_socket();
  void on_datagram(std::size_t bytes);
  void tick();
  void process_output();
  void log_status_change(const fleet::StatusChange& verdict);
  void write_datagram(const fleet::Membership::Datagram& d);

  Timers& timers_;
  const GossipConfig config_;
  Callbacks& callbacks_;
  fleet::LocalMember self_;
  std::uint64_t seed_;
  std::unique_ptr<fleet::Membership> members_;  // null until started
  std::map<Udp::endpoint, fleet::MemberId> members_by_address_;
  asio::basic_datagram_socket<Udp, Executor> socket_;
  std::array<std::uint8_t, 2 * fleet::kMaxDatagramBytes> receive_buffer_{};
  Udp::endpoint sender_;
  Timers::Handle timer_;
  std::uint64_t reported_version_ = 0, unsent_ = 0;
  fleet::Reachability standing_ = fleet::Reachability::majority;
  bool conflicted_ = false;
};

}  // namespace petrelrail
