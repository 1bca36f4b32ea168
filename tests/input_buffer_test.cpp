// Unit tests of InputBuffer: bytes are consumed while a read into the buffer is pending.
#include "input_buffer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace petrelrail::test {
namespace {

// Writes into space that was prepared before, as a pending read does.
void write_into(const boost::asio::mutable_buffer& space, std::string_view text) {
  std::ranges::copy(text, static_cast<char*>(space.data()));
}
std::string text_of(const InputBuffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Guards against bytes that were consumed coming back in place of those that a pending read brings.
TEST(InputBufferTest, WhatIsConsumedWhileAReadIsPendingStaysConsumed) {
  for (const bool cleared : {false, true}) {
    InputBuffer buffer;
    write_into(buffer.prepare(16), "first");
    buffer.commit(5);
    const auto pending = buffer.prepare(16);
    if (cleared) {
      buffer.clear();
    } else {
      buffer.consume(2);
      EXPECT_EQ(text_of(buffer), "rst");
      buffer.consume(3);
    }
    EXPECT_EQ(buffer.size(), 0u);
    write_into(pending, "second");
    buffer.commit(6);
    EXPECT_EQ(text_of(buffer), "second");
    buffer.consume(6);
    write_into(buffer.prepare(64), "third");
    buffer.commit(5);
    EXPECT_EQ(text_of(buffer), "third");
  }
}

}  // namespace
}  // namespace petrelrail::test
