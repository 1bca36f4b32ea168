#include "soak.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace petrelrail::lab {
namespace {

using namespace world;

constexpr std::array kFaults{
    FaultKind::kill,           FaultKind::restart,        FaultKind::stall,
    FaultKind::upgrade,        FaultKind::reload,         FaultKind::counter_slow,
    FaultKind::counter_silent, FaultKind::counter_spoilt, FaultKind::servers_bad,
    FaultKind::servers_slow,   FaultKind::servers_gone,   FaultKind::servers_replaced,
    FaultKind::answers_spoilt, FaultKind::burst,          FaultKind::list_late};
constexpr std::array kEffects{"safe", "keyed", "unsafe"};
constexpr std::uint64_t kMinFaults = 4, kMaxExtraFaults = 5;
constexpr double kMaxStallSeconds = 0.15;     // STANDING, "What production adds"
constexpr double kFirstFaultSeconds = 1;      // after the clients begin
constexpr Range kPlanChangeShare{0.05, 0.5};  // of the client attempts, sent under another plan
constexpr Range kFaultSeconds{0.5, 4}, kAffectedShare{0.1, 0.4}, kFaultFactor{1.5, 4};
constexpr double kSecondsInHour = 3600;
constexpr double kDrainNoticeSeconds = 1.5;  // until most drains are in discovery's list
constexpr std::uint64_t kMinMemoryMb = 32;   // TERMS, "Resources"
constexpr double kMinServedShare = 0.2;      // of the requests; a run below it is void

Selector share_of(Selector::Kind kind, double share) {
  Selector selector;
  selector.kind = kind, selector.pick = Selector::Pick::share, selector.share = share;
  return selector;
}

bool affects_nodes(FaultKind kind) {
  return kind == FaultKind::kill || kind == FaultKind::restart || kind == FaultKind::stall ||
         kind == FaultKind::upgrade || kind == FaultKind::reload;
}
bool affects_servers(FaultKind kind) {
  return kind == FaultKind::servers_bad || kind == FaultKind::servers_slow ||
         kind == FaultKind::servers_gone || kind == FaultKind::servers_replaced;
}

Fault draw_fault(RandomStreams& dice, double seconds) {
  Fault fault;
  fault.kind = kFaults[dice.below(kFaults.size())];
  fault.at = dice.between(kFirstFaultSeconds, seconds * 3 / 4);
  fault.duration_s = fault.kind == FaultKind::stall ? dice.between(0, kMaxStallSeconds)
                                                    : dice.in(kFaultSeconds);
  fault.share = dice.in(kAffectedShare), fault.factor = dice.in(kFaultFactor), fault.delay = 1;
  if (affects_nodes(fault.kind)) fault.who = {share_of(Selector::Kind::nodes, fault.share)};
  if (affects_servers(fault.kind)) fault.who = {share_of(Selector::Kind::servers, fault.share)};
  if (fault.kind == FaultKind::reload) fault.move = dice.chance(0.5);
  return fault;
}

void add_replacements_during_late_lists(std::vector<Fault>& faults) {
  std::vector<Fault> replacements;
  for (const auto& fault : faults) {
    if (fault.kind != FaultKind::list_late) continue;
    Fault replaced = fault;
    replaced.kind = FaultKind::servers_replaced;
    replaced.who = {share_of(Selector::Kind::servers, fault.share)};
    // Starts early, so that discovery notices the drains while its lists are late.
    replaced.at = std::max(0.0, fault.at - kDrainNoticeSeconds);
    replacements.push_back(replaced);
  }
  faults.insert(faults.end(), replacements.begin(), replacements.end());
}

ResponseDeliveryConfig draw_wire(RandomStreams& dice) {
  ResponseDeliveryConfig wire;
  wire.long_responses = dice.between(0, 0.5), wire.chunked = dice.between(0, 0.5),
  wire.until_close = dice.between(0, 0.2);
  wire.trailing_bytes = dice.between(0, 0.1), wire.fragmented = dice.between(0, 0.5);
  return wire;
}

SystemFaultConfig draw_system(RandomStreams& dice) {
  SystemFaultConfig system;
  system.accept = dice.between(0, 0.05), system.connect = dice.between(0, 0.02),
  system.socket = dice.between(0, 0.01);
  system.poll = dice.between(0, 0.1), system.read = dice.between(0, 0.2),
  system.write = dice.between(0, 0.2);
  system.step_s = dice.chance(0.5) ? std::round(dice.between(-kSecondsInHour, kSecondsInHour)) : 0;
  return system;
}

void extend(Scenario& scenario, RandomStreams dice) {
  auto& clients = scenario.clients;
  // No customer starts under these three plans (share 0): customers change to them.
  PlanConfig slots_only, both, capped;
  slots_only.name = "slots", slots_only.share = 0, slots_only.rate = 0, slots_only.open = 1;
  both.name = "both", both.share = 0, both.rate = 4, both.open = 2;
  capped.name = "capped", capped.share = 0, capped.rate = 6, capped.ceiling = 1.5;
  clients.plans.insert(clients.plans.end(), {slots_only, both, capped});
  clients.plan_switch_share = dice.in(kPlanChangeShare);
  clients.reuses_draining_connections = true;
  scenario.fleet.signal_series = dice.chance(0.5);
  Fault restart;
  restart.kind = FaultKind::restart;
  restart.at = dice.between(kFirstFaultSeconds, scenario.fleet.seconds / 2);
  restart.duration_s = dice.in(kFaultSeconds);
  restart.who = {share_of(Selector::Kind::nodes, dice.in(kAffectedShare))};
  scenario.faults.push_back(restart);
  add_replacements_during_late_lists(scenario.faults);
}

}  // namespace

Scenario soak_scenario(const SoakConfig& config) {
  RandomStreams dice = RandomStreams(config.seed).stream("soak");
  Scenario scenario;
  scenario.name = "soak-" + std::to_string(config.seed);
  scenario.fleet.nodes = config.nodes, scenario.fleet.seconds = config.seconds;
  scenario.clients.effect = kEffects[dice.below(kEffects.size())];
  scenario.clients.deadline_ms = dice.between(1500, 6000),
  scenario.clients.aim_ms = scenario.clients.deadline_ms / 2;
  scenario.fleet.term_s = std::min(scenario.clients.deadline_ms / 1e3, 3.0) + 0.7;
  scenario.clients.early_disconnect_share = dice.between(0, 0.1);
  PlanConfig basic, extended;
  basic.name = "basic", basic.share = 0.6;
  extended.name = "extended", extended.share = 0.4, extended.rate = 8;
  scenario.clients.plans = {basic, extended};
  scenario.servers.error_rate = dice.between(0, 0.02);
  scenario.wire = draw_wire(dice);
  scenario.system = draw_system(dice);
  for (auto n = kMinFaults + dice.below(kMaxExtraFaults); n > 0; --n)
    scenario.faults.push_back(draw_fault(dice, config.seconds));
  if (config.extended) extend(scenario, dice.stream("extended"));
  if (config.crowd_per_node > 0) {
    scenario.clients.crowd_per_node = config.crowd_per_node;
    scenario.fleet.memory_mb = kMinMemoryMb;
  }
  std::ranges::sort(scenario.faults, {}, &Fault::at);
  return scenario;
}

std::vector<std::string> soak_void_reasons(const RunResult& played) {
  std::vector<std::string> reasons;
  if (played.stopped) reasons.push_back("it was stopped before its end");
  if (!played.void_reason.empty()) reasons.push_back(played.void_reason);
  const double served = played.figures.at("figures").at("served_share").get<double>();
  if (served < kMinServedShare)
    reasons.push_back("served " + std::to_string(served) + " of what was asked, " +
                      std::to_string(kMinServedShare) + " at least wanted");
  for (const auto& effect : played.fault_effects)
    if (effect.affected == 0) reasons.push_back("a fault touched nothing: " + effect.fault);
  return reasons;
}

std::vector<std::string> soak_findings(const RunResult& played) {
  auto findings = played.violations;
  if (!played.crash.empty()) findings.push_back(played.crash);
  findings.insert(findings.end(), played.node_violations.begin(), played.node_violations.end());
  return findings;
}

}  // namespace petrelrail::lab
