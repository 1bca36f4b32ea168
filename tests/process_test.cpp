// Tests of the petrelrail program as a process: configuration, signals, hot restart, lack of
// descriptors, and the command line.
#include "hot_restart_fixture.hpp"

namespace petrelrail::test {
namespace {

// SIGTERM with no request in flight closes the idle client connection and ends the process with
// status 0.
TEST_F(ProcessTest, ServesAndEndsOnTermWhenNothingIsOpen) {
  run();
  ASSERT_TRUE(up());
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
  kill(child, SIGTERM);
  EXPECT_EQ(exit_status(), 0);
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
}
// Guards against losing requests in a planned restart: after SIGTERM, requests in flight get
// their answers, and new connections are still served.
TEST_F(ProcessTest, TermLetsOpenRequestsFinishAndTakesNewOnes) {
  run();
  ASSERT_TRUE(up());
  answers = false;
  const auto w = loop.connect(listen), idle = loop.connect(listen);
  w->send(ask());
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  kill(child, SIGTERM);
  ASSERT_TRUE(loop.until([&] { return idle->ended; }));  // closed because it is idle
  answers = true;
  const auto late = loop.connect(listen);
  late->send(ask());
  EXPECT_TRUE(served(late));
  EXPECT_TRUE(loop.until([&] { return late->ended; }));  // its answer carried "Connection: close"
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(w));
  EXPECT_EQ(exit_status(), 0);
}
// SIGHUP with new addresses of discovery and the counter, while the old addresses accept no new
// connections: the program uses the new ones, and requests are served without a restart.
TEST_F(ProcessTest, HangUpMovesDiscoveryAndTheCounter) {
  run();
  ASSERT_TRUE(up());
  ASSERT_TRUE(loop.until([&] { return !agent.wires.empty(); }));
  int calls = 0;
  Peer counter_now(loop.io, [&](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line())
      ++calls, w.send(l == "ping" ? "pong\r\n" : "ok 1\r\n");
  });
  Peer agent_now(loop.io);
  config["discovery"] = agent_now.text(), config["counter"] = counter_now.text();
  std::ofstream(dir / "config.json") << config;
  agent.close(), counter.close();
  kill(child, SIGHUP);
  const auto asked = [&] {
    return agent_now.wires.empty() ? "" : agent_now.wires.front()->message();
  };
  EXPECT_TRUE(loop.until([&] { return asked().starts_with("GET /api/targets?watch=1&from=1 "); }));
  EXPECT_TRUE(loop.until([&] { return agent.wires.front()->ended && !counter_now.wires.empty(); }));
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
  EXPECT_GT(calls, 0);
  EXPECT_TRUE(up());
}
// SIGHUP with a file that cannot be parsed: the configuration stays in force, and the program
// keeps serving.
TEST_F(ProcessTest, HangUpWithABadFileChangesNothing) {
  run();
  ASSERT_TRUE(up());
  std::ofstream(dir / "config.json") << "{";
  kill(child, SIGHUP);
  ASSERT_TRUE(loop.until([&] { return log().find("stays as it was") != std::string::npos; }));
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
}
// ---- Configuration reload -----------------------------------------------------------------------

struct Retuning : ProcessTest {
  static json other_class() {
    auto c = facts()["grades"][0];
    c["name"] = "write", c["idempotency"] = "unsafe";
    return c;
  }
  // Writes the configuration file, sends SIGHUP and waits until the log contains the line `times`
  // times.
  void hang_up(const std::string& file, const std::string& line, int times = 1) {
    std::ofstream(dir / "config.json") << file;
    kill(child, SIGHUP);
    const auto found = [&] {
      const auto text = log();
      int n = 0;
      for (auto at = text.find(line); at != std::string::npos; at = text.find(line, at + 1)) ++n;
      return n;
    };
    ASSERT_TRUE(loop.until([&] { return found() >= times; })) << log();
  }
  int asked(const std::string& method, const std::string& cls) {
    const auto w = loop.connect(listen);
    w->send(method + " /" + cls +
            " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: a1\r\nX-Priority-Class: " + cls +
            "\r\nX-Plan: p\r\nCookie: client=0000000000000007\r\nX-Timeout-Ms: 2000\r\nX-Quota: "
            "units=1,spread=2,first=0\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos; }));
    return std::stoi(w->in.substr(9, 3));
  }
};
// A reload adds a class, which is served under its own rules, and drops another, which is served
// as long as clients may still use it and is answered with 404 afterwards.
TEST_F(Retuning, ClassesAreAddedAndDropped) {
  run();
  ASSERT_TRUE(up());
  EXPECT_EQ(asked("POST", "write"), 404);
  // 1 ms, so that the last retries of the dropped class come soon.
  config["settings"]["grades"][0]["hard-limit-ns"] = 1000000;
  hang_up(config.dump(), "read again\n");
  config["settings"]["grades"] = json::array({other_class()});
  hang_up(config.dump(), "read again\n", 2);
  EXPECT_EQ(asked("POST", "write"), 200);
  EXPECT_EQ(asked("GET", "write"), 405);
  EXPECT_EQ(asked("GET", "read"), 200);
  EXPECT_TRUE(loop.until([&] { return asked("GET", "read") == 404; }));
}
// Guards against a reload that applies part of an invalid file: each file here also adds a valid
// class, or is truncated or empty, and none of its content may take effect.
TEST_F(Retuning, ABadFileIsTurnedDownWhole) {
  run();
  ASSERT_TRUE(up());
  const auto whole = config.dump();
  std::vector<std::string> bad{"", whole.substr(0, whole.size() / 2)};
  const auto with = [&](const std::function<void(json&)>& change) {
    auto c = config;
    c["settings"]["grades"].push_back(other_class());
    change(c);
    bad.push_back(c.dump());
  };
  with([](json& c) { c.erase("peers_all"); });
  with([](json& c) { c["settings"]["ceilings"].erase("max-attempts"); });
  with([](json& c) { c["settings"].erase("later-key"); });
  with([](json& c) { c["settings"]["grades"][1].erase("gain"); });
  with([](json& c) { c["settings"]["grades"][1]["hard-limit-ns"] = "soon"; });
  with([](json& c) { c["settings"]["grades"][0]["hard-limit-ns"] = 0; });
  with([](json& c) { c["settings"]["ceilings"]["max-attempts"] = 0; });
  with([](json& c) { c["settings"]["ceilings"]["max-attempts"] = -1; });
  with([](json& c) { c["settings"]["packages"][0]["units-per-s"] = 5; });
  std::string lines;
  for (const auto& file : bad) {
    std::ofstream(dir / "config.json") << file;
    const auto before = std::ranges::count(log(), '\n');
    kill(child, SIGHUP);
    ASSERT_TRUE(loop.until([&] { return std::ranges::count(log(), '\n') > before; })) << file;
    EXPECT_EQ(log().find("read again"), std::string::npos) << file;
    EXPECT_EQ(asked("POST", "write"), 404) << file;
  }
  EXPECT_EQ(asked("GET", "read"), 200);
}
// ---- Hot restart --------------------------------------------------------------------------------

// Hot restart with an idle connection and a request in flight at the old process: the new
// process accepts all new connections, and the old one finishes its own and ends with status 0.
TEST_F(Upgrade, TheNewProcessTakesOverAndTheOldOneFinishes) {
  start(old_control);
  const auto kept = loop.connect(listen);
  EXPECT_TRUE(response_on(kept).starts_with("HTTP/1.1 200"));
  answers = false;
  const auto out = loop.connect(listen);
  out->send(ask());
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  answers = true;
  upgrade();
  EXPECT_EQ(success_count(old_control), "1");
  const auto fresh = loop.connect(listen);
  EXPECT_TRUE(response_on(fresh).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(success_count(new_control), "1");  // the new process accepts
  EXPECT_FALSE(kept->ended);                   // asked to close with its next answer, not cut
  const auto last = response_on(kept);
  EXPECT_TRUE(last.starts_with("HTTP/1.1 200"));
  EXPECT_NE(last.find("Connection: close"), std::string::npos);
  kill(old_process, SIGTERM);
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(out));
  int status = 0;
  ASSERT_TRUE(loop.until([&] { return waitpid(old_process, &status, WNOHANG) == old_process; }));
  old_process = 0;
  EXPECT_EQ(status, 0);
  EXPECT_TRUE(response_on(fresh).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
}
// Guards against a request in flight at the old process that runs a second time, as its client
// turns to the new one; ids need not be text.
TEST_F(Upgrade, ARequestInFlightThatComesAgainDoesNotRunTwice) {
  config["settings"]["grades"][0]["idempotency"] = "unsafe";
  start(old_control);
  auto text = ask();
  text.replace(0, 3, "POST");
  text.replace(text.find(": a1\r\n"), 6, ": a\xff\r\nContent-Length: 0\r\n");
  answers = false;
  const auto first = loop.connect(listen);
  first->send(text);
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  answers = true;
  upgrade();
  first->close();
  EXPECT_TRUE(response_on(loop.connect(listen), text).starts_with("HTTP/1.1 409"));
}
// Guards against connections lost in the listen queue: a connection that waits there while one
// process stops accepting is accepted by the other.
TEST_F(Upgrade, NoConnectionIsLost) {
  start(old_control);
  std::vector<std::shared_ptr<Wire>> all;
  std::function<void()> more = [&] {
    all.push_back(loop.connect(listen));
    all.back()->send(ask());
  };
  old_process = child;
  new_control = free_port();
  config["control"] = "127.0.0.1:" + std::to_string(new_control.port());
  run();
  ASSERT_TRUE(loop.until([&] {
    more();
    return log().find("taken over") != std::string::npos;
  }));
  for (int i = 0; i < 20; ++i) more();
  kill(old_process, SIGTERM);
  for (int i = 0; i < 20; ++i) more();
  for (const auto& w : all)
    EXPECT_TRUE(loop.until([&] { return !w->in.empty(); }) && w->in.starts_with("HTTP/1.1 "));
}
// A price server that an operator disabled stays disabled in the new process, and control calls
// to the new process also reach the old one, which still serves its connections.
TEST_F(Upgrade, AServerOutByHandStaysOutAndCallsReachBoth) {
  start(old_control);
  const auto kept = loop.connect(listen), kept_too = loop.connect(listen);
  EXPECT_TRUE(response_on(kept).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(response_on(kept_too).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(admin_request(old_control, "POST", "/price-servers/disable?who=s-00000001")
                  .starts_with("HTTP/1.1 200"));
  upgrade();
  const auto disabled = [&](const Tcp::endpoint& at, char count) {
    return admin_request(at, "GET", "/metrics")
               .find(std::string("\nnode_targets_disabled ") + count) != std::string::npos;
  };
  EXPECT_TRUE(disabled(new_control, '1'));
  EXPECT_FALSE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(admin_request(new_control, "POST", "/price-servers/enable?who=s-00000001")
                  .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(loop.until([&] { return disabled(old_control, '0'); }));
  EXPECT_TRUE(response_on(kept).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(admin_request(new_control, "POST", "/price-servers/disable?who=s-00000001")
                  .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(loop.until([&] { return disabled(old_control, '1'); }));
}
// The new process is killed after the hand-over: the old one serves new connections and can hand
// over again.
TEST_F(Upgrade, ASuccessorThatDiesLeavesTheOldOneServing) {
  start(old_control);
  upgrade();
  kill(child, SIGKILL), waitpid(child, nullptr, 0);
  child = std::exchange(old_process, 0);
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
  upgrade();  // the old process can hand over again
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
}
// Guards against a start that fails on a leftover hand-over path: first a regular file, then the
// socket of a killed process. The node starts, and a hot restart works afterwards.
TEST_F(Upgrade, ASocketLeftBehindIsNoPredecessor) {
  std::ofstream(dir / ("petrelrail-" + config["listen"].get<std::string>() + ".sock")) << "x";
  start(old_control);
  kill(child, SIGKILL), waitpid(child, nullptr, 0);
  start(old_control);  // the socket file of the killed process still exists
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
  upgrade();
  EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200"));
}
// A predecessor that closes the connection, sends data that is not understood, or sends nothing:
// the node starts as without a predecessor.
TEST_F(Upgrade, APredecessorOfNoUseDoesNotKeepTheNodeFromStarting) {
  using Local = asio::local::stream_protocol;
  const std::vector<std::string> scripts{"", "what\n", "{\"other\":1}\n",
                                         "{\"state\":{\"leases\":5}}\n", "-"};
  for (const auto& script : scripts) {
    const auto path = dir / ("petrelrail-" + config["listen"].get<std::string>() + ".sock");
    std::filesystem::remove(path);
    asio::basic_socket_acceptor<Local, Executor> acceptor(loop.io.get_executor(),
                                                          Local::endpoint(path.string()));
    asio::basic_stream_socket<Local, Executor> peer(loop.io.get_executor());
    acceptor.async_accept([&](const error_code& failed, auto socket) {
      if (failed || script.empty()) return;  // the connection is closed without a reply
      peer = std::move(socket);
      if (script != "-") asio::write(peer, asio::buffer(script));
    });
    start(old_control);
    EXPECT_TRUE(response_on(loop.connect(listen)).starts_with("HTTP/1.1 200")) << script;
    kill(child, SIGKILL), waitpid(child, nullptr, 0);
    child = 0;
  }
}
// More connections than the process has descriptors for, because its configured limit is above
// the system's limit: it keeps serving.
TEST_F(ProcessTest, SurvivesALackOfDescriptors) {
  run(40);
  ASSERT_TRUE(up());
  std::vector<std::shared_ptr<Wire>> many;
  for (int i = 0; i < 80; ++i) many.push_back(loop.connect(listen));
  ASSERT_TRUE(loop.until(
      [&] { return std::ranges::any_of(many, [](const auto& w) { return w->ended; }); }));
  for (const auto& w : many) w->close();
  EXPECT_TRUE(up());
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
}

// ---- The command line ---------------------------------------------------------------------------

// --check prints the effective configuration and exits with status 0 without starting the node.
TEST_F(ProcessTest, CheckSaysWhatTheNodeWouldDoAndStartsNothing) {
  run(1024, {"--check", "--config", (dir / "config.json").string()}, false);
  EXPECT_EQ(exit_status(), 0);
  EXPECT_NE(log().find("node n0, number 0 of 2, zone z1"), std::string::npos) << log();
  EXPECT_NE(log().find("plan p: 4 units a second, burst 12"), std::string::npos) << log();
}
// --check names an invalid field and exits with status 2.
TEST_F(ProcessTest, CheckNamesTheFieldThatIsWrong) {
  config["settings"]["index"] = "first";
  run(1024, {"--check"});
  EXPECT_EQ(exit_status(), 2);
  EXPECT_NE(log().find("'index'"), std::string::npos) << log();
}
// --check names a missing file and exits with status 2.
TEST_F(ProcessTest, CheckNamesAFileThatIsNotThere) {
  run(1024, {"--check", "--config", (dir / "none.json").string()}, false);
  EXPECT_EQ(exit_status(), 2);
  EXPECT_NE(log().find("none.json"), std::string::npos) << log();
}
// --help and --version exit with status 0, an unknown option with status 2.
TEST_F(ProcessTest, HelpAndVersionEndWellAndUnknownWordsDoNot) {
  run(1024, {"--help"});
  EXPECT_EQ(exit_status(), 0);
  EXPECT_NE(log().find("--check"), std::string::npos);
  run(1024, {"--version"});
  EXPECT_EQ(exit_status(), 0);
  run(1024, {"--no-such"});
  EXPECT_EQ(exit_status(), 2);
}
// SIGHUP reloads the file given by --config, and with --log json every log line is a JSON object
// that names the node.
TEST_F(ProcessTest, ANamedFileIsReadAgainAtHangUpAndTheLogSpeaksJson) {
  run(1024, {"--config", (dir / "config.json").string(), "--log", "json"}, false);
  ASSERT_TRUE(up());
  kill(child, SIGHUP);
  ASSERT_TRUE(loop.until([&] {
    return log().find("configuration read again") != std::string::npos;
  })) << log();
  std::istringstream lines(log());
  for (std::string line; std::getline(lines, line);) {
    const auto j = json::parse(line, nullptr, false);
    ASSERT_FALSE(j.is_discarded()) << line;
    EXPECT_EQ(j["node"], "n0") << line;
  }
}

// An invalid configuration ends the program with a non-zero status and one log line that names the
// field.
struct BadConfig : ProcessTest {
  void expect_named(const std::string& field) {
    run();
    EXPECT_GT(exit_status(), 0);
    EXPECT_NE(log().find(field), std::string::npos) << log();
    EXPECT_EQ(std::ranges::count(log(), '\n'), 1) << log();
  }
};
TEST_F(BadConfig, NoListenAddress) { config.erase("listen"), expect_named("'listen'"); }
TEST_F(BadConfig, ListenIsNoAddress) { config["listen"] = "here", expect_named("'listen'"); }
TEST_F(BadConfig, NoCounter) { config.erase("counter"), expect_named("'counter'"); }
TEST_F(BadConfig, SeedIsNoHex) { config["seed"] = "seed", expect_named("'seed'"); }
TEST_F(BadConfig, NoSockets) { config["limits"].erase("sockets"), expect_named("'sockets'"); }
TEST_F(BadConfig, ASettingOfTheWrongKind) {
  config["settings"]["fleet-size"] = "two", expect_named("'fleet-size'");
}
TEST_F(BadConfig, ASettingThatMakesNoSense) {
  config["settings"]["index"] = 7, expect_named("fleet_size or index");
}
TEST_F(BadConfig, KnownIsNoList) { config["known"] = 5, expect_named("'known'"); }
TEST_F(BadConfig, AddressIsTaken) { config["listen"] = agent.text(), expect_named("'listen'"); }
// The program starts the discovery watch before it listens for clients: where it cannot listen,
// and ends for that reason, it has connected to discovery all the same.
TEST_F(BadConfig, TheWatchIsBegunBeforeClientsAreListenedFor) {
  config["listen"] = server.text();
  expect_named("'listen'");
  EXPECT_TRUE(loop.until([&] { return !agent.wires.empty(); }, 1s));
}

}  // namespace
}  // namespace petrelrail::test
