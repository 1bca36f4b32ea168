// Calendar, compared with independent implementations: rules with a model that tests each day, time
// zones with the C library, Easter with Knuth's algorithm.
#include "calendar/calendar.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <random>

namespace petrelrail::calendar {
namespace {

using namespace std::chrono;
using fleet::Minute;
using fleet::Minutes;
using fleet::ReservationRequest;

Date on(const char* text) { return fleet::parse_date(text); }
std::string error_of(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::invalid_argument& e) {
    return e.what();
  }
  return "no error";
}
ReservationRequest request() {
  ReservationRequest w;
  w.customer = CustomerId{7}, w.rate = {12'000}, w.month_end_rate = {30'000};
  w.time_zone = "Europe/Madrid", w.rule = "FREQ=DAILY", w.convention = BusinessDayConvention::skip;
  w.from = on("2026-12-01"), w.until = on("2027-12-31"), w.start_time = Minutes{18 * 60 + 30},
  w.window_length = Minutes{45};
  return w;
}

// ---- Model -------------------------------------------------------------------------------------

Date knuth_easter(int y) {  // The Art of Computer Programming, 1.3.2, exercise 14
  const int golden = y % 19 + 1, century = y / 100 + 1, skipped = 3 * century / 4 - 12;
  const int correction = (8 * century + 5) / 25 - 5, sunday = 5 * y / 4 - skipped - 10;
  int epact = (11 * golden + 20 + correction - skipped) % 30;
  if ((epact == 25 && golden > 11) || epact == 24) ++epact;
  int n = 44 - epact;
  if (n < 21) n += 30;
  n += 7 - (sunday + n) % 7;
  return Date(year{y} / March / 1) + days{n - 1};
}
bool is_closed(Date d, const std::vector<Date>& local) {
  const auto w = weekday(d).c_encoding();
  if (w == 0 || w == 6 || std::ranges::count(local, d) > 0) return true;
  const auto text = fleet::format_date(d).substr(5);
  const auto e = knuth_easter(static_cast<int>(year_month_day(d).year()));
  return text == "01-01" || text == "05-01" || text == "12-25" || text == "12-26" ||
         d + days{2} == e || d - days{1} == e;
}

struct ModelRule {
  char frequency = 'D';
  int interval = 1, count = 0;
  std::vector<int> months, month_days;
  std::vector<std::pair<int, unsigned>> weekdays;  // ordinal (0: each) and weekday (0: Sunday)
  bool sunday_starts = false;

  std::string text() const {
    static const char* const names[] = {"SU", "MO", "TU", "WE", "TH", "FR", "SA"};
    std::string out = frequency == 'D'   ? "FREQ=DAILY"
                      : frequency == 'W' ? "FREQ=WEEKLY"
                      : frequency == 'M' ? "FREQ=MONTHLY"
                                         : "FREQ=YEARLY";
    const auto list = [&](const char* name, const std::vector<int>& all) {
      for (std::size_t i = 0; i < all.size(); ++i) out += (i ? "," : name) + std::to_string(all[i]);
    };
    if (interval > 1) out += ";INTERVAL=" + std::to_string(interval);
    if (count > 0) out += ";COUNT=" + std::to_string(count);
    list(";BYMONTH=", months), list(";BYMONTHDAY=", month_days);
    for (std::size_t i = 0; i < weekdays.size(); ++i)
      out += (i ? "," : ";BYDAY=") + (weekdays[i].first ? std::to_string(weekdays[i].first) : "") +
             names[weekdays[i].second];
    return out + (sunday_starts ? ";WKST=SU" : "");
  }
  bool contains(Date d, Date from) const {
    const auto number = [](Date x) {
      const year_month_day y(x);
      return std::array{static_cast<int>(y.year()), static_cast<int>(unsigned(y.month())),
                        static_cast<int>(unsigned(y.day()))};
    };
    const auto [y, m, day] = number(d);
    const auto [y0, m0, day0] = number(from);
    const auto week = [&](Date x) { return x - (weekday(x) - (sunday_starts ? Sunday : Monday)); };
    const auto passed = frequency == 'D'   ? (d - from).count()
                        : frequency == 'W' ? (week(d) - week(from)).count() / 7
                        : frequency == 'M' ? (y - y0) * 12 + m - m0
                                           : y - y0;
    if (passed % interval != 0) return false;
    if (!months.empty() && std::ranges::count(months, m) == 0) return false;
    const Date end = year{y} / month(static_cast<unsigned>(m)) / last;
    const int length = number(end)[2];
    if (!month_days.empty() &&
        std::ranges::count(month_days, day) + std::ranges::count(month_days, day - length - 1) == 0)
      return false;
    const bool in_month = frequency == 'M' || !months.empty();
    const Date first = in_month ? Date(year{y} / month(static_cast<unsigned>(m)) / 1)
                                : Date(year{y} / 1 / 1);
    const Date final = in_month ? end : Date(year{y} / 12 / 31);
    bool is_listed = weekdays.empty();
    for (const auto& [nth, w] : weekdays)
      is_listed |= weekday(d).c_encoding() == w &&
                   (nth == 0 || nth == (d - first).count() / 7 + 1 ||
                    nth == -((final - d).count() / 7 + 1));
    if (!is_listed) return false;
    if (weekdays.empty() &&
        month_days.empty()) {  // the first day supplies the parts that the rule leaves out
      if (frequency == 'W') return weekday(d) == weekday(from);
      if (frequency == 'M') return day == day0;
      if (frequency == 'Y') return day == day0 && (!months.empty() || m == m0);
    }
    return true;
  }
  std::vector<Date> all(Date from, Date until) const {
    std::vector<Date> out;
    for (auto d = from; d <= until && (count == 0 || out.size() < static_cast<std::size_t>(count));
         d += days{1})
      if (contains(d, from)) out.push_back(d);
    return out;
  }
};
ModelRule random_rule(std::mt19937& random) {
  const auto one_in = [&](unsigned n) { return random() % n == 0; };
  ModelRule r;
  r.frequency = "DWMY"[random() % 4];
  if (one_in(3)) r.interval = 1 + static_cast<int>(random() % 5);
  if (one_in(3)) r.count = 1 + static_cast<int>(random() % 40);
  r.sunday_starts = one_in(4);
  if (one_in(4))
    for (auto n = 1 + random() % 3; n > 0; --n)
      r.months.push_back(1 + static_cast<int>(random() % 12));
  if (r.frequency != 'W' && (r.frequency != 'Y' || !r.months.empty()) && one_in(2))
    for (auto n = 1 + random() % 3; n > 0; --n) {
      const int d = 1 + static_cast<int>(random() % 28);
      r.month_days.push_back(r.frequency != 'D' && one_in(3) ? -d : d);
    }
  else if (one_in(2))
    for (auto n = 1 + random() % 3; n > 0; --n) {
      const bool has_ordinal = (r.frequency == 'M' || r.frequency == 'Y') && one_in(2);
      r.weekdays.emplace_back(
          has_ordinal ? static_cast<int>(random() % 4 + 1) * (one_in(2) ? -1 : 1) : 0,
          random() % 7);
    }
  return r;
}

// Converts a local time with the C library: the first instant with that local time; for a skipped
// one counts on from the last local time that exists before it.
std::time_t libc_to_utc(std::time_t wall) {
  for (std::time_t skipped = 0;; skipped += 60)
    for (auto t = wall - skipped - 15 * 3600; t <= wall - skipped + 15 * 3600; t += 900) {
      std::tm there{};
      localtime_r(&t, &there);
      if (t + there.tm_gmtoff == wall - skipped) return t + skipped;
    }
}

// ---- Days ---------------------------------------------------------------------------------------

TEST(BusinessDays, EasterMatchesKnuth) {
  for (int y = 1900; y < 2400; ++y) EXPECT_EQ(easter_sunday(year{y}), knuth_easter(y)) << y;
}
TEST(BusinessDays, ConventionsAndLastDaysMatchALinearSearch) {
  const std::vector<Date> local{on("2027-01-06"), on("2027-04-30"), on("2027-12-31"),
                                on("2027-12-30")};
  const BusinessDays calendar(local);
  for (auto d = on("2026-06-01"); d < on("2028-06-01"); d += days{1}) {
    auto next = d, previous = d;
    do next += days{1};
    while (is_closed(next, local));
    do previous -= days{1};
    while (is_closed(previous, local));
    const bool closed = is_closed(d, local),
               is_last_of_month = year_month_day(next).month() != year_month_day(d).month();
    ASSERT_EQ(calendar.is_business_day(d), !closed);
    EXPECT_EQ(calendar.adjust(d, BusinessDayConvention::keep), d);
    EXPECT_EQ(calendar.adjust(d, BusinessDayConvention::skip),
              closed ? std::nullopt : std::optional(d));
    EXPECT_EQ(calendar.adjust(d, BusinessDayConvention::next), closed ? next : d);
    EXPECT_EQ(calendar.adjust(d, BusinessDayConvention::previous), closed ? previous : d);
    EXPECT_EQ(calendar.adjust(d, BusinessDayConvention::following), !closed            ? d
                                                                    : is_last_of_month ? previous
                                                                                       : next);
    EXPECT_EQ(calendar.is_last_of_month(d), !closed && is_last_of_month);
  }
}
TEST(BusinessDays, AMonthWithoutABusinessDayThrowsInsteadOfSearchingOn) {
  std::vector<Date> all;
  for (auto d = on("2027-01-01"); d < on("2027-03-01"); d += days{1}) all.push_back(d);
  EXPECT_NE(error_of([&] { BusinessDays(all).next(on("2027-01-02")); }).find("no business day"),
            std::string::npos);
}

TEST(Calendar, RulesMatchAModelThatTestsEachDay) {
  std::mt19937 random(3);
  std::size_t found = 0;
  for (int i = 0; i < 1500; ++i) {
    const auto rule = random_rule(random);
    const auto from = on("2026-01-01") + days{random() % 366}, until = from + days{730};
    const auto expected = rule.all(from, until);
    if (expected.empty()) continue;  // rules that never occur are tested below
    found += expected.size();
    ASSERT_EQ(expand_rule(rule.text(), from, until), expected)
        << rule.text() << " from " << fleet::format_date(from);
  }
  EXPECT_GT(found, 40'000U);
}
TEST(Calendar, PreviousConventionGivesTheLastBusinessDayOfAMonth) {
  auto w = request();
  const Calendar calendar({{"Oviedo", {on("2027-09-08"), on("2027-06-30")}}});
  w.calendar = "Oviedo";
  std::vector<Date> last_days;
  for (const auto& d : calendar.resolve(w).days)
    if (d.is_last_of_month) last_days.push_back(d.date);
  w.rule = "FREQ=MONTHLY;BYMONTHDAY=-1", w.convention = BusinessDayConvention::previous,
  w.from = on("2026-12-01");
  std::vector<Date> adjusted;
  for (const auto& d : calendar.resolve(w).days) adjusted.push_back(d.date);
  EXPECT_EQ(adjusted, last_days);
  EXPECT_EQ(adjusted.at(6), on("2027-06-29"));
}
TEST(Calendar, ExcludedDatesApplyBeforeTheConvention) {
  auto w = request();
  w.rule = "FREQ=MONTHLY;BYMONTHDAY=1", w.convention = BusinessDayConvention::next,
  w.from = on("2027-05-01"), w.until = on("2027-06-30");
  w.excluded_dates = {on("2027-05-01")};
  const auto days = Calendar().resolve(w).days;
  ASSERT_EQ(days.size(), 1U);
  EXPECT_EQ(days[0].date, on("2027-06-01"));
  w.rule = "FREQ=DAILY", w.from = on("2027-05-01"), w.until = on("2027-05-03"),
  w.excluded_dates = {};
  EXPECT_EQ(Calendar().resolve(w).days.size(), 1U);  // Saturday and Sunday move to Monday
}

TEST(Calendar, InvalidAndImpossibleRulesAreNamedInErrors) {
  const std::vector<std::pair<std::string, std::string>> rules{
      {"DAILY", "not a part"},
      {"FREQ=HOURLY", "FREQ must be"},
      {"FREQ=DAILY;BYHOUR=3", "BYHOUR is not supported"},
      {"FREQ=DAILY;COUNT=2;UNTIL=20270101", "exclude"},
      {"FREQ=DAILY;UNTIL=20270199", "no such date"},
      {"FREQ=WEEKLY;BYDAY=1MO", "BYDAY takes numbers"},
      {"FREQ=DAILY;BYMONTH=13", "from 1 to 12"},
      {"FREQ=MONTHLY;BYMONTHDAY=0", "must not be 0"},
      {"FREQ=MONTHLY;BYMONTHDAY=32", "from -31 to 31"},
      {"FREQ=DAILY;INTERVAL=0", "from 1 to 1000"},
      {"FREQ=DAILY;FREQ=DAILY", "given twice"},
      {"INTERVAL=2", "FREQ is missing"},
      {"FREQ=DAILY;BYSETPOS=1", "roll"},
      {"FREQ=DAILY;RSCALE=HEBREW", "RSCALE is not supported"},
      {"FREQ=DAILY;", "not a part"},
      {"FREQ=WEEKLY;BYMONTHDAY=2", "not allowed with WEEKLY"},
      {"FREQ=DAILY;BYDAY=XX", "not a weekday"},
      {"FREQ=DAILY;COUNT=99999999999", "from 1"},
      {"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "no day from"},
      {"FREQ=MONTHLY;BYMONTH=4;BYMONTHDAY=31", "no day from"},
      {"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29", "no day from"},
      {"FREQ=MONTHLY;BYDAY=6MO", "counts to 5 at most"}};
  for (const auto& [rule, expected_error] : rules) {
    auto w = request();
    w.rule = rule;
    EXPECT_NE(error_of([&] { Calendar().resolve(w); }).find(expected_error), std::string::npos)
        << rule;
  }
  auto w = request();
  for (const auto* zone : {"Europe/Atlantis", "Europe", "../../etc/passwd", "tzdata.zi"}) {
    w.time_zone = zone;
    EXPECT_NE(error_of([&] { Calendar().resolve(w); }).find("unknown time zone"),
              std::string::npos);
  }
  w = request(), w.calendar = "Mars";
  EXPECT_NE(error_of([&] { Calendar().resolve(w); }).find("unknown calendar"), std::string::npos);
  w = request(), w.until = on("2037-01-01");
  EXPECT_NE(error_of([&] { Calendar().resolve(w); }).find("2036"), std::string::npos);
}

// ---- Local time --------------------------------------------------------------------------------

class UtcOffsetsTest : public testing::TestWithParam<const char*> {
 protected:
  void SetUp() override { setenv("TZ", GetParam(), 1), tzset(); }
  void TearDown() override { unsetenv("TZ"), tzset(); }
};
TEST_P(UtcOffsetsTest, LocalTimesConvertAsInTheCLibrary) {
  const auto from = on("2026-01-01"), until = on("2028-01-01");
  const auto offsets = utc_offsets(GetParam(), from - days{2}, until + days{2});
  const auto check = [&](Minute wall) {
    const auto t = offsets.to_utc(local_time<Minutes>(wall.time_since_epoch()));
    ASSERT_EQ(sys_seconds(t).time_since_epoch().count(),
              libc_to_utc(sys_seconds(wall).time_since_epoch().count()))
        << fleet::format_date(floor<days>(wall)) << " minute "
        << (wall - floor<days>(wall)).count();
  };
  std::mt19937 random(8);
  for (Minute day = from; day < until; day += days{1}) check(day + Minutes{random() % 1440});
  for (const auto& c : offsets.changes)  // each minute around the changes
    for (auto wall = c.at + c.offset - Minutes{130}; wall < c.at + c.offset + Minutes{130};
         wall += Minutes{1})
      check(wall);
}
INSTANTIATE_TEST_SUITE_P(TimeZones, UtcOffsetsTest,
                         testing::Values("Europe/Madrid", "America/New_York", "America/Santiago",
                                         "Australia/Lord_Howe", "Asia/Kolkata", "Africa/Casablanca",
                                         "Pacific/Chatham", "UTC", "America/St_Johns",
                                         "Atlantic/Azores"));

TEST(Windows, SkippedAndRepeatedLocalTimesHaveOneMeaning) {
  auto w = request();
  w.rule = "", w.convention = BusinessDayConvention::keep, w.start_time = Minutes{2 * 60 + 30};
  const auto first = [&](const char* day) {
    w.from = on(day), w.until = on(day);
    return compute_windows(w, Calendar().resolve(w), Minutes{0}, Minute{}).at(0);
  };
  EXPECT_EQ(first("2027-03-28").from, on("2027-03-28") + Minutes{90});  // 03:30 summer time
  EXPECT_EQ(first("2027-10-31").from, on("2027-10-31") + Minutes{30});  // the first 02:30
  w.start_time = Minutes{23 * 60 + 50}, w.window_length = Minutes{300};
  const auto night = first("2027-03-27");
  EXPECT_EQ(night.to - night.from, Minutes{300});  // elapsed time, across midnight and the change
}
TEST(Windows, OverlapsTakeTheHigherRate) {
  auto w = request();
  w.convention = BusinessDayConvention::keep, w.start_time = Minutes{0},
  w.window_length = Minutes{1440}, w.month_end_rate = {1'000};
  w.from = on("2027-03-26"), w.until = on("2027-04-02");
  const auto windows = compute_windows(w, Calendar().resolve(w), Minutes{0}, Minute{});
  for (std::size_t i = 1; i < windows.size(); ++i) ASSERT_GE(windows[i].from, windows[i - 1].to);
  ASSERT_EQ(windows.size(),
            3U);  // before the 31st, the last business day at a lower rate, after it
  EXPECT_EQ(windows[1].rate.milliunits, 1'000);
  EXPECT_EQ(windows[2].to, on("2027-04-03") - Minutes{120});
  const auto cut = compute_windows(w, Calendar().resolve(w), Minutes{0},
                                   on("2027-04-02") + Minutes{5});
  ASSERT_EQ(cut.size(), 1U);
  EXPECT_EQ(cut[0].from, on("2027-04-02") + Minutes{5});
}
TEST(Windows, FingerprintDependsOnTransitions) {
  auto a = utc_offsets("Europe/Madrid", on("2026-12-01"), on("2027-12-31"));
  EXPECT_EQ(fingerprint_of(a),
            fingerprint_of(utc_offsets("Europe/Paris", on("2026-12-01"),
                                       on("2027-12-31"))));  // by transitions, not names
  EXPECT_NE(fingerprint_of(a),
            fingerprint_of(utc_offsets("Europe/Lisbon", on("2026-12-01"), on("2027-12-31"))));
  const auto before = fingerprint_of(a);
  a.changes.at(0).at += Minutes{60};
  EXPECT_NE(fingerprint_of(a), before);
}

}  // namespace
}  // namespace petrelrail::calendar
