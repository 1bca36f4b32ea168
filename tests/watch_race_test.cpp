// Tests of the endpoint list when a fault of the discovery agent coincides with another event. They
// guard against a list that stays out of date longer than the limits allow because the agent fails
// at an unfavourable moment.
#include "agent.hpp"

namespace petrelrail::test {
namespace {

// Checks the agent limits derived from a site's drain grace. The sums that PROTOCOL bounds are
// checked by static_asserts next to the limits, in limits.hpp.
constexpr bool fits(Duration grace) {
  const auto limits = limits::agent_limits(grace);
  return limits.poll_interval + limits.max_reconnect_delay < grace &&
         limits.poll_interval <= limits::kAgentTimeout &&
         limits.max_reconnect_delay <= limits::kMaxWatchReconnectDelay;
}
static_assert(fits(1s) && fits(250ms) && fits(150ms) && fits(5s));
static_assert(limits::agent_limits(0s).poll_interval >= 20ms &&
              limits::agent_limits(0s).max_reconnect_delay >= 20ms);

struct WatchCrossing : DiscoveryTest {
  using Figure = std::uint64_t Discovery::Stats::*;
  bool wait_for(Figure figure, std::uint64_t n) {
    return loop.until([&] { return discovery.stats().*figure >= n; });
  }
  using DiscoveryTest::wait_for;
  // Reads everything that has been received so far, without waiting for more.
  void settle() {
    for (int i = 0; i < 4; ++i) loop.io.restart(), loop.io.poll();
  }
  // Runs the loop for the given time, measured on the clock that the watch uses.
  bool pass(Duration time) {
    bool passed = false;
    timers.after(time, [&] { passed = true; });
    return loop.until([&] { return passed; });
  }
  // Sends one byte at a time until the connection ends, timed by the same clock.
  void dribble(const std::shared_ptr<Wire>& w, char c) {
    if (w->ended) return;
    w->send(chunk({c}));
    timers.after(100ms, [this, w, c] { dribble(w, c); });
  }
  static std::string whole(int revision, const std::string& members) {
    return http_answer("200 OK", list(revision, true, members) + "\n");
  }
};

// ---- A watch without a complete line ------------------------------------------------------------

TEST_F(WatchCrossing, BesideAWatchWithItsHeadAloneTheListIsAskedFor) {
  on_watch = [](Wire& w) { w.send(kHead); };
  start();
  const auto q = question();
  ASSERT_NE(q, nullptr);
  q->send(whole(50, member("s-0000000b")));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].kind, EndpointListKind::full);
  EXPECT_EQ(discovery.revision(), 50U);
  // The watch is kept and its later changes are applied. After that no more polls are sent.
  EXPECT_FALSE(watches[0]->ended);
  watches[0]->send(chunk(list(51, false, member("s-0000000b", "DRAINING")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  const auto asked_before = discovery.stats().polls;
  ASSERT_TRUE(pass(3 * discovery.limits().poll_interval));
  EXPECT_EQ(discovery.stats().polls, asked_before);
  EXPECT_EQ(discovery.stats().watches, 1U);
}
// An agent without changes may send its first empty line 2 s after the head. Its watch is kept.
TEST_F(WatchCrossing, AnAgentWhoseFirstLineIsEmptyAndLateKeepsItsWatch) {
  start();
  watch()->send(kHead);
  ASSERT_TRUE(pass(limits::kWatchKeepAliveInterval));
  EXPECT_EQ(discovery.stats().watches, 1U);
  watches[0]->send(chunk("\n"));
  ASSERT_TRUE(pass(limits::kWatchKeepAliveInterval));
  EXPECT_EQ(discovery.stats().watches, 1U);
}
TEST_F(WatchCrossing, AHeadAloneDoesNotKeepAWatch) {
  on_watch = [](Wire& w) { w.send(kHead); };
  start();
  EXPECT_NE(watch(2), nullptr);
}
TEST_F(WatchCrossing, ADribbledHeadDoesNotKeepAWatch) {
  start();
  const auto w = watch();
  w->send("HTTP/1.1 200 OK\r\nX: ");
  std::function<void()> more = [&] {
    if (!w->ended) w->send("x"), timers.after(100ms, more);
  };
  more();
  EXPECT_NE(watch(2), nullptr);
}
TEST_F(WatchCrossing, BytesWithoutAnEndDoNotKeepAWatch) {
  start();
  watch()->send(kHead + chunk("{"));
  dribble(watches[0], ' ');  // an incomplete list
  ASSERT_NE(watch(2), nullptr);
  watches[1]->send(kHead + chunk("\n"));
  dribble(watches[1], ' ');  // an incomplete empty line after a complete one
  ASSERT_NE(watch(3), nullptr);
  EXPECT_EQ(discovery.stats().lost + discovery.stats().unreadable, 0U);  // both ended for silence
}
// If every watch fails or stays silent after its head, polls still fetch the agent's list.
TEST_F(WatchCrossing, WhereEveryWatchIsRefusedTheListIsStillLearned) {
  on_watch = [](Wire& w) { w.send(http_answer("503 Service Unavailable")); };
  on_question = [](Wire& w) { w.send(whole(50 + 1, member("s-0000000b"))); };
  start();
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(discovery.revision(), 51U);
  EXPECT_GT(discovery.stats().unreadable, 0U);
}
TEST_F(WatchCrossing, WhereEveryWatchBreaksInHalfALineTheListIsStillLearned) {
  on_watch = [this](Wire& w) {
    w.send(kHead + chunk(R"({"revision":60,)"));
    const auto kept = w.shared_from_this();
    timers.after(20ms, [kept] { kept->reset(); });
  };
  on_question = [](Wire& w) { w.send(whole(51, member("s-0000000b"))); };
  start();
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(discovery.revision(), 51U);
}

// ---- The site's drain grace ---------------------------------------------------------------------

TEST_F(WatchCrossing, LimitsFollowTheGraceAlsoAtHangUp) {
  EXPECT_EQ(discovery.limits().poll_interval, 500ms);
  EXPECT_EQ(discovery.limits().max_reconnect_delay, 250ms);
  discovery.set_drain_grace(150ms);
  EXPECT_EQ(discovery.limits().poll_interval, 75ms);
  EXPECT_EQ(discovery.limits().max_reconnect_delay, 37500us);
  discovery.set_drain_grace(10s);
  EXPECT_EQ(discovery.limits().poll_interval, limits::kAgentTimeout);
  EXPECT_EQ(discovery.limits().max_reconnect_delay, limits::kMaxWatchReconnectDelay);
}
// The next poll is sent while the previous one is in flight, which may still be answered.
TEST_F(WatchCrossing, QuestionsGoOutBesideAnAgentThatIsSilent) {
  discovery.set_drain_grace(150ms);
  start();
  ASSERT_TRUE(wait_for(&Discovery::Stats::polls, 1));
  EXPECT_EQ(discovery.stats().silent, 0U);
  EXPECT_EQ(discovery.stats().watches, 1U);
  // Any open poll may be answered; here it is the oldest.
  ASSERT_NE(watch(), nullptr);
  watches[0]->send(kHead + chunk(list(50, true, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  ASSERT_TRUE(
      loop.until([&] { return std::ranges::all_of(questions, [](auto& q) { return q->ended; }); }));
  EXPECT_FALSE(watches[0]->ended);
}
TEST_F(WatchCrossing, AShorterGraceCountsForAQuestionThatWaits) {
  start();
  discovery.set_drain_grace(100ms);
  ASSERT_TRUE(wait_for(&Discovery::Stats::polls, 1));
  EXPECT_EQ(discovery.stats().silent, 0U);  // the watch, which started earlier, has its 500 ms
}
// The agent answers more slowly than the poll interval, but within the time-out of one poll.
TEST_F(WatchCrossing, ASlowAgentIsHeard) {
  discovery.set_drain_grace(80ms);
  on_question = [this](Wire& w) {
    const auto kept = w.shared_from_this();
    timers.after(300ms, [kept] {
      if (!kept->ended) kept->send(whole(50, member("s-0000000b")));
    });
  };
  start();
  EXPECT_TRUE(wait_for(2));
}
TEST_F(WatchCrossing, ConnectionsToASilentAgentAreFew) {
  discovery.set_drain_grace(0s);
  start();
  ASSERT_NE(question(20), nullptr);
  settle();
  EXPECT_LE(
      std::ranges::count_if(agent.wires, [](const auto& w) { return !w->ended; }),
      static_cast<long>(limits::kMaxAgentConnections) + 1);  // one of them may just be connecting
}
// An empty line also shows that the watch works: failures before it do not lengthen the reconnect
// delay after it.
TEST_F(WatchCrossing, AnEmptyLineEndsThePausesGrowth) {
  on_watch = [this](Wire& w) {
    if (watches.size() < 5) return w.reset();
    w.send(kHead + chunk("\n"));
  };
  start();
  ASSERT_NE(watch(5), nullptr);
  settle();
  const auto lost = discovery.stats().lost;
  watches[4]->reset();
  ASSERT_TRUE(wait_for(&Discovery::Stats::lost, lost + 1));
  bool late = false;
  timers.after((limits::kMinBackoff + limits::kMaxWatchReconnectDelay) / 2, [&] { late = true; });
  ASSERT_TRUE(wait_for(&Discovery::Stats::watches, 6));
  EXPECT_FALSE(late);
}

// ---- SIGHUP changes the agent's address ---------------------------------------------------------

struct WatchMoves : WatchCrossing {
  WatchMoves() {
    moved.on([this](Wire& w) {
      const auto m = w.message();
      if (m.empty()) return;
      there.push_back(m.substr(0, m.find("\r\n")));
      w.send(kHead + chunk(list(50, true, member("s-0000000b")) + "\n"));
    });
  }
  // Expects the list from the new agent's first watch and no further requests to the old agent.
  void expect_moved() {
    discovery.set_agent(moved.endpoint(), moved.text());
    const auto before = asked.size() + questions.size();
    ASSERT_TRUE(wait_for(2));
    EXPECT_EQ(there, std::vector<std::string>{"GET /api/targets?watch=1&from=41 HTTP/1.1"});
    EXPECT_EQ(told[1].entries.at(0).info.id, EndpointId(11));
    EXPECT_TRUE(loop.until(
        [&] { return std::ranges::all_of(agent.wires, [](auto& w) { return w->ended; }); }));
    EXPECT_EQ(asked.size() + questions.size(), before);
    ASSERT_TRUE(pass(2 * discovery.limits().poll_interval));
    EXPECT_EQ(there.size(), 1U);  // no pending timer sends another request
    EXPECT_EQ(told.size(), 2U);
  }
  std::vector<std::string> there;
  Peer moved{loop.io};
};
TEST_F(WatchMoves, WhileAListIsHalfRead) {
  start();
  watch()->send(kHead + chunk(R"({"revision":60,"members":[{"id":"s-)"));
  settle();
  expect_moved();
}
TEST_F(WatchMoves, WhileAPauseRuns) {
  on_watch = [](Wire& w) { w.reset(); };
  start();
  ASSERT_TRUE(wait_for(&Discovery::Stats::lost, 3));
  expect_moved();
}
TEST_F(WatchMoves, WhileAConnectIsOut) {
  start();
  expect_moved();
}
TEST_F(WatchMoves, WhileAQuestionIsOut) {
  discovery.set_drain_grace(150ms);
  start();
  ASSERT_NE(question(2), nullptr);
  discovery.set_drain_grace(1s);
  expect_moved();
}

// ---- Versions -----------------------------------------------------------------------------------

TEST_F(WatchCrossing, AWholeListOfALowerVersionIsTaken) {
  start();
  watch()->send(kHead + chunk(list(60, true, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  watches[0]->reset();  // the agent restarts with a lower revision
  watch(2)->send(kHead + chunk(list(7, true, member("s-0000000c")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  EXPECT_EQ(asked[1], "GET /api/targets?watch=1&from=60 HTTP/1.1");
  EXPECT_EQ(told[2].kind, EndpointListKind::full);
  watches[1]->reset();
  ASSERT_NE(watch(3), nullptr);
  EXPECT_EQ(asked[2], "GET /api/targets?watch=1&from=7 HTTP/1.1");
}
// The agent restarts with a lower revision than the edge node holds, and each test reports it in
// another way. The agent's list is applied whatever its revision, within the limits on a silent
// watch.
struct VersionsThatGoBack : WatchCrossing {
  // Revision 60 with server b is held; the restarted agent holds only c, with a lower revision.
  void held() {
    start();
    watch()->send(kHead + chunk(list(60, true, member("s-0000000b")) + "\n"));
    ASSERT_TRUE(wait_for(2));
    ASSERT_TRUE(loop.until([&] { return questions.empty() && discovery.revision() == 60; }));
  }
  void expect_taken(Duration limit, int revision = 7) {
    bool late = false;
    timers.after(limit, [&] { late = true; });
    ASSERT_TRUE(wait_for(3));
    EXPECT_FALSE(late);
    EXPECT_EQ(told[2].kind, EndpointListKind::full);
    ASSERT_EQ(told[2].entries.size(), 1U);
    EXPECT_EQ(told[2].entries[0].info.id, EndpointId(12));
    EXPECT_EQ(discovery.revision(), static_cast<std::uint64_t>(revision));
    // Normal operation resumes: changes are applied, and no more polls or watches are started.
    const auto watches_before = discovery.stats().watches, asked_before = discovery.stats().polls;
    watches.back()->send(chunk(list(revision + 1, false, member("s-0000000d")) + "\n"));
    ASSERT_TRUE(wait_for(4));
    EXPECT_EQ(told[3].kind, EndpointListKind::delta);
    ASSERT_TRUE(pass(2 * discovery.limits().poll_interval));
    EXPECT_EQ(discovery.stats().watches, watches_before);
    EXPECT_EQ(discovery.stats().polls, asked_before);
  }
  void on_a_watch(const std::string& first_line,
                  Duration limit = limits::kDiscoveryNotificationDelay) {
    ASSERT_NO_FATAL_FAILURE(held());
    on_watch = [=](Wire& w) { w.send(kHead + chunk(first_line + "\n")); };
    on_question = [](Wire& w) { w.send(whole(7, member("s-0000000c"))); };
    watches[0]->reset();
    expect_taken(limit);
  }
};
TEST_F(VersionsThatGoBack, WithTheWholeList) { on_a_watch(list(7, true, member("s-0000000c"))); }
TEST_F(VersionsThatGoBack, WithAnEmptyLine) { on_a_watch(""); }
TEST_F(VersionsThatGoBack, WithChangesOfALowerVersion) {
  on_a_watch(list(7, false, member("s-0000000a")));
}
TEST_F(VersionsThatGoBack, WithNoChangesOfALowerVersion) { on_a_watch(list(0, false, "")); }
TEST_F(VersionsThatGoBack, WithAHeadAlone) {
  ASSERT_NO_FATAL_FAILURE(held());
  on_watch = [](Wire& w) { w.send(kHead); };
  on_question = [](Wire& w) { w.send(whole(7, member("s-0000000c"))); };
  watches[0]->reset();
  expect_taken(limits::kDiscoveryNotificationDelay);
}
TEST_F(VersionsThatGoBack, InTheMiddleOfAWatch) {
  ASSERT_NO_FATAL_FAILURE(held());
  on_question = [](Wire& w) { w.send(whole(7, member("s-0000000c"))); };
  watches[0]->send(chunk(list(5, false, member("s-0000000a")) + "\n"));
  expect_taken(limits::kDiscoveryNotificationDelay);
}
// The agent's list changes between a poll and its answer. An answer older than a watch line that
// was skipped is not applied.
TEST_F(VersionsThatGoBack, WhileTheWholeListIsAskedFor) {
  ASSERT_NO_FATAL_FAILURE(held());
  watches[0]->send(chunk(list(5, false, member("s-0000000a")) + "\n"));
  const auto first = question();
  watches[0]->send(chunk(list(6, false, member("s-0000000a")) + "\n"));
  const auto second = question(2);
  ASSERT_NE(second, nullptr);
  ASSERT_TRUE(loop.until([&] { return first->ended; }));
  second->send(whole(6, member("s-0000000c")));
  expect_taken(limits::kDiscoveryNotificationDelay, 6);
}
// The agent is silent on the watch and refuses the first polls; polling is repeated.
TEST_F(VersionsThatGoBack, WhereTheFirstQuestionsAreLost) {
  ASSERT_NO_FATAL_FAILURE(held());
  on_watch = [](Wire& w) { w.send(kHead + chunk("\n")); };
  on_question = [this](Wire& w) {
    if (questions.size() < 3) return w.reset();
    w.send(whole(7, member("s-0000000c")));
  };
  watches[0]->reset();
  expect_taken(limits::kDiscoveryNotificationDelay);
}
// SIGHUP changes the address to that of an agent with a lower revision, which sends only an empty
// line or nothing at all.
TEST_F(VersionsThatGoBack, AtAnAgentThatDiscoveryMovedTo) {
  ASSERT_NO_FATAL_FAILURE(held());
  Peer moved{loop.io, [this](Wire& w) {
               const auto m = w.message();
               if (m.starts_with("GET /api/targets?")) {
                 watches.push_back(w.shared_from_this());
                 w.send(kHead + chunk("\n"));
               } else if (!m.empty()) {
                 w.send(whole(0, member("s-0000000c")));
               }
             }};
  discovery.set_agent(moved.endpoint(), moved.text());
  expect_taken(limits::kReloadNotificationDelay, 0);
}
// A late change on the watch that is older than a polled list would revert that list.
TEST_F(WatchCrossing, ChangesThatAListBesideHasOvertakenArePassedOver) {
  on_watch = [](Wire& w) { w.send(kHead); };
  start();
  question()->send(whole(60, member("s-0000000a", "DRAINING")));
  ASSERT_TRUE(wait_for(2));
  watches[0]->send(chunk(list(59, false, member("s-0000000a")) + "\n"));
  watches[0]->send(chunk(list(61, false, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  EXPECT_EQ(told[2].entries.at(0).info.id, EndpointId(11));
  EXPECT_EQ(discovery.revision(), 61U);
  EXPECT_EQ(discovery.stats().watches, 1U);
  // A full list is applied whatever its revision.
  watches[0]->send(chunk(list(7, true, member("s-0000000c")) + "\n"));
  ASSERT_TRUE(wait_for(4));
  EXPECT_EQ(discovery.revision(), 7U);
}
TEST_F(WatchCrossing, AListMayBeCutInTwoAtAnyByte) {
  start();
  const auto w = watch();
  w->send(kHead);
  const auto text = list(50, false, member("s-0000000b", "DRAINING")) + "\n";
  for (std::size_t n = 1; n < text.size(); ++n) {
    const auto bytes = chunk(text);
    w->send(bytes.substr(0, n));
    settle();
    w->send(bytes.substr(n));
    ASSERT_TRUE(wait_for(n + 1)) << n;
    EXPECT_EQ(told.back().entries.at(0).info.phase, EndpointPhase::draining);
  }
  EXPECT_EQ(discovery.stats().watches, 1U);
}

// ---- Start-up and unreadable answers ------------------------------------------------------------

// Nothing listens at the start. Once the agent listens, Discovery connects without any trigger.
TEST_F(WatchCrossing, AnAgentThatIsDownAtTheStartIsFound) {
  agent.stop();
  start();
  ASSERT_TRUE(wait_for(&Discovery::Stats::lost, 4));
  asio::basic_socket_acceptor<Tcp, Executor> acceptor(loop.io.get_executor(), agent.endpoint());
  std::shared_ptr<Wire> w;
  acceptor.async_accept([&](const error_code& failed, Socket s) {
    ASSERT_FALSE(failed);
    w = std::make_shared<Wire>(std::move(s));
    w->read();
  });
  ASSERT_TRUE(loop.until([&] { return w && !w->message().empty(); }));
  w->send(kHead + chunk(list(50, true, member("s-0000000b")) + "\n"));
  EXPECT_TRUE(wait_for(2));
}
TEST_F(WatchCrossing, WhatCannotBeReadIsPassedOver) {
  const std::vector<std::string> bad{
      "rubbish\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'x') + "\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      http_answer("404 Not Found", list(50, true, member("s-0000000b"))),
      kHead + chunk("[]"),
      kHead + chunk("{]"),
      kHead + chunk("{}\n"),
      kHead + chunk(R"({"revision":-1,"complete":true,"members":[]})"),
      kHead + chunk(R"({"revision":50,"complete":"no","members":[]})"),
      kHead + chunk(R"({"revision":50,"complete":false,"members":{}})"),
      kHead + chunk("{\"a\":\"\n"),
  };
  on_watch = [&](Wire& w) { w.send(bad.at(std::min(watches.size(), bad.size()) - 1)); };
  on_question = [&](Wire& w) {
    w.send(kHead + chunk(list(50, false, member("s-0000000b"))));
  };  // not a full list
  start();
  ASSERT_NE(watch(bad.size() + 1), nullptr);
  EXPECT_GE(discovery.stats().unreadable, bad.size());
  EXPECT_EQ(told.size(), 1U);
  EXPECT_EQ(discovery.revision(), 41U);
}
// Lists with malformed parts: valid members are passed to the callback, the revision stays, and the
// same changes are requested again.
struct MalformedLists : WatchCrossing {
  using Kind = std::uint64_t Discovery::Stats::*;
  static std::string with(const std::string& key, const std::string& value) {
    auto m = nlohmann::json::parse(member("s-0000000b"));
    if (value.empty()) return m.erase(key), m.dump();
    return m[key] = nlohmann::json::parse(value), m.dump();
  }
  // Sends each malformed line (changes or full list) on a watch of its own.
  void each(const std::vector<std::string>& bad, Kind kind, std::size_t told_each) {
    on_watch = [&](Wire& w) {
      if (watches.size() <= bad.size()) w.send(kHead + chunk(bad[watches.size() - 1] + "\n\n"));
    };
    discovery.set_drain_grace(80ms);  // short reconnect delays
    start();
    ASSERT_NE(watch(bad.size() + 1), nullptr);
    for (const auto& line : asked) EXPECT_EQ(line, "GET /api/targets?watch=1&from=41 HTTP/1.1");
    EXPECT_EQ(discovery.revision(), 41U);
    EXPECT_EQ(discovery.stats().*kind, bad.size());
    EXPECT_EQ(discovery.stats().unreadable, bad.size());
    ASSERT_EQ(told.size(), 1 + told_each * bad.size());
    for (std::size_t i = 1; i < told.size(); ++i) {
      EXPECT_EQ(told[i].kind, EndpointListKind::delta)
          << i;  // also for a full list: a malformed one can't show which members left
      ASSERT_EQ(told[i].entries.size(), 1U) << i;
      EXPECT_EQ(told[i].entries[0].info.id, EndpointId(12)) << i;
    }
    // The agent's next list is applied as usual.
    watches.back()->send(kHead + chunk(list(60, true, member("s-0000000b")) + "\n"));
    ASSERT_TRUE(wait_for(told.size() + 1));
    EXPECT_EQ(discovery.revision(), 60U);
  }
};
TEST_F(MalformedLists, OfAMemberThatIsMalformedTheOthersAreTaken) {
  std::vector<std::string> members{"5", "null", "[]", R"("s-0000000b")", "{}"};
  for (const auto* key : {"id", "host_port", "locality", "cell", "phase"})
    members.push_back(with(key, ""));
  for (const auto* id : {"7", "null", "[]"}) members.push_back(with("id", id));
  for (const auto* at :
       {"nowhere", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "x:7070"})
    members.push_back(with("host_port", nlohmann::json(at).dump()));
  for (const auto* phase : {R"("STARTING")", R"("serving")", "1"})
    members.push_back(with("phase", phase));
  for (const auto* cell : {R"("3")", "-1", "1.5", "4294967296"})
    members.push_back(with("cell", cell));
  for (const auto* up : {R"("0")", "1.5", "9223372036854775807", "18446744073709551615"})
    members.push_back(with("up_since_ms", up));
  members.push_back(with("size", R"("big")"));
  std::vector<std::string> bad;
  for (const auto& m : members)
    for (const bool complete : {false, true})
      bad.push_back(list(50, complete, m + "," + member("s-0000000c")));
  each(bad, &Discovery::Stats::bad_members, 1);
}
TEST_F(MalformedLists, AListWithoutWhatEachHasIsDroppedWhole) {
  const auto m = R"("members":[)" + member("s-0000000b") + "]}";
  std::vector<std::string> bad{"{}"};
  for (const auto* revision :
       {"", R"("revision":"50",)", R"("revision":-1,)", R"("revision":5.5,)"})
    bad.push_back(std::string("{") + revision + R"("complete":true,)" + m);
  for (const auto* complete : {"", R"("complete":1,)", R"("complete":"no",)"})
    bad.push_back(R"({"revision":50,)" + std::string(complete) + m);
  for (const auto* members : {"", R"(,"members":{})", R"(,"members":null)", R"(,"members":5)"})
    bad.push_back(R"({"revision":50,"complete":true)" + std::string(members) + "}");
  each(bad, &Discovery::Stats::bad_lists, 0);
}
TEST_F(MalformedLists, ATextThatIsNoJsonIsDroppedWhole) {
  const auto good = list(50, true, member("s-0000000b"));
  std::vector<std::string> bad{
      "5", "[]", "rubbish", "{]", R"({"a":nothing})", R"({"a":1e999})", R"({"a":)"};
  bad.push_back(std::string("{").append(good));
  bad.push_back(good.substr(0, good.size() / 2) + "\n");
  bad.push_back(good.substr(1));
  each(bad, &Discovery::Stats::bad_documents, 0);
}
// The callback may throw after it has applied part of a list. The list is then requested and
// delivered again.
TEST_F(MalformedLists, AListThatCouldNotBeToldIsAskedForAgain) {
  int fails = 1, came = 0;
  Discovery other{loop.io,
                  timers,
                  agent.endpoint(),
                  agent.text(),
                  {{"a", 0}},
                  [&](EndpointListKind kind, const auto&) {
                    if (kind != EndpointListKind::cached && fails-- > 0)
                      throw std::runtime_error("no memory, say");
                    ++came;
                  }};
  on_watch = [&](Wire& w) { w.send(kHead + chunk(list(50, false, member("s-0000000b")) + "\n")); };
  other.start(nlohmann::json::parse(list(41, true, member("s-0000000a"))));
  ASSERT_TRUE(loop.until([&] { return came == 2; }));
  EXPECT_EQ(asked, std::vector<std::string>(2, "GET /api/targets?watch=1&from=41 HTTP/1.1"));
  EXPECT_EQ(other.revision(), 50U);
}
// The list known at the start may be malformed too. Then the full list is requested.
TEST_F(MalformedLists, AKnownListWithABadMemberIsAskedForWhole) {
  start(list(41, true, "{}," + member("s-0000000c")));
  ASSERT_NE(watch(), nullptr);
  EXPECT_EQ(told.at(0).entries.size(), 1U);
  EXPECT_EQ(asked[0], "GET /api/targets?watch=1&from=0 HTTP/1.1");
}
// Operations in flight when Discovery is destroyed must not access it.
TEST_F(WatchCrossing, ItMayEndWhileConnectionsAreOut) {
  auto other = std::make_unique<Discovery>(
      loop.io, timers, agent.endpoint(), agent.text(),
      std::map<std::string, std::uint32_t>{{"a", 0}}, [](auto, const auto&) {}, 100ms);
  other->start(nlohmann::json::parse(list(41, true, member("s-0000000a"))));
  ASSERT_NE(question(2), nullptr);
  other.reset();
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::all_of(agent.wires, [](auto& w) { return w->ended; }); }));
}

}  // namespace
}  // namespace petrelrail::test
