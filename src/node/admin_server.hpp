// The operators' HTTP server: a listener of its own, one request per connection. The number of
// connections and their times are bounded, so that a stalled client delays no other. Owned by Node,
// which answers through Callbacks, on the thread of the io_context.
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
  // For paths that other parts of the node handle.
  struct AdminRequest {
    std::string method, path, query, body;
    // The value of a query parameter; none if it is missing, empty, malformed or repeated.
    std::optional<std::string> parameter(std::string_view name) const;
  };
  struct AdminResponse {
    unsigned status = 0;
    std::string body;
    std::string type = "text/plain; charset=utf-8";
    std::string allow{};     // with 405: the allowed methods
    std::string location{};  // with 307: the address to use instead
  };
  using AdminCallback = std::function<void(AdminResponse)>;

  struct Callbacks {
    virtual bool is_serving() = 0;
    virtual std::string metrics_text() = 0;
    // The other edge nodes as JSON; none if membership is off.
    virtual std::optional<std::string> members_json() = 0;
    // Ejects a price server or readmits it; false if no list has ever named it.
    virtual bool set_operator_ejection(const std::string& server, bool ejected) = 0;
    // Handles other paths; false if there is no such path. Calls `callback` once, during the call
    // or within limits::kAdminResponseTimeout.
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
  // Requests that were answered 4xx, by status.
  const StatusCounts& rejected_requests() const { return rejected_requests_; }

 private:
  class Connection;
  using Connections = std::list<std::shared_ptr<Connection>>;  // the oldest in front

  void accept();
  void evict_oldest();
  void remove_connection(const std::shared_ptr<Connection>& connection);

  Timers& timers_;
  Callbacks& callbacks_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Timers::Handle accept_timer_;
  Connections connections_;
  StatusCounts rejected_requests_;
};

}  // namespace petrelrail
