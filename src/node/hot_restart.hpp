// Hot restart: hands the listening socket and the state of an edge node from one process to the
// next while requests arrive. The serving process listens on a Unix socket for its successor. This
// module transports messages and one descriptor; Node interprets them. An error only closes the
// connection.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "net.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail {

// Owns a file descriptor and closes it unless it is released.
class Descriptor {
 public:
  explicit Descriptor(int number = -1) : number_(number) {}
  Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  explicit operator bool() const { return number_ >= 0; }
  int release() { return std::exchange(number_, -1); }

 private:
  int number_;
};

// Ids of price servers differ between processes; Node adds the servers by discovery's names.
nlohmann::json to_json(const HandoverState& s);
HandoverState handover_state_from_json(const nlohmann::json& j);  // throws on malformed input

class HotRestart {
 public:
  struct Callbacks {
    // In the serving process:
    virtual int listener() = 0;                 // the client listening socket
    virtual nlohmann::json export_state() = 0;  // the successor serves once it has received this
    // In the successor:
    virtual void on_listener_received(Descriptor socket) = 0;
    virtual void on_state_received(const nlohmann::json& state) = 0;
    virtual void on_replaced() = 0;  // another process takes over instead
    // In both:
    virtual void on_peer_message(const nlohmann::json& message) = 0;
    virtual void on_peer_lost() = 0;

   protected:
    ~Callbacks() = default;
  };

  HotRestart(asio::io_context& io, Timers& timers, std::string path, Callbacks& owner);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Connects to a serving process and requests its listener; false if there is none.
  bool connect_to_predecessor();
  void request_state();
  // Opens the Unix socket for a successor.
  void wait_for_successor();
  // Sends a message to the other process, if there is one; it arrives in on_peer_message().
  void send_message(const nlohmann::json& message);
  bool is_connected() const { return connection_ != nullptr; }

 private:
  class Connection;
  using Local = asio::local::stream_protocol;
  using LocalSocket = asio::basic_stream_socket<Local, Executor>;

  void accept();
  void stop_listening();
  bool owns_path() const;
  void on_message(const nlohmann::json& message, Descriptor descriptor);
  void on_connection_lost(const Connection* connection);

  asio::io_context& io_;
  Timers& timers_;
  std::string path_;  // empty: no hand-over
  // Device and inode number of the socket that this process created at the path.
  std::pair<std::uint64_t, std::uint64_t> socket_file_{};
  Callbacks& callbacks_;
  asio::basic_socket_acceptor<Local, Executor> acceptor_;
  std::shared_ptr<Connection> connection_;
  Timers::Handle timeout_;
  Timers::Handle accept_timer_;  // delay after a failed accept
};

}  // namespace petrelrail
