// Body type for Boost.Beast parsers whose content the owner moves out while it is still arriving.
// Used for client requests and price servers' responses.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

#include "net.hpp"

namespace petrelrail {

// Reserves no memory for the announced length.
struct ChunkBody {
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }
  class reader {
   public:
    template <bool isRequest, class Fields>
    explicit reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
        : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, error_code& failed) { failed = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& failed) {
      failed = {};
      std::size_t bytes = 0;
      for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers);
           ++it) {
        const asio::const_buffer part(*it);
        body_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }
    void finish(error_code& failed) { failed = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace petrelrail
