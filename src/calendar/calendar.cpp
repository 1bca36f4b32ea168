#include "calendar.hpp"

#include <date/tz.h>
#include <libical/ical.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <stdexcept>
#include <string_view>

namespace petrelrail::calendar {
namespace {

using namespace std::chrono;
using fleet::Minute;
using fleet::UtcOffsets;

// The date library reads the transitions listed in a time zone file, which end in 2037, but not the
// rule for later years.
constexpr Date kLastDate = year{2036} / December / 31;
// A business day convention moves a date by at most the 40 days that BusinessDays searches; the
// margins add days for the UTC offset on both sides.
constexpr days kOffsetsMarginBefore{42}, kOffsetsMarginAfter{42};
constexpr std::size_t kMaxListValues = 32;

[[noreturn]] void throw_invalid(const std::string& message) {
  throw std::invalid_argument("rule: " + message);
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (;;) {
    const auto end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == text.npos) return parts;
    text.remove_prefix(end + 1);
  }
}
// Parses all of `text` as a number in [min, max]; `part` names the rule part in errors.
int parse_int(std::string_view text, int min, int max, std::string_view part) {
  int n = 0;
  if (text.starts_with('+')) text.remove_prefix(1);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || n < min ||
      n > max)
    throw_invalid(std::string(part) + " must be from " + std::to_string(min) + " to " +
                  std::to_string(max));
  return n;
}

// Validates a rule before it is passed to libical, which accepts some parts that RFC 5545 forbids
// and dates that don't exist.
struct RecurrenceRule {
  enum class Frequency { day, week, month, year } frequency{};
  int interval = 1;
  std::vector<int> months, month_days;
  struct Weekday {
    int nth = 0;  // occurrence in the month or year, negative from the end; 0: each
    weekday day;
  };
  std::vector<Weekday> weekdays;
  std::size_t count = 0;  // 0: unlimited
  bool until = false;

  explicit RecurrenceRule(const std::string& text) {
    std::vector<std::string_view> part_names;
    for (const auto part : split(text, ';')) {
      const auto equals = part.find('=');
      const auto name = part.substr(0, equals);
      if (equals == part.npos || part.size() == equals + 1)
        throw_invalid("not a part such as FREQ=DAILY: " + std::string(part));
      if (std::ranges::find(part_names, name) != part_names.end())
        throw_invalid(std::string(name) + " is given twice");
      part_names.push_back(name);
      parse_part(name, part.substr(equals + 1));
    }
    if (std::ranges::find(part_names, "FREQ") == part_names.end()) throw_invalid("FREQ is missing");
    if (count > 0 && until) throw_invalid("COUNT and UNTIL exclude each other");
    // With DAILY, libical finds no days counted from the end of a month.
    if (frequency == Frequency::day && std::ranges::any_of(month_days, [](int d) { return d < 0; }))
      throw_invalid("BYMONTHDAY counts from the end with MONTHLY and YEARLY only");
    if (frequency == Frequency::year && !month_days.empty() &&
        months.empty())  // libraries disagree on whether it means each month
      throw_invalid("BYMONTHDAY with YEARLY needs BYMONTH");
    if (frequency == Frequency::week && !month_days.empty())
      throw_invalid("BYMONTHDAY is not allowed with WEEKLY");
    const auto nth = std::ranges::any_of(weekdays, [](const Weekday& w) { return w.nth != 0; });
    if (nth && frequency != Frequency::month && frequency != Frequency::year)
      throw_invalid("BYDAY takes numbers with MONTHLY and YEARLY only");
    const auto max = frequency == Frequency::month || !months.empty() ? 5 : 53;
    if (std::ranges::any_of(weekdays, [&](const Weekday& w) { return std::abs(w.nth) > max; }))
      throw_invalid("BYDAY counts to " + std::to_string(max) + " at most");
  }
  // Returns whether any date matches both BYMONTH and BYMONTHDAY; if none does, libical would
  // search for centuries.
  bool can_occur() const {
    constexpr sys_days leap = year{2028} / January / 1;
    for (auto d = leap; d < leap + days{366}; d += days{1}) {
      const year_month_day date(d);
      const auto month = static_cast<int>(static_cast<unsigned>(date.month()));
      const auto day = static_cast<int>(static_cast<unsigned>(date.day()));
      const auto end = static_cast<int>(
          static_cast<unsigned>((date.year() / date.month() / last).day()));
      if (!months.empty() && std::ranges::find(months, month) == months.end()) continue;
      if (month_days.empty() || std::ranges::find(month_days, day) != month_days.end() ||
          std::ranges::find(month_days, day - end - 1) != month_days.end())
        return true;
    }
    return false;
  }

 private:
  void parse_part(std::string_view name, std::string_view value) {
    const auto values = split(value, ',');
    if (values.size() > kMaxListValues) throw_invalid(std::string(name) + " has too many values");
    if (name == "FREQ") {
      constexpr std::array<std::string_view, 4> known{"DAILY", "WEEKLY", "MONTHLY", "YEARLY"};
      const auto* const found = std::ranges::find(known, value);
      if (found == known.end()) throw_invalid("FREQ must be DAILY, WEEKLY, MONTHLY or YEARLY");
      frequency = static_cast<Frequency>(found - known.begin());
    } else if (name == "INTERVAL") {
      interval = parse_int(value, 1, 1000, name);
    } else if (name == "COUNT") {
      count = static_cast<std::size_t>(parse_int(value, 1, 1000, name));
    } else if (name == "UNTIL") {
      if (value.size() != 8) throw_invalid("UNTIL must be a date such as 20261231");
      const std::string text(value);
      fleet::parse_date(text.substr(0, 4) + "-" + text.substr(4, 2) + "-" + text.substr(6)),
          until = true;
    } else if (name == "BYMONTH") {
      for (const auto v : values) months.push_back(parse_int(v, 1, 12, name));
    } else if (name == "BYMONTHDAY") {
      for (const auto v : values)
        if (month_days.push_back(parse_int(v, -31, 31, name)); month_days.back() == 0)
          throw_invalid("BYMONTHDAY must not be 0");
    } else if (name == "BYDAY") {
      for (const auto v : values) weekdays.push_back(parse_weekday(v));
    } else if (name == "WKST") {
      if (value.size() != 2) throw_invalid("WKST must be a weekday such as MO");
      parse_weekday(value);
    } else {
      throw_invalid(
          std::string(name) + " is not supported" +
          (name == "BYSETPOS" ? ": BYDAY counts weekdays, `roll` moves to business days" : ""));
    }
  }
  static Weekday parse_weekday(std::string_view text) {
    constexpr std::array<std::string_view, 7> names{"SU", "MO", "TU", "WE", "TH", "FR", "SA"};
    const auto* const found = text.size() < 2
                                  ? names.end()
                                  : std::ranges::find(names, text.substr(text.size() - 2));
    if (found == names.end()) throw_invalid("not a weekday such as MO: " + std::string(text));
    Weekday w{0, weekday(static_cast<unsigned>(found - names.begin()))};
    if (text.size() > 2 &&
        (w.nth = parse_int(text.substr(0, text.size() - 2), -53, 53, "BYDAY")) == 0)
      throw_invalid("BYDAY must not count 0");
    return w;
  }
};

icaltimetype to_ical(Date d) {
  const year_month_day date(d);
  auto t = icaltime_null_date();  // a null time of day, which libical would iterate over
  t.hour = t.minute = t.second = 0;
  t.year = static_cast<int>(date.year());
  t.month = static_cast<int>(static_cast<unsigned>(date.month()));
  t.day = static_cast<int>(static_cast<unsigned>(date.day()));
  return t;
}
struct FreeIterator {
  void operator()(icalrecur_iterator* i) const { icalrecur_iterator_free(i); }
};

}  // namespace

std::vector<Date> expand_rule(const std::string& text, Date from, Date until) {
  if (text.empty()) return from <= until ? std::vector{from} : std::vector<Date>{};
  const RecurrenceRule rule(text);
  if (!rule.can_occur()) return {};
  auto recurrence = icalrecurrencetype_from_string(text.c_str());
  if (recurrence.freq == ICAL_NO_RECURRENCE) throw_invalid("can't be parsed: " + text);
  recurrence.count = 0;  // applied below, as libical counts a day twice that two values name
  if (!rule.until || icaltime_compare(recurrence.until, to_ical(until)) > 0)
    recurrence.until = to_ical(until);
  const std::unique_ptr<icalrecur_iterator, FreeIterator> next(
      icalrecur_iterator_new(recurrence, to_ical(from)));
  std::vector<Date> out;
  while (next) {
    const auto t = icalrecur_iterator_next(next.get());
    if (icaltime_is_null_time(t)) break;
    const Date day = year{t.year} / month(static_cast<unsigned>(t.month)) /
                     std::chrono::day(static_cast<unsigned>(t.day));
    if (day > until || (rule.count > 0 && out.size() == rule.count)) break;
    if (out.empty() || out.back() != day) out.push_back(day);
  }
  return out;
}

UtcOffsets utc_offsets(const std::string& time_zone, Minute from, Minute to) {
  const date::time_zone* tz = nullptr;
  try {
    tz = date::locate_zone(time_zone);
  } catch (const std::exception&) {
    throw std::invalid_argument("unknown time zone: " + time_zone);
  }
  UtcOffsets out;
  auto info = tz->get_info(sys_seconds(from));
  out.initial = floor<minutes>(info.offset);
  while (info.end <= to) {
    const auto at = info.end;
    info = tz->get_info(at);
    const auto offset = floor<minutes>(info.offset);
    if (offset != (out.changes.empty() ? out.initial : out.changes.back().offset))
      out.changes.push_back({floor<minutes>(at), offset});
  }
  return out;
}

Calendar::Calendar(const Holidays& local) {
  business_days_.emplace("", BusinessDays{});
  business_days_.emplace("TARGET", BusinessDays{});
  for (const auto& [name, list] : local)
    if (!business_days_.emplace(name, BusinessDays(list)).second)
      throw std::invalid_argument("calendar is defined twice or has a reserved name: " +
                                  (name.empty() ? "(empty)" : name));
}

fleet::ResolvedReservation Calendar::resolve(const fleet::ReservationRequest& request) const {
  const auto calendar = business_days_.find(request.calendar);
  if (calendar == business_days_.end())
    throw std::invalid_argument("unknown calendar: " + request.calendar);
  const auto& business_days = calendar->second;
  const auto until = request.until.value();
  if (until > kLastDate)
    throw std::invalid_argument("until must not be after 2036, where time zone data ends");
  fleet::ResolvedReservation out;
  out.offsets = utc_offsets(request.time_zone, request.from - kOffsetsMarginBefore,
                            until + kOffsetsMarginAfter);
  out.offsets_fingerprint = fingerprint_of(out.offsets);
  std::vector<Date> found;
  for (const auto day : expand_rule(request.rule, request.from, until))
    if (!std::ranges::binary_search(request.excluded_dates, day))
      if (const auto adjusted = business_days.adjust(day, request.convention))
        found.push_back(*adjusted);
  std::ranges::sort(found);
  const auto repeated = std::ranges::unique(found);
  found.erase(repeated.begin(), repeated.end());
  if (found.empty())
    throw std::invalid_argument("rule has no day from " + fleet::format_date(request.from) +
                                " to " + fleet::format_date(until));
  for (const auto day : found) out.days.push_back({day, business_days.is_last_of_month(day)});
  return out;
}

}  // namespace petrelrail::calendar
