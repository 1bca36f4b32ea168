#include "booking.hpp"

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

constexpr std::uint8_t kVersionOfValue = 1;
constexpr unsigned kPart = 7;  // bits of a number in each of its bytes
constexpr std::uint8_t kMore = 0x80;
constexpr std::size_t kMostZone = 40, kMostCalendar = 16, kMostRule = 100,
                      kMostKey = 64;  // characters
constexpr Minutes kDay{1440};
constexpr Date kFirstDate = std::chrono::year{1970} / 1 / 1,
               kLastDate = std::chrono::year{2400} / 1 / 1;
constexpr std::array<const char*, kRolls> kRollNames{"keep", "skip", "next", "previous",
                                                     "following"};

[[noreturn]] void wrong(const std::string& what) { throw std::invalid_argument(what); }
void check(bool holds, const char* what) {
  if (!holds) wrong(what);
}
bool alphanumeric(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}
bool made_of(std::string_view text, std::string_view others) {
  return std::ranges::all_of(
      text, [&](char c) { return alphanumeric(c) || others.find(c) != others.npos; });
}
// Digits [from, from + count) as a number; none where there is another character.
std::optional<unsigned> digits(std::string_view text, std::size_t from, std::size_t count) {
  unsigned n = 0;
  for (const char c : text.substr(from, count)) {
    if (c < '0' || c > '9') return {};
    n = n * 10 + static_cast<unsigned>(c - '0');
  }
  return n;
}

class Fnv {  // FNV-1a, 32 bits
 public:
  void number(std::int64_t n) {
    for (unsigned i = 0; i < 64; i += 8)
      sum_ = (sum_ ^ ((static_cast<std::uint64_t>(n) >> i) & 0xFF)) * 16777619U;
  }
  std::uint32_t sum() const { return sum_; }

 private:
  std::uint32_t sum_ = 2166136261U;
};
std::uint64_t hashed(const std::string& text) {
  // The key is no secret: the same text must give the same number at every node.
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
  void number(std::uint64_t n) {
    for (; n >= kMore; n >>= kPart) text += static_cast<char>(static_cast<std::uint8_t>(n | kMore));
    text += static_cast<char>(static_cast<std::uint8_t>(n));
  }
  void string(const std::string& s) { number(s.size()), text += s; }
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
  std::uint64_t number(std::uint64_t most) {
    std::uint64_t n = 0;
    for (unsigned shift = 0;; shift += kPart) {
      const auto b = byte();
      check(shift < 63, "a number is too long");
      n |= static_cast<std::uint64_t>(b & (kMore - 1U)) << shift;
      if (b >= kMore) continue;
      check(b > 0 || shift == 0, "a number has an empty end");
      check(n <= most, "a number is too large");
      return n;
    }
  }
  std::string string(std::size_t most) {
    const auto size = number(most);
    check(rest_.size() >= size, "cut short");
    std::string s(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return s;
  }
  void end() const { check(rest_.empty(), "bytes are left over"); }

 private:
  std::uint8_t byte() {
    check(!rest_.empty(), "cut short");
    const auto b = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return b;
  }
  std::string_view rest_;
};

std::uint64_t days_of(Date d) { return static_cast<std::uint64_t>(d.time_since_epoch().count()); }
void write(Writer& out, const Wish& w) {
  out.fixed(static_cast<std::uint64_t>(w.team), 8);
  out.number(static_cast<std::uint64_t>(w.pace.milli)),
      out.number(static_cast<std::uint64_t>(w.last_pace.milli));
  out.string(w.zone), out.string(w.calendar), out.string(w.rule);
  out.fixed(static_cast<std::uint8_t>(w.roll), 1);
  out.number(days_of(w.from));
  out.number(w.until ? days_of(*w.until) - days_of(w.from) + 1 : 0);
  out.number(static_cast<std::uint64_t>(w.at.count())),
      out.number(static_cast<std::uint64_t>(w.length.count()));
  out.number(w.except.size());
  auto before = w.from;
  for (const auto d : w.except) out.number(days_of(d) - days_of(before)), before = d;
}
Wish read_wish(Reader& in) {
  Wish w;
  w.team = CustomerId(in.fixed(8));
  w.pace.milli = static_cast<std::int64_t>(in.number(kMostMilli));
  w.last_pace.milli = static_cast<std::int64_t>(in.number(kMostMilli));
  w.zone = in.string(kMostZone), w.calendar = in.string(kMostCalendar),
  w.rule = in.string(kMostRule);
  const auto roll = in.fixed(1);
  check(roll < kRolls, "roll is not known");
  w.roll = static_cast<Roll>(roll);
  const auto span = days_of(kLastDate);
  const auto days = [](std::uint64_t n) { return std::chrono::days(static_cast<std::int32_t>(n)); };
  w.from = Date(days(in.number(span)));
  if (const auto until = in.number(span)) w.until = w.from + days(until - 1);
  w.at = Minutes(in.number(static_cast<std::uint64_t>(kDay.count())));
  w.length = Minutes(in.number(static_cast<std::uint64_t>(kMostLength.count())));
  auto day = w.from;
  for (auto n = in.number(kMaxRecordValueBytes); n > 0; --n)
    w.except.push_back(day += days(in.number(span)));
  return w;
}

}  // namespace

void validate(const Wish& w) {
  const auto pace = [](Rate r) { return r.milli >= 1 && r.milli <= kMostMilli; };
  const auto date = [](Date d) { return d >= kFirstDate && d < kLastDate; };
  check(pace(w.pace), "pace must be from 0.001 to 1,000,000 units a second");
  check(pace(w.last_pace), "last-pace must be from 0.001 to 1,000,000 units a second");
  check(!w.zone.empty() && w.zone.size() <= kMostZone && made_of(w.zone, "_+-/") &&
            w.zone.front() != '/',
        "zone must be a name as Europe/Madrid, of at most 40 characters");
  check(w.calendar.size() <= kMostCalendar && made_of(w.calendar, "_-"),
        "calendar must be a name of at most 16 letters, digits, - and _");
  check(w.rule.size() <= kMostRule && made_of(w.rule, "=;,+-"),
        "rule must be an RRULE of at most 100 characters");
  check(static_cast<std::uint8_t>(w.roll) < kRolls, "roll is not known");
  check(date(w.from), "from must lie in the years 1970 to 2399");
  check(!w.until || (date(*w.until) && *w.until >= w.from), "until must be a day from `from` on");
  check(w.at >= Minutes{0} && w.at < kDay, "at must be a time from 00:00 to 23:59");
  check(w.length >= Minutes{1} && w.length <= kMostLength, "minutes must be from 1 to 1440");
  check(std::ranges::adjacent_find(w.except, std::greater_equal{}) == w.except.end(),
        "except must be in ascending order, each day once");
  check(w.except.empty() || (w.except.front() >= w.from && date(w.except.back()) &&
                             (!w.until || w.except.back() <= *w.until)),
        "except must lie from `from` to `until`");
}

const char* name_of(Roll r) { return kRollNames.at(static_cast<std::size_t>(r)); }
Roll roll_of(std::string_view text) {
  const auto* const found = std::ranges::find(kRollNames, text);
  check(found != kRollNames.end(), "roll must be keep, skip, next, previous or following");
  return static_cast<Roll>(found - kRollNames.begin());
}
Date date_of(std::string_view text) {
  const auto shape = text.size() == 10 && text[4] == '-' && text[7] == '-';
  const auto y = digits(text, 0, 4), m = shape ? digits(text, 5, 2) : y,
             d = shape ? digits(text, 8, 2) : y;
  if (!shape || !y || !m || !d)
    wrong("not a date as 2026-12-02: " + std::string(text.substr(0, kMostKey)));
  const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(*y)),
                                         std::chrono::month(*m), std::chrono::day(*d)};
  if (!date.ok()) wrong("there is no such date: " + std::string(text));
  return date;
}
Minutes time_of_day(std::string_view text) {
  const auto shape = text.size() == 5 && text[2] == ':';
  const auto h = shape ? digits(text, 0, 2) : std::nullopt,
             m = shape ? digits(text, 3, 2) : std::nullopt;
  if (!h || !m || *h > 23 || *m > 59)
    wrong("not a time as 18:30: " + std::string(text.substr(0, kMostKey)));
  return Minutes(*h * 60 + *m);
}
std::string text_of(Date d) {
  const std::chrono::year_month_day date(d);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02u", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
  return text.data();
}

Minute Offsets::instant(std::chrono::local_time<Minutes> wall) const {
  const Minute as_utc(wall.time_since_epoch());
  auto before = first, offset = first;
  Minute since = Minute::min();
  for (const auto& c : changes) {
    if (as_utc - offset < c.at) break;
    since = c.at, before = offset, offset = c.offset;
  }
  const auto t = as_utc - offset;
  return t >= since ? t : as_utc - before;
}
bool Offsets::changes_within(Minute from, Minute to) const {
  return std::ranges::any_of(changes, [&](const Change& c) { return c.at >= from && c.at <= to; });
}
std::uint32_t print_of(const Offsets& offsets) {
  Fnv sum;
  sum.number(offsets.first.count());
  for (const auto& c : offsets.changes)
    sum.number(c.at.time_since_epoch().count()), sum.number(c.offset.count());
  return sum.sum();
}

std::vector<Window> lay(const Wish& wish, const Reckoned& reckoned, Minutes shift, Minute since) {
  std::vector<Window> all, out;
  all.reserve(reckoned.days.size()), out.reserve(reckoned.days.size());
  for (const auto& d : reckoned.days) {
    const std::chrono::local_time<Minutes> wall(d.date.time_since_epoch() + wish.at + shift);
    const auto start = reckoned.offsets.instant(wall);
    if (start + wish.length > since)
      all.push_back({start, start + wish.length, d.last ? wish.last_pace : wish.pace});
  }
  std::ranges::stable_sort(all, {},
                           &Window::from);  // a skipped day or hour can lay one behind the next
  for (auto w : all) {  // all are as long, so none ends before the one it follows
    w.from = std::max(w.from, since);
    while (!out.empty() && out.back().to > w.from && out.back().pace < w.pace) {
      out.back().to = w.from;
      if (out.back().from < out.back().to) break;
      out.pop_back();
    }
    if (!out.empty()) w.from = std::max(w.from, out.back().to);
    if (w.from >= w.to) continue;
    if (!out.empty() && out.back().to == w.from && out.back().pace == w.pace)
      out.back().to = w.to;
    else
      out.push_back(w);
  }
  return out;
}
std::uint32_t print_of(const std::vector<Window>& windows) {
  Fnv sum;
  for (const auto& w : windows)
    for (const auto n :
         {w.from.time_since_epoch().count(), w.to.time_since_epoch().count(), w.pace.milli})
      sum.number(n);
  return sum.sum();
}

BookingId id_of(CustomerId team, std::string_view key) {
  check(!key.empty() && key.size() <= kMostKey &&
            std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; }),
        "key must have 1 to 64 printable characters, none of them blank");
  Writer text;
  text.fixed(static_cast<std::uint64_t>(team), 8);
  return BookingId(hashed(text.text.append(key)));
}
std::uint64_t content_of(const Wish& wish) {
  Writer text;
  write(text, wish);
  return hashed(text.text);
}

std::string encode(const Booking& b) {
  validate(b.wish);
  Writer out;
  out.fixed(kVersionOfValue, 1);
  out.number(static_cast<std::uint64_t>(b.decided.time_since_epoch().count()));
  out.fixed(b.content, 8), out.fixed(b.windows_print, 4), out.fixed(b.zone_print, 4);
  write(out, b.wish);
  check(out.text.size() <= kMaxRecordValueBytes,
        "rule, names and exceptions are together too long for a record of 200 bytes");
  return std::move(out.text);
}
Booking decode_booking(BookingId id, std::string_view value) {
  check(value.size() <= kMaxRecordValueBytes, "longer than a record's value");
  Reader in(value);
  check(in.fixed(1) == kVersionOfValue, "version is not known");
  Booking b;
  b.id = id;
  b.decided = std::chrono::sys_seconds(
      std::chrono::seconds(in.number(std::numeric_limits<std::uint32_t>::max())));
  b.content = in.fixed(8);
  b.windows_print = static_cast<std::uint32_t>(in.fixed(4)),
  b.zone_print = static_cast<std::uint32_t>(in.fixed(4));
  b.wish = read_wish(in);
  in.end();
  check(b.wish.until.has_value(), "until is missing");
  validate(b.wish);
  return b;
}

}  // namespace petrelrail::fleet
