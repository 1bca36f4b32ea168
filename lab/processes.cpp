#include "processes.hpp"

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

constexpr unsigned short kListen = 7070, kControl = 7071, kOtherControl = 7072, kPeer = 7946;
constexpr unsigned kFirstBase = 64, kBases = 128;  // second octets that labs choose from
constexpr Duration kAskReady = 10ms;
constexpr Duration kWatchLine = 2s, kCounterIdle = 10s, kOldAddress = 1500ms;  // PROTOCOL, TERMS
constexpr std::size_t kCounterLinks = 32;
constexpr std::size_t kLogLines = 5;
constexpr Duration kBetweenSignals = 7ms;  // of a series
constexpr Duration kPiecePause = 3ms;      // between the pieces of an answer
constexpr double kStepAfterMs = 3000;      // after the start of a process its wall clock is stepped

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
// The same for every attempt; of a share of the requests longer than a node holds back before it
// passes on.
std::string body_for(TryId id, const WireTerms& wire) {
  constexpr std::size_t kLongest = 60 * 1024;
  const auto line = "price for " + hex(static_cast<std::uint64_t>(id)) + "\n";
  auto dice = Dice(static_cast<std::uint64_t>(id)).stream("length");
  if (!dice.chance(wire.long_answers)) return line;
  std::string body;
  for (const auto size = line.size() + dice.below(kLongest); body.size() < size;) body += line;
  return body;
}

}  // namespace

// ---- Clients' connections -----------------------------------------------------------------------

// A connection of the front to a node, with one request at a time.
class Processes::FrontLink : public std::enable_shared_from_this<FrontLink> {
 public:
  FrontLink(Processes& lab, std::uint32_t node) : lab_(lab), node_(node), socket_(lab.io_) {}

  void begin(const Try& t) {
    carry(t);
    socket_.async_connect(lab_.nodes_[node_].listen,
                          [self = shared_from_this()](const error_code& failed) {
                            if (self->gone_) return;
                            if (failed) return self->lost(true);
                            error_code ignored;
                            self->socket_.set_option(Tcp::no_delay(true), ignored);
                            self->write();
                          });
  }
  void go_on(const Try& t) {
    carry(t);
    write();
  }
  void close() {
    if (std::exchange(gone_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();
    std::erase(lab_.nodes_[node_].idle, self);
    lab_.nodes_[node_].front.erase(self);
    if (try_) lab_.out_.erase(try_->id);
  }

 private:
  void carry(const Try& t) {
    try_ = t;
    lab_.out_[t.id] = shared_from_this();
    const auto& s = lab_.options_.scenario;
    const bool safe = s.clients.effect == "safe";
    const bool keyed = s.clients.effect == "keyed";
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(t.deadline - t.sent)
                        .count();
    text_ = std::string(safe ? "GET" : "POST") +
            " /price-lookup HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " +
            hex(static_cast<std::uint64_t>(t.id)) +
            "\r\nX-Priority-Class: price-lookup\r\nX-Plan: " + s.clients.plans[t.plan].name +
            "\r\nCookie: client=" + hex(static_cast<std::uint64_t>(t.customer)) +
            "\r\nX-Timeout-Ms: " + std::to_string(ms) +
            "\r\nX-Quota: units=1,spread=" + std::to_string(t.spread) +
            ",first=" + std::to_string(t.first) + (t.number > 0 ? "\r\nX-Retried: 1" : "") +
            (keyed ? "\r\nIdempotency-Key: " + hex(static_cast<std::uint64_t>(t.root)) : "") +
            (safe ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
  }
  void write() {
    parser_.emplace();
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (self->gone_) return;
                        if (failed) return self->lost(false);
                        if (self->try_) self->lab_.world_->taken(self->try_->id);
                        if (!self->reading_) self->read();
                      });
  }
  void read() {
    reading_ = true;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& failed, std::size_t) {
                       self->reading_ = false;
                       if (self->gone_) return;
                       if (failed) return self->lost(false);
                       self->came();
                     });
  }
  void came() {
    const auto& m = parser_->get();
    const auto id = try_->id;
    const auto status = m.result_int();
    const auto verdict = status == 200                    ? Verdict::served
                         : status == 429 || status == 503 ? Verdict::refused
                                                          : Verdict::failed;
    Duration advice{};
    if (const auto it = m.find(http::field::retry_after); it != m.end())
      advice = from_seconds(std::strtod(std::string(it->value()).c_str(), nullptr));
    const bool genuine = verdict != Verdict::served ||
                         m.body() == body_for(id, lab_.options_.scenario.wire);
    const bool kept = m.keep_alive();
    lab_.out_.erase(id);
    try_.reset();
    ++served_;
    // Back through the network: late by the client's way, both directions at once.
    lab_.agenda_.after(lab_.world_->client_way(),
                       [world = lab_.world_, id, verdict, advice, genuine] {
                         world->answered(id, verdict, advice, genuine);
                       });
    if (!kept) return close();
    auto& n = lab_.nodes_[node_];
    if (!n.waiting.empty()) {
      const auto next = n.waiting.front();
      n.waiting.pop_front();
      return go_on(next);
    }
    n.idle.push_back(shared_from_this());
    parser_.emplace();
    read();  // sees the end
  }
  void lost(bool no_connection) {
    const auto t = try_;
    const bool fresh = served_ == 0;
    const bool nothing_came = !parser_ || !parser_->got_some();
    close();
    if (!t) return;
    if (no_connection) return lab_.world_->unreachable(t->id);
    // It crossed a close of an idle connection: once more, on a new one.
    if (!fresh && nothing_came && !lab_.sent_on_.contains(t->id)) return lab_.pass_on(*t);
    // A part of an answer that broke at its price server: it has failed, and its client can tell.
    if (!nothing_came && lab_.spoilt_.contains(t->id))
      return lab_.world_->answered(t->id, Verdict::failed, {}, true);
    lab_.world_->broken(t->id, fresh);
  }

  Processes& lab_;
  std::uint32_t node_;
  Tcp::socket socket_;
  std::optional<Try> try_;
  std::string text_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::uint64_t served_ = 0;
  bool gone_ = false, reading_ = false;
};

// ---- A node's connection to a price server ------------------------------------------------------

class Processes::ServerLink : public std::enable_shared_from_this<ServerLink> {
 public:
  ServerLink(Processes& lab, std::uint32_t node, std::uint32_t server, Tcp::socket socket)
      : lab_(lab), node_(node), server_(server), socket_(std::move(socket)) {}

  // A handshake as long as the network makes it; what comes meanwhile waits.
  void begin() {
    fresh_ = lab_.world_->handshake(node_, server_);
    read();
  }
  void close(bool by_reset) {
    if (std::exchange(gone_, true)) return;
    if (by_reset) {
      reset(socket_);
    } else {
      error_code ignored;
      socket_.close(ignored);
    }
    lab_.attempts_.erase(attempt_);
    lab_.nodes_[node_].server_links.erase(shared_from_this());
  }
  void answer(ServerAnswer a) {
    if (gone_) return;
    const auto id = id_;
    lab_.attempts_.erase(std::exchange(attempt_, AttemptNumber::none));
    busy_ = false;
    const auto& wire = lab_.options_.scenario.wire;
    const bool good = a == ServerAnswer::ok || a == ServerAnswer::spoilt;
    const std::string body = good ? body_for(id, wire) : "no\n";
    const std::string_view head = a == ServerAnswer::error
                                      ? "HTTP/1.1 500 Internal Server Error\r\n"
                                  : a == ServerAnswer::full
                                      ? "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n"
                                      : "HTTP/1.1 200 OK\r\n";
    auto dice = Dice(lab_.options_.seed).stream("form", ++lab_.answers_);
    form_ = good ? draw_form(wire, dice, a == ServerAnswer::spoilt) : AnswerForm{};
    if (form_.breaks) lab_.spoilt_.insert(id);
    const auto pieces = pieces_of(form_, head, body);
    pieces_.assign(pieces.begin(), pieces.end());
    write();
  }
  std::uint32_t server() const { return server_; }

 private:
  void write() {
    text_ = std::move(pieces_.front());
    pieces_.pop_front();
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](const error_code& failed, std::size_t) {
                        if (self->gone_) return;
                        if (failed) return self->end(false);
                        self->written();
                      });
  }
  void written() {
    if (!pieces_.empty())
      return lab_.agenda_.after(kPiecePause, [self = shared_from_this()] {
        if (!self->gone_) self->write();
      });
    if (form_.breaks) return end(form_.by_reset);
    if (form_.framing == AnswerForm::Framing::until_close) end(false);
  }
  // The node, or its end: its connection is over.
  void end(bool by_reset) {
    if (gone_) return;
    const auto attempt = attempt_;
    close(by_reset);
    lab_.world_->closed(node_, server_);
    if (attempt != AttemptNumber::none) lab_.world_->attempt_left(attempt);
  }
  void read() {
    parser_.emplace();
    first_byte_ = Time{};
    read_some();
  }
  void read_some() {
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const error_code& failed, std::size_t) {
                            if (self->gone_) return;
                            if (failed) return self->end(false);
                            if (self->first_byte_ == Time{})
                              self->first_byte_ = self->lab_.agenda_.now();
                            if (!self->parser_->is_done()) return self->read_some();
                            self->came();
                          });
  }
  void came() {
    const auto& m = parser_->get();
    const auto it = m.find("X-Request-ID");
    if (busy_ || it == m.end()) return end(true);  // one at a time; one with no id is none of ours
    id_ = TryId(from_hex(it->value()));
    lab_.sent_on_.insert(id_);
    busy_ = true;
    const auto late = 2 * lab_.world_->way(node_, server_) + std::exchange(fresh_, Duration{});
    lab_.agenda_.after(late, [self = shared_from_this(), first = first_byte_] {
      if (self->gone_) return;
      self->attempt_ = self->lab_.world_->attempt(self->node_, self->server_, self->id_, first);
      if (self->attempt_ != AttemptNumber::none) self->lab_.attempts_[self->attempt_] = self;
    });
    read();
  }

  Processes& lab_;
  std::uint32_t node_, server_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string text_;
  AnswerForm form_;
  std::deque<std::string> pieces_;  // of its answer that are not written yet
  Time first_byte_{};
  Duration fresh_{};
  TryId id_{};
  AttemptNumber attempt_ = AttemptNumber::none;
  bool busy_ = false, gone_ = false;
};

// ---- A node's connection to the counter ---------------------------------------------------------

class Processes::CounterLink : public std::enable_shared_from_this<CounterLink> {
 public:
  CounterLink(Processes& lab, std::uint32_t node, Tcp::socket socket)
      : lab_(lab), node_(node), socket_(std::move(socket)), idle_(lab.io_) {}

  void begin() {
    rest();
    read();
  }
  void close(bool by_reset) {
    if (std::exchange(gone_, true)) return;
    idle_.cancel();
    if (by_reset) {
      reset(socket_);
    } else {
      error_code ignored;
      socket_.close(ignored);
    }
    lab_.nodes_[node_].counter_links.erase(shared_from_this());
  }
  bool gone() const { return gone_; }
  void lost() { close(false); }
  // Something that was written to it never came anywhere.
  bool swallowed() const { return swallowed_; }

 private:
  struct Slot {
    std::string text;
    bool told = false, spoilt = false;
  };
  void rest() {
    idle_.expires_after(kCounterIdle);
    idle_.async_wait([self = shared_from_this()](const error_code& failed) {
      if (!failed && self->slots_.empty()) self->close(false);
    });
  }
  void read() {
    socket_.async_read_some(asio::buffer(space_),
                            [self = shared_from_this()](const error_code& failed, std::size_t n) {
                              if (self->gone_) return;
                              if (failed) return self->close(false);
                              self->text_.append(self->space_.data(), n);
                              self->rest();
                              for (auto end = self->text_.find("\r\n"); end != std::string::npos;
                                   end = self->text_.find("\r\n")) {
                                const auto line = self->text_.substr(0, end);
                                self->text_.erase(0, end + 2);
                                self->came(line);
                                if (self->gone_) return;
                              }
                              self->read();
                            });
  }
  void came(const std::string& line) {
    if (lab_.world_->counter_would_connect(node_) != Connect::up) {
      swallowed_ = true;
      if (const auto call = world::Counter::read(line))
        lab_.world_->call(node_, *call, [](const auto&) {});
      return;
    }
    slots_.push_back(std::make_shared<Slot>());
    const auto slot = slots_.back();
    if (line == "ping") return tell(slot, "pong", false);
    const auto call = world::Counter::read(line);
    if (!call) return tell(slot, "error", false);
    lab_.world_->call(node_, *call,
                      [self = shared_from_this(), slot](const world::Counter::Answer& a) {
                        if (a.kind == world::Counter::Answer::Kind::refused)
                          return self->close(true);
                        self->tell(slot, world::Counter::written(a),
                                   a.kind == world::Counter::Answer::Kind::spoilt);
                      });
  }
  // In the order of the calls.
  void tell(const std::shared_ptr<Slot>& slot, std::string text, bool spoilt) {
    slot->text = std::move(text), slot->told = true, slot->spoilt = spoilt;
    bool last = false;
    while (!slots_.empty() && slots_.front()->told && !last) {
      out_.add(slots_.front()->text + "\r\n");
      last = slots_.front()->spoilt;
      slots_.pop_front();
    }
    flush();
  }
  void flush() { out_.flush(shared_from_this(), socket_); }

  Processes& lab_;
  std::uint32_t node_;
  Tcp::socket socket_;
  asio::steady_timer idle_;
  std::array<char, 4096> space_{};
  std::string text_;
  Outbox out_;
  std::deque<std::shared_ptr<Slot>> slots_;
  bool gone_ = false, swallowed_ = false;
};

// ---- A node's connection to its agent of discovery ----------------------------------------------

class Processes::AgentLink : public std::enable_shared_from_this<AgentLink> {
 public:
  AgentLink(Processes& lab, std::uint32_t node, Tcp::socket socket)
      : lab_(lab), node_(node), socket_(std::move(socket)), line_(lab.io_) {}

  void begin() { read(); }
  void close() {
    if (std::exchange(gone_, true)) return;
    line_.cancel();
    error_code ignored;
    socket_.close(ignored);
    lab_.nodes_[node_].agents.erase(shared_from_this());
  }
  bool gone() const { return gone_; }
  void lost() { close(); }
  void changed(std::span<const Entry> entries, std::int64_t revision) {
    if (watches_) chunk(lab_.list_json(node_, entries, revision, false) + "\n");
  }

 private:
  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& failed, std::size_t) {
                       if (self->gone_) return;
                       if (failed) return self->close();
                       self->came();
                     });
  }
  void came() {
    const std::string target(parser_->get().target());
    const auto& list = lab_.world_->list(node_);
    std::vector<Entry> entries;
    for (const auto& [number, e] : list.entries) entries.push_back(e);
    if (!target.starts_with("/api/targets")) {
      out_.add("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    } else if (target.find("watch=1") == std::string::npos) {
      const auto body = lab_.list_json(node_, entries, list.revision, true);
      out_.add("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
    } else {
      out_.add(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: "
          "chunked\r\n\r\n");
      watches_ = true;
      const auto from = target.find("from=");
      const auto known = from == std::string::npos
                             ? 0
                             : std::strtoll(target.c_str() + from + 5, nullptr, 10);
      if (known != list.revision) chunk(lab_.list_json(node_, entries, list.revision, true) + "\n");
      tick();
    }
    flush();
    read();
  }
  void tick() {
    line_.expires_after(kWatchLine);
    line_.async_wait([self = shared_from_this()](const error_code& failed) {
      if (failed || self->gone_) return;
      if (self->lab_.world_->talks_with_discovery(self->node_)) self->chunk("\n");
      self->tick();
    });
  }
  void chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    out_.add(size + text + "\r\n");
    flush();
  }
  void flush() { out_.flush(shared_from_this(), socket_); }

  Processes& lab_;
  std::uint32_t node_;
  Tcp::socket socket_;
  asio::steady_timer line_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  Outbox out_;
  bool watches_ = false, gone_ = false;
};

// ---- Addresses and processes --------------------------------------------------------------------

Processes::Processes(const Options& options, asio::io_context& io, Agenda& agenda,
                     std::filesystem::path folder)
    : options_(options),
      io_(io),
      agenda_(agenda),
      folder_(std::move(folder)),
      nodes_(options.scenario.fleet.nodes) {
  if (access(options.program.c_str(), X_OK) != 0)
    throw std::runtime_error("the program " + options.program.string() +
                             " can't be run (--program names another)");
  // Addresses of its own, so that several labs can play side by side: the first that nobody listens
  // at.
  for (unsigned i = 0; i < kBases && base_ == 0; ++i) {
    const unsigned base = kFirstBase + (static_cast<unsigned>(getpid()) + i) % kBases;
    Tcp::acceptor probe(io_);
    error_code failed;
    const Tcp::endpoint at(asio::ip::make_address_v4("127." + std::to_string(base) + ".0.1"),
                           kPeer);
    probe.open(at.protocol());
    probe.bind(at, failed);
    if (!failed) base_ = base;
  }
  if (base_ == 0) throw std::runtime_error("no loopback addresses are free");
}

Processes::~Processes() {
  for (auto& n : nodes_) {
    for (auto set : {std::set<std::shared_ptr<FrontLink>>(n.front)})
      for (const auto& l : set) l->close();
    for (const auto& l : std::set<std::shared_ptr<ServerLink>>(n.server_links)) l->close(true);
    for (const auto& l : std::set<std::shared_ptr<CounterLink>>(n.counter_links)) l->close(true);
    for (const auto& l : std::set<std::shared_ptr<AgentLink>>(n.agents)) l->close();
  }
}

asio::ip::address Processes::address(std::uint32_t node) const {
  return asio::ip::make_address_v4("127." + std::to_string(base_) + "." +
                                   std::to_string(1 + node / 200) + "." +
                                   std::to_string(1 + node % 200));
}

void Processes::serve(World& world) {
  world_ = &world;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    n.listen = {address(i), kListen}, n.control = {address(i), kControl},
    n.next_control = {address(i), kOtherControl};
    n.folder = folder_ / ("node-" + std::to_string(i));
    std::filesystem::create_directories(n.folder);
    n.log = (options_.out ? *options_.out : folder_) / ("node-" + std::to_string(i) + ".log");
    open_agent(i);
    open_counter(i);
    for (std::uint32_t s = 0; s < world.servers(); ++s) open_server(i, s);
    const asio::ip::address_v4 relay = asio::ip::make_address_v4("127." + std::to_string(base_) +
                                                                 ".0.2");
    n.peer = std::make_unique<Udp::socket>(io_, Udp::endpoint(relay, 0));
    hear_peer(i);
  }
}

void Processes::open_agent(std::uint32_t node) {
  nodes_[node].agent = std::make_unique<Port>(io_, address(node), [this, node](Tcp::socket s) {
    const auto link = std::make_shared<AgentLink>(*this, node, std::move(s));
    nodes_[node].agents.insert(link);
    link->begin();
  });
}

void Processes::open_counter(std::uint32_t node) {
  nodes_[node].counter = std::make_unique<Port>(io_, address(node), [this, node](Tcp::socket s) {
    auto& links = nodes_[node].counter_links;
    if (links.size() >= kCounterLinks) return reset(s);
    const auto link = std::make_shared<CounterLink>(*this, node, std::move(s));
    links.insert(link);
    link->begin();
  });
}

void Processes::open_server(std::uint32_t node, std::uint32_t server) {
  auto& ports = nodes_[node].servers;
  if (ports.size() <= server) ports.resize(server + 1);
  ports[server] = std::make_unique<Port>(io_, address(node), [this, node, server](Tcp::socket s) {
    if (world_->connect(node, server) != Connect::up) return reset(s);
    const auto link = std::make_shared<ServerLink>(*this, node, server, std::move(s));
    nodes_[node].server_links.insert(link);
    link->begin();
  });
  ports[server]->become(world_->would_connect(node, server));
}

void Processes::server_added(std::uint32_t server) {
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) open_server(n, server);
}

// A node's socket for datagrams is known by its address: who sent one, and to whom.
void Processes::hear_peer(std::uint32_t node) {
  nodes_[node].peer->async_receive_from(
      asio::buffer(datagrams_[node]), senders_[node],
      [this, node](const error_code& failed, std::size_t n) {
        if (failed) return;
        for (std::uint32_t from = 0; from < nodes_.size(); ++from)
          if (senders_[node].address() == address(from))
            world_->datagram(from, node, std::string(datagrams_[node].data(), n));
        hear_peer(node);
      });
}

void Processes::datagram(std::uint32_t from, std::uint32_t to, std::string_view payload) {
  error_code ignored;
  nodes_[from].peer->send_to(asio::buffer(payload), Udp::endpoint(address(to), kPeer), 0, ignored);
}

std::string Processes::entry_json(std::uint32_t node, const Entry& e) const {
  static constexpr const char* phases[] = {"SERVING", "DRAINING", "DELETED"};
  const auto up = e.started ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                  e.started->time_since_epoch())
                                  .count()
                            : 0;
  const json j = {{"id", e.id},
                  {"host_port", nodes_[node].servers.at(e.server)->text()},
                  {"locality", options_.scenario.fleet.zones[e.zone]},
                  {"flavor", "standard-4core"},
                  {"cell", e.cell},
                  {"phase", phases[static_cast<std::size_t>(e.phase)]},
                  {"size", e.size},
                  {"up_since_ms", up}};
  return j.dump();
}

std::string Processes::list_json(std::uint32_t node, std::span<const Entry> entries,
                                 std::int64_t revision, bool complete) const {
  std::string text = "{\"revision\":" + std::to_string(revision) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < entries.size(); ++i)
    text += (i > 0 ? "," : "") + entry_json(node, entries[i]);
  return text + "]}";
}

void Processes::write_config(std::uint32_t node, const Tcp::endpoint& control) {
  auto& n = nodes_[node];
  const auto& s = options_.scenario;
  std::vector<Entry> known;
  for (const auto& [number, e] : world_->list(node).entries) known.push_back(e);
  json peers = json::array();
  for (const auto& other : nodes_) {
    const auto at = other.peer->local_endpoint();
    peers.push_back(at.address().to_string() + ":" + std::to_string(at.port()));
  }
  const json config = {
      {"name", "n" + std::to_string(node)},
      {"listen", text_of(n.listen)},
      {"control", text_of(control)},
      {"discovery", n.agent->text()},
      {"counter", n.counter->text()},
      {"seed", hex(mix_hash(options_.seed + mix_hash(++seeds_)))},
      {"limits", {{"cores", 1.0}, {"memory_mb", s.fleet.memory_mb}, {"sockets", s.fleet.sockets}}},
      {"peer_listen", address(node).to_string() + ":" + std::to_string(kPeer)},
      {"peers", peers},
      {"known", json::parse(list_json(node, known, world_->list(node).revision, true))},
      {"settings", settings_of(s, node, n.max_attempts)}};
  std::ofstream file(n.folder / "config.new");
  file << config.dump() << '\n';
  if (!file.flush())
    throw std::runtime_error((n.folder / "config.new").string() + " can't be written");
  std::filesystem::rename(n.folder / "config.new", n.folder / "config.json");
}

// What the library of failing system calls is told (lab/shim/system_faults.cpp).
std::map<std::string, std::string> Processes::system_faults(std::uint32_t node) const {
  const auto& s = options_.scenario.system;
  std::string text = "seed=" + std::to_string(mix_hash(options_.seed + node));
  const auto add = [&](const char* key, double value) {
    text += "," + std::string(key) + "=" + std::to_string(value);
  };
  add("accept", s.accept), add("connect", s.connect), add("socket", s.socket), add("poll", s.poll);
  add("read", s.read), add("write", s.write), add("step_s", s.step_s),
      add("step_after_ms", kStepAfterMs), add("hide_closes", s.hide_closes ? 1 : 0);
  return {{"LD_PRELOAD", options_.system_faults.string()},
          {"PETRELRAIL_FAULTS", text},
          {"ASAN_OPTIONS", "verify_asan_link_order=0"}};  // of a program built with the sanitizer
}

std::unique_ptr<Child> Processes::spawn(std::uint32_t node, const Tcp::endpoint& control) {
  write_config(node, control);
  const auto& n = nodes_[node];
  std::filesystem::create_directories(n.folder / "tmp");
  std::map<std::string, std::string> variables{{"GW_NAME", "n" + std::to_string(node)},
                                               {"GW_LISTEN", text_of(n.listen)},
                                               {"GW_DISCOVERY", n.agent->text()},
                                               {"GW_MEMBERS", options_.scenario.fleet.members},
                                               {"GW_CONFIG", (n.folder / "config.json").string()},
                                               {"TMPDIR", (n.folder / "tmp").string()},
                                               {"PATH", "/usr/bin:/bin"}};
  if (options_.scenario.system.any()) variables.merge(system_faults(node));
  return std::make_unique<Child>(
      Child::Plan{options_.program, std::move(variables), n.log, options_.scenario.fleet.sockets});
}

// Asks again and again until the answer is 200, as long as that is wanted.
void Processes::ask_ready(std::uint32_t node, const Tcp::endpoint& at, std::function<bool()> wanted,
                          std::function<void()> yes) {
  struct Call : std::enable_shared_from_this<Call> {
    Tcp::socket socket;
    std::array<char, 512> space{};
    explicit Call(asio::io_context& io) : socket(io) {}
  };
  if (!wanted()) return;
  const auto call = std::make_shared<Call>(io_);
  const auto again = [this, node, at, wanted, yes] {
    agenda_.after(kAskReady, [this, node, at, wanted, yes] { ask_ready(node, at, wanted, yes); });
  };
  const std::string path = at == nodes_[node].listen ? "/-/ready" : "/ready";
  const auto text = std::make_shared<std::string>(
      "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  call->socket.async_connect(at, [call, again, yes, wanted, text](const error_code& failed) {
    if (failed) return again();
    asio::async_write(
        call->socket, asio::buffer(*text),
        [call, again, yes, wanted, text](const error_code& lost, std::size_t) {
          if (lost) return again();
          call->socket.async_read_some(
              asio::buffer(call->space),
              [call, again, yes, wanted](const error_code& none, std::size_t n) {
                if (none || !std::string_view(call->space.data(), n).starts_with("HTTP/1.1 200"))
                  return again();
                if (wanted()) yes();
              });
        });
  });
}

void Processes::start_node(std::uint32_t node) {
  auto& n = nodes_[node];
  n.child.reset();
  std::filesystem::remove_all(n.folder / "tmp");  // a node starts from nothing
  n.child = spawn(node, n.control);
  n.ready = false, n.stalled = false, n.ending = false;
  const auto life = ++n.lives;
  ask_ready(
      node, n.listen,
      [this, node, life] { return nodes_[node].lives == life && !nodes_[node].ready; },
      [this, node] {
        nodes_[node].ready = true;
        world_->node_ready(node);
      });
}

void Processes::kill_node(std::uint32_t node) {
  auto& n = nodes_[node];
  ++n.lives;
  n.leaving.clear();
  n.next.reset();
  n.child.reset();
}

void Processes::term_node(std::uint32_t node) {
  auto& n = nodes_[node];
  if (!n.child) return;
  n.ending = true;
  n.child->signal(SIGTERM);
  if (!options_.scenario.fleet.signal_series) return;
  auto wait = kBetweenSignals;
  for (const int number : {SIGHUP, SIGTERM, SIGHUP}) {
    agenda_.after(wait, [this, node, life = n.lives, number] {
      const auto& later = nodes_[node];
      if (later.lives == life && later.child) later.child->signal(number);
    });
    wait += kBetweenSignals;
  }
}

bool Processes::has_idle_connection(std::uint32_t node) const { return !nodes_[node].idle.empty(); }

void Processes::stall_node(std::uint32_t node, bool stalled) {
  auto& n = nodes_[node];
  n.stalled = stalled;
  for (const auto* c : {n.child.get(), n.next.get()})
    if (c != nullptr) c->signal(stalled ? SIGSTOP : SIGCONT);
  for (const auto& c : n.leaving) c->signal(stalled ? SIGSTOP : SIGCONT);
}

void Processes::reload_node(std::uint32_t node, const Fault& fault) {
  auto& n = nodes_[node];
  if (!n.child || !n.ready) return;
  if (fault.max_attempts > 0) n.max_attempts = fault.max_attempts;
  if (fault.move) {
    // The old addresses take nothing new, and what is open there ends a while later.
    const auto agent = std::make_shared<std::unique_ptr<Port>>(std::move(n.agent));
    const auto counter = std::make_shared<std::unique_ptr<Port>>(std::move(n.counter));
    (*agent)->become(Connect::refused), (*counter)->become(Connect::refused);
    open_agent(node), open_counter(node);
    n.counter->become(world_->counter_would_connect(node));
    const auto agents = n.agents;
    const auto counters = n.counter_links;
    agenda_.after(kOldAddress, [agent, counter, agents, counters] {
      for (const auto& l : agents) l->close();
      for (const auto& l : counters) l->close(false);
    });
  }
  write_config(node, n.control);
  n.child->signal(SIGHUP);
}

void Processes::upgrade_node(std::uint32_t node) {
  auto& n = nodes_[node];
  if (!n.child || !n.ready || n.next) return;
  n.next = spawn(node, n.next_control);
  const auto* next = n.next.get();
  ask_ready(
      node, n.next_control, [this, node, next] { return nodes_[node].next.get() == next; },
      [this, node] {
        auto& m = nodes_[node];
        m.child->signal(SIGTERM);
        m.leaving.push_back(std::move(m.child));
        m.child = std::move(m.next);
        std::swap(m.control, m.next_control);
      });
}

void Processes::ask_views() {
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
      asio::async_write(call->socket, asio::buffer(call->text),
                        [this, n, call](const error_code& lost, std::size_t) {
                          if (lost) return;
                          http::async_read(call->socket, call->buffer, call->parser,
                                           [this, n, call](const error_code& none, std::size_t) {
                                             if (!none)
                                               views_[n] = json::parse(call->parser.get().body(),
                                                                       nullptr, false);
                                           });
                        });
    });
  }
}

double Processes::views_agreed() const {
  double up = 0, agree = 0;
  for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
    if (!world_->node_up(n)) continue;
    ++up;
    const auto it = views_.find(n);
    if (it == views_.end() || !it->second.is_object() || !it->second.contains("members")) continue;
    bool same = true;
    for (const auto& m : it->second["members"]) {
      const auto state = m["state"].get<std::string>();
      same = same && (state == "alive" || state == "suspect") ==
                         world_->node_up(m["number"].get<std::uint32_t>());
    }
    agree += same ? 1 : 0;
  }
  return up > 0 ? agree / up : 1;
}

void Processes::ended(std::uint32_t node, const Child&, int status) {
  if (!crash_.empty()) return;
  crash_ = "node " + std::to_string(node) + (nodes_[node].ready ? " crashed" : " did not start") +
           " (" + end_in_words(status) + "), its last log lines:\n" +
           last_lines(nodes_[node].log, kLogLines);
}

// The lines that tell of a step that a node's rules turned down.
std::vector<std::string> Processes::breaches() const {
  std::vector<std::string> found;
  for (const auto& n : nodes_) {
    std::ifstream log(n.log);
    for (std::string line; std::getline(log, line);)
      if (line.find("rules: a step was turned down") != std::string::npos) found.push_back(line);
  }
  return found;
}

void Processes::look(bool measure) {
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    std::erase_if(n.leaving, [&](const auto& c) {
      const auto status = c->ended();
      if (status && *status != 0) ended(i, *c, *status);
      return status.has_value();
    });
    if (n.next)
      if (const auto status = n.next->ended()) ended(i, *n.next, *status), n.next.reset();
    if (!n.child) continue;
    if (measure) used_(i, n.child->usage());
    if (const auto status = n.child->ended()) {
      if (*status != 0 || !n.ready) ended(i, *n.child, *status);
      n.child.reset();
      ++n.lives;
      world_->node_ended(i);
    }
  }
}

// ---- What the world has for the nodes -----------------------------------------------------------

void Processes::submit(const Try& t) {
  agenda_.after(world_->client_way(), [this, id = t.id] {
    if (const auto* sent = world_->find_waiting(id)) pass_on(*sent);
  });
}

void Processes::pass_on(const Try& t) {
  auto& n = nodes_[t.node];
  if (!n.idle.empty()) {
    const auto link = n.idle.back();
    n.idle.pop_back();
    return link->go_on(t);
  }
  // A node that ends gets no new connections.
  if (n.ending && options_.scenario.clients.keeps_open) return world_->unreachable(t.id);
  if (n.front.size() >= options_.scenario.fleet.sockets / 3) return n.waiting.push_back(t);
  const auto link = std::make_shared<FrontLink>(*this, t.node);
  n.front.insert(link);
  link->begin(t);
}

void Processes::leave(TryId id) {
  for (auto& n : nodes_) std::erase_if(n.waiting, [id](const Try& t) { return t.id == id; });
  if (const auto it = out_.find(id); it != out_.end()) {
    const auto link = it->second;
    link->close();
  }
}

void Processes::answer(AttemptNumber attempt, ServerAnswer answer) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (const auto link = it->second.lock()) link->answer(answer);
}

void Processes::reset_connections(std::uint32_t server) {
  for (auto& n : nodes_)
    for (const auto& l : std::set<std::shared_ptr<ServerLink>>(n.server_links))
      if (l->server() == server) l->close(true);
}

void Processes::list_changed(std::uint32_t node, std::span<const Entry> changes,
                             std::int64_t revision) {
  for (const auto& a : std::set<std::shared_ptr<AgentLink>>(nodes_[node].agents))
    a->changed(changes, revision);
}

void Processes::network_changed() {
  if (world_ == nullptr) return;
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    auto& n = nodes_[i];
    for (std::uint32_t s = 0; s < n.servers.size(); ++s)
      if (n.servers[s]) {
        // A full table is no state of the port: it shows when a connection comes.
        n.servers[s]->become(world_->would_connect(i, s));
      }
    const auto counter = world_->counter_would_connect(i);
    n.counter->become(counter);
    for (const auto& l : std::set<std::shared_ptr<CounterLink>>(n.counter_links))
      if (counter == Connect::refused || (counter == Connect::up && l->swallowed())) l->close(true);
  }
}

// ---- The play -----------------------------------------------------------------------------------

namespace {

struct Folder {  // of the nodes' files; goes with the play
  std::filesystem::path path;
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "petrelrail-lab-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder can be made: " + name);
    path = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
};

}  // namespace

RunResult run_on_processes(const Options& options) {
  constexpr Duration kLook = 20ms, kMeasure = 1s, kProgress = 500ms, kStart = 30s, kViews = 60s,
                     kAskViews = 500ms;
  if (options.out) std::filesystem::create_directories(*options.out);
  Folder folder;
  asio::io_context io(1);
  // Unix time, read once and carried on by the steady clock, as the nodes have it.
  const auto steady = std::chrono::steady_clock::now();
  const Time unix(std::chrono::system_clock::now().time_since_epoch());
  const auto now = [&] { return unix + (std::chrono::steady_clock::now() - steady); };
  Agenda agenda(now());
  agenda.follow(now);
  Recorder recorder(options, agenda.now());
  Processes carrier(options, io, agenda, folder.path);
  World world(options.scenario, options.seed, agenda, carrier,
              [&](Time at, const Seen& s) { recorder.record(at, s); });
  carrier.serve(world);
  carrier.started([&](std::uint32_t node, Child::Usage u) {
    recorder.record(agenda.now(), Usage{node, u.cpu_s, u.memory_mb});
  });
  world.begin(kStart);
  std::vector<double> lags;
  Time looked = now(), measured = now(), shown = now();
  std::optional<Time> ended;
  Time asked{};
  bool began = false, stopped = false;
  asio::steady_timer timer(io);
  std::uint64_t armed = 0;
  while (!stopped && carrier.crash().empty()) {
    const Time at = now();
    if (const auto next = agenda.next(); next && *next <= at && began)
      lags.push_back(seconds(at - *next) * 1e3);
    agenda.run_until(at);
    if (!began && world.clients_began()) began = true, recorder.set_clients_start(world.began_at());
    if (at - looked >= kLook) {
      looked = at;
      const bool measure = at - measured >= kMeasure;
      if (measure) measured = at;
      carrier.look(measure);
      stopped = options.should_stop();
    }
    if (at - shown >= kProgress) {
      shown = at;
      options.progress(began ? seconds(at - world.began_at()) : 0, recorder.figures());
    }
    if (began && (world.over() || at > world.ends_at())) {
      // Views are waited for, as long as they take within their bound, and looked at again and
      // again.
      if (options.scenario.fleet.members == "off" || carrier.views_agreed() == 1) break;
      if (!ended) ended = at;
      if (at - *ended > kViews) break;
      if (at - asked >= kAskViews) asked = at, carrier.ask_views();
    }
    const Time until = std::min(agenda.next().value_or(at + kLook), looked + kLook);
    if (until > now()) {
      timer.expires_after(until - now());
      timer.async_wait([&io, mine = ++armed, &armed](const error_code& failed) {
        if (!failed && mine == armed) io.stop();
      });
      io.restart();
      while (!io.stopped() && now() < until) {
        if (io.run_one() == 0) break;
        if (agenda.next() && *agenda.next() <= now()) break;
      }
    } else {
      io.restart();
      io.poll_one();
    }
  }
  carrier.look(true);
  recorder.set_view_agreement(options.scenario.fleet.members == "off" ? 1 : carrier.views_agreed());
  const auto percentile = [&](double part) {
    if (lags.empty()) return 0.0;
    const auto at = lags.begin() +
                    static_cast<std::ptrdiff_t>(part * static_cast<double>(lags.size() - 1));
    std::nth_element(lags.begin(), at, lags.end());
    return *at;
  };
  const double p50 = percentile(0.5), p99 = percentile(0.99), most = percentile(1);
  auto outcome = recorder.finish(agenda.now(),
                                 {{"lag_p50_ms", p50}, {"lag_p99_ms", p99}, {"lag_most_ms", most}},
                                 stopped || !carrier.crash().empty());
  outcome.crash = carrier.crash();
  outcome.node_violations = carrier.breaches();
  outcome.stopped = stopped;
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
