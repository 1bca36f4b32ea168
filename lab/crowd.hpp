// Clients that make edge nodes hold as much as they can: they stop in the middle of header fields
// or of a body, send unsound requests, or send nothing. They count in no statistics.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace petrelrail::lab {

class Crowd {
 public:
  Crowd(boost::asio::io_context& io, std::uint32_t connections_per_node)
      : io_(io), connections_per_node_(connections_per_node) {}

  // Opens the connections that are missing at a node. To be called from time to time.
  void keep(const boost::asio::ip::tcp::endpoint& node);

 private:
  class Connection;

  boost::asio::io_context& io_;
  std::uint32_t connections_per_node_;
  std::uint64_t opened_ = 0;
  std::map<boost::asio::ip::tcp::endpoint, std::vector<std::weak_ptr<Connection>>> connections_;
};

}  // namespace petrelrail::lab
