#include "business_days.hpp"

#include <stdexcept>

namespace petrelrail::calendar {
namespace {

using namespace std::chrono;

// Bounds the search for a business day; longer than any month.
constexpr days kMaxSearchDistance{40};

month month_of(Date day) { return year_month_day(day).month(); }

}  // namespace

Date easter_sunday(year of) {
  const int y = static_cast<int>(of), a = y % 19, b = y / 100, c = y % 100;
  const int h = (19 * a + b - b / 4 - (b - (b + 8) / 25 + 1) / 3 + 15) % 30;
  const int l = (32 + 2 * (b % 4) + 2 * (c / 4) - h - c % 4) % 7;
  const int m = (a + 11 * h + 22 * l) / 451, n = h + l - 7 * m + 114;
  return of / month(static_cast<unsigned>(n / 31)) / day(static_cast<unsigned>(n % 31 + 1));
}
bool is_target_holiday(Date d) {
  const year_month_day date(d);
  const auto fixed = date.month() / date.day();
  if (fixed == January / 1 || fixed == May / 1 || fixed == December / 25 || fixed == December / 26)
    return true;
  const auto sunday = easter_sunday(date.year());
  return d == sunday - days{2} || d == sunday + days{1};
}

bool BusinessDays::is_business_day(Date day) const {
  const weekday w(day);
  return w != Saturday && w != Sunday && !is_target_holiday(day) && !holidays_.contains(day);
}
Date BusinessDays::find(Date day, days step) const {
  for (const auto start = day; abs(day - start) < kMaxSearchDistance;)
    if (is_business_day(day += step)) return day;
  throw std::invalid_argument("calendar has no business day within 40 days of " +
                              fleet::format_date(day));
}
std::optional<Date> BusinessDays::adjust(Date day, BusinessDayConvention convention) const {
  if (convention == BusinessDayConvention::keep || is_business_day(day)) return day;
  if (convention == BusinessDayConvention::skip) return {};
  if (convention == BusinessDayConvention::previous) return previous(day);
  const auto later = next(day);
  return convention == BusinessDayConvention::following && month_of(later) != month_of(day)
             ? previous(day)
             : later;
}
bool BusinessDays::is_last_of_month(Date day) const {
  return is_business_day(day) && month_of(next(day)) != month_of(day);
}

}  // namespace petrelrail::calendar
