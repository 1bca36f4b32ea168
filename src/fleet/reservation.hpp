// Data types of a capacity reservation for batch requests: the request, its resolution to windows
// of time, and the encoding of its replicated record (docs/bookings.md). Used by the reservation
// ledger and by src/calendar. Does no I/O, reads no clock and needs no calendar library.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "petrelrail/types.hpp"

namespace petrelrail::fleet {

using Minutes = std::chrono::minutes;
using Minute = std::chrono::sys_time<Minutes>;  // Unix time
using Date = std::chrono::sys_days;             // calendar date in the time zone of the context

struct Rate {  // in thousandths of a unit per second
  std::int64_t milliunits = 0;
  auto operator<=>(const Rate&) const = default;
  Rate& operator+=(Rate o) { return milliunits += o.milliunits, *this; }
  Rate& operator-=(Rate o) { return milliunits -= o.milliunits, *this; }
  friend Rate operator+(Rate a, Rate b) { return a += b; }
  friend Rate operator-(Rate a, Rate b) { return a -= b; }
};

enum class ReservationId : std::uint64_t {};
// Where a date that is not a business day is moved to. `keep` leaves it, `skip` drops it, `next`
// and `previous` take the nearest business day; `following` is `next` unless that lies in the next
// month, else `previous` (the modified following convention).
enum class BusinessDayConvention : std::uint8_t { keep, skip, next, previous, following };
inline constexpr std::uint8_t kBusinessDayConventions = 5;

inline constexpr Minutes kMaxWindowLength{1440};
inline constexpr std::chrono::days kReservationHorizon{400};
inline constexpr std::int64_t kMaxRateMilliunits = 1'000'000'000;  // a million units per second

struct ReservationRequest {
  CustomerId customer{};
  Rate rate, month_end_rate;  // the second applies on the last business day of a month
  std::string time_zone;      // name in tzdata
  std::string calendar;       // empty: weekends and the closing days of TARGET
  std::string rule;           // RRULE of whole days; empty: a single day
  BusinessDayConvention convention = BusinessDayConvention::keep;
  Date from{};                         // first day of the rule
  std::optional<Date> until{};         // last day of the rule; empty: the end of the horizon
  Minutes start_time{};                // local time since midnight
  Minutes window_length{};             // elapsed time, unaffected by changes of the UTC offset
  std::vector<Date> excluded_dates{};  // days of the rule to leave out, ascending
  bool operator==(const ReservationRequest&) const = default;
};
// Throws std::invalid_argument that names the invalid field. Does not check that time zone,
// calendar and rule can be resolved; the calendar does that.
void validate(const ReservationRequest& request);
const char* name_of(BusinessDayConvention convention);
// Parse a convention's name, a date as "2026-12-02" and a time of day as "18:30". Throw
// std::invalid_argument for any other text.
BusinessDayConvention parse_convention(std::string_view text);
Date parse_date(std::string_view text);
Minutes parse_time_of_day(std::string_view text);
std::string format_date(Date date);

// UTC offsets of a time zone over the period of a reservation.
struct UtcOffsets {
  struct Change {
    Minute at;
    Minutes offset;
    bool operator==(const Change&) const = default;
  };
  Minutes initial{};            // before all changes
  std::vector<Change> changes;  // ascending
  // Converts a local time as RFC 5545 defines it: a time that is skipped uses the offset before the
  // change, a time that occurs twice means its first occurrence.
  Minute to_utc(std::chrono::local_time<Minutes> local) const;
  bool has_change_between(Minute from, Minute to) const;  // both ends included
  bool operator==(const UtcOffsets&) const = default;
};
// The days of a request after the business day convention, and the UTC offsets of its time zone.
struct ResolvedReservation {
  struct Day {
    Date date;
    bool is_last_of_month = false;  // last business day of its month
    bool operator==(const Day&) const = default;
  };
  std::vector<Day> days;  // ascending, without duplicates
  UtcOffsets offsets;
  std::uint32_t offsets_fingerprint = 0;
};
std::uint32_t fingerprint_of(const UtcOffsets& offsets);

struct Window {
  Minute from, to;  // [from, to)
  Rate rate;
  bool operator==(const Window&) const = default;
};
// Returns the windows of a request, ascending and without overlaps. `shift` is added to the start
// time of each day; time before `since` is cut off.
std::vector<Window> compute_windows(const ReservationRequest& request,
                                    const ResolvedReservation& resolved, Minutes shift,
                                    Minute since);
std::uint32_t fingerprint_of(const std::vector<Window>& windows);

struct Reservation {
  ReservationId id{};
  ReservationRequest request;  // `until` is set
  std::chrono::sys_seconds decision_time{};
  std::uint64_t content_hash = 0;         // of the request as first submitted
  std::uint32_t windows_fingerprint = 0;  // of the windows that were accepted
  std::uint32_t offsets_fingerprint = 0;
  bool operator==(const Reservation&) const = default;
};
// Returns the same ID on every node. Throws std::invalid_argument unless the key has 1 to 64
// printable ASCII characters other than blanks.
ReservationId make_reservation_id(CustomerId customer, std::string_view key);
std::uint64_t hash_content(const ReservationRequest& request);
// Encode and decode the value of a reservation's record. Both throw std::invalid_argument that
// names the error: encode for more than kMaxRecordValueBytes (datagram.hpp), decode for any value
// that encode does not produce.
std::string encode(const Reservation& reservation);
Reservation decode_reservation(ReservationId id, std::string_view value);

}  // namespace petrelrail::fleet
