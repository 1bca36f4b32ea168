// Tests of the acceptance requirements, each against scripted peers. docs/terms.md has the table.
#include "agent.hpp"
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

// ---- The endpoint list --------------------------------------------------------------------------

struct WatchTerms : DiscoveryTest {
  static std::string indented(const std::string& text) {
    return nlohmann::json::parse(text).dump(4) + "\n";
  }
};
TEST_F(WatchTerms, ListsMayComeIndented) {
  start();
  const auto w = watch();
  w->send(kHead + chunk("\n") + chunk(indented(list(43, false, member("s-0000000a", "DRAINING")))));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].entries.at(0).info.phase, EndpointPhase::draining);
  // Brackets, quotes and line ends inside a JSON string do not count as structure, and the
  // boundaries of the chunks do not matter.
  const auto odd = indented(list(44, true, member(R"(]}\"{\\)")));
  for (const char c : odd) w->send(chunk({c}));
  w->send(chunk("\r\n" + indented(list(45, false, member("s-0000000b", "DELETED"))) +
                list(46, false, member("s-0000000c")) + list(47, false, "")));
  ASSERT_TRUE(wait_for(6));
  EXPECT_EQ(told[2].kind, EndpointListKind::full);
  EXPECT_EQ(discovery.name_of(told[2].entries.at(0).info.id), R"(]}"{\)");
  EXPECT_EQ(told[3].entries.at(0).info.phase, EndpointPhase::gone);
  EXPECT_EQ(discovery.revision(), 47u);
  EXPECT_EQ(asked.size(), 1u);
}
// An empty line never occurs within a list, so a list is cut short if one follows its beginning.
// The watch is then started again.
TEST_F(WatchTerms, AnIndentedListThatIsCutShortBeginsTheWatchAnew) {
  start();
  const auto whole = indented(list(43, false, member("s-0000000b")));
  // Cut in the middle of a string, and between two members.
  watch()->send(kHead + chunk(whole.substr(0, whole.find("RVING")) + "\n"));
  ASSERT_NE(watch(2), nullptr);
  watch(2)->send(kHead + chunk(whole.substr(0, whole.find("\"cell\"")) + "\n") + chunk("\n"));
  ASSERT_NE(watch(3), nullptr);
  EXPECT_EQ(asked[2], "GET /api/targets?watch=1&from=41 HTTP/1.1");
  watch(3)->send(kHead + chunk(whole));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].entries.at(0).info.id, EndpointId(11));
}
// The agent answers a new watch at once, so a watch that is silent from its start is abandoned long
// before one that falls silent after a line. A second Discovery on the same clock shows which is
// abandoned first.
TEST_F(WatchTerms, AWatchThatIsSilentFromItsStartIsLeftBeforeOneThatFellSilent) {
  std::size_t others = 0;
  Peer other_agent{loop.io, [&](Wire& w) {
                     if (w.message().starts_with("GET /api/targets?watch=1&") && ++others == 1)
                       w.send(kHead + chunk("\n"));
                   }};
  Discovery other{loop.io,
                  timers,
                  other_agent.endpoint(),
                  other_agent.text(),
                  {{"a", 0}},
                  [](auto, const auto&) {}};
  other.start(nlohmann::json::parse(list(41, true, member("s-0000000a"))));
  ASSERT_TRUE(loop.until([&] { return others == 1; }));
  start();
  ASSERT_NE(watch(3), nullptr);  // the second watch stays silent too
  EXPECT_EQ(others, 1u);
  agent.wires.back()->send(kHead + chunk(list(43, false, member("s-0000000b")) + "\n"));
  EXPECT_TRUE(wait_for(2));
  EXPECT_TRUE(loop.until([&] { return others == 2; }));
}
// Throughout an outage the agent is contacted repeatedly, and the reconnect delays do not grow,
// because a change that the agent has right after the outage counts as reported at once. Its list
// arrives with the first answer.
TEST_F(WatchTerms, RightAfterAnOutageTheListIsThere) {
  start();
  watch()->send(kHead + chunk("\n"));
  const auto silent = watch(5);
  ASSERT_NE(silent, nullptr);
  silent->send(kHead + chunk(list(60, true, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].kind, EndpointListKind::full);
  EXPECT_EQ(asked.back(), "GET /api/targets?watch=1&from=41 HTTP/1.1");
}
// The address configured by SIGHUP may be silent at first. Discovery keeps trying it and does not
// return to the old one.
TEST_F(WatchTerms, AnAgentThatHasMovedAndIsSilentIsAskedAgain) {
  start();
  ASSERT_NE(watch(), nullptr);
  std::size_t there = 0;
  Peer moved{loop.io, [&](Wire& w) {
               if (!w.message().empty() && ++there == 3)
                 w.send(kHead + chunk(list(50, false, member("s-0000000b")) + "\n"));
             }};
  const auto before = asked.size();
  discovery.set_agent(moved.endpoint(), moved.text());
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(there, 3u);
  EXPECT_EQ(asked.size(), before);
}
// ---- Clients after SIGTERM ----------------------------------------------------------------------

struct EndTerms : NodeTest {
  void drain() {
    node->drain([this] { ended = true; });
  }
  bool ended = false;
};
// A client that connects is about to send a request. Closing its connection unanswered would count
// as a refusal.
TEST_F(EndTerms, AConnectionThatCameJustBeforeTheSignalIsServed) {
  start();
  const auto kept = client();
  kept->send(RequestSpec{}.text());
  ASSERT_EQ(status(kept), 200);
  const auto fresh = client();
  ASSERT_TRUE(loop.until(
      [&] { return has_metric("node_sessions 3"); }));  // including the fixture's own session
  drain();
  ASSERT_TRUE(loop.until([&] { return kept->ended; }));  // idle between requests
  EXPECT_FALSE(fresh->ended);
  fresh->send(RequestSpec{.id = "a2"}.text());
  EXPECT_EQ(status(fresh), 200);
  EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
  EXPECT_TRUE(loop.until([&] { return ended; }));
}
// A request that arrives before the signal is processed is answered; its connection is not closed
// first.
TEST_F(EndTerms, ARequestThatCrossesTheSignalIsServed) {
  start();
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_EQ(status(w), 200);
  asio::write(w->socket, asio::buffer(RequestSpec{.id = "a2"}.text()));
  drain();
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(loop.until([&] { return ended; }));
}
// Clients send on connections that stay open until SIGKILL, which must leave no request unanswered.
// A late request is therefore answered before it, however long its client would wait.
TEST_F(EndTerms, ARequestThatComesLateIsAnsweredBeforeTheKill) {
  start();
  respond = {};
  auto a = RequestSpec{.timeout = "3600000"};
  const auto slow = client();
  const auto text = a.text();
  slow->send(text.substr(0, 100));
  ASSERT_TRUE(loop.until([&] { return has_metric("node_sessions 2"); }));
  drain();
  const auto mark = client();  // closed once no new connections are accepted
  ASSERT_TRUE(loop.until([&] { return mark->ended; }));
  slow->send(text.substr(100));
  EXPECT_GE(status(slow), 429);
  EXPECT_EQ(received_requests.size(), 1u);
  EXPECT_TRUE(loop.until([&] { return ended; }));
}

// ---- Final answers ------------------------------------------------------------------------------

// An answer of the usual size that stalls while it is passed on is ended soon after its request's
// deadline, so that the client can tell: without an end it would be lost. A long answer that
// stalled earlier still has time.
TEST_F(NodeTest, AnAnswerThatStallsOnItsWayEndsSoonAfterItsTime) {
  start();
  respond = [&](Wire& w, const std::string&) {
    w.send("HTTP/1.1 200 OK\r\nContent-Length: " +
           std::string(received_requests.size() == 1 ? "600000" : "60000") + "\r\n\r\nabc");
  };
  std::vector<std::shared_ptr<Wire>> both;
  for (const char* id : {"a1", "a2"}) {
    both.push_back(client());
    both.back()->send(RequestSpec{.id = id, .timeout = "500"}.text());
    ASSERT_TRUE(loop.until([&] { return both.back()->in.ends_with("abc"); }));
  }
  ASSERT_TRUE(loop.until([&] { return both[1]->ended; }));
  EXPECT_FALSE(both[0]->ended);
  EXPECT_EQ(node->open_requests(), 1u);
  EXPECT_TRUE(loop.until([&] { return both[0]->ended; }));
}

// A second answer that arrives before the connection is reused closes the connection.
TEST_F(NodeTest, AConnectionOnWhichASecondAnswerComesEnds) {
  one_server = true;
  start();
  const auto w = client();
  w->send(RequestSpec{}.text());
  ASSERT_EQ(status(w), 200);
  server.wires[0]->send(http_answer("200 OK", "again"));
  EXPECT_TRUE(loop.until([&] { return server.wires[0]->ended; }));
  EXPECT_TRUE(has_metric("node_pool_stale_drops 1"));
  EXPECT_TRUE(has_metric("node_pool_open 0"));
}

}  // namespace
}  // namespace petrelrail::test
