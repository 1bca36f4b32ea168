// A client closes its connection while its request, which has a long body, waits at the edge node
// behind others. Nothing may begin for it over 0.1 s after the close.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kWorkSeconds = 0.45;    // of a request at the price server
constexpr double kStaySeconds = 0.02;    // from a client's last byte to its close
constexpr double kAllowed = 0.1 + 0.05;  // STANDING, and PROTOCOL's 50 ms for sockets
constexpr std::size_t kBody = 200000;
constexpr int kRounds = 8, kLookups = 14;

struct Entry {
  double closed = 0, begun = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  std::mutex mutex;
  std::map<std::string, Entry> entries;
  std::atomic<int> arrived{0}, answered{0};
  PriceServer server([&](Socket& s, const Head& h) {
    const auto id = h.field("x-request-id");
    const bool is_entry = h.first.starts_with("POST");
    if (is_entry) {
      const std::lock_guard lock(mutex);
      entries[id].begun = now();
      record.line("server   " + id + " begins");
    }
    if (!read_body(s, h, false, now() + 10)) return false;
    if (is_entry) ++arrived;
    record.line("server   " + id + " has arrived whole and runs");
    sleep_s(kWorkSeconds);
    return s.send(answer("200 OK", "done " + id));
  });
  Counter counter;
  Agent agent({{"s-00000001", server.port()}});
  NodeOptions options;
  options.grades = grade("ledger-scan", "safe", 2.5, 8) + "," +
                   grade("ledger-entry", "unsafe", 2.5, 8);
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) finish(node, kCouldNotRun);

  for (int round = 0; round < kRounds; ++round) {
    // Ordinary load, so that the entry waits for a while.
    std::vector<std::thread> lookups;
    for (int i = 0; i < kLookups; ++i) {
      lookups.emplace_back([&, i] {
        auto s = connect_to(node.port());
        const auto n = static_cast<unsigned>(round * kLookups + i);
        s.send(request_head("GET", "ledger-scan", hex16(0x1b1f03aa00000000ULL + n),
                            hex16(0x1000 + n), 6000) +
               "\r\n");
        const auto id = hex16(0x1b1f03aa00000000ULL + n);
        record.line("client   " + id + ", a lookup, is sent");
        const auto h = read_head(s, now() + 7);
        if (h) read_body(s, *h, true, now() + 1);
        record.line("client   " + id + " gets " + (h ? h->first : "no answer"));
      });
    }
    sleep_s(0.1);
    const auto id = hex16(0x9b1f03aa00000000ULL + static_cast<unsigned>(round));
    auto s = connect_to(node.port());
    s.send(request_head("POST", "ledger-entry", id, hex16(0x8000 + round), 6000) +
           "Content-Length: " + std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'x'));
    record.line("client   " + id + " is sent");
    if (trouble()) {
      sleep_s(kStaySeconds);
      const std::lock_guard lock(mutex);
      s.close();
      entries[id].closed = now();
      record.line("client   " + id + " has closed its connection");
    } else {
      const auto h = read_head(s, now() + 7);
      if (h) ++answered;
      record.line("client   " + id + " gets " + (h ? h->first : "no answer"));
    }
    for (auto& l : lookups) l.join();
  }
  sleep_s(1);
  if (!node.runs(process)) finish(node, kCouldNotRun);
  int late = 0;
  for (const auto& [id, e] : entries) {
    if (e.closed == 0 || e.begun == 0 || e.begun - e.closed <= kAllowed) continue;
    ++late;
    record.line("summary  " + id +
                text_of(" began %.3f s after its client's close", e.begun - e.closed));
  }
  const auto summary = text_of(
      "entries %d, begun over %.2f s after the close %d, arrived whole at "
      "the price server %d, answered %d",
      kRounds, kAllowed, late, arrived.load(), answered.load());
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (!trouble() && answered == 0) finish(node, kCouldNotRun);
  finish(node, late > 0 ? kBroken : kHeld);
}
