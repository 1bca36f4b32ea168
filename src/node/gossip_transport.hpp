// The datagrams to and from the other edge nodes: one UDP socket, the timer of src/fleet/members,
// and what comes of both. What is decided is decided there. PROTOCOL, "Between edge nodes".
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
  std::vector<Udp::endpoint> addresses;  // of every node by its number, this one's included
  fleet::MembershipConfig terms;
  std::uint8_t zone = 0;
  std::vector<std::string> zones;  // names, by number
  std::uint32_t index = 0;
  bool paces = false;  // the counter is called by the number of the living
  bool jobs = false;   // batch jobs that outlive their node
};

// What a successor needs to be the same member, as it passes between two processes.
nlohmann::json to_json(const fleet::LocalMember& s);
// Throws if it can't be read.
fleet::LocalMember self_of(const nlohmann::json& j, fleet::LocalMember self);

class GossipTransport {
 public:
  struct Callbacks {
    virtual void on_view_changed(const fleet::MembershipView& view) = 0;
    // A datagram of a kind that is not members' own.
    virtual void on_message(fleet::MemberId from, const fleet::Message& message) {
      static_cast<void>(from), static_cast<void>(message);
    }

   protected:
    ~Callbacks() = default;
  };

  GossipTransport(asio::io_context& io, Timers& timers, const GossipConfig& config,
                  std::uint64_t seed, Callbacks& owner);
  ~GossipTransport();
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  // Binds the address: throws boost::system::system_error where that can't be. With the state of a
  // predecessor, if there is one, whose member this process goes on being.
  void start(const std::optional<fleet::LocalMember>& predecessor);
  // Says that this node leaves; it goes on telling until the process ends.
  void leave();
  // Sends what another part has to say, if the socket is open.
  void send(fleet::MemberId to, fleet::Body body, std::uint32_t echo);
  // Lets the address go, for a successor.
  void stop();
  bool started() const { return socket_.is_open(); }

  fleet::LocalMember self() const { return members_ ? members_->self() : self_; }
  std::shared_ptr<const fleet::MembershipView> view() const {
    return members_->view(timers_.now());
  }
  const fleet::Membership::Stats& stats() const { return members_->stats(); }
  // The view for the operators.
  nlohmann::json to_json() const;
  std::uint64_t unsent() const { return unsent_; }

 private:
  void receive();
  void drain();
  void took(std::size_t bytes);
  void tick();
  void act();
  void tell(const fleet::StatusChange& v);
  void write(const fleet::Membership::Datagram& d);

  Timers& timers_;
  const GossipConfig config_;
  Callbacks& callbacks_;
  fleet::LocalMember self_;
  std::uint64_t seed_;
  std::unique_ptr<fleet::Membership> members_;  // none: not started yet
  std::map<Udp::endpoint, fleet::MemberId> known_;
  asio::basic_datagram_socket<Udp, Executor> socket_;
  std::array<std::uint8_t, 2 * fleet::kMaxDatagramBytes> space_{};
  Udp::endpoint sender_;
  Timers::Handle due_;
  std::uint64_t told_version_ = 0, unsent_ = 0;
  fleet::Reachability standing_ = fleet::Reachability::majority;
  bool conflicted_ = false;
};

}  // namespace petrelrail
