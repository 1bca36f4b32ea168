// A price server's answer comes a second time, some milliseconds late. Each 200 has to hold the
// body that a price server made for that request.
#include "../common-2/standins.hpp"

using namespace review2;

namespace {

constexpr double kWorkSeconds = 0.03;           // of a request at a price server
constexpr double kSecondAnswerSeconds = 0.004;  // after the first
constexpr int kSpoiltEvery = 10;                // one answer in so many comes twice
constexpr int kClients = 4, kCustomers = 400;
constexpr double kRunSeconds = 15;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return kCouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  end_after(100);
  Record record(argv[1]);
  std::atomic<int> answers{0}, spoilt{0};
  const auto serve = [&](Socket& s, const Head& h) {
    if (!read_body(s, h, false, now() + 10)) return false;
    const auto id = h.field("x-request-id");
    sleep_s(kWorkSeconds);
    const auto text = answer("200 OK", "price for " + id);
    if (!s.send(text)) return false;
    record.line("server   ran and answered " + id);
    if (!trouble() || ++answers % kSpoiltEvery != 0) return true;
    sleep_s(kSecondAnswerSeconds);
    ++spoilt;
    record.line("server   sends the answer to " + id + " once more");
    return s.send(text);
  };
  PriceServer first(serve), second(serve);
  Counter counter;
  Agent agent({{"s-00000001", first.port()}, {"s-00000002", second.port()}});
  NodeOptions options;
  options.grades = grade("price-lookup", "safe", 2.5, 8);
  options.known = agent.list();
  options.counter = counter.port();
  options.discovery = agent.port();
  Node node(options);
  const auto process = node.start();
  if (!node.ready()) return kCouldNotRun;

  std::atomic<int> sent{0}, served{0}, foreign{0};
  std::vector<std::thread> clients;
  const double end = now() + kRunSeconds;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&] {
      Socket s;
      while (now() < end) {
        const int n = ++sent;
        const auto id = hex16(0x9b1f03aa00000000ULL + static_cast<unsigned>(n));
        if (!s.open()) s = connect_to(node.port());
        s.send(request_head("GET", "price-lookup", id, hex16(0x1000 + n % kCustomers), 6000) +
               "\r\n");
        const auto h = read_head(s, now() + 8);
        const auto body = h ? read_body(s, *h, true, now() + 2) : std::nullopt;
        if (!body || h->field("connection") == "close") s.close();
        if (!body || h->status() != 200) {
          record.line("client   " + id + " gets " + (h ? h->first : "no answer"));
          continue;
        }
        ++served;
        const bool own = *body == "price for " + id;
        if (!own) ++foreign;
        record.line("client   " + id + " gets 200 with \"" + *body + "\"" +
                    (own ? "" : "  <- another client's answer"));
      }
    });
  }
  for (auto& c : clients) c.join();
  const bool alive = node.runs(process);
  const auto summary = text_of(
      "sent %d, served %d, of these with another request's answer %d, "
      "answers that came twice %d",
      sent.load(), served.load(), foreign.load(), spoilt.load());
  record.line("summary  " + summary);
  std::puts(summary.c_str());
  if (!alive || served < 100 || (trouble() && spoilt == 0))
    return foreign > 0 ? kBroken : kCouldNotRun;
  return foreign > 0 ? kBroken : kHeld;
}
