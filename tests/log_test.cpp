// The log's lines and their bound in rate.
#include "log.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace petrelrail::test {
namespace {

using log::Format;

TEST(Log, ALineOfTextHasPartTextAndNamedValues) {
  EXPECT_EQ(log::format_line(Format::text, "n3", "pool", "server 7 ejected: no connection",
                             {{"zone", "a"}, {"why", "timed out"}}),
            "pool: server 7 ejected: no connection zone=a why=\"timed out\"");
}
TEST(Log, WhatComesFromOutsideStaysOneLine) {
  EXPECT_EQ(log::format_line(Format::text, "", "node", "bad\nfield", {{"why", "a\nb"}}),
            "node: bad field why=\"a\\nb\"");
}
TEST(Log, ALineOfJsonCanBeReadBack) {
  const auto line = "{" +
                    log::format_line(Format::json, "n3", "node", "say \"no\"", {{"why", "\xff"}}) +
                    "}";
  const auto j = nlohmann::json::parse(line);
  EXPECT_EQ(j["node"], "n3");
  EXPECT_EQ(j["part"], "node");
  EXPECT_EQ(j["text"], "say \"no\"");
  EXPECT_TRUE(j.contains("why"));  // what is no UTF-8 is replaced, not thrown over
}
TEST(Log, TheFormIsNamedByAWord) {
  EXPECT_EQ(log::parse_format("json"), Format::json);
  EXPECT_THROW(log::parse_format("xml"), std::invalid_argument);
}
TEST(Log, LinesAreBoundedInRateAndWhatIsLeftOutIsCounted) {
  log::RateLimiter concurrency_limit(3, 2);
  int written = 0;
  for (int i = 0; i < 10; ++i) written += concurrency_limit.try_acquire(100.0);
  EXPECT_EQ(written, 3);
  EXPECT_TRUE(concurrency_limit.try_acquire(100.5));  // one more has been saved up
  EXPECT_EQ(concurrency_limit.drain_dropped(), 7U);
  EXPECT_EQ(concurrency_limit.drain_dropped(), 0U);
  EXPECT_FALSE(concurrency_limit.try_acquire(100.5));
  for (int i = 0; i < 10; ++i) concurrency_limit.try_acquire(1000.0);
  EXPECT_EQ(concurrency_limit.drain_dropped(), 1U + 7U);  // no more than the burst is ever saved up
}

}  // namespace
}  // namespace petrelrail::test
