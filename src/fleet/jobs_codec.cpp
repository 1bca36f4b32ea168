#include "jobs_codec.hpp"

#include <sodium/crypto_shorthash.h>

#include <algorithm>
#include <utility>

namespace petrelrail::fleet {
namespace {

constexpr std::uint8_t kForm = 1;  // of the head
constexpr std::uint8_t kByRange = 0, kByKeys = 1;
constexpr std::size_t kKeysInRecord = kMostKeyBytes / kKeyParts +
                                      2;  // bytes of them in each part but the last
static_assert(kKeysInRecord <= kMaxRecordValueBytes && kKeysInRecord * kKeyParts >= kMostKeyBytes);
constexpr std::size_t kHeadNumbers = 1 + 5 + 6 + 3 + 4, kLinesNumbers = 1 + 8 + 2;  // bytes
static_assert(kHeadNumbers + 2 * (1 + kMostName) + 1 + kMostPath + kLinesNumbers <=
              kMaxRecordValueBytes);
constexpr unsigned kStateBits = 3;
static_assert(kLinesInPart * kStateBits / 8 <= kMaxRecordValueBytes);
constexpr std::uint64_t kMostCustomer = 1ULL << 33U, kMostPrefix = 1ULL << 48U;

class Writer {
 public:
  void number(std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = bytes; i > 0; --i)
      text_ += static_cast<char>(value >> (8 * (i - 1)) & 0xFFU);
  }
  void text(const std::string& s) { number(s.size(), 1), text_ += s; }
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
};

class Reader {
 public:
  explicit Reader(const std::string& text) : text_(text) {}
  std::uint64_t number(std::size_t bytes) {
    if (text_.size() - at_ < bytes) return fail();
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
      value = value << 8U | static_cast<std::uint8_t>(text_[at_++]);
    return value;
  }
  std::string text() {
    const auto size = number(1);
    if (text_.size() - at_ < size) return fail(), std::string{};
    at_ += size;
    return text_.substr(at_ - size, size);
  }
  bool good() const { return good_; }
  bool all() const { return good_ && at_ == text_.size(); }

 private:
  std::uint64_t fail() {
    good_ = false;
    at_ = text_.size();
    return 0;
  }
  const std::string& text_;
  std::size_t at_ = 0;
  bool good_ = true;
};

// What a path may hold as it stands on a request line.
bool plain(const std::string& s) {
  return std::ranges::all_of(s, [](char c) { return c > ' ' && c < '\x7F' && c != '#'; });
}
std::size_t key_bytes(const std::vector<std::string>& keys) {
  std::size_t sum = 0;
  for (const auto& k : keys) sum += 1 + k.size();
  return sum;
}
std::string over(const char* what, std::size_t n, const char* unit, std::size_t most) {
  return std::string(what) + ": " + std::to_string(n) + unit + ", at most " + std::to_string(most);
}

// All that does not depend on the time.
std::optional<std::string> fault_in(const JobSpec& s) {
  if (s.customer >= kMostCustomer) return "customer: below 2^33";
  if (s.prefix >= kMostPrefix) return "prefix: 12 hex digits";
  for (const auto& [name, value] :
       {std::pair("plan", &s.plan), std::pair("class", &s.request_class)}) {
    if (value->empty()) return std::string(name) + ": missing";
    if (value->size() > kMostName) return over(name, value->size(), " bytes", kMostName);
    if (!plain(*value)) return std::string(name) + ": no such name";
  }
  if (s.units == 0 || s.units > kMostUnits) return "units: above 0, at most 1000";
  if (s.path.size() > kMostPath) return over("path", s.path.size(), " bytes", kMostPath);
  const auto hole = s.path.find("{}");
  if (hole == std::string::npos || s.path.find("{}", hole + 1) != std::string::npos)
    return "path: holds {} once";
  const auto first = "/" + s.request_class;
  if (!s.path.starts_with(first) || s.path.size() == first.size() ||
      (s.path[first.size()] != '/' && s.path[first.size()] != '?'))
    return "path: begins with the class";
  if (!plain(s.path)) return "path: spaces, controls and # must be escaped";
  if (s.count() == 0) return "lines: none";
  if (s.count() > kMostLines) return over("lines", s.count(), "", kMostLines);
  if (const auto* range = std::get_if<JobRange>(&s.lines)) {
    if (range->first > ~0ULL - range->count) return "range: passes 2^64";
    return {};
  }
  const auto& keys = std::get<std::vector<std::string>>(s.lines);
  for (const auto& k : keys) {
    if (k.empty()) return "keys: an empty one";
    if (k.size() > kMostKey) return over("keys: one", k.size(), " bytes", kMostKey);
    if (!plain(k)) return "keys: spaces, controls and # must be escaped";
  }
  if (key_bytes(keys) > kMostKeyBytes)
    return over("keys", key_bytes(keys), " bytes", kMostKeyBytes) + "; use a range or more jobs";
  return {};
}

}  // namespace

std::uint32_t JobSpec::count() const {
  if (const auto* range = std::get_if<JobRange>(&lines)) return range->count;
  return static_cast<std::uint32_t>(std::get<std::vector<std::string>>(lines).size());
}
std::string JobSpec::path_of(std::uint32_t line) const {
  const auto* range = std::get_if<JobRange>(&lines);
  const auto hole = path.find("{}");
  return path.substr(0, hole) +
         (range ? std::to_string(range->first + line)
                : std::get<std::vector<std::string>>(lines).at(line)) +
         path.substr(hole + 2);
}

std::optional<std::string> fault_of(const JobSpec& s, std::uint32_t now) {
  if (auto fault = fault_in(s)) return fault;
  if (s.ends <= now) return "ends: has passed";
  if (s.ends - now > kMostSpan) return "ends: at most 7 days ahead";
  return {};
}

JobId id_of(const JobSpec& s) {
  Writer w;
  w.number(s.customer, 8), w.number(s.prefix, 8);
  const auto text = w.take();
  // The same at every node: no secret is in it, and nothing hangs on its being hard to guess.
  constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
  std::array<unsigned char, crypto_shorthash_BYTES> hash{};
  crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                   key.data());
  std::uint64_t id = 0;
  for (std::size_t i = 0; i + 1 < hash.size(); ++i) id = id << 8U | hash[i];
  return JobId(id);
}
ShardId shard_of(JobId id) {
  return ShardId(static_cast<std::uint8_t>(static_cast<std::uint64_t>(id) % kShards));
}

const char* name_of(LineState s) {
  constexpr std::array<const char*, kLineStates> names{"idle",    "out",  "served", "failed",
                                                       "unknown", "lost", "expired"};
  return names.at(static_cast<std::size_t>(s));
}

std::vector<std::string> encode(const JobSpec& s) {
  Writer w;
  w.number(kForm, 1), w.number(s.customer, 5), w.number(s.prefix, 6);
  w.number(s.units, 3), w.number(s.ends, 4);
  w.text(s.plan), w.text(s.request_class), w.text(s.path);
  if (const auto* range = std::get_if<JobRange>(&s.lines)) {
    w.number(kByRange, 1), w.number(range->first, 8), w.number(range->count, 2);
    return {w.take()};
  }
  const auto& keys = std::get<std::vector<std::string>>(s.lines);
  w.number(kByKeys, 1), w.number(keys.size(), 2), w.number(key_bytes(keys), 2);
  std::vector<std::string> parts{w.take()};
  Writer all;
  for (const auto& k : keys) all.text(k);
  const auto text = all.take();
  for (std::size_t at = 0; at < text.size(); at += kKeysInRecord)
    parts.push_back(text.substr(at, kKeysInRecord));
  return parts;
}

std::string void_head() { return std::string(1, '\0'); }

std::optional<JobSpec> decode(
    const std::string& head,
    const std::function<std::optional<std::string>(std::uint8_t part)>& part) {
  Reader r(head);
  JobSpec s;
  if (r.number(1) != kForm) return {};
  s.customer = r.number(5), s.prefix = r.number(6);
  s.units = static_cast<std::uint32_t>(r.number(3)),
  s.ends = static_cast<std::uint32_t>(r.number(4));
  s.plan = r.text(), s.request_class = r.text(), s.path = r.text();
  const auto form = r.number(1);
  if (form == kByRange) {
    JobRange range;
    range.first = r.number(8), range.count = static_cast<std::uint32_t>(r.number(2));
    s.lines = range;
  } else if (form == kByKeys) {
    const auto count = r.number(2), bytes = r.number(2);
    if (!r.all() || bytes > kMostKeyBytes || count > kMostLines) return {};
    std::string text;
    for (std::uint8_t p = kFirstKeys; text.size() < bytes; ++p) {
      const auto value = part(p);
      if (!value || value->size() != std::min(kKeysInRecord, bytes - text.size())) return {};
      text += *value;
    }
    Reader all(text);
    std::vector<std::string> keys;
    for (std::uint64_t i = 0; i < count && all.good(); ++i) keys.push_back(all.text());
    if (!all.all()) return {};
    s.lines = std::move(keys);
  } else {
    return {};
  }
  if (!r.all() || fault_in(s)) return {};
  return s;
}

std::string encode_states(const std::vector<LineState>& all, std::uint8_t part) {
  const auto first = std::size_t{part} * kLinesInPart;
  auto last = std::min<std::size_t>(all.size(), first + kLinesInPart);
  while (last > first && all[last - 1] == LineState::idle) --last;
  if (last <= first) return {};
  std::string bytes(((last - first) * kStateBits + 7) / 8, '\0');
  for (auto i = first; i < last; ++i)
    for (unsigned b = 0; b < kStateBits; ++b)
      if (static_cast<unsigned>(all[i]) >> b & 1U) {
        const auto bit = (i - first) * kStateBits + b;
        bytes[bit / 8] = static_cast<char>(static_cast<std::uint8_t>(bytes[bit / 8]) |
                                           1U << bit % 8);
      }
  return bytes;
}

bool decode_states(const std::string& value, std::uint8_t part, std::vector<LineState>& all) {
  const auto first = std::size_t{part} * kLinesInPart;
  if (first >= all.size()) return value.empty();
  const auto lines = std::min<std::size_t>(all.size() - first, kLinesInPart);
  if (value.size() > (lines * kStateBits + 7) / 8) return false;
  std::vector<LineState> found(lines, LineState::idle);
  for (std::size_t i = 0; i < value.size() * 8 / kStateBits + 1; ++i) {
    unsigned state = 0;
    for (unsigned b = 0; b < kStateBits; ++b) {
      const auto bit = i * kStateBits + b;
      if (bit / 8 < value.size())
        state |= (static_cast<std::uint8_t>(value[bit / 8]) >> bit % 8 & 1U) << b;
    }
    if (state >= kLineStates || (state && i >= lines)) return false;
    if (i < lines) found[i] = LineState(static_cast<std::uint8_t>(state));
  }
  auto with = all;
  std::ranges::copy(found, with.begin() + static_cast<std::ptrdiff_t>(first));
  if (encode_states(with, part) != value) return false;  // written another way
  all = std::move(with);
  return true;
}

std::string encode(const JobMarks& m) {
  Writer w;
  w.number(m.told, 2), w.number(m.confirmed, 2), w.number(m.rerun, 4), w.number(m.over, 1);
  return w.take();
}
std::optional<JobMarks> decode_marks(const std::string& value, std::uint32_t lines) {
  Reader r(value);
  JobMarks m;
  m.told = static_cast<std::uint32_t>(r.number(2)),
  m.confirmed = static_cast<std::uint32_t>(r.number(2));
  m.rerun = static_cast<std::uint32_t>(r.number(4));
  const auto over = r.number(1);
  m.over = over == 1;
  if (!r.all() || over > 1 || m.told > lines || m.confirmed > m.told) return {};
  return m;
}

}  // namespace petrelrail::fleet
