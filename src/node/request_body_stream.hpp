// A request body that is streamed from a client to a price server. The client's session appends
// chunks, the server connection drains them; the buffer is bounded to a few chunks. Both run on the
// thread of the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limits.hpp"
#include "petrelrail/types.hpp"
#include "policy/overload_manager.hpp"

namespace petrelrail {

class RequestBodyStream {
 public:
  // `memory` is charged for what is buffered; by default nothing limits it.
  explicit RequestBodyStream(std::optional<std::uint64_t> length,
                             policy::MemoryAccount memory =
                                 policy::MemoryAccount(std::make_shared<policy::OverloadManager>()))
      : length_(length), memory_(std::move(memory)) {}

  // Used by the session. The capacity callback is called when more may be appended.
  void append(std::string_view chunk) {
    buffered_.append(chunk);
    memory_.set(policy::MemoryKind::bodies, buffered_.capacity());
    notify(on_data_);
  }
  // The last byte has arrived, though it may not have been appended yet.
  void on_last_byte() { notify(on_data_); }
  void finish() { complete_ = true, notify(on_data_); }
  void abort() { aborted_ = true, notify(on_data_); }
  bool is_full() const {
    return buffered_.size() >= (memory_.manager().is_under_pressure() ? limits::kReadBufferBytes
                                                                      : limits::kStreamChunkBytes);
  }
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
    auto chunk = std::exchange(buffered_, {});
    memory_.set(policy::MemoryKind::bodies, 0);
    if (!chunk.empty()) notify(on_capacity_);
    return chunk;
  }
  void set_data_callback(std::function<void()> callback) { on_data_ = std::move(callback); }
  std::optional<std::uint64_t> length() const { return length_; }
  bool complete() const { return complete_; }
  bool aborted() const { return aborted_; }
  std::optional<Time> last_byte_hidden_since() const { return last_byte_hidden_since_; }
  // A part was drained, so the body can't be sent a second time.
  bool consumed() const { return consumed_; }

 private:
  // Copied, because the callback may replace itself.
  static void notify(const std::function<void()>& callback) {
    if (const auto copy = callback) copy();
  }

  std::optional<std::uint64_t> length_;  // none: unknown
  std::string buffered_;
  policy::MemoryAccount memory_;
  std::optional<Time> reading_paused_time_, last_byte_hidden_since_;
  std::function<void()> on_capacity_, on_data_;
  bool complete_ = false, aborted_ = false, consumed_ = false;
};

}  // namespace petrelrail
