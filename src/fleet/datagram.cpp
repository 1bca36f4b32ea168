#include "datagram.hpp"

#include <sodium/crypto_shorthash.h>
#include <sodium/utils.h>

#include <algorithm>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace petrelrail::fleet {
namespace {

static_assert(crypto_shorthash_BYTES == kTagBytes && crypto_shorthash_KEYBYTES == sizeof(SealKey));

constexpr std::uint8_t kMagic = 0xA7;
constexpr std::size_t kHeaderBytes = 19;
constexpr unsigned kRankShift = 5;
constexpr std::uint8_t kZoneMask = kMaxZones - 1;
constexpr unsigned kVarintBits = 7;  // value bits per byte of a variable-length number
constexpr std::uint8_t kVarintContinues = 0x80;
constexpr std::uint8_t kDeletedSize = 0xFF;  // in place of the value's size
static_assert(kMaxRecordValueBytes < kDeletedSize);
constexpr std::size_t kRecordKeyBytes = 9, kRecordVersionBytes = 14;
static_assert(kHeaderBytes + kRecordKeyBytes + kRecordVersionBytes + sizeof(std::uint32_t) + 1 +
                  kMaxRecordValueBytes + kTagBytes <=
              kMaxDatagramBytes);
// The status code in an entry's upper bits. A suspect's code also gives its number of
// confirmations.
constexpr std::uint8_t kAliveCode = 0, kFailedCode = 1, kLeftCode = 2, kSuspectCodeMin = 3,
                       kSuspectCodeMax = kSuspectCodeMin + kMaxConfirmationsPerEntry - 1;

std::uint8_t code_of(const MemberEntry& e) {
  switch (e.state.status) {
    case MemberStatus::alive: return kAliveCode;
    case MemberStatus::failed: return kFailedCode;
    case MemberStatus::left: return kLeftCode;
    case MemberStatus::suspect: break;
  }
  return static_cast<std::uint8_t>(kSuspectCodeMin + e.suspected_by.size() - 1);
}
std::size_t varint_bytes(std::uint32_t n) {
  std::size_t bytes = 1;
  while (n >>= kVarintBits) ++bytes;
  return bytes;
}

class Writer {
 public:
  template <class T>
  void number(T value) {
    for (std::size_t i = sizeof(T); i > 0; --i)
      text_ += static_cast<char>(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
  }
  void member(MemberId m) { number(static_cast<std::uint16_t>(m)); }
  void entry(const MemberEntry& e) {
    member(e.id);
    number(static_cast<std::uint8_t>(code_of(e) << kRankShift | (e.zone & kZoneMask)));
    auto remaining = e.state.incarnation;
    for (; remaining >= kVarintContinues; remaining >>= kVarintBits)
      number(static_cast<std::uint8_t>(remaining | kVarintContinues));
    number(static_cast<std::uint8_t>(remaining));
    if (e.state.status != MemberStatus::suspect) return number(e.state.instance_id);
    for (const auto a : e.suspected_by) member(a);
  }
  void entries(const std::vector<MemberEntry>& all) {
    for (const auto& e : all) entry(e);
  }
  void key(const RecordKey& k) { number(k.space), number(k.number); }
  void version(const RecordVersion& v) { number(v.epoch), number(v.sequence), member(v.origin); }
  void lease_entry(const LeaseEntry& d) {
    number(d.lease_id), number(d.epoch), member(d.holder);
    number(static_cast<std::uint8_t>(d.transferred));
  }
  void record(const Record& r) {
    key(r.key), version(r.version), number(r.expiry_unix_s);
    number(r.deleted ? kDeletedSize : static_cast<std::uint8_t>(r.value.size()));
    if (!r.deleted) text_ += r.value;
  }
  std::string take() { return std::move(text_); }

 private:
  std::string text_;
};

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}
  template <class T>
  T number() {
    if (bytes_.size() < sizeof(T)) {
      malformed_ = true;
      bytes_ = {};
      return 0;
    }
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = static_cast<T>(value << 8U | bytes_[i]);
    bytes_ = bytes_.subspan(sizeof(T));
    return value;
  }
  MemberId member() { return MemberId(number<std::uint16_t>()); }
  MemberEntry entry() {
    MemberEntry e;
    e.id = member();
    const auto packed = number<std::uint8_t>();
    const std::uint8_t code = packed >> kRankShift;
    if (code > kSuspectCodeMax) malformed_ = true;
    e.zone = packed & kZoneMask;
    e.state.incarnation = incarnation();
    e.state.status = code == kAliveCode    ? MemberStatus::alive
                     : code == kFailedCode ? MemberStatus::failed
                     : code == kLeftCode   ? MemberStatus::left
                                           : MemberStatus::suspect;
    if (e.state.status != MemberStatus::suspect) {
      e.state.instance_id = number<std::uint16_t>();
    } else {
      for (auto i = code; i >= kSuspectCodeMin && !malformed_; --i)
        e.suspected_by.push_back(member());
    }
    return e;
  }
  std::vector<MemberEntry> entries() {
    std::vector<MemberEntry> all;
    while (!bytes_.empty() && !malformed_) all.push_back(entry());
    // Incarnations on the wire begin at 1.
    if (std::ranges::any_of(all, [](const MemberEntry& e) { return !e.state.known(); }))
      malformed_ = true;
    return all;
  }
  RecordKey key() {
    RecordKey k;
    k.space = number<std::uint8_t>(), k.number = number<std::uint64_t>();
    return k;
  }
  RecordVersion version() {
    RecordVersion v;
    v.epoch = number<std::uint64_t>(), v.sequence = number<std::uint32_t>(), v.origin = member();
    return v;
  }
  LeaseEntry lease_entry() {
    LeaseEntry d;
    d.lease_id = number<std::uint32_t>(), d.epoch = number<std::uint64_t>(), d.holder = member();
    const auto transferred = number<std::uint8_t>();
    if (transferred > 1 || d.epoch == 0) malformed_ = true;
    d.transferred = transferred == 1;
    return d;
  }
  Record record() {
    Record r;
    r.key = key(), r.version = version(), r.expiry_unix_s = number<std::uint32_t>();
    const auto size = number<std::uint8_t>();
    r.deleted = size == kDeletedSize;
    if (r.deleted) return r;
    if (size > kMaxRecordValueBytes || size > bytes_.size()) {
      malformed_ = true;
      return r;
    }
    r.value.assign(reinterpret_cast<const char*>(bytes_.data()), size);
    bytes_ = bytes_.subspan(size);
    return r;
  }
  RecordAck::Held held() {
    RecordAck::Held h;
    h.key = key(), h.version = version();
    return h;
  }
  template <class Item>
  std::vector<Item> all(Item (Reader::*one)()) {
    std::vector<Item> items;
    while (!bytes_.empty() && !malformed_) items.push_back((this->*one)());
    return items;
  }
  bool empty() const { return bytes_.empty(); }
  bool is_complete() const { return !malformed_ && bytes_.empty(); }

 private:
  // A little-endian variable-length number of seven bits per byte in its shortest form.
  std::uint32_t incarnation() {
    std::uint64_t n = 0;
    for (unsigned shift = 0; shift < 32; shift += kVarintBits) {
      const auto byte = number<std::uint8_t>();
      n |= static_cast<std::uint64_t>(byte & (kVarintContinues - 1)) << shift;
      if ((byte & kVarintContinues) != 0) continue;
      if (n > UINT32_MAX || (byte == 0 && shift > 0)) malformed_ = true;
      return static_cast<std::uint32_t>(n);
    }
    malformed_ = true;
    return 0;
  }

  std::span<const std::uint8_t> bytes_;
  bool malformed_ = false;
};

std::array<std::uint8_t, kTagBytes> tag_of(std::span<const std::uint8_t> bytes,
                                           const SealKey& key) {
  std::array<std::uint8_t, kTagBytes> tag{};
  crypto_shorthash(tag.data(), bytes.data(), bytes.size(), key.data());
  return tag;
}

void write_body(Writer& w, const Body& body) {
  std::visit(
      [&](const auto& b) {
        using B = std::decay_t<decltype(b)>;
        if constexpr (std::is_same_v<B, Ping> || std::is_same_v<B, Ack> ||
                      std::is_same_v<B, Gossip>) {
          w.entries(b.updates);
        } else if constexpr (std::is_same_v<B, PingRequest> || std::is_same_v<B, Nack>) {
          w.member(b.target);
        } else if constexpr (std::is_same_v<B, IndirectAck>) {
          w.member(b.target);
          w.entries(b.updates);
        } else if constexpr (std::is_same_v<B, SyncRequest>) {
          for (const auto d : b.digests) w.number(d);
        } else if constexpr (std::is_same_v<B, LeaseAnnouncement>) {
          for (const auto& d : b.entries) w.lease_entry(d);
        } else if constexpr (std::is_same_v<B, RecordUpdate>) {
          for (const auto& r : b.records) w.record(r);
        } else if constexpr (std::is_same_v<B, RecordAck>) {
          for (const auto& h : b.held) w.key(h.key), w.version(h.version);
        } else if constexpr (std::is_same_v<B, DigestRequest>) {
          w.number(b.salt), w.number(b.max_datagrams);
          for (const auto d : b.digests) w.number(d);
        } else {
          w.entries(b.table);
        }
      },
      body);
}

template <std::size_t kind = 0>
std::optional<Body> read_body(std::size_t wanted, Reader& r) {
  if constexpr (kind == std::variant_size_v<Body>) {
    return std::nullopt;
  } else {
    if (kind != wanted) return read_body<kind + 1>(wanted, r);
    using B = std::variant_alternative_t<kind, Body>;
    B b;
    if constexpr (std::is_same_v<B, Ping> || std::is_same_v<B, Ack> || std::is_same_v<B, Gossip>) {
      b.updates = r.entries();
    } else if constexpr (std::is_same_v<B, PingRequest> || std::is_same_v<B, Nack>) {
      b.target = r.member();
    } else if constexpr (std::is_same_v<B, IndirectAck>) {
      b.target = r.member();
      b.updates = r.entries();
    } else if constexpr (std::is_same_v<B, SyncRequest>) {
      while (!r.empty()) b.digests.push_back(r.number<std::uint16_t>());
    } else if constexpr (std::is_same_v<B, LeaseAnnouncement>) {
      b.entries = r.all(&Reader::lease_entry);
    } else if constexpr (std::is_same_v<B, RecordUpdate>) {
      b.records = r.all(&Reader::record);
    } else if constexpr (std::is_same_v<B, RecordAck>) {
      b.held = r.all(&Reader::held);
    } else if constexpr (std::is_same_v<B, DigestRequest>) {
      b.salt = r.number<std::uint16_t>(), b.max_datagrams = r.number<std::uint8_t>();
      while (!r.empty()) b.digests.push_back(r.number<std::uint16_t>());
    } else {
      b.table = r.entries();
    }
    return b;
  }
}

}  // namespace

const char* name_of(DecodeError e) {
  static constexpr std::array<const char*, kDecodeErrors> names{
      "none", "too_short", "too_long", "version", "kind", "malformed", "tag"};
  return names[static_cast<std::size_t>(e)];
}

std::size_t entry_bytes(const MemberEntry& e) {
  const auto remaining = e.state.status == MemberStatus::suspect
                             ? e.suspected_by.size() * sizeof(MemberId)
                             : sizeof(e.state.instance_id);
  return sizeof(MemberId) + sizeof(std::uint8_t) + varint_bytes(e.state.incarnation) + remaining;
}

std::size_t record_bytes(const Record& r) {
  return kRecordKeyBytes + kRecordVersionBytes + sizeof(r.expiry_unix_s) + 1 + r.value.size();
}

std::size_t max_body_bytes(bool sealed) {
  return kMaxDatagramBytes - kHeaderBytes - (sealed ? kTagBytes : 0);
}

std::size_t max_update_bytes(bool sealed) {
  // An IndirectAck also carries its target.
  return max_body_bytes(sealed) - sizeof(std::uint16_t);
}

std::size_t max_buckets(bool sealed) { return max_update_bytes(sealed) / sizeof(std::uint16_t); }

std::string encode(const Message& m, const std::optional<SealKey>& key) {
  Writer w;
  w.number(kMagic);
  w.number(static_cast<std::uint8_t>(kVersion << 4U | m.body.index()));
  w.member(m.header.sender);
  w.number(m.header.incarnation), w.number(m.header.instance_id);
  w.number(static_cast<std::uint8_t>(m.header.zone & kZoneMask));
  w.number(m.header.echo), w.number(m.header.digest);
  write_body(w, m.body);
  auto text = w.take();
  if (key) {
    const auto tag = tag_of({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()},
                            *key);
    text.append(tag.begin(), tag.end());
  }
  return text;
}

DecodeResult decode(std::span<const std::uint8_t> bytes, const std::optional<SealKey>& key) {
  const auto reject = [](DecodeError e) { return DecodeResult{e, {}}; };
  if (bytes.size() < kHeaderBytes + (key ? kTagBytes : 0)) return reject(DecodeError::too_short);
  if (bytes.size() > kMaxDatagramBytes) return reject(DecodeError::too_long);
  if (bytes[0] != kMagic || bytes[1] >> 4U != kVersion) return reject(DecodeError::version);
  if (key) {
    const auto body = bytes.first(bytes.size() - kTagBytes);
    const auto tag = tag_of(body, *key);
    if (sodium_memcmp(tag.data(), bytes.last(kTagBytes).data(), kTagBytes) != 0)
      return reject(DecodeError::tag);
    bytes = body;
  }
  const std::size_t kind = bytes[1] & 0x0FU;
  Reader r(bytes.subspan(2));
  DecodeResult result;
  auto& h = result.message.header;
  h.sender = r.member();
  h.incarnation = r.number<std::uint32_t>(), h.instance_id = r.number<std::uint16_t>();
  h.zone = r.number<std::uint8_t>();
  h.echo = r.number<std::uint32_t>(), h.digest = r.number<std::uint32_t>();
  auto body = read_body(kind, r);
  if (!body) return reject(DecodeError::kind);
  if (!r.is_complete() || h.incarnation == 0 || h.zone >= kMaxZones)
    return reject(DecodeError::malformed);
  result.message.body = std::move(*body);
  return result;
}

SealKey key_of(const std::string& hex) {
  SealKey key{};
  std::size_t size = 0;
  if (hex.size() != 2 * key.size() ||
      sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr, &size, nullptr) !=
          0 ||
      size != key.size())
    throw std::invalid_argument("32 hex digits");
  return key;
}

}  // namespace petrelrail::fleet
