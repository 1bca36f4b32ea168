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
constexpr double kLongestStall = 0.15;  // STANDING, "What production adds"
constexpr double kFirstFault = 1;       // seconds after the clients begin
constexpr Range kTurnShare{0.05, 0.5};  // of the tries, under another plan
constexpr Range kLasts{0.5, 4}, kShare{0.1, 0.4}, kFactor{1.5, 4};
constexpr double kSecondsInHour = 3600;
constexpr double kNoticeSeconds = 1.5;   // until most drains are in the list
constexpr double kMinServedShare = 0.2;  // of the requests, or a play says too little

Selector share_of(Selector::Kind kind, double share) {
  Selector selector;
  selector.kind = kind, selector.pick = Selector::Pick::share, selector.share = share;
  return selector;
}

bool is_about_nodes(FaultKind kind) {
  return kind == FaultKind::kill || kind == FaultKind::restart || kind == FaultKind::stall ||
         kind == FaultKind::upgrade || kind == FaultKind::reload;
}
bool is_about_servers(FaultKind kind) {
  return kind == FaultKind::servers_bad || kind == FaultKind::servers_slow ||
         kind == FaultKind::servers_gone || kind == FaultKind::servers_replaced;
}

Fault draw_fault(Dice& dice, double seconds) {
  Fault f;
  f.kind = kFaults[dice.below(kFaults.size())];
  f.at = dice.between(kFirstFault, seconds * 3 / 4);
  f.lasts = f.kind == FaultKind::stall ? dice.between(0, kLongestStall) : dice.in(kLasts);
  f.share = dice.in(kShare), f.factor = dice.in(kFactor), f.delay = 1;
  if (is_about_nodes(f.kind)) f.who = {share_of(Selector::Kind::nodes, f.share)};
  if (is_about_servers(f.kind)) f.who = {share_of(Selector::Kind::servers, f.share)};
  if (f.kind == FaultKind::reload) f.move = dice.chance(0.5);
  return f;
}

void add_news_for_late_lists(std::vector<Fault>& faults) {
  std::vector<Fault> replacements;
  for (const auto& fault : faults) {
    if (fault.kind != FaultKind::list_late) continue;
    Fault replaced = fault;
    replaced.kind = FaultKind::servers_replaced;
    replaced.who = {share_of(Selector::Kind::servers, fault.share)};
    // Discovery notices some time after a server began to drain: while lists come late, that is.
    replaced.at = std::max(0.0, fault.at - kNoticeSeconds);
    replacements.push_back(replaced);
  }
  faults.insert(faults.end(), replacements.begin(), replacements.end());
}

WireTerms draw_wire(Dice& dice) {
  WireTerms w;
  w.long_answers = dice.between(0, 0.5), w.chunked = dice.between(0, 0.5),
  w.until_close = dice.between(0, 0.2);
  w.bytes_behind = dice.between(0, 0.1), w.pieces = dice.between(0, 0.5);
  return w;
}

SystemTerms draw_system(Dice& dice) {
  SystemTerms s;
  s.accept = dice.between(0, 0.05), s.connect = dice.between(0, 0.02),
  s.socket = dice.between(0, 0.01);
  s.poll = dice.between(0, 0.1), s.read = dice.between(0, 0.2), s.write = dice.between(0, 0.2);
  s.step_s = dice.chance(0.5) ? std::round(dice.between(-kSecondsInHour, kSecondsInHour)) : 0;
  return s;
}

void extend(Scenario& scenario, Dice dice) {
  auto& clients = scenario.clients;
  // No customer is at home under the last three: they are turned to.
  PlanTerms slots_only, both, capped;
  slots_only.name = "slots", slots_only.share = 0, slots_only.rate = 0, slots_only.open = 1;
  both.name = "both", both.share = 0, both.rate = 4, both.open = 2;
  capped.name = "capped", capped.share = 0, capped.rate = 6, capped.ceiling = 1.5;
  clients.plans.insert(clients.plans.end(), {slots_only, both, capped});
  clients.turn_share = dice.in(kTurnShare);
  clients.keeps_open = true;
  scenario.fleet.signal_series = dice.chance(0.5);
  Fault restart;
  restart.kind = FaultKind::restart;
  restart.at = dice.between(kFirstFault, scenario.fleet.seconds / 2);
  restart.lasts = dice.in(kLasts);
  restart.who = {share_of(Selector::Kind::nodes, dice.in(kShare))};
  scenario.faults.push_back(restart);
  add_news_for_late_lists(scenario.faults);
}

}  // namespace

Scenario soak_scenario(const SoakTerms& terms) {
  Dice dice = Dice(terms.seed).stream("soak");
  Scenario s;
  s.name = "soak-" + std::to_string(terms.seed);
  s.fleet.nodes = terms.nodes, s.fleet.seconds = terms.seconds;
  s.clients.effect = kEffects[dice.below(kEffects.size())];
  s.clients.deadline_ms = dice.between(1500, 6000), s.clients.aim_ms = s.clients.deadline_ms / 2;
  s.fleet.term_s = std::min(s.clients.deadline_ms / 1e3, 3.0) + 0.7;
  s.clients.leave_share = dice.between(0, 0.1);
  PlanTerms basic, extended;
  basic.name = "basic", basic.share = 0.6;
  extended.name = "extended", extended.share = 0.4, extended.rate = 8;
  s.clients.plans = {basic, extended};
  s.servers.error_rate = dice.between(0, 0.02);
  s.wire = draw_wire(dice);
  s.system = draw_system(dice);
  for (auto n = kMinFaults + dice.below(kMaxExtraFaults); n > 0; --n)
    s.faults.push_back(draw_fault(dice, terms.seconds));
  if (terms.extended) extend(s, dice.stream("extended"));
  std::ranges::sort(s.faults, {}, &Fault::at);
  return s;
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
