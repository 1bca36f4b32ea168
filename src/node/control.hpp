// Where operators call: a listener of its own, one call to a connection. Callers are bounded in number and in
// time, so that those that stall hold up nobody.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net.hpp"

namespace petrelrail {

class Control {
 public:
  // A call for a part of the node that has paths of its own, and what it answers.
  struct Ask {
    std::string method, path, query, body;
    // The one value under a name in the query; none if it is missing, empty, malformed or there twice.
    std::optional<std::string> parameter(std::string_view name) const;
  };
  struct Reply {
    unsigned status = 0;
    std::string body;
    std::string type = "text/plain; charset=utf-8";
    std::string allow{};     // with 405: the methods that go with the path
    std::string location{};  // with 307: where to call instead
  };
  using Answered = std::function<void(Reply)>;

  struct Owner {
    virtual bool serves() = 0;
    virtual std::string figures() = 0;
    // The other edge nodes, as JSON; none: members are off.
    virtual std::optional<std::string> members() = 0;
    // Leaves a price server out, or lets it serve again; false: no list has ever named it.
    virtual bool leave_out(const std::string& server, bool out) = 0;
    // Other paths; false: there is no such path. Answered once, at once or within facts::kControlWait.
    virtual bool asked(const Ask& ask, Answered answered) {
      static_cast<void>(ask), static_cast<void>(answered);
      return false;
    }

   protected:
    ~Owner() = default;
  };

  Control(asio::io_context& io, Timers& timers, Owner& owner);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  void listen(const Tcp::endpoint& at);
  Tcp::endpoint listens_at() const { return acceptor_.local_endpoint(); }
  // Calls that were answered 4xx.
  const Refusals& refusals() const { return refusals_; }

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
  Refusals refusals_;
};

}  // namespace petrelrail
