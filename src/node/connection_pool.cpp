#include "connection_pool.hpp"

#include <algorithm>

#include "limits.hpp"
#include "upstream_connection.hpp"

namespace petrelrail {

ConnectionPool::~ConnectionPool() {
  for (const auto& c : idle_) c->abandon();
  for (const auto& c : busy_) c->abandon();
}

Time ConnectionPool::idle_since() const {
  return idle_.empty() ? Time::max() : idle_.front()->idle_since();
}

void ConnectionPool::set_address(const Tcp::endpoint& address, std::optional<Time> start_time) {
  const bool address_changed = address != address_;
  const bool restarted = start_time && (!start_time_ || *start_time > *start_time_);
  address_ = address;
  if (restarted) start_time_ = start_time;
  if (!address_changed && !restarted) return;
  ++incarnation_;
  min_idle_time_deadline_ = {};
  close_all_idle();
}

ConnectionPool::Connection ConnectionPool::acquire(Time now, Duration limit) {
  while (!idle_.empty()) {
    const bool requires_min_idle = now < min_idle_time_deadline_;
    const Time latest_idle_start = now - (requires_min_idle ? min_idle_time_
                                                            : limits::kPreferredIdleTime);
    const auto end = std::ranges::upper_bound(idle_, latest_idle_start, {},
                                              &UpstreamConnection::idle_since);
    const auto rested_count = static_cast<std::size_t>(end - idle_.begin());
    if (requires_min_idle && rested_count == 0) break;
    const auto at = rested_count == 0 ? 0 : rested_count - 1;
    if (now - idle_[at]->idle_since() < limit && idle_[at]->is_usable()) {
      auto c = remove_idle_at(at);
      busy_.push_back(c);
      ++stats_.reuses;
      return c;
    }
    close_idle_at(at);
  }
  return nullptr;
}

void ConnectionPool::on_connecting(const Connection& c) {
  busy_.push_back(c);
  ++stats_.open, ++stats_.connecting, ++stats_.handshakes;
}

void ConnectionPool::on_connected() { --stats_.connecting; }

void ConnectionPool::return_idle(const Connection& c) {
  std::erase(busy_, c);
  const auto at = idle_.insert(
      std::ranges::upper_bound(idle_, c->idle_since(), {}, &UpstreamConnection::idle_since), c);
  ++stats_.idle;
  if (c->incarnation() != incarnation_) close_idle_at(static_cast<std::size_t>(at - idle_.begin()));
}

void ConnectionPool::remove(const Connection& c, bool connecting) {
  if (const auto at = std::ranges::find(idle_, c); at != idle_.end()) {
    idle_.erase(at);
    --stats_.idle;
  } else if (std::erase(busy_, c) == 0) {
    return;
  }
  --stats_.open;
  if (connecting) --stats_.connecting;
}

std::size_t ConnectionPool::release_idle(std::size_t keep) {
  std::size_t closed_count = 0;
  for (; idle_.size() > keep; ++closed_count) {
    const auto c = idle_.front();
    c->close(AttemptOutcome::reset, AttemptEndReason::cancelled);
  }
  stats_.released += closed_count;
  return closed_count;
}

void ConnectionPool::on_unsolicited_data(Time now, Time since) {
  if (now >= min_idle_time_deadline_) min_idle_time_ = limits::kMinIdleAfterUnsolicitedData;
  min_idle_time_ = std::min(std::max(min_idle_time_, 2 * (now - since)),
                            limits::kMaxIdleAfterUnsolicitedData);
  min_idle_time_deadline_ = now + limits::kUnsolicitedDataRetention;
}

void ConnectionPool::close_all_idle() {
  while (!idle_.empty()) close_idle_at(idle_.size() - 1);
}

void ConnectionPool::close_idle(const Connection& c) {
  if (const auto at = std::ranges::find(idle_, c); at != idle_.end())
    close_idle_at(static_cast<std::size_t>(at - idle_.begin()));
}

void ConnectionPool::close_expired(Time now, Duration limit) {
  while (!idle_.empty() && now - idle_.front()->idle_since() >= limit) close_idle_at(0);
}

ConnectionPool::Connection ConnectionPool::remove_idle_at(std::size_t index) {
  auto c = std::move(idle_[index]);
  idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(index));
  --stats_.idle;
  return c;
}

void ConnectionPool::close_idle_at(std::size_t index) {
  const auto c = idle_[index];
  ++stats_.stale_drops;
  c->close(AttemptOutcome::reset, AttemptEndReason::cancelled);
}

}  // namespace petrelrail
