#include "process_runtime.hpp"

#include <unistd.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdio>

#include "answer_form.hpp"
#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "common/time_math.hpp"
#include "world/configuration.hpp"

namespace petrelrail::lab {
namespace {

using namespace std::chrono_literals;
using namespace world;
using nlohmann::json;
namespace beast = boost::beast;
namespace http = beast::http;
using Udp = asio::ip::udp;

constexpr unsigned short kListenPort = 7070, kControlPort = 7071, kSuccessorControlPort = 7072,
                         kPeerPort = 7946;
// Second octets of 127.x.0.0/16 that concurrent labs choose from.
constexpr unsigned kFirstAddressOctet = 64, kAddressOctets = 128;
constexpr Duration kReadyPollInterval = 10ms;
// Blank lines on a watch, idle time-out of counter connections, and how long connections to an
// address that discovery or the counter moved away from stay open: as PROTOCOL and TERMS have them.
constexpr Duration kWatchKeepAlive = 2s, kCounterIdleTimeout = 10s, kOldAddressGrace = 1500ms;
constexpr std::size_t kMaxCounterLinks = 32;  // for each node
constexpr std::size_t kCrashLogLines = 5;
constexpr Duration kSignalInterval = 7ms;   // between the signals of a series
constexpr Duration kPiecePause = 3ms;       // between the pieces of an answer
constexpr double kClockStepDelayMs = 3000;  // from the start of a process to its wall-clock step

std::string hex(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}
std::uint64_t from_hex(std::string_view text) {
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n, 16);
  return n;
}
// Returns the body of the answer to a client attempt, equal for all attempts at price servers. For
// a share of the requests it is longer than what a node buffers before it starts to forward.
std::string body_for(ClientAttemptId id, const ResponseDeliveryConfig& wire) {
  constexpr std::size_t kMaxBodyBytes = 60 * 1024;
  const auto line = "price for " + hex(static_cast<std::uint64_t>(id)) + "\n";
  auto dice = RandomStreams(static_cast<std::uint64_t>(id)).stream("length");
  if (!dice.chance(wire.long_responses)) return line;
  std::string body;
  for (const auto size = line.size() + dice.below(kMaxBodyBytes); body.size() < size;) body += line;
  return body;
}

}  // namespace

// ---- Connections of the front load balancer -----------------------------------------------------

// A connection of the front load balancer to a node, with one request at a time.
class ProcessRuntime::FrontLink : public std::enable_shared_from_this<FrontLink> {
 public:
  FrontLink(ProcessRuntime& runtime, std::uint32_t node)
      : runtime_(runtime), node_(node), socket_(runtime.io_) {}

  void begin(const ClientAttempt& client_attempt) {
    prepare(client_attempt);
    socket_.async_connect(runtime_.nodes_[node_].listen,
                          [self = shared_from_this()](const error_code& failed) {
                            if (self->is_closed_) return;
                            if (failed) return self->on_connection_lost(true);
                            error_code ignored;
                            self->socket_.set_option(Tcp::no_delay(true), ignored);
                            self->write();
                          });
  }
  void send_next(const ClientAttempt& client_attempt) {
    prepare(client_attempt);
    write();
  }
  void close() {
    if (std::exchange(is_closed_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();
    std::erase(runtime_.nodes_[node_].idle_front_links, self);
    runtime_.nodes_[node_].front_links.erase(self);
    if (client_attempt_) runtime_.in_flight_.erase(client_attempt_->id);
  }

 private:
  void prepare(const ClientAttempt& client_attempt) {
    client_attempt_ = client_attempt;
    runtime_.in_flight_[client_attempt.id] = shared_from_this();
    const auto& s = runtime_.options_.scenario;
    const bool is_safe = s.clients.effect == "safe";
    const bool is_keyed = s.clients.effect == "keyed";
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(client_attempt.deadline -
                                                                          client_attempt.sent)
                        .count();
    request_text_ = std::string(is_safe ? "GET" : "POST") +
                    " /price-lookup HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " +
                    hex(static_cast<std::uint64_t>(client_attempt.id)) +
                    "\r\nX-Priority-Class: price-lookup\r\nX-Plan: " +
                    s.clients.plans[client_attempt.plan].name + "\r\nCookie: client=" +
                    hex(static_cast<std::uint64_t>(client_attempt.customer)) +
                    "\r\nX-Timeout-Ms: " + std::to_string(ms) +
                    "\r\nX-Quota: units=1,spread=" + std::to_string(client_attempt.spread) +
                    ",first=" + std::to_string(client_attempt.first) +
                    (client_attempt.number > 0 ? "\r\nX-Retried: 1" : "") +
                    (is_keyed ? "\r\nIdempotency-Key: " +
                                    hex(static_cast<std::uint64_t>(client_attempt.root))
                              : "") +
                    (is_safe ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
  }
  void write() {
    parser_.emplace();
    asio::async_write(socket_, asio::buffer(request_text_),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (self->is_closed_) return;
                        if (failed) return self->on_connection_lost(false);
                        if (self->client_attempt_)
                          self->runtime_.world_->received(self->client_attempt_->id);
                        if (!self->is_reading_) self->read();
                      });
  }
  void read() {
    is_reading_ = true;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& failed, std::size_t) {
                       self->is_reading_ = false;
                       if (self->is_closed_) return;
                       if (failed) return self->on_connection_lost(false);
                       self->on_response();
                     });
  }
  void on_response() {
    const auto& response = parser_->get();
    const auto id = client_attempt_->id;
    const auto status = response.result_int();
    const auto verdict = status == 200                    ? Verdict::served
                         : status == 429 || status == 503 ? Verdict::refused
                                                          : Verdict::failed;
    Duration retry_after{};
    if (const auto it = response.find(http::field::retry_after); it != response.end())
      retry_after = from_seconds(std::strtod(std::string(it->value()).c_str(), nullptr));
    const bool is_genuine = verdict != Verdict::served ||
                            response.body() == body_for(id, runtime_.options_.scenario.wire);
    const bool keeps_alive = response.keep_alive();
    runtime_.in_flight_.erase(id);
    client_attempt_.reset();
    ++responses_;
    // Delays the answer by the client's network latency, both directions at once.
    runtime_.agenda_.after(runtime_.world_->client_delay(),
                           [world = runtime_.world_, id, verdict, retry_after, is_genuine] {
                             world->answered(id, verdict, retry_after, is_genuine);
                           });
    if (!keeps_alive) return close();
    auto& n = runtime_.nodes_[node_];
    if (!n.queued_attempts.empty()) {
      const auto next = n.queued_attempts.front();
      n.queued_attempts.pop_front();
      return send_next(next);
    }
    n.idle_front_links.push_back(shared_from_this());
    parser_.emplace();
    read();  // notices when the node closes the connection
  }
  void on_connection_lost(bool failed_to_connect) {
    const auto client_attempt = client_attempt_;
    const bool is_first_request = responses_ == 0;
    const bool has_no_response_bytes = !parser_ || !parser_->got_some();
    close();
    if (!client_attempt) return;
    if (failed_to_connect) return runtime_.world_->unreachable(client_attempt->id);
    // The node closed the idle connection while the request was under way: sends it again on
    // another connection.
    if (!is_first_request && has_no_response_bytes &&
        !runtime_.forwarded_.contains(client_attempt->id))
      return runtime_.forward(*client_attempt);
    // The price server's answer was truncated: the client sees that the request has failed.
    if (!has_no_response_bytes && runtime_.truncated_answers_.contains(client_attempt->id))
      return runtime_.world_->answered(client_attempt->id, Verdict::failed, {}, true);
    runtime_.world_->broken(client_attempt->id, is_first_request);
  }

  ProcessRuntime& runtime_;
  std::uint32_t node_;
  Tcp::socket socket_;
  std::optional<ClientAttempt> client_attempt_;
  std::string request_text_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::uint64_t responses_ = 0;
  bool is_closed_ = false, is_reading_ = false;
};

// ---- A node's connection to a price server ------------------------------------------------------

class ProcessRuntime::ServerLink : public std::enable_shared_from_this<ServerLink> {
 public:
  ServerLink(ProcessRuntime& runtime, std::uint32_t node, std::uint32_t server, Tcp::socket socket)
      : runtime_(runtime), node_(node), server_(server), socket_(std::move(socket)) {}

  // Loopback connects at once: the first request is delayed by the simulated handshake instead.
  void begin() {
    handshake_delay_ = runtime_.world_->handshake(node_, server_);
    read();
  }
  void close(bool by_reset) {
    if (std::exchange(is_closed_, true)) return;
    if (by_reset) {
      reset(socket_);
    } else {
      error_code ignored;
      socket_.close(ignored);
    }
    runtime_.attempts_.erase(attempt_);
    runtime_.nodes_[node_].server_links.erase(shared_from_this());
  }
  void answer(ServerAnswer a) {
    if (is_closed_) return;
    const auto id = client_attempt_id_;
    runtime_.attempts_.erase(std::exchange(attempt_, AttemptNumber::none));
    is_busy_ = false;
    const auto& wire = runtime_.options_.scenario.wire;
    const bool is_ok = a == ServerAnswer::ok || a == ServerAnswer::truncated;
    const std::string body = is_ok ? body_for(id, wire) : "no\n";
    const std::string_view head = a == ServerAnswer::error
                                      ? "HTTP/1.1 500 Internal Server Error\r\n"
                                  : a == ServerAnswer::full
                                      ? "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n"
                                      : "HTTP/1.1 200 OK\r\n";
    auto dice = RandomStreams(runtime_.options_.seed).stream("form", ++runtime_.answers_);
    form_ = is_ok ? draw_answer_form(wire, dice, a == ServerAnswer::truncated) : AnswerForm{};
    if (form_.is_truncated) runtime_.truncated_answers_.insert(id);
    const auto pieces = encode_answer(form_, head, body);
    pieces_.assign(pieces.begin(), pieces.end());
    write();
  }
  std::uint32_t server() const { return server_; }

 private:
  void write() {
    written_piece_ = std::move(pieces_.front());
    pieces_.pop_front();
    asio::async_write(socket_, asio::buffer(written_piece_),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (self->is_closed_) return;
                        if (failed) return self->end(false);
                        self->on_piece_written();
                      });
  }
  void on_piece_written() {
    if (!pieces_.empty())
      return runtime_.agenda_.after(kPiecePause, [self = shared_from_this()] {
        if (!self->is_closed_) self->write();
      });
    if (form_.is_truncated) return end(form_.ends_by_reset);
    if (form_.framing == AnswerForm::Framing::until_close) end(false);
  }
  // Closes the connection and notifies the simulation, also of an attempt that has no answer yet.
  void end(bool by_reset) {
    if (is_closed_) return;
    const auto attempt = attempt_;
    close(by_reset);
    runtime_.world_->closed(node_, server_);
    if (attempt != AttemptNumber::none) runtime_.world_->attempt_left(attempt);
  }
  void read() {
    parser_.emplace();
    first_byte_time_ = Time{};
    read_some();
  }
  void read_some() {
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const error_code& failed, std::size_t) {
                            if (self->is_closed_) return;
                            if (failed) return self->end(false);
                            if (self->first_byte_time_ == Time{})
                              self->first_byte_time_ = self->runtime_.agenda_.now();
                            if (!self->parser_->is_done()) return self->read_some();
                            self->on_request();
                          });
  }
  void on_request() {
    const auto& request = parser_->get();
    const auto it = request.find("X-Request-ID");
    // Rejects a second request before the answer to the first, and requests without an id, which
    // are not from this lab's clients.
    if (is_busy_ || it == request.end()) return end(true);
    client_attempt_id_ = ClientAttemptId(from_hex(it->value()));
    runtime_.forwarded_.insert(client_attempt_id_);
    is_busy_ = true;
    const auto delay = 2 * runtime_.world_->network_delay(node_, server_) +
                       std::exchange(handshake_delay_, Duration{});
    runtime_.agenda_.after(delay, [self = shared_from_this(), first = first_byte_time_] {
      if (self->is_closed_) return;
      self->attempt_ = self->runtime_.world_->attempt(self->node_, self->server_,
                                                      self->client_attempt_id_, first);
      if (self->attempt_ != AttemptNumber::none) self->runtime_.attempts_[self->attempt_] = self;
    });
    read();
  }

  ProcessRuntime& runtime_;
  std::uint32_t node_, server_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string written_piece_;
  AnswerForm form_;
  std::deque<std::string> pieces_;  // of the current answer, not yet written
  Time first_byte_time_{};
  Duration handshake_delay_{};
  ClientAttemptId client_attempt_id_{};
  AttemptNumber attempt_ = AttemptNumber::none;
  bool is_busy_ = false, is_closed_ = false;
};

// ---- A node's connection to the counter ---------------------------------------------------------

class ProcessRuntime::CounterLink : public std::enable_shared_from_this<CounterLink> {
 public:
  CounterLink(ProcessRuntime& runtime, std::uint32_t node, Tcp::socket socket)
      : runtime_(runtime), node_(node), socket_(std::move(socket)), idle_timer_(runtime.io_) {}

  void begin() {
    restart_idle_timer();
    read();
  }
  void close(bool by_reset) {
    if (std::exchange(is_closed_, true)) return;
    idle_timer_.cancel();
    if (by_reset) {
      reset(socket_);
    } else {
      error_code ignored;
      socket_.close(ignored);
    }
    runtime_.nodes_[node_].counter_links.erase(shared_from_this());
  }
  bool is_closed() const { return is_closed_; }
  void on_write_failed() { close(false); }
  // Whether a call was read while the path to the counter was cut, so that it gets no answer.
  bool has_dropped_calls() const { return has_dropped_calls_; }

 private:
  struct PendingAnswer {
    std::string text;
    bool is_ready = false, is_malformed = false;
  };
  void restart_idle_timer() {
    idle_timer_.expires_after(kCounterIdleTimeout);
    idle_timer_.async_wait([self = shared_from_this()](const error_code& failed) {
      if (!failed && self->pending_answers_.empty()) self->close(false);
    });
  }
  void read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](const error_code& failed, std::size_t n) {
                              if (self->is_closed_) return;
                              if (failed) return self->close(false);
                              self->received_text_.append(self->read_buffer_.data(), n);
                              self->restart_idle_timer();
                              for (auto end = self->received_text_.find("\r\n");
                                   end != std::string::npos;
                                   end = self->received_text_.find("\r\n")) {
                                const auto line = self->received_text_.substr(0, end);
                                self->received_text_.erase(0, end + 2);
                                self->on_call(line);
                                if (self->is_closed_) return;
                              }
                              self->read();
                            });
  }
  void on_call(const std::string& line) {
    if (runtime_.world_->counter_would_connect(node_) != ConnectResult::up) {
      has_dropped_calls_ = true;
      if (const auto call = world::Counter::parse(line))
        runtime_.world_->call(node_, *call, [](const auto&) {});
      return;
    }
    pending_answers_.push_back(std::make_shared<PendingAnswer>());
    const auto pending = pending_answers_.back();
    if (line == "ping") return complete(pending, "pong", false);
    const auto call = world::Counter::parse(line);
    if (!call) return complete(pending, "error", false);
    runtime_.world_->call(node_, *call,
                          [self = shared_from_this(), pending](const world::Counter::Answer& a) {
                            if (a.kind == world::Counter::Answer::Kind::refused)
                              return self->close(true);
                            self->complete(pending, world::Counter::format(a),
                                           a.kind == world::Counter::Answer::Kind::malformed);
                          });
  }
  // Writes the completed answers in the order of their calls, up to the first malformed one.
  void complete(const std::shared_ptr<PendingAnswer>& pending, std::string text,
                bool is_malformed) {
    pending->text = std::move(text), pending->is_ready = true, pending->is_malformed = is_malformed;
    bool is_last = false;
    while (!pending_answers_.empty() && pending_answers_.front()->is_ready && !is_last) {
      output_.add(pending_answers_.front()->text + "\r\n");
      is_last = pending_answers_.front()->is_malformed;
      pending_answers_.pop_front();
    }
    flush();
  }
  void flush() { output_.flush(shared_from_this(), socket_); }

  ProcessRuntime& runtime_;
  std::uint32_t node_;
  Tcp::socket socket_;
  asio::steady_timer idle_timer_;
  std::array<char, 4096> read_buffer_{};
  std::string received_text_;
  OutputQueue output_;
  std::deque<std::shared_ptr<PendingAnswer>> pending_answers_;
  bool is_closed_ = false, has_dropped_calls_ = false;
};

// ---- A node's connection to its discovery agent -------------------------------------------------

class ProcessRuntime::AgentLink : public std::enable_shared_from_this<AgentLink> {
 public:
  AgentLink(ProcessRuntime& runtime, std::uint32_t node, Tcp::socket socket)
      : runtime_(runtime),
        node_(node),
        socket_(std::move(socket)),
        keep_alive_timer_(runtime.io_) {}

  void begin() { read(); }
  void close() {
    if (std::exchange(is_closed_, true)) return;
    keep_alive_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    runtime_.nodes_[node_].agent_links.erase(shared_from_this());
  }
  bool is_closed() const { return is_closed_; }
  void on_write_failed() { close(); }
  void on_list_changed(std::span<const Entry> entries, std::int64_t revision) {
    if (is_watch_) send_chunk(runtime_.list_json(node_, entries, revision, false) + "\n");
  }

 private:
  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& failed, std::size_t) {
                       if (self->is_closed_) return;
                       if (failed) return self->close();
                       self->on_request();
                     });
  }
  void on_request() {
    const std::string target(parser_->get().target());
    const auto& list = runtime_.world_->list(node_);
    std::vector<Entry> entries;
    for (const auto& [number, e] : list.entries) entries.push_back(e);
    if (!target.starts_with("/api/targets")) {
      output_.add("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    } else if (target.find("watch=1") == std::string::npos) {
      const auto body = runtime_.list_json(node_, entries, list.revision, true);
      output_.add("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    } else {
      output_.add(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: "
          "chunked\r\n\r\n");
      is_watch_ = true;
      const auto from = target.find("from=");
      const auto known_revision = from == std::string::npos
                                      ? 0
                                      : std::strtoll(target.c_str() + from + 5, nullptr, 10);
      if (known_revision != list.revision)
        send_chunk(runtime_.list_json(node_, entries, list.revision, true) + "\n");
      schedule_keep_alive();
    }
    flush();
    read();
  }
  void schedule_keep_alive() {
    keep_alive_timer_.expires_after(kWatchKeepAlive);
    keep_alive_timer_.async_wait([self = shared_from_this()](const error_code& failed) {
      if (failed || self->is_closed_) return;
      if (self->runtime_.world_->talks_with_discovery(self->node_)) self->send_chunk("\n");
      self->schedule_keep_alive();
    });
  }
  void send_chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    output_.add(size + text + "\r\n");
    flush();
  }
  void flush() { output_.flush(shared_from_this(), socket_); }

  ProcessRuntime& runtime_;
  std::uint32_t node_;
  Tcp::socket socket_;
  asio::steady_timer keep_alive_timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  OutputQueue output_;
  bool is_watch_ = false, is_closed_ = false;
};

// ---- Addresses and processes --------------------------------------------------------------------

ProcessRuntime::ProcessRuntime(const Options& options, asio::io_context& io, EventQueue& agenda,
                               std::filesystem::path folder)
    : options_(options),
      io_(io),
      agenda_(agenda),
      folder_(std::move(folder)),
      nodes_(options.scenario.fleet.nodes),
      crowd_(io, options.scenario.clients.crowd_per_node) {
  if (access(options.program.c_str(), X_OK) != 0)
    throw std::runtime_error("the program " + options.program.string() +
                             " can't be run (--program names another)");
  // Takes the first address range that no other lab uses, so that several labs can run
  // concurrently.
  for (unsigned i = 0; i < kAddressOctets && address_octet_ == 0; ++i) {
    const unsigned octet = kFirstAddressOctet +
                           (static_cast<unsigned>(getpid()) + i) % kAddressOctets;
    Tcp::acceptor probe(io_);
    error_code failed;
    const Tcp::endpoint endpoint(asio::ip::make_address_v4("127." + std::to_string(octet) + ".0.1"),
                                 kPeerPort);
    probe.open(endpoint.protocol());
    probe.bind(endpoint, failed);
    if (!failed) address_octet_ = octet;
  }
  if (address_octet_ == 0) throw std::runtime_error("no loopback addresses are free");
}

ProcessRuntime::~ProcessRuntime() {
  for (auto& n : nodes_) {
    for (auto set : {std::set<std::shared_ptr<FrontLink>>(n.front_links)})
      for (const auto& l : set) l->close();
    for (const auto& l : std::set<std::shared_ptr<ServerLink>>(n.server_links)) l->close(true);
    for (const auto& l : std::set<std::shared_ptr<CounterLink>>(n.counter_links)) l->close(true);
    for (const auto& l : std::set<std::shared_ptr<AgentLink>>(n.agent_links)) l->close();
  }
}

asio::ip::address ProcessRuntime::address(std::uint32_t node) const {
  return asio::ip::make_address_v4("127." + std::to_string(address_octet_) + "." +
                                   std::to_string(1 + node / 200) + "." +
                                   std::to_string(1 + node % 200));
}

void ProcessRuntime::start(Simulation& world) {
  world_ = &world;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    n.listen = {address(i), kListenPort}, n.control = {address(i), kControlPort},
    n.successor_control = {address(i), kSuccessorControlPort};
    n.folder = folder_ / ("node-" + std::to_string(i));
    std::filesystem::create_directories(n.folder);
    n.log = (options_.out ? *options_.out : folder_) / ("node-" + std::to_string(i) + ".log");
    open_agent(i);
    open_counter(i);
    for (std::uint32_t s = 0; s < world.servers(); ++s) open_server(i, s);
    const asio::ip::address_v4 relay_address = asio::ip::make_address_v4(
        "127." + std::to_string(address_octet_) + ".0.2");
    n.peer_socket = std::make_unique<Udp::socket>(io_, Udp::endpoint(relay_address, 0));
    receive_datagrams(i);
  }
}

void ProcessRuntime::open_agent(std::uint32_t node) {
  nodes_[node].agent_port = std::make_unique<Port>(io_, address(node), [this, node](Tcp::socket s) {
    const auto link = std::make_shared<AgentLink>(*this, node, std::move(s));
    nodes_[node].agent_links.insert(link);
    link->begin();
  });
}

void ProcessRuntime::open_counter(std::uint32_t node) {
  nodes_[node].counter_port = std::make_unique<Port>(
      io_, address(node), [this, node](Tcp::socket s) {
        auto& links = nodes_[node].counter_links;
        if (links.size() >= kMaxCounterLinks) return reset(s);
        const auto link = std::make_shared<CounterLink>(*this, node, std::move(s));
        links.insert(link);
        link->begin();
      });
}

void ProcessRuntime::open_server(std::uint32_t node, std::uint32_t server) {
  auto& ports = nodes_[node].server_ports;
  if (ports.size() <= server) ports.resize(server + 1);
  ports[server] = std::make_unique<Port>(io_, address(node), [this, node, server](Tcp::socket s) {
    if (world_->connect(node, server) != ConnectResult::up) return reset(s);
    const auto link = std::make_shared<ServerLink>(*this, node, server, std::move(s));
    nodes_[node].server_links.insert(link);
    link->begin();
  });
  ports[server]->set_state(world_->would_connect(node, server));
}

void ProcessRuntime::server_added(std::uint32_t server) {
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) open_server(n, server);
}

// Receives the datagrams that other nodes address to `node`. The source address identifies the
// sender.
void ProcessRuntime::receive_datagrams(std::uint32_t node) {
  nodes_[node].peer_socket->async_receive_from(
      asio::buffer(datagram_buffers_[node]), senders_[node],
      [this, node](const error_code& failed, std::size_t n) {
        if (failed) return;
        for (std::uint32_t from = 0; from < nodes_.size(); ++from)
          if (senders_[node].address() == address(from))
            world_->datagram(from, node, std::string(datagram_buffers_[node].data(), n));
        receive_datagrams(node);
      });
}

void ProcessRuntime::datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) {
  error_code ignored;
  nodes_[from].peer_socket->send_to(asio::buffer(payload), Udp::endpoint(address(to), kPeerPort), 0,
                                    ignored);
}

std::string ProcessRuntime::entry_json(std::uint32_t node, const Entry& entry) const {
  static constexpr const char* phases[] = {"SERVING", "DRAINING", "DELETED"};
  const auto up_since_ms = entry.started ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                               entry.started->time_since_epoch())
                                               .count()
                                         : 0;
  const json j = {{"id", entry.id},
                  {"host_port", nodes_[node].server_ports.at(entry.server)->text()},
                  {"locality", options_.scenario.fleet.zones[entry.zone]},
                  {"flavor", "standard-4core"},
                  {"cell", entry.cell},
                  {"phase", phases[static_cast<std::size_t>(entry.phase)]},
                  {"size", entry.size},
                  {"up_since_ms", up_since_ms}};
  return j.dump();
}

std::string ProcessRuntime::list_json(std::uint32_t node, std::span<const Entry> entries,
                                      std::int64_t revision, bool complete) const {
  std::string text = "{\"revision\":" + std::to_string(revision) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < entries.size(); ++i)
    text += (i > 0 ? "," : "") + entry_json(node, entries[i]);
  return text + "]}";
}

void ProcessRuntime::write_config(std::uint32_t node, const Tcp::endpoint& control) {
  auto& n = nodes_[node];
  const auto& s = options_.scenario;
  std::vector<Entry> known;
  for (const auto& [number, e] : world_->list(node).entries) known.push_back(e);
  json peers = json::array();
  for (const auto& other : nodes_) {
    const auto endpoint = other.peer_socket->local_endpoint();
    peers.push_back(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
  }
  const json config = {
      {"name", "n" + std::to_string(node)},
      {"listen", host_port(n.listen)},
      {"control", host_port(control)},
      {"discovery", n.agent_port->text()},
      {"counter", n.counter_port->text()},
      {"seed", hex(mix_hash(options_.seed + mix_hash(++drawn_seeds_)))},
      {"limits", {{"cores", 1.0}, {"memory_mb", s.fleet.memory_mb}, {"sockets", s.fleet.sockets}}},
      {"peer_listen", address(node).to_string() + ":" + std::to_string(kPeerPort)},
      {"peers", peers},
      {"known", json::parse(list_json(node, known, world_->list(node).revision, true))},
      {"settings", settings_of(s, node, n.max_attempts)}};
  std::ofstream file(n.folder / "config.new");
  file << config.dump() << '\n';
  if (!file.flush())
    throw std::runtime_error((n.folder / "config.new").string() + " can't be written");
  std::filesystem::rename(n.folder / "config.new", n.folder / "config.json");
}

// Returns the environment that loads lab/shim/system_faults.cpp into a node and sets its faults.
std::map<std::string, std::string> ProcessRuntime::system_faults(std::uint32_t node) const {
  const auto& s = options_.scenario.system;
  std::string text = "seed=" + std::to_string(mix_hash(options_.seed + node));
  const auto add = [&](const char* key, double value) {
    text += "," + std::string(key) + "=" + std::to_string(value);
  };
  add("accept", s.accept), add("connect", s.connect), add("socket", s.socket), add("poll", s.poll);
  add("read", s.read), add("write", s.write), add("step_s", s.step_s),
      add("step_after_ms", kClockStepDelayMs), add("hide_closes", s.hide_closes ? 1 : 0);
  return {{"LD_PRELOAD", options_.system_faults.string()},
          {"PETRELRAIL_FAULTS", text},
          {"ASAN_OPTIONS", "verify_asan_link_order=0"}};  // if the node has the sanitizer
}

std::unique_ptr<Child> ProcessRuntime::spawn(std::uint32_t node, const Tcp::endpoint& control) {
  write_config(node, control);
  const auto& n = nodes_[node];
  std::filesystem::create_directories(n.folder / "tmp");
  std::map<std::string, std::string> environment{{"GW_NAME", "n" + std::to_string(node)},
                                                 {"GW_LISTEN", host_port(n.listen)},
                                                 {"GW_DISCOVERY", n.agent_port->text()},
                                                 {"GW_MEMBERS", options_.scenario.fleet.members},
                                                 {"GW_CONFIG", (n.folder / "config.json").string()},
                                                 {"TMPDIR", (n.folder / "tmp").string()},
                                                 {"PATH", "/usr/bin:/bin"}};
  if (options_.scenario.system.any()) environment.merge(system_faults(node));
  return std::make_unique<Child>(Child::LaunchOptions{options_.program, std::move(environment),
                                                      n.log, options_.scenario.fleet.sockets});
}

// Requests the readiness page every 10 ms until the answer is 200, then calls `on_ready`. Stops
// without a call as soon as `is_wanted` returns false.
void ProcessRuntime::poll_ready(std::uint32_t node, const Tcp::endpoint& endpoint,
                                std::function<bool()> is_wanted, std::function<void()> on_ready) {
  struct Call : std::enable_shared_from_this<Call> {
    Tcp::socket socket;
    std::array<char, 512> buffer{};
    explicit Call(asio::io_context& io) : socket(io) {}
  };
  if (!is_wanted()) return;
  const auto call = std::make_shared<Call>(io_);
  const auto retry = [this, node, endpoint, is_wanted, on_ready] {
    agenda_.after(kReadyPollInterval, [this, node, endpoint, is_wanted, on_ready] {
      poll_ready(node, endpoint, is_wanted, on_ready);
    });
  };
  const std::string path = endpoint == nodes_[node].listen ? "/-/ready" : "/ready";
  const auto text = std::make_shared<std::string>(
      "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  call->socket.async_connect(
      endpoint, [call, retry, on_ready, is_wanted, text](const error_code& failed) {
        if (failed) return retry();
        asio::async_write(
            call->socket, asio::buffer(*text),
            [call, retry, on_ready, is_wanted, text](const error_code& write_failed, std::size_t) {
              if (write_failed) return retry();
              call->socket.async_read_some(
                  asio::buffer(call->buffer),
                  [call, retry, on_ready, is_wanted](const error_code& read_failed, std::size_t n) {
                    if (read_failed ||
                        !std::string_view(call->buffer.data(), n).starts_with("HTTP/1.1 200"))
                      return retry();
                    if (is_wanted()) on_ready();
                  });
            });
      });
}

void ProcessRuntime::start_node(std::uint32_t node) {
  auto& n = nodes_[node];
  n.child.reset();
  std::filesystem::remove_all(n.folder / "tmp");  // a started node finds no hand-over state
  n.child = spawn(node, n.control);
  n.is_ready = false, n.is_stalled = false, n.is_terminating = false;
  const auto incarnation = ++n.incarnation;
  poll_ready(
      node, n.listen,
      [this, node, incarnation] {
        return nodes_[node].incarnation == incarnation && !nodes_[node].is_ready;
      },
      [this, node] {
        nodes_[node].is_ready = true;
        world_->node_ready(node);
      });
}

void ProcessRuntime::kill_node(std::uint32_t node) {
  auto& n = nodes_[node];
  ++n.incarnation;
  n.draining.clear();
  n.successor.reset();
  n.child.reset();
}

void ProcessRuntime::term_node(std::uint32_t node) {
  auto& n = nodes_[node];
  if (!n.child) return;
  n.is_terminating = true;
  n.child->signal(SIGTERM);
  if (!options_.scenario.fleet.signal_series) return;
  auto delay = kSignalInterval;
  for (const int number : {SIGHUP, SIGTERM, SIGHUP}) {
    agenda_.after(delay, [this, node, incarnation = n.incarnation, number] {
      const auto& current = nodes_[node];
      if (current.incarnation == incarnation && current.child) current.child->signal(number);
    });
    delay += kSignalInterval;
  }
}

bool ProcessRuntime::has_idle_connection(std::uint32_t node) const {
  return !nodes_[node].idle_front_links.empty();
}

void ProcessRuntime::stall_node(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  n.is_stalled = stalled;
  for (const auto* c : {n.child.get(), n.successor.get()})
    if (c != nullptr) c->signal(stalled ? SIGSTOP : SIGCONT);
  for (const auto& c : n.draining) c->signal(stalled ? SIGSTOP : SIGCONT);
}

void ProcessRuntime::reload_node(std::uint32_t node, const Fault& fault) {
  auto& n = nodes_[node];
  if (!n.child || !n.is_ready) return;
  if (fault.max_attempts > 0) n.max_attempts = fault.max_attempts;
  if (fault.move) {
    // The old addresses refuse new connections at once; open connections end after the grace
    // period.
    const auto old_agent_port = std::make_shared<std::unique_ptr<Port>>(std::move(n.agent_port));
    const auto old_counter_port = std::make_shared<std::unique_ptr<Port>>(
        std::move(n.counter_port));
    (*old_agent_port)->set_state(ConnectResult::refused),
        (*old_counter_port)->set_state(ConnectResult::refused);
    open_agent(node), open_counter(node);
    n.counter_port->set_state(world_->counter_would_connect(node));
    const auto old_agent_links = n.agent_links;
    const auto old_counter_links = n.counter_links;
    agenda_.after(kOldAddressGrace,
                  [old_agent_port, old_counter_port, old_agent_links, old_counter_links] {
                    for (const auto& l : old_agent_links) l->close();
                    for (const auto& l : old_counter_links) l->close(false);
                  });
  }
  write_config(node, n.control);
  n.child->signal(SIGHUP);
}

void ProcessRuntime::upgrade_node(std::uint32_t node) {
  auto& n = nodes_[node];
  if (!n.child || !n.is_ready || n.successor) return;
  n.successor = spawn(node, n.successor_control);
  const auto* successor = n.successor.get();
  poll_ready(
      node, n.successor_control,
      [this, node, successor] { return nodes_[node].successor.get() == successor; },
      [this, node] {
        auto& upgraded = nodes_[node];
        upgraded.child->signal(SIGTERM);
        upgraded.draining.push_back(std::move(upgraded.child));
        upgraded.child = std::move(upgraded.successor);
        std::swap(upgraded.control, upgraded.successor_control);
      });
}

void ProcessRuntime::request_views() {
  struct Call {
    Tcp::socket socket;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    std::string text = "GET /members HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    explicit Call(asio::io_context& io) : socket(io) { parser.body_limit(1U << 24U); }
  };
  views_.clear();
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
    if (!world_->node_up(n)) continue;
    const auto call = std::make_shared<Call>(io_);
    call->socket.async_connect(nodes_[n].control, [this, n, call](const error_code& failed) {
      if (failed) return;
      asio::async_write(
          call->socket, asio::buffer(call->text),
          [this, n, call](const error_code& write_failed, std::size_t) {
            if (write_failed) return;
            http::async_read(call->socket, call->buffer, call->parser,
                             [this, n, call](const error_code& read_failed, std::size_t) {
                               if (!read_failed)
                                 views_[n] = json::parse(call->parser.get().body(), nullptr, false);
                             });
          });
    });
  }
}

double ProcessRuntime::agreeing_view_share() const {
  double running = 0, agreeing = 0;
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
    if (!world_->node_up(n)) continue;
    ++running;
    const auto it = views_.find(n);
    if (it == views_.end() || !it->second.is_object() || !it->second.contains("members")) continue;
    bool matches = true;
    for (const auto& m : it->second["members"]) {
      const auto state = m["state"].get<std::string>();
      matches = matches && (state == "alive" || state == "suspect") ==
                               world_->node_up(m["number"].get<std::uint32_t>());
    }
    agreeing += matches ? 1 : 0;
  }
  return running > 0 ? agreeing / running : 1;
}

void ProcessRuntime::record_crash(std::uint32_t node, const Child&, int status) {
  if (!crash_.empty()) return;
  crash_ = "node " + std::to_string(node) +
           (nodes_[node].is_ready ? " crashed" : " did not start") + " (" +
           describe_wait_status(status) + "), its last log lines:\n" +
           last_lines(nodes_[node].log, kCrashLogLines);
}
std::vector<std::string> ProcessRuntime::violations() const {
  std::vector<std::string> found;
  for (const auto& n : nodes_) {
    std::ifstream log(n.log);
    for (std::string line; std::getline(log, line);)
      if (line.find("rules: a step was turned down") != std::string::npos) found.push_back(line);
  }
  for (const auto node : over_memory_)
    found.push_back("node " + std::to_string(node) + " held more than its limit of memory");
  return found;
}

void ProcessRuntime::check_memory([[maybe_unused]] std::uint32_t node,
                                  [[maybe_unused]] const Child::Usage& usage) {
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory exceeds the limit
  if (usage.memory_mb > static_cast<double>(options_.scenario.fleet.memory_mb))
    over_memory_.insert(node);
#endif
}

void ProcessRuntime::poll_processes(bool should_measure) {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    std::erase_if(n.draining, [&](const auto& c) {
      const auto status = c->poll_wait_status();
      if (status && *status != 0) record_crash(i, *c, *status);
      return status.has_value();
    });
    if (n.successor)
      if (const auto status = n.successor->poll_wait_status())
        record_crash(i, *n.successor, *status), n.successor.reset();
    if (!n.child) continue;
    if (should_measure) {
      const auto usage = n.child->usage();
      on_usage_(i, usage);
      check_memory(i, usage);
    }
    const bool serves = n.is_ready && !n.is_stalled && !n.is_terminating;
    if (serves && options_.scenario.clients.crowd_per_node > 0) crowd_.keep(n.listen);
    if (const auto status = n.child->poll_wait_status()) {
      if (*status != 0 || !n.is_ready) record_crash(i, *n.child, *status);
      n.child.reset();
      ++n.incarnation;
      world_->node_ended(i);
    }
  }
}

// ---- Calls of the simulation --------------------------------------------------------------------

void ProcessRuntime::submit(const ClientAttempt& client_attempt) {
  agenda_.after(world_->client_delay(), [this, id = client_attempt.id] {
    if (const auto* sent = world_->find_waiting(id)) forward(*sent);
  });
}

void ProcessRuntime::forward(const ClientAttempt& client_attempt) {
  auto& n = nodes_[client_attempt.node];
  if (!n.idle_front_links.empty()) {
    const auto link = n.idle_front_links.back();
    n.idle_front_links.pop_back();
    return link->send_next(client_attempt);
  }
  // The front load balancer opens no new connections to a node that terminates.
  if (n.is_terminating && options_.scenario.clients.reuses_draining_connections)
    return world_->unreachable(client_attempt.id);
  if (n.front_links.size() >= options_.scenario.fleet.sockets / 3)
    return n.queued_attempts.push_back(client_attempt);
  const auto link = std::make_shared<FrontLink>(*this, client_attempt.node);
  n.front_links.insert(link);
  link->begin(client_attempt);
}

void ProcessRuntime::disconnect_client(ClientAttemptId id) {
  for (auto& n : nodes_)
    std::erase_if(n.queued_attempts,
                  [id](const ClientAttempt& client_attempt) { return client_attempt.id == id; });
  if (const auto it = in_flight_.find(id); it != in_flight_.end()) {
    const auto link = it->second;
    link->close();
  }
}

void ProcessRuntime::answer(AttemptNumber attempt, ServerAnswer answer) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (const auto link = it->second.lock()) link->answer(answer);
}

void ProcessRuntime::reset_connections(std::uint32_t server) {
  for (auto& n : nodes_)
    for (const auto& l : std::set<std::shared_ptr<ServerLink>>(n.server_links))
      if (l->server() == server) l->close(true);
}

void ProcessRuntime::list_changed(std::uint32_t node, std::span<const Entry> changes,
                                  std::int64_t revision) {
  for (const auto& a : std::set<std::shared_ptr<AgentLink>>(nodes_[node].agent_links))
    a->on_list_changed(changes, revision);
}

void ProcessRuntime::network_changed() {
  if (world_ == nullptr) return;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    for (std::uint32_t s = 0; s < n.server_ports.size(); ++s)
      if (n.server_ports[s]) {
        // Whether a server's connection table is full is checked when a connection is accepted.
        n.server_ports[s]->set_state(world_->would_connect(i, s));
      }
    const auto counter_state = world_->counter_would_connect(i);
    n.counter_port->set_state(counter_state);
    for (const auto& l : std::set<std::shared_ptr<CounterLink>>(n.counter_links))
      if (counter_state == ConnectResult::refused ||
          (counter_state == ConnectResult::up && l->has_dropped_calls()))
        l->close(true);
  }
}

// ---- Running a scenario -------------------------------------------------------------------------

namespace {

// A temporary directory for the nodes' files, removed at the end of the run.

struct TemporaryFolder {
  std::filesystem::path path;
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "petrelrail-lab-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary folder: " + name);
    path = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
};

}  // namespace

RunResult run_on_processes(const Options& options) {
  constexpr Duration kProcessPollInterval = 20ms, kMeasureInterval = 1s, kProgressInterval = 500ms,
                     kStartTimeout = 30s, kViewTimeout = 60s, kViewPollInterval = 500ms;
  if (options.out) std::filesystem::create_directories(*options.out);
  TemporaryFolder folder;
  asio::io_context io(1);
  // Unix time, read once and advanced by the steady clock, as in the nodes.
  const auto steady_start = std::chrono::steady_clock::now();
  const Time unix_start(std::chrono::system_clock::now().time_since_epoch());
  const auto now = [&] { return unix_start + (std::chrono::steady_clock::now() - steady_start); };
  EventQueue agenda(now());
  agenda.set_clock(now);
  Recorder recorder(options, agenda.now());
  ProcessRuntime runtime(options, io, agenda, folder.path);
  Simulation world(options.scenario, options.seed, agenda, runtime,
                   [&](Time at, const Observation& s) { recorder.record(at, s); });
  runtime.start(world);
  runtime.set_usage_callback([&](std::uint32_t node, Child::Usage u) {
    recorder.record(agenda.now(), ResourceUsage{node, u.cpu_s, u.memory_mb});
  });
  world.begin(kStartTimeout);
  std::vector<double> lags_ms;
  Time last_poll_time = now(), last_measure_time = now(), last_progress_time = now();
  std::optional<Time> end_time;
  Time last_view_request_time{};
  bool has_begun = false, is_stopped = false;
  asio::steady_timer timer(io);
  std::uint64_t timer_generation = 0;
  while (!is_stopped && runtime.crash().empty()) {
    const Time at = now();
    if (const auto next = agenda.next_time(); next && *next <= at && has_begun)
      lags_ms.push_back(seconds(at - *next) * 1e3);
    agenda.run_until(at);
    if (!has_begun && world.clients_began())
      has_begun = true, recorder.set_clients_start(world.began_at());
    if (at - last_poll_time >= kProcessPollInterval) {
      last_poll_time = at;
      const bool should_measure = at - last_measure_time >= kMeasureInterval;
      if (should_measure) last_measure_time = at;
      runtime.poll_processes(should_measure);
      is_stopped = options.should_stop();
    }
    if (at - last_progress_time >= kProgressInterval) {
      last_progress_time = at;
      options.progress(has_begun ? seconds(at - world.began_at()) : 0, recorder.figures());
    }
    if (has_begun && (world.is_over() || at > world.ends_at())) {
      // Requests the membership views repeatedly until all agree, for at most kViewTimeout.
      if (options.scenario.fleet.members == "off" || runtime.agreeing_view_share() == 1) break;
      if (!end_time) end_time = at;
      if (at - *end_time > kViewTimeout) break;
      if (at - last_view_request_time >= kViewPollInterval)
        last_view_request_time = at, runtime.request_views();
    }
    const Time until = std::min(agenda.next_time().value_or(at + kProcessPollInterval),
                                last_poll_time + kProcessPollInterval);
    if (until > now()) {
      timer.expires_after(until - now());
      timer.async_wait(
          [&io, generation = ++timer_generation, &timer_generation](const error_code& failed) {
            if (!failed && generation == timer_generation) io.stop();
          });
      io.restart();
      while (!io.stopped() && now() < until) {
        if (io.run_one() == 0) break;
        if (agenda.next_time() && *agenda.next_time() <= now()) break;
      }
    } else {
      io.restart();
      io.poll_one();
    }
  }
  runtime.poll_processes(true);
  recorder.set_view_agreement(
      options.scenario.fleet.members == "off" ? 1 : runtime.agreeing_view_share());
  const auto percentile = [&](double fraction) {
    if (lags_ms.empty()) return 0.0;
    const auto at = lags_ms.begin() +
                    static_cast<std::ptrdiff_t>(fraction * static_cast<double>(lags_ms.size() - 1));
    std::nth_element(lags_ms.begin(), at, lags_ms.end());
    return *at;
  };
  const double p50 = percentile(0.5), p99 = percentile(0.99), max = percentile(1);
  auto outcome = recorder.finish(agenda.now(),
                                 {{"lag_p50_ms", p50}, {"lag_p99_ms", p99}, {"lag_most_ms", max}},
                                 is_stopped || !runtime.crash().empty());
  outcome.crash = runtime.crash();
  outcome.node_violations = runtime.violations();
  outcome.stopped = is_stopped;
  outcome.fault_effects = fault_effects_of(world);
  if (p99 > options.max_lag_ms) {
    char text[128];
    std::snprintf(text, sizeof text,
                  "the lab itself ran late: 99%% of its events within %.1f ms, %.1f ms allowed",
                  p99, options.max_lag_ms);
    outcome.void_reason = text;
  }
  return outcome;
}

}  // namespace petrelrail::lab
