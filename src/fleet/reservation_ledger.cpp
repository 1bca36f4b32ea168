#include "reservation_ledger.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace petrelrail::fleet {
namespace {

// A shortage of servers is assumed to last at least this long.
constexpr Minutes kMinShortageDuration{15};
constexpr std::chrono::days kRetention{1};  // of a reservation's record after its last window
constexpr std::uint32_t kPermille = 1000;
constexpr Minutes kDay{1440};

std::chrono::sys_time<Duration> to_unix(Time now) {
  return std::chrono::sys_time<Duration>(now.time_since_epoch());
}
Minute minute_of(Time now) { return std::chrono::floor<Minutes>(to_unix(now)); }
Minute minute_of(std::chrono::sys_seconds t) { return std::chrono::floor<Minutes>(t); }
auto decision_order(const Reservation& reservation) {
  return std::pair(reservation.decision_time, reservation.id);
}
const Window* window_at(const std::vector<Window>& all, Minute t) {
  const auto next = std::ranges::upper_bound(all, t, {}, &Window::from);
  return next != all.begin() && std::prev(next)->to > t ? &*std::prev(next) : nullptr;
}

}  // namespace

Rate CapacitySchedule::reservable_rate(std::uint32_t servers_available) const {
  return {static_cast<std::int64_t>(servers_available) * rate_per_server.milliunits *
          reservable_permille / kPermille};
}
void validate(const LedgerConfig& config) {
  const auto require = [](bool condition, const char* message) {
    if (!condition) throw std::invalid_argument(message);
  };
  constexpr std::uint32_t max_servers = 1'000'000;  // so that no sum overflows
  require(config.capacity.servers <= max_servers, "servers of the tier must be at most 1,000,000");
  require(config.capacity.rate_per_server.milliunits >= 0 &&
              config.capacity.rate_per_server.milliunits <= kMaxRateMilliunits,
          "units per second of a server must be from 0 to 1,000,000");
  require(config.capacity.reservable_permille <= kPermille, "share must be from 0 to 1");
  for (const auto& o : config.capacity.planned_outages)
    require(o.from < o.to, "a planned outage must end after it begins");
  for (const auto& [customer, quota] : config.quotas)
    require(quota.milliunits >= 0, "a customer's quota must not be negative");
  require(config.idle_timeout > Minutes{0} && config.max_clock_difference >= Duration{0} &&
              config.max_clock_difference < Minutes{1},
          "idle must be above 0, and the clocks must differ by less than a minute");
}

ReservationLedger::ReservationLedger(LedgerConfig config, Resolver resolve)
    : resolve_(std::move(resolve)) {
  set_config(std::move(config));
}
void ReservationLedger::set_config(LedgerConfig config) {
  validate(config);
  config_ = std::move(config);
  const auto& s = config_.capacity;
  if (usable_servers_ && *usable_servers_ >= s.servers) usable_servers_.reset();
  // Where outages overlap, the one that leaves the fewest servers applies.
  std::set<Minute> edges;
  for (const auto& o : s.planned_outages) edges.insert({o.from, o.to});
  planned_reduction_ = {};
  for (auto e = edges.begin(); e != edges.end() && std::next(e) != edges.end(); ++e) {
    auto available = s.servers;
    for (const auto& o : s.planned_outages)
      if (o.from <= *e && *e < o.to) available = std::min(available, o.servers);
    if (available < s.servers)
      planned_reduction_.add(
          {*e, *std::next(e), s.reservable_rate(s.servers) - s.reservable_rate(available)});
  }
}
void ReservationLedger::set_usable_servers(Time now, std::uint32_t servers) {
  if (servers >= config_.capacity.servers) return usable_servers_.reset();
  if (!usable_servers_) shortage_start_time_ = now;
  usable_servers_ = servers;
}

Rate ReservationLedger::quota_of(CustomerId customer) const {
  const auto found = config_.quotas.find(customer);
  return found == config_.quotas.end() ? Rate{} : found->second;
}
StepFunction::Segment ReservationLedger::capacity_at(Time now, Minute t) const {
  auto segment = planned_reduction_.at(t);
  segment.rate = config_.capacity.reservable_rate(config_.capacity.servers) - segment.rate;
  if (!usable_servers_) return segment;
  const auto shortage_end = std::chrono::ceil<Minutes>(
      to_unix(now) + std::max<Duration>(kMinShortageDuration, now - shortage_start_time_));
  if (t >= shortage_end) return segment;
  return {std::min(segment.rate, config_.capacity.reservable_rate(*usable_servers_)),
          std::min(segment.to, shortage_end)};
}
// Calls `visit` for each segment of a window with its begin, its end, the rate still available, and
// whether the quota rather than the tier limits it. Stops when `visit` returns true.
template <class Visit>
void ReservationLedger::for_each_segment(Time now, CustomerId customer, const Window& w,
                                         const Visit& visit) const {
  static const StepFunction none;
  const auto found = reserved_by_customer_.find(customer);
  auto all_reserved = reserved_.cursor(w.from),
       customer_reserved = (found == reserved_by_customer_.end() ? none : found->second)
                               .cursor(w.from);
  auto capacity = capacity_at(now, w.from);
  for (auto t = w.from; t < w.to;) {
    if (capacity.to <= t) capacity = capacity_at(now, t);
    const auto reserved = all_reserved.at(t), own = customer_reserved.at(t);
    const auto tier_rate = capacity.rate - reserved.rate,
               quota_rate = quota_of(customer) - own.rate;
    const auto next = std::min({capacity.to, reserved.to, own.to});
    if (visit(t, next, std::min(tier_rate, quota_rate), quota_rate < tier_rate)) return;
    t = next;
  }
}
std::optional<ReservationLedger::Conflict> ReservationLedger::find_conflict(
    Time now, CustomerId customer, const std::vector<Window>& windows) const {
  std::optional<Conflict> out;
  for (const auto& w : windows) {
    for_each_segment(now, customer, w, [&](Minute t, Minute next, Rate available, bool by_quota) {
      if (available < w.rate) out = Conflict{by_quota, t, next, w};
      return out.has_value();
    });
    if (out) break;
  }
  return out;
}

// Finds the smallest shift of the start time, in the given direction (1 or -1), at which all
// windows fit. A conflict gives the distance to the next start worth checking; days that had a
// conflict are checked first, as they are likely to have one again.
std::optional<Minutes> ReservationLedger::find_shift(Time now, const Reservation& reservation,
                                                     const ResolvedReservation& resolved,
                                                     int direction) const {
  constexpr std::size_t max_checked_first = 16;
  const auto since = minute_of(reservation.decision_time);
  const auto start_of = [&](const ResolvedReservation::Day& d, Minutes shift) {
    return resolved.offsets.to_utc(std::chrono::local_time<Minutes>(
        d.date.time_since_epoch() + reservation.request.start_time + shift));
  };
  const auto count_begun = [&](Minutes shift) {  // windows that begin before `since`
    std::size_t n = 0;
    for (const auto& d : resolved.days) {
      if (d.date > since + 2 * kDay) break;
      n += start_of(d, shift) < since;
    }
    return n;
  };
  const auto begun_unshifted = count_begun(Minutes{0});
  std::vector<ResolvedReservation::Day> checked_first;
  ResolvedReservation single_day{{}, resolved.offsets, resolved.offsets_fingerprint};
  for (Minutes shift{direction}; reservation.request.start_time + shift >= Minutes{0} &&
                                 reservation.request.start_time + shift < kDay;) {
    if (direction < 0 && count_begun(shift) > begun_unshifted) return {};
    std::optional<Conflict> conflict;
    for (std::size_t i = 0; i < checked_first.size() && !conflict; ++i) {
      single_day.days.assign(1, checked_first[i]);
      conflict = find_conflict(now, reservation.request.customer,
                               compute_windows(reservation.request, single_day, shift, since));
      if (conflict)
        std::rotate(checked_first.begin(), checked_first.begin() + static_cast<std::ptrdiff_t>(i),
                    checked_first.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    }
    if (!conflict) {
      const auto windows = compute_windows(reservation.request, resolved, shift, since);
      if (windows.empty()) return {};
      conflict = find_conflict(now, reservation.request.customer, windows);
      if (!conflict) return shift;
      for (const auto& d : resolved.days) {
        const auto from = start_of(d, shift);
        if (from > conflict->from || from + reservation.request.window_length <= conflict->from)
          continue;
        checked_first.insert(checked_first.begin(), d);
        if (checked_first.size() > max_checked_first) checked_first.pop_back();
        break;
      }
    }
    // A window moves with its start time unless the UTC offset changes nearby.
    auto jump = direction > 0 ? conflict->to - conflict->window.from
                              : conflict->window.to - conflict->from;
    if (conflict->to == Minute::max() ||
        resolved.offsets.has_change_between(conflict->window.from - kDay,
                                            conflict->window.to + kDay))
      jump = Minutes{1};
    shift += direction * std::clamp(jump, Minutes{1}, kDay);
  }
  return {};
}
ReservationRejection ReservationLedger::make_rejection(Time now, const Reservation& reservation,
                                                       const ResolvedReservation& resolved,
                                                       const Conflict& conflict) const {
  ReservationRejection out{conflict.by_quota, conflict.from, {kMaxRateMilliunits}, {}};
  const auto since = minute_of(reservation.decision_time);
  for (const auto& w : compute_windows(reservation.request, resolved, Minutes{0}, since))
    for_each_segment(
        now, reservation.request.customer, w, [&](Minute, Minute, Rate available, bool) {
          out.available_rate = std::min(out.available_rate, std::max(available, Rate{}));
          return false;
        });
  if (reservation.request.rate > quota_of(reservation.request.customer) ||
      reservation.request.rate > config_.capacity.reservable_rate(config_.capacity.servers))
    return out;
  const auto later = find_shift(now, reservation, resolved, 1),
             earlier = find_shift(now, reservation, resolved, -1);
  if (!later && !earlier) return out;
  const auto shift = later && (!earlier || *later <= -*earlier) ? *later : *earlier;
  out.nearest_start = {reservation.request.start_time + shift,
                       compute_windows(reservation.request, resolved, shift, since).front().from};
  return out;
}

ReservationLedger::Entry ReservationLedger::make_entry(Reservation reservation,
                                                       const ResolvedReservation& resolved,
                                                       bool set_fingerprints) {
  Entry entry;
  entry.windows = compute_windows(reservation.request, resolved, Minutes{0},
                                  minute_of(reservation.decision_time));
  if (set_fingerprints)
    reservation.windows_fingerprint = fingerprint_of(entry.windows),
    reservation.offsets_fingerprint = resolved.offsets_fingerprint;
  entry.is_mismatched = reservation.windows_fingerprint != fingerprint_of(entry.windows);
  entry.reservation = std::move(reservation);
  const auto end = entry.windows.empty() ? minute_of(entry.reservation.decision_time)
                                         : entry.windows.back().to;
  entry.expiry_unix_s = static_cast<std::uint32_t>(
      std::chrono::sys_seconds(end + kRetention).time_since_epoch().count());
  return entry;
}
void ReservationLedger::add_windows(const Entry& entry, bool subtract) {
  for (const auto& w : entry.windows)
    reserved_.add(w, subtract),
        reserved_by_customer_[entry.reservation.request.customer].add(w, subtract);
}
void ReservationLedger::insert_entry(Entry entry) {
  remove_entry(entry.reservation.id);
  add_windows(entry, false);
  cancelled_.erase(entry.reservation.id);
  entries_.insert_or_assign(entry.reservation.id, std::move(entry));
}
void ReservationLedger::remove_entry(ReservationId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  add_windows(found->second, true);
  entries_.erase(found);
}
bool ReservationLedger::has_unresolved() const {
  return std::ranges::any_of(entries_,
                             [](const auto& entry) { return entry.second.is_unresolved; });
}

// Decides on a reservation. An entry with the same ID is left out of the totals while the new one
// is checked.
LedgerResult ReservationLedger::decide(Time now, Reservation reservation) {
  reservation.decision_time = std::chrono::floor<std::chrono::seconds>(to_unix(now));
  const auto today = std::chrono::floor<std::chrono::days>(reservation.decision_time);
  if (!reservation.request.until) reservation.request.until = today + kReservationHorizon;
  if (*reservation.request.until > today + kReservationHorizon)
    throw std::invalid_argument("until must be at most 400 days from today");
  if (reservation.request.from < today - kReservationHorizon ||
      reservation.request.from > *reservation.request.until)
    throw std::invalid_argument(
        "from must be at most 400 days before and after today, and not after until");
  encode(reservation);  // throws if the record value is too long
  const auto resolved = resolve_(reservation.request);
  auto entry = make_entry(std::move(reservation), resolved, true);
  if (entry.windows.empty())
    throw std::invalid_argument("no window remains before the end of " +
                                format_date(*entry.reservation.request.until));
  const auto id = entry.reservation.id;
  if (has_unresolved()) return {LedgerResult::Outcome::unresolved, id};
  const auto previous = entries_.find(id);
  if (previous != entries_.end()) add_windows(previous->second, true);
  const auto conflict = find_conflict(now, entry.reservation.request.customer, entry.windows);
  LedgerResult out{conflict ? LedgerResult::Outcome::rejected : LedgerResult::Outcome::accepted,
                   id,
                   entry.windows.front().from,
                   *entry.reservation.request.until,
                   {}};
  if (conflict) out.rejection = make_rejection(now, entry.reservation, resolved, *conflict);
  if (previous != entries_.end()) add_windows(previous->second, false);
  if (!conflict) insert_entry(std::move(entry));
  return out;
}
LedgerResult ReservationLedger::reserve(Time now, std::string_view key,
                                        const ReservationRequest& request) {
  validate(request);
  if (!config_.quotas.contains(request.customer))
    throw std::invalid_argument("customer has no quota for reservations");
  Reservation reservation{
      make_reservation_id(request.customer, key), request, {}, hash_content(request), 0, 0};
  if (cancelled_.contains(reservation.id))
    return {LedgerResult::Outcome::cancelled, reservation.id};
  if (const auto* existing = find(reservation.id)) {
    const auto& windows = entries_.at(reservation.id).windows;
    if (existing->content_hash != reservation.content_hash ||
        existing->request.customer != request.customer)
      return {LedgerResult::Outcome::content_mismatch, reservation.id};
    return {LedgerResult::Outcome::duplicate,
            reservation.id,
            windows.empty() ? Minute{} : windows.front().from,
            *existing->request.until,
            {}};
  }
  if (entries_.size() >= config_.max_reservations)
    return {LedgerResult::Outcome::full, reservation.id};
  return decide(now, std::move(reservation));
}
LedgerResult ReservationLedger::modify(Time now, ReservationId id,
                                       const ReservationRequest& request) {
  validate(request);
  if (cancelled_.contains(id)) return {LedgerResult::Outcome::cancelled, id};
  const auto found = entries_.find(id);
  if (found == entries_.end()) return {LedgerResult::Outcome::unknown, id};
  const auto old = found->second.reservation;
  if (request.customer != old.request.customer)
    throw std::invalid_argument("the customer of a reservation can't be changed");
  auto comparable = request;
  if (!comparable.until) comparable.until = old.request.until;
  const auto is_unchanged = comparable == old.request;
  const auto is_reduction = comparable.rate <= old.request.rate &&
                            comparable.month_end_rate <= old.request.month_end_rate;
  comparable.rate = old.request.rate, comparable.month_end_rate = old.request.month_end_rate;
  auto reservation = old;
  reservation.request = request;
  if (comparable != old.request || !is_reduction || found->second.is_unresolved)
    return decide(now, std::move(reservation));
  reservation.request.until = old.request.until;
  const auto& windows = found->second.windows;
  const auto first = windows.empty() ? Minute{} : windows.front().from;
  if (!is_unchanged) {
    const auto resolved = resolve_(reservation.request);
    insert_entry(make_entry(std::move(reservation), resolved, !found->second.is_mismatched));
  }
  return {is_unchanged ? LedgerResult::Outcome::duplicate : LedgerResult::Outcome::accepted,
          id,
          first,
          *old.request.until,
          {}};
}
LedgerResult ReservationLedger::cancel(Time, ReservationId id) {
  if (cancelled_.contains(id)) return {LedgerResult::Outcome::duplicate, id};
  const auto found = entries_.find(id);
  if (found == entries_.end()) return {LedgerResult::Outcome::unknown, id};
  cancelled_[id] = found->second.expiry_unix_s;
  remove_entry(id);
  return {LedgerResult::Outcome::accepted, id};
}
LedgerResult ReservationLedger::reevaluate(Time now, ReservationId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return {LedgerResult::Outcome::unknown, id};
  if (found->second.is_unresolved) return {LedgerResult::Outcome::unresolved, id};
  if (!found->second.is_mismatched) return {LedgerResult::Outcome::duplicate, id};
  const auto resolved = resolve_(found->second.reservation.request);
  auto entry = make_entry(found->second.reservation, resolved, true);
  add_windows(found->second, true);
  const bool does_fit = !find_conflict(now, entry.reservation.request.customer, entry.windows);
  add_windows(found->second, false);
  if (!does_fit) {
    auto redecided = found->second.reservation;
    redecided.decision_time = std::chrono::floor<std::chrono::seconds>(to_unix(now));
    entry = make_entry(std::move(redecided), resolved, true);
  }
  const auto first = entry.windows.empty() ? Minute{} : entry.windows.front().from;
  const auto until = *entry.reservation.request.until;
  insert_entry(std::move(entry));
  return {LedgerResult::Outcome::accepted, id, first, until, {}};
}

std::optional<std::string> ReservationLedger::record_value(ReservationId id) const {
  const auto* reservation = find(id);
  return reservation ? std::optional(encode(*reservation)) : std::nullopt;
}
std::uint32_t ReservationLedger::record_expiry_unix_s(ReservationId id) const {
  const auto found = entries_.find(id);
  if (found != entries_.end()) return found->second.expiry_unix_s;
  const auto cancelled = cancelled_.find(id);
  return cancelled == cancelled_.end() ? 0 : cancelled->second;
}
void ReservationLedger::apply_record(ReservationId id, const Record* record) {
  if (!record) return remove_entry(id), void(cancelled_.erase(id));
  if (record->deleted) return remove_entry(id), void(cancelled_[id] = record->expiry_unix_s);
  auto reservation = decode_reservation(id, record->value);
  Entry entry;
  try {
    entry = make_entry(reservation, resolve_(reservation.request), false);
  } catch (const std::invalid_argument&) {  // unknown time zone or calendar on this node
    entry.reservation = std::move(reservation), entry.is_mismatched = entry.is_unresolved = true;
  }
  entry.expiry_unix_s = record->expiry_unix_s;
  insert_entry(std::move(entry));
}
void ReservationLedger::remove_expired(Time now) {
  const auto
      seconds = std::chrono::floor<std::chrono::seconds>(to_unix(now)).time_since_epoch().count();
  std::vector<ReservationId> expired;
  for (const auto& [id, entry] : entries_)
    if (entry.expiry_unix_s < seconds) expired.push_back(id);
  for (const auto id : expired) remove_entry(id);
  std::erase_if(cancelled_, [&](const auto& c) { return c.second < seconds; });
}

std::vector<ReservationLedger::Grant> ReservationLedger::grants_at(Time now, Minute t) const {
  std::vector<Grant> out;
  for (const auto& [id, entry] : entries_)
    if (const auto* w = window_at(entry.windows, t)) out.push_back({&entry, *w, {}});
  std::ranges::sort(out, {}, [](const Grant& g) { return decision_order(g.entry->reservation); });
  auto remaining = capacity_at(now, t).rate;
  std::map<CustomerId, Rate> quotas;
  for (auto& g : out) {
    const auto customer = g.entry->reservation.request.customer;
    auto& own_remaining = quotas.try_emplace(customer, quota_of(customer)).first->second;
    g.granted = std::min({g.window.rate, remaining, own_remaining});
    remaining -= g.granted, own_remaining -= g.granted;
  }
  return out;
}
void ReservationLedger::note_activity(Time now, CustomerId customer) {
  activity_times_[customer] = now;
}
Rate ReservationLedger::granted_rate(Time now, CustomerId customer) const {
  Rate lowest{kMaxRateMilliunits * 1000};
  for (const auto t : std::set{minute_of(now - config_.max_clock_difference),
                               minute_of(now + config_.max_clock_difference)}) {
    Rate rate;
    for (const auto& g : grants_at(now, t))
      if (g.entry->reservation.request.customer == customer && !g.entry->is_mismatched)
        rate += g.granted;
    lowest = std::min(lowest, rate);
  }
  return lowest;
}
Rate ReservationLedger::unreserved_rate(Time now) const {
  Rate lowest{kMaxRateMilliunits * 1000};
  for (const auto t : std::set{minute_of(now - config_.max_clock_difference),
                               minute_of(now + config_.max_clock_difference)}) {
    auto available = capacity_at(now, t).rate;
    for (const auto& g : grants_at(now, t)) {
      const auto activity = activity_times_.find(g.entry->reservation.request.customer);
      const auto window_start = Time(g.window.from.time_since_epoch());
      const auto last_use = activity == activity_times_.end()
                                ? window_start
                                : std::max(window_start, activity->second);
      if (now - last_use < config_.idle_timeout) available -= g.granted;
    }
    lowest = std::min(lowest, available);
  }
  return lowest;
}
std::vector<Preemption> ReservationLedger::find_preemptions(Time now, Minute from,
                                                            Minute to) const {
  std::vector<Preemption> out;
  std::map<ReservationId, std::size_t> latest;  // index in `out`
  for (auto t = from; t < to;) {
    const auto capacity = capacity_at(now, t), reserved = reserved_.at(t);
    auto next = std::min({to, capacity.to, reserved.to});
    bool exceeded = reserved.rate > capacity.rate;
    for (const auto& [customer, steps] : reserved_by_customer_) {
      const auto customer_segment = steps.at(t);
      next = std::min(next, customer_segment.to),
      exceeded |= customer_segment.rate > quota_of(customer);
    }
    if (exceeded)
      for (const auto& g : grants_at(now, t)) {
        if (g.granted >= g.window.rate) continue;
        const Preemption preemption{g.entry->reservation.id,
                                    g.entry->reservation.request.customer,
                                    t,
                                    next,
                                    g.window.rate,
                                    g.granted};
        const auto [index, is_new] = latest.try_emplace(preemption.id, out.size());
        auto* const previous = is_new ? nullptr : &out[index->second];
        if (previous && previous->to == t && previous->reserved == preemption.reserved &&
            previous->granted == preemption.granted)
          previous->to = next;
        else
          index->second = out.size(), out.push_back(preemption);
      }
    t = next;
  }
  return out;
}
std::vector<ReservationId> ReservationLedger::find_overcommitted() const {
  std::vector<const Entry*> all;
  for (const auto& [id, entry] : entries_) all.push_back(&entry);
  std::ranges::sort(all, {}, [](const Entry* entry) { return decision_order(entry->reservation); });
  auto config = config_;
  config.capacity.planned_outages.clear();
  ReservationLedger without_outages(std::move(config), resolve_);
  std::vector<ReservationId> out;
  for (const auto* entry : all) {
    if (without_outages.find_conflict({}, entry->reservation.request.customer, entry->windows))
      out.push_back(entry->reservation.id);
    else
      without_outages.add_windows(*entry, false);
  }
  return out;
}
std::vector<ReservationId> ReservationLedger::find_mismatched() const {
  std::vector<ReservationId> out;
  for (const auto& [id, entry] : entries_)
    if (entry.is_mismatched) out.push_back(id);
  return out;
}
const Reservation* ReservationLedger::find(ReservationId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.reservation;
}

}  // namespace petrelrail::fleet
