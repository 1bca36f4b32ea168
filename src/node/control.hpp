// Where operators call: a listener of its own, one call to a connection. Callers are bounded in number and in
// time, so that those that stall hold up nobody.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net.hpp"

namespace petrelrail {

class Control {
 public:
  struct Owner {
    virtual bool serves() = 0;
    virtual std::string figures() = 0;
    // The other edge nodes, as JSON; none: members are off.
    virtual std::optional<std::string> members() = 0;
    // Leaves a price server out, or lets it serve again; false: no list has ever named it.
    virtual bool leave_out(const std::string& server, bool out) = 0;

   protected:
    ~Owner() = default;
  };

  Control(asio::io_context& io, Timers& timers, Owner& owner);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  void listen(const Tcp::endpoint& at);
  Tcp::endpoint listens_at() const { return acceptor_.local_endpoint(); }

 private:
  class Call;
  using Calls = std::list<std::shared_ptr<Call>>;  // the oldest in front

  void accept();
  void make_room();
  void forget(const std::shared_ptr<Call>& call);

  Timers& timers_;
  Owner& owner_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Timers::Handle pause_;
  Calls calls_;
};

}  // namespace petrelrail
