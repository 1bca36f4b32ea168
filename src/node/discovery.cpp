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

// One connection to the agent. Once it has ended, what is still under way on it finds no owner.
struct Discovery::Exchange {
  Exchange(Discovery& d, bool is_watch) : owner(&d), watch(is_watch), socket(d.io_.get_executor()) {
    parser.body_limit(boost::none);  // lists are bounded one by one
    parser.eager(true);
  }

  Discovery* owner;
  const bool watch;
  Socket socket;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  // The list that is coming, which may stand on many lines.
  std::string list;
  std::size_t depth = 0;   // of brackets that are open; 0: between two lists
  bool quoted = false;     // in a string
  bool escaped = false;    // after a backslash in it
  bool blank_line = true;  // nothing on this line so far
  bool has_head = false, has_line = false;
  Time opened{};
  Timers::Handle limit;
};

std::optional<Tcp::endpoint> endpoint_of(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  error_code failed;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), failed);
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, wrong] = std::from_chars(port_text.data(), port_text.data() + port_text.size(),
                                            port);
  if (failed || wrong != std::errc{} || end != port_text.data() + port_text.size() || port == 0)
    return std::nullopt;
  return Tcp::endpoint(address, port);
}

Discovery::Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at,
                     std::string host, std::map<std::string, std::uint32_t> zones,
                     ListCallback told, Duration drain_grace)
    : io_(io),
      timers_(timers),
      agent_(at),
      host_(std::move(host)),
      zones_(std::move(zones)),
      on_list_(std::move(told)),
      limits_(limits::agent_limits(drain_grace)) {}

Discovery::~Discovery() {
  timers_.cancel(reconnect_timer_);
  timers_.cancel(poll_timer_);
  if (watch_) end(watch_);
  end_polls();
}

void Discovery::start(const json& known) {
  apply_list(known, true);
  open_watch();
  schedule_poll();
}

void Discovery::set_agent(const Tcp::endpoint& at, std::string host) {
  agent_ = at;
  host_ = std::move(host);
  backoff_ = {};
  timers_.cancel(reconnect_timer_);
  end_polls();
  if (watch_) end(std::exchange(watch_, nullptr));
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

// ---- Reading a list -----------------------------------------------------------------------------

// Ids hold 8 hex digits after a dash: they are the number, at every node. Another form is hashed;
// where two ids would share a number, the later one takes the next that is free here.
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

std::optional<Discovery::Entry> Discovery::entry(const json& e) {
  static constexpr std::array<std::pair<const char*, EndpointPhase>, 3> phases{
      {{"SERVING", EndpointPhase::ready},
       {"DRAINING", EndpointPhase::draining},
       {"DELETED", EndpointPhase::gone}}};
  try {
    object_of(e, "members");
    Entry n;
    const auto& id = text(e, "id");
    n.info.phase = enum_value(e, "phase", phases);
    const auto address = endpoint_of(text(e, "host_port"));
    if (!address) fail_field("host_port", "an address and a port");
    n.address = *address;
    n.info.cell = uint32(e, "cell");
    if (const auto* up = optional_field(e, "up_since_ms"))
      if (const std::chrono::milliseconds ms{integer_of(*up, "up_since_ms")}; ms.count() > 0) {
        if (ms > std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()))
          fail_field("up_since_ms", "a time that a clock can show");
        n.info.started = Time(ms);
      }
    if (const auto* size = optional_field(e, "size"))
      n.info.weight = reading::number_of(*size, "size");
    n.info.zone = zone_of(text(e, "locality"));
    n.info.id = id_of(id);
    return n;
  } catch (const std::exception& x) {
    on_malformed(stats_.bad_members, "an entry is passed over", x.what());
    return std::nullopt;
  }
}

// False if it can't be read whole. Then the version stays as it was, so that what was said is asked
// for again. An entry that can't be read is passed over and the others count, as they are told; but
// such a list does not say who has gone.
bool Discovery::apply_list(const json& list, bool cached) {
  try {
    object_of(list, "list");
    const auto revision = unsigned_integer_of(field(list, "revision"), "revision");
    const bool complete = boolean(list, "complete");
    const auto& members = list_of(field(list, "members"), "members");
    std::vector<Entry> entries;
    for (const auto& e : members)
      if (auto n = entry(e)) entries.push_back(std::move(*n));
    const bool whole = entries.size() == members.size();
    if (whole || !entries.empty())
      on_list_(cached              ? EndpointListKind::cached
               : complete && whole ? EndpointListKind::full
                                   : EndpointListKind::delta,
               entries);
    if (!whole) return false;
    revision_ = revision;
    log_malformed_ = true;
    return true;
  } catch (const std::exception& x) {
    on_malformed(stats_.bad_lists, "a list is passed over", x.what());
    return false;
  }
}

void Discovery::on_malformed(std::uint64_t& kind, std::string_view what, std::string_view why) {
  ++kind;
  if (std::exchange(log_malformed_, false))
    log::warning("discovery", what, {{"why", std::string(why)}});
}

// ---- The watch and the questions beside it ------------------------------------------------------

void Discovery::open_watch() {
  polled_revision_.reset();
  in_sync_ = false;
  watch_ = open(true);
}

// The oldest question has its whole time; of the others the first gives way where there are too
// many.
void Discovery::poll() {
  if (polls_.size() + 1 >= limits::kMaxAgentConnections) {
    const auto it = polls_.begin() + (polls_.size() > 1 ? 1 : 0);
    const ExchangeHandle late = *it;
    polls_.erase(it);
    end(late);
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
  auto q = std::make_shared<Exchange>(*this, watch);
  q->opened = timers_.now();
  give_up_after(q, q->opened + limits::kAgentTimeout);
  q->socket.async_connect(agent_, [q](const error_code& wrong) {
    if (q->owner == nullptr) return;
    auto& self = *q->owner;
    if (wrong) return self.failed(q, self.stats_.lost);
    set_no_delay(q->socket);
    const auto from = q->watch ? "?watch=1&from=" + std::to_string(self.revision_) : std::string();
    q->request = {http::verb::get, "/api/targets" + from, 11};
    q->request.set(http::field::host, self.host_);
    if (!q->watch) q->request.set(http::field::connection, "close");
    http::async_write(q->socket, q->request, [q](const error_code& broken, std::size_t) {
      if (q->owner != nullptr && broken) q->owner->failed(q, q->owner->stats_.lost);
    });
    self.read(q);
  });
  return q;
}

void Discovery::read(const ExchangeHandle& q) {
  q->socket.async_read_some(q->buffer.prepare(limits::kReadBufferBytes),
                            [q](const error_code& failed, std::size_t bytes) {
                              if (q->owner != nullptr) q->owner->on_read(q, failed, bytes);
                            });
}

void Discovery::on_read(const ExchangeHandle& q, const error_code& wrong, std::size_t bytes) {
  if (wrong) return failed(q, stats_.lost);
  q->buffer.commit(bytes);
  const auto came = take_bytes(*q);
  if (q->owner == nullptr) return;  // ended by who was told
  if (came == ReadResult::unreadable) return failed(q, stats_.unreadable);
  if (came == ReadResult::line) on_watch_line(q);
  if (q->owner == nullptr) return;
  if (q->parser.is_done()) return failed(q, stats_.lost);
  if (q->watch && !q->has_line && q->parser.is_header_done() && !std::exchange(q->has_head, true))
    give_up_after(q, q->opened + limits::kWatchSilenceTimeout);
  read(q);
}

Discovery::ReadResult Discovery::take_bytes(Exchange& q) {
  error_code wrong;
  while (!q.parser.is_done() && q.buffer.size() > 0) {
    q.buffer.consume(q.parser.put(q.buffer.data(), wrong));
    if (wrong == http::error::need_more) break;
    if (wrong)
      return on_malformed(stats_.bad_heads, "an answer is passed over", wrong.message()),
             ReadResult::unreadable;
  }
  if (q.parser.is_header_done() && q.parser.get().result() != http::status::ok)
    return on_malformed(stats_.bad_heads, "an answer is passed over", "its status is not 200"),
           ReadResult::unreadable;
  return take_text(q, std::exchange(q.parser.get().body(), {}));
}

// Lists are objects with white space between and, where they come indented, within: where one ends
// its brackets tell. Where what came can't be read, what was in it is not known: the watch is begun
// again from the last version that could be read.
Discovery::ReadResult Discovery::take_text(Exchange& q, std::string_view text) {
  const auto no_list = [this](std::string_view why) {
    on_malformed(stats_.bad_documents, "a list is passed over", why);
    return ReadResult::unreadable;
  };
  auto came = ReadResult::nothing;
  for (const char c : text) {
    const bool white = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (q.depth == 0) {
      if (c == '\n' && std::exchange(q.blank_line, true) && q.watch) came = ReadResult::line;
      if (white) continue;
      if (c != '{') return no_list("it is no object");
      q.quoted = q.escaped = false;
    }
    q.list += c;
    if (q.quoted) {
      if (c == '\n') return no_list("it is cut short");
      q.quoted = q.escaped || c != '"';
      q.escaped = !q.escaped && c == '\\';
      continue;
    }
    // An empty line says that all is well, and none stands within a list: this one was cut short.
    if (c == '\n' && std::exchange(q.blank_line, true)) return no_list("it is cut short");
    q.blank_line = q.blank_line && white;
    q.quoted = c == '"';
    if (c == '{' || c == '[') ++q.depth;
    if ((c != '}' && c != ']') || --q.depth > 0) continue;
    if (!take_list(q, std::exchange(q.list, {}))) return ReadResult::unreadable;
    came = ReadResult::line;
    if (!q.watch || q.owner == nullptr) return came;
  }
  return q.list.size() <= limits::kMaxJsonLineBytes ? came : no_list("it is too long");
}

// What a watch says of a time before the whole list that was taken beside it is known already, and
// was overtaken by it.
bool Discovery::take_list(Exchange& q, const std::string& text) {
  const auto list = json::parse(text, nullptr, false);
  if (list.is_discarded())
    return on_malformed(stats_.bad_documents, "a list is passed over", "it is no JSON"), false;
  const auto complete = list.value("complete", json());
  if (!q.watch && complete == false)
    return on_malformed(stats_.bad_lists, "a list is passed over", "it is not whole"), false;
  const auto revision = list.value("revision", json());
  const bool changes = q.watch && complete == false && revision.is_number_unsigned();
  if (changes && polled_revision_ && revision < *polled_revision_) return true;
  if (changes &&
      revision < revision_) {  // of another list than is held: asked for whole, from now on
    in_sync_ = false;
    end_polls();
    return true;
  }
  if (!apply_list(list, false)) return false;
  if (!q.watch) polled_revision_ = revision_;
  in_sync_ = true;
  return true;
}

void Discovery::on_watch_line(const ExchangeHandle& q) {
  if (q->watch) {
    q->has_line = true;
    backoff_ = {};
    give_up_after(q, timers_.now() + limits::kWatchSilenceTimeout);
  }
  if (in_sync_) {
    end_polls();
    if (watch_ && watch_->has_line) timers_.cancel(poll_timer_);
  } else if (polls_.empty()) {
    schedule_poll();
    poll();
  }
}

void Discovery::give_up_after(const ExchangeHandle& q, Time when) {
  timers_.cancel(q->limit);
  q->limit = timers_.at(when, [this, q] {
    q->limit.reset();
    failed(q, stats_.silent);
  });
}

void Discovery::failed(const ExchangeHandle& q, std::uint64_t& reason) {
  ++reason;
  end(q);
  if (!q->watch) {
    std::erase(polls_, q);
    return;
  }
  if (backoff_ == Duration{} && &reason == &stats_.silent) log::warning("discovery", "silent");
  watch_.reset();
  if (!poll_timer_) schedule_poll();
  backoff_ = std::min(std::max(2 * backoff_, limits::kMinBackoff), limits_.max_reconnect_delay);
  reconnect_timer_ = timers_.after(backoff_, [this] {
    reconnect_timer_.reset();
    open_watch();
  });
}

void Discovery::end(const ExchangeHandle& q) {
  q->owner = nullptr;
  timers_.cancel(q->limit);
  close_now(q->socket);
}

void Discovery::end_polls() {
  for (const auto& q : std::exchange(polls_, {})) end(q);
}

}  // namespace petrelrail
