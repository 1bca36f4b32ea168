#include "crowd.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace petrelrail::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kShortFields = 80;
constexpr std::size_t kAnnouncedBytes = 60'000, kSentBytes = 50'000;

// What a connection sends, by its number.
std::string text_of(std::uint64_t number) {
  constexpr std::uint64_t kKinds = 4;
  std::string fields = "POST /order HTTP/1.1\r\nHost: app.svc\r\n";
  for (int i = 0; i < kShortFields; ++i) fields += "a:b\r\n";
  switch (number % kKinds) {
    case 0: return fields;
    case 1:
      return fields + "Content-Length: " + std::to_string(kAnnouncedBytes) + "\r\n\r\n" +
             std::string(kSentBytes, 'b');
    case 2: return "GET /nowhere HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    default: return {};
  }
}

}  // namespace

// Lives until its node closes it.
class Crowd::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, std::string text) : socket_(io), text_(std::move(text)) {}

  void open(const tcp::endpoint& node) {
    socket_.async_connect(node, [self = shared_from_this()](const error_code& failed) {
      if (failed) return;
      asio::async_write(self->socket_, asio::buffer(self->text_),
                        [self](const error_code&, std::size_t) {});
      self->read();
    });
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(answer_),
                            [self = shared_from_this()](const error_code& failed, std::size_t) {
                              if (failed) return void(self->socket_.close());
                              self->read();
                            });
  }

  tcp::socket socket_;
  std::string text_;
  std::array<char, 512> answer_{};
};

void Crowd::keep(const tcp::endpoint& node) {
  auto& connections = connections_[node];
  std::erase_if(connections, [](const auto& connection) { return connection.expired(); });
  while (connections.size() < connections_per_node_) {
    const auto connection = std::make_shared<Connection>(io_, text_of(++opened_));
    connections.push_back(connection);
    connection->open(node);
  }
}

}  // namespace petrelrail::lab
