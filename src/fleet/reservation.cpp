#include "reservation.hpp"

#include <sodium/crypto_shorthash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <stdexcept>
#include <utility>

#include "datagram.hpp"

namespace petrelrail::fleet {
namespace {

using std::chrono::floor;

constexpr std::uint8_t kValueVersion = 1;
constexpr unsigned kVarintBits = 7;  // value bits in each byte of a variable-length integer
constexpr std::uint8_t kVarintContinuation = 0x80;
constexpr std::size_t kMaxTimeZoneLength = 40, kMaxCalendarLength = 16, kMaxRuleLength = 100,
                      kMaxKeyLength = 64;  // characters
constexpr Minutes kDay{1440};
constexpr Date kFirstDate = std::chrono::year{1970} / 1 / 1,
               kLastDate = std::chrono::year{2400} / 1 / 1;
constexpr std::array<const char*, kBusinessDayConventions> kConventionNames{
    "keep", "skip", "next", "previous", "following"};

[[noreturn]] void throw_invalid(const std::string& message) {
  throw std::invalid_argument(message);
}
void require(bool condition, const char* message) {
  if (!condition) throw_invalid(message);
}
bool is_alphanumeric(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}
bool has_only_alphanumeric_or(std::string_view text, std::string_view other_chars) {
  return std::ranges::all_of(
      text, [&](char c) { return is_alphanumeric(c) || other_chars.find(c) != other_chars.npos; });
}
// Parses the digits [from, from + count); empty if another character is among them.
std::optional<unsigned> parse_digits(std::string_view text, std::size_t from, std::size_t count) {
  unsigned n = 0;
  for (const char c : text.substr(from, count)) {
    if (c < '0' || c > '9') return {};
    n = n * 10 + static_cast<unsigned>(c - '0');
  }
  return n;
}

class Fnv1a {  // FNV-1a, 32 bits
 public:
  void add(std::int64_t n) {
    for (unsigned i = 0; i < 64; i += 8)
      hash_ = (hash_ ^ ((static_cast<std::uint64_t>(n) >> i) & 0xFF)) * 16777619U;
  }
  std::uint32_t value() const { return hash_; }

 private:
  std::uint32_t hash_ = 2166136261U;
};
std::uint64_t siphash(const std::string& text) {
  // A fixed key that is not secret: a text must have the same hash on every node.
  constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
  std::array<unsigned char, crypto_shorthash_BYTES> out{};
  crypto_shorthash(out.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   key.data());
  std::uint64_t n = 0;
  for (const auto b : out) n = n << 8U | b;
  return n;
}

class Writer {
 public:
  void fixed(std::uint64_t n, unsigned bytes) {
    for (unsigned i = bytes; i > 0; --i)
      text += static_cast<char>(static_cast<std::uint8_t>(n >> (8 * (i - 1))));
  }
  void varint(std::uint64_t n) {
    for (; n >= kVarintContinuation; n >>= kVarintBits)
      text += static_cast<char>(static_cast<std::uint8_t>(n | kVarintContinuation));
    text += static_cast<char>(static_cast<std::uint8_t>(n));
  }
  void string(const std::string& s) { varint(s.size()), text += s; }
  std::string text;
};
class Reader {
 public:
  explicit Reader(std::string_view text) : rest_(text) {}
  std::uint64_t fixed(unsigned bytes) {
    std::uint64_t n = 0;
    for (; bytes > 0; --bytes) n = n << 8U | byte();
    return n;
  }
  std::uint64_t varint(std::uint64_t max) {
    std::uint64_t n = 0;
    for (unsigned shift = 0;; shift += kVarintBits) {
      const auto b = byte();
      require(shift < 63, "a variable-length integer is too long");
      n |= static_cast<std::uint64_t>(b & (kVarintContinuation - 1U)) << shift;
      if (b >= kVarintContinuation) continue;
      require(b > 0 || shift == 0, "a variable-length integer is not in its shortest form");
      require(n <= max, "a number is out of range");
      return n;
    }
  }
  std::string string(std::size_t max) {
    const auto size = varint(max);
    require(rest_.size() >= size, "record value is truncated");
    std::string s(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return s;
  }
  void expect_end() const { require(rest_.empty(), "record value has trailing bytes"); }

 private:
  std::uint8_t byte() {
    require(!rest_.empty(), "record value is truncated");
    const auto b = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return b;
  }
  std::string_view rest_;
};

std::uint64_t day_number(Date d) {
  return static_cast<std::uint64_t>(d.time_since_epoch().count());
}
void write(Writer& out, const ReservationRequest& request) {
  out.fixed(static_cast<std::uint64_t>(request.customer), 8);
  out.varint(static_cast<std::uint64_t>(request.rate.milliunits)),
      out.varint(static_cast<std::uint64_t>(request.month_end_rate.milliunits));
  out.string(request.time_zone), out.string(request.calendar), out.string(request.rule);
  out.fixed(static_cast<std::uint8_t>(request.convention), 1);
  out.varint(day_number(request.from));
  out.varint(request.until ? day_number(*request.until) - day_number(request.from) + 1 : 0);
  out.varint(static_cast<std::uint64_t>(request.start_time.count())),
      out.varint(static_cast<std::uint64_t>(request.window_length.count()));
  out.varint(request.excluded_dates.size());
  auto previous = request.from;
  for (const auto d : request.excluded_dates)
    out.varint(day_number(d) - day_number(previous)), previous = d;
}
ReservationRequest read_request(Reader& in) {
  ReservationRequest request;
  request.customer = CustomerId(in.fixed(8));
  request.rate.milliunits = static_cast<std::int64_t>(in.varint(kMaxRateMilliunits));
  request.month_end_rate.milliunits = static_cast<std::int64_t>(in.varint(kMaxRateMilliunits));
  request.time_zone = in.string(kMaxTimeZoneLength),
  request.calendar = in.string(kMaxCalendarLength), request.rule = in.string(kMaxRuleLength);
  const auto convention = in.fixed(1);
  require(convention < kBusinessDayConventions, "unknown roll");
  request.convention = static_cast<BusinessDayConvention>(convention);
  const auto max_days = day_number(kLastDate);
  const auto days = [](std::uint64_t n) { return std::chrono::days(static_cast<std::int32_t>(n)); };
  request.from = Date(days(in.varint(max_days)));
  if (const auto until = in.varint(max_days)) request.until = request.from + days(until - 1);
  request.start_time = Minutes(in.varint(static_cast<std::uint64_t>(kDay.count())));
  request.window_length = Minutes(in.varint(static_cast<std::uint64_t>(kMaxWindowLength.count())));
  auto day = request.from;
  for (auto n = in.varint(kMaxRecordValueBytes); n > 0; --n)
    request.excluded_dates.push_back(day += days(in.varint(max_days)));
  return request;
}

}  // namespace

void validate(const ReservationRequest& request) {
  const auto rate = [](Rate r) { return r.milliunits >= 1 && r.milliunits <= kMaxRateMilliunits; };
  const auto date = [](Date d) { return d >= kFirstDate && d < kLastDate; };
  require(rate(request.rate), "pace must be from 0.001 to 1,000,000 units a second");
  require(rate(request.month_end_rate), "last-pace must be from 0.001 to 1,000,000 units a second");
  require(!request.time_zone.empty() && request.time_zone.size() <= kMaxTimeZoneLength &&
              has_only_alphanumeric_or(request.time_zone, "_+-/") &&
              request.time_zone.front() != '/',
          "zone must be a name such as Europe/Madrid with at most 40 characters");
  require(request.calendar.size() <= kMaxCalendarLength &&
              has_only_alphanumeric_or(request.calendar, "_-"),
          "calendar must be a name of at most 16 letters, digits, - and _");
  require(request.rule.size() <= kMaxRuleLength && has_only_alphanumeric_or(request.rule, "=;,+-"),
          "rule must be an RRULE of at most 100 characters");
  require(static_cast<std::uint8_t>(request.convention) < kBusinessDayConventions, "unknown roll");
  require(date(request.from), "from must be in the years 1970 to 2399");
  require(!request.until || (date(*request.until) && *request.until >= request.from),
          "until must not be before from");
  require(request.start_time >= Minutes{0} && request.start_time < kDay,
          "at must be a time from 00:00 to 23:59");
  require(request.window_length >= Minutes{1} && request.window_length <= kMaxWindowLength,
          "minutes must be from 1 to 1440");
  require(std::ranges::adjacent_find(request.excluded_dates, std::greater_equal{}) ==
              request.excluded_dates.end(),
          "except must be in ascending order without duplicates");
  require(
      request.excluded_dates.empty() ||
          (request.excluded_dates.front() >= request.from && date(request.excluded_dates.back()) &&
           (!request.until || request.excluded_dates.back() <= *request.until)),
      "except must not have a day before from or after until");
}

const char* name_of(BusinessDayConvention convention) {
  return kConventionNames.at(static_cast<std::size_t>(convention));
}
BusinessDayConvention parse_convention(std::string_view text) {
  const auto* const found = std::ranges::find(kConventionNames, text);
  require(found != kConventionNames.end(), "roll must be keep, skip, next, previous or following");
  return static_cast<BusinessDayConvention>(found - kConventionNames.begin());
}
Date parse_date(std::string_view text) {
  const auto has_shape = text.size() == 10 && text[4] == '-' && text[7] == '-';
  const auto y = parse_digits(text, 0, 4), m = has_shape ? parse_digits(text, 5, 2) : y,
             d = has_shape ? parse_digits(text, 8, 2) : y;
  if (!has_shape || !y || !m || !d)
    throw_invalid("not a date such as 2026-12-02: " + std::string(text.substr(0, kMaxKeyLength)));
  const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(*y)),
                                         std::chrono::month(*m), std::chrono::day(*d)};
  if (!date.ok()) throw_invalid("no such date: " + std::string(text));
  return date;
}
Minutes parse_time_of_day(std::string_view text) {
  const auto has_shape = text.size() == 5 && text[2] == ':';
  const auto h = has_shape ? parse_digits(text, 0, 2) : std::nullopt,
             m = has_shape ? parse_digits(text, 3, 2) : std::nullopt;
  if (!h || !m || *h > 23 || *m > 59)
    throw_invalid("not a time of day such as 18:30: " + std::string(text.substr(0, kMaxKeyLength)));
  return Minutes(*h * 60 + *m);
}
std::string format_date(Date d) {
  const std::chrono::year_month_day date(d);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text.data();
}

Minute UtcOffsets::to_utc(std::chrono::local_time<Minutes> local) const {
  const Minute local_as_utc(local.time_since_epoch());
  auto previous = initial, offset = initial;
  Minute since = Minute::min();
  for (const auto& c : changes) {
    if (local_as_utc - offset < c.at) break;
    since = c.at, previous = offset, offset = c.offset;
  }
  const auto t = local_as_utc - offset;
  return t >= since ? t : local_as_utc - previous;
}
bool UtcOffsets::has_change_between(Minute from, Minute to) const {
  return std::ranges::any_of(changes, [&](const Change& c) { return c.at >= from && c.at <= to; });
}
std::uint32_t fingerprint_of(const UtcOffsets& offsets) {
  Fnv1a hash;
  hash.add(offsets.initial.count());
  for (const auto& c : offsets.changes)
    hash.add(c.at.time_since_epoch().count()), hash.add(c.offset.count());
  return hash.value();
}

std::vector<Window> compute_windows(const ReservationRequest& request,
                                    const ResolvedReservation& resolved, Minutes shift,
                                    Minute since) {
  std::vector<Window> all, out;
  all.reserve(resolved.days.size()), out.reserve(resolved.days.size());
  for (const auto& d : resolved.days) {
    const std::chrono::local_time<Minutes> local(d.date.time_since_epoch() + request.start_time +
                                                 shift);
    const auto start = resolved.offsets.to_utc(local);
    if (start + request.window_length > since)
      all.push_back({start, start + request.window_length,
                     d.is_last_of_month ? request.month_end_rate : request.rate});
  }
  // A skipped day or hour can move a window behind the next one.
  std::ranges::stable_sort(all, {}, &Window::from);
  for (auto w : all) {  // all have the same length, so none ends before its predecessor
    w.from = std::max(w.from, since);
    while (!out.empty() && out.back().to > w.from && out.back().rate < w.rate) {
      out.back().to = w.from;
      if (out.back().from < out.back().to) break;
      out.pop_back();
    }
    if (!out.empty()) w.from = std::max(w.from, out.back().to);
    if (w.from >= w.to) continue;
    if (!out.empty() && out.back().to == w.from && out.back().rate == w.rate)
      out.back().to = w.to;
    else
      out.push_back(w);
  }
  return out;
}
std::uint32_t fingerprint_of(const std::vector<Window>& windows) {
  Fnv1a hash;
  for (const auto& w : windows)
    for (const auto n :
         {w.from.time_since_epoch().count(), w.to.time_since_epoch().count(), w.rate.milliunits})
      hash.add(n);
  return hash.value();
}

ReservationId make_reservation_id(CustomerId customer, std::string_view key) {
  require(!key.empty() && key.size() <= kMaxKeyLength &&
              std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; }),
          "key must have 1 to 64 printable ASCII characters without blanks");
  Writer text;
  text.fixed(static_cast<std::uint64_t>(customer), 8);
  return ReservationId(siphash(text.text.append(key)));
}
std::uint64_t hash_content(const ReservationRequest& request) {
  Writer text;
  write(text, request);
  return siphash(text.text);
}

std::string encode(const Reservation& reservation) {
  validate(reservation.request);
  Writer out;
  out.fixed(kValueVersion, 1);
  out.varint(static_cast<std::uint64_t>(reservation.decision_time.time_since_epoch().count()));
  out.fixed(reservation.content_hash, 8), out.fixed(reservation.windows_fingerprint, 4),
      out.fixed(reservation.offsets_fingerprint, 4);
  write(out, reservation.request);
  require(out.text.size() <= kMaxRecordValueBytes,
          "rule, names and exceptions are together too long for a record of 200 bytes");
  return std::move(out.text);
}
Reservation decode_reservation(ReservationId id, std::string_view value) {
  require(value.size() <= kMaxRecordValueBytes, "longer than a record value can be");
  Reader in(value);
  require(in.fixed(1) == kValueVersion, "unknown version of the record value");
  Reservation reservation;
  reservation.id = id;
  reservation.decision_time = std::chrono::sys_seconds(
      std::chrono::seconds(in.varint(std::numeric_limits<std::uint32_t>::max())));
  reservation.content_hash = in.fixed(8);
  reservation.windows_fingerprint = static_cast<std::uint32_t>(in.fixed(4)),
  reservation.offsets_fingerprint = static_cast<std::uint32_t>(in.fixed(4));
  reservation.request = read_request(in);
  in.expect_end();
  require(reservation.request.until.has_value(), "until is missing");
  validate(reservation.request);
  return reservation;
}

}  // namespace petrelrail::fleet
