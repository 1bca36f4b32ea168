// Remembers which requests may have run although their clients have no answer, by the clients' ids.
// A client that has left may come again with the same id; a request that may not run twice is then
// not forwarded. The table is bounded, as clients choose the ids; the oldest entries go first.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "petrelrail/settings.hpp"

namespace petrelrail::policy {

class RequestHistory {
 public:
  struct Entry {
    std::string id;
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope scope = DeduplicationScope::all;
    Time deduplication_deadline{};  // until when the servers of the scope know the key
    Time forget_time{};
  };

  // Whether the entry of a request of this class would ever keep it from being forwarded again.
  static bool is_relevant(const RequestClass& request_class) {
    return request_class.idempotency != Idempotency::idempotent;
  }
  void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }

  RequestHistory() = default;
  RequestHistory(const RequestHistory&) = delete;
  RequestHistory& operator=(const RequestHistory&) = delete;

  // `first_forwarded`: when the first attempt that may have run was forwarded.
  static Entry make_entry(Time now, std::string id, const RequestClass& request_class,
                          Time first_forwarded);
  void remember(Entry entry);
  // Whether a request of this id may be forwarded: it has not run, or may run again.
  bool may_forward(Time now, std::string_view id);

  std::size_t bytes() const { return bytes_; }
  const std::deque<Entry>& entries() const { return entries_; }

 private:
  static std::size_t bytes_of(const Entry& entry);
  void forget_oldest();

  std::size_t max_bytes_ = static_cast<std::size_t>(-1), bytes_ = 0;
  std::deque<Entry> entries_;  // in the order in which they were added
  std::unordered_map<std::string_view, const Entry*> by_id_;  // into entries_
};

}  // namespace petrelrail::policy
