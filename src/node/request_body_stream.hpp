// A long body on its way from a client to a price server. The client's session puts pieces in, the
// server's connection takes them out, and neither runs ahead of the other by more than a few
// pieces.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limits.hpp"

namespace petrelrail {

class RequestBodyStream {
 public:
  explicit RequestBodyStream(std::optional<std::uint64_t> length) : length_(length) {}

  // For the session. `room` is told when more may come.
  void append(std::string_view piece) { buffered_.append(piece), notify(on_data_); }
  void finish() { complete_ = true, notify(on_data_); }
  void abort() { aborted_ = true, notify(on_data_); }
  bool is_full() const { return buffered_.size() >= limits::kStreamChunkBytes; }
  void set_capacity_callback(std::function<void()> room) { on_capacity_ = std::move(room); }

  // For the connection. `more` is told of each piece, of the end, and if there will be none.
  std::string take_chunk() {
    consumed_ = true;
    auto piece = std::exchange(buffered_, {});
    if (!piece.empty()) notify(on_capacity_);
    return piece;
  }
  void set_data_callback(std::function<void()> more) { on_data_ = std::move(more); }
  std::optional<std::uint64_t> length() const { return length_; }
  bool complete() const { return complete_; }
  bool aborted() const { return aborted_; }
  // Some has been taken: the body can't be sent a second time.
  bool consumed() const { return consumed_; }

 private:
  static void notify(const std::function<void()>& whom) {
    if (const auto known = whom) known();
  }

  std::optional<std::uint64_t> length_;  // none: not known before its end
  std::string buffered_;
  std::function<void()> on_capacity_, on_data_;
  bool complete_ = false, aborted_ = false, consumed_ = false;
};

}  // namespace petrelrail
