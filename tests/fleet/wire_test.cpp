// The codec of the datagram kinds that do not belong to Membership.
#include <gtest/gtest.h>

#include <random>

#include "fleet/membership.hpp"

namespace petrelrail::fleet::test {
namespace {

MemberId id(unsigned n) { return MemberId(static_cast<std::uint16_t>(n)); }
std::span<const std::uint8_t> bytes_of(const std::string& s) {
  return {reinterpret_cast<const std::uint8_t*>(s.data()), s.size()};
}
Message message(Body body) { return {{id(3), 2, 7, 1, 5, 9}, std::move(body)}; }
Record record(std::uint64_t number, std::string value) {
  return {{4, number}, {77, 5, id(9)}, 1'800'000'000, false, std::move(value)};
}
std::vector<Body> bodies() {
  auto tombstone = record(8, "");
  tombstone.deleted = true;
  return {LeaseAnnouncement{{{1, 16, id(4), false}, {0xFFFFFFFF, ~0ULL, id(65535), true}}},
          LeaseAnnouncement{},
          RecordUpdate{{record(1, std::string("a\0b", 3)), tombstone, record(2, "")}},
          RecordUpdate{{record(3, std::string(kMaxRecordValueBytes, '\xFF'))}},
          RecordAck{{{{4, 1}, {77, 5, id(9)}}, {{255, ~0ULL}, {~0ULL, ~0U, id(65535)}}}},
          DigestRequest{513, 7, {1, 2, 65535}}};
}

TEST(OtherKinds, EachKindDecodesToWhatWasEncoded) {
  for (const auto& key :
       {std::optional<SealKey>{}, std::optional(key_of("000102030405060708090a0b0c0d0e0f"))})
    for (const auto& body : bodies()) {
      const auto bytes = encode(message(body), key);
      ASSERT_LE(bytes.size(), kMaxDatagramBytes);
      const auto read = decode(bytes_of(bytes), key);
      ASSERT_EQ(read.error, DecodeError::none);
      EXPECT_EQ(read.message.body.index(), body.index());
      EXPECT_EQ(encode(read.message, key), bytes);
    }
}
TEST(OtherKinds, TruncatedOrInvalidBodiesAreMalformed) {
  for (const auto& body : bodies()) {
    const auto bytes = encode(message(body), {});
    const auto empty = encode(message(LeaseAnnouncement{}), {}).size();
    for (auto size = empty + 1; size < bytes.size(); ++size) {
      const auto read = decode(bytes_of(bytes.substr(0, size)), {});
      if (read.error != DecodeError::none) continue;
      // The remainder may be a valid body with fewer items.
      EXPECT_EQ(encode(read.message, {}), bytes.substr(0, size));
    }
  }
  auto bytes = encode(message(LeaseAnnouncement{{{1, 16, id(4), false}}}), {});
  bytes.back() = 2;  // transferred: neither 0 nor 1
  EXPECT_EQ(decode(bytes_of(bytes), {}).error, DecodeError::malformed);
  EXPECT_EQ(
      decode(bytes_of(encode(message(LeaseAnnouncement{{{1, 0, id(4), false}}}), {})), {}).error,
      DecodeError::malformed);
}
TEST(OtherKinds, WhateverDecodesEncodesToTheSameBytes) {
  std::mt19937_64 random(5);
  for (int i = 0; i < 200'000; ++i) {
    auto bytes = encode(message(bodies()[random() % bodies().size()]), {});
    for (auto n = random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
      bytes.resize(random() % (kMaxDatagramBytes + 2), static_cast<char>(random()));
    const auto read = decode(bytes_of(bytes), {});
    EXPECT_TRUE(read.error != DecodeError::none || encode(read.message, {}) == bytes);
  }
}
TEST(OtherKinds, MembershipReturnsThemAndLearnsOfTheirSender) {
  MembershipConfig terms;
  terms.nodes = 5;
  Membership a(terms, {id(0), 0, 7, 1}, 1), b(terms, {id(3), 1, 8, 1}, 2);
  const Time begin{std::chrono::hours(1)};
  a.start(begin), b.start(begin);
  const auto sent = b.seal(id(0), DigestRequest{513, 7, {1, 2}}, 12);
  EXPECT_EQ(sent.to, id(0));
  const auto got = a.receive(begin, id(3), bytes_of(sent.bytes));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->header.echo, 12U);
  EXPECT_EQ(std::get<DigestRequest>(got->body).max_datagrams, 7);
  EXPECT_TRUE((*a.view(begin)->members)[3].state.known());
  EXPECT_FALSE(a.receive(begin, id(2), bytes_of(sent.bytes)))
      << "the source address and the sender in the header differ";
  EXPECT_EQ(a.stats().datagrams_in, 2U);
}

}  // namespace
}  // namespace petrelrail::fleet::test
