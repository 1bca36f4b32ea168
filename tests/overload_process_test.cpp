// Tests of the petrelrail program's memory and of its other clients' answers while clients make it
// hold or do as much as they can.
#include <set>

#include "overload_fixture.hpp"

namespace petrelrail::test {
namespace {

// Longer than any table keeps an entry that a client's choice of names has created.
constexpr Duration kLongestRetention = 25s;
constexpr Duration kPressTime = 5s;

struct HostileClients : OverloadTest, testing::WithParamInterface<Hostility> {};
INSTANTIATE_TEST_SUITE_P(Each, HostileClients, testing::ValuesIn(kAllHostilities));
TEST_P(HostileClients, KeepTheNodeWithinItsMemoryAndOthersAreAnswered) {
  static const std::set<Hostility> kNeverForwarded{
      Hostility::half_body, Hostility::unfinished_fields, Hostility::half_chunked_body,
      Hostility::half_small_body, Hostility::trickling_body};
  const bool is_forwarded = !kNeverForwarded.contains(GetParam());
  start({32, 1024});
  press(kPressTime, is_forwarded ? 300 : 480, std::array{GetParam()});
  expect_within_limits();
}

// Guards against whole requests that lie unread, or are refused, while clients that stopped half
// way hold memory (review, case 6).
struct HalfSentRequests : OverloadTest, testing::WithParamInterface<Hostility> {};
INSTANTIATE_TEST_SUITE_P(Each, HalfSentRequests,
                         testing::Values(Hostility::half_body, Hostility::half_chunked_body,
                                         Hostility::half_small_body, Hostility::trickling_body,
                                         Hostility::unfinished_fields));
TEST_P(HalfSentRequests, LetWholeRequestsBesideThemBeServed) {
  ordinary_forms = {RequestForm::length, RequestForm::chunked};
  start({32, 1024});
  press(kPressTime, 480, std::array{GetParam()});
  expect_within_limits();
  EXPECT_EQ(shed_requests, 0U);
}
// Guards against requests that arrive in pieces being given up in place of those that have stopped.
TEST_F(OverloadTest, RequestsInPiecesAreServedBesideHalfSentOnes) {
  ordinary_forms = {RequestForm::in_pieces};
  start({32, 1024});
  press(kPressTime, 480, std::array{Hostility::half_body, Hostility::half_chunked_body});
  expect_within_limits();
}

struct ProcessSizes : OverloadTest, testing::WithParamInterface<ProcessLimits> {};
INSTANTIATE_TEST_SUITE_P(Limits, ProcessSizes,
                         testing::Values(ProcessLimits{32, 256}, ProcessLimits{32, 1024},
                                         ProcessLimits{192, 256}, ProcessLimits{192, 1024},
                                         ProcessLimits{32, 256, false},
                                         ProcessLimits{32, 1024, false},
                                         ProcessLimits{192, 256, false},
                                         ProcessLimits{192, 1024, false}));
TEST_P(ProcessSizes, MixedHostileClientsKeepTheNodeWithinItsMemory) {
  start(GetParam());
  if (!GetParam().has_counter) counter.stop();
  const RequestFlood new_names(
      listen, [](std::uint64_t n) { return fields("GET /read", 10'000'000 + n) + "\r\n"; });
  press(kLongestRetention, GetParam().descriptors * 47 / 100,
        std::array{Hostility::half_body, Hostility::unfinished_fields,
                   Hostility::input_behind_request, Hostility::half_body,
                   Hostility::unfinished_fields, Hostility::slow_reader,
                   Hostility::endless_chunk_header, Hostility::whole_body,
                   Hostility::unfinished_fields, Hostility::half_long_body, Hostility::leaver});
  expect_within_limits();
}

struct NameFlood : OverloadTest {
  static std::string new_customer(std::uint64_t n) {
    return fields("GET /read", 10'000'000 + n) + "\r\n";
  }
};
TEST_F(NameFlood, EverNewCustomersWithoutACounterKeepTheNodeWithinItsMemory) {
  start({32, 1024});
  counter.stop();
  const RequestFlood flood(listen, new_customer);
  loop.until([&] { return is_over_memory(); }, kLongestRetention);
  EXPECT_GT(flood.sent(), 10'000U);
  EXPECT_LT(number("node_memory_bytes{kind=\"customers\"}"), number("node_memory_budget_bytes"));
  EXPECT_FALSE(is_over_memory());
}
TEST_F(NameFlood, EverNewCustomersDelayNobodyElse) {
  start({32, 1024});
  const RequestFlood flood(listen, new_customer);
  press(kPressTime, 0, {});
  expect_within_limits();
}
TEST_F(NameFlood, UnsoundRequestsDelayNobodyElse) {
  start({32, 1024});
  const RequestFlood flood(listen, [](std::uint64_t) {
    return std::string("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
  });
  press(kPressTime, 0, {});
  expect_within_limits();
}
TEST_F(NameFlood, AStateThatFlipsIsNotLoggedEachTime) {
  start({32, 1024});
  std::uint64_t calls = 0;
  for (auto& w : counter.wires)
    w->on_data = [&](Wire& c) {
      for (auto line = c.line(); !line.empty(); line = c.line())
        c.send(line == "ping" ? "pong\r\n" : ++calls % 8 < 4 ? "busy\r\n" : "ok 1\r\n");
    };
  const RequestFlood flood(listen, new_customer);
  press(kPressTime, 0, {});
  const auto text = log();
  std::size_t lines = 0;
  for (auto at = text.find("counter "); at != std::string::npos; at = text.find("counter ", at + 1))
    ++lines;
  EXPECT_GT(lines, 0U) << text;
  EXPECT_LT(lines, 15U) << text;
}

}  // namespace
}  // namespace petrelrail::test
