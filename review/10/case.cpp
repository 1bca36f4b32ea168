// A price server's answer never ends: in chunks, a few bytes at a time, for as long as anyone
// reads. Each request has to have its final answer, or a visible end, half a second after its time.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kPartSeconds = 0.4;  // between two parts of an answer
constexpr int kPartsOfSound = 3;      // of an answer that ends
constexpr long kTimeoutMs = 2000;
constexpr double kLateness = 0.5 + 0.05;  // STANDING, and PROTOCOL's 50 ms for sockets
constexpr double kWatchSeconds = 15;      // after a request's time
constexpr int kRequests = 12, kSpoiltEvery = 3;

struct Outcome {
  double sent = 0, ended = 0;  // ended 0: no end was seen
  std::size_t bytes = 0;
  std::string text;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  PriceServer server([&](Socket& s, const Head& h) {
    if (!read_body(s, h, false, now() + 10)) return false;
    const auto id = h.field("x-request-id");
    const bool spoilt = trouble() && std::stoull(id, nullptr, 16) % kSpoiltEvery == 0;
    record.line("server   runs " + id + (spoilt ? ", its answer will never end" : ""));
    if (!s.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
    for (int part = 0; spoilt || part < kPartsOfSound; ++part) {
      if (!s.send("10\r\n0123456789abcdef\r\n")) {
        record.line("server   the connection of " + id + " has ended");
        return false;
      }
      sleep_s(kPartSeconds);
    }
    return s.send("0\r\n\r\n");
  });
  Counter counter;
  Agent agent({{"s-00000001", server.port()}});
  NodeOptions options;
  options.grades = grade("price-lookup", "safe", 2.5, 8);
  options.fleet_size = 1;
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) finish(node, kCouldNotRun);

  std::vector<Outcome> outcomes(kRequests);
  std::vector<std::thread> clients;
  for (int c = 0; c < kRequests; ++c) {
    sleep_s(0.1);
    clients.emplace_back([&, c] {
      auto& o = outcomes[static_cast<std::size_t>(c)];
      const auto id = hex16(0x9b1f03aa00000000ULL + static_cast<unsigned>(c));
      auto s = connect_to(node.port());
      o.sent = now();
      s.send(request_head("GET", "price-lookup", id, hex16(0x1000 + c), kTimeoutMs) + "\r\n");
      record.line("client   sends " + id);
      const double until = o.sent + kTimeoutMs / 1000.0 + kWatchSeconds;
      const auto h = read_head(s, until);
      Socket::Got got = Socket::Got::end;
      const auto body = h ? read_body(s, *h, true, until, &got) : std::nullopt;
      o.bytes = body ? body->size() : s.in().size();
      if (body || got != Socket::Got::time) o.ended = now();
      o.text = (h ? h->first : "no answer") + (body                       ? ", whole"
                                               : got == Socket::Got::time ? ", no end"
                                                                          : ", cut off");
      record.line("client   " + id + ": " + o.text +
                  text_of(", %.3f s after it was sent", now() - o.sent));
    });
  }
  for (auto& c : clients) c.join();
  if (!node.runs(process)) finish(node, kCouldNotRun);
  int answered = 0, unanswered = 0;
  for (const auto& o : outcomes) {
    const double limit = o.sent + kTimeoutMs / 1000.0 + kLateness;
    if (o.ended > 0 && o.ended <= limit)
      ++answered;
    else
      ++unanswered;
  }
  const auto summary = text_of(
      "requests %d, ended in time %d, with no final answer %.2f s after "
      "their time %d (watched for %.0f s)",
      kRequests, answered, kLateness, unanswered, kWatchSeconds);
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (answered == 0) finish(node, kCouldNotRun);
  finish(node, unanswered > 0 ? kBroken : kHeld);
}
