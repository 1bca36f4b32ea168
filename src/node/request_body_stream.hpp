// A request body that is streamed from a client to a price server. The client's session appends
// chunks, the server connection drains them. Once a part was drained the buffer is bounded to a few
// chunks; before, while the request waits for its attempt, it holds what memory permits, so that
// the session reads on and sees a close behind the body. Both run on the thread of the io_context.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limits.hpp"
#include "petrelrail/types.hpp"
#include "policy/body_arrival.hpp"
#include "policy/overload_manager.hpp"

namespace petrelrail {

class RequestBodyStream {
 public:
  // `memory` is charged for what is buffered; by default nothing limits it. `started`: when the
  // first part of the request was read.
  explicit RequestBodyStream(std::optional<std::uint64_t> length,
                             policy::MemoryAccount memory =
                                 policy::MemoryAccount(std::make_shared<policy::OverloadManager>()),
                             Time started = {})
      : length_(length),
        memory_(std::move(memory)),
        arrival_(started, {limits::kMaxSendBufferBytes, limits::kMaxSocketBufferBytes}) {}

  // Used by the session. The capacity callback is called when more may be appended.
  void append(std::string chunk) {
    if (!chunk.empty()) buffer(std::move(chunk));
    notify(on_data_);
  }
  // The last byte has arrived, though it may not have been appended yet.
  void on_last_byte() { notify(on_data_); }
  void finish() { complete_ = true, notify(on_data_); }
  void abort() { aborted_ = true, notify(on_data_); }
  bool is_full() const {
    const auto& manager = memory_.manager();
    if (buffered_bytes_ <
        (manager.is_under_pressure() ? limits::kReadBufferBytes : limits::kStreamChunkBytes))
      return false;
    return consumed_ || !manager.may_hold_body();
  }
  policy::BodyArrival& arrival() { return arrival_; }
  // While the stream is full, the session reads nothing from its client.
  void pause_reading(Time now) {
    if (reading_paused_time_) return;
    reading_paused_time_ = now;
    notify(on_data_);
  }
  // Since when the last byte may lie unread in the sockets' buffers; none: it can't lie there.
  void set_last_byte_hidden_since(std::optional<Time> since) { last_byte_hidden_since_ = since; }
  // Returns for how long reading was paused.
  Duration resume_reading(Time now) {
    const auto paused = std::exchange(reading_paused_time_, std::nullopt);
    return paused ? now - *paused : Duration{};
  }
  void set_capacity_callback(std::function<void()> callback) { on_capacity_ = std::move(callback); }

  // Used by the connection. The data callback is called for each chunk, the end, a pause of reading
  // and an abort.
  std::string drain_chunk() {
    consumed_ = true;
    if (buffered_.empty()) return {};
    auto chunk = std::move(buffered_.front());
    buffered_.pop_front();
    buffered_bytes_ -= chunk.size();
    memory_.set(policy::MemoryKind::bodies, memory_.total() - chunk.capacity());
    if (!is_full()) notify(on_capacity_);
    return chunk;
  }
  // Everything that was appended was drained.
  bool empty() const { return buffered_.empty(); }
  void set_data_callback(std::function<void()> callback) { on_data_ = std::move(callback); }
  std::optional<std::uint64_t> length() const { return length_; }
  bool complete() const { return complete_; }
  bool aborted() const { return aborted_; }
  std::optional<Time> last_byte_hidden_since() const { return last_byte_hidden_since_; }
  // An attempt has begun to drain it, so the body can't be sent a second time.
  bool consumed() const { return consumed_; }

 private:
  // Small parts are put together, so that each chunk is worth a write.
  void buffer(std::string part) {
    buffered_bytes_ += part.size();
    const bool fits = !buffered_.empty() &&
                      buffered_.back().size() + part.size() <= limits::kStreamChunkBytes;
    const auto held_before = fits ? buffered_.back().capacity() : 0;
    if (fits)
      buffered_.back().append(part);
    else
      buffered_.push_back(std::move(part));
    memory_.set(policy::MemoryKind::bodies,
                memory_.total() + buffered_.back().capacity() - held_before);
  }
  // Copied, because the callback may replace itself.
  static void notify(const std::function<void()>& callback) {
    if (const auto copy = callback) copy();
  }

  std::optional<std::uint64_t> length_;  // none: unknown
  std::deque<std::string> buffered_;
  std::size_t buffered_bytes_ = 0;
  policy::MemoryAccount memory_;
  policy::BodyArrival arrival_;
  std::optional<Time> reading_paused_time_, last_byte_hidden_since_;
  std::function<void()> on_capacity_, on_data_;
  bool complete_ = false, aborted_ = false, consumed_ = false;
};

}  // namespace petrelrail
