#include "discovery.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "settings_reader.hpp"

namespace petrelrail {

using namespace reading;
namespace http = boost::beast::http;

// One connection to the agent. close() clears its owner, so that handlers that are still pending do
// nothing.
struct Discovery::Exchange {
  Exchange(Discovery& d, bool is_watch) : owner(&d), watch(is_watch), socket(d.io_.get_executor()) {
    parser.body_limit(boost::none);  // each list is bounded on its own
    parser.eager(true);
  }

  Discovery* owner;
  const bool watch;
  Socket socket;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  // The list being received, which may span several lines.
  std::string list;
  std::size_t depth = 0;   // of open brackets; 0: between two lists
  bool quoted = false;     // within a string
  bool escaped = false;    // after a backslash within a string
  bool blank_line = true;  // the current line has only white space so far
  bool has_head = false, has_line = false;
  Time opened{};
  Timers::Handle timer;
};

std::optional<Tcp::endpoint> endpoint_of(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  error_code address_error;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), address_error);
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, port_error] = std::from_chars(port_text.data(),
                                                 port_text.data() + port_text.size(), port);
  if (address_error || port_error != std::errc{} || end != port_text.data() + port_text.size() ||
      port == 0)
    return std::nullopt;
  return Tcp::endpoint(address, port);
}

Discovery::Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& agent,
                     std::string host, std::map<std::string, std::uint32_t> zones,
                     ListCallback on_list, Duration drain_grace)
    : io_(io),
      timers_(timers),
      agent_(agent),
      host_(std::move(host)),
      zones_(std::move(zones)),
      on_list_(std::move(on_list)),
      limits_(limits::agent_limits(drain_grace)) {}

Discovery::~Discovery() {
  timers_.cancel(reconnect_timer_);
  timers_.cancel(poll_timer_);
  if (watch_) close(watch_);
  close_polls();
}

void Discovery::start(const json& known) {
  apply_list(known, true);
  open_watch();
  schedule_poll();
}

void Discovery::set_agent(const Tcp::endpoint& agent, std::string host) {
  agent_ = agent;
  host_ = std::move(host);
  backoff_ = {};
  timers_.cancel(reconnect_timer_);
  close_polls();
  if (watch_) close(std::exchange(watch_, nullptr));
  open_watch();
  schedule_poll();
}

void Discovery::set_drain_grace(Duration drain_grace) {
  limits_ = limits::agent_limits(drain_grace);
  if (poll_timer_ && (*poll_timer_)->first > timers_.now() + limits_.poll_interval) schedule_poll();
  if (!reconnect_timer_ ||
      (*reconnect_timer_)->first <= timers_.now() + limits_.max_reconnect_delay)
    return;
  timers_.cancel(reconnect_timer_);
  open_watch();
}

// ---- Parsing a list -----------------------------------------------------------------------------

// Ids end in 8 hex digits after a dash, which are the number, the same at every node. Another form
// is hashed; if two ids would share a number, the later one gets the next number that is free at
// this node.
EndpointId Discovery::id_of(const std::string& id) {
  if (const auto it = ids_by_name_.find(id); it != ids_by_name_.end()) return it->second;
  const auto digits = std::string_view(id).substr(std::min(id.size(), id.rfind('-') + 1));
  std::uint32_t n = 0;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), n, 16);
  if (failed != std::errc{} || end != digits.data() + digits.size()) {
    n = 2166136261U;  // FNV-1a
    for (const char c : id) n = (n ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  while (names_by_id_.contains(EndpointId(n))) ++n;
  ids_by_name_.emplace(id, EndpointId(n));
  names_by_id_.emplace(EndpointId(n), id);
  return EndpointId(n);
}

std::optional<EndpointId> Discovery::find_id(const std::string& id) const {
  const auto it = ids_by_name_.find(id);
  return it == ids_by_name_.end() ? std::nullopt : std::optional(it->second);
}

ZoneIndex Discovery::zone_of(const std::string& name) {
  return ZoneIndex(zones_.emplace(name, static_cast<std::uint32_t>(zones_.size())).first->second);
}

std::optional<Discovery::Entry> Discovery::parse_entry(const json& e) {
  static constexpr std::array<std::pair<const char*, EndpointPhase>, 3> phases{
      {{"SERVING", EndpointPhase::ready},
       {"DRAINING", EndpointPhase::draining},
       {"DELETED", EndpointPhase::gone}}};
  try {
    object_of(e, "members");
    Entry entry;
    const auto& id = text(e, "id");
    entry.info.phase = enum_value(e, "phase", phases);
    const auto address = endpoint_of(text(e, "host_port"));
    if (!address) fail_field("host_port", "an address and a port");
    entry.address = *address;
    entry.info.cell = uint32(e, "cell");
    if (const auto* up = optional_field(e, "up_since_ms"))
      if (const std::chrono::milliseconds ms{integer_of(*up, "up_since_ms")}; ms.count() > 0) {
        if (ms > std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()))
          fail_field("up_since_ms", "a time within the range of the clock");
        entry.info.started = Time(ms);
      }
    if (const auto* size = optional_field(e, "size"))
      entry.info.weight = reading::number_of(*size, "size");
    entry.info.zone = zone_of(text(e, "locality"));
    entry.info.id = id_of(id);
    return entry;
  } catch (const std::exception& x) {
    on_malformed(stats_.bad_members, "an entry is passed over", x.what());
    return std::nullopt;
  }
}

// Returns false if any part of the list can't be parsed. Then the revision stays as it was, so that
// the changes are requested again. Malformed entries are skipped and the others applied, but such a
// list can't tell which endpoints are gone.
bool Discovery::apply_list(const json& list, bool cached) {
  try {
    object_of(list, "list");
    const auto revision = unsigned_integer_of(field(list, "revision"), "revision");
    const bool complete = boolean(list, "complete");
    const auto& members = list_of(field(list, "members"), "members");
    std::vector<Entry> entries;
    for (const auto& e : members)
      if (auto entry = parse_entry(e)) entries.push_back(std::move(*entry));
    const bool all_parsed = entries.size() == members.size();
    if (all_parsed || !entries.empty())
      on_list_(cached                   ? EndpointListKind::cached
               : complete && all_parsed ? EndpointListKind::full
                                        : EndpointListKind::delta,
               entries);
    if (!all_parsed) return false;
    revision_ = revision;
    log_malformed_ = true;
    return true;
  } catch (const std::exception& x) {
    on_malformed(stats_.bad_lists, "a list is passed over", x.what());
    return false;
  }
}

void Discovery::on_malformed(std::uint64_t& counter, std::string_view message,
                             std::string_view reason) {
  ++counter;
  if (std::exchange(log_malformed_, false))
    log::warning("discovery", message, {{"why", std::string(reason)}});
}

// ---- The watch and the polls beside it ----------------------------------------------------------

void Discovery::open_watch() {
  polled_revision_.reset();
  in_sync_ = false;
  watch_ = open(true);
}

// The oldest poll keeps its full time-out; at the connection limit the next oldest one is closed.
void Discovery::poll() {
  if (polls_.size() + 1 >= limits::kMaxAgentConnections) {
    const auto it = polls_.begin() + (polls_.size() > 1 ? 1 : 0);
    const ExchangeHandle dropped = *it;
    polls_.erase(it);
    close(dropped);
  }
  polls_.push_back(open(false));
}

void Discovery::schedule_poll() {
  timers_.cancel(poll_timer_);
  poll_timer_ = timers_.after(limits_.poll_interval, [this] {
    poll_timer_.reset();
    schedule_poll();
    poll();
  });
}

Discovery::ExchangeHandle Discovery::open(bool watch) {
  ++(watch ? stats_.watches : stats_.polls);
  auto exchange = std::make_shared<Exchange>(*this, watch);
  exchange->opened = timers_.now();
  set_timeout(exchange, exchange->opened + limits::kAgentTimeout);
  exchange->socket.async_connect(agent_, [exchange](const error_code& error) {
    if (exchange->owner == nullptr) return;
    auto& self = *exchange->owner;
    if (error) return self.on_failed(exchange, self.stats_.lost);
    set_no_delay(exchange->socket);
    const auto query = exchange->watch ? "?watch=1&from=" + std::to_string(self.revision_)
                                       : std::string();
    exchange->request = {http::verb::get, "/api/targets" + query, 11};
    exchange->request.set(http::field::host, self.host_);
    if (!exchange->watch) exchange->request.set(http::field::connection, "close");
    http::async_write(exchange->socket, exchange->request,
                      [exchange](const error_code& write_error, std::size_t) {
                        if (exchange->owner != nullptr && write_error)
                          exchange->owner->on_failed(exchange, exchange->owner->stats_.lost);
                      });
    self.read(exchange);
  });
  return exchange;
}

void Discovery::read(const ExchangeHandle& exchange) {
  exchange->socket.async_read_some(exchange->buffer.prepare(limits::kReadBufferBytes),
                                   [exchange](const error_code& failed, std::size_t bytes) {
                                     if (exchange->owner != nullptr)
                                       exchange->owner->on_read(exchange, failed, bytes);
                                   });
}

void Discovery::on_read(const ExchangeHandle& exchange, const error_code& error,
                        std::size_t bytes) {
  if (error) return on_failed(exchange, stats_.lost);
  exchange->buffer.commit(bytes);
  const auto result = process_input(*exchange);
  update_memory();
  if (exchange->owner == nullptr) return;  // closed by the list callback
  if (result == ReadResult::unreadable) return on_failed(exchange, stats_.unreadable);
  if (result == ReadResult::line) on_line(exchange);
  if (exchange->owner == nullptr) return;
  if (exchange->parser.is_done()) return on_failed(exchange, stats_.lost);
  if (exchange->watch && !exchange->has_line && exchange->parser.is_header_done() &&
      !std::exchange(exchange->has_head, true))
    set_timeout(exchange, exchange->opened + limits::kWatchSilenceTimeout);
  read(exchange);
}

Discovery::ReadResult Discovery::process_input(Exchange& exchange) {
  error_code parse_error;
  while (!exchange.parser.is_done() && exchange.buffer.size() > 0) {
    exchange.buffer.consume(exchange.parser.put(exchange.buffer.data(), parse_error));
    // Only a header, or that of a chunk, is left in the buffer until it is complete.
    if (parse_error == http::error::need_more && exchange.buffer.size() < limits::kMaxHeaderBytes)
      break;
    if (parse_error)
      return on_malformed(stats_.bad_heads, "an answer is passed over", parse_error.message()),
             ReadResult::unreadable;
  }
  if (exchange.parser.is_header_done() && exchange.parser.get().result() != http::status::ok)
    return on_malformed(stats_.bad_heads, "an answer is passed over", "its status is not 200"),
           ReadResult::unreadable;
  return process_text(exchange, std::exchange(exchange.parser.get().body(), {}));
}

// Lists are JSON objects, separated by white space and possibly indented, so the end of a list is
// found by counting brackets. The content of unreadable input is unknown: the watch is reopened
// from the last revision that could be read.
Discovery::ReadResult Discovery::process_text(Exchange& exchange, std::string_view text) {
  const auto fail = [this](std::string_view reason) {
    on_malformed(stats_.bad_documents, "a list is passed over", reason);
    return ReadResult::unreadable;
  };
  auto result = ReadResult::incomplete;
  for (const char c : text) {
    const bool is_space = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (exchange.depth == 0) {
      if (c == '\n' && std::exchange(exchange.blank_line, true) && exchange.watch)
        result = ReadResult::line;
      if (is_space) continue;
      if (c != '{') return fail("it is not an object");
      exchange.quoted = exchange.escaped = false;
    }
    exchange.list += c;
    if (exchange.quoted) {
      if (c == '\n') return fail("it is cut short");
      exchange.quoted = exchange.escaped || c != '"';
      exchange.escaped = !exchange.escaped && c == '\\';
      continue;
    }
    // An empty line is the agent's heartbeat and never occurs within a list, so this list was cut
    // short.
    if (c == '\n' && std::exchange(exchange.blank_line, true)) return fail("it is cut short");
    exchange.blank_line = exchange.blank_line && is_space;
    exchange.quoted = c == '"';
    if (c == '{' || c == '[') ++exchange.depth;
    if ((c != '}' && c != ']') || --exchange.depth > 0) continue;
    if (!process_list(exchange, std::exchange(exchange.list, {}))) return ReadResult::unreadable;
    result = ReadResult::line;
    if (!exchange.watch || exchange.owner == nullptr) return result;
  }
  return exchange.list.size() <= max_list_bytes_ ? result : fail("it is too long");
}

// Changes on the watch that precede a whole list from a poll are skipped: that list includes them.
bool Discovery::process_list(Exchange& exchange, const std::string& text) {
  const auto list = json::parse(text, nullptr, false);
  if (list.is_discarded())
    return on_malformed(stats_.bad_documents, "a list is passed over", "it is not JSON"), false;
  const auto complete = list.value("complete", json());
  if (!exchange.watch && complete == false)
    return on_malformed(stats_.bad_lists, "a list is passed over",
                        "a poll must return the whole list"),
           false;
  const auto revision = list.value("revision", json());
  const bool changes = exchange.watch && complete == false && revision.is_number_unsigned();
  if (changes && polled_revision_ && revision < *polled_revision_) return true;
  // Changes of a lower revision belong to another list than the one held: poll for the whole list.
  if (changes && revision < revision_) {
    in_sync_ = false;
    close_polls();
    return true;
  }
  if (!apply_list(list, false)) return false;
  if (!exchange.watch) polled_revision_ = revision_;
  in_sync_ = true;
  return true;
}

void Discovery::on_line(const ExchangeHandle& exchange) {
  if (exchange->watch) {
    exchange->has_line = true;
    backoff_ = {};
    set_timeout(exchange, timers_.now() + limits::kWatchSilenceTimeout);
  }
  if (in_sync_) {
    close_polls();
    if (watch_ && watch_->has_line) timers_.cancel(poll_timer_);
  } else if (polls_.empty()) {
    schedule_poll();
    poll();
  }
}

void Discovery::set_timeout(const ExchangeHandle& exchange, Time deadline) {
  timers_.cancel(exchange->timer);
  exchange->timer = timers_.at(deadline, [this, exchange] {
    exchange->timer.reset();
    on_failed(exchange, stats_.silent);
  });
}

void Discovery::on_failed(const ExchangeHandle& exchange, std::uint64_t& counter) {
  ++counter;
  close(exchange);
  if (!exchange->watch) {
    std::erase(polls_, exchange);
    return;
  }
  if (backoff_ == Duration{} && &counter == &stats_.silent) log::warning("discovery", "silent");
  watch_.reset();
  if (!poll_timer_) schedule_poll();
  backoff_ = std::min(std::max(2 * backoff_, limits::kMinBackoff), limits_.max_reconnect_delay);
  reconnect_timer_ = timers_.after(backoff_, [this] {
    reconnect_timer_.reset();
    open_watch();
  });
}

void Discovery::close(const ExchangeHandle& exchange) {
  exchange->owner = nullptr;
  timers_.cancel(exchange->timer);
  close_now(exchange->socket);
}

void Discovery::update_memory() {
  if (!memory_) return;
  std::size_t bytes = watch_ ? watch_->list.capacity() : 0;
  for (const auto& exchange : polls_) bytes += exchange->list.capacity();
  memory_->set(policy::MemoryKind::lists, bytes);
}

void Discovery::close_polls() {
  for (const auto& exchange : std::exchange(polls_, {})) close(exchange);
}

}  // namespace petrelrail
