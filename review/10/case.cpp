// A peer sends what is no proper request: GET with a long body, its head first. It is owed an error
// or a close, and must not be served.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kWorkSeconds = 0.02;
constexpr double kPauseSeconds = 0.05;  // between a head and its body
constexpr std::size_t kBody = 100000;
constexpr int kPeers = 10;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  std::atomic<int> ran_with_body{0};
  PriceServer server([&](Socket& s, const Head& h) {
    const auto body = read_body(s, h, false, now() + 10);
    if (!body) return false;
    if (!body->empty()) ++ran_with_body;
    record.line("server   runs " + h.first + text_of(", with a body of %zu bytes", body->size()));
    sleep_s(kWorkSeconds);
    return s.send(answer("200 OK", "price for " + h.field("x-request-id")));
  });
  Counter counter;
  Agent agent({{"s-00000001", server.port()}});
  NodeOptions options;
  options.grades = grade("price-lookup", "safe", 2.5, 8);
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) return kCouldNotRun;

  int served = 0, bad_served = 0;
  for (int i = 0; i < 2 * kPeers; ++i) {
    const bool is_bad = trouble() && i % 2 == 1;
    const auto id = hex16(0x9b1f03aa00000000ULL + static_cast<unsigned>(i));
    auto s = connect_to(node.port());
    const auto head = request_head("GET", "price-lookup", id, hex16(0x1000 + i), 2500);
    if (is_bad) {
      s.send(head + "Content-Length: " + std::to_string(kBody) + "\r\n\r\n");
      sleep_s(kPauseSeconds);
      s.send(std::string(kBody, 'x'));
    } else {
      s.send(head + "\r\n");
    }
    const auto h = read_head(s, now() + 4);
    record.line("client   " + id + (is_bad ? ", GET with a body, gets " : " gets ") +
                (h ? h->first : "no answer"));
    if (h && h->status() == 200) ++(is_bad ? bad_served : served);
  }
  if (!node.runs(process)) return kCouldNotRun;
  const auto summary = text_of(
      "proper requests served %d, improper ones served %d, run with a body "
      "at the price server %d",
      served, bad_served, ran_with_body.load());
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (served == 0) return kCouldNotRun;
  return bad_served > 0 ? kBroken : kHeld;
}
