// A crowd connects, stops in the middle of requests and stays. Clients beside it send whole
// requests of usual size. Each of these has to have its final answer.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kRunSeconds = 20, kCalmSeconds = 3;  // the crowd comes after the calm
constexpr double kCrowdSeconds = 0.02;                // between two peers of the crowd
constexpr std::size_t kCrowdBody = 60000, kCrowdSends = 50000, kCrowdAtOnce = 300;
constexpr std::size_t kBody = 40000;  // of a client's request
constexpr long kTimeoutMs = 1500;
constexpr double kLateness = 0.5 + 0.05;  // STANDING, and PROTOCOL's 50 ms for sockets
constexpr double kWorkSeconds = 0.05;
constexpr int kClients = 6;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  std::atomic<int> ran{0};
  const auto serve = [&](Socket& s, const Head& h) {
    if (!read_body(s, h, false, now() + 10)) return false;
    ++ran;
    record.line("server   runs " + h.field("x-request-id"));
    sleep_s(kWorkSeconds);
    return s.send(answer("200 OK", "post of " + h.field("x-request-id")));
  };
  PriceServer first(serve), second(serve);
  Counter counter;
  Agent agent({{"s-00000001", first.port()}, {"s-00000002", second.port()}});
  NodeOptions options;
  options.grades = grade("rate-read", "safe", 0.6, 1.5) + "," +
                   grade("rate-post", "unsafe", 0.8, 2.5);
  options.fleet_size = 1;
  options.memory_mb = 32;
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) finish(node, kCouldNotRun);

  std::atomic<bool> stop{false};
  std::atomic<int> sent{0}, answered{0}, served{0}, unanswered{0}, ended{0}, peers{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&] {
      Socket s;
      while (!stop) {
        const auto n = static_cast<unsigned>(++sent);
        const auto id = hex16(0x9b1f03aa00000000ULL + n);
        if (!s.open()) s = connect_to(node.port());
        s.send(request_head("POST", "rate-post", id, hex16(0x1000 + n % 500), kTimeoutMs) +
               "Content-Length: " + std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'x'));
        const double written = now();
        record.line("client   " + id + " is sent");
        const double until = written + kTimeoutMs / 1000.0 + kLateness;
        while (now() < until && s.in().find("\r\n\r\n") == std::string::npos)
          if (s.read(until) != Socket::Got::bytes) break;
        const bool late = now() >= until;
        const auto h = read_head(s, until);
        const auto body = h ? read_body(s, *h, true, until) : std::nullopt;
        if (body) ++answered, record.line("client   " + id + " gets " + h->first);
        if (body && h->status() == 200) ++served;
        if (!body && late) {
          ++unanswered;
          record.line("client   " + id +
                      text_of(": no final answer %.2f s after its last byte", now() - written));
          const auto after = read_head(s, written + 10);
          record.line("client   " + id + " in the end: " + (after ? after->first : "none") +
                      text_of(", %.2f s after its last byte", now() - written));
        } else if (!body) {
          ++ended;
          record.line("client   " + id + ": its connection has ended");
        }
        if (!body || h->status() != 200 || h->field("connection") == "close") s.close();
        sleep_s(0.1);
      }
    });
  }
  std::thread crowd([&] {
    std::vector<Socket> all;
    const auto text = request_head("POST", "rate-post", "0badc0de00000000", hex16(1), 1500) +
                      "Content-Length: " + std::to_string(kCrowdBody) + "\r\n\r\n" +
                      std::string(kCrowdSends, 'y');
    sleep_s(kCalmSeconds);
    while (!stop && trouble()) {
      all.push_back(connect_to(node.port()));
      if (all.back().open()) {
        all.back().send(text);
        record.line(text_of("crowd    peer %d has sent a part of a request and stops", ++peers));
      }
      if (all.size() > kCrowdAtOnce) all.erase(all.begin());
      sleep_s(kCrowdSeconds);
    }
  });
  sleep_s(kRunSeconds);
  stop = true;
  for (auto& c : clients) c.join();
  crowd.join();
  if (!node.runs(process)) {
    record.line("the edge node's process has ended");
    finish(node, kBroken);
  }
  const auto summary = text_of(
      "requests %d, answered %d (served %d), connection ended %d, without a "
      "final answer in time %d; peers of the crowd %d",
      sent.load(), answered.load(), served.load(), ended.load(), unanswered.load(), peers.load());
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (served == 0) finish(node, kCouldNotRun);
  finish(node, unanswered > 0 ? kBroken : kHeld);
}
