// Tests of a complete edge node over loopback sockets whose clients write long bodies slowly: the
// time of a request counts from its last byte. The rule itself: request_deadline_test.cpp.
#include <sys/socket.h>

#include "limits.hpp"
#include "node_fixture.hpp"

namespace petrelrail::test {
namespace {

constexpr std::size_t kLongBody = 2 * limits::kMaxBodyBytes;

std::string chunk(const std::string& data) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

enum class Framing { length, chunked };

struct SlowUpload : NodeTest {
  // A request of a class that may not be repeated, in two parts: all but its last byte, and that.
  struct Parts {
    std::string start, last_byte;
  };
  static Parts request(Framing framing, std::size_t body_bytes, const std::string& timeout) {
    auto spec = unsafe_request();
    spec.body.clear(), spec.timeout = timeout;
    auto head = spec.text();
    const std::string no_body = "Content-Length: 0\r\n";
    const std::string body(body_bytes, 'b');
    const bool chunked = framing == Framing::chunked;
    head.replace(head.find(no_body), no_body.size(),
                 chunked ? "Transfer-Encoding: chunked\r\n"
                         : "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    const auto text = head + (chunked ? chunk(body) + "0\r\n\r\n" : body);
    return {text.substr(0, text.size() - 1), text.substr(text.size() - 1)};
  }
  void wait(Duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    loop.until([&] { return std::chrono::steady_clock::now() >= end; });
  }
  // From now on the price servers answer with `answer_text` once the last byte of a request is
  // there.
  void answer_complete_requests() {
    const auto serve = [this](Wire& w) {
      const bool chunked = w.in.find("Transfer-Encoding: chunked\r\n") != std::string::npos;
      if (chunked ? !w.in.ends_with("\r\n0\r\n\r\n") : w.message().empty()) return;
      w.in.clear();
      w.send(answer_text);
      answered = w.shared_from_this();
    };
    server.on(serve), second.on(serve);
  }
  static std::size_t body_bytes(const Wire& w) {
    const auto head = w.in.find("\r\n\r\n");
    return head == std::string::npos ? 0 : std::ranges::count(w.in.substr(head), 'z');
  }

  std::string answer_text;
  std::shared_ptr<Wire> answered;  // where the last answer was sent
};

// Guards against the answer to a long request being cut off because its client wrote for longer
// than it waits: the time counted from the header (review, case 3).
TEST_F(SlowUpload, AnAnswerIsCompleteAlthoughItsRequestTookLongerThanItsTimeout) {
  start();
  answer_complete_requests();
  const std::string half(20'000, 'z');
  for (const auto framing : {Framing::length, Framing::chunked}) {
    for (const bool answer_in_chunks : {false, true}) {
      SCOPED_TRACE(testing::Message() << "request in chunks " << (framing == Framing::chunked)
                                      << ", answer in chunks " << answer_in_chunks);
      answer_text = answer_in_chunks
                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(half)
                        : "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + half;
      const auto parts = request(framing, kLongBody, "1000");
      const auto w = client();
      w->send(parts.start);
      ASSERT_TRUE(loop.until([&] { return node->open_requests() == 1; }));
      wait(1s + limits::kMaxResponseLateness + 100ms);
      w->send(parts.last_byte);
      ASSERT_TRUE(loop.until([&] { return body_bytes(*w) == half.size() || w->ended; }));
      wait(100ms);  // between the two parts of the answer
      EXPECT_FALSE(w->ended);
      answered->send(answer_in_chunks ? chunk(half) + "0\r\n\r\n" : half);
      EXPECT_TRUE(loop.until([&] { return body_bytes(*w) == 2 * half.size() || w->ended; }));
      EXPECT_EQ(body_bytes(*w), 2 * half.size());
      ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
    }
  }
}
// Guards against an answer that its server leaves unfinished: it ends soon after the request's
// time, long before the limit of a long answer, however the request and the answer are framed.
TEST_F(SlowUpload, AnAnswerThatIsLeftUnfinishedEndsInTime) {
  start();
  answer_complete_requests();
  const std::string part(20'000, 'z');
  for (const bool answer_in_chunks : {false, true}) {
    answer_text = answer_in_chunks
                      ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(part)
                      : "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + part;
    std::vector<std::shared_ptr<Wire>> clients;
    for (const auto framing : {Framing::length, Framing::chunked})
      for (const std::size_t body : {std::size_t{10}, kLongBody}) {
        const auto parts = request(framing, body, "500");
        clients.push_back(client());
        clients.back()->send(parts.start);
        wait(100ms);
        clients.back()->send(parts.last_byte);
      }
    const auto written = std::chrono::steady_clock::now();
    for (const auto& w : clients) {
      EXPECT_TRUE(loop.until([&] { return w->ended; }, limits::kStreamStallTimeout / 2));
      EXPECT_EQ(body_bytes(*w), part.size());
    }
    EXPECT_GE(std::chrono::steady_clock::now() - written, 500ms);
  }
}
// Guards against a long answer in chunks, written slowly, that is cut off once its time is over:
// until 64 KiB were out it was taken for a short one.
TEST_F(SlowUpload, ALongAnswerInChunksIsCompleteAlthoughItsServerWritesSlowly) {
  start();
  answer_complete_requests();
  const std::string part(10'000, 'z');
  constexpr std::size_t kParts = 20;
  answer_text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(part);
  const auto parts = request(Framing::length, 10, "500");
  const auto w = client();
  w->send(parts.start + parts.last_byte);
  for (std::size_t i = 1; i < kParts; ++i) {
    wait(150ms);
    ASSERT_FALSE(w->ended) << i;
    answered->send(chunk(part) + (i + 1 == kParts ? "0\r\n\r\n" : ""));
  }
  EXPECT_TRUE(loop.until([&] { return body_bytes(*w) == kParts * part.size() || w->ended; }));
  EXPECT_EQ(body_bytes(*w), kParts * part.size());
  EXPECT_TRUE(loop.until([&] { return w->in.ends_with("\r\n0\r\n\r\n"); }, 2s));
}
// Requests and answers whose end every byte may move.
struct Trickle : SlowUpload {
  static constexpr Duration kInterval = 100ms;
  // Sends the part every kInterval until the wire to the client has ended; returns after how long.
  Duration time_until_end(const std::shared_ptr<Wire>& client, const std::shared_ptr<Wire>& sender,
                          const std::string& part) {
    const auto start_time = std::chrono::steady_clock::now();
    const auto elapsed = [&] { return std::chrono::steady_clock::now() - start_time; };
    while (!client->ended && elapsed() < 8s) {
      sender->send(part);
      wait(kInterval);
    }
    return elapsed();
  }
};
// Guards against an answer of unknown length that comes in small parts, or in bytes that are no
// part of its body, and never ends (review, case 10).
TEST_F(Trickle, AnAnswerThatNeverEndsIsCutOffInItsTime) {
  start();
  answer_complete_requests();
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string by_connection = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  const std::string with_length = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n";
  const std::string part(500, 'z');
  struct Case {
    std::string start, part;
  };
  const std::vector<Case> cases{
      {chunked + chunk(part), chunk(part)},
      {by_connection + part, part},
      {with_length + part, part},
      {chunked + chunk(part) + "1;", "e"},
      {chunked + chunk(part) + "0\r\nt: ", "t"},
      {"HTTP/1.1 200 OK\r\nt: ", "t"},
      {"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"}};
  for (const auto& [answer_start, answer_part] : cases) {
    SCOPED_TRACE(answer_start.substr(0, 80));
    answer_text = answer_start;
    answered.reset();
    const auto w = client();
    const auto parts = request(Framing::length, 10, "500");
    w->send(parts.start + parts.last_byte);
    ASSERT_TRUE(loop.until([&] { return answered != nullptr; }));
    const auto has_ended = [&] {
      return w->ended || w->in.find("HTTP/1.1 5") != std::string::npos;
    };
    const auto start_time = std::chrono::steady_clock::now();
    while (!has_ended() && std::chrono::steady_clock::now() - start_time < 5s) {
      answered->send(answer_part);
      loop.until(has_ended, kInterval);
    }
    // Half a second after its time, and the 50 ms that PROTOCOL adds.
    EXPECT_LT(std::chrono::steady_clock::now() - start_time, 1050ms);
  }
}
// Guards against an answer that turns out long being cut off since it was short when its time was
// over, or since it had only begun then.
TEST_F(Trickle, ALongAnswerOfUnknownLengthThatBeginsInTimeIsComplete) {
  start();
  answer_complete_requests();
  constexpr std::size_t kPartBytes = 3000, kParts = 30;
  const std::string part(kPartBytes, 'z');
  for (const bool is_chunked : {true, false}) {
    for (const bool begins_late : {true, false}) {
      SCOPED_TRACE(testing::Message() << "chunked " << is_chunked << ", late " << begins_late);
      answer_text.clear();
      answered.reset();
      const auto w = client();
      const auto parts = request(Framing::length, 10, "500");
      w->send(parts.start + parts.last_byte);
      ASSERT_TRUE(loop.until([&] { return answered != nullptr; }));
      if (begins_late) wait(350ms);
      answered->send(is_chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
      for (std::size_t i = 0; i < kParts && !w->ended; ++i) {
        answered->send(is_chunked ? chunk(part) : part);
        wait(kInterval);
      }
      answered->send(is_chunked ? "0\r\n\r\n" : "", true);
      EXPECT_TRUE(loop.until([&] { return body_bytes(*w) == kParts * kPartBytes || w->ended; }));
      EXPECT_EQ(body_bytes(*w), kParts * kPartBytes);
    }
  }
}
// Guards against a request whose chunks carry long extensions and next to no body: they counted as
// a body that arrives at the lowest rate.
TEST_F(Trickle, ExtensionsOfChunksKeepNoRequestAlive) {
  start();
  answer_complete_requests();
  const auto head = request(Framing::chunked, 1, "60000").start;
  const auto body_at = head.find("\r\n\r\n") + 4;
  const auto w = client();
  w->send(head.substr(0, body_at));
  const std::string part = "1;" + std::string(limits::kMaxHeaderBytes - 100, 'e') + "\r\nb\r\n";
  EXPECT_LT(time_until_end(w, w, part), 4s);
  EXPECT_TRUE(w->in.starts_with("HTTP/1.1 408 ")) << w->in;
}
TEST_F(Trickle, AShortBodyInChunksOfOneByteIsServed) {
  start();
  answer_complete_requests();
  answer_text = http_answer("200 OK", "served");
  const auto head = request(Framing::chunked, 1, "60000").start;
  const auto w = client();
  w->send(head.substr(0, head.find("\r\n\r\n") + 4));
  constexpr std::size_t kParts = 40, kChunksInPart = 1200;
  std::string part;
  for (std::size_t i = 0; i < kChunksInPart; ++i) part += chunk("b");
  for (std::size_t i = 0; i < kParts; ++i) {
    w->send(part);
    wait(kInterval);
  }
  w->send("0\r\n\r\n");
  EXPECT_EQ(status(w), 200);
}
// A server that reads what its connection holds in parts, and an upload whose last byte is timed.
struct SlowServer : SlowUpload {
  static constexpr std::size_t kBodyBytes = 4UL << 20U;
  static constexpr Duration kStep = 20ms;

  void start() {
    SlowUpload::start();
    for (auto* peer : {&server, &second}) peer->accept_without_reading();
  }
  // Reads at most that much from each connection to a price server; returns what was read.
  std::size_t read_part(std::size_t max_bytes) {
    std::size_t total = 0;
    std::vector<char> part(max_bytes);
    for (const auto* peer : {&server, &second})
      for (const auto& w : peer->wires) {
        const auto n = ::recv(w->socket.native_handle(), part.data(), part.size(), MSG_DONTWAIT);
        if (n <= 0) continue;
        total += static_cast<std::size_t>(n);
        reader = w;
        received.append(part.data(), static_cast<std::size_t>(n));
        received.erase(0, received.size() - std::min<std::size_t>(received.size(), 16));
      }
    return total;
  }
  void step() {
    loop.io.restart();
    loop.io.run_for(kStep);
  }
  std::shared_ptr<Wire> upload(Framing framing, const std::string& timeout) {
    const auto parts = request(framing, kBodyBytes, timeout);
    const auto w = client();
    written.reset();
    text = parts.start + parts.last_byte;
    asio::async_write(w->socket, asio::buffer(text), [this](const error_code& failed, std::size_t) {
      if (!failed) written = std::chrono::steady_clock::now();
    });
    return w;
  }
  // Waits for the answer while the servers read that much every kStep for a time, and then all.
  Duration time_of_answer(const std::shared_ptr<Wire>& w, std::size_t part, Duration time) {
    const auto start = std::chrono::steady_clock::now();
    while (w->in.empty() && !w->ended && std::chrono::steady_clock::now() - start < 15s) {
      const bool is_slow = std::chrono::steady_clock::now() - start < time;
      read_part(is_slow ? part : kBodyBytes);
      step();
    }
    return std::chrono::steady_clock::now() - written.value();
  }

  std::string text, received;  // of the upload; the end of what the servers have received
  std::shared_ptr<Wire> reader;
  std::optional<std::chrono::steady_clock::time_point> written;
};
// Guards against a last byte that lies in sockets' buffers while its server takes a part now and
// then: the request's time began when it was read (review, case 8).
TEST_F(SlowServer, ABodyThatItsServerReadsSlowlyIsAnsweredInItsTime) {
  start();
  for (const auto framing : {Framing::length, Framing::chunked}) {
    for (const Duration slow_time : {Duration(15s), Duration(800ms)}) {
      SCOPED_TRACE(testing::Message() << "chunked " << (framing == Framing::chunked)
                                      << ", slow for " << slow_time.count() << " ns");
      const auto w = upload(framing, "1000");
      ASSERT_TRUE(loop.until([&] { return written.has_value(); }, 5s));
      EXPECT_LT(time_of_answer(w, 16'000, slow_time), 1s + 500ms);
      EXPECT_GE(status(w), 500);
      ASSERT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
    }
  }
}
// Guards against an upload that is given up since its server was behind once, though it has caught
// up and the client still writes.
TEST_F(SlowServer, AClientThatWritesForLongIsServedAlthoughItsServerRested) {
  start();
  constexpr std::size_t kPart = 120'000, kParts = 190;  // of a body; one every kStep
  constexpr std::size_t kRestFrom = 20, kRestUntil = 70;
  for (const auto framing : {Framing::length, Framing::chunked}) {
    const auto parts = request(framing, kPart * kParts, "2000");
    const auto whole = parts.start + parts.last_byte;
    const auto w = client();
    received.clear();
    for (std::size_t i = 0; i <= kParts && !w->ended && w->in.empty(); ++i) {
      if (i * kPart < whole.size()) w->send(whole.substr(i * kPart, kPart));
      if (i < kRestFrom || i >= kRestUntil) read_part(kBodyBytes);
      step();
    }
    const auto has_ended = [&] {
      return read_part(kBodyBytes) == 0 && received.ends_with(whole.substr(whole.size() - 5));
    };
    ASSERT_TRUE(loop.until([&] { return has_ended() || !w->in.empty(); })) << received;
    if (w->in.empty()) reader->send(http_answer("200 OK", "served"));
    EXPECT_EQ(status(w), 200);
    for (auto* peer : {&server, &second})
      for (const auto& wire : peer->wires) wire->close();
  }
}
// Guards against a client's stop counting as its server's time-out: a few such clients shrank the
// capacity that the node gives to everybody else.
TEST_F(SlowUpload, AClientThatStopsInALongBodyIsNoTimeoutOfItsServer) {
  start();
  const auto w = client();
  w->send(request(Framing::length, 12 * limits::kMaxBodyBytes, "60000")
              .start.substr(0, 10 * limits::kMaxBodyBytes));
  EXPECT_TRUE(loop.until([&] { return !w->in.empty() || w->ended; }));
  EXPECT_TRUE(has_metric("node_attempt_ends{reason=\"body_broke\"} 1"));
  EXPECT_TRUE(has_metric("node_attempt_ends{reason=\"timed_out\"} 0"));
}
// Guards against a silent server that leaves a long request without an answer in its time.
TEST_F(SlowUpload, ALongRequestToASilentServerIsAnsweredInItsTime) {
  start();
  respond = {};
  for (const auto framing : {Framing::length, Framing::chunked}) {
    const auto parts = request(framing, kLongBody, "300");
    const auto w = client();
    w->send(parts.start);
    wait(400ms);
    EXPECT_TRUE(w->in.empty());
    w->send(parts.last_byte);
    EXPECT_TRUE(loop.until([&] { return !w->in.empty(); }, limits::kStreamStallTimeout / 2));
    EXPECT_GE(status(w), 500);
  }
}
// Guards against a request that waited behind an earlier one of its client being sent to a server
// although the time that counts from its last byte is over.
TEST_F(SlowUpload, ARequestThatWaitedBehindAnotherForItsWholeTimeIsNotForwarded) {
  std::shared_ptr<Wire> first;
  respond = [&](Wire& w, const std::string&) { first = w.shared_from_this(); };
  start();
  auto slow = unsafe_request(), waiting = unsafe_request();
  waiting.id = "a2", waiting.timeout = "300";
  const auto w = client();
  w->send(slow.text() + waiting.text());
  ASSERT_TRUE(loop.until([&] { return first != nullptr; }));
  wait(400ms);
  first->send(http_answer("200 OK", "served"));
  EXPECT_EQ(status(w), 200);
  EXPECT_EQ(status(w), 503);
  EXPECT_EQ(received_requests.size(), 1u);
}
// Guards against a server that takes a connection and reads nothing: the client, whose last byte
// the sockets hold, waited for 10 s whatever its timeout.
TEST_F(SlowUpload, ABodyThatNoServerTakesIsAnsweredInItsTime) {
  start();
  for (auto* peer : {&server, &second}) peer->accept_without_reading();
  for (const auto framing : {Framing::length, Framing::chunked}) {
    const auto parts = request(framing, 8UL << 20U, "500");
    const auto w = client();
    w->send(parts.start + parts.last_byte);
    EXPECT_TRUE(loop.until([&] { return !w->in.empty(); }, limits::kStreamStallTimeout / 2));
    EXPECT_GE(status(w), 500);
  }
}

}  // namespace
}  // namespace petrelrail::test
