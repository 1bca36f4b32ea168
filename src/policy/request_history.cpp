#include "policy/request_history.hpp"

#include <chrono>
#include <utility>

namespace petrelrail::policy {
namespace {

// For how long a client that has left may come again.
constexpr Duration kRetention = std::chrono::seconds(20);
// Of the containers, for one entry.
constexpr std::size_t kEntryOverheadBytes = 128;

}  // namespace

std::size_t RequestHistory::bytes_of(const Entry& entry) {
  return sizeof(Entry) + entry.id.size() + kEntryOverheadBytes;
}

RequestHistory::Entry RequestHistory::make_entry(Time now, std::string id,
                                                 const RequestClass& request_class,
                                                 Time first_forwarded) {
  return {std::move(id), request_class.idempotency, request_class.deduplication_scope,
          first_forwarded + request_class.deduplication_window, now + kRetention};
}

void RequestHistory::remember(Entry entry) {
  if (by_id_.contains(entry.id)) return;
  bytes_ += bytes_of(entry);
  entries_.push_back(std::move(entry));
  by_id_.emplace(entries_.back().id, &entries_.back());
  while (bytes_ > max_bytes_ && !entries_.empty()) forget_oldest();
}

bool RequestHistory::may_forward(Time now, std::string_view id) {
  while (!entries_.empty() && entries_.front().forget_time <= now) forget_oldest();
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return true;
  const auto& entry = *it->second;
  return entry.idempotency == Idempotency::idempotency_key &&
         entry.scope == DeduplicationScope::all && now < entry.deduplication_deadline;
}

void RequestHistory::forget_oldest() {
  bytes_ -= bytes_of(entries_.front());
  by_id_.erase(entries_.front().id);
  entries_.pop_front();
}

}  // namespace petrelrail::policy
