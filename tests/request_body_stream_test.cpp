// Unit tests of RequestBodyStream: how much it holds before and after its attempt has begun.
#include "request_body_stream.hpp"

#include <gtest/gtest.h>

namespace petrelrail::test {
namespace {

constexpr std::size_t kMemoryLimit = 32UL << 20U;

struct RequestBodyStreamTest : ::testing::Test {
  void append(std::size_t bytes) { stream.append(std::string(bytes, 'b')); }

  std::shared_ptr<policy::OverloadManager> manager = std::make_shared<policy::OverloadManager>(
      kMemoryLimit);
  RequestBodyStream stream{std::nullopt, policy::MemoryAccount(manager)};
};
// Guards against reading that stops while a request waits, so that its client's close is not seen
// (review, case 9).
TEST_F(RequestBodyStreamTest, HoldsWhatMemoryPermitsUntilItIsDrained) {
  std::size_t held = 0;
  while (!stream.is_full()) append(limits::kStreamChunkBytes), held += limits::kStreamChunkBytes;
  EXPECT_GT(held, 100 * limits::kStreamChunkBytes);
  EXPECT_FALSE(manager->may_hold_body());
  EXPECT_FALSE(manager->is_under_pressure());
  stream.drain_chunk();
  EXPECT_TRUE(manager->may_hold_body());
  EXPECT_TRUE(stream.is_full());  // from now on a few chunks at most
  while (!stream.drain_chunk().empty()) {}
  EXPECT_EQ(manager->total(), 0U);
  append(limits::kStreamChunkBytes - 1);
  EXPECT_FALSE(stream.is_full());
  append(1);
  EXPECT_TRUE(stream.is_full());
}
TEST_F(RequestBodyStreamTest, HoldsAFewChunksIfOthersHoldTheMemory) {
  policy::MemoryAccount others(manager);
  others.set(policy::MemoryKind::input, manager->budget() / 2);
  append(limits::kStreamChunkBytes - 1);
  EXPECT_FALSE(stream.is_full());
  append(1);
  EXPECT_TRUE(stream.is_full());
}
TEST_F(RequestBodyStreamTest, KeepsTheOrderOfItsPartsAndPutsSmallOnesTogether) {
  std::string expected;
  for (std::size_t i = 0; i < 3000; ++i) {
    const std::string part(1 + i % 37, static_cast<char>('a' + i % 26));
    expected += part;
    stream.append(part);
  }
  stream.finish();
  std::string received;
  std::size_t chunks = 0;
  for (; !stream.empty(); ++chunks) received += stream.drain_chunk();
  EXPECT_EQ(received, expected);
  EXPECT_LE(chunks, 1 + 2 * expected.size() / limits::kStreamChunkBytes);
}
// The session reads on once there is room for a further part.
TEST_F(RequestBodyStreamTest, AsksForMoreOnlyWhenItIsNotFull) {
  int asked = 0;
  stream.set_capacity_callback([&] { ++asked; });
  for (int i = 0; i < 3; ++i) append(limits::kStreamChunkBytes);
  stream.drain_chunk();
  stream.drain_chunk();
  EXPECT_EQ(asked, 0);
  stream.drain_chunk();
  EXPECT_EQ(asked, 1);
  stream.drain_chunk();  // nothing was there
  EXPECT_EQ(asked, 1);
}

}  // namespace
}  // namespace petrelrail::test
