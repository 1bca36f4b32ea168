// Where operators call: a listener of its own, one call to a connection. Callers are bounded in
// number and in time, so that those that stall hold up nobody.
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

class AdminServer {
 public:
  // A call for a part of the node that has paths of its own, and what it answers.
  struct AdminRequest {
    std::string method, path, query, body;
    // The one value under a name in the query; none if it is missing, empty, malformed or there
    // twice.
    std::optional<std::string> parameter(std::string_view name) const;
  };
  struct AdminResponse {
    unsigned status = 0;
    std::string body;
    std::string type = "text/plain; charset=utf-8";
    std::string allow{};     // with 405: the methods that go with the path
    std::string location{};  // with 307: where to call instead
  };
  using AdminCallback = std::function<void(AdminResponse)>;

  struct Callbacks {
    virtual bool is_serving() = 0;
    virtual std::string metrics_text() = 0;
    // The other edge nodes, as JSON; none: members are off.
    virtual std::optional<std::string> members_json() = 0;
    // Leaves a price server out, or lets it serve again; false: no list has ever named it.
    virtual bool set_operator_ejection(const std::string& server, bool out) = 0;
    // Other paths; false: there is no such path. Answered once, at once or within
    // limits::kAdminResponseTimeout.
    virtual bool on_admin_request(const AdminRequest& request, AdminCallback callback) = 0;

   protected:
    ~Callbacks() = default;
  };

  AdminServer(asio::io_context& io, Timers& timers, Callbacks& owner);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  void listen(const Tcp::endpoint& at);
  Tcp::endpoint listen_address() const { return acceptor_.local_endpoint(); }
  // Calls that were answered 4xx.
  const StatusCounts& rejected_requests() const { return rejected_requests_; }

 private:
  class Call;
  using Calls = std::list<std::shared_ptr<Call>>;  // the oldest in front

  void accept();
  void evict_oldest();
  void forget(const std::shared_ptr<Call>& call);

  Timers& timers_;
  Callbacks& callbacks_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Timers::Handle accept_timer_;
  Calls calls_;
  StatusCounts rejected_requests_;
};

}  // namespace petrelrail
