// Tests of requests that come again under the same id after their client has left, and of the table
// that remembers such ids.
#include "node_fixture.hpp"
#include "policy/request_history.hpp"

namespace petrelrail::test {
namespace {

struct RepeatedRequest : NodeTest {
  RepeatedRequest() {
    respond = [this](Wire& w, const std::string&) { asked = w.shared_from_this(); };
  }
  // Sends the request, whose client leaves once it is at a server.
  void leave(const RequestSpec& spec) {
    const auto before = received_requests.size();
    const auto w = client();
    w->send(spec.text());
    ASSERT_TRUE(loop.until([&] { return received_requests.size() > before; }));
    w->close();
  }
  std::shared_ptr<Wire> asked;
};
// Guards against a request that may not run twice and does, as its client has left and come again.
TEST_F(RepeatedRequest, ANonIdempotentOneIsNotForwardedAgain) {
  start();
  leave(unsafe_request());
  EXPECT_EQ(status(unsafe_request()), 409);  // its attempt is in flight
  asked->send(http_answer("200 OK", "served"));
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(status(unsafe_request()), 409);  // it has run
  EXPECT_EQ(received_requests.size(), 1U);
  EXPECT_TRUE(has_metric("node_repeats_refused 2"));
}
// Guards against a second copy beside an attempt that is in flight.
TEST_F(RepeatedRequest, AnIdempotentOneReplacesTheAttemptInFlight) {
  allows_cancel = true;
  start();
  const RequestSpec spec{.timeout = "30000"};
  leave(spec);
  const auto first = asked;
  const auto w = client();
  w->send(spec.text());
  ASSERT_TRUE(loop.until([&] { return received_requests.size() == 2; }));
  EXPECT_TRUE(loop.until([&] { return first->ended; }, 2s));
  asked->send(http_answer("200 OK", "served"));
  EXPECT_EQ(status(w), 200);
}
// Guards against a request that never ran being refused when it comes again.
TEST_F(RepeatedRequest, OneThatNeverRanIsForwarded) {
  start();
  leave(unsafe_request());
  asked->send(http_answer("503 Full", "", "X-Not-Processed: 1\r\n"));
  ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  respond = [](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served")); };
  EXPECT_EQ(status(unsafe_request()), 200);
}

using policy::RequestHistory;
constexpr Time kNow{1h};
const RequestClass kUnsafe{.name = "u", .idempotency = Idempotency::non_idempotent};
const RequestClass kKeyed{
    .name = "k", .idempotency = Idempotency::idempotency_key, .deduplication_window = 3s};

TEST(RequestHistoryTest, AnEntryIsForgottenAfterATime) {
  RequestHistory history;
  history.remember(RequestHistory::make_entry(kNow, "a", kUnsafe, kNow));
  EXPECT_FALSE(history.may_forward(kNow + 19s, "a"));
  EXPECT_TRUE(history.may_forward(kNow, "b"));
  EXPECT_TRUE(history.may_forward(kNow + 21s, "a"));
  EXPECT_EQ(history.bytes(), 0U);
}
TEST(RequestHistoryTest, AKeyMayBeRepeatedWhileEveryServerKnowsIt) {
  RequestHistory history;
  auto zonal = kKeyed;
  zonal.deduplication_scope = DeduplicationScope::zone;
  history.remember(RequestHistory::make_entry(kNow + 1s, "all", kKeyed, kNow));
  history.remember(RequestHistory::make_entry(kNow + 1s, "zone", zonal, kNow));
  EXPECT_TRUE(history.may_forward(kNow + 2s, "all"));
  EXPECT_FALSE(history.may_forward(kNow + 4s, "all"));
  EXPECT_FALSE(history.may_forward(kNow + 2s, "zone"));
}
TEST(RequestHistoryTest, TheOldestEntriesGoWhereTheBytesAreUsedUp) {
  RequestHistory history;
  history.set_max_bytes(20'000);
  for (int i = 0; i < 1000; ++i)
    history.remember(RequestHistory::make_entry(kNow, "id" + std::to_string(i), kUnsafe, kNow));
  EXPECT_LE(history.bytes(), 20'000U);
  EXPECT_TRUE(history.may_forward(kNow, "id0"));
  EXPECT_FALSE(history.may_forward(kNow, "id999"));
}

}  // namespace
}  // namespace petrelrail::test
