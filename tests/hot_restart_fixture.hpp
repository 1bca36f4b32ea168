// Runs a node's process and the successor that takes its listening socket over, for tests of hot
// restart. Control ports differ; the listening port is shared.
#pragma once

#include "process_fixture.hpp"

namespace petrelrail::test {

struct Upgrade : ProcessTest {
  ~Upgrade() override {
    if (old_process > 0) kill(old_process, SIGKILL), waitpid(old_process, nullptr, 0);
  }
  void start(Tcp::endpoint& control) {
    control = free_port();
    config["control"] = "127.0.0.1:" + std::to_string(control.port());
    run();
    ASSERT_TRUE(loop.until([&] {
      return admin_request(control, "GET", "/ready").starts_with("HTTP/1.1 200");
    })) << log();
  }
  void upgrade() {
    old_process = child;
    start(new_control);
  }
  std::string admin_request(const Tcp::endpoint& at, const std::string& method,
                            const std::string& target) {
    try {
      const auto w = loop.connect(at);
      w->send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
      EXPECT_TRUE(loop.until([&] { return w->ended; }));
      return w->in;
    } catch (const boost::system::system_error&) {
      return {};  // the process does not listen yet
    }
  }
  // Sends one request on the connection and returns the response.
  std::string response_on(const std::shared_ptr<Wire>& w, const std::string& request = ask()) {
    w->send(request);
    EXPECT_TRUE(
        loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos || w->ended; }));
    return w->message();
  }
  // The value of the counter of successful responses of the class "read"; "" if there is none.
  std::string success_count(const Tcp::endpoint& at) {
    const auto text = admin_request(at, "GET", "/metrics");
    const std::string name = "node_replies{type=\"read\",status=\"success\"} ";
    const auto begin = text.find(name);
    return begin == std::string::npos
               ? ""
               : text.substr(begin + name.size(), text.find('\n', begin) - begin - name.size());
  }

  Tcp::endpoint old_control, new_control;
  pid_t old_process = 0;
};

}  // namespace petrelrail::test
