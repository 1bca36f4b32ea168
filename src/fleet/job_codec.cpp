#include "job_codec.hpp"

#include <sodium/crypto_shorthash.h>

#include <algorithm>
#include <utility>

namespace petrelrail::fleet {
namespace {

constexpr std::uint8_t kHeadFormat = 1;
constexpr std::uint8_t kRangeFormat = 0, kKeysFormat = 1;
constexpr std::size_t kKeyBytesPerRecord = kMaxTotalKeyBytes / kKeyParts +
                                           2;  // in each key part but the last
static_assert(kKeyBytesPerRecord <= kMaxRecordValueBytes &&
              kKeyBytesPerRecord * kKeyParts >= kMaxTotalKeyBytes);
constexpr std::size_t kHeadNumberBytes = 1 + 5 + 6 + 3 + 4, kTasksNumberBytes = 1 + 8 + 2;
static_assert(kHeadNumberBytes + 2 * (1 + kMaxJobNameBytes) + 1 + kMaxPathBytes +
                  kTasksNumberBytes <=
              kMaxRecordValueBytes);
constexpr unsigned kStateBits = 3;
static_assert(kTasksPerPart * kStateBits / 8 <= kMaxRecordValueBytes);
constexpr std::uint64_t kCustomerLimit = 1ULL << 33U, kPrefixLimit = 1ULL << 48U;

class Writer {
 public:
  void number(std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = bytes; i > 0; --i)
      text_ += static_cast<char>(value >> (8 * (i - 1)) & 0xFFU);
  }
  void text(const std::string& s) { number(s.size(), 1), text_ += s; }
  std::string release() { return std::move(text_); }

 private:
  std::string text_;
};

class Reader {
 public:
  explicit Reader(const std::string& text) : text_(text) {}
  std::uint64_t number(std::size_t bytes) {
    if (text_.size() - position_ < bytes) return fail();
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
      value = value << 8U | static_cast<std::uint8_t>(text_[position_++]);
    return value;
  }
  std::string text() {
    const auto size = number(1);
    if (text_.size() - position_ < size) return fail(), std::string{};
    position_ += size;
    return text_.substr(position_ - size, size);
  }
  bool is_valid() const { return is_valid_; }
  bool is_exhausted() const { return is_valid_ && position_ == text_.size(); }

 private:
  std::uint64_t fail() {
    is_valid_ = false;
    position_ = text_.size();
    return 0;
  }
  const std::string& text_;
  std::size_t position_ = 0;
  bool is_valid_ = true;
};

// Whether the text may stand in a request line's path unescaped.
bool is_uri_text(const std::string& s) {
  return std::ranges::all_of(s, [](char c) { return c > ' ' && c < '\x7F' && c != '#'; });
}
std::size_t key_bytes(const std::vector<std::string>& keys) {
  std::size_t sum = 0;
  for (const auto& k : keys) sum += 1 + k.size();
  return sum;
}
std::string over_limit(const char* field, std::size_t n, const char* unit, std::size_t limit) {
  return std::string(field) + ": " + std::to_string(n) + unit + ", at most " +
         std::to_string(limit);
}

// Checks everything that does not depend on the time.
std::optional<std::string> static_error(const JobSpec& s) {
  if (s.customer >= kCustomerLimit) return "customer: must be below 2^33";
  if (s.prefix >= kPrefixLimit) return "prefix: 12 hex digits";
  for (const auto& [name, value] :
       {std::pair("plan", &s.plan), std::pair("class", &s.request_class)}) {
    if (value->empty()) return std::string(name) + ": missing";
    if (value->size() > kMaxJobNameBytes)
      return over_limit(name, value->size(), " bytes", kMaxJobNameBytes);
    if (!is_uri_text(*value)) return std::string(name) + ": spaces, controls and # are not allowed";
  }
  if (s.milliunits == 0 || s.milliunits > kMaxMilliunits) return "units: above 0, at most 1000";
  if (s.path.size() > kMaxPathBytes)
    return over_limit("path", s.path.size(), " bytes", kMaxPathBytes);
  const auto placeholder = s.path.find("{}");
  if (placeholder == std::string::npos || s.path.find("{}", placeholder + 1) != std::string::npos)
    return "path: must contain {} exactly once";
  const auto first = "/" + s.request_class;
  if (!s.path.starts_with(first) || s.path.size() == first.size() ||
      (s.path[first.size()] != '/' && s.path[first.size()] != '?'))
    return "path: must begin with the class";
  if (!is_uri_text(s.path)) return "path: spaces, controls and # must be escaped";
  if (s.task_count() == 0) return "lines: must not be empty";
  if (s.task_count() > kMaxTasks) return over_limit("lines", s.task_count(), "", kMaxTasks);
  if (const auto* range = std::get_if<JobRange>(&s.tasks)) {
    if (range->first > ~0ULL - range->count) return "range: must end below 2^64";
    return {};
  }
  const auto& keys = std::get<std::vector<std::string>>(s.tasks);
  for (const auto& k : keys) {
    if (k.empty()) return "keys: a key is empty";
    if (k.size() > kMaxKeyBytes) return over_limit("keys: a key", k.size(), " bytes", kMaxKeyBytes);
    if (!is_uri_text(k)) return "keys: spaces, controls and # must be escaped";
  }
  if (key_bytes(keys) > kMaxTotalKeyBytes)
    return over_limit("keys", key_bytes(keys), " bytes", kMaxTotalKeyBytes) +
           "; use a range or more jobs";
  return {};
}

}  // namespace

std::uint32_t JobSpec::task_count() const {
  if (const auto* range = std::get_if<JobRange>(&tasks)) return range->count;
  return static_cast<std::uint32_t>(std::get<std::vector<std::string>>(tasks).size());
}
std::string JobSpec::path_of(std::uint32_t task) const {
  const auto* range = std::get_if<JobRange>(&tasks);
  const auto placeholder = path.find("{}");
  return path.substr(0, placeholder) +
         (range ? std::to_string(range->first + task)
                : std::get<std::vector<std::string>>(tasks).at(task)) +
         path.substr(placeholder + 2);
}

std::optional<std::string> validation_error(const JobSpec& s, std::uint32_t now) {
  if (auto error = static_error(s)) return error;
  if (s.end_unix_s <= now) return "ends: is in the past";
  if (s.end_unix_s - now > kMaxJobSeconds) return "ends: at most 7 days ahead";
  return {};
}

JobId id_of(const JobSpec& s) {
  Writer w;
  w.number(s.customer, 8), w.number(s.prefix, 8);
  const auto text = w.release();
  // A fixed key, so that every node derives the same ID; nothing relies on IDs being hard to guess.
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

const char* name_of(TaskState s) {
  constexpr std::array<const char*, kTaskStates> names{"idle",    "out",  "served", "failed",
                                                       "unknown", "lost", "expired"};
  return names.at(static_cast<std::size_t>(s));
}

std::vector<std::string> encode(const JobSpec& s) {
  Writer w;
  w.number(kHeadFormat, 1), w.number(s.customer, 5), w.number(s.prefix, 6);
  w.number(s.milliunits, 3), w.number(s.end_unix_s, 4);
  w.text(s.plan), w.text(s.request_class), w.text(s.path);
  if (const auto* range = std::get_if<JobRange>(&s.tasks)) {
    w.number(kRangeFormat, 1), w.number(range->first, 8), w.number(range->count, 2);
    return {w.release()};
  }
  const auto& keys = std::get<std::vector<std::string>>(s.tasks);
  w.number(kKeysFormat, 1), w.number(keys.size(), 2), w.number(key_bytes(keys), 2);
  std::vector<std::string> parts{w.release()};
  Writer all;
  for (const auto& k : keys) all.text(k);
  const auto text = all.release();
  for (std::size_t at = 0; at < text.size(); at += kKeyBytesPerRecord)
    parts.push_back(text.substr(at, kKeyBytesPerRecord));
  return parts;
}

std::string void_head() { return std::string(1, '\0'); }

std::optional<JobSpec> decode(
    const std::string& head,
    const std::function<std::optional<std::string>(std::uint8_t part)>& key_part) {
  Reader r(head);
  JobSpec s;
  if (r.number(1) != kHeadFormat) return {};
  s.customer = r.number(5), s.prefix = r.number(6);
  s.milliunits = static_cast<std::uint32_t>(r.number(3)),
  s.end_unix_s = static_cast<std::uint32_t>(r.number(4));
  s.plan = r.text(), s.request_class = r.text(), s.path = r.text();
  const auto form = r.number(1);
  if (form == kRangeFormat) {
    JobRange range;
    range.first = r.number(8), range.count = static_cast<std::uint32_t>(r.number(2));
    s.tasks = range;
  } else if (form == kKeysFormat) {
    const auto count = r.number(2), bytes = r.number(2);
    if (!r.is_exhausted() || bytes > kMaxTotalKeyBytes || count > kMaxTasks) return {};
    std::string text;
    for (std::uint8_t p = kFirstKeyPart; text.size() < bytes; ++p) {
      const auto value = key_part(p);
      if (!value || value->size() != std::min(kKeyBytesPerRecord, bytes - text.size())) return {};
      text += *value;
    }
    Reader all(text);
    std::vector<std::string> keys;
    for (std::uint64_t i = 0; i < count && all.is_valid(); ++i) keys.push_back(all.text());
    if (!all.is_exhausted()) return {};
    s.tasks = std::move(keys);
  } else {
    return {};
  }
  if (!r.is_exhausted() || static_error(s)) return {};
  return s;
}

std::string encode_states(const std::vector<TaskState>& all, std::uint8_t part) {
  const auto first = std::size_t{part} * kTasksPerPart;
  auto last = std::min<std::size_t>(all.size(), first + kTasksPerPart);
  while (last > first && all[last - 1] == TaskState::idle) --last;
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

bool decode_states(const std::string& value, std::uint8_t part, std::vector<TaskState>& all) {
  const auto first = std::size_t{part} * kTasksPerPart;
  if (first >= all.size()) return value.empty();
  const auto count = std::min<std::size_t>(all.size() - first, kTasksPerPart);
  if (value.size() > (count * kStateBits + 7) / 8) return false;
  std::vector<TaskState> found(count, TaskState::idle);
  for (std::size_t i = 0; i < value.size() * 8 / kStateBits + 1; ++i) {
    unsigned state = 0;
    for (unsigned b = 0; b < kStateBits; ++b) {
      const auto bit = i * kStateBits + b;
      if (bit / 8 < value.size())
        state |= (static_cast<std::uint8_t>(value[bit / 8]) >> bit % 8 & 1U) << b;
    }
    if (state >= kTaskStates || (state && i >= count)) return false;
    if (i < count) found[i] = TaskState(static_cast<std::uint8_t>(state));
  }
  auto updated = all;
  std::ranges::copy(found, updated.begin() + static_cast<std::ptrdiff_t>(first));
  if (encode_states(updated, part) != value) return false;  // not the canonical encoding
  all = std::move(updated);
  return true;
}

std::string encode(const JobWatermarks& m) {
  Writer w;
  w.number(m.delivered, 2), w.number(m.confirmed, 2), w.number(m.rerun_count, 4),
      w.number(m.is_finished, 1);
  return w.release();
}
std::optional<JobWatermarks> decode_watermarks(const std::string& value, std::uint32_t task_count) {
  Reader r(value);
  JobWatermarks m;
  m.delivered = static_cast<std::uint32_t>(r.number(2)),
  m.confirmed = static_cast<std::uint32_t>(r.number(2));
  m.rerun_count = static_cast<std::uint32_t>(r.number(4));
  const auto over = r.number(1);
  m.is_finished = over == 1;
  if (!r.is_exhausted() || over > 1 || m.delivered > task_count || m.confirmed > m.delivered)
    return {};
  return m;
}

}  // namespace petrelrail::fleet
