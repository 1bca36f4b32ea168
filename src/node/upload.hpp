// A long body on its way from a client to a price server. The client's session puts pieces in, the server's
// connection takes them out, and neither runs ahead of the other by more than a few pieces.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "facts.hpp"

namespace petrelrail {

class Upload {
 public:
  explicit Upload(std::optional<std::uint64_t> length) : length_(length) {}

  // For the session. `room` is told when more may come.
  void put(std::string_view piece) { held_.append(piece), tell(more_); }
  void end() { whole_ = true, tell(more_); }
  void break_off() { broken_ = true, tell(more_); }
  bool full() const { return held_.size() >= facts::kPiece; }
  void on_room(std::function<void()> room) { room_ = std::move(room); }

  // For the connection. `more` is told of each piece, of the end, and if there will be none.
  std::string take() {
    begun_ = true;
    auto piece = std::exchange(held_, {});
    if (!piece.empty()) tell(room_);
    return piece;
  }
  void on_more(std::function<void()> more) { more_ = std::move(more); }
  std::optional<std::uint64_t> length() const { return length_; }
  bool whole() const { return whole_; }
  bool broken() const { return broken_; }
  // Some has been taken: the body can't be sent a second time.
  bool begun() const { return begun_; }

 private:
  static void tell(const std::function<void()>& whom) {
    if (const auto known = whom) known();
  }

  std::optional<std::uint64_t> length_;  // none: not known before its end
  std::string held_;
  std::function<void()> room_, more_;
  bool whole_ = false, broken_ = false, begun_ = false;
};

}  // namespace petrelrail
