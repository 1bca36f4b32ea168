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

constexpr double kMuch = 1e9;

// One table of the file. Every key that is read is taken note of; finish() complains of the others.
class Reader {
 public:
  Reader(const toml::table& table, std::string file, std::string at)
      : table_(table), file_(std::move(file)), at_(std::move(at)) {}

  bool has(const char* key) const { return table_.contains(key); }
  [[noreturn]] void wrong(const char* key, const std::string& what) const {
    const auto* node = table_.get(key);
    const auto line = (node != nullptr ? node->source() : table_.source()).begin.line;
    throw ScenarioError(file_ + ":" + std::to_string(line) + ": " + (at_.empty() ? "" : at_ + ".") +
                        key + ": " + what);
  }
  template <class Number>
  void number(const char* key, Number& value, double least, double most) {
    const auto* node = take(key);
    if (node == nullptr) return;
    const auto x = node->value<double>();
    if (!x || node->is_boolean()) wrong(key, "a number is wanted");
    if (std::is_integral_v<Number> && !node->is_integer()) wrong(key, "a whole number is wanted");
    value = static_cast<Number>(bounded(key, *x, least, most));
  }
  // A number, or [least, most].
  void range(const char* key, Range& value, double least, double most) {
    const auto* node = take(key);
    if (node == nullptr) return;
    if (const auto* pair = node->as_array()) {
      if (pair->size() != 2 || !pair->get(0)->is_number() || !pair->get(1)->is_number())
        wrong(key, "a number or [least, most] is wanted");
      value = {*pair->get(0)->value<double>(), *pair->get(1)->value<double>()};
      if (value.min > value.max) wrong(key, "the first is above the second");
    } else if (node->is_number()) {
      value.min = value.max = *node->value<double>();
    } else {
      wrong(key, "a number or [least, most] is wanted");
    }
    bounded(key, value.min, least, most), bounded(key, value.max, least, most);
  }
  void text(const char* key, std::string& value, std::initializer_list<std::string> among = {}) {
    const auto* node = take(key);
    if (node == nullptr) return;
    if (!node->is_string()) wrong(key, "a text is wanted");
    value = *node->value<std::string>();
    if (among.size() == 0 || std::ranges::find(among, value) != among.end()) return;
    std::string list;
    for (const auto& a : among) list += (list.empty() ? "" : ", ") + ("\"" + a + "\"");
    wrong(key, "one of " + list + " is wanted");
  }
  void truth(const char* key, bool& value) {
    const auto* node = take(key);
    if (node == nullptr) return;
    if (!node->is_boolean()) wrong(key, "true or false is wanted");
    value = *node->value<bool>();
  }
  // A text or several.
  std::vector<std::string> texts(const char* key) {
    const auto* node = take(key);
    if (node == nullptr) return {};
    std::vector<std::string> found;
    if (const auto* list = node->as_array()) {
      for (const auto& e : *list) {
        if (!e.is_string()) wrong(key, "texts are wanted");
        found.push_back(*e.value<std::string>());
      }
    } else if (node->is_string()) {
      found.push_back(*node->value<std::string>());
    } else {
      wrong(key, "a text or a list of texts is wanted");
    }
    return found;
  }
  std::optional<Reader> table(const char* key) {
    const auto* node = take(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) wrong(key, "a table is wanted");
    return Reader(*node->as_table(), file_, at_.empty() ? key : at_ + "." + key);
  }
  std::vector<Reader> tables(const char* key) {
    const auto* node = take(key);
    if (node == nullptr) return {};
    std::vector<Reader> found;
    if (!node->is_array()) wrong(key, std::string("tables [[") + key + "]] are wanted");
    for (const auto& e : *node->as_array()) {
      if (!e.is_table()) wrong(key, std::string("tables [[") + key + "]] are wanted");
      const auto index = "[" + std::to_string(found.size()) + "]";
      found.emplace_back(*e.as_table(), file_, (at_.empty() ? key : at_ + "." + key) + index);
    }
    return found;
  }
  void finish() const {
    for (const auto& [key, node] : table_)
      if (!used_.contains(std::string(key.str())))
        wrong(std::string(key.str()).c_str(), "there is no such key here");
  }

 private:
  const toml::node* take(const char* key) {
    used_.insert(key);
    return table_.get(key);
  }
  double bounded(const char* key, double x, double least, double most) const {
    std::ostringstream says;
    says << "it is from " << least << " to " << most;
    if (!std::isfinite(x) || x < least || x > most) wrong(key, says.str());
    return x;
  }

  const toml::table& table_;
  std::string file_, at_;
  std::set<std::string> used_;
};

void read(Reader r, FleetConfig& t) {
  r.number("nodes", t.nodes, 1, 2000);
  if (r.has("zones")) t.zones = r.texts("zones");
  if (t.zones.empty()) r.wrong("zones", "at least one is wanted");
  if (std::set<std::string>(t.zones.begin(), t.zones.end()).size() != t.zones.size())
    r.wrong("zones", "each has a name of its own");
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
  r.truth("drops_expired", t.drops_expired);
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
    r.wrong("ceiling", "it is a multiple of the rate, 1 or more, or 0 for none");
  r.finish();
  return t;
}

// The plans of the site's pages, with the middle of each range.
std::vector<PlanConfig> usual_plans() {
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
  if (t.full + t.heavy + t.spiky > 1) r.wrong("full", "with heavy and spiky it is above 1");
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
  if (t.aim_ms > t.deadline_ms) r.wrong("aim_ms", "it is above deadline_ms");
  r.number("patience_ms", t.patience_ms, 0, 60000);
  r.text("effect", t.effect, {"safe", "keyed", "unsafe"});
  for (auto& p : r.tables("plan")) t.plans.push_back(read_plan(std::move(p), t.plans.size()));
  if (t.plans.empty()) t.plans = usual_plans();
  r.finish();
}

// "nodes", "nodes 3", "nodes 0-6", "70% of nodes", "nodes in a"; servers likewise; counter,
// discovery, clients.
Selector selector(const Reader& r, const char* key, const std::string& text, const Scenario& s) {
  const auto no = [&](const std::string& what) { r.wrong(key, "\"" + text + "\": " + what); };
  Selector found;
  std::istringstream words(text);
  std::vector<std::string> word;
  for (std::string w; words >> w;) word.push_back(w);
  if (word.size() == 1 &&
      (word[0] == "counter" || word[0] == "discovery" || word[0] == "clients")) {
    found.kind = word[0] == "counter"     ? Selector::Kind::counter
                 : word[0] == "discovery" ? Selector::Kind::discovery
                                          : Selector::Kind::clients;
    return found;
  }
  const auto kind_of = [&](const std::string& w) {
    if (w != "nodes" && w != "servers")
      no("nodes, servers, counter, discovery or clients are the parties");
    return w == "nodes" ? Selector::Kind::nodes : Selector::Kind::servers;
  };
  const auto natural = [&](std::string_view digits) {
    std::uint32_t n = 0;
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (failed != std::errc{} || end != digits.data() + digits.size())
      no("a number, or two with a dash, is wanted");
    return n;
  };
  if (word.empty()) no("whom?");
  if (word.size() == 3 && word[0].ends_with('%') && word[1] == "of") {
    found.kind = kind_of(word[2]), found.pick = Selector::Pick::share;
    found.share = natural(std::string_view(word[0]).substr(0, word[0].size() - 1)) / 100.0;
    if (found.share > 1) no("it is at most 100%");
    return found;
  }
  found.kind = kind_of(word[0]);
  const auto of = found.kind == Selector::Kind::nodes ? s.fleet.nodes : s.servers.count;
  if (word.size() == 1) return found;
  if (word.size() == 3 && word[1] == "in") {
    found.pick = Selector::Pick::zone, found.zone = word[2];
    if (std::ranges::find(s.fleet.zones, found.zone) == s.fleet.zones.end())
      no("there is no zone of that name");
    return found;
  }
  if (word.size() != 2) no("it can't be read");
  found.pick = Selector::Pick::range;
  const auto dash = word[1].find('-');
  found.first = natural(std::string_view(word[1]).substr(0, dash));
  found.last = dash == std::string::npos ? found.first
                                         : natural(std::string_view(word[1]).substr(dash + 1));
  if (found.first > found.last) no("the first is above the last");
  if (found.last >= of) no("there are only " + std::to_string(of) + " " + word[0] + ", from 0 on");
  return found;
}

struct KindTerms {
  FaultKind kind;
  const char* who;                // "nodes", "servers", "any" or "": takes none
  bool lasts;                     // `for` is wanted
  std::set<std::string> figures;  // that it takes
};
const KindTerms& terms_of(FaultKind kind) {
  static const std::vector<KindTerms> all{
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
  return *std::ranges::find(all, kind, &KindTerms::kind);
}

Fault read_fault(Reader r, const Scenario& s) {
  Fault f;
  std::string kind;
  r.text("kind", kind);
  if (kind.empty()) r.wrong("kind", "it is missing");
  const auto known = fault_kind(kind);
  if (!known) r.wrong("kind", "there is no fault \"" + kind + "\"");
  f.kind = *known;
  const auto& terms = terms_of(f.kind);
  if (!r.has("at")) r.wrong("at", "it is missing");
  r.number("at", f.at, 0, s.fleet.seconds);
  if (terms.lasts && !r.has("for")) r.wrong("for", "it is missing");
  for (const char* key : {"from", "way", "connects", "factor", "share", "delay", "zone", "counter",
                          "empty", "move", "max_attempts"})
    if (r.has(key) && !terms.figures.contains(key)) r.wrong(key, "the fault " + kind + " has none");
  if (r.has("for") && !terms.lasts && !terms.figures.contains("for"))
    r.wrong("for", "the fault " + kind + " has none");
  r.number("for", f.duration_s, 0.001, 36000);
  r.number("factor", f.factor, 0.01, 1000);
  r.number("share", f.share, 0, 1);
  r.number("delay", f.delay, 0, 600);
  r.number("max_attempts", f.max_attempts, 1, 20);
  r.truth("counter", f.counter), r.truth("empty", f.empty), r.truth("move", f.move);
  r.text("way", f.way, {"both", "out", "in"});
  r.text("connects", f.connects, {"silent", "reset"});
  r.text("zone", f.zone);
  const std::string who = terms.who;
  const bool named = r.has("who");
  for (const auto& w : r.texts("who")) f.who.push_back(selector(r, "who", w, s));
  for (const auto& w : r.texts("from")) f.from.push_back(selector(r, "from", w, s));
  if (who.empty() && named) r.wrong("who", "the fault " + kind + " hits no party by name");
  if (!who.empty() && f.who.empty()) r.wrong("who", "it is missing");
  for (const auto& w : f.who)
    if ((who == "nodes" && w.kind != Selector::Kind::nodes) ||
        (who == "servers" && w.kind != Selector::Kind::servers))
      r.wrong("who", "the fault " + kind + " hits " + who);
  if (f.kind == FaultKind::cut && f.from.empty()) r.wrong("from", "it is missing");
  if (f.kind == FaultKind::reload && f.max_attempts == 0 && !f.move)
    r.wrong("move", "nothing is to change");
  if (f.kind == FaultKind::zone_lost &&
      std::ranges::find(s.fleet.zones, f.zone) == s.fleet.zones.end())
    r.wrong("zone", "there is no zone of that name");
  r.finish();
  return f;
}

Expectation read_expectation(Reader r, const Scenario& s) {
  Expectation e;
  r.text("figure", e.figure);
  const auto names = RunStats::names();
  if (std::ranges::find(names, e.figure) == names.end())
    r.wrong("figure", "there is no figure \"" + e.figure + "\"");
  double bound = 0;
  if (r.has("at_most")) r.number("at_most", bound, -kMuch, kMuch), e.at_most = bound;
  if (r.has("at_least")) r.number("at_least", bound, -kMuch, kMuch), e.at_least = bound;
  if (!e.at_most && !e.at_least) r.wrong("at_most", "a bound is missing: at_most or at_least");
  r.number("from", e.from, 0, s.fleet.seconds);
  if (r.has("to")) r.number("to", bound, e.from, s.fleet.seconds), e.to = bound;
  r.finish();
  return e;
}

// KEY=VALUE, laid over the file.
void lay(toml::table& file, const std::string& set) {
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
  toml::node* at = &file;
  std::istringstream path(key);
  std::vector<std::string> steps;
  for (std::string step; std::getline(path, step, '.');) steps.push_back(step);
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const bool last = i + 1 == steps.size();
    const auto no = [&] { throw ScenarioError("--set " + set + ": there is no place " + key); };
    if (auto* list = at->as_array()) {
      std::size_t index = 0;
      const auto [end, failed] = std::from_chars(steps[i].data(), steps[i].data() + steps[i].size(),
                                                 index);
      if (failed != std::errc{} || end != steps[i].data() + steps[i].size() ||
          index >= list->size() || last)
        no();
      at = list->get(index);
    } else if (auto* table = at->as_table()) {
      if (last) {
        parsed.get("x")->visit([&](auto&& n) { table->insert_or_assign(steps[i], n); });
      } else {
        if (!table->contains(steps[i])) table->insert(steps[i], toml::table{});
        at = table->get(steps[i]);
      }
    } else {
      no();
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
  for (const auto& s : sets) lay(file, s);
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
      counter.wrong("zone", "there is no zone of that name");
  }
  if (auto t = r.table("discovery")) read(std::move(*t), s.discovery);
  if (auto t = r.table("clients"))
    read(std::move(*t), s.clients);
  else
    s.clients.plans = usual_plans();
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
