// Business days: excludes weekends, the closing days of TARGET and lists of local holidays. Used by
// Calendar; does no I/O.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "fleet/reservation.hpp"

namespace petrelrail::calendar {

using fleet::BusinessDayConvention;
using fleet::Date;

// Easter Sunday of the Gregorian calendar (Meeus, Astronomical Algorithms, 1991, chapter 8).
Date easter_sunday(std::chrono::year year);
// True on the closing days of TARGET other than weekends: New Year, Good Friday, Easter Monday,
// 1 May, 25 and 26 December.
bool is_target_holiday(Date day);

class BusinessDays {
 public:
  BusinessDays() = default;  // weekends and TARGET
  // `holidays` are closed in addition to weekends and the closing days of TARGET.
  explicit BusinessDays(const std::vector<Date>& holidays)
      : holidays_(holidays.begin(), holidays.end()) {}
  bool is_business_day(Date day) const;
  // Return the nearest business day after or before `day`. Throw std::invalid_argument if none is
  // found within 40 days.
  Date next(Date day) const { return find(day, std::chrono::days{1}); }
  Date previous(Date day) const { return find(day, std::chrono::days{-1}); }
  // Applies the convention to a day; empty if the day is dropped.
  std::optional<Date> adjust(Date day, BusinessDayConvention convention) const;
  bool is_last_of_month(Date day) const;  // last business day of its month

 private:
  Date find(Date day, std::chrono::days step) const;
  std::set<Date> holidays_;
};

}  // namespace petrelrail::calendar
