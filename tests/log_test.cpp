// The format of log lines and the limit on their rate.
#include "log.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace petrelrail::test {
namespace {

using log::Format;

// Guards against a text line whose values can't be told apart, such as unquoted ones with spaces.
TEST(Log, ALineOfTextHasPartTextAndNamedValues) {
  EXPECT_EQ(log::format_line(Format::text, "n3", "pool", "server 7 ejected: no connection",
                             {{"zone", "a"}, {"why", "timed out"}}),
            "pool: server 7 ejected: no connection zone=a why=\"timed out\"");
}
// Outside input with a line feed must not forge a second log line.
TEST(Log, WhatComesFromOutsideStaysOneLine) {
  EXPECT_EQ(log::format_line(Format::text, "", "node", "bad\nfield", {{"why", "a\nb"}}),
            "node: bad field why=\"a\\nb\"");
}
// Guards against JSON lines that do not parse, as with quotes or invalid UTF-8 in a value.
TEST(Log, ALineOfJsonCanBeReadBack) {
  const auto line = "{" +
                    log::format_line(Format::json, "n3", "node", "say \"no\"", {{"why", "\xff"}}) +
                    "}";
  const auto j = nlohmann::json::parse(line);
  EXPECT_EQ(j["node"], "n3");
  EXPECT_EQ(j["part"], "node");
  EXPECT_EQ(j["text"], "say \"no\"");
  EXPECT_TRUE(j.contains("why"));  // invalid UTF-8 is replaced and does not throw
}
// An unknown format in the configuration must be refused.
TEST(Log, TheFormIsNamedByAWord) {
  EXPECT_EQ(log::parse_format("json"), Format::json);
  EXPECT_THROW(log::parse_format("xml"), std::invalid_argument);
}
// Guards against a flood of log lines, and against dropped lines that are not counted.
TEST(Log, LinesAreBoundedInRateAndWhatIsLeftOutIsCounted) {
  log::RateLimiter limiter(3, 2);
  int written = 0;
  for (int i = 0; i < 10; ++i) written += limiter.try_acquire(100.0);
  EXPECT_EQ(written, 3);
  EXPECT_TRUE(limiter.try_acquire(100.5));  // half a second at 2 per second gives one more
  EXPECT_EQ(limiter.drain_dropped(), 7U);
  EXPECT_EQ(limiter.drain_dropped(), 0U);
  EXPECT_FALSE(limiter.try_acquire(100.5));
  for (int i = 0; i < 10; ++i) limiter.try_acquire(1000.0);
  EXPECT_EQ(limiter.drain_dropped(), 1U + 7U);  // the allowance never exceeds the burst
}

}  // namespace
}  // namespace petrelrail::test
