// A long body, written by its client at once; the price server reads it slowly, so that its end
// waits in sockets. The request's time counts from when its last byte is written.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kPieceSeconds = 0.027;  // for 16 KiB at most: about 600 kB a second
constexpr int kReceiveBuffer = 65536;    // of a price server's connection
constexpr long kTimeoutMs = 3000;
constexpr double kLateness = 0.5 + 0.05;  // STANDING, and PROTOCOL's 50 ms for sockets
constexpr double kWatchSeconds = 30;
constexpr std::size_t kChunk = 16000;
// Lengths of bodies. How much of one the sockets take at once differs between systems.
constexpr std::size_t kBodies[] = {4800000, 5600000, 6400000, 7200000};

struct Outcome {
  std::size_t bytes = 0;
  double written = 0, arrived = 0, ended = 0;  // the last byte; the answer
  std::string text = "no answer";
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  const PriceServer::Serve serve = [&](Socket& s, const Head& h) {
    const auto id = h.field("x-request-id");
    record.line("server   " + id + " begins, X-Timeout-Ms " + h.field("x-timeout-ms"));
    while (trouble() && !s.in().ends_with("\r\n0\r\n\r\n")) {
      if (s.read(now() + 20) != Socket::Got::bytes) {
        record.line("server   " + id + " ends before its last byte");
        return false;
      }
      sleep_s(kPieceSeconds);
    }
    if (!read_body(s, h, false, now() + 20)) return false;
    record.line("server   " + id + " has arrived and runs");
    return s.send(answer("200 OK", "entry of " + id));
  };
  PriceServer first(serve, kReceiveBuffer), second(serve, kReceiveBuffer);
  Counter counter;
  Agent agent({{"s-00000001", first.port()}, {"s-00000002", second.port()}});
  NodeOptions options;
  options.grades = grade("ledger-scan", "safe", 2.5, 8) + "," +
                   grade("ledger-entry", "unsafe", 2.5, 8);
  options.fleet_size = 1;
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) finish(node, kCouldNotRun);

  std::vector<Outcome> outcomes(std::size(kBodies));
  std::vector<std::thread> clients;
  for (std::size_t c = 0; c < outcomes.size(); ++c) {
    clients.emplace_back([&, c] {
      auto& o = outcomes[c];
      o.bytes = kBodies[c];
      const auto id = hex16(0x9b1f03aa00000000ULL + c);
      auto text = request_head("POST", "ledger-entry", id, hex16(0x1000 + c), kTimeoutMs) +
                  "Transfer-Encoding: chunked\r\n\r\n";
      const auto chunk = text_of("%zx\r\n", kChunk) + std::string(kChunk, 'x') + "\r\n";
      for (std::size_t n = 0; n < o.bytes; n += kChunk) text += chunk;
      text += "0\r\n\r\n";
      auto s = connect_to(node.port());
      record.line("client   " + id + text_of(": sends %zu bytes", o.bytes));
      if (!s.send(text)) return;
      o.written = now();
      record.line("client   " + id + ": the last byte is written");
      for (const double until = now() + kWatchSeconds; now() < until;) {
        if (o.arrived == 0 && s.all_acknowledged()) {
          o.arrived = now();
          record.line("client   " + id + ": the last byte is acknowledged by the node's machine");
        }
        const auto got = s.in().empty() ? s.read(now() + 0.005) : Socket::Got::bytes;
        if (got == Socket::Got::time) continue;
        const auto h = got == Socket::Got::bytes ? read_head(s, now() + 1) : std::nullopt;
        o.ended = now();
        o.text = h ? h->first : "connection ended";
        break;
      }
      record.line("client   " + id + ": " + o.text);
    });
  }
  for (auto& c : clients) c.join();
  if (!node.runs(process)) finish(node, kCouldNotRun);
  int counted = 0, late = 0;
  for (const auto& o : outcomes) {
    if (o.written == 0) continue;  // ended before its last byte was written
    ++counted;
    const double after = (o.ended > 0 ? o.ended : now()) - (o.written + kTimeoutMs / 1000.0);
    if (after > kLateness) ++late;
    record.line("summary  " + text_of("%zu bytes: %s %.2f s after the request's time", o.bytes,
                                      o.text.c_str(), after));
  }
  const auto summary = text_of(
      "requests written whole %d, with their final answer over %.2f "
      "s late %d",
      counted, kLateness, late);
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (counted == 0) finish(node, kCouldNotRun);
  finish(node, late > 0 ? kBroken : kHeld);
}
