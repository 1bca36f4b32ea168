// Fixture that runs the real program with a control address, for tests in which two faults or
// events coincide.
#pragma once

#include "process_fixture.hpp"

namespace petrelrail::test {

struct Crossing : ProcessTest {
  Crossing() {
    control = free_port();
    config["control"] = "127.0.0.1:" + std::to_string(control.port());
  }
  // Sends the text to the control address on a new connection and returns everything received until
  // the program closes it.
  std::string call(const std::string& words) {
    const auto w = loop.connect(control);
    w->send(words);
    EXPECT_TRUE(loop.until([&] { return w->ended; })) << words.substr(0, 80);
    return w->in;
  }
  std::string figures() { return call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"); }
  std::string figure(const std::string& name) {
    const auto text = figures();
    const auto at = text.find("\n" + name + " ");
    if (at == std::string::npos) return "none";
    const auto begin = at + name.size() + 2;
    return text.substr(begin, text.find('\n', begin) - begin);
  }
  // Returns the number of sockets the program has open. Inherited descriptors other than its log
  // are not sockets and are not counted.
  std::size_t sockets() const {
    std::size_t n = 0;
    for (const auto& fd :
         std::filesystem::directory_iterator("/proc/" + std::to_string(child) + "/fd")) {
      std::error_code gone;
      n += std::filesystem::read_symlink(fd, gone).string().starts_with("socket:") ? 1U : 0U;
    }
    return n;
  }
  static std::string ask(const std::string& timeout,
                         const std::string& customer = "0000000000000007") {
    auto words = ProcessTest::ask();
    words.replace(words.find("2000"), 4, timeout);
    return words.replace(words.find("0000000000000007"), 16, customer);
  }
  // Returns the status of the next answer, or 0 if the connection ended without one.
  int answered(const std::shared_ptr<Wire>& w) {
    EXPECT_TRUE(
        loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos || w->ended; }));
    const auto text = w->message();
    return text.size() > 12 ? std::stoi(text.substr(9, 3)) : 0;
  }
  void write_config() { std::ofstream(dir / "config.json") << config; }
  bool logged(const std::string& words) {
    return loop.until([&] { return log().find(words) != std::string::npos; });
  }

  Tcp::endpoint control;
};

}  // namespace petrelrail::test
