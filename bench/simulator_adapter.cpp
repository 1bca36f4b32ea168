// Connects the decision module to an external simulator. Reads batches of events from standard
// input, one JSON object a line, passes each event to the Gateway of its instance and writes the
// resulting actions to standard output. Only parses, translates and prints: it decides nothing
// itself.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "node/settings_reader.hpp"
#include "petrelrail/gateway.hpp"

namespace {

using nlohmann::json;
using namespace petrelrail;
using namespace petrelrail::reading;

std::string hex_text(RequestId id) {
  std::array<char, 17> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(id));
  return buffer.data();
}

AttemptOutcome read_outcome(const json& o) {
  static constexpr std::array<std::pair<const char*, AttemptOutcome>, 8> names{
      {{"pass", AttemptOutcome::ok},
       {"fault", AttemptOutcome::error},
       {"no_room", AttemptOutcome::overloaded},
       {"too_slow", AttemptOutcome::timeout},
       {"no_route", AttemptOutcome::connect_failed},
       {"cut", AttemptOutcome::reset},
       {"undone", AttemptOutcome::cancelled},
       {"stale_send", AttemptOutcome::never_sent}}};
  return enum_value(o, "disposition", names);
}

// ---- Instances ----------------------------------------------------------------------------------

struct Instance {
  Gateway gateway;
  SettingNames names;
};

Instance open_instance(const json& e) {
  auto [settings, names] = read_settings(object_of(field(e, "facts"), "facts"));
  return {Gateway(std::move(settings), unsigned_integer_of(field(e, "salt"), "salt")),
          std::move(names)};
}

// ---- Events -------------------------------------------------------------------------------------

// An entry of a registered page. Its zone is a name, because each instance numbers the zones
// itself.
struct PageEntry {
  EndpointInfo info;
  std::string zone;
};
using Page = std::vector<PageEntry>;

Page read_page(const json& e) {
  Page page;
  for (const auto& l : list_of(field(e, "lines"), "lines")) {
    object_of(l, "lines");
    PageEntry entry;
    entry.info.id = EndpointId(uint32(l, "server"));
    entry.info.cell = uint32(l, "cohort");
    const auto phase = integer(l, "phase");
    if (phase < 0 || phase > 2) fail_field("phase", "0, 1 or 2");
    entry.info.phase = phase == 1   ? EndpointPhase::ready
                       : phase == 2 ? EndpointPhase::draining
                                    : EndpointPhase::gone;
    if (const auto* t = optional_field(l, "last-start-ns"))
      if (const auto started_ns = integer_of(*t, "last-start-ns"); started_ns != 0)
        entry.info.started = Time(Duration(started_ns));
    entry.info.weight = number(l, "share");
    entry.zone = text(l, "area");
    page.push_back(std::move(entry));
  }
  return page;
}

std::optional<LoadReport> read_load(const json& e) {
  const auto* r = optional_field(e, "report");
  if (!r) return std::nullopt;
  object_of(*r, "report");
  const auto value = [&](const char* key) -> std::optional<double> {
    const auto* v = optional_field(*r, key);
    return v ? std::optional(number_of(*v, key)) : std::nullopt;
  };
  return LoadReport{value("active"), value("waiting"), value("cpu"), value("avg_ms")};
}

EndpointListUpdate read_list_update(const json& e, const Instance& instance,
                                    const std::map<std::int64_t, Page>& pages) {
  EndpointListUpdate update;
  const auto kind = integer(e, "how");
  if (kind < 0 || kind > 3) fail_field("how", "0, 1, 2 or 3");
  update.kind = std::array{EndpointListKind::delta, EndpointListKind::full,
                           EndpointListKind::cached,
                           EndpointListKind::failed}[static_cast<std::size_t>(kind)];
  if (update.kind == EndpointListKind::failed) return update;
  const auto page = pages.find(integer(e, "page"));
  if (page == pages.end()) throw FieldError("field 'page' names a page that was not registered");
  for (const auto& entry : page->second) {
    update.entries.push_back(entry.info);
    const auto zone = instance.names.zones.find(entry.zone);
    if (zone == instance.names.zones.end())
      throw FieldError("field 'area' names nothing in the settings");
    update.entries.back().zone = ZoneIndex(zone->second);
  }
  return update;
}

RequestArrived read_arrival(const json& e, const Instance& instance) {
  RequestArrived a;
  a.request = RequestId(hex(e, "ticket"));
  a.request_class = ClassIndex(index_of(instance.names.classes, e, "profile"));
  a.plan = PlanIndex(index_of(instance.names.plans, e, "package"));
  a.customer = CustomerId(hex(e, "account"));
  a.time_left = duration(e, "ttl-ns");
  a.units = number(e, "cost-units");
  a.gateways = uint32(e, "doors");
  if (const auto* v = optional_field(e, "is-retry")) a.is_retry = boolean_of(*v, "is-retry");
  return a;
}

AttemptEnded read_attempt_end(const json& e) {
  AttemptEnded a;
  a.request = RequestId(hex(e, "ticket"));
  a.attempt = uint32(e, "leg");
  a.endpoint = EndpointId(uint32(e, "server"));
  a.outcome = read_outcome(e);
  a.duration = duration(e, "rtt-ns");
  a.request_completed = boolean(e, "finished");
  a.settled_units = number_or_zero(e, "final-units");
  a.load = read_load(e);
  return a;
}

CounterResponse read_counter_response(const json& e) {
  static constexpr std::array<std::pair<const char*, CounterOutcome>, 4> names{
      {{"pass", CounterOutcome::ok},
       {"no_room", CounterOutcome::refused},
       {"no_route", CounterOutcome::refused},
       {"too_slow", CounterOutcome::timeout}}};
  CounterResponse a;
  a.key = CounterKey(unsigned_integer_of(field(e, "tally-id"), "tally-id"));
  a.outcome = enum_value(e, "disposition", names);
  a.total = a.outcome == CounterOutcome::ok ? number(e, "level") : 0;
  a.duration = duration(e, "rtt-ns");
  return a;
}

// Events that no decision depends on: their fields are validated, and they only advance the time.
Event read_stream_start(const json& e) {
  hex(e, "ticket");
  uint32(e, "leg");
  return TimeAdvanced{};
}

Event read_peer_message(const json& e) {
  uint32(e, "author");
  return TimeAdvanced{};
}

// Returns nothing for an event of a kind that this version doesn't know.
std::optional<Event> read_event(const std::string& kind, const json& e, const Instance& instance,
                                const std::map<std::int64_t, Page>& pages) {
  if (kind == "ask") return read_arrival(e, instance);
  if (kind == "finished") return read_attempt_end(e);
  if (kind == "tick-due")
    return TimerDue{TimerId(unsigned_integer_of(field(e, "cookie"), "cookie"))};
  if (kind == "ledger-reply") return read_counter_response(e);
  if (kind == "gone") return ClientDisconnected{RequestId(hex(e, "ticket"))};
  if (kind == "membership") return read_list_update(e, instance, pages);
  if (kind == "checked")
    return HealthCheckEnded{EndpointId(uint32(e, "server")), read_outcome(e), duration(e, "rtt-ns"),
                            read_load(e)};
  if (kind == "first") return read_stream_start(e);
  if (kind == "note-from") return read_peer_message(e);
  return std::nullopt;  // an event of a later protocol version is ignored
}

// ---- Actions ------------------------------------------------------------------------------------

// Writes an action's fields into a JSON object.
struct ActionWriter {
  json& a;
  void operator()(const Send& s) const {
    a["msg"] = "place";
    a["ticket"] = hex_text(s.request);
    a["server"] = static_cast<std::uint32_t>(s.endpoint);
    a["within-ns"] = s.timeout.count();
  }
  void operator()(const Reject& s) const {
    a["msg"] = "decline";
    a["ticket"] = hex_text(s.request);
    a["hold-off-ns"] = s.retry_after.count();
  }
  void operator()(const Fail& s) const {
    a["msg"] = "drop-request";
    a["ticket"] = hex_text(s.request);
  }
  void operator()(const Cancel& s) const {
    a["msg"] = "undo-send";
    a["ticket"] = hex_text(s.request);
    a["leg"] = s.attempt;
  }
  void operator()(const AddToCounter& s) const {
    a["msg"] = "add-and-get";
    a["tally-id"] = static_cast<std::uint64_t>(s.key);
    a["n"] = s.amount;
    a["ttl-ns"] = s.lifetime.count();
  }
  void operator()(const SetTimer& s) const {
    a["msg"] = "wake-at";
    a["cookie"] = static_cast<std::uint64_t>(s.timer);
    a["delay-ns"] = s.delay.count();
  }
  void operator()(const CheckHealth& s) const {
    a["msg"] = "test";
    a["server"] = static_cast<std::uint32_t>(s.endpoint);
  }
  void operator()(const ReleaseIdleConnections& s) const {
    a["msg"] = "let-go";
    a["server"] = static_cast<std::uint32_t>(s.endpoint);
  }
  void operator()(const Subscribe&) const {
    a["msg"] = "subscribe";
    a["active"] = true;
  }
  void operator()(const Log& s) const {
    a["msg"] = "remark";
    a["what"] = s.text;
  }
};

// ---- The process --------------------------------------------------------------------------------

struct Adapter {
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, Page> pages;

  void handle(Time now, const json& e, json& out) {
    object_of(e, "happened");
    const auto& kind = text(e, "msg");
    if (kind == "register") {
      pages[integer(e, "page")] = read_page(e);
      return;
    }
    const auto& id = text(e, "node-id");
    if (kind == "open-instance") {
      instances.insert_or_assign(id, open_instance(e));
      return;
    }
    if (kind == "detach") {
      instances.erase(id);
      return;
    }
    const auto it = instances.find(id);
    if (it == instances.end())
      throw FieldError("field 'node-id' names an instance that was not opened");
    const auto event = read_event(kind, e, it->second, pages);
    if (!event) return;
    for (const auto& action : it->second.gateway.handle(now, *event)) {
      json a = {{"node-id", id}};
      std::visit(ActionWriter{a}, action);
      out.push_back(std::move(a));
    }
  }

  // Returns the response line to a batch. Throws an exception if the line is malformed.
  std::string handle_batch(const std::string& line) {
    const json batch = json::parse(line);
    object_of(batch, "batch");
    const Time now{Duration(integer(batch, "wall-ns"))};
    json out = json::array();
    std::size_t n = 0;
    for (const auto& e : list_of(field(batch, "happened"), "happened")) {
      ++n;
      try {
        handle(now, e, out);
      } catch (const std::exception& x) {
        const auto* kind = e.is_object() ? optional_field(e, "msg") : nullptr;
        throw FieldError("event " + std::to_string(n) + (kind ? " " + kind->dump() : "") + ": " +
                         x.what());
      }
    }
    return json{{"batch", field(batch, "batch")}, {"out", std::move(out)}}.dump();
  }
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Adapter adapter;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << adapter.handle_batch(line) << '\n' << std::flush;
    } catch (const std::exception& x) {
      std::cerr << "petrelrail_simulator_adapter: line " << number << ": " << x.what() << '\n';
      return 1;
    }
  }
  return 0;
}
