#include "admin_server.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "limits.hpp"

namespace petrelrail {

namespace http = boost::beast::http;

namespace {

using std::string_view;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Decodes %XX and +; none if malformed.
std::optional<std::string> url_decoded(string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    static constexpr std::size_t digits = sizeof "XX" - 1;
    const auto code = text.substr(i + 1, digits);
    unsigned value = 0;
    const auto [end, failed] = std::from_chars(code.data(), code.data() + code.size(), value, 16);
    if (code.size() != digits || failed != std::errc{} || end != code.data() + code.size())
      return std::nullopt;
    decoded += static_cast<char>(value);
    i += digits;
  }
  return decoded;
}

// The value of a query parameter; none if it is missing, empty, malformed or repeated.
std::optional<std::string> parameter(string_view query, string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const auto eq = part.find('=');
    if (part.substr(0, eq) != name) continue;
    if (found || eq == string_view::npos) return std::nullopt;
    found = url_decoded(part.substr(eq + 1));
    if (!found || found->empty()) return std::nullopt;
  }
  return found;
}

Response text_response(http::status status, std::string body) {
  Response r(status, 11, std::move(body));
  r.set(http::field::content_type, "text/plain; charset=utf-8");
  return r;
}

Response method_not_allowed(http::verb allowed) {
  auto r = text_response(http::status::method_not_allowed,
                         "the method does not go with the path\n");
  r.set(http::field::allow, http::to_string(allowed));
  return r;
}

Response to_http_response(AdminServer::AdminResponse reply) {
  Response r(http::status(reply.status), 11, std::move(reply.body));
  r.set(http::field::content_type, reply.type);
  if (!reply.allow.empty()) r.set(http::field::allow, reply.allow);
  if (!reply.location.empty()) r.set(http::field::location, reply.location);
  return r;
}

// The response, or none if `callback` is called with it.
std::optional<Response> handle_request(const Request& request, AdminServer::Callbacks& callbacks,
                                       AdminServer::AdminCallback callback) {
  const string_view target(request.target().data(), request.target().size());
  const auto path = target.substr(0, target.find('?'));
  const auto query = target.substr(std::min(target.size(), path.size() + 1));
  const bool disables = path == "/price-servers/disable";
  if (disables || path == "/price-servers/enable") {
    if (request.method() != http::verb::post) return method_not_allowed(http::verb::post);
    const auto server = parameter(query, "who");
    if (!server) return text_response(http::status::bad_request, "who names no price server\n");
    if (!callbacks.set_operator_ejection(*server, disables))
      return text_response(http::status::not_found, "no such price server\n");
    return text_response(http::status::ok, disables ? "disabled\n" : "enabled\n");
  }
  if (path != "/ready" && path != "/metrics" && path != "/members") {
    const auto method = request.method_string();
    if (callbacks.on_admin_request(
            {{method.data(), method.size()}, std::string(path), std::string(query), request.body()},
            std::move(callback)))
      return std::nullopt;
    return text_response(http::status::not_found, "no such path\n");
  }
  if (request.method() != http::verb::get) return method_not_allowed(http::verb::get);
  if (path == "/members") {
    auto view = callbacks.members_json();
    if (!view) return text_response(http::status::not_found, "members are off\n");
    auto r = text_response(http::status::ok, std::move(*view));
    r.set(http::field::content_type, "application/json");
    return r;
  }
  if (path == "/metrics") return text_response(http::status::ok, callbacks.metrics_text());
  return callbacks.is_serving() ? text_response(http::status::ok, "ready\n")
                                : text_response(http::status::service_unavailable, "not ready\n");
}

}  // namespace

// Reads one request, responds, and lingers until the client has read the response.
class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminServer& server, Socket socket)
      : server_(&server), timers_(server.timers_), socket_(std::move(socket)) {}

  void start() {
    set_no_delay(socket_);
    parser_.header_limit(limits::kMaxHeaderBytes);
    parser_.body_limit(limits::kMaxBodyBytes);
    timeout_timer_ = timers_.after(limits::kAdminIoTimeout, [self = shared_from_this()] {
      self->timeout_timer_.reset();
      if (self->has_responded_) return self->close();
      self->respond(text_response(http::status::request_timeout, "no whole call came\n"));
    });
    http::async_read(
        socket_, buffer_, parser_,
        [self = shared_from_this()](const error_code& failed, std::size_t) {
          if (!self->server_ || self->has_responded_) return;
          if (!failed) return self->handle();
          if (failed == http::error::end_of_stream ||
              failed.category() == asio::error::get_system_category())
            return self->close();
          self->respond(text_response(http::status::bad_request, "the call is malformed\n"));
        });
  }
  bool has_responded() const { return has_responded_; }
  bool has_request() const { return has_request_; }  // the request was read completely

  void close() {
    timers_.cancel(timeout_timer_);
    close_now(socket_);
    if (const auto server = std::exchange(server_, nullptr))
      server->remove_connection(shared_from_this());
  }
  // Called when the server is destroyed: closes without notifying it.
  void detach() {
    server_ = nullptr;
    close();
  }

 private:
  void handle() {
    has_request_ = true;
    timers_.cancel(timeout_timer_);
    timeout_timer_ = timers_.after(limits::kAdminResponseTimeout, [self = shared_from_this()] {
      self->timeout_timer_.reset();
      if (!self->has_responded_)
        self->respond(text_response(http::status::gateway_timeout, "no answer came in time\n"));
    });
    auto response = handle_request(parser_.get(), server_->callbacks_,
                                   [weak = weak_from_this()](AdminServer::AdminResponse reply) {
                                     const auto self = weak.lock();
                                     if (self && self->server_ && !self->has_responded_)
                                       self->respond(to_http_response(std::move(reply)));
                                   });
    if (response) respond(std::move(*response));
  }
  void respond(Response response) {
    has_responded_ = true;
    response_ = std::move(response);
    if (http::to_status_class(response_.result()) == http::status_class::client_error)
      ++server_->rejected_requests_[response_.result_int()];
    response_.keep_alive(false);
    response_.prepare_payload();
    timers_.cancel(timeout_timer_);
    timeout_timer_ = timers_.after(limits::kAdminIoTimeout, [self = shared_from_this()] {
      self->timeout_timer_.reset();
      self->close();
    });
    http::async_write(socket_, response_,
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (!self->server_) return;
                        if (failed) return self->close();
                        // Shuts down the sending side only: closing with unread bytes would cause a
                        // reset, which discards the response.
                        error_code ignored;
                        self->socket_.shutdown(Socket::shutdown_send, ignored);
                        self->buffer_.clear();
                        self->drain();
                      });
  }
  void drain() {
    socket_.async_read_some(buffer_.prepare(limits::kReadBufferBytes),
                            [self = shared_from_this()](const error_code& failed, std::size_t) {
                              if (!self->server_) return;
                              if (failed) return self->close();
                              self->drain();
                            });
  }

  AdminServer* server_;  // null once the connection is closed
  Timers& timers_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  Response response_;
  Timers::Handle timeout_timer_;
  bool has_responded_ = false, has_request_ = false;
};

std::optional<std::string> AdminServer::AdminRequest::parameter(string_view name) const {
  return petrelrail::parameter(query, name);
}

AdminServer::AdminServer(asio::io_context& io, Timers& timers, Callbacks& owner)
    : timers_(timers), callbacks_(owner), acceptor_(io.get_executor()) {}

AdminServer::~AdminServer() {
  timers_.cancel(accept_timer_);
  for (const auto& c : Connections(connections_)) c->detach();
}

void AdminServer::listen(const Tcp::endpoint& at) {
  if (acceptor_.is_open()) acceptor_.close();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](const error_code& failed, Socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (is_transient_accept_failure(failed)) return accept();
    if (failed) {
      if (!is_system_shortage(failed)) evict_oldest();
      accept_timer_ = timers_.after(limits::kAcceptRetryDelay, [this] {
        accept_timer_.reset();
        accept();
      });
      return;
    }
    if (connections_.size() >= limits::kMaxAdminConnections) evict_oldest();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->start();
    accept();
  });
}

// Closes the oldest connection that has its response, else the oldest without a complete request,
// else the oldest.
void AdminServer::evict_oldest() {
  if (connections_.empty()) return;
  auto it = std::ranges::find_if(connections_, [](const auto& c) { return c->has_responded(); });
  if (it == connections_.end())
    it = std::ranges::find_if(connections_, [](const auto& c) { return !c->has_request(); });
  const auto oldest = it == connections_.end() ? connections_.front() : *it;
  oldest->close();
}

void AdminServer::remove_connection(const std::shared_ptr<Connection>& connection) {
  connections_.remove(connection);
}

}  // namespace petrelrail
