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

// A part of a query with its %XX and + undone; none if it is malformed.
std::optional<std::string> decoded(string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      plain += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    static constexpr std::size_t digits = sizeof "XX" - 1;
    const auto code = text.substr(i + 1, digits);
    unsigned value = 0;
    const auto [end, failed] = std::from_chars(code.data(), code.data() + code.size(), value, 16);
    if (code.size() != digits || failed != std::errc{} || end != code.data() + code.size())
      return std::nullopt;
    plain += static_cast<char>(value);
    i += digits;
  }
  return plain;
}

// The one value under a name in a query; none if it is missing, empty, malformed or there twice.
std::optional<std::string> parameter(string_view query, string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const auto eq = part.find('=');
    if (part.substr(0, eq) != name) continue;
    if (found || eq == string_view::npos) return std::nullopt;
    found = decoded(part.substr(eq + 1));
    if (!found || found->empty()) return std::nullopt;
  }
  return found;
}

Response plain(http::status status, std::string body) {
  Response r(status, 11, std::move(body));
  r.set(http::field::content_type, "text/plain; charset=utf-8");
  return r;
}

Response not_by(http::verb allowed) {
  auto r = plain(http::status::method_not_allowed, "the method does not go with the path\n");
  r.set(http::field::allow, http::to_string(allowed));
  return r;
}

Response made_of(AdminServer::AdminResponse reply) {
  Response r(http::status(reply.status), 11, std::move(reply.body));
  r.set(http::field::content_type, reply.type);
  if (!reply.allow.empty()) r.set(http::field::allow, reply.allow);
  if (!reply.location.empty()) r.set(http::field::location, reply.location);
  return r;
}

// None: it is answered later.
std::optional<Response> answer_to(const Request& call, AdminServer::Callbacks& owner,
                                  AdminServer::AdminCallback later) {
  const string_view target(call.target().data(), call.target().size());
  const auto path = target.substr(0, target.find('?'));
  const auto query = target.substr(std::min(target.size(), path.size() + 1));
  const bool disables = path == "/price-servers/disable";
  if (disables || path == "/price-servers/enable") {
    if (call.method() != http::verb::post) return not_by(http::verb::post);
    const auto who = parameter(query, "who");
    if (!who) return plain(http::status::bad_request, "who names no price server\n");
    if (!owner.set_operator_ejection(*who, disables))
      return plain(http::status::not_found, "no such price server\n");
    return plain(http::status::ok, disables ? "disabled\n" : "enabled\n");
  }
  if (path != "/ready" && path != "/metrics" && path != "/members") {
    const auto method = call.method_string();
    if (owner.on_admin_request(
            {{method.data(), method.size()}, std::string(path), std::string(query), call.body()},
            std::move(later)))
      return std::nullopt;
    return plain(http::status::not_found, "no such path\n");
  }
  if (call.method() != http::verb::get) return not_by(http::verb::get);
  if (path == "/members") {
    auto view = owner.members_json();
    if (!view) return plain(http::status::not_found, "members are off\n");
    auto r = plain(http::status::ok, std::move(*view));
    r.set(http::field::content_type, "application/json");
    return r;
  }
  if (path == "/metrics") return plain(http::status::ok, owner.metrics_text());
  return owner.is_serving() ? plain(http::status::ok, "ready\n")
                            : plain(http::status::service_unavailable, "not ready\n");
}

}  // namespace

// One connection: reads a call, answers it, and waits a little for the caller to take the answer.
class AdminServer::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(AdminServer& control, Socket socket)
      : control_(&control), timers_(control.timers_), socket_(std::move(socket)) {}

  void start() {
    set_no_delay(socket_);
    parser_.header_limit(limits::kMaxHeaderBytes);
    parser_.body_limit(limits::kMaxBodyBytes);
    limit_ = timers_.after(limits::kAdminIoTimeout, [self = shared_from_this()] {
      self->limit_.reset();
      if (self->answered_) return self->end();
      self->answer(plain(http::status::request_timeout, "no whole call came\n"));
    });
    http::async_read(socket_, buffer_, parser_,
                     [self = shared_from_this()](const error_code& failed, std::size_t) {
                       if (!self->control_ || self->answered_) return;
                       if (!failed) return self->ask();
                       if (failed == http::error::end_of_stream ||
                           failed.category() == asio::error::get_system_category())
                         return self->end();
                       self->answer(plain(http::status::bad_request, "the call is malformed\n"));
                     });
  }
  bool answered() const { return answered_; }
  bool whole() const { return whole_; }  // the call has come

  void end() {
    timers_.cancel(limit_);
    close_now(socket_);
    if (const auto control = std::exchange(control_, nullptr)) control->forget(shared_from_this());
  }
  // The listener ends first: nothing is told to it any more.
  void abandon() {
    control_ = nullptr;
    end();
  }

 private:
  void ask() {
    whole_ = true;
    timers_.cancel(limit_);
    limit_ = timers_.after(limits::kAdminResponseTimeout, [self = shared_from_this()] {
      self->limit_.reset();
      if (!self->answered_)
        self->answer(plain(http::status::gateway_timeout, "no answer came in time\n"));
    });
    auto now = answer_to(parser_.get(), control_->callbacks_,
                         [weak = weak_from_this()](AdminServer::AdminResponse reply) {
                           const auto self = weak.lock();
                           if (self && self->control_ && !self->answered_)
                             self->answer(made_of(std::move(reply)));
                         });
    if (now) answer(std::move(*now));
  }
  void answer(Response response) {
    answered_ = true;
    response_ = std::move(response);
    if (http::to_status_class(response_.result()) == http::status_class::client_error)
      ++control_->rejected_requests_[response_.result_int()];
    response_.keep_alive(false);
    response_.prepare_payload();
    timers_.cancel(limit_);
    limit_ = timers_.after(limits::kAdminIoTimeout, [self = shared_from_this()] {
      self->limit_.reset();
      self->end();
    });
    http::async_write(socket_, response_,
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (!self->control_) return;
                        if (failed) return self->end();
                        // Only the sending side: a reset for bytes still unread here would take the
                        // answer with it.
                        error_code ignored;
                        self->socket_.shutdown(Socket::shutdown_send, ignored);
                        self->buffer_.clear();
                        self->drain();
                      });
  }
  void drain() {
    socket_.async_read_some(buffer_.prepare(limits::kReadBufferBytes),
                            [self = shared_from_this()](const error_code& failed, std::size_t) {
                              if (!self->control_) return;
                              if (failed) return self->end();
                              self->drain();
                            });
  }

  AdminServer* control_;  // none: it has ended
  Timers& timers_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  Response response_;
  Timers::Handle limit_;
  bool answered_ = false, whole_ = false;
};

std::optional<std::string> AdminServer::AdminRequest::parameter(string_view name) const {
  return petrelrail::parameter(query, name);
}

AdminServer::AdminServer(asio::io_context& io, Timers& timers, Callbacks& owner)
    : timers_(timers), callbacks_(owner), acceptor_(io.get_executor()) {}

AdminServer::~AdminServer() {
  timers_.cancel(accept_timer_);
  for (const auto& c : Calls(calls_)) c->abandon();
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
    if (calls_.size() >= limits::kMaxAdminConnections) evict_oldest();
    calls_.push_back(std::make_shared<Call>(*this, std::move(socket)));
    calls_.back()->start();
    accept();
  });
}

// The oldest one goes: one that has its answer first, then one that has sent no whole call, else
// one that waits.
void AdminServer::evict_oldest() {
  if (calls_.empty()) return;
  auto it = std::ranges::find_if(calls_, [](const auto& c) { return c->answered(); });
  if (it == calls_.end())
    it = std::ranges::find_if(calls_, [](const auto& c) { return !c->whole(); });
  const auto oldest = it == calls_.end() ? calls_.front() : *it;
  oldest->end();
}

void AdminServer::forget(const std::shared_ptr<Call>& call) { calls_.remove(call); }

}  // namespace petrelrail
