#include "policy/overload_manager.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace petrelrail::policy {
namespace {

// The rest is for the program itself, the allocator's overhead and what answers still add to
// requests that are accepted.
constexpr double kBudgetShare = 0.4;
// From this share of the budget a stage is entered, and below this one it is left; by stage.
constexpr std::array kEnterShares{0.0, 0.6, 0.75, 0.9};
constexpr std::array kLeaveShares{0.0, 0.5, 0.65, 0.8};
// A request up to this size, in bytes, is accepted until the last stage.
constexpr std::size_t kSmallRequestBytes = 24 * 1024;
// A client that lags by no more than this keeps sending.
constexpr Duration kMaxLagOfSender = std::chrono::milliseconds(100);
// Of the total up to which bodies are read that no price server takes yet.
constexpr double kHeldBodiesShare = 0.4;
constexpr double kCustomersShare = 0.25;
constexpr double kHistoryShare = 0.05;
// A parsed list takes several times its text.
constexpr double kListShare = 0.15;

// What the memory of a request costs others while its client does not send: bytes times seconds.
double waste(const IncompleteRequest& request) {
  return static_cast<double>(request.bytes) * std::chrono::duration<double>(request.lag).count();
}

}  // namespace

void OverloadManager::set_memory_limit(std::size_t memory_limit) {
  budget_ = memory_limit == 0
                ? SIZE_MAX
                : static_cast<std::size_t>(kBudgetShare * static_cast<double>(memory_limit));
  max_total_with_held_bodies_ = share_of_budget(kHeldBodiesShare);
  update_stage();
}

std::size_t OverloadManager::share_of_budget(double share) const {
  return budget_ == SIZE_MAX ? SIZE_MAX
                             : static_cast<std::size_t>(share * static_cast<double>(budget_));
}

void OverloadManager::update_stage() {
  auto stage = static_cast<std::size_t>(stage_);
  while (stage + 1 < kEnterShares.size() && total_ >= share_of_budget(kEnterShares[stage + 1]))
    ++stage;
  while (stage > 0 && total_ < share_of_budget(kLeaveShares[stage])) --stage;
  stage_ = static_cast<OverloadStage>(stage);
  next_stage_ = stage + 1 < kEnterShares.size() ? share_of_budget(kEnterShares[stage + 1])
                                                : SIZE_MAX;
  stage_end_ = stage > 0 ? share_of_budget(kLeaveShares[stage]) : 0;
}

bool OverloadManager::may_accept(std::size_t bytes) const {
  if (stage_ == OverloadStage::close) return false;
  return stage_ != OverloadStage::shed || bytes <= kSmallRequestBytes;
}

std::vector<std::size_t> OverloadManager::choose_victims(
    std::vector<IncompleteRequest> requests) const {
  std::vector<std::size_t> victims;
  if (stage_ < OverloadStage::shed) return victims;
  if (stage_ == OverloadStage::shed) {
    std::erase_if(requests, [](const auto& request) {
      return request.bytes <= kSmallRequestBytes && request.lag <= kMaxLagOfSender;
    });
  }
  std::ranges::sort(requests, std::greater(), [](const auto& request) {
    return std::tuple(waste(request), request.bytes, request.session);
  });
  auto remaining = total_;
  for (const auto& request : requests) {
    if (remaining < stage_end_) break;
    victims.push_back(request.session);
    remaining -= std::min(remaining, request.bytes);
  }
  return victims;
}

std::size_t OverloadManager::max_customers(std::size_t bytes_each) const {
  const auto bytes = share_of_budget(kCustomersShare);
  return bytes == SIZE_MAX ? SIZE_MAX : std::max<std::size_t>(1, bytes / bytes_each);
}

std::size_t OverloadManager::max_history_bytes(std::size_t limit) const {
  return std::min(limit, share_of_budget(kHistoryShare));
}

std::size_t OverloadManager::max_list_bytes(std::size_t limit) const {
  return std::min(limit, share_of_budget(kListShare));
}

}  // namespace petrelrail::policy
