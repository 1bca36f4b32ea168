// Bytes received from a peer that are not parsed yet. Parsing may go on while a read is pending:
// consume() and clear() leave the memory where it is, as the pending read writes behind the bytes
// that are there. Not thread-safe.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace petrelrail {

class InputBuffer {
 public:
  std::size_t size() const { return buffer_.size() - consumed_; }
  std::size_t capacity() const { return buffer_.capacity(); }
  boost::asio::const_buffer data() const { return buffer_.data() + consumed_; }

  // Space for the next read; no read may be pending.
  boost::asio::mutable_buffer prepare(std::size_t bytes) {
    buffer_.consume(consumed_);
    consumed_ = 0;
    return buffer_.prepare(bytes);
  }
  // Frees the memory beyond what is buffered; no read may be pending.
  void release_spare() {
    buffer_.consume(consumed_);
    consumed_ = 0;
    buffer_.shrink_to_fit();
  }
  // The read has put that many bytes into the space.
  void commit(std::size_t bytes) { buffer_.commit(bytes); }

  void consume(std::size_t bytes) { consumed_ += bytes; }
  void clear() { consumed_ = buffer_.size(); }

 private:
  boost::beast::flat_buffer buffer_;
  std::size_t consumed_ = 0;  // of buffer_, from its start
};

}  // namespace petrelrail
