// From one process of an edge node to the next, while requests come in: a Unix socket on which the process that
// serves waits for its successor, and a link between the two. What passes is carried here; what it means is the
// node's business. Whatever goes wrong on the link only ends it.
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

// A descriptor that is closed unless it is taken.
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

// Server ids go by discovery's names, which both processes know.
nlohmann::json to_json(const Succession& s);
Succession succession_of(const nlohmann::json& j);  // throws if it can't be read

class Handover {
 public:
  struct Owner {
    // To the one that serves:
    virtual int listener() = 0;                // the clients' listening socket
    virtual nlohmann::json leave_state() = 0;  // the successor takes over with this answer
    // To the one that follows:
    virtual void listener_came(Descriptor socket) = 0;
    virtual void state_came(const nlohmann::json& state) = 0;
    virtual void replaced() = 0;  // another process follows instead
    // To both:
    virtual void told_by_peer(const nlohmann::json& message) = 0;
    virtual void peer_lost() = 0;

   protected:
    ~Owner() = default;
  };

  Handover(asio::io_context& io, Timers& timers, std::string path, Owner& owner);
  ~Handover();
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  // Looks for a process that serves. If there is one it is asked for its listener; false: there is none.
  bool seek();
  void ask_state();
  // From now on a successor may come.
  void offer();
  // Something else for the process at the other end, if there is one.
  void tell(const nlohmann::json& message);
  bool linked() const { return link_ != nullptr; }

 private:
  class Link;
  using Local = asio::local::stream_protocol;
  using LocalSocket = asio::basic_stream_socket<Local, Executor>;

  void accept();
  void withdraw();
  bool owns_path() const;
  void came(const nlohmann::json& message, Descriptor passed);
  void lost(const Link* link);

  asio::io_context& io_;
  Timers& timers_;
  std::string path_;                                 // empty: nothing is handed over
  std::pair<std::uint64_t, std::uint64_t> bound_{};  // device and number of the file that was made there
  Owner& owner_;
  asio::basic_socket_acceptor<Local, Executor> acceptor_;
  std::shared_ptr<Link> link_;
  Timers::Handle limit_;
  Timers::Handle pause_;  // after an accept that failed
};

}  // namespace petrelrail
