// Tests with two real processes of a node in which the hand-over coincides with another event. They
// guard against refused clients and against two or no serving processes. docs/terms.md has the
// table.
#include <boost/asio/read.hpp>

#include "agent.hpp"
#include "hot_restart_fixture.hpp"

namespace petrelrail::test {
namespace {

struct HandoverCrossing : Upgrade {
  ~HandoverCrossing() override {
    for (const auto p : others) kill(p, SIGKILL), waitpid(p, nullptr, 0);
  }
  // Both processes connect to the agent that follows `known`. It reports the server once `tells` is
  // set.
  HandoverCrossing() {
    config["settings"]["packages"][0]["units-per-s"] = 0;  // the quota rejects nothing
    quiet.on([this](Wire& w) {
      const auto port = std::to_string(server.endpoint().port());
      if (!w.message().empty() && tells)
        w.send(kHead + chunk(list(2, true, member("s-00000001", "SERVING", port)) + "\n"));
    });
  }
  // Starts a new process while the old one serves. It can't be ready before discovery reports a
  // server to it.
  void begin() {
    old_process = child;
    known = std::exchange(config["known"]["members"], json::array());
    config["discovery"] = quiet.text();
    start_one();
  }
  void start_one() {
    new_control = free_port();
    config["control"] = "127.0.0.1:" + std::to_string(new_control.port());
    run();
    ASSERT_TRUE(loop.until([&] {
      return admin_request(new_control, "GET", "/ready").starts_with("HTTP/1.1 503");
    })) << log();
  }
  // The same, and waits until the new process shares the listening socket with its predecessor.
  void begin_with_socket() {
    begin();
    ASSERT_TRUE(loop.until([&] { return has_socket(); }));
  }
  bool has_socket() {
    const auto mine = sockets_of(child), its = sockets_of(old_process);
    return std::ranges::any_of(
        mine, [&](const auto& s) { return std::ranges::find(its, s) != its.end(); });
  }
  static std::vector<std::string> sockets_of(pid_t process) {
    std::vector<std::string> all;
    for (const auto& fd :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd")) {
      std::error_code gone;
      const auto to = std::filesystem::read_symlink(fd, gone).string();
      if (to.starts_with("socket:")) all.push_back(to);
    }
    return all;
  }
  bool logged(const std::string& words, int times = 1) {
    return loop.until([&] { return count(words) >= times; });
  }
  int count(const std::string& words) {
    const auto text = log();
    int n = 0;
    for (auto at = text.find(words); at != std::string::npos; at = text.find(words, at + 1)) ++n;
    return n;
  }
  bool ready(const Tcp::endpoint& control) {
    return loop.until(
        [&] { return admin_request(control, "GET", "/ready").starts_with("HTTP/1.1 200"); });
  }
  ::testing::AssertionResult serves() {
    const auto told = response_on(loop.connect(listen));
    return (told.starts_with("HTTP/1.1 200") ? ::testing::AssertionSuccess()
                                             : ::testing::AssertionFailure())
           << told << log();
  }
  // Returns the exit status of a process that ends by itself, or -1 if it does not.
  int ended(pid_t& process) {
    int status = 0;
    if (!loop.until([&] { return waitpid(process, &status, WNOHANG) == process; })) return -1;
    process = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
  }
  void kill_now(pid_t& process) {
    kill(process, SIGKILL), waitpid(std::exchange(process, 0), nullptr, 0);
  }
  // Expects that another hand-over from the serving process succeeds.
  void expect_followed() {
    if (old_process > 0) others.push_back(std::exchange(old_process, 0));
    const auto before = count("taken over from a predecessor");
    config["known"]["members"] = known, config["discovery"] = agent.text();
    ASSERT_NO_FATAL_FAILURE(upgrade());
    EXPECT_EQ(count("taken over from a predecessor"), before + 1) << log();
    EXPECT_TRUE(serves());
  }

  bool tells = false;
  json known;
  std::vector<pid_t> others;
  Peer quiet{loop.io};
};

// ---- SIGTERM ------------------------------------------------------------------------------------

// The old process ends while the new one holds the socket and is not ready yet. The new one serves
// with that socket, on which clients that connect meanwhile wait, and it can hand over later.
TEST_F(HandoverCrossing, TermToTheOldOneBeforeTheNewOneAsks) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill(old_process, SIGTERM);
  EXPECT_EQ(ended(old_process), 0);
  EXPECT_TRUE(logged("the predecessor hands nothing over"));
  tells = true;
  EXPECT_TRUE(ready(new_control));
  EXPECT_TRUE(serves());
  expect_followed();
}
// With a request in flight the old process stays until that ends, and hands over its state.
TEST_F(HandoverCrossing, TermToTheOldOneWithARequestOutBeforeTheNewOneAsks) {
  start(old_control);
  answers = false;
  const auto out = loop.connect(listen);
  out->send(ask());
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  answers = true;
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill(old_process, SIGTERM);
  tells = true;
  EXPECT_TRUE(logged("taken over from a predecessor"));
  EXPECT_TRUE(ready(new_control));
  EXPECT_TRUE(serves());
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(out));
  EXPECT_EQ(ended(old_process), 0);
  EXPECT_TRUE(serves());
}
// The new process ends before it has taken over. The old one keeps its state.
TEST_F(HandoverCrossing, TermToTheNewOneBeforeItAsks) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill(child, SIGTERM);
  EXPECT_FALSE(admin_request(new_control, "GET", "/ready")
                   .starts_with("HTTP/1.1 200"));  // the signal arrived before the request
  tells = true;
  EXPECT_EQ(ended(child), 0);
  EXPECT_EQ(count("a successor takes over"), 0) << log();
  child = std::exchange(old_process, 0);
  EXPECT_TRUE(serves());
  expect_followed();
}
TEST_F(HandoverCrossing, TermToTheNewOneAfterItHasTakenOver) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(upgrade());
  known = config["known"]["members"];
  const auto w = loop.connect(listen);
  EXPECT_TRUE(response_on(w).starts_with("HTTP/1.1 200"));
  kill(child, SIGTERM);
  EXPECT_EQ(ended(child), 0);
  EXPECT_TRUE(logged("clients are served here again"));
  child = std::exchange(old_process, 0);
  EXPECT_TRUE(serves());
  expect_followed();
}
// Both processes are signalled at once. Each ends, and neither waits for the other.
TEST_F(HandoverCrossing, TermToBoth) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill(child, SIGTERM), kill(old_process, SIGTERM);
  EXPECT_EQ(ended(child), 0);
  EXPECT_EQ(ended(old_process), 0);
}

// ---- SIGHUP -------------------------------------------------------------------------------------

TEST_F(HandoverCrossing, HangUpToBothBeforeTheNewOneAsks) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  Peer agent_now(loop.io);
  agent_now.on([this](Wire& w) {
    const auto port = std::to_string(server.endpoint().port());
    if (!w.message().empty() && tells)
      w.send(kHead + chunk(list(2, true, member("s-00000001", "SERVING", port)) + "\n"));
  });
  config["discovery"] = agent_now.text();
  std::ofstream(dir / "config.json") << config;
  kill(old_process, SIGHUP), kill(child, SIGHUP);
  EXPECT_TRUE(logged("configuration read again", 2)) << log();
  EXPECT_TRUE(serves());  // the old process answers
  tells = true;
  EXPECT_TRUE(ready(new_control));
  EXPECT_EQ(count("taken over from a predecessor"), 1);
  EXPECT_TRUE(serves());
  kill(old_process, SIGTERM);
  EXPECT_EQ(ended(old_process), 0);
  EXPECT_TRUE(serves());
}
TEST_F(HandoverCrossing, HangUpToBothAfterTheNewOneHasTakenOver) {
  start(old_control);
  const auto kept = loop.connect(listen);
  EXPECT_TRUE(response_on(kept).starts_with("HTTP/1.1 200"));
  ASSERT_NO_FATAL_FAILURE(upgrade());
  Peer agent_now(loop.io);
  config["discovery"] = agent_now.text();
  std::ofstream(dir / "config.json") << config;
  kill(old_process, SIGHUP), kill(child, SIGHUP);
  EXPECT_TRUE(logged("configuration read again", 2)) << log();
  EXPECT_TRUE(response_on(kept).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(serves());
}

// ---- The other process ends or is silent --------------------------------------------------------

// The predecessor is stopped before it has read anything, so that the successor is killed before it
// has the socket.
TEST_F(HandoverCrossing, TheSuccessorIsKilledBeforeItHasTheSocket) {
  start(old_control);
  kill(child, SIGSTOP);
  ASSERT_NO_FATAL_FAILURE(begin());
  EXPECT_FALSE(has_socket());
  kill_now(child);
  kill(old_process, SIGCONT);
  child = std::exchange(old_process, 0);
  EXPECT_TRUE(serves());
  expect_followed();
}
TEST_F(HandoverCrossing, TheSuccessorIsKilledWhileItHasTheSocketAndHasNotAsked) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill_now(child);
  child = std::exchange(old_process, 0);
  EXPECT_TRUE(serves());
  EXPECT_EQ(count("a successor takes over"), 0) << log();
  expect_followed();
}
// The successor stops waiting for a predecessor that is silent for its time limit. When the
// predecessor resumes, it ends on its signal and does not remove the path on which the new process
// accepts its own successor.
TEST_F(HandoverCrossing, ThePredecessorIsSilentFromTheStart) {
  start(old_control);
  kill(child, SIGSTOP);
  ASSERT_NO_FATAL_FAILURE(begin());
  EXPECT_TRUE(logged("the predecessor hands nothing over"));
  tells = true;
  EXPECT_TRUE(ready(new_control));
  kill(old_process, SIGTERM), kill(old_process, SIGCONT);
  EXPECT_EQ(ended(old_process), 0);
  EXPECT_TRUE(serves());
  expect_followed();
}
// The predecessor has passed its socket. The new process serves with it, and no client is refused.
TEST_F(HandoverCrossing, ThePredecessorIsSilentWhenItIsAskedForItsState) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  kill(old_process, SIGSTOP);
  tells = true;
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w)) << log();
  EXPECT_EQ(count("the predecessor hands nothing over"), 1) << log();
}

// ---- Malformed messages -------------------------------------------------------------------------

// Something other than a successor connects to the path where a successor is expected. Whatever it
// sends, clients are served.
TEST_F(HandoverCrossing, ASuccessorThatSpeaksRubbishLeavesTheOldOneServing) {
  start(old_control);
  known = config["known"]["members"];
  const auto path = dir / ("petrelrail-" + config["listen"].get<std::string>() + ".sock");
  const std::string take = "{\"take\":true}\n";
  for (const std::string words :
       {"what\n", "5\n", "{\"hello\":99}\n", "{\"other\":1}\n", "{\"take\":true}\nwhat\n",
        "{\"take\":true}\n{\"leave_out\":7}\n", "{\"take\":true}\n{\"take\":true}\n"}) {
    asio::basic_stream_socket<asio::local::stream_protocol, Executor> s(loop.io.get_executor());
    s.connect(asio::local::stream_protocol::endpoint(path.string()));
    const auto back = count("clients are served here again");
    asio::write(s, asio::buffer(words));
    std::string in;
    error_code ended;
    asio::read(s, asio::dynamic_buffer(in), ended);  // until the old process closes the connection
    if (words.starts_with(take)) {
      EXPECT_TRUE(logged("clients are served here again", back + 1)) << words << log();
    }
    EXPECT_TRUE(serves()) << words;
  }
  expect_followed();
}

// ---- A second successor -------------------------------------------------------------------------

// The last successor takes over. The earlier one, which has taken nothing, ends: two serving
// processes would be two nodes with one name.
TEST_F(HandoverCrossing, OfTwoSuccessorsTheLastOneFollowsAndTheOtherEnds) {
  start(old_control);
  ASSERT_NO_FATAL_FAILURE(begin_with_socket());
  pid_t first = child;
  others.push_back(first);
  config["known"]["members"] = known;
  ASSERT_NO_FATAL_FAILURE(start(new_control));
  EXPECT_EQ(ended(first), 0);
  others.clear();
  EXPECT_TRUE(logged("another process follows"));
  EXPECT_EQ(count("the predecessor hands nothing over"), 0) << log();
  kill(old_process, SIGTERM);
  EXPECT_EQ(ended(old_process), 0);
  EXPECT_TRUE(serves());
  expect_followed();
}

}  // namespace
}  // namespace petrelrail::test
