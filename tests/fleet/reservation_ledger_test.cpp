// Reservation ledger: compared with a model that keeps sums for each minute of two years, then each
// rule separately.
#include "fleet/reservation_ledger.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>

#include "calendar/calendar.hpp"

namespace petrelrail::fleet {
namespace {

using namespace std::chrono;
using Outcome = LedgerResult::Outcome;

const Date kStart = parse_date("2026-12-02");
Time at(Minute t) { return Time(t.time_since_epoch()); }
Minute on(int day, int hour, int minute = 0) {
  return kStart + days{day} + hours{hour} + Minutes{minute};
}

// A simple calendar: rule N is every N days. Time zone DST is an hour ahead from day 100 to day
// 280.
Minutes offset_at(const std::string& zone, Minute t) {
  return Minutes{zone == "DST" && t >= on(100, 1) && t < on(280, 1) ? 60 : 0};
}
ResolvedReservation resolve(const ReservationRequest& w) {
  if (w.time_zone != "DST" && w.time_zone != "UTC")
    throw std::invalid_argument("unknown time zone");
  ResolvedReservation out;
  const auto every = w.rule.empty() ? 10'000 : std::stoi(w.rule);
  for (auto d = w.from; d <= w.until.value(); d += days{every})
    if (std::ranges::find(w.excluded_dates, d) == w.excluded_dates.end())
      out.days.push_back({d, (d - kStart).count() % 30 == 0});
  if (w.time_zone == "DST")
    out.offsets.changes = {{on(100, 1), Minutes{60}}, {on(280, 1), Minutes{0}}};
  out.offsets_fingerprint = fingerprint_of(out.offsets);
  return out;
}
ReservationRequest request(unsigned customer, std::int64_t milliunits, const char* start = "18:30",
                           int length = 45, const char* rule = "1") {
  ReservationRequest w;
  w.customer = CustomerId{customer}, w.rate = w.month_end_rate = {milliunits};
  w.time_zone = "DST", w.rule = rule, w.from = kStart, w.until = kStart + days{399};
  w.start_time = parse_time_of_day(start), w.window_length = Minutes{length};
  return w;
}
LedgerConfig config() {
  LedgerConfig out;
  out.capacity = {100, {2'000}, 500, {}};  // 100 units per second
  for (unsigned i = 1; i <= 4; ++i) out.quotas[CustomerId{i}] = {60'000};
  return out;
}
const Time kNow = at(on(0, 9));

// ---- Comparison with a model by minute ---------------------------------------------------------

struct MinuteModel {
  static constexpr std::int64_t kMinutes = 2 * 366 * 1440;
  struct Entry {
    ReservationRequest request;
    Minute since;
  };
  LedgerConfig config;
  std::map<ReservationId, Entry> entries;
  std::vector<std::int64_t> total = std::vector<std::int64_t>(kMinutes);
  std::map<CustomerId, std::vector<std::int64_t>> by_customer;

  explicit MinuteModel(LedgerConfig t) : config(std::move(t)) {
    for (const auto& q : config.quotas) by_customer[q.first].resize(kMinutes);
  }
  static Minute to_utc(const std::string& zone, Minute wall) {
    for (Minutes back{0};; ++back)
      for (const auto o : {Minutes{60}, Minutes{0}})
        if (const auto t = wall - back - o; offset_at(zone, t) == o) return t + back;
  }
  // Visits each minute of the windows in ascending order (windows here are shorter than a day)
  // until `visit` returns true.
  template <class Visit>
  static void minutes(const Entry& e, const std::vector<ResolvedReservation::Day>& days,
                      Minutes shift, const Visit& visit) {
    for (const auto& d : days) {
      const auto start = to_utc(e.request.time_zone, d.date + e.request.start_time + shift);
      for (auto t = std::max(start, e.since); t < start + e.request.window_length; t += Minutes{1})
        if (visit(t, (d.is_last_of_month ? e.request.month_end_rate : e.request.rate).milliunits))
          return;
    }
  }
  static bool begins_before(const Entry& e, Minutes shift,
                            const std::vector<ResolvedReservation::Day>& days) {
    return std::ranges::any_of(days, [&](const ResolvedReservation::Day& d) {
      return to_utc(e.request.time_zone, d.date + e.request.start_time + shift) < e.since;
    });
  }
  static std::size_t index(Minute t) { return static_cast<std::size_t>((t - kStart).count()); }
  std::int64_t limit(Minute t) const {
    auto servers = config.capacity.servers;
    for (const auto& o : config.capacity.planned_outages)
      if (t >= o.from && t < o.to) servers = std::min(servers, o.servers);
    return servers * config.capacity.rate_per_server.milliunits *
           config.capacity.reservable_permille / 1000;
  }
  std::optional<Minute> first_conflict(const Entry& e,
                                       const std::vector<ResolvedReservation::Day>& days,
                                       Minutes shift) const {
    const auto quota = config.quotas.at(e.request.customer).milliunits;
    const auto& own = by_customer.at(e.request.customer);
    std::optional<Minute> out;
    minutes(e, days, shift, [&](Minute t, std::int64_t rate) {
      if (total[index(t)] + rate > limit(t) || own[index(t)] + rate > quota) out = t;
      return out.has_value();
    });
    return out;
  }
  std::optional<Minutes> nearest(const Entry& e) const {
    const auto days = resolve(e.request).days;
    for (Minutes by{1}; by < Minutes{1440}; ++by)
      for (const auto shift : {by, -by}) {
        if (e.request.start_time + shift < Minutes{0} ||
            e.request.start_time + shift >= Minutes{1440})
          continue;
        if (!first_conflict(e, days, shift) &&
            (shift > Minutes{0} || !begins_before(e, shift, days)))
          return e.request.start_time + shift;
      }
    return {};
  }
  void add(const Entry& e, int sign) {
    minutes(e, resolve(e.request).days, Minutes{0}, [&](Minute t, std::int64_t rate) {
      total[index(t)] += sign * rate;
      by_customer[e.request.customer][index(t)] += sign * rate;
      return false;
    });
  }
};

struct RandomRun {
  std::size_t accepted = 0, rejected = 0, nearest = 0, steps = 0;
  std::string violation;
  RandomRun(unsigned seed, int max_steps, const LedgerConfig& t) {
    std::mt19937 random(seed);
    ReservationLedger ledger(t, resolve);
    MinuteModel model(t);
    std::vector<ReservationId> ids;
    const auto random_below = [&](unsigned n) { return static_cast<int>(random() % n); };
    for (int i = 0; i < max_steps && violation.empty(); ++i, ++steps) {
      const auto now = on(i / 4, 9);
      auto w = request(1 + random() % 4, 5'000 * (1 + random_below(8)), "18:30",
                       20 * (1 + random_below(12)));
      w.start_time = Minutes{10 * random_below(144)}, w.rule = std::to_string(1 + random_below(9)),
      w.time_zone = random_below(3) ? "DST" : "UTC";
      w.month_end_rate = {5'000 * (1 + random_below(8))};
      w.from = kStart + days{i / 4 + 1 + random_below(200)},
      w.until = std::min(w.from + days{random_below(300)}, kStart + days{i / 4 + 400});
      const bool changes = !ids.empty() && random_below(4) == 0;
      const auto id = changes ? ids[random() % ids.size()]
                              : make_reservation_id(w.customer, "job-" + std::to_string(i));
      const auto old = model.entries.find(id);
      if (changes && random_below(2)) {
        const auto answer = ledger.cancel(at(now), id);
        if (answer.is_success() && old != model.entries.end())
          model.add(old->second, -1), model.entries.erase(old);
        continue;
      }
      if (changes && old == model.entries.end()) continue;
      if (changes) w.customer = old->second.request.customer, model.add(old->second, -1);
      const MinuteModel::Entry entry{w, now};
      const auto over = model.first_conflict(entry, resolve(w).days, Minutes{0});
      const auto answer = changes ? ledger.modify(at(now), id, w)
                                  : ledger.reserve(at(now), "job-" + std::to_string(i), w);
      if (answer.is_success() == over.has_value()) violation = "the decisions differ";
      if (over && answer.rejection) {
        ++rejected;
        if (answer.rejection->first_conflict != *over) violation = "the first conflict differs";
        const auto expected = model.nearest(entry);
        const auto& nearest_start = answer.rejection->nearest_start;
        nearest += nearest_start.has_value();
        if (expected.has_value() != nearest_start.has_value() ||
            (expected && *expected != nearest_start->start_time))
          violation = "the nearest start differs";
      }
      if (changes && over) model.add(old->second, 1);
      if (over) continue;
      ++accepted;
      model.add(entry, 1), model.entries[id] = entry, ids.push_back(id);
    }
  }
};

TEST(ReservationLedger, DecidesLikeAMinuteByMinuteModel) {
  auto t = config();
  t.capacity.planned_outages = {
      {on(120, 3), on(125, 7), 40}, {on(124, 0), on(130, 0), 60}, {on(300, 0), on(301, 0), 0}};
  std::size_t accepted = 0, rejected = 0, nearest = 0;
  for (unsigned seed = 1; seed <= 2; ++seed) {
    const RandomRun run(seed, 100, t);
    EXPECT_EQ(run.violation, "") << "seed " << seed << ", step " << run.steps;
    accepted += run.accepted, rejected += run.rejected, nearest += run.nearest;
  }
  EXPECT_GT(accepted, 40U);
  EXPECT_GT(rejected, 15U);
  EXPECT_GT(nearest, 5U);
}

// ---- Each rule ----------------------------------------------------------------------------------

TEST(ReservationLedger, FirstOfTwoRequestsForTheRemainingCapacityIsAccepted) {
  for (const unsigned first : {1U, 2U}) {
    ReservationLedger ledger(config(), resolve);
    EXPECT_EQ(ledger.reserve(kNow, "a", request(first, 60'000)).outcome, Outcome::accepted);
    const auto rejected = ledger.reserve(kNow, "b", request(3 - first, 60'000));
    ASSERT_EQ(rejected.outcome, Outcome::rejected);
    EXPECT_EQ(rejected.rejection->first_conflict, on(0, 18, 30));
    EXPECT_EQ(rejected.rejection->available_rate.milliunits, 40'000);
    EXPECT_FALSE(rejected.rejection->by_quota);
    EXPECT_EQ(rejected.rejection->nearest_start->start_time, parse_time_of_day("19:15"));
    auto moved = request(3 - first, 60'000);
    moved.start_time = rejected.rejection->nearest_start->start_time;
    EXPECT_EQ(ledger.reserve(kNow, "b", moved).outcome, Outcome::accepted);
  }
}
TEST(ReservationLedger, SubmittingTheSameKeyAgainIsIdempotent) {
  ReservationLedger ledger(config(), resolve);
  const auto accepted = ledger.reserve(kNow, "a", request(1, 12'000));
  EXPECT_EQ(ledger.reserve(kNow + hours{30}, "a", request(1, 12'000)).outcome, Outcome::duplicate);
  EXPECT_EQ(ledger.reserve(kNow, "a", request(1, 13'000)).outcome, Outcome::content_mismatch);
  EXPECT_NE(ledger.reserve(kNow, "a", request(2, 12'000)).id, accepted.id);
  EXPECT_EQ(ledger.modify(kNow, accepted.id, request(1, 20'000)).outcome, Outcome::accepted);
  EXPECT_EQ(ledger.reserve(kNow, "a", request(1, 12'000)).outcome, Outcome::duplicate);
  EXPECT_EQ(ledger.cancel(kNow, accepted.id).outcome, Outcome::accepted);
  EXPECT_EQ(ledger.cancel(kNow, accepted.id).outcome, Outcome::duplicate);
  EXPECT_EQ(ledger.reserve(kNow, "a", request(1, 12'000)).outcome, Outcome::cancelled);
  EXPECT_EQ(ledger.cancel(kNow, ReservationId{5}).outcome, Outcome::unknown);
  ledger.remove_expired(kNow + days{402});
  EXPECT_EQ(ledger.cancel(kNow, accepted.id).outcome, Outcome::unknown);
}
TEST(ReservationLedger, RejectedModificationLeavesTheReservationUnchanged) {
  ReservationLedger ledger(config(), resolve);
  const auto mine = ledger.reserve(kNow, "a", request(1, 40'000)).id;
  ledger.reserve(kNow, "b", request(2, 60'000));
  const auto before = ledger.record_value(mine);
  EXPECT_EQ(ledger.modify(kNow, mine, request(1, 41'000)).outcome, Outcome::rejected);
  EXPECT_THROW(ledger.modify(kNow, mine, request(2, 1'000)), std::invalid_argument);
  EXPECT_EQ(ledger.record_value(mine), before);
  EXPECT_EQ(ledger.granted_rate(at(on(1, 18, 40)), CustomerId{1}).milliunits, 40'000);
  EXPECT_EQ(ledger.modify(kNow + hours{1}, mine, request(1, 30'000)).outcome, Outcome::accepted);
  EXPECT_EQ(ledger.find(mine)->decision_time,
            sys_seconds(on(0, 9)));  // a reduction keeps the decision time
}
TEST(ReservationLedger, OutagePreemptsTheLatestReservationsAndIsForecast) {
  auto t = config();
  ReservationLedger ledger(t, resolve);
  const auto a = ledger.reserve(kNow, "a", request(1, 50'000)).id;
  const auto b = ledger.reserve(kNow + seconds{1}, "b", request(2, 30'000)).id;
  const auto c = ledger.reserve(kNow + seconds{2}, "c", request(3, 20'000)).id;
  t.capacity.planned_outages = {{on(5, 18, 40), on(5, 19), 60}};
  ledger.set_config(t);
  const std::vector<Preemption> expected{
      {b, CustomerId{2}, on(5, 18, 40), on(5, 19), {30'000}, {10'000}},
      {c, CustomerId{3}, on(5, 18, 40), on(5, 19), {20'000}, {0}}};
  EXPECT_EQ(ledger.find_preemptions(kNow, on(0, 0), on(7, 0)), expected);
  const auto rates = [&](Minute m) {
    std::vector<std::int64_t> out;
    for (unsigned i = 1; i <= 3; ++i)
      out.push_back(ledger.granted_rate(at(m), CustomerId{i}).milliunits);
    return out;
  };
  EXPECT_EQ(rates(on(5, 18, 39)), (std::vector<std::int64_t>{50'000, 30'000, 20'000}));
  EXPECT_EQ(rates(on(5, 18, 40)), (std::vector<std::int64_t>{50'000, 10'000, 0}));
  EXPECT_EQ(rates(on(5, 19)), (std::vector<std::int64_t>{50'000, 30'000, 20'000}));
  ledger.set_usable_servers(at(on(6, 18, 35)), 50);
  EXPECT_EQ(rates(on(6, 18, 35)), (std::vector<std::int64_t>{50'000, 0, 0}));
  EXPECT_EQ(ledger.find_preemptions(at(on(6, 18, 35)), on(6, 18, 35), on(8, 0)).size(),
            2U);  // the shortage is assumed to last 15 minutes
  ledger.set_usable_servers(at(on(6, 18, 36)), 100);
  EXPECT_EQ(rates(on(6, 18, 36)), (std::vector<std::int64_t>{50'000, 30'000, 20'000}));
  EXPECT_TRUE(ledger.find_overcommitted().empty());
  EXPECT_EQ(ledger.find(a)->id, a);
}
TEST(ReservationLedger, RateOfAnIdleReservationIsAvailableUntilItsNextUse) {
  ReservationLedger ledger(config(), resolve);
  ledger.reserve(kNow, "a", request(1, 50'000));
  const auto start = on(1, 18, 30);
  EXPECT_EQ(ledger.unreserved_rate(at(start)).milliunits, 50'000);
  EXPECT_EQ(ledger.unreserved_rate(at(start) + seconds{119}).milliunits, 50'000);
  EXPECT_EQ(ledger.unreserved_rate(at(start) + seconds{120}).milliunits, 100'000);
  ledger.note_activity(at(start) + seconds{130}, CustomerId{1});
  EXPECT_EQ(ledger.unreserved_rate(at(start) + seconds{131}).milliunits, 50'000);
  EXPECT_EQ(ledger.granted_rate(at(start) + seconds{131}, CustomerId{1}).milliunits, 50'000);
}
TEST(ReservationLedger, ClockDifferencesNeverOvercommitAtAWindowEdge) {
  auto t = config();
  t.max_clock_difference = milliseconds{50};
  ReservationLedger ledger(t, resolve);
  ledger.reserve(kNow, "a", request(1, 60'000, "18:00", 30));
  ledger.reserve(kNow, "b", request(2, 60'000, "18:30", 30));
  const auto window_edge = at(on(1, 18, 30));
  for (auto true_time = window_edge - milliseconds{200};
       true_time < window_edge + milliseconds{200}; true_time += milliseconds{5})
    for (const auto offset : {-25, 25}) {
      const auto a = true_time + milliseconds{offset}, b = true_time - milliseconds{offset};
      EXPECT_LE((ledger.granted_rate(a, CustomerId{1}) + ledger.granted_rate(b, CustomerId{2}))
                    .milliunits,
                100'000);
    }
}

// Prints the time a decision takes (docs/bookings.md, "What was measured").
TEST(ReservationLedger, ReservationsOfFiftyCustomersOverTheHorizon) {
  auto t = config();
  for (unsigned i = 1; i <= 50; ++i) t.quotas[CustomerId{i}] = {20'000};
  const calendar::Calendar calendar;
  nanoseconds resolving{0}, in_resolver{0};
  ReservationLedger ledger(t, [&](const ReservationRequest& w) {
    const auto begun = steady_clock::now();
    auto days = calendar.resolve(w);
    in_resolver += steady_clock::now() - begun;
    return days;
  });
  std::mt19937 random(6);
  std::vector<nanoseconds> accepted, rejected;
  const char* const configured = std::getenv(
      "BOOKINGS");  // 1000 takes too long under the sanitizers
  const std::size_t max_reservations = configured ? std::stoul(configured) : 200;
  unsigned attempts = 0;
  for (; ledger.size() < max_reservations && attempts < max_reservations + max_reservations / 2;
       ++attempts) {
    auto w = request(1 + random() % 50, 100 * (1 + random() % 10), "18:30",
                     15 * (1 + static_cast<int>(random() % 16)), "FREQ=DAILY");
    w.time_zone = attempts % 3 ? "Europe/Madrid" : "America/New_York",
    w.start_time = Minutes{random() % 1440}, w.convention = BusinessDayConvention::skip;
    in_resolver = {};
    const auto begun = steady_clock::now();
    const auto answer = ledger.reserve(kNow, "k" + std::to_string(attempts), w);
    (answer.is_success() ? accepted : rejected)
        .push_back(steady_clock::now() - begun - in_resolver);
    resolving += in_resolver;
  }
  EXPECT_GT(ledger.size(), max_reservations * 9 / 10);
  const auto print = [](const char* label, std::vector<nanoseconds> all) {
    if (all.empty()) return;
    std::ranges::sort(all);
    std::printf("%s: %zu, median %.3f ms, worst %.3f ms\n", label, all.size(),
                duration<double, std::milli>(all[all.size() / 2]).count(),
                duration<double, std::milli>(all.back()).count());
  };
  print("accepted", accepted), print("rejected, with the nearest start", rejected);
  const auto begun = steady_clock::now();
  Rate sum;
  for (int i = 0; i < 1000; ++i)
    sum += ledger.granted_rate(at(on(i % 300, i % 24)),
                               CustomerId{1 + static_cast<unsigned>(i) % 50});
  std::printf("calendar: mean %.3f ms; granted_rate: mean %.4f ms\n",
              duration<double, std::milli>(resolving).count() / attempts,
              duration<double, std::milli>(steady_clock::now() - begun).count() / 1000);
  EXPECT_TRUE(ledger.find_overcommitted().empty());
  EXPECT_TRUE(ledger.find_preemptions(kNow, on(0, 0), on(7, 0)).empty());
}

// ---- Records ------------------------------------------------------------------------------------

Record record_of(const ReservationLedger& ledger, ReservationId id) {
  Record r{{3, static_cast<std::uint64_t>(id)},
           {},
           ledger.record_expiry_unix_s(id),
           !ledger.find(id),
           {}};
  if (!r.deleted) r.value = *ledger.record_value(id);
  return r;
}
TEST(ReservationLedger, LedgersFromTheSameRecordsInAnyOrderDecideAlike) {
  std::mt19937 random(4);
  ReservationLedger ledger(config(), resolve);
  std::vector<ReservationId> ids;
  for (unsigned i = 0; i < 60; ++i) {
    auto w = request(1 + i % 4, 5'000 + 1'000 * (random() % 9), "18:30", 60, i % 2 ? "3" : "2");
    w.start_time = Minutes{10 * (random() % 140)};
    const auto answer = ledger.reserve(kNow + seconds{i}, "k" + std::to_string(i), w);
    if (answer.is_success()) ids.push_back(answer.id);
    if (i % 10 == 9) ledger.cancel(kNow, ids[random() % ids.size()]);
  }
  std::ranges::shuffle(ids, random);
  ReservationLedger other(config(), resolve);
  for (const auto id : ids) {
    const auto r = record_of(ledger, id);
    other.apply_record(id, &r), other.apply_record(id, &r);
  }
  EXPECT_EQ(other.size(), ledger.size());
  EXPECT_TRUE(other.find_mismatched().empty());
  for (unsigned i = 0; i < 60; ++i) {
    const auto w = request(1 + i % 4, 40'000, "00:00", 30, "5");
    const auto a = ledger.reserve(kNow + days{1}, "n" + std::to_string(i), w);
    const auto b = other.reserve(kNow + days{1}, "n" + std::to_string(i), w);
    EXPECT_EQ(a.outcome, b.outcome);
    EXPECT_EQ(a.rejection.has_value() ? a.rejection->first_conflict : Minute{},
              b.rejection.has_value() ? b.rejection->first_conflict : Minute{});
    const auto t = at(on(static_cast<int>(i), static_cast<int>(i % 24)));
    EXPECT_EQ(ledger.granted_rate(t, w.customer), other.granted_rate(t, w.customer));
  }
  other.apply_record(ids[0], nullptr);  // removes it without a tombstone
  EXPECT_EQ(other.cancel(kNow, ids[0]).outcome, Outcome::unknown);
}
TEST(ReservationLedger, OfTwoConcurrentlyAcceptedTheLaterIsOvercommitted) {
  ReservationLedger here(config(), resolve), there(config(), resolve);
  const auto a = here.reserve(kNow + seconds{1}, "a", request(1, 60'000)).id;
  const auto b = there.reserve(kNow, "b", request(2, 60'000)).id;
  const auto r = record_of(there, b);
  here.apply_record(b, &r);
  EXPECT_EQ(here.find_overcommitted(), std::vector{a});
  EXPECT_EQ(here.granted_rate(at(on(1, 18, 40)), CustomerId{1}).milliunits,
            40'000);  // preempted at once
}
TEST(ReservationLedger, MismatchedCalendarGrantsNothingUntilReevaluated) {
  ReservationLedger there(config(), resolve);
  const auto id = there.reserve(kNow, "a", request(1, 50'000)).id;
  const auto r = record_of(there, id);
  bool has_zones = true;
  ReservationLedger here(config(), [&](const ReservationRequest& w) {
    if (!has_zones) throw std::invalid_argument("unknown time zone");
    auto days = resolve(w);
    days.offsets.changes[0].at += hours{24};
    return days;
  });
  here.apply_record(id, &r);
  EXPECT_EQ(here.find_mismatched(), std::vector{id});
  EXPECT_EQ(here.granted_rate(at(on(1, 18, 40)), CustomerId{1}).milliunits, 0);
  EXPECT_EQ(here.unreserved_rate(at(on(1, 18, 31))).milliunits, 50'000);  // its rate stays reserved
  EXPECT_EQ(here.reevaluate(kNow, id).outcome, Outcome::accepted);
  EXPECT_TRUE(here.find_mismatched().empty());
  EXPECT_EQ(here.granted_rate(at(on(1, 18, 40)), CustomerId{1}).milliunits, 50'000);
  ReservationLedger blind(config(), [&](const ReservationRequest& w) {
    if (w.customer == CustomerId{1}) throw std::invalid_argument("unknown time zone");
    return resolve(w);
  });
  blind.apply_record(id, &r);
  EXPECT_EQ(blind.reserve(kNow, "b", request(2, 1'000)).outcome, Outcome::unresolved);
}
TEST(ReservationRecord, RoundTripsAndRejectsAnyOtherValue) {
  Reservation b{ReservationId{9}, request(~0U, 12'000), sys_seconds(on(0, 9)), ~0ULL, 1, ~0U};
  b.request.excluded_dates = {kStart, kStart + days{3}, kStart + days{399}};
  b.request.rule = "FREQ=MONTHLY;BYMONTHDAY=-1", b.request.calendar = "Oviedo";
  const auto text = encode(b);
  EXPECT_LE(text.size(), 90U);
  EXPECT_EQ(decode_reservation(b.id, text), b);
  for (std::size_t n = 0; n < text.size(); ++n)
    EXPECT_THROW(decode_reservation(b.id, text.substr(0, n)), std::invalid_argument);
  EXPECT_THROW(decode_reservation(b.id, text + '\0'), std::invalid_argument);
  std::mt19937 random(2);
  for (int i = 0; i < 100'000; ++i) {  // a value that decodes is encoded to the same bytes
    auto bytes = text;
    for (auto n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (i % 3 == 0)
      bytes.resize(random() % (kMaxRecordValueBytes + 50), static_cast<char>(random()));
    try {
      EXPECT_EQ(encode(decode_reservation(b.id, bytes)), bytes);
    } catch (const std::invalid_argument&) {}
  }
  b.request.excluded_dates.clear();
  for (int i = 0; i < 200; ++i) b.request.excluded_dates.push_back(kStart + days{i});
  EXPECT_THROW(encode(b), std::invalid_argument);
}
TEST(ReservationLedger, InvalidRequestsThrow) {
  ReservationLedger ledger(config(), resolve);
  const auto expect_throw = [&](const std::function<void(ReservationRequest&)>& make_invalid) {
    auto w = request(1, 1'000);
    make_invalid(w);
    EXPECT_THROW(ledger.reserve(kNow, "a", w), std::invalid_argument);
  };
  expect_throw([](ReservationRequest& w) { w.rate = {0}; }),
      expect_throw([](ReservationRequest& w) { w.window_length = Minutes{1441}; });
  expect_throw([](ReservationRequest& w) { w.until = kStart + days{401}; }),
      expect_throw([](ReservationRequest& w) { w.until = kStart - days{1}; });
  expect_throw([](ReservationRequest& w) { w.customer = CustomerId{99}; }),
      expect_throw([](ReservationRequest& w) { w.time_zone = "a\"b"; });
  expect_throw([](ReservationRequest& w) {
    w.excluded_dates = {kStart, kStart};
  }),
      expect_throw([](ReservationRequest& w) { w.rule = "", w.start_time = Minutes{60}; });
  EXPECT_THROW(ledger.reserve(kNow, "", request(1, 1'000)), std::invalid_argument);
  EXPECT_EQ(ledger.size(), 0U);
  auto t = config();
  t.max_reservations = 1;
  ledger.set_config(t);
  ledger.reserve(kNow, "a", request(1, 1'000));
  EXPECT_EQ(ledger.reserve(kNow, "b", request(1, 1'000)).outcome, Outcome::full);
}

}  // namespace
}  // namespace petrelrail::fleet
