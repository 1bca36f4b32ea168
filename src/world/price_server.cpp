#include "price_server.hpp"

#include <algorithm>
#include <cmath>

namespace petrelrail::world {
namespace {

using namespace std::chrono_literals;

constexpr double kWorkTolerance = 1e-9;  // seconds of work within which a finish mark is reached
constexpr Duration kWarmUpStep = 50ms;   // capacity of a cold server is constant for one step
constexpr double kOverloadSlack = 0.1;   // share of the bound: "with a little slack for chance"
constexpr double kOverloadRequests = 3;  // slack in multiples of the largest recent request

}  // namespace

PriceServer::PriceServer(const ServerConfig& config, double speed, std::uint32_t slots,
                         std::uint32_t queue)
    : config_(config), speed_(speed), slots_(slots), queue_(queue) {}

void PriceServer::start(Time now, double initial_share, Duration warm_up) {
  stop(Phase::serving);
  started_at_ = now, advanced_to_ = now, initial_share_ = initial_share, warm_up_ = warm_up;
}

void PriceServer::stop(Phase as) {
  phase_ = as;
  working_.clear(), finish_marks_.clear(), waiting_.clear(), recent_load_.clear();
  connections_ = 0;
}

double PriceServer::capacity(Time now) const {
  double initial_share = 1;
  if (is_cold(now))
    initial_share = initial_share_ +
                    (1 - initial_share_) * seconds(now - started_at_) / seconds(warm_up_);
  return config_.cores * speed_ * initial_share;
}

std::uint32_t PriceServer::max_connections() const {
  return static_cast<std::uint32_t>(std::max(1.0, config_.connections_per_core * config_.cores));
}

double PriceServer::rate_per_request(Time now) const {
  const double n = static_cast<double>(working_.size());
  if (n == 0) return 0;
  const double excess = static_cast<double>(request_count()) / config_.cores - config_.thrash_at;
  double efficiency = 1 / (1 + config_.thrash * std::max(0.0, excess) / config_.thrash_at);
  efficiency *= 1 - config_.full_tax *
                        std::min(1.0, static_cast<double>(connections_) / max_connections());
  return capacity(now) * efficiency / slowdown_ / std::max(n, config_.cores);
}

void PriceServer::start_queued(Time now, std::vector<Done>* rejected) {
  while (!waiting_.empty() && working_.size() < slots_) {
    const auto w = waiting_.front();
    waiting_.pop_front();
    if (config_.drops_expired && w.deadline <= now && rejected != nullptr) {
      rejected->push_back({w.job, false, now});
      continue;
    }
    finish_marks_.emplace(w.job, progress_ + w.work);
    working_.emplace(progress_ + w.work, w.job);
  }
}

bool PriceServer::accept(Time now, JobId job, double work, Time deadline) {
  if (phase_ != Phase::serving) return false;
  if (working_.empty()) advanced_to_ = std::max(advanced_to_, now);
  if (working_.size() >= slots_ && waiting_.size() >= queue_) return false;
  waiting_.push_back({job, std::max(work, 1e-6), deadline});
  start_queued(now, nullptr);
  return true;
}

void PriceServer::cancel(Time now, JobId job) {
  if (const auto it = finish_marks_.find(job); it != finish_marks_.end()) {
    working_.erase({it->second, job});
    finish_marks_.erase(it);
    start_queued(now, nullptr);
    return;
  }
  std::erase_if(waiting_, [&](const auto& w) { return w.job == job; });
}

bool PriceServer::record_load(Time now, double work, bool informed) {
  if (!is_reachable() || !is_cold(now)) {
    recent_load_.clear();
    return false;
  }
  const auto span = from_seconds(config_.fall_s);
  while (!recent_load_.empty() && recent_load_.front().at < now - span) recent_load_.pop_front();
  recent_load_.push_back({now, work, informed});
  double sum = 0, informed_sum = 0, largest = 0;
  for (const auto& p : recent_load_) {
    sum += p.work, informed_sum += p.informed ? p.work : 0;
    largest = std::max(largest, p.work);
  }
  const double bound = config_.fall_multiple * capacity(now) * config_.fall_s;
  if (sum <= bound * (1 + kOverloadSlack) + kOverloadRequests * largest) return false;
  informed_share_ = informed_sum / sum;
  stop(Phase::crashed);
  return true;
}

std::optional<Time> PriceServer::next_event_time() const {
  if (working_.empty()) return std::nullopt;
  const double p = rate_per_request(advanced_to_);
  const double left = std::max(0.0, working_.begin()->first - progress_);
  const auto delay = from_seconds(std::min(left / std::max(p, 1e-9), 3600.0)) + Duration(1);
  return advanced_to_ + (is_cold(advanced_to_) ? std::min(delay, kWarmUpStep) : delay);
}

std::vector<PriceServer::Done> PriceServer::advance(Time now) {
  std::vector<Done> done;
  while (!working_.empty() && advanced_to_ < now) {
    const double p = rate_per_request(advanced_to_);
    const double left = std::max(0.0, working_.begin()->first - progress_);
    auto step = std::min(from_seconds(std::min(left / std::max(p, 1e-9), 3600.0)) + Duration(1),
                         now - advanced_to_);
    if (is_cold(advanced_to_)) step = std::min(step, kWarmUpStep);
    advanced_to_ += step;
    progress_ += p * seconds(step);
    while (!working_.empty() && working_.begin()->first <= progress_ + kWorkTolerance) {
      const auto job = working_.begin()->second;
      working_.erase(working_.begin());
      finish_marks_.erase(job);
      done.push_back({job, true, advanced_to_});
    }
    start_queued(advanced_to_, &done);
  }
  advanced_to_ = std::max(advanced_to_, now);
  return done;
}

}  // namespace petrelrail::world
