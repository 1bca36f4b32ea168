#include "scenario_file.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "world/run_stats.hpp"

namespace petrelrail::lab {
namespace {

using namespace world;

// Largest absolute value of an expectation's bound.

constexpr double kMaxExpectationBound = 1e9;

// Typed access to one table of the file. Each getter leaves its value unchanged where the key is
// absent, throws ScenarioError for a wrong type or a value out of bounds, and marks the key as
// used; finish() rejects the keys that no getter has used.
class Reader {
 public:
  Reader(const toml::table& table, std::string file, std::string path)
      : table_(table), file_(std::move(file)), path_(std::move(path)) {}

  bool has(const char* key) const { return table_.contains(key); }
  [[noreturn]] void fail(const char* key, const std::string& problem) const {
    const auto* node = table_.get(key);
    const auto line = (node != nullptr ? node->source() : table_.source()).begin.line;
    throw ScenarioError(file_ + ":" + std::to_string(line) + ": " +
                        (path_.empty() ? "" : path_ + ".") + key + ": " + problem);
  }
  template <class Number>
  void number(const char* key, Number& value, double min, double max) {
    const auto* node = use(key);
    if (node == nullptr) return;
    const auto x = node->value<double>();
    if (!x || node->is_boolean()) fail(key, "a number is wanted");
    if (std::is_integral_v<Number> && !node->is_integer()) fail(key, "a whole number is wanted");
    value = static_cast<Number>(check_bounds(key, *x, min, max));
  }
  // Reads a number, which becomes both bounds, or an array [least, most].
  void range(const char* key, Range& value, double min, double max) {
    const auto* node = use(key);
    if (node == nullptr) return;
    if (const auto* pair = node->as_array()) {
      if (pair->size() != 2 || !pair->get(0)->is_number() || !pair->get(1)->is_number())
        fail(key, "a number or [least, most] is wanted");
      value = {*pair->get(0)->value<double>(), *pair->get(1)->value<double>()};
      if (value.min > value.max) fail(key, "the first is above the second");
    } else if (node->is_number()) {
      value.min = value.max = *node->value<double>();
    } else {
      fail(key, "a number or [least, most] is wanted");
    }
    check_bounds(key, value.min, min, max), check_bounds(key, value.max, min, max);
  }
  void text(const char* key, std::string& value, std::initializer_list<std::string> allowed = {}) {
    const auto* node = use(key);
    if (node == nullptr) return;
    if (!node->is_string()) fail(key, "a text is wanted");
    value = *node->value<std::string>();
    if (allowed.size() == 0 || std::ranges::find(allowed, value) != allowed.end()) return;
    std::string list;
    for (const auto& a : allowed) list += (list.empty() ? "" : ", ") + ("\"" + a + "\"");
    fail(key, "one of " + list + " is wanted");
  }
  void boolean(const char* key, bool& value) {
    const auto* node = use(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) fail(key, "true or false is wanted");
    value = *node->value<bool>();
  }
  // Returns one string or an array of strings; empty where the key is absent.
  std::vector<std::string> texts(const char* key) {
    const auto* node = use(key);
    if (node == nullptr) return {};
    std::vector<std::string> strings;
    if (const auto* list = node->as_array()) {
      for (const auto& e : *list) {
        if (!e.is_string()) fail(key, "a list of texts is wanted");
        strings.push_back(*e.value<std::string>());
      }
    } else if (node->is_string()) {
      strings.push_back(*node->value<std::string>());
    } else {
      fail(key, "a text or a list of texts is wanted");
    }
    return strings;
  }
  std::optional<Reader> table(const char* key) {
    const auto* node = use(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) fail(key, "a table is wanted");
    return Reader(*node->as_table(), file_, path_.empty() ? key : path_ + "." + key);
  }
  std::vector<Reader> tables(const char* key) {
    const auto* node = use(key);
    if (node == nullptr) return {};
    std::vector<Reader> readers;
    if (!node->is_array()) fail(key, std::string("tables [[") + key + "]] are wanted");
    for (const auto& e : *node->as_array()) {
      if (!e.is_table()) fail(key, std::string("tables [[") + key + "]] are wanted");
      const auto index = "[" + std::to_string(readers.size()) + "]";
      readers.emplace_back(*e.as_table(), file_, (path_.empty() ? key : path_ + "." + key) + index);
    }
    return readers;
  }
  void finish() const {
    for (const auto& [key, node] : table_)
      if (!used_.contains(std::string(key.str())))
        fail(std::string(key.str()).c_str(), "there is no such key here");
  }

 private:
  // Marks the key as used; returns null where it is absent.
  const toml::node* use(const char* key) {
    used_.insert(key);
    return table_.get(key);
  }
  double check_bounds(const char* key, double x, double min, double max) const {
    std::ostringstream problem;
    problem << "it is from " << min << " to " << max;
    if (!std::isfinite(x) || x < min || x > max) fail(key, problem.str());
    return x;
  }

  const toml::table& table_;
  std::string file_, path_;
  std::set<std::string> used_;
};

void read(Reader r, FleetConfig& t) {
  r.number("nodes", t.nodes, 1, 2000);
  if (r.has("zones")) t.zones = r.texts("zones");
  if (t.zones.empty()) r.fail("zones", "at least one zone is wanted");
  if (std::set<std::string>(t.zones.begin(), t.zones.end()).size() != t.zones.size())
    r.fail("zones", "zone names must be unique");
  r.number("seconds", t.seconds, 1, 36000);
  r.number("start_s", t.start_s, 0, 60);
  r.number("term_s", t.term_s, 0.7, 60);
  r.number("memory_mb", t.memory_mb, 16, 4096);
  r.number("sockets", t.sockets, 128, 65536);
  r.text("members", t.members, {"off", "on", "pace"});
  r.finish();
}

void read(Reader r, NetworkConfig& t) {
  r.range("same_zone_ms", t.same_zone_ms, 0, 1000);
  r.range("cross_zone_ms", t.cross_zone_ms, 0, 1000);
  r.range("client_ms", t.client_ms, 0, 1000);
  r.finish();
}

void read(Reader r, ServerConfig& t) {
  r.number("count", t.count, 1, 5000);
  r.number("cores", t.cores, 0.1, 256);
  r.range("speed", t.speed, 0.01, 100);
  r.range("slots_per_core", t.slots_per_core, 0.25, 1000);
  r.range("queue_per_core", t.queue_per_core, 0, 10000);
  r.number("work_ms", t.work_ms, 0.01, 60000);
  r.number("work_cv", t.work_cv, 0, 10);
  r.number("attempt_noise", t.attempt_noise, 0, 10);
  r.number("thrash", t.thrash, 0, 10);
  r.number("thrash_at", t.thrash_at, 0.1, 1000);
  r.range("cold_from", t.cold_from, 0.01, 1);
  r.range("cold_s", t.cold_s, 0.1, 600);
  r.number("fall_multiple", t.fall_multiple, 0.1, 100);
  r.number("fall_s", t.fall_s, 0.05, 60);
  r.number("connections_per_core", t.connections_per_core, 0.25, 1e5);
  r.number("full_tax", t.full_tax, 0, 1);
  r.number("handshake_ms", t.handshake_ms, 0, 1000);
  r.number("handshake_trips", t.handshake_trips, 0, 20);
  r.number("idle_s", t.idle_s, 1, 3600);
  r.number("connect_timeout_ms", t.connect_timeout_ms, 1, 60000);
  r.number("error_rate", t.error_rate, 0, 1);
  r.number("drain_grace_s", t.drain_grace_s, 0, 60);
  r.number("drain_s", t.drain_s, 0, 600);
  r.boolean("drops_expired", t.drops_expired);
  r.number("cell_size", t.cell_size, 1, 1000);
  r.finish();
}

void read(Reader r, CounterConfig& t) {
  r.number("calls_per_s", t.calls_per_s, 1, 1e6);
  r.number("parts", t.parts, 1, 64);
  r.number("call_ms", t.call_ms, 0, 1000);
  r.number("line_ms", t.line_ms, 0, 60000);
  r.number("timeout_ms", t.timeout_ms, 1, 60000);
  r.number("price", t.price, 0, 1);
  r.text("zone", t.zone);
  r.finish();
}

void read(Reader r, DiscoveryConfig& t) {
  r.range("notice_s", t.notice_s, 0, 600);
  r.range("add_s", t.add_s, 0, 600);
  r.range("silent_notice_s", t.silent_notice_s, 0, 600);
  r.range("spread_ms", t.spread_ms, 0, 60000);
  r.number("told_s", t.told_s, 0.1, 600);
  r.finish();
}

void read(Reader r, PeerConfig& t) {
  r.range("delay_ms", t.delay_ms, 0, 10000);
  r.number("loss", t.loss, 0, 1);
  r.number("duplicate", t.duplicate, 0, 1);
  r.number("reorder", t.reorder, 0, 1);
  r.number("in_per_s", t.in_per_s, 0, 1e6);
  r.number("most_bytes", t.most_bytes, 1, 65507);
  r.finish();
}

void read(Reader r, CostConfig& t) {
  for (const auto& [key, value] : {std::pair("cross_zone", &t.cross_zone),
                                   {"handshake", &t.handshake},
                                   {"waste", &t.waste},
                                   {"late_fail", &t.late_fail},
                                   {"peer", &t.peer}})
    r.number(key, *value, 0, 1);
  r.finish();
}

PlanConfig read_plan(Reader r, std::size_t number) {
  PlanConfig t;
  t.name = "plan" + std::to_string(number);
  r.text("name", t.name);
  r.number("share", t.share, 0.001, 1000);
  r.number("rate", t.rate, 0.001, 1e6);
  r.number("burst_s", t.burst_s, 0.001, 3600);
  r.number("price", t.price, 0, 1000);
  r.number("over_worth", t.over_worth, 0, 1);
  r.number("over_cost", t.over_cost, 0, 10);
  r.range("spread", t.spread, 0, 1);
  r.number("open", t.open, 0, 1e6);
  r.number("ceiling", t.ceiling, 0, 1000);
  if (t.ceiling > 0 && t.ceiling < 1)
    r.fail("ceiling", "a multiple of the rate, 1 or more, or 0 for no ceiling, is wanted");
  r.finish();
  return t;
}

// Plans of a scenario that lists none: the operators' documented customer plans, each with the
// middle of its documented range.
std::vector<PlanConfig> default_plans() {
  return {{.name = "basic",
           .share = 0.31,
           .rate = 0.8,
           .burst_s = 4.4,
           .price = 0.8,
           .over_worth = 0.2,
           .over_cost = 0},
          {.name = "standard", .share = 0.33, .rate = 2.9, .burst_s = 4.7, .price = 1.2},
          {.name = "extended",
           .share = 0.36,
           .rate = 11,
           .burst_s = 1.9,
           .price = 1.4,
           .open = 2.6,
           .ceiling = 2}};
}

void read(Reader r, ClientConfig& t) {
  r.number("load", t.load, 0.001, 20);
  r.range("calm_use", t.calm_use, 0.001, 10);
  r.number("full", t.full, 0, 1);
  r.number("heavy", t.heavy, 0, 1);
  r.number("spiky", t.spiky, 0, 1);
  if (t.full + t.heavy + t.spiky > 1) r.fail("full", "the sum of full, heavy and spiky is above 1");
  r.range("heavy_x", t.heavy_x, 0.1, 100);
  r.range("spike_x", t.spike_x, 0.1, 100);
  r.range("spike_s", t.spike_s, 0.1, 600);
  r.range("spike_every_s", t.spike_every_s, 0.2, 3600);
  r.number("skew", t.skew, 0, 10);
  r.number("shift_s", t.shift_s, 0.1, 3600);
  r.number("retries", t.retries, 0, 20);
  r.number("try_share", t.try_share, 0.05, 1);
  r.range("backoff_ms", t.backoff_ms, 0, 60000);
  r.number("honour", t.honour, 0, 1);
  r.number("most_retry_after_ms", t.most_retry_after_ms, 0, 60000);
  r.range("notice_s", t.notice_s, 0, 60);
  r.number("aim_ms", t.aim_ms, 1, 600000);
  r.number("deadline_ms", t.deadline_ms, 1, 600000);
  if (t.aim_ms > t.deadline_ms) r.fail("aim_ms", "it is above deadline_ms");
  r.number("patience_ms", t.patience_ms, 0, 60000);
  r.text("effect", t.effect, {"safe", "keyed", "unsafe"});
  for (auto& p : r.tables("plan")) t.plans.push_back(read_plan(std::move(p), t.plans.size()));
  if (t.plans.empty()) t.plans = default_plans();
  r.finish();
}

// Parses the parties of a fault: "nodes", "nodes 3", "nodes 0-6", "70% of nodes" or "nodes in a",
// the same with "servers", or "counter", "discovery" or "clients".
Selector parse_selector(const Reader& r, const char* key, const std::string& text,
                        const Scenario& s) {
  const auto reject = [&](const std::string& problem) {
    r.fail(key, "\"" + text + "\": " + problem);
  };
  Selector selected;
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string w; stream >> w;) words.push_back(w);
  if (words.size() == 1 &&
      (words[0] == "counter" || words[0] == "discovery" || words[0] == "clients")) {
    selected.kind = words[0] == "counter"     ? Selector::Kind::counter
                    : words[0] == "discovery" ? Selector::Kind::discovery
                                              : Selector::Kind::clients;
    return selected;
  }
  const auto kind_of = [&](const std::string& w) {
    if (w != "nodes" && w != "servers")
      reject("nodes, servers, counter, discovery or clients are the parties");
    return w == "nodes" ? Selector::Kind::nodes : Selector::Kind::servers;
  };
  const auto parse_index = [&](std::string_view digits) {
    std::uint32_t n = 0;
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (failed != std::errc{} || end != digits.data() + digits.size())
      reject("a number, or two with a dash, is wanted");
    return n;
  };
  if (words.empty()) reject("a party is wanted");
  if (words.size() == 3 && words[0].ends_with('%') && words[1] == "of") {
    selected.kind = kind_of(words[2]), selected.pick = Selector::Pick::share;
    selected.share = parse_index(std::string_view(words[0]).substr(0, words[0].size() - 1)) / 100.0;
    if (selected.share > 1) reject("it is at most 100%");
    return selected;
  }
  selected.kind = kind_of(words[0]);
  const auto count = selected.kind == Selector::Kind::nodes ? s.fleet.nodes : s.servers.count;
  if (words.size() == 1) return selected;
  if (words.size() == 3 && words[1] == "in") {
    selected.pick = Selector::Pick::zone, selected.zone = words[2];
    if (std::ranges::find(s.fleet.zones, selected.zone) == s.fleet.zones.end())
      reject("there is no zone of that name");
    return selected;
  }
  if (words.size() != 2) reject("it is no selection of nodes or servers");
  selected.pick = Selector::Pick::range;
  const auto dash = words[1].find('-');
  selected.first = parse_index(std::string_view(words[1]).substr(0, dash));
  selected.last = dash == std::string::npos
                      ? selected.first
                      : parse_index(std::string_view(words[1]).substr(dash + 1));
  if (selected.first > selected.last) reject("the first is above the last");
  if (selected.last >= count)
    reject("there are only " + std::to_string(count) + " " + words[0] + ", from 0 on");
  return selected;
}

// Keys that a kind of fault requires and accepts in the file.

struct FaultKindKeys {
  FaultKind kind;
  const char* party;                    // allowed in `who`: "nodes", "servers", "any", "" (none)
  bool requires_duration;               // `for` must be given
  std::set<std::string> optional_keys;  // accepted beside kind, at and who
};
const FaultKindKeys& keys_of(FaultKind kind) {
  static const std::vector<FaultKindKeys> all{
      {FaultKind::kill, "nodes", false, {"for"}},
      {FaultKind::restart, "nodes", false, {"for"}},
      {FaultKind::stall, "nodes", true, {}},
      {FaultKind::reload, "nodes", false, {"max_attempts", "move"}},
      {FaultKind::upgrade, "nodes", false, {"for"}},
      {FaultKind::cut, "any", true, {"from", "way", "connects"}},
      {FaultKind::counter_slow, "", true, {"factor"}},
      {FaultKind::counter_silent, "", true, {"empty"}},
      {FaultKind::counter_refusing, "", true, {"empty"}},
      {FaultKind::counter_empty, "", false, {}},
      {FaultKind::counter_spoilt, "", true, {"share"}},
      {FaultKind::zone_lost, "", true, {"zone", "counter", "empty"}},
      {FaultKind::servers_bad, "servers", true, {"share"}},
      {FaultKind::servers_slow, "servers", true, {"factor"}},
      {FaultKind::servers_gone, "servers", false, {"for"}},
      {FaultKind::servers_replaced, "servers", true, {}},
      {FaultKind::answers_spoilt, "", true, {"share"}},
      {FaultKind::burst, "", true, {"factor"}},
      {FaultKind::list_late, "", true, {"delay"}},
      {FaultKind::list_wrong_zone, "servers", true, {}},
      {FaultKind::peers_lossy, "", true, {"share"}},
  };
  return *std::ranges::find(all, kind, &FaultKindKeys::kind);
}

Fault read_fault(Reader r, const Scenario& s) {
  Fault f;
  std::string kind;
  r.text("kind", kind);
  if (kind.empty()) r.fail("kind", "it is missing");
  const auto known = fault_kind(kind);
  if (!known) r.fail("kind", "there is no fault \"" + kind + "\"");
  f.kind = *known;
  const auto& keys = keys_of(f.kind);
  if (!r.has("at")) r.fail("at", "it is missing");
  r.number("at", f.at, 0, s.fleet.seconds);
  if (keys.requires_duration && !r.has("for")) r.fail("for", "it is missing");
  for (const char* key : {"from", "way", "connects", "factor", "share", "delay", "zone", "counter",
                          "empty", "move", "max_attempts"})
    if (r.has(key) && !keys.optional_keys.contains(key))
      r.fail(key, "the fault " + kind + " has none");
  if (r.has("for") && !keys.requires_duration && !keys.optional_keys.contains("for"))
    r.fail("for", "the fault " + kind + " has none");
  r.number("for", f.duration_s, 0.001, 36000);
  r.number("factor", f.factor, 0.01, 1000);
  r.number("share", f.share, 0, 1);
  r.number("delay", f.delay, 0, 600);
  r.number("max_attempts", f.max_attempts, 1, 20);
  r.boolean("counter", f.counter), r.boolean("empty", f.empty), r.boolean("move", f.move);
  r.text("way", f.way, {"both", "out", "in"});
  r.text("connects", f.connects, {"silent", "reset"});
  r.text("zone", f.zone);
  const std::string party = keys.party;
  const bool has_who = r.has("who");
  for (const auto& w : r.texts("who")) f.who.push_back(parse_selector(r, "who", w, s));
  for (const auto& w : r.texts("from")) f.from.push_back(parse_selector(r, "from", w, s));
  if (party.empty() && has_who) r.fail("who", "the fault " + kind + " takes no party");
  if (!party.empty() && f.who.empty()) r.fail("who", "it is missing");
  for (const auto& w : f.who)
    if ((party == "nodes" && w.kind != Selector::Kind::nodes) ||
        (party == "servers" && w.kind != Selector::Kind::servers))
      r.fail("who", "the fault " + kind + " hits " + party);
  if (f.kind == FaultKind::cut && f.from.empty()) r.fail("from", "it is missing");
  if (f.kind == FaultKind::reload && f.max_attempts == 0 && !f.move)
    r.fail("move", "max_attempts or move is wanted");
  if (f.kind == FaultKind::zone_lost &&
      std::ranges::find(s.fleet.zones, f.zone) == s.fleet.zones.end())
    r.fail("zone", "there is no zone of that name");
  r.finish();
  return f;
}

Expectation read_expectation(Reader r, const Scenario& s) {
  Expectation e;
  r.text("figure", e.figure);
  const auto names = RunStats::names();
  if (std::ranges::find(names, e.figure) == names.end())
    r.fail("figure", "there is no figure \"" + e.figure + "\"");
  double bound = 0;
  if (r.has("at_most"))
    r.number("at_most", bound, -kMaxExpectationBound, kMaxExpectationBound), e.at_most = bound;
  if (r.has("at_least"))
    r.number("at_least", bound, -kMaxExpectationBound, kMaxExpectationBound), e.at_least = bound;
  if (!e.at_most && !e.at_least) r.fail("at_most", "a bound is missing: at_most or at_least");
  r.number("from", e.from, 0, s.fleet.seconds);
  if (r.has("to")) r.number("to", bound, e.from, s.fleet.seconds), e.to = bound;
  r.finish();
  return e;
}

// Applies one override KEY=VALUE to the parsed file. A value that is no TOML is taken as a string.
void apply_override(toml::table& file, const std::string& set) {
  const auto equals = set.find('=');
  if (equals == std::string::npos || equals == 0)
    throw ScenarioError("--set " + set + ": KEY=VALUE is wanted");
  const auto key = set.substr(0, equals), value = set.substr(equals + 1);
  toml::table parsed;
  try {
    parsed = toml::parse("x = " + value);
  } catch (const toml::parse_error&) {
    parsed.insert("x", value);
  }
  toml::node* node = &file;
  std::istringstream path(key);
  std::vector<std::string> segments;
  for (std::string segment; std::getline(path, segment, '.');) segments.push_back(segment);
  for (std::size_t i = 0; i < segments.size(); ++i) {
    const bool is_last = i + 1 == segments.size();
    const auto reject = [&] {
      throw ScenarioError("--set " + set + ": no entry of the file is at " + key);
    };
    if (auto* list = node->as_array()) {
      std::size_t index = 0;
      const auto [end, failed] = std::from_chars(segments[i].data(),
                                                 segments[i].data() + segments[i].size(), index);
      if (failed != std::errc{} || end != segments[i].data() + segments[i].size() ||
          index >= list->size() || is_last)
        reject();
      node = list->get(index);
    } else if (auto* table = node->as_table()) {
      if (is_last) {
        parsed.get("x")->visit([&](auto&& n) { table->insert_or_assign(segments[i], n); });
      } else {
        if (!table->contains(segments[i])) table->insert(segments[i], toml::table{});
        node = table->get(segments[i]);
      }
    } else {
      reject();
    }
  }
}

}  // namespace

Scenario parse_scenario(std::string_view text, const std::string& path,
                        const std::vector<std::string>& sets) {
  toml::table file;
  try {
    file = toml::parse(text, path);
  } catch (const toml::parse_error& x) {
    throw ScenarioError(path + ":" + std::to_string(x.source().begin.line) + ": " +
                        std::string(x.description()));
  }
  for (const auto& s : sets) apply_override(file, s);
  Reader r(file, path, "");
  Scenario s;
  s.name = std::filesystem::path(path).stem().string();
  r.text("shows", s.shows);
  if (auto t = r.table("fleet")) read(std::move(*t), s.fleet);
  if (auto t = r.table("network")) read(std::move(*t), s.network);
  if (auto t = r.table("servers")) read(std::move(*t), s.servers);
  if (auto t = r.table("counter")) {
    auto counter = *t;
    read(std::move(*t), s.counter);
    if (!s.counter.zone.empty() &&
        std::ranges::find(s.fleet.zones, s.counter.zone) == s.fleet.zones.end())
      counter.fail("zone", "there is no zone of that name");
  }
  if (auto t = r.table("discovery")) read(std::move(*t), s.discovery);
  if (auto t = r.table("clients"))
    read(std::move(*t), s.clients);
  else
    s.clients.plans = default_plans();
  if (auto t = r.table("peers")) read(std::move(*t), s.peers);
  if (auto t = r.table("prices")) read(std::move(*t), s.prices);
  for (auto& t : r.tables("fault")) s.faults.push_back(read_fault(std::move(t), s));
  for (auto& t : r.tables("expect")) s.expectations.push_back(read_expectation(std::move(t), s));
  r.finish();
  return s;
}

Scenario read_scenario(const std::string& path, const std::vector<std::string>& sets) {
  std::ifstream file(path);
  if (!file) throw ScenarioError(path + ": it can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_scenario(text.str(), path, sets);
}

}  // namespace petrelrail::lab
