#include "clients.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <stdexcept>

#include "facts.hpp"
#include "policy/request_rules.hpp"

namespace petrelrail {
namespace {

using std::string_view;

struct BadRequest : std::runtime_error {
  BadRequest(http::status s, const std::string& why) : std::runtime_error(why), status(s) {}
  http::status status;
};
[[noreturn]] void bad(const std::string& what) { throw BadRequest(http::status::bad_request, what); }

template <class Number>
Number whole(string_view text, const char* what, int base = 10) {
  Number n{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (failed != std::errc{} || end != text.data() + text.size()) bad(std::string(what) + " is not a number");
  return n;
}

string_view trimmed(string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

// The value under a key in a list of key=value pairs.
std::optional<string_view> pair_value(string_view list, char separator, string_view key) {
  while (!list.empty()) {
    const auto part = trimmed(list.substr(0, list.find(separator)));
    list.remove_prefix(std::min(list.size(), list.find(separator)));
    if (!list.empty()) list.remove_prefix(1);
    if (const auto eq = part.find('='); eq != string_view::npos && part.substr(0, eq) == key)
      return part.substr(eq + 1);
  }
  return std::nullopt;
}

using Fields = http::request<PieceBody>;

string_view header(const Fields& f, string_view name) {
  const auto [first, last] = f.equal_range({name.data(), name.size()});
  if (first == last) bad(std::string(name) + " is missing");
  if (std::next(first) != last) bad(std::string(name) + " stands there twice");
  const auto v = first->value();
  if (v.empty()) bad(std::string(name) + " is empty");
  return {v.data(), v.size()};
}

template <class Named>
std::uint32_t index_of(const std::vector<Named>& all, string_view name, const char* what) {
  const auto it = std::ranges::find(all, name, &Named::name);
  if (it == all.end()) bad(std::string(what) + " is unknown");
  return static_cast<std::uint32_t>(it - all.begin());
}

CustomerId customer(const Fields& f) {
  const auto value = pair_value(header(f, "Cookie"), ';', "client");
  if (!value || value->size() != facts::kCustomerDigits) bad("the cookie names no client");
  const auto n = whole<std::uint64_t>(*value, "the cookie's client", 16);
  if (n >= facts::kCustomersBelow) bad("the cookie's client is out of range");
  return CustomerId(n);
}

void read_quota(const Fields& f, const Settings& s, Arrival& a) {
  const auto list = header(f, "X-Quota");
  const auto part = [&](const char* key) {
    const auto value = pair_value(list, ',', key);
    if (!value) bad(std::string("X-Quota has no ") + key);
    return *value;
  };
  const auto units = part("units");
  char* end = nullptr;
  const std::string text(units);
  if (units.empty() || units.front() < '0' || units.front() > '9') bad("X-Quota units is not a number");
  a.units = std::strtod(text.c_str(), &end);
  if (end != text.c_str() + text.size() || !(a.units > 0 && a.units <= s.max_units)) bad("X-Quota units");
  a.gateways = whole<std::uint32_t>(part("spread"), "X-Quota spread");
  if (a.gateways == 0 || a.gateways > s.fleet_size) bad("X-Quota spread is out of range");
  if (whole<std::uint32_t>(part("first"), "X-Quota first") >= s.fleet_size) bad("X-Quota first");
}

std::string head_of(http::status status, const std::string& content_type, std::optional<std::uint64_t> length,
                    bool chunked, bool keep_alive, std::size_t body = 0) {
  std::string head;
  head.reserve(facts::kHeadSize + body);  // at once
  head.append("HTTP/1.1 ").append(std::to_string(static_cast<unsigned>(status))).append(" ");
  const auto reason = http::obsolete_reason(status);
  head.append(reason.data(), reason.size()).append("\r\n");
  if (!content_type.empty()) head.append("Content-Type: ").append(content_type).append("\r\n");
  if (length) head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
  if (chunked) head.append("Transfer-Encoding: chunked\r\n");
  if (!keep_alive) head.append("Connection: close\r\n");
  return head;
}

string_view first_part(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Whether a request of the class comes in this form: its method, and whether it has a key.
bool takes_form(const RequestClass& c, http::verb method, bool keyed) {
  return method == (c.effect == Effect::safe ? http::verb::get : http::verb::post) &&
         keyed == (c.effect == Effect::keyed);
}

ClientRequest read_request(Fields& f, std::shared_ptr<const Settings> settings, Time now) {
  ClientRequest r;
  const auto& s = *settings;
  r.settings = std::move(settings);
  const string_view target(f.target().data(), f.target().size());
  const auto path_class = first_part(target);
  if (std::ranges::find(s.classes, path_class, &RequestClass::name) == s.classes.end())
    throw BadRequest(http::status::not_found, "no such path");
  auto& a = r.arrival;
  auto cls = index_of(s.classes, header(f, "X-Priority-Class"), "the class");
  if (s.classes[cls].name != path_class) bad("the path and X-Priority-Class differ");
  // After a reload a class may stand there twice, with its effect of now and of before: the form tells which is meant.
  const bool keyed = f.count("Idempotency-Key") > 0;
  const auto meant = std::ranges::find_if(s.classes, [&](const RequestClass& c) {
    return c.name == path_class && takes_form(c, f.method(), keyed);
  });
  if (meant != s.classes.end()) cls = static_cast<std::uint32_t>(meant - s.classes.begin());
  a.request_class = ClassIndex(cls);
  a.plan = PlanIndex(index_of(s.plans, header(f, "X-Plan"), "the plan"));
  a.customer = customer(f);
  const auto timeout = whole<std::uint64_t>(header(f, "X-Timeout-Ms"), "X-Timeout-Ms");
  if (timeout == 0 || timeout > facts::kMostTimeoutMs) bad("X-Timeout-Ms is out of range");
  // The time of a request counts from its last byte, however slowly it came.
  a.time_left = std::chrono::milliseconds(timeout);
  r.deadline = now + a.time_left;
  read_quota(f, s, a);
  if (f.count("X-Retried") > 0) {
    if (header(f, "X-Retried") != "1") bad("X-Retried is not 1");
    a.is_retry = true;
  }
  r.id = header(f, "X-Request-ID");
  if (r.id.size() > facts::kMostId) bad("X-Request-ID is too long");
  const auto effect = s.classes[cls].effect;
  if (f.method() != (effect == Effect::safe ? http::verb::get : http::verb::post))
    throw BadRequest(http::status::method_not_allowed, "the method does not go with the class");
  if (keyed != (effect == Effect::keyed)) bad("Idempotency-Key does not go with the class");
  if (keyed) r.key = header(f, "Idempotency-Key");
  if (r.key.size() > facts::kMostId) bad("Idempotency-Key is too long");
  if (effect == Effect::safe && !f.body().empty()) bad("a body does not go with the class");
  r.method = f.method();
  r.target = target;
  if (const auto it = f.find(http::field::content_type); it != f.end()) r.content_type = it->value();
  r.body = std::move(f.body());
  return r;
}

}  // namespace

// ---- A session ------------------------------------------------------------------------------------------

ClientSession::ClientSession(Clients& clients, Socket socket)
    : clients_(clients),
      socket_(std::move(socket)),
      opened_(clients.timers_.now()),
      heard_(opened_),
      since_(opened_) {}

void ClientSession::start() {
  set_no_delay(socket_);
  read();
}

void ClientSession::enter(Stage stage) {
  stage_ = stage;
  since_ = clients_.timers_.now();
}

void ClientSession::read() {
  if (reads_ || closed()) return;
  if (upload_ && upload_->full()) {
    if (paused_at_ == Time{}) paused_at_ = clients_.timers_.now();
    return;
  }
  // What the body had to wait for is not the client's time.
  if (const auto paused = std::exchange(paused_at_, {}); paused != Time{})
    began_at_ += clients_.timers_.now() - paused;
  reads_ = true;
  socket_.async_read_some(buffer_.prepare(upload_ ? facts::kPiece : facts::kReadSize),
                          [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                            self->on_read(failed, bytes);
                          });
}

void ClientSession::on_read(const error_code& failed, std::size_t bytes) {
  reads_ = false;
  if (closed()) return;
  if (failed) return close(failed == asio::error::eof ? SessionEnd::client_closed : SessionEnd::read_failed);
  buffer_.commit(bytes);
  heard_ = clients_.timers_.now();
  came_ += bytes;
  // A client that writes on while its request is out is kept by one message at most. Of more nothing is kept and the
  // session ends with the answer, but it is read on: else a close behind it would not be seen.
  if (stage_ != Stage::reading && !upload_ && buffer_.size() > facts::kMostHeader + facts::kMostBody)
    keep_alive_ = false;
  if (stage_ == Stage::lingering || (stage_ != Stage::reading && !upload_ && !keep_alive_)) {
    buffer_.clear();
    if (came_ > facts::kLongestBody) return close(SessionEnd::request_too_long);
  }
  if (stage_ == Stage::reading) {
    parse();
  } else if (upload_) {
    take_body();
  }
  read();
}

void ClientSession::parse() {
  if (buffer_.size() == 0) return;
  if (!std::exchange(began_, true)) {
    began_at_ = since_ = clients_.timers_.now();
    came_ = buffer_.size();
    parser_.emplace();
    parser_->header_limit(facts::kMostHeader);
    parser_->body_limit(facts::kLongestBody);
    parser_->eager(true);
  }
  if (!feed()) return;
  const auto length = parser_->content_length();
  const bool is_long = parser_->is_header_done() && ((length && *length > facts::kMostBody) ||
                                                     parser_->get().body().size() > facts::kMostBody);
  if (parser_->is_done() || is_long) take_request();
}

// Takes what has come into the parser; false if that can't be parsed, which has been answered.
bool ClientSession::feed() {
  error_code failed;
  while (!parser_->is_done() && buffer_.size() > 0) {
    const bool had_header = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), failed));
    if (failed == http::error::need_more) return true;
    if (failed == http::error::header_limit)
      return reject(http::status::request_header_fields_too_large, "the header is too large"), false;
    if (failed == http::error::body_limit)
      return reject(http::status::payload_too_large, "the body is too large"), false;
    if (failed) return reject(http::status::bad_request, failed.message()), false;
    if (!had_header && parser_->is_header_done()) {
      const auto& head = parser_->get();
      if (boost::beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) {
        out_ = "HTTP/1.1 100 Continue\r\n\r\n";
        write_some();
      }
    }
  }
  return true;
}

// The rest of a body that is passed on.
void ClientSession::take_body() {
  if (!feed()) return;
  auto& body = parser_->get().body();
  const auto upload = upload_;
  if (parser_->is_done()) upload_.reset();
  if (!body.empty()) upload->put(std::exchange(body, {}));
  if (upload_) return;
  parser_.reset();
  upload->end();
}

void ClientSession::take_request() {
  const bool whole = parser_->is_done();
  auto& head = parser_->get().base();
  Fields message(whole ? http::request_header<>(std::move(head)) : http::request_header<>(head));
  message.body() = std::exchange(parser_->get().body(), {});
  if (whole) {
    parser_.reset();
  } else {
    const auto length = parser_->content_length();
    upload_ = std::make_shared<Upload>(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    upload_->on_room([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->read();
    });
  }
  const auto upload = upload_;
  began_ = fresh_ = false;
  keep_alive_ = message.keep_alive();
  id_.clear();
  bare_ = message.method() == http::verb::head;
  modern_ = message.version() >= 11;
  enter(Stage::waiting);
  const string_view target(message.target().data(), message.target().size());
  if (target == "/-/ready") {
    const bool good = clients_.owner_.ready() && !clients_.draining_;
    return write({good ? http::status::ok : http::status::service_unavailable,
                  good ? "ready\n" : "not ready\n",
                  "text/plain",
                  {}});
  }
  try {
    auto request = read_request(message, clients_.settings_, clients_.timers_.now());
    clients_.end_in_time(request);
    if (upload) {
      upload->put(std::exchange(request.body, {}));
      request.upload = upload;
    }
    id_ = request.id;
    const auto number = clients_.owner_.arrived(std::move(request), shared_from_this());
    if (stage_ == Stage::waiting) request_ = number;
  } catch (const BadRequest& x) {
    ++clients_.refusals_[static_cast<unsigned>(x.status)];
    write({x.status, std::string(x.what()) + "\n", "text/plain", {}});
  }
}

void ClientSession::reject(http::status status, const std::string& why) {
  ++clients_.refusals_[upload_ ? 0 : static_cast<unsigned>(status)];
  // Of a request that is out already: it will not come whole.
  if (upload_) return close(SessionEnd::malformed);
  keep_alive_ = false;
  buffer_.clear();
  write({status, why + "\n", "text/plain", {}});
}

void ClientSession::answer(const Answer& answer) {
  request_ = 0;
  if (stage_ == Stage::waiting) write(answer);
}

void ClientSession::write(const Answer& answer) {
  enter(Stage::writing);
  if (std::exchange(upload_, nullptr)) parser_.reset(), keep_alive_ = false;  // the rest is read for nobody
  if (clients_.draining_ || clients_.retired_) keep_alive_ = false;
  out_ += head_of(answer.status, answer.content_type, answer.body.size(), false, keep_alive_,
                  answer.body.size());
  if (answer.retry_after > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(answer.retry_after).count());
    out_.append("Retry-After: ").append(text.data()).append("\r\n");
  }
  out_.append("\r\n");
  if (!bare_) out_.append(answer.body);
  write_some();
}

void ClientSession::begin(const AnswerHead& head) {
  if (stage_ != Stage::waiting) return;
  enter(Stage::streaming);
  chunked_ = !head.length && modern_;
  framed_ = chunked_ || head.length;
  if (clients_.draining_ || clients_.retired_ || (!head.length && !chunked_)) keep_alive_ = false;
  out_ += head_of(http::status::ok, head.content_type, head.length, chunked_, keep_alive_) + "\r\n";
}

void ClientSession::pass_on(string_view piece, std::function<void()> taken) {
  if (stage_ != Stage::streaming) return;
  if (chunked_ && !piece.empty()) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    out_.append(size.data()).append(piece).append("\r\n");
  } else {
    out_.append(piece);
  }
  taken_ = std::move(taken);
  write_some();
}

void ClientSession::end() {
  if (stage_ != Stage::streaming) return;
  request_ = 0;
  if (chunked_) out_.append("0\r\n\r\n");
  enter(Stage::writing);
  write_some();
}

void ClientSession::cut_off() {
  request_ = 0;
  if (stage_ != Stage::streaming) return;
  keep_alive_ = false;
  why_ = SessionEnd::answer_broke;
  if (framed_) {  // its end is missing, which tells; a reset would take with it what the client has not read
    enter(Stage::writing);
    return write_some();
  }
  // The end of the connection would be the end of the answer.
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close(SessionEnd::answer_broke);
}

void ClientSession::write_some() {
  if (writes_ || closed()) return;
  if (written_ == writing_.size()) {
    written_ = 0;
    writing_.clear();
    std::swap(writing_, out_);
  }
  if (writing_.empty()) {
    if (stage_ == Stage::writing) on_written();
    return;
  }
  writes_ = true;
  socket_.async_write_some(asio::buffer(writing_.data() + written_, writing_.size() - written_),
                           [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                             self->writes_ = false;
                             if (self->closed()) return;
                             if (failed) return self->close(SessionEnd::write_failed);
                             self->since_ = self->clients_.timers_.now();
                             self->written_ += bytes;
                             if (self->written_ == self->writing_.size() && self->out_.empty())
                               if (const auto taken = std::exchange(self->taken_, nullptr)) taken();
                             self->write_some();
                           });
}

void ClientSession::on_written() {
  writing_ = {};
  if (!keep_alive_) return end_politely(SessionEnd::answered);
  enter(Stage::reading);
  parse();
  read();
  clients_.may_accept();
}

bool ClientSession::waits() {
  if (closed()) return false;
  pollfd client{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
  if (uninterrupted([&] { return ::poll(&client, 1, 0); }) <= 0) return true;  // nothing has come
  char byte = 0;
  const bool open = (client.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0 &&
                    uninterrupted(
                        [&] { return ::recv(client.fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT); }) != 0;
  if (!open)
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->close(SessionEnd::client_closed); });
  return open;
}

void ClientSession::end_politely(SessionEnd why) {
  if (!why_) why_ = why;
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  buffer_.clear();
  came_ = 0;
  enter(Stage::lingering);
  read();
  clients_.may_accept();
}

// For its descriptor, which is needed now. A request that has begun to come, read or not, has its answer: that it is refused and may
// be sent again. What lies unread is read, so that the close is no reset where it can be none.
void ClientSession::make_way(SessionEnd why) {
  if (!why_) why_ = why;
  error_code failed;
  if (stage_ == Stage::reading && !untouched()) refuse_at_once();
  socket_.shutdown(Socket::shutdown_send, failed);
  std::array<char, facts::kReadSize> unread{};
  for (auto n = facts::kMostBody / unread.size(); n > 0; --n) {
    const auto read = [&] {
      return ::recv(socket_.native_handle(), unread.data(), unread.size(), MSG_DONTWAIT);
    };
    if (uninterrupted(read) <= 0) break;
  }
  close(why);
}

// Without waiting: nothing else is on its way to this client, and the system has room for so little.
void ClientSession::refuse_at_once() {
  static constexpr auto kStatus = http::status::service_unavailable;
  ++clients_.refusals_[static_cast<unsigned>(kStatus)];
  const auto text = head_of(kStatus, "text/plain", 0, false, false) + "\r\n";
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto rest = string_view(text).substr(sent);
    const auto write = [&] {
      return ::send(socket_.native_handle(), rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    };
    const auto n = uninterrupted(write);
    if (n <= 0) return;
    sent += static_cast<std::size_t>(n);
  }
}

void ClientSession::close(SessionEnd why) {
  if (closed()) return;
  const bool unanswered = request_ != 0 || stage_ == Stage::streaming || stage_ == Stage::writing;
  const auto reason = why_.value_or(why);
  clients_.session_ends_.add(reason);
  if (unanswered) log_unanswered(reason);
  if (const auto breach = policy::may_end_session(unanswered, is_own(reason)))
    clients_.owner_.breached(*breach, id_);
  const auto request = std::exchange(request_, 0);
  enter(Stage::closed);
  close_now(socket_);
  taken_ = nullptr;
  const auto self = shared_from_this();
  clients_.forget(self);
  if (request != 0) clients_.owner_.client_gone(request);
  if (const auto upload = std::exchange(upload_, nullptr)) upload->break_off();
}

// A client that leaves is no event; any other end without a whole answer is.
void ClientSession::log_unanswered(SessionEnd why) const {
  if (why == SessionEnd::client_closed) {
    if (log::follows_requests()) log::request("clients", "client left", {{"request", id_}});
    return;
  }
  log::warning("clients", "connection ended without a whole answer",
               {{"request", id_}, {"reason", std::string(name_of(why))}});
}

void ClientSession::sweep(Time now) {
  if (stage_ == Stage::streaming && !writes_) return;  // the server's turn
  if (stage_ == Stage::waiting && upload_ && reads_ && now - began_at_ >= request_limit())
    return close(SessionEnd::request_too_slow);
  if (stage_ == Stage::lingering && now - since_ < facts::kLongestLinger && now - heard_ < facts::kLinger)
    return;
  const bool writes = stage_ == Stage::writing || stage_ == Stage::streaming;
  const auto limit = writes                       ? facts::kSlowReader
                     : stage_ == Stage::lingering ? facts::kLinger
                     : began_                     ? request_limit()
                     : fresh_                     ? facts::kSlowHead
                                                  : facts::kIdleClient;
  // Whoever connects has so long for its first request, with whatever pauses.
  const Time from = stage_ == Stage::reading && fresh_ ? opened_ : since_;
  if (stage_ == Stage::waiting || now - from < limit) return;
  if (stage_ == Stage::reading && began_)
    return began_ = false, reject(http::status::request_timeout, "the request did not come");
  if (stage_ == Stage::reading && !untouched()) return;  // what has come is read first
  if (stage_ == Stage::reading && !fresh_) return end_politely(SessionEnd::idle);
  if (stage_ == Stage::reading) ++clients_.refusals_[0];  // it has sent nothing
  make_way(writes ? SessionEnd::reader_too_slow : SessionEnd::request_too_slow);
}

// A head has its time, and a body as much more as what has come takes a slow client.
Duration ClientSession::request_limit() const {
  if (!parser_ || !parser_->is_header_done()) return facts::kSlowHead;
  const std::chrono::duration<double> more(static_cast<double>(came_) / facts::kSlowBody);
  return facts::kSlowHead + std::chrono::duration_cast<Duration>(more);
}

// ---- The listener ---------------------------------------------------------------------------------------

Clients::Clients(asio::io_context& io, Timers& timers, std::shared_ptr<const Settings> settings,
                 std::size_t most_sessions, Owner& owner)
    : io_(io),
      timers_(timers),
      settings_(std::move(settings)),
      most_sessions_(most_sessions),
      owner_(owner),
      acceptor_(io.get_executor()) {}

void Clients::listen(const Tcp::endpoint& at) {
  if (acceptor_.is_open()) acceptor_.close();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // So that a new version can start even where its predecessor hands nothing over.
  acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  begin();
}

void Clients::adopt(int listening) {
  acceptor_.assign(Tcp::v4(), listening);
  begin();
}

void Clients::begin() {
  acceptor_.non_blocking(true);
  // A client that has gone before it was accepted is told of: the library would wait for the next one to come, though others may
  // stand in the queue already.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  timers_.after(facts::kSweepClients, [this] { sweep(); });
}

void Clients::retire() {
  retired_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);  // the socket stays open: the queue is shared
}

void Clients::resume() {
  retired_ = false;
  accept();
}

void Clients::accept() {
  if (retired_) return;
  if (sessions_.size() < most_sessions_) {
    accepts_ = true;
    acceptor_.async_accept([this](const error_code& failed, Socket socket) {
      if (failed != asio::error::operation_aborted) accepted(failed, std::move(socket));
    });
    return;
  }
  accepts_ = owner_.could_lend() || longest_silent();
  if (!accepts_) return;  // goes on when a session ends, or holds nothing that was taken
  // Beyond the share a client is only taken once it is there and room is made: whoever could be let go before may have
  // asked for something meanwhile.
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const error_code& failed) {
    if (failed == asio::error::operation_aborted || retired_) return;
    accepts_ = sessions_.size() < most_sessions_ || owner_.lend() || make_room();
    if (!accepts_) return;
    error_code none;
    Socket socket(io_.get_executor());
    acceptor_.accept(socket, none);
    if (none == asio::error::would_block) return accept();  // it has gone
    accepted(none, std::move(socket));
  });
}

void Clients::accepted(const error_code& failed, Socket socket) {
  if (failed) {
    ++accept_failures_;
    if (is_passing_failure(failed)) return accept();
    // For want of a descriptor, most likely, one that idles is given up; the next try comes after a moment.
    if (!is_system_shortage(failed)) make_room();
    timers_.after(facts::kAcceptPause, [this] { accept(); });
    return;
  }
  last_accept_ = timers_.now();
  const auto session = std::make_shared<ClientSession>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
  accept();
}

// Gives up the session that has idled longest; if none idles, the one of whose request nothing has come for
// longest: of a crowd that stops half way those who go on writing are kept. A
// request that has come whole is never given up.
std::shared_ptr<ClientSession> Clients::longest_silent() const {
  std::shared_ptr<ClientSession> oldest;
  const auto before = [](const auto& a, const auto& b) {
    return std::pair(!a->idle(), a->heard()) < std::pair(!b->idle(), b->heard());
  };
  for (const auto& s : sessions_)
    if (s->expendable() && (!oldest || before(s, oldest))) oldest = s;
  return oldest;
}

bool Clients::make_room() {
  const auto session = longest_silent();
  if (session) session->make_way(SessionEnd::descriptor);
  return session != nullptr;
}

void Clients::forget(const std::shared_ptr<ClientSession>& session) {
  sessions_.erase(session);
  may_accept();
}

void Clients::may_accept() {
  if (!accepts_) accept();
}

void Clients::sweep() {
  const Time now = timers_.now();
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all) {
    s->sweep(now);
    const auto idle = retired_ ? facts::kHandedOverIdle : facts::kNewAfterTerm;
    if ((draining_ || retired_) && s->untouched() && now - s->since() > idle)
      s->end_politely(SessionEnd::process_ends);
  }
  timers_.after(facts::kSweepClients, [this] { sweep(); });
}

void Clients::drain(Duration longest_deadline) {
  draining_ = true;
  last_accept_ = told_to_end_ = timers_.now();
  last_word_ = told_to_end_ + std::min(longest_deadline, facts::kDeadlineAtTerm) + facts::kKillAfterTerm -
               facts::kLastWord;
  if (retired_) return;  // they are told with their next answers
  const std::vector<std::shared_ptr<ClientSession>> all(sessions_.begin(), sessions_.end());
  for (const auto& s : all)
    if (s->untouched() && !s->fresh())
      s->end_politely(SessionEnd::process_ends);  // those that are new have a request on its way
}

// Clients send up to SIGKILL on whatever stays open, and what SIGKILL finds unanswered of that is lost: a request
// that comes late has no more time than this process.
void Clients::end_in_time(ClientRequest& request) const {
  const Time now = timers_.now();
  if (!draining_ || now - told_to_end_ <= facts::kNewAfterTerm) return;
  if (request.deadline <= last_word_) return;
  if (last_word_ <= now) throw BadRequest(http::status::service_unavailable, "this process ends");
  request.deadline = last_word_;
  request.arrival.time_left = last_word_ - now;
}

// Clients that have their answers and do not close don't hold the process up to SIGKILL.
bool Clients::drained() const {
  const Time now = timers_.now();
  if (!draining_ || now - last_accept_ <= facts::kNewAfterTerm) return false;
  return sessions_.empty() ||
         (now >= last_word_ && std::ranges::all_of(sessions_, [](const auto& s) { return s->lingers(); }));
}

}  // namespace petrelrail
