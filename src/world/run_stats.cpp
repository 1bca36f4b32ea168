#include "run_stats.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "common/time_math.hpp"
#include "configuration.hpp"

namespace petrelrail::world {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Count::number_of)> kCountNames{
    "asked",       "tries",          "served",       "refused", "failed",
    "unreachable", "lost",           "late",         "beyond",  "attempts",
    "cross_zone",  "handshakes",     "no_connect",   "calls",   "calls_mute",
    "datagrams",   "datagram_bytes", "datagrams_in", "breaches"};

constexpr double kMinLatencyMs = 1, kMaxLatencyMs = 60000;
constexpr unsigned kLatencyBins = 220;  // bins about 5% wide

double share(double part, double all) { return all > 0 ? part / all : 0; }

// Weights of the goal, and the length of the windows that worst_window() compares, in seconds.
constexpr double kWholeSpanWeight = 0.5, kWorstWindowWeight = 0.25, kWorstPlanWeight = 0.25,
                 kWindowS = 10;

std::pair<double, double>& plan_of(RunStats::Counts& c, std::uint32_t plan) {
  if (c.plans.size() <= plan) c.plans.resize(plan + 1);
  return c.plans[plan];
}

}  // namespace

const char* name_of(Count c) { return kCountNames[static_cast<std::size_t>(c)]; }

RunStats::Counts& RunStats::Counts::operator+=(const Counts& other) {
  for (std::size_t i = 0; i < n.size(); ++i) n[i] += other.n[i];
  plans.resize(std::max(plans.size(), other.plans.size()));
  for (std::size_t i = 0; i < other.plans.size(); ++i)
    plans[i].first += other.plans[i].first, plans[i].second += other.plans[i].second;
  earned += other.earned, offered += other.offered, over_price += other.over_price;
  late_worth += other.late_worth, work_s += other.work_s, useful_s += other.useful_s;
  received_bytes += other.received_bytes;
  return *this;
}

RunStats::RunStats(const Scenario& scenario, Time begin)
    : scenario_(scenario),
      plans_(plans_of(scenario)),
      begin_(begin),
      by_second_(static_cast<std::size_t>(std::ceil(scenario.fleet.seconds)) + 1),
      nodes_(scenario.fleet.nodes),
      latency_(by_second_.size(),
               boost::histogram::make_histogram(Axis(kLatencyBins, kMinLatencyMs, kMaxLatencyMs))) {
}

std::size_t RunStats::index(Time at) const {
  const double s = seconds(at - begin_);
  return std::min(by_second_.size() - 1, static_cast<std::size_t>(std::max(0.0, s)));
}

void RunStats::add(Time at, std::uint32_t node, Count c, std::uint64_t n) {
  second(at)[c] += n;
  if (node < nodes_.size()) nodes_[node][c] += n;
}

// Computes which requests a single gateway would admit that received every first client attempt.
void RunStats::asked(Time now, const ClientAttemptSent& s) {
  add(now, s.node, Count::asked);
  if (s.plan >= plans_.size()) return;
  const auto& p = plans_[s.plan];
  auto [it, fresh] = buckets_.try_emplace({s.customer, s.plan}, TokenBucket{p.burst, now});
  auto& bucket = it->second;
  if (!fresh) bucket = {std::min(p.burst, bucket.tokens + p.rate * seconds(now - bucket.at)), now};
  const bool fits = p.rate <= 0 || bucket.tokens >= s.units;
  if (fits) bucket.tokens -= s.units;
  const double worth = p.price * s.units * (fits ? 1 : p.over_quota_weight);
  second(now).offered += worth;
  requests_[s.id].worth = worth;
  if (fits) plan_of(second(now), s.plan).second += worth;
  if (s.node < nodes_.size()) nodes_[s.node].offered += worth;
}

void RunStats::served(Time now, OpenAttempt& r, bool within_quota) {
  auto& root = requests_[r.root];
  if (std::exchange(root.served, true)) return;
  second(r.asked).useful_s += r.processed_s;
  if (std::exchange(root.late_unserved, false)) second(r.asked).late_worth -= root.worth;
  const double ms = seconds(now - r.asked) * 1e3;
  const bool late = ms > scenario_.clients.aim_ms;
  // Counted in the second of the first client attempt, so that shares are right for a span.
  add(r.asked, r.node, Count::served);
  latency_[index(r.asked)](std::max(ms, kMinLatencyMs));
  if (late) add(r.asked, r.node, Count::late);
  if (late || r.plan >= plans_.size()) return;
  const auto& p = plans_[r.plan];
  const double worth = p.price * r.units * (within_quota ? 1 : p.over_quota_weight);
  second(r.asked).earned += worth;
  if (within_quota) plan_of(second(r.asked), r.plan).first += worth;
  if (r.node < nodes_.size()) nodes_[r.node].earned += worth;
}

// Called when a client attempt ended unserved. Past the latency target of its request the value of
// the request is lost.
void RunStats::unserved(Time now, const OpenAttempt& r) {
  auto& root = requests_[r.root];
  if (root.served || seconds(now - r.asked) * 1e3 <= scenario_.clients.aim_ms) return;
  if (!std::exchange(root.late_unserved, true)) second(r.asked).late_worth += root.worth;
}

void RunStats::observe(Time now, const Observation& s, const InvariantChecker& checker) {
  if (const auto* e = std::get_if<ClientAttemptSent>(&s)) {
    if (e->id == e->root) asked(now, *e);
    add(now, e->node, Count::tries);
    open_[e->id] = {e->node, e->plan, e->units, e->first_sent, now, e->root};
    return;
  }
  const auto request = [&](ClientAttemptId id) -> OpenAttempt* {
    const auto it = open_.find(id);
    return it == open_.end() || it->second.ended ? nullptr : &it->second;
  };
  const auto end = [&](ClientAttemptId id, Count c) {
    if (auto* r = request(id)) add(r->sent, r->node, c), r->ended = true, unserved(now, *r);
  };
  if (const auto* a = std::get_if<ClientAttemptAnswered>(&s)) {
    auto* r = request(a->id);
    if (r == nullptr) return;
    r->ended = true;
    if (a->verdict == Verdict::served && a->genuine)
      return served(now, *r, checker.is_within_quota(a->id));
    add(r->sent, r->node, a->verdict == Verdict::refused ? Count::refused : Count::failed);
    unserved(now, *r);
  } else if (const auto* b = std::get_if<ClientAttemptBroken>(&s)) {
    end(b->id, Count::failed);
  } else if (const auto* u = std::get_if<ClientAttemptUnreachable>(&s)) {
    end(u->id, Count::unreachable);
  } else if (const auto* l = std::get_if<ClientAttemptAbandoned>(&s)) {
    if (!l->early && request(l->id) != nullptr && now > request(l->id)->sent)
      add(request(l->id)->sent, request(l->id)->node, Count::lost);
    end(l->id, Count::failed);
  } else if (const auto* t = std::get_if<AttemptArrived>(&s)) {
    add(now, t->node, Count::attempts);
    if (t->cross_zone) add(now, t->node, Count::cross_zone);
    running_[t->attempt] = {t->id, t->work_s};
    auto* r = request(t->id);
    if (r == nullptr || std::exchange(r->forwarded, true) || checker.is_within_quota(t->id)) return;
    add(now, t->node, Count::beyond);
    if (r->plan < plans_.size())
      second(now).over_price += plans_[r->plan].over_quota_cost * plans_[r->plan].price * r->units;
  } else if (const auto* over = std::get_if<AttemptCompleted>(&s)) {
    const auto run = running_.extract(over->attempt);
    if (run.empty() || over->never_ran) return;
    const auto it = open_.find(run.mapped().id);
    second(it == open_.end() ? now : it->second.asked).work_s += run.mapped().work_s;
    if (it != open_.end()) it->second.processed_s = run.mapped().work_s;
  } else if (const auto* h = std::get_if<Handshake>(&s)) {
    add(now, h->node, h->up ? Count::handshakes : Count::no_connect);
  } else if (const auto* c = std::get_if<CounterCalled>(&s)) {
    add(now, c->node, Count::calls);
    if (!c->answered) add(now, c->node, Count::calls_mute);
  } else if (const auto* d = std::get_if<Datagram>(&s)) {
    add(now, d->from, Count::datagrams);
    add(now, d->from, Count::datagram_bytes, d->bytes);
    if (!d->received) return;
    add(now, d->to, Count::datagrams_in);
    second(now).received_bytes += d->bytes;
    auto& [at, n] = received_by_node_[d->to];
    if (at != index(now)) at = index(now), n = 0;
    max_received_ = std::max(max_received_, ++n);
  } else if (const auto* use = std::get_if<ResourceUsage>(&s)) {
    auto& last = usage_[use->node];
    if (use->cpu_s < last.cpu_s)
      previous_usage_[use->node].cpu_s += last.cpu_s;  // the process was restarted
    last.cpu_s = use->cpu_s;
    last.memory_mb = std::max(last.memory_mb, use->memory_mb);
  }
}

RunStats::Counts RunStats::total() const {
  return std::accumulate(by_second_.begin(), by_second_.end(), Counts{},
                         [](Counts a, const Counts& b) { return a += b; });
}

std::vector<RunStats::Counts> RunStats::zones() const {
  std::vector<Counts> zones(scenario_.fleet.zones.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) zones[i % zones.size()] += nodes_[i];
  return zones;
}

RunStats::ResourceTotal RunStats::resource_usage() const {
  ResourceTotal all;
  for (const auto& [node, s] : usage_) {
    all.cpu_s += s.cpu_s;
    all.memory_mb = std::max(all.memory_mb, s.memory_mb);
  }
  for (const auto& [node, s] : previous_usage_) all.cpu_s += s.cpu_s;
  return all;
}

RunStats::Histogram RunStats::merged(double from, double to) const {
  auto all = boost::histogram::make_histogram(Axis(kLatencyBins, kMinLatencyMs, kMaxLatencyMs));
  for (std::size_t i = 0; i < latency_.size(); ++i)
    if (static_cast<double>(i) >= std::floor(from) && static_cast<double>(i) < to)
      all += latency_[i];
  return all;
}

double RunStats::latency_ms(double part, double from, double to) const {
  const auto all = merged(from, to);
  const double n = boost::histogram::algorithm::sum(all);
  double cumulative = 0;
  for (const auto& bin : boost::histogram::indexed(all)) {
    cumulative += static_cast<double>(*bin);
    if (n > 0 && cumulative >= part * n) return bin.bin().center();
  }
  return 0;
}

std::vector<std::string> RunStats::names() {
  std::vector<std::string> names(kCountNames.begin(), kCountNames.end());
  for (const char* n : {"served_share",
                        "refused_share",
                        "failed_share",
                        "late_share",
                        "beyond_share",
                        "worth",
                        "worst_window",
                        "g",
                        "p50_ms",
                        "p90_ms",
                        "p99_ms",
                        "calls_per_s",
                        "calls_per_try",
                        "calls_mute_share",
                        "handshakes_per_try",
                        "attempts_per_try",
                        "bytes_per_try",
                        "most_datagrams_in",
                        "views_agreed",
                        "cpu_us_per_try",
                        "memory_mb"})
    names.emplace_back(n);
  for (const auto& [name, points] : RunStats(Scenario{}, Time{}).costs(0, 0))
    names.emplace_back(name);
  return names;
}

RunStats::Counts RunStats::span(double from, double to) const {
  Counts c;
  for (std::size_t i = 0; i < by_second_.size(); ++i) {
    const bool after = i + 1 == by_second_.size() &&
                       to >= scenario_.fleet.seconds;  // client attempts open at the end
    if (static_cast<double>(i) >= std::floor(from) && (after || static_cast<double>(i) < to))
      c += by_second_[i];
  }
  return c;
}

double RunStats::worst_window(double from, double to) const {
  double worst = share(span(from, to).earned, span(from, to).offered);
  for (double at = std::floor(from); at + kWindowS <= to; ++at) {
    const auto c = span(at, at + kWindowS);
    worst = std::min(worst, share(c.earned, c.offered));
  }
  return worst;
}

double RunStats::goal(double from, double to) const {
  const auto c = span(from, to);
  double worst_plan = 1;
  for (const auto& [earned, offered] : c.plans)
    if (offered > 0) worst_plan = std::min(worst_plan, earned / offered);
  double goal = kWholeSpanWeight * share(c.earned, c.offered) +
                kWorstWindowWeight * worst_window(from, to) + kWorstPlanWeight * worst_plan;
  for (const auto& [name, points] : costs(from, to)) goal -= points;
  return goal;
}

std::vector<std::pair<const char*, double>> RunStats::costs(double from, double to) const {
  const auto c = span(from, to);
  const auto& p = scenario_.prices;
  const auto asked = static_cast<double>(c[Count::asked]);
  const auto each = [&](Count x) { return share(static_cast<double>(c[x]), asked); };
  const double wasted = std::max(0.0, c.work_s - c.useful_s);
  return {{"cost_beyond", share(c.over_price, c.offered)},
          {"cost_calls", scenario_.counter.price * each(Count::calls)},
          {"cost_cross_zone", p.cross_zone * each(Count::cross_zone)},
          {"cost_handshakes", p.handshake * each(Count::handshakes)},
          {"cost_waste", p.waste * share(wasted, asked * scenario_.servers.work_ms / 1e3)},
          {"cost_late", p.late_fail * share(c.late_worth, c.offered)},
          {"cost_peers", p.peer * share(c.received_bytes, asked * scenario_.peers.most_bytes)}};
}

std::optional<double> RunStats::value(const std::string& name, double from, double to) const {
  const Counts c = span(from, to);
  const auto n = [&](Count x) { return static_cast<double>(c[x]); };
  for (std::size_t i = 0; i < kCountNames.size(); ++i)
    if (name == kCountNames[i]) return static_cast<double>(c.n[i]);
  const double worth = share(c.earned, c.offered);
  if (name == "served_share") return share(n(Count::served), n(Count::asked));
  if (name == "refused_share") return share(n(Count::refused), n(Count::tries));
  if (name == "failed_share")
    return share(n(Count::failed) + n(Count::unreachable), n(Count::tries));
  if (name == "late_share") return share(n(Count::late), n(Count::served));
  if (name == "beyond_share") return share(n(Count::beyond), n(Count::attempts));
  if (name == "worth") return worth;
  if (name == "g") return goal(from, to);
  if (name == "worst_window") return worst_window(from, to);
  if (name == "p50_ms") return latency_ms(0.5, from, to);
  if (name == "p90_ms") return latency_ms(0.9, from, to);
  if (name == "p99_ms") return latency_ms(0.99, from, to);
  if (name == "calls_per_s") return share(n(Count::calls), to - from);
  if (name == "calls_per_try") return share(n(Count::calls), n(Count::tries));
  if (name == "calls_mute_share") return share(n(Count::calls_mute), n(Count::calls));
  if (name == "handshakes_per_try") return share(n(Count::handshakes), n(Count::tries));
  if (name == "attempts_per_try") return share(n(Count::attempts), n(Count::tries));
  if (name == "bytes_per_try") return share(n(Count::datagram_bytes), n(Count::asked));
  if (name == "views_agreed") return views_agreed_;
  if (name == "most_datagrams_in") return static_cast<double>(max_received_);
  if (name == "cpu_us_per_try")
    return 1e6 * share(resource_usage().cpu_s, static_cast<double>(total()[Count::tries]));
  if (name == "memory_mb") return resource_usage().memory_mb;
  for (const auto& [cost, points] : costs(from, to))
    if (name == cost) return points;
  return std::nullopt;
}

}  // namespace petrelrail::world
