#include "book.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace petrelrail::fleet {
namespace {

constexpr Minutes kPresumed{15};        // that servers which are missing stay away, at least
constexpr std::chrono::days kKept{1};   // that a booking is known beyond its end
constexpr std::uint32_t kWhole = 1000;  // of a share
constexpr Minutes kDay{1440};

std::chrono::sys_time<Duration> unix_of(Time now) {
  return std::chrono::sys_time<Duration>(now.time_since_epoch());
}
Minute minute_of(Time now) { return std::chrono::floor<Minutes>(unix_of(now)); }
Minute minute_of(std::chrono::sys_seconds t) { return std::chrono::floor<Minutes>(t); }
auto order_of(const Booking& b) { return std::pair(b.decided, b.id); }
const Window* window_at(const std::vector<Window>& all, Minute t) {
  const auto next = std::ranges::upper_bound(all, t, {}, &Window::from);
  return next != all.begin() && std::prev(next)->to > t ? &*std::prev(next) : nullptr;
}

}  // namespace

Rate Supply::bookable(std::uint32_t of_servers) const {
  return {static_cast<std::int64_t>(of_servers) * each.milli * share / kWhole};
}
void validate(const BookTerms& t) {
  const auto check = [](bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(what);
  };
  constexpr std::uint32_t most_servers = 1'000'000;  // so that no sum overflows
  check(t.supply.servers <= most_servers, "servers of the tier must be 1,000,000 at most");
  check(t.supply.each.milli >= 0 && t.supply.each.milli <= kMostMilli,
        "units a second of a server must be from 0 to 1,000,000");
  check(t.supply.share <= kWhole, "share must be from 0 to 1");
  for (const auto& o : t.supply.planned)
    check(o.from < o.to, "a planned outage must end after it begins");
  for (const auto& [team, quota] : t.quotas)
    check(quota.milli >= 0, "a team's quota must not be negative");
  check(t.idle > Minutes{0} && t.clocks >= Duration{0} && t.clocks < Minutes{1},
        "idle must be above 0, clocks under a minute apart");
}

Book::Book(BookTerms terms, Reckon reckon) : reckon_(std::move(reckon)) {
  settle(std::move(terms));
}
void Book::settle(BookTerms terms) {
  validate(terms);
  terms_ = std::move(terms);
  const auto& s = terms_.supply;
  if (usable_ && *usable_ >= s.servers) usable_.reset();
  // Of outages at once the greatest counts: the time is cut at all their ends.
  std::set<Minute> edges;
  for (const auto& o : s.planned) edges.insert({o.from, o.to});
  planned_ = {};
  for (auto e = edges.begin(); e != edges.end() && std::next(e) != edges.end(); ++e) {
    auto there = s.servers;
    for (const auto& o : s.planned)
      if (o.from <= *e && *e < o.to) there = std::min(there, o.servers);
    if (there < s.servers)
      planned_.add({*e, *std::next(e), s.bookable(s.servers) - s.bookable(there)});
  }
}
void Book::usable(Time now, std::uint32_t servers) {
  if (servers >= terms_.supply.servers) return usable_.reset();
  if (!usable_) short_since_ = now;
  usable_ = servers;
}

Rate Book::quota(CustomerId team) const {
  const auto found = terms_.quotas.find(team);
  return found == terms_.quotas.end() ? Rate{} : found->second;
}
Steps::Part Book::limit(Time now, Minute t) const {
  auto part = planned_.at(t);
  part.sum = terms_.supply.bookable(terms_.supply.servers) - part.sum;
  if (!usable_) return part;
  const auto back = std::chrono::ceil<Minutes>(unix_of(now) +
                                               std::max<Duration>(kPresumed, now - short_since_));
  if (t >= back) return part;
  return {std::min(part.sum, terms_.supply.bookable(*usable_)), std::min(part.to, back)};
}
// Calls `visit` with each stretch of a window, what is left in it, and whether the quota is what
// binds; true from it ends the walk.
template <class Visit>
void Book::rooms(Time now, CustomerId team, const Window& w, const Visit& visit) const {
  static const Steps none;
  const auto found = teams_.find(team);
  auto all = total_.walk(w.from), own = (found == teams_.end() ? none : found->second).walk(w.from);
  auto most = limit(now, w.from);
  for (auto t = w.from; t < w.to;) {
    if (most.to <= t) most = limit(now, t);
    const auto booked = all.at(t), mine = own.at(t);
    const auto tier = most.sum - booked.sum, rest = quota(team) - mine.sum;
    const auto next = std::min({most.to, booked.to, mine.to});
    if (visit(t, next, std::min(tier, rest), rest < tier)) return;
    t = next;
  }
}
std::optional<Book::Block> Book::blocked(Time now, CustomerId team,
                                         const std::vector<Window>& windows) const {
  std::optional<Block> out;
  for (const auto& w : windows) {
    rooms(now, team, w, [&](Minute t, Minute next, Rate room, bool by_quota) {
      if (room < w.pace) out = Block{by_quota, t, next, w};
      return out.has_value();
    });
    if (out) break;
  }
  return out;
}

// Whether a whole recurrence fits is asked of one start after another; a start that is blocked
// tells how far the next one is, and days that have blocked one are asked first.
std::optional<Minutes> Book::search(Time now, const Booking& b, const Reckoned& days,
                                    int way) const {
  constexpr std::size_t most_asked_first = 16;
  const auto since = minute_of(b.decided);
  const auto start = [&](const Reckoned::Day& d, Minutes shift) {
    return days.offsets.instant(
        std::chrono::local_time<Minutes>(d.date.time_since_epoch() + b.wish.at + shift));
  };
  const auto begun = [&](Minutes shift) {  // windows that would have begun before now
    std::size_t n = 0;
    for (const auto& d : days.days) {
      if (d.date > since + 2 * kDay) break;
      n += start(d, shift) < since;
    }
    return n;
  };
  const auto begun_as_wished = begun(Minutes{0});
  std::vector<Reckoned::Day> asked;
  Reckoned one{{}, days.offsets, days.zone_print};
  for (Minutes shift{way}; b.wish.at + shift >= Minutes{0} && b.wish.at + shift < kDay;) {
    if (way < 0 && begun(shift) > begun_as_wished) return {};
    std::optional<Block> block;
    for (std::size_t i = 0; i < asked.size() && !block; ++i) {
      one.days.assign(1, asked[i]);
      block = blocked(now, b.wish.team, lay(b.wish, one, shift, since));
      if (block)
        std::rotate(asked.begin(), asked.begin() + static_cast<std::ptrdiff_t>(i),
                    asked.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    }
    if (!block) {
      const auto windows = lay(b.wish, days, shift, since);
      if (windows.empty()) return {};
      block = blocked(now, b.wish.team, windows);
      if (!block) return shift;
      for (const auto& d : days.days) {
        const auto from = start(d, shift);
        if (from > block->from || from + b.wish.length <= block->from) continue;
        asked.insert(asked.begin(), d);
        if (asked.size() > most_asked_first) asked.pop_back();
        break;
      }
    }
    // A window moves with its start, but for a change of the clock nearby.
    auto jump = way > 0 ? block->to - block->window.from : block->window.to - block->from;
    if (block->to == Minute::max() ||
        days.offsets.changes_within(block->window.from - kDay, block->window.to + kDay))
      jump = Minutes{1};
    shift += way * std::clamp(jump, Minutes{1}, kDay);
  }
  return {};
}
Refusal Book::refuse(Time now, const Booking& b, const Reckoned& days, const Block& block) const {
  Refusal out{block.quota, block.from, {kMostMilli}, {}};
  const auto since = minute_of(b.decided);
  for (const auto& w : lay(b.wish, days, Minutes{0}, since))
    rooms(now, b.wish.team, w, [&](Minute, Minute, Rate room, bool) {
      out.room = std::min(out.room, std::max(room, Rate{}));
      return false;
    });
  if (b.wish.pace > quota(b.wish.team) ||
      b.wish.pace > terms_.supply.bookable(terms_.supply.servers))
    return out;
  const auto later = search(now, b, days, 1), earlier = search(now, b, days, -1);
  if (!later && !earlier) return out;
  const auto shift = later && (!earlier || *later <= -*earlier) ? *later : *earlier;
  out.nearest = {b.wish.at + shift, lay(b.wish, days, shift, since).front().from};
  return out;
}

Book::Held Book::hold(Booking booking, const Reckoned& days, bool decide) {
  Held h;
  h.windows = lay(booking.wish, days, Minutes{0}, minute_of(booking.decided));
  if (decide) booking.windows_print = print_of(h.windows), booking.zone_print = days.zone_print;
  h.differs = booking.windows_print != print_of(h.windows);
  h.booking = std::move(booking);
  const auto end = h.windows.empty() ? minute_of(h.booking.decided) : h.windows.back().to;
  h.ends = static_cast<std::uint32_t>(
      std::chrono::sys_seconds(end + kKept).time_since_epoch().count());
  return h;
}
void Book::enter(const Held& h, bool taken_out) {
  for (const auto& w : h.windows)
    total_.add(w, taken_out), teams_[h.booking.wish.team].add(w, taken_out);
}
void Book::put(Held h) {
  take_out(h.booking.id);
  enter(h, false);
  cancelled_.erase(h.booking.id);
  held_.insert_or_assign(h.booking.id, std::move(h));
}
void Book::take_out(BookingId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  enter(found->second, true);
  held_.erase(found);
}
bool Book::any_blind() const {
  return std::ranges::any_of(held_, [](const auto& h) { return h.second.blind; });
}

// `booking` with `until` as wished; whatever is held under its id is taken out while it is asked
// whether it fits.
Answer Book::decide(Time now, Booking b) {
  b.decided = std::chrono::floor<std::chrono::seconds>(unix_of(now));
  const auto today = std::chrono::floor<std::chrono::days>(b.decided);
  if (!b.wish.until) b.wish.until = today + kHorizon;
  if (*b.wish.until > today + kHorizon)
    throw std::invalid_argument("until must be at most 400 days from today");
  if (b.wish.from < today - kHorizon || b.wish.from > *b.wish.until)
    throw std::invalid_argument(
        "from must be at most 400 days before and after today, and not after until");
  encode(b);  // throws for one that is too long
  const auto days = reckon_(b.wish);
  auto h = hold(std::move(b), days, true);
  if (h.windows.empty())
    throw std::invalid_argument("no window is left until " + text_of(*h.booking.wish.until));
  const auto id = h.booking.id;
  if (any_blind()) return {Answer::Outcome::blind, id};
  const auto before = held_.find(id);
  if (before != held_.end()) enter(before->second, true);
  const auto block = blocked(now, h.booking.wish.team, h.windows);
  Answer out{block ? Answer::Outcome::no : Answer::Outcome::yes,
             id,
             h.windows.front().from,
             *h.booking.wish.until,
             {}};
  if (block) out.refusal = refuse(now, h.booking, days, *block);
  if (before != held_.end()) enter(before->second, false);
  if (!block) put(std::move(h));
  return out;
}
Answer Book::book(Time now, std::string_view key, const Wish& wish) {
  validate(wish);
  if (!terms_.quotas.contains(wish.team))
    throw std::invalid_argument("customer has no quota to book under");
  Booking b{id_of(wish.team, key), wish, {}, content_of(wish), 0, 0};
  if (cancelled_.contains(b.id)) return {Answer::Outcome::cancelled, b.id};
  if (const auto* held = find(b.id)) {
    const auto& windows = held_.at(b.id).windows;
    if (held->content != b.content || held->wish.team != wish.team)
      return {Answer::Outcome::other_content, b.id};
    return {Answer::Outcome::repeated,
            b.id,
            windows.empty() ? Minute{} : windows.front().from,
            *held->wish.until,
            {}};
  }
  if (held_.size() >= terms_.most) return {Answer::Outcome::full, b.id};
  return decide(now, std::move(b));
}
Answer Book::change(Time now, BookingId id, const Wish& wish) {
  validate(wish);
  if (cancelled_.contains(id)) return {Answer::Outcome::cancelled, id};
  const auto found = held_.find(id);
  if (found == held_.end()) return {Answer::Outcome::unknown, id};
  const auto old = found->second.booking;
  if (wish.team != old.wish.team)
    throw std::invalid_argument("a booking can't pass to another customer");
  auto same = wish;
  if (!same.until) same.until = old.wish.until;
  const auto unchanged = same == old.wish;
  const auto lessens = same.pace <= old.wish.pace && same.last_pace <= old.wish.last_pace;
  same.pace = old.wish.pace, same.last_pace = old.wish.last_pace;
  auto b = old;
  b.wish = wish;
  if (same != old.wish || !lessens || found->second.blind) return decide(now, std::move(b));
  b.wish.until = old.wish.until;
  const auto& windows = found->second.windows;
  const auto first = windows.empty() ? Minute{} : windows.front().from;
  if (!unchanged) {
    const auto days = reckon_(b.wish);
    put(hold(std::move(b), days, !found->second.differs));
  }
  return {
      unchanged ? Answer::Outcome::repeated : Answer::Outcome::yes, id, first, *old.wish.until, {}};
}
Answer Book::cancel(Time, BookingId id) {
  if (cancelled_.contains(id)) return {Answer::Outcome::repeated, id};
  const auto found = held_.find(id);
  if (found == held_.end()) return {Answer::Outcome::unknown, id};
  cancelled_[id] = found->second.ends;
  take_out(id);
  return {Answer::Outcome::yes, id};
}
Answer Book::decide_again(Time now, BookingId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return {Answer::Outcome::unknown, id};
  if (found->second.blind) return {Answer::Outcome::blind, id};
  if (!found->second.differs) return {Answer::Outcome::repeated, id};
  const auto days = reckon_(found->second.booking.wish);
  auto h = hold(found->second.booking, days, true);
  enter(found->second, true);
  const bool fits = !blocked(now, h.booking.wish.team, h.windows);
  enter(found->second, false);
  if (!fits) {
    auto later = found->second.booking;
    later.decided = std::chrono::floor<std::chrono::seconds>(unix_of(now));
    h = hold(std::move(later), days, true);
  }
  const auto first = h.windows.empty() ? Minute{} : h.windows.front().from;
  const auto until = *h.booking.wish.until;
  put(std::move(h));
  return {Answer::Outcome::yes, id, first, until, {}};
}

std::optional<std::string> Book::value(BookingId id) const {
  const auto* b = find(id);
  return b ? std::optional(encode(*b)) : std::nullopt;
}
std::uint32_t Book::ends(BookingId id) const {
  const auto found = held_.find(id);
  if (found != held_.end()) return found->second.ends;
  const auto gone = cancelled_.find(id);
  return gone == cancelled_.end() ? 0 : gone->second;
}
void Book::restore(BookingId id, const Record* record) {
  if (!record) return take_out(id), void(cancelled_.erase(id));
  if (record->deleted) return take_out(id), void(cancelled_[id] = record->expiry_unix_s);
  auto b = decode_booking(id, record->value);
  Held h;
  try {
    h = hold(b, reckon_(b.wish), false);
  } catch (const std::invalid_argument&) {  // the calendar here doesn't know its zone or days
    h.booking = std::move(b), h.differs = h.blind = true;
  }
  h.ends = record->expiry_unix_s;
  put(std::move(h));
}
void Book::forget(Time now) {
  const auto
      seconds = std::chrono::floor<std::chrono::seconds>(unix_of(now)).time_since_epoch().count();
  std::vector<BookingId> over;
  for (const auto& [id, h] : held_)
    if (h.ends < seconds) over.push_back(id);
  for (const auto id : over) take_out(id);
  std::erase_if(cancelled_, [&](const auto& c) { return c.second < seconds; });
}

std::vector<Book::Grant> Book::grants(Time now, Minute t) const {
  std::vector<Grant> out;
  for (const auto& [id, h] : held_)
    if (const auto* w = window_at(h.windows, t)) out.push_back({&h, *w, {}});
  std::ranges::sort(out, {}, [](const Grant& g) { return order_of(g.held->booking); });
  auto left = limit(now, t).sum;
  std::map<CustomerId, Rate> own;
  for (auto& g : out) {
    const auto team = g.held->booking.wish.team;
    auto& mine = own.try_emplace(team, quota(team)).first->second;
    g.granted = std::min({g.window.pace, left, mine});
    left -= g.granted, mine -= g.granted;
  }
  return out;
}
void Book::seen(Time now, CustomerId team) { seen_[team] = now; }
Rate Book::pace(Time now, CustomerId team) const {
  Rate least{kMostMilli * 1000};
  for (const auto t : std::set{minute_of(now - terms_.clocks), minute_of(now + terms_.clocks)}) {
    Rate sum;
    for (const auto& g : grants(now, t))
      if (g.held->booking.wish.team == team && !g.held->differs) sum += g.granted;
    least = std::min(least, sum);
  }
  return least;
}
Rate Book::left(Time now) const {
  Rate least{kMostMilli * 1000};
  for (const auto t : std::set{minute_of(now - terms_.clocks), minute_of(now + terms_.clocks)}) {
    auto rest = limit(now, t).sum;
    for (const auto& g : grants(now, t)) {
      const auto known = seen_.find(g.held->booking.wish.team);
      const auto begun = Time(g.window.from.time_since_epoch());
      const auto used = known == seen_.end() ? begun : std::max(begun, known->second);
      if (now - used < terms_.idle) rest -= g.granted;
    }
    least = std::min(least, rest);
  }
  return least;
}
std::vector<Cut> Book::outlook(Time now, Minute from, Minute to) const {
  std::vector<Cut> out;
  std::map<BookingId, std::size_t> open;  // the latest of each booking
  for (auto t = from; t < to;) {
    const auto most = limit(now, t), booked = total_.at(t);
    auto next = std::min({to, most.to, booked.to});
    bool over = booked.sum > most.sum;
    for (const auto& [team, steps] : teams_) {
      const auto mine = steps.at(t);
      next = std::min(next, mine.to), over |= mine.sum > quota(team);
    }
    if (over)
      for (const auto& g : grants(now, t)) {
        if (g.granted >= g.window.pace) continue;
        const Cut cut{g.held->booking.id, g.held->booking.wish.team, t, next, g.window.pace,
                      g.granted};
        const auto [last, fresh] = open.try_emplace(cut.id, out.size());
        auto* const before = fresh ? nullptr : &out[last->second];
        if (before && before->to == t && before->booked == cut.booked &&
            before->granted == cut.granted)
          before->to = next;
        else
          last->second = out.size(), out.push_back(cut);
      }
    t = next;
  }
  return out;
}
std::vector<BookingId> Book::displaced() const {
  std::vector<const Held*> all;
  for (const auto& [id, h] : held_) all.push_back(&h);
  std::ranges::sort(all, {}, [](const Held* h) { return order_of(h->booking); });
  auto calm = terms_;
  calm.supply.planned.clear();
  Book kept(std::move(calm), reckon_);
  std::vector<BookingId> out;
  for (const auto* h : all) {
    if (kept.blocked({}, h->booking.wish.team, h->windows))
      out.push_back(h->booking.id);
    else
      kept.enter(*h, false);
  }
  return out;
}
std::vector<BookingId> Book::differing() const {
  std::vector<BookingId> out;
  for (const auto& [id, h] : held_)
    if (h.differs) out.push_back(id);
  return out;
}
const Booking* Book::find(BookingId id) const {
  const auto found = held_.find(id);
  return found == held_.end() ? nullptr : &found->second.booking;
}

}  // namespace petrelrail::fleet
