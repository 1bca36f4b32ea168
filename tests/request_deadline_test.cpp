// Unit tests of when a request's time begins to count and of the deadlines that follow from it, in
// the rule itself, in the invariants and in the decision module. The clock is driven.
#include "policy/request_deadline.hpp"

#include <gtest/gtest.h>

#include "gateway_fixture.hpp"
#include "policy/body_arrival.hpp"
#include "policy/request_state.hpp"

namespace petrelrail::test {
namespace {

using policy::RequestDeadline;
using policy::RequestState;

constexpr Time kStart{1000s};

// Guards against a time that counts from a request's header, and one that begins twice.
TEST(RequestDeadlineTest, TimeCountsFromTheLastByte) {
  auto deadline = RequestDeadline::pending(2s);
  EXPECT_FALSE(deadline.is_running());
  EXPECT_EQ(deadline.time(), Time::max());
  EXPECT_EQ(deadline.time_left(kStart + 60s), 2s);
  EXPECT_TRUE(deadline.on_last_byte(kStart + 60s));
  EXPECT_EQ(deadline.time(), kStart + 62s);
  EXPECT_EQ(deadline.time_left(kStart + 61s), 1s);
  EXPECT_FALSE(deadline.on_last_byte(kStart + 61s));
  EXPECT_EQ(deadline.time(), kStart + 62s);
  EXPECT_EQ(RequestDeadline::running(kStart, 2s).time(), kStart + 2s);
}
// Guards against a request that outlives the process because its last byte comes late.
TEST(RequestDeadlineTest, TheEndOfTheProcessLimitsItBeforeAndAfterTheLastByte) {
  auto deadline = RequestDeadline::pending(2s);
  deadline.limit(kStart + 1s);
  EXPECT_EQ(deadline.time(), kStart + 1s);
  EXPECT_EQ(deadline.time_left(kStart), 1s);
  deadline.on_last_byte(kStart + 500ms);
  EXPECT_EQ(deadline.time(), kStart + 1s);
}
// Guards against a body whose last byte may have arrived being held for longer than its client
// waits, and against ending one whose client still writes.
TEST(RequestDeadlineTest, AServerThatTakesNothingIsBoundByTheClientsTimeout) {
  auto deadline = RequestDeadline::pending(2s);
  EXPECT_EQ(body_write_deadline(deadline, {kStart, {}}, 10s), kStart + 10s);
  EXPECT_EQ(body_write_deadline(deadline, {kStart, kStart + 1s}, 10s), kStart + 3s);
  EXPECT_EQ(body_write_deadline(RequestDeadline::pending(60s), {kStart, kStart + 1s}, 10s),
            kStart + 10s);
  EXPECT_EQ(deadline.earliest_time(std::nullopt), Time::max());
  EXPECT_EQ(deadline.earliest_time(kStart + 1s), kStart + 3s);
  deadline.on_last_byte(kStart + 500ms);
  EXPECT_EQ(deadline.earliest_time(kStart + 1s), kStart + 2500ms);
  EXPECT_EQ(body_write_deadline(deadline, {kStart, kStart + 1s}, 10s), kStart + 2500ms);
}
// Guards against a last byte that is taken for unwritten while it may lie in a socket, and for
// written while it surely is not.
TEST(BodyArrivalTest, TheLastByteIsUnwrittenWhereNothingLiesUnreadOrTooMuchIsMissing) {
  struct Step {
    Duration time;
    policy::BodyArrival::Observation observation;
    Duration not_written_until;
    bool is_out_of_reach = false;
  };
  struct Case {
    const char* name;
    std::vector<Step> steps;
  };
  const std::vector<Case> cases{
      {"unknown length, nothing unread", {{1s, {100, 0}, 1s}, {2s, {100, 0}, 2s}}},
      {"unknown length, never empty, little is read",
       {{1s, {100, 0}, 1s}, {2s, {200, 1}, 1s}, {3s, {300, 50}, 1s}, {9s, {900, 1}, 1s}}},
      {"unknown length, empty again", {{2s, {200, 50}, 0s}, {3s, {250, 0}, 3s}}},
      {"unknown length, more was read than could have been written",
       {{1s, {100, 50}, 0s}, {2s, {1149, 50}, 0s}, {3s, {1150, 50}, 1s}, {4s, {2199, 50}, 2s}}},
      {"known length, as much is missing as may be written",
       {{1s, {100, 50, 1051}, 1s}, {2s, {100, 51, 1051}, 1s}, {3s, {100, 50, 1051}, 3s}}},
      {"known length, nothing unread", {{1s, {100, 0, 1}, 1s}, {2s, {100, 1, 1}, 1s}}},
      {"known length, out of reach",
       {{1s, {100, 900, 2001}, 1s, true}, {2s, {101, 999, 2000}, 2s}}},
  };
  for (const auto& [name, steps] : cases) {
    policy::BodyArrival arrival(kStart, {1000, 2000});
    for (const auto& step : steps) {
      arrival.observe(kStart + step.time, step.observation);
      EXPECT_EQ(arrival.not_written_until() - kStart, step.not_written_until)
          << name << " at " << step.time.count();
      EXPECT_EQ(arrival.is_end_out_of_reach(), step.is_out_of_reach) << name;
    }
  }
}
// Guards against a read that brings the end and passes for proof that it was not written before.
TEST(BodyArrivalTest, AnEndThatIsReadCountsFromTheLastMomentAtWhichItWasNotWritten) {
  for (const std::uint64_t end : {1150, 1151}) {
    policy::BodyArrival arrival(kStart, {1000, 2000});
    arrival.observe(kStart + 1s, {100, 50});
    arrival.observe(kStart + 2s, {800, 50});
    arrival.on_end_read(end);
    EXPECT_EQ(arrival.not_written_until() - kStart, end > 1150 ? 1s : 0s);
  }
}
// Guards against observations of a long upload that take memory without bound.
TEST(BodyArrivalTest, ManyObservationsKeepTheBoundWithinAFewOfThem) {
  policy::BodyArrival arrival(kStart, {1000, 2000});
  for (std::uint64_t i = 0; i <= 900; ++i) arrival.observe(kStart + i * 1ms, {i, 100});
  arrival.observe(kStart + 901ms, {1900, 100});
  EXPECT_LE(arrival.not_written_until() - kStart, 800ms);
  EXPECT_GE(arrival.not_written_until() - kStart, 750ms);
}
// Guards against a short answer that is left unfinished beyond its time, one that every part moves
// on without end (review, case 10), and a long one that is cut off while it arrives.
TEST(RequestDeadlineTest, AnUnfinishedAnswerEndsAtItsTimeOrWhenItStallsOrIsTooSlow) {
  using Length = policy::ResponseLength;
  // Of the answer: begun 1 s after the request, whose time is 2 s; 1,000 bytes make it a long one.
  struct Case {
    Length length;
    Duration last_part;
    std::uint64_t bytes;
    Duration end;
  };
  const std::vector<Case> cases{
      {Length::within_limit, 1s, 10, 2400ms}, {Length::within_limit, 30s, 900, 2400ms},
      {Length::over_limit, 3s, 10, 13s},      {Length::over_limit, 90s, 10, 100s},
      {Length::unknown, 1s, 10, 2400ms},      {Length::unknown, 1s, 900, 2400ms},
      {Length::unknown, 2s, 140, 2400ms},     {Length::unknown, 2s, 150, 2500ms},
      {Length::unknown, 2s, 900, 3s},         {Length::unknown, 2400ms, 16, 2400ms},
      {Length::unknown, 9s, 900, 10s},        {Length::unknown, 9500ms, 950, 10500ms},
      {Length::unknown, 30s, 999, 10990ms},
  };
  const auto deadline = RequestDeadline::running(kStart, 2s);
  const policy::ResponseLimits limits{10s, 400ms, 1s, 1000, 10s};
  for (const auto& [length, last_part, bytes, end] : cases) {
    const policy::ResponseProgress progress{length, kStart + 1s, kStart + last_part, bytes};
    EXPECT_EQ(response_stall_deadline(deadline, progress, limits) - kStart, end)
        << static_cast<int>(length) << ' ' << last_part.count() << ' ' << bytes;
  }
  const policy::ResponseProgress progress{Length::within_limit, kStart, kStart + 1s, 10};
  EXPECT_EQ(response_stall_deadline(RequestDeadline::running(kStart, 60s), progress, limits),
            kStart + 11s);
  EXPECT_EQ(response_stall_deadline(RequestDeadline::pending(2s), progress, limits), kStart + 11s);
}
// Guards against a retry being turned down, or a request reported as overdue, while it still
// arrives.
TEST(RequestStateTest, ARequestIsNotOverdueBeforeItsLastByte) {
  RequestState state({.deadline = RequestDeadline::pending(2s), .max_attempts = 3});
  EXPECT_FALSE(state.is_overdue(kStart + 60s, 300ms));
  EXPECT_TRUE(state.may_write(kStart + 60s));
  EXPECT_EQ(state.check_forward(kStart + 60s), std::nullopt);
  state.on_received(kStart + 60s);
  EXPECT_TRUE(state.is_overdue(kStart + 62300ms, 300ms));
  EXPECT_FALSE(state.may_write(kStart + 62s));
}

// A request whose body is still arriving, in the decision module.
struct PendingBody : ::testing::Test {
  PendingBody() { host.list_servers(2); }
  // Submits a request whose client waits 1 s from its last byte, and grants its units.
  std::optional<Send> submit() {
    host.handle_event(RequestArrived{.request = RequestId(7),
                                     .customer = CustomerId(1),
                                     .time_left = 1s,
                                     .gateways = 2,
                                     .body_pending = true});
    if (const auto calls = host.actions_of<AddToCounter>(); !calls.empty())
      host.respond_to_call(calls[0], calls[0].amount);
    const auto sends = host.actions_of<Send>();
    return sends.empty() ? std::nullopt : std::optional(sends[0]);
  }
  Host host;
};
// Guards against an attempt that gets less than the client's whole time, and against a retry that
// is given up because the client still writes.
TEST_F(PendingBody, AnAttemptAndItsRetryHaveTheWholeTime) {
  const auto send = submit();
  ASSERT_TRUE(send);
  EXPECT_EQ(send->timeout, 1s);
  host.now += 60s;
  host.end_attempt(*send, AttemptOutcome::connect_failed);
  const auto retries = host.actions_of<Send>();
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_EQ(retries[0].timeout, 1s);
}
// Guards against a retry after the time that counts from the last byte, and one that gets more than
// is left of it.
TEST_F(PendingBody, ARetryAfterTheLastByteHasWhatIsLeft) {
  const auto send = submit();
  ASSERT_TRUE(send);
  host.now += 60s;
  host.handle_event(RequestReceived{RequestId(7), 1s});
  host.now += 300ms;
  host.end_attempt(*send, AttemptOutcome::connect_failed);
  const auto retries = host.actions_of<Send>();
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_EQ(retries[0].timeout, 700ms);
  host.now += 700ms;
  host.end_attempt(retries[0], AttemptOutcome::connect_failed, false, 20ms, 1);
  EXPECT_FALSE(host.has<Send>());
  EXPECT_TRUE(host.has<Reject>());
}
// Guards against a successor that releases the slot of a request whose client still writes.
TEST(PendingBodyHandover, TheSlotOfARequestThatStillArrivesIsNotReleasedAtItsHeadersTime) {
  auto s = settings();
  s.plans[0].max_concurrent = 4;
  Host host(s);
  host.list_servers(2);
  host.handle_event(RequestArrived{.request = RequestId(7),
                                   .customer = CustomerId(1),
                                   .time_left = 100ms,
                                   .gateways = 2,
                                   .body_pending = true});
  host.now += 60s;
  const auto state = host.gateway.export_state(host.now);
  ASSERT_EQ(state.leases.size(), 1u);
  ASSERT_EQ(state.leases[0].slot_release_times.size(), 1u);
  EXPECT_GT(state.leases[0].slot_release_times[0], host.now);
}

}  // namespace
}  // namespace petrelrail::test
