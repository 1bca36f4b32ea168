// Tests of what the petrelrail program must reject: invalid settings, and malformed requests to the
// control address and from clients.
#include <cstdlib>

#include "race_fixture.hpp"

namespace petrelrail::test {
namespace {

// ---- Invalid settings ---------------------------------------------------------------------------

struct BadSettings : Crossing {
  struct Case {
    std::string key;
    std::function<void(json& config)> change;
  };
  static std::vector<Case> cases() {
    std::vector<Case> all;
    const auto with = [&](const std::string& at, const json& value, std::string key = "") {
      if (key.empty()) key = at.substr(at.rfind('/') + 1);
      all.push_back({key, [at, value](json& c) { c["settings"][json::json_pointer(at)] = value; }});
    };
    const auto twice = [&](const std::string& part) {
      all.push_back(
          {part, [part](json& c) { c["settings"][part].push_back(c["settings"][part][0]); }});
    };
    const auto without = [&](const std::string& part, const std::string& key) {
      all.push_back(
          {key, [part, key](json& c) { c["settings"][json::json_pointer(part)].erase(key); }});
    };
    const std::string cls = "/grades/0/", plan = "/packages/0/", ceilings = "/ceilings/";
    with(cls + "idempotency", "sometimes");
    with(cls + "idempotency", 1);
    with(cls + "group", "county");
    for (const auto* key : {"hard-limit-ns", "on-time-ns"})
      for (const json& value : {json(0), json(-1), json("soon"), json(1.5), json(INT64_MAX)})
        with(cls + key, value);
    with(cls + "memory-span-ns", -1);
    with(cls + "gain", -1);
    for (const auto* name : {"", "a/b", "a?b", "a b"}) with(cls + "name", name);
    all.push_back({"memory-span-ns", [](json& c) {
                     auto& g = c["settings"]["grades"][0];
                     g["idempotency"] = "keyed", g.erase("memory-span-ns");
                   }});
    twice("grades"), twice("packages"), twice("zones");
    with("/grades", json::array(), "grades");
    with("/packages", json::array(), "packages");
    for (const auto* key : {"units-per-s", "store-size", "ceiling-rate", "cap-depth", "tolerance"})
      with(plan + key, -1);
    with(plan + "store-size", 0);
    with(plan + "max-out", -1);
    with(plan + "name", "");
    for (const json& value : {json(0), json(-1), json("three"), json(1ULL << 32U)})
      with(ceilings + "max-attempts", value);
    for (const json& value : {json(0), json(-1), json("soon"), json(INT64_MAX)})
      with(ceilings + "connect-timeout-ns", value);
    with(ceilings + "keepalive-ns", -1);
    with(ceilings + "max-retry-after-ns", -1);
    without("/ceilings", "connect-timeout-ns");
    with("/extra/count-limit-ns", 0);
    with("/extra/max-units", 0);
    with("/safety/start-capacity", 0);
    with("/safety/warm-within-ns", -1);
    with("/safety/drain-grace-ns", -1);
    with("/fleet-size", 0);
    all.push_back({"sockets", [](json& c) { c["limits"]["sockets"] = 0; }});
    all.push_back({"sockets", [](json& c) { c["limits"]["sockets"] = "many"; }});
    return all;
  }
};
// Guards against a reload that accepts an invalid value or rejects it without a usable message:
// each case is rejected as a whole, its key is named in one log line, the failure is counted,
// and the node keeps serving.
TEST_F(BadSettings, AreTurnedDownWholeAtHangUpWithTheKeyNamed) {
  run();
  ASSERT_TRUE(up());
  int failures = 0;
  // Returns the log lines about the configuration.
  const auto said = [&] {
    std::vector<std::string> lines;
    std::istringstream text(log());
    for (std::string line; std::getline(text, line);)
      if (!text.eof() && line.find("configuration") != std::string::npos) lines.push_back(line);
    return lines;  // Complete lines only: the last may be partly written.
  };
  std::size_t seen = 0;
  for (const auto& [key, change] : cases()) {
    auto bad = config;
    change(bad);
    std::ofstream(dir / "config.json") << bad;
    kill(child, SIGHUP);
    ASSERT_TRUE(loop.until([&] { return said().size() > seen; })) << key;
    const auto line = said().at(seen++);
    const auto text = bad["settings"].dump();
    EXPECT_NE(line.find("stays as it was"), std::string::npos) << key << ": " << line << text;
    EXPECT_NE(line.find("'" + key + "'"), std::string::npos) << key << ": " << line << text;
    EXPECT_EQ(figure("node_reload_failure"), std::to_string(++failures)) << key;
    const auto w = loop.connect(listen);
    w->send(ProcessTest::ask());
    EXPECT_EQ(answered(w), 200) << key;
    w->close();
  }
  EXPECT_EQ(figure("node_reload_success"), "0");
}
// The same invalid settings at the start: the program exits with a failure and one log line that
// names the key.
TEST_F(BadSettings, EndAStartWithTheKeyNamed) {
  const auto good = config;
  for (const auto& [key, change] : cases()) {
    std::filesystem::remove(dir / "log");
    config = good;
    change(config);
    run();
    EXPECT_EQ(exit_status(), EXIT_FAILURE) << key << config["settings"];
    EXPECT_NE(log().find("'" + key + "'"), std::string::npos)
        << key << ": " << log() << config["settings"];
    EXPECT_EQ(std::ranges::count(log(), '\n'), 1) << log();
    if (child > 0) kill(child, SIGKILL), waitpid(child, nullptr, 0), child = 0;
  }
}

// A reload that also changes keys that cannot change while the node runs: these are named in one
// log line, and the rest of the file takes effect.
TEST_F(Crossing, KeysThatNeedANewStartAreNamedAtHangUpAndTheRestIsTaken) {
  config["peer_listen"] = "127.0.0.1:1";
  run();
  ASSERT_TRUE(up());
  const auto started = config;
  Peer agent_now(loop.io), agent_last(loop.io);
  int taken = 0;
  const auto hang_up = [&] {
    write_config();
    kill(child, SIGHUP);
    EXPECT_TRUE(
        loop.until([&] { return figure("node_reload_success") == std::to_string(taken + 1); }));
    ++taken;
  };
  const auto named = [&] {
    const std::string words = "has no effect until the next start keys=";
    std::vector<std::string> keys;
    std::istringstream text(log());
    for (std::string line; std::getline(text, line);)
      if (const auto at = line.find(words); at != std::string::npos)
        keys.push_back(line.substr(at + words.size()));
    return keys;
  };
  config["discovery"] = agent_now.text();
  config["limits"]["memory_mb"] = 64,
  config["seed"] = "0000000000000001";  // these changes need no restart message
  hang_up();
  EXPECT_TRUE(loop.until([&] { return !agent_now.wires.empty(); }));
  EXPECT_TRUE(named().empty()) << log();
  config["discovery"] = agent_last.text();
  config["name"] = "n9", config["listen"] = "127.0.0.1:1", config["limits"]["sockets"] = 99;
  config["peer_listen"] = config["control"] = "127.0.0.1:2";
  hang_up();
  EXPECT_TRUE(loop.until([&] { return !agent_last.wires.empty(); }));
  EXPECT_EQ(named(), std::vector<std::string>{"name,listen,limits.sockets,peer_listen,control"})
      << log();
  // The message is repeated at each reload as long as the file differs from the configuration of
  // the start, and no longer.
  hang_up();
  EXPECT_EQ(named().size(), 2U);
  config = started;
  hang_up();
  EXPECT_EQ(named().size(), 2U);
  const auto w = loop.connect(listen);
  w->send(ProcessTest::ask());
  EXPECT_TRUE(served(w));
}

// ---- Malformed requests -------------------------------------------------------------------------

// Guards against malformed, oversized or stalled control requests that block the control address
// or the node: each is answered with an error or closed, refusals are counted, and others are
// served.
TEST_F(Crossing, ControlCallsThatAreNoneAreAnsweredOrEndAndHoldUpNobody) {
  run();
  ASSERT_TRUE(up());
  const auto status = [&](const std::string& words) {
    const auto text = call(words);
    return text.size() > 12 ? std::stoi(text.substr(9, 3)) : 0;
  };
  const std::string rest = " HTTP/1.1\r\nHost: x\r\n";
  const auto refused = [](int s) { return s == 0 || (s >= 400 && s < 500); };
  // More connections than the control address permits at the same time; each sends part of a
  // request head and nothing more.
  std::vector<std::shared_ptr<Wire>> halves;
  for (int i = 0; i < 40; ++i)
    halves.push_back(loop.connect(control)), halves.back()->send("GET /metr");
  EXPECT_TRUE(figures().starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(
      refused(status("GET /metrics" + rest + "X: " + std::string(20000, 'x') + "\r\n\r\n")));
  EXPECT_TRUE(refused(status("GET /" + std::string(20000, 'x'))));
  EXPECT_TRUE(refused(status("POST /price-servers/disable?who=s-00000001" + rest +
                             "Content-Length: 999999999\r\n\r\n")));
  EXPECT_EQ(status("POST /metrics" + rest + "\r\n"), 405);
  EXPECT_EQ(status("GET /price-servers/disable?who=s-00000001" + rest + "\r\n"), 405);
  EXPECT_EQ(status("BREW /metrics" + rest + "\r\n"), 405);
  EXPECT_EQ(status("GET /no-such" + rest + "\r\n"), 404);
  EXPECT_EQ(status("GET /metrics/" + rest + "\r\n"), 404);
  EXPECT_EQ(status("POST /price-servers/disable" + rest + "\r\n"), 400);
  EXPECT_EQ(status("POST /price-servers/disable?who=%zz" + rest + "\r\n"), 400);
  EXPECT_EQ(status(std::string("\0\r\n\r\n", 5)), 400);
  EXPECT_EQ(status("\x16\x03\x01 not this protocol\r\n\r\n"), 400);
  EXPECT_EQ(figure("node_control_refusals{status=\"405\"}"), "3");
  EXPECT_EQ(figure("node_control_refusals{status=\"404\"}"), "2");
  EXPECT_GE(std::stoi(figure("node_control_refusals{status=\"400\"}")), 4);
  const auto gone = loop.connect(control);
  gone->send("GET /met", true);
  EXPECT_TRUE(loop.until([&] { return gone->ended; }));
  EXPECT_TRUE(loop.until(
      [&] { return std::ranges::all_of(halves, [](const auto& w) { return w->ended; }); }));
  for (const auto& w : halves)
    EXPECT_TRUE(w->in.empty() || w->in.starts_with("HTTP/1.1 408 ")) << w->in;
  EXPECT_TRUE(figures().starts_with("HTTP/1.1 200 "));
  const auto w = loop.connect(listen);
  w->send(ProcessTest::ask());
  EXPECT_TRUE(served(w));
}

// Malformed, oversized, incomplete or missing client requests are answered with an error or
// closed, each kind is counted under its status, and other clients are served.
TEST_F(Crossing, ClientsRequestsThatAreNoneAreCountedByTheirAnswer) {
  run();
  ASSERT_TRUE(up());
  const auto silent = loop.connect(listen), slow = loop.connect(listen);
  slow->send("GET /rea");
  const auto status = [&](const std::string& words) {
    const auto w = loop.connect(listen);
    w->send(words);
    return answered(w);
  };
  const auto good = ProcessTest::ask();
  const auto with = [&](const std::string& old_words, const std::string& words) {
    auto text = good;
    return status(text.replace(text.find(old_words), old_words.size(), words));
  };
  EXPECT_EQ(status("rubbish\r\n\r\n"), 400);
  EXPECT_EQ(status("GET /read HTTP/1.1\r\nHost: x\r\n\r\n"), 400);
  EXPECT_EQ(with("X-Plan: p", "X-Plan: q"), 400);
  EXPECT_EQ(with("units=1", "units=none"), 400);
  EXPECT_EQ(with("GET /read", "GET /write"), 404);
  EXPECT_EQ(with("GET /read", "PUT /read"), 405);
  EXPECT_EQ(with("X-Plan", "X: " + std::string(20000, 'x') + "\r\nX-Plan"), 431);
  EXPECT_EQ(status("POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999999\r\n\r\n"), 413);
  EXPECT_EQ(answered(slow), 408);
  EXPECT_TRUE(loop.until([&] { return silent->ended; }));
  for (const auto& [kind, n] : std::map<std::string, std::string>{{"400", "4"},
                                                                  {"404", "1"},
                                                                  {"405", "1"},
                                                                  {"408", "1"},
                                                                  {"413", "1"},
                                                                  {"431", "1"},
                                                                  {"closed", "1"}})
    EXPECT_EQ(figure("node_client_refusals{status=\"" + kind + "\"}"), n) << kind;
  const auto w = loop.connect(listen);
  w->send(good);
  EXPECT_TRUE(served(w));
}

}  // namespace
}  // namespace petrelrail::test
