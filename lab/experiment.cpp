#include "experiment.hpp"

#include <cmath>
#include <cstdio>

#include "common/time_math.hpp"
#include "world/configuration.hpp"
#include "world/simulated_runtime.hpp"

namespace petrelrail::lab {
namespace {

using namespace std::chrono_literals;
using namespace world;
using nlohmann::json;

// Start of simulated time: arbitrary, but fixed, so that runs are reproducible.
constexpr Time kModelStart{Duration(1'700'000'000'000'000'000)};
constexpr Duration kProgressInterval = 500ms, kStep = 50ms;
// Limit for the nodes' views to agree after the clients have ended.
constexpr Duration kMaxViewAgreementTime = 60s;

std::string hex(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

json counts_json(const RunStats::Counts& c) {
  json j;
  for (std::size_t i = 0; i < c.n.size(); ++i) j[name_of(static_cast<Count>(i))] = c.n[i];
  j["earned"] = std::round(c.earned * 1e6) / 1e6, j["offered"] = std::round(c.offered * 1e6) / 1e6;
  return j;
}

std::string number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", x);
  return text;
}

// Visitor that writes the fields of a record as JSON into `e`, for events.jsonl.
struct EventWriter {
  json& e;
  void set_request_event(const char* name, ClientAttemptId id) const {
    e["event"] = name, e["id"] = hex(static_cast<std::uint64_t>(id));
  }
  void operator()(const ClientAttemptSent& s) const {
    set_request_event("sent", s.id);
    e["node"] = s.node, e["customer"] = hex(static_cast<std::uint64_t>(s.customer)),
    e["plan"] = s.plan;
    if (s.id != s.root) e["retry_of"] = hex(static_cast<std::uint64_t>(s.root));
  }
  void operator()(const ClientAttemptReceived& s) const { set_request_event("taken", s.id); }
  void operator()(const ClientAttemptAnswered& s) const {
    set_request_event(s.verdict == Verdict::served    ? "served"
                      : s.verdict == Verdict::refused ? "refused"
                                                      : "failed",
                      s.id);
    if (!s.genuine) e["genuine"] = false;
  }
  void operator()(const ClientAttemptBroken& s) const { set_request_event("broken", s.id); }
  void operator()(const ClientAttemptUnreachable& s) const {
    set_request_event("unreachable", s.id);
  }
  void operator()(const ClientAttemptAbandoned& s) const { set_request_event("left", s.id); }
  void operator()(const NodeUp& s) const { e["event"] = "node up", e["node"] = s.node; }
  void operator()(const NodeDown& s) const {
    e["event"] = s.crashed ? "node crashed" : "node down", e["node"] = s.node;
  }
  void operator()(const ServerAnnounced& s) const {
    static constexpr const char* phases[] = {"ready", "draining", "gone"};
    e["event"] = "told", e["node"] = s.node, e["server"] = static_cast<std::uint32_t>(s.server);
    e["phase"] = phases[static_cast<std::size_t>(s.phase)];
  }
  void operator()(const ServerStarted& s) const {
    e["event"] = "server started", e["server"] = static_cast<std::uint32_t>(s.server),
    e["zone"] = s.zone;
  }
  void operator()(const ServerOverloadedCold& s) const {
    e["event"] = "server fell", e["server"] = static_cast<std::uint32_t>(s.server),
    e["told_share"] = s.informed_share;
  }
  void operator()(const Handshake& s) const {
    e["event"] = s.up ? "handshake" : "no connection", e["node"] = s.node;
    e["server"] = static_cast<std::uint32_t>(s.server);
  }
  void operator()(const AttemptArrived& s) const {
    set_request_event("arrived", s.id);
    e["node"] = s.node, e["server"] = static_cast<std::uint32_t>(s.server),
    e["attempt"] = s.attempt;
  }
  void operator()(const AttemptCompleted& s) const {
    set_request_event("attempt over", s.id);
    e["attempt"] = s.attempt, e["never_ran"] = s.never_ran;
  }
  void operator()(const CounterCalled& s) const {
    e["event"] = "call", e["node"] = s.node, e["answered"] = s.answered,
    e["ms"] = seconds(s.response_delay) * 1e3;
  }
  void operator()(const CounterReset&) const { e["event"] = "counter lost its numbers"; }
  void operator()(const Datagram& s) const {
    e["event"] = "datagram", e["node"] = s.from, e["to"] = s.to, e["bytes"] = s.bytes,
    e["taken"] = s.received;
  }
  void operator()(const FaultStarted& s) const { e["event"] = "fault", e["what"] = s.text; }
  void operator()(const FaultEnded& s) const { e["event"] = "fault ended", e["what"] = s.text; }
  void operator()(const ResourceUsage& s) const {
    e["event"] = "usage", e["node"] = s.node, e["cpu_s"] = s.cpu_s, e["memory_mb"] = s.memory_mb;
  }
};

// Returns true for records that are rare enough to be written without --trace.
bool always_written(const Observation& s) {
  return std::holds_alternative<NodeUp>(s) || std::holds_alternative<NodeDown>(s) ||
         std::holds_alternative<ServerStarted>(s) ||
         std::holds_alternative<ServerOverloadedCold>(s) ||
         std::holds_alternative<CounterReset>(s) || std::holds_alternative<FaultStarted>(s) ||
         std::holds_alternative<FaultEnded>(s);
}

}  // namespace

int RunResult::status() const {
  if (!crash.empty()) return 3;
  return unmet_expectations.empty() && violations.empty() && void_reason.empty() && !stopped ? 0
                                                                                             : 1;
}

Recorder::Recorder(const Options& options, Time begin)
    : options_(options),
      begin_(begin),
      rules_(invariant_config(options.scenario)),
      figures_(options.scenario, begin) {
  if (!options.out) return;
  std::filesystem::create_directories(*options.out);
  events_.emplace(*options.out / "events.jsonl");
  if (!*events_)
    throw std::runtime_error((*options.out / "events.jsonl").string() + " can't be written");
  logs_.resize(options.scenario.fleet.nodes);
}

void Recorder::set_clients_start(Time at) {
  begin_ = at;
  figures_ = RunStats(options_.scenario, at);
}

void Recorder::write_event(Time now, json e) {
  if (!events_) return;
  json line = {{"t", std::round(seconds(now - begin_) * 1e6) / 1e6}};
  line.update(e);
  *events_ << line.dump() << '\n';
}

void Recorder::write(Time now, const Observation& s) {
  if (!events_ || !(options_.trace || always_written(s))) return;
  json e;
  std::visit(EventWriter{e}, s);
  write_event(now, std::move(e));
}

void Recorder::record(Time now, const Observation& s) {
  write(now, s);
  rules_.observe(now, s);
  figures_.observe(now, s, rules_);
  if (now - last_check_time_ > 250ms) rules_.check_expired(now), last_check_time_ = now;
  for (; reported_violations_ < rules_.violations().size(); ++reported_violations_) {
    const auto& b = rules_.violations()[reported_violations_];
    figures_.record_violation(b.at);
    write_event(b.at, {{"event", "rule broken"}, {"rule", b.rule}, {"what", b.description}});
  }
}

void Recorder::log(Time now, std::uint32_t node, const std::string& text) {
  if (!options_.out || node >= logs_.size()) return;
  auto& log = logs_[node];
  if (!log)
    log = std::make_unique<std::ofstream>(*options_.out /
                                          ("node-" + std::to_string(node) + ".log"));
  *log << number(seconds(now - begin_)) << ' ' << text << '\n';
}

RunResult Recorder::finish(Time now, const json& lab_json, bool stopped) {
  rules_.check_expired(stopped ? now : now + 1h);
  for (; reported_violations_ < rules_.violations().size(); ++reported_violations_)
    figures_.record_violation(rules_.violations()[reported_violations_].at);
  RunResult result;
  const double duration_s = options_.scenario.fleet.seconds;
  for (const auto& b : rules_.violations())
    result.violations.push_back("rule broken at " + number(seconds(b.at - begin_)) +
                                " s: " + b.rule + ": " + b.description);
  json expectations = json::array();
  for (const auto& e : options_.scenario.expectations) {
    const double to = e.to.value_or(duration_s);
    const double value = figures_.value(e.figure, e.from, to).value_or(0);
    const bool holds = (!e.at_most || value <= *e.at_most) && (!e.at_least || value >= *e.at_least);
    std::string text = e.figure;
    if (e.from > 0 || e.to) text += " from " + number(e.from) + " to " + number(to) + " s";
    text += " is " + number(value);
    if (e.at_least) text += ", at least " + number(*e.at_least);
    if (e.at_most) text += ", at most " + number(*e.at_most);
    expectations.push_back({{"text", text}, {"holds", holds}});
    if (!holds) result.unmet_expectations.push_back("expectation not met: " + text);
  }
  auto& j = result.figures;
  j["scenario"] = options_.scenario.name, j["shows"] = options_.scenario.shows;
  j["carrier"] = options_.processes ? "processes" : "model";
  j["nodes"] = options_.scenario.fleet.nodes, j["servers"] = options_.scenario.servers.count;
  j["seed"] = options_.seed, j["seconds"] = duration_s;
  for (const auto& name : RunStats::names())
    j["figures"][name] = figures_.value(name, 0, duration_s).value_or(0);
  j["rules"] = result.violations, j["expectations"] = expectations, j["lab"] = lab_json;
  j["by_second"] = json::array(), j["by_node"] = json::array(), j["by_zone"] = json::array();
  for (std::size_t i = 0; i + 1 < figures_.by_second().size(); ++i) {
    auto second = counts_json(figures_.by_second()[i]);
    second["p50_ms"] = figures_.latency_ms(0.5, static_cast<double>(i), static_cast<double>(i + 1));
    second["p99_ms"] = figures_.latency_ms(0.99, static_cast<double>(i),
                                           static_cast<double>(i + 1));
    j["by_second"].push_back(std::move(second));
  }
  for (const auto& n : figures_.nodes()) j["by_node"].push_back(counts_json(n));
  for (const auto& z : figures_.zones()) j["by_zone"].push_back(counts_json(z));
  j["faults"] = json::array();
  for (const auto& f : options_.scenario.faults)
    j["faults"].push_back({{"at", f.at}, {"for", f.duration_s}, {"what", text_of(f)}});
  if (options_.out) {
    std::ofstream file(*options_.out / "figures.json");
    file << j.dump(1) << '\n';
    if (!file.flush())
      throw std::runtime_error((*options_.out / "figures.json").string() + " can't be written");
  }
  return result;
}

RunResult run_scenario(const Options& options) {
  return options.processes ? run_on_processes(options) : run_on_model(options);
}

std::vector<FaultEffect> fault_effects_of(const Simulation& world) {
  std::vector<FaultEffect> effects;
  const auto& faults = world.scenario().faults;
  effects.reserve(faults.size());
  for (std::size_t i = 0; i < faults.size(); ++i)
    effects.push_back({text_of(faults[i]), world.fault_effects()[i]});
  return effects;
}

RunResult run_on_model(const Options& options) {
  EventQueue agenda(kModelStart);
  Recorder recorder(options, kModelStart);
  SimulatedRuntime model(options.scenario, options.seed, agenda,
                         [&](Time now, std::uint32_t node, const std::string& text) {
                           recorder.log(now, node, text);
                         });
  Simulation world(options.scenario, options.seed, agenda, model,
                   [&](Time now, const Observation& s) { recorder.record(now, s); });
  model.attach(world);
  world.begin(30s);
  Time progress_time{};
  bool began = false, stopped = false;
  while (agenda.next_time() && !stopped) {
    agenda.run_until(std::max(*agenda.next_time(), agenda.now() + kStep));
    if (!began && world.clients_began()) began = true, recorder.set_clients_start(world.began_at());
    if (agenda.now() - progress_time >= kProgressInterval) {
      progress_time = agenda.now();
      options.progress(began ? seconds(agenda.now() - world.began_at()) : 0, recorder.figures());
      stopped = options.should_stop();
    }
    if (began && (world.is_over() || agenda.now() > world.ends_at())) break;
  }
  const Time end = agenda.now();
  while (model.views_agreed() < 1 && agenda.now() < end + kMaxViewAgreementTime && !stopped)
    agenda.run_until(agenda.now() + kStep);
  recorder.set_view_agreement(model.views_agreed());
  auto result = recorder.finish(agenda.now(),
                                {{"views_after_s", seconds(agenda.now() - end)},
                                 {"simulated_s", seconds(agenda.now() - kModelStart)}},
                                stopped);
  result.stopped = stopped;
  result.fault_effects = fault_effects_of(world);
  return result;
}

}  // namespace petrelrail::lab
