// The codec of datagrams between edge nodes: versioned, in network byte order, at most 256 bytes
// (PROTOCOL, "Between edge nodes"), authenticated with a keyed tag if a key is configured. The
// layout is documented in docs/members.md, "On the wire". Does no I/O and holds no state.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace petrelrail::fleet {

enum class MemberId : std::uint16_t {};  // the node's number in the settings
inline std::size_t index_of(MemberId m) { return static_cast<std::size_t>(m); }

inline constexpr std::uint8_t kVersion = 1;
inline constexpr std::size_t kMaxDatagramBytes = 256;
inline constexpr std::size_t kTagBytes = 8;
inline constexpr std::uint8_t kMaxZones = 32;  // zone numbers that an entry can encode

// Within an incarnation, later values supersede earlier ones.
enum class MemberStatus : std::uint8_t { alive, suspect, failed, left };

// The state of a member, ordered by key(): a table keeps the greater of two. Key 0: unknown.
struct MemberState {
  std::uint32_t incarnation = 0;  // from 1 on
  MemberStatus status = MemberStatus::alive;
  std::uint16_t instance_id = 0;  // random for each process without a predecessor; 0: not known

  std::uint64_t key() const {
    return (static_cast<std::uint64_t>(incarnation) << 32U) |
           (static_cast<std::uint64_t>(status) << 16U) | instance_id;
  }
  bool known() const { return incarnation > 0; }
  bool operator==(const MemberState&) const = default;
};

// Members listed in an entry of a suspect as confirming the suspicion.
inline constexpr std::size_t kMaxConfirmationsPerEntry = 3;

struct MemberEntry {
  MemberId id{};
  MemberState state;
  std::uint8_t zone = 0;
  // Members that suspect it: 1 to kMaxConfirmationsPerEntry for a suspect, otherwise empty.
  std::vector<MemberId> suspected_by{};
  bool operator==(const MemberEntry&) const = default;
};

// Bodies. `echo` in the header pairs an answer with its request.
struct Ping {
  std::vector<MemberEntry> updates;
};
struct Ack {
  std::vector<MemberEntry> updates;
};
struct PingRequest {  // asks the recipient for an indirect probe of the target
  MemberId target{};
};
struct IndirectAck {  // the target has answered an indirect probe; its own entry comes first
  MemberId target{};
  std::vector<MemberEntry> updates;
};
struct Nack {  // the target has not answered an indirect probe; the sender itself is alive
  MemberId target{};
};
struct Gossip {
  std::vector<MemberEntry> updates;
};
// Digests of the sender's membership table by bucket: bucket b of B holds the members b, b + B,
// b + 2 B ...
struct SyncRequest {
  std::vector<std::uint16_t> digests;
};
struct SyncResponse {  // all entries that the sender has in the buckets that differ
  std::vector<MemberEntry> table;
};
// The holder of a leader lease, sent to its candidate successors (docs/duties.md).
struct LeaseEntry {
  std::uint32_t lease_id = 0;  // hash of its name
  std::uint64_t epoch = 0;     // from 1 on
  MemberId holder{};
  bool transferred = false;  // the previous holder transfers this epoch to the recipient
  bool operator==(const LeaseEntry&) const = default;
};
struct LeaseAnnouncement {
  std::vector<LeaseEntry> entries;
};

// Records of the replicated store (docs/records.md).
struct RecordKey {
  std::uint8_t space = 0;
  std::uint64_t number = 0;
  auto operator<=>(const RecordKey&) const = default;
};
struct RecordVersion {  // of two versions of a key the greater one wins
  std::uint64_t epoch = 0;
  std::uint32_t sequence = 0;
  MemberId origin{};
  auto operator<=>(const RecordVersion&) const = default;
};
struct Record {
  RecordKey key;
  RecordVersion version;
  std::uint32_t expiry_unix_s = 0;  // Unix time in seconds at which every node deletes it
  bool deleted = false;             // a tombstone, without a value
  std::string value;                // at most kMaxRecordValueBytes
  bool operator==(const Record&) const = default;
};
inline constexpr std::size_t kMaxRecordValueBytes = 200;
struct RecordUpdate {  // an echo other than 0 requests a RecordAck
  std::vector<Record> records;
};
struct RecordAck {  // the sender holds these versions or later ones
  struct Held {
    RecordKey key;
    RecordVersion version;
    bool operator==(const Held&) const = default;
  };
  std::vector<Held> held;
};
// Digests of the sender's records by bucket; asks for the records of buckets that differ.
struct DigestRequest {
  // Mixed into the digests, so that a chance collision of two buckets does not repeat.
  std::uint16_t salt = 0;
  std::uint8_t max_datagrams = 0;  // that the sender accepts in response
  std::vector<std::uint16_t> digests;
};
// Kinds from kFirstNonMembershipKind on belong to modules other than Membership.
using Body = std::variant<Ping, Ack, PingRequest, IndirectAck, Nack, Gossip, SyncRequest,
                          SyncResponse, LeaseAnnouncement, RecordUpdate, RecordAck, DigestRequest>;
inline constexpr std::size_t kFirstNonMembershipKind = 8;

struct Header {  // the sender and its own state
  MemberId sender{};
  std::uint32_t incarnation = 0;
  std::uint16_t instance_id = 0;
  std::uint8_t zone = 0;
  std::uint32_t echo = 0;
  std::uint32_t digest = 0;  // of the sender's whole membership table
  bool operator==(const Header&) const = default;
};

struct Message {
  Header header;
  Body body;
};

using SealKey = std::array<std::uint8_t, 16>;  // shared by all nodes of the fleet

enum class DecodeError { none, too_short, too_long, version, kind, malformed, tag };
inline constexpr std::size_t kDecodeErrors = 7;
const char* name_of(DecodeError e);

// Encoded sizes, and the sizes available in a datagram. `sealed`: whether it carries a tag.
std::size_t entry_bytes(const MemberEntry& e);
std::size_t max_update_bytes(bool sealed);  // for the entries of any membership body
std::size_t record_bytes(const Record& r);
std::size_t max_body_bytes(bool sealed);
// Digests that fit into one SyncRequest.
std::size_t max_buckets(bool sealed);

std::string encode(const Message& m, const std::optional<SealKey>& key);
// Accepts arbitrary bytes. `message` is valid if `error` is none.
struct DecodeResult {
  DecodeError error = DecodeError::none;
  Message message;
};
DecodeResult decode(std::span<const std::uint8_t> bytes, const std::optional<SealKey>& key);

// Parses 32 hex digits; throws std::invalid_argument for anything else.
SealKey key_of(const std::string& hex);

}  // namespace petrelrail::fleet
