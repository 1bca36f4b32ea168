// Recurrence rules and time zones: expands rules with libical and reads the system's tzdata with
// the date library. Never call it on the path of a request: a rule that never occurs can keep the
// library busy for a second.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "business_days.hpp"

namespace petrelrail::calendar {

using Holidays = std::map<std::string, std::vector<Date>>;  // by the name of the calendar

class Calendar {
 public:
  explicit Calendar(const Holidays& local = {});
  // Returns the days of a request from `from` to `until`, which must be set, with the UTC offsets
  // of its time zone. Throws std::invalid_argument that names the error for an unknown time zone or
  // calendar, a rule that can't be parsed, and a rule without a day in that period.
  fleet::ResolvedReservation resolve(const fleet::ReservationRequest& request) const;

 private:
  std::map<std::string, BusinessDays> business_days_;
};

// Returns the days of a rule before exceptions and the business day convention are applied.
std::vector<Date> expand_rule(const std::string& rule, Date from, Date until);
// Throws std::invalid_argument for an unknown time zone.
fleet::UtcOffsets utc_offsets(const std::string& time_zone, fleet::Minute from, fleet::Minute to);

}  // namespace petrelrail::calendar
