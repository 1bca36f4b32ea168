// Accounts for the memory that peers make a node hold, and decides what the node does as the total
// nears its budget. The budget follows from the process's memory limit. Every holder (a session, a
// request, a server connection, a table whose keys clients choose) charges what it holds here.
//
//   stage          from a share of the budget, the node also
//   -------------  --------------------------------------------------------------------------------
//   normal         -
//   conserve       reads a request to the end of what has arrived of it in one turn, streams in
//                  small pieces, and releases spare capacity of buffers
//   shed           answers incomplete requests, and large complete ones, with 503
//   close          closes incomplete requests, and answers every new one with 503
//
// The body of a request that waits for its attempt is read to its end as long as the total stays
// well below the first stage, so that a close behind it shows (client_presence.hpp).
//
// The incomplete requests that are given up first are those that occupy most memory for longest
// while their clients lag behind the lowest rate at which they may send. Incomplete ones go before
// a complete one is refused. An accepted request is never dropped: what it holds ends with its
// answer.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

enum class MemoryKind {
  input,      // sessions, and bytes received from clients that are not parsed yet
  fields,     // header fields of requests that are being read
  bodies,     // request bodies, being read or forwarded
  requests,   // accepted requests without their bodies
  answers,    // responses, received or being written
  customers,  // quota leases
  lists,      // lists from discovery that are being read
};
inline constexpr std::array<std::string_view, 7> kMemoryKindNames{
    "input", "fields", "bodies", "requests", "answers", "customers", "lists"};
static_assert(kMemoryKindNames.size() == static_cast<std::size_t>(MemoryKind::lists) + 1);

enum class OverloadStage { normal, conserve, shed, close };
// As in metrics and logs.
inline constexpr std::array<std::string_view, 4> kOverloadStageNames{"normal", "stop_reading",
                                                                     "shed", "close"};

// Why a request was not accepted, or input was not read, for the sake of a bound.
enum class SheddingReason {
  too_many_fields,     // 431: more header fields than the limit
  incomplete_request,  // 503: a request that is still being read, in stage shed
  complete_request,    // 503: a request that was read, in stage shed or close
  never_complete,      // closed: a request that is still being read, in stage close
  input_paused,        // reading was stopped
};
inline constexpr std::array<std::string_view, 5> kSheddingReasonNames{
    "too_many_fields", "incomplete_request", "complete_request", "never_complete", "input_paused"};
static_assert(kSheddingReasonNames.size() ==
              static_cast<std::size_t>(SheddingReason::input_paused) + 1);

// What a session holds whose request is not complete.
struct IncompleteRequest {
  std::size_t session = 0;  // the caller's number of the session
  std::size_t bytes = 0;
  Duration lag{};  // of its client, see ReceiveProgress
};

class OverloadManager {
 public:
  OverloadManager() = default;  // without a limit
  // `memory_limit`: of the process, in bytes; 0: none.
  explicit OverloadManager(std::size_t memory_limit) { set_memory_limit(memory_limit); }
  void set_memory_limit(std::size_t memory_limit);

  void charge(MemoryKind kind, std::size_t before, std::size_t after) {
    auto& held = held_[static_cast<std::size_t>(kind)];
    held += after - before;
    total_ += after - before;
    if (total_ > peak_) peak_ = total_;
    if (total_ >= next_stage_ || total_ < stage_end_) update_stage();
  }
  void count(SheddingReason reason) { ++sheddings_[static_cast<std::size_t>(reason)]; }

  OverloadStage stage() const { return stage_; }
  bool is_under_pressure() const { return stage_ != OverloadStage::normal; }
  bool has_limit() const { return budget_ != SIZE_MAX; }
  std::size_t budget() const { return budget_; }
  std::size_t total() const { return total_; }
  std::size_t peak() const { return peak_; }
  const auto& held() const { return held_; }            // by MemoryKind
  const auto& sheddings() const { return sheddings_; }  // by SheddingReason

  // Whether a complete request of that size may be accepted.
  bool may_accept(std::size_t bytes) const;
  // Whether more of a body may be read although no price server takes it yet. What such bodies hold
  // leaves most of the budget to requests that are still being read.
  bool may_hold_body() const { return total_ < max_total_with_held_bodies_; }
  // The sessions whose incomplete requests are given up now, until the total leaves the present
  // stage: those with the largest product of bytes and lag, of equal ones the largest. Before the
  // last stage, small ones that keep arriving are spared.
  std::vector<std::size_t> choose_victims(std::vector<IncompleteRequest> requests) const;
  // How many entries of that size the table of quota leases may hold.
  std::size_t max_customers(std::size_t bytes_each) const;
  // How much may be remembered of requests that are over, at most `limit`.
  std::size_t max_history_bytes(std::size_t limit) const;
  // The longest line of a list that may be buffered, at most `limit`.
  std::size_t max_list_bytes(std::size_t limit) const;

 private:
  void update_stage();
  std::size_t share_of_budget(double share) const;

  std::size_t budget_ = SIZE_MAX;
  std::size_t total_ = 0, peak_ = 0;
  std::size_t next_stage_ = SIZE_MAX, stage_end_ = 0;  // totals at which the stage changes
  std::size_t max_total_with_held_bodies_ = SIZE_MAX;
  OverloadStage stage_ = OverloadStage::normal;
  std::array<std::size_t, kMemoryKindNames.size()> held_{};
  std::array<std::uint64_t, kSheddingReasonNames.size()> sheddings_{};
};

// What one holder has charged. Releases it when it is destroyed; it may outlive the node.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::shared_ptr<OverloadManager> manager) : manager_(std::move(manager)) {}
  ~MemoryAccount() { release(); }
  MemoryAccount(MemoryAccount&& other) noexcept
      : manager_(std::move(other.manager_)), held_(std::exchange(other.held_, {})) {}
  MemoryAccount& operator=(MemoryAccount&& other) noexcept {
    release();
    manager_ = std::move(other.manager_);
    held_ = std::exchange(other.held_, {});
    return *this;
  }
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // The holder now holds that many bytes of this kind.
  void set(MemoryKind kind, std::size_t bytes) {
    auto& held = held_[static_cast<std::size_t>(kind)];
    if (held == bytes) return;
    manager_->charge(kind, held, bytes);
    held = bytes;
  }
  std::size_t total() const {
    std::size_t bytes = 0;
    for (const auto held : held_) bytes += held;
    return bytes;
  }
  OverloadManager& manager() const { return *manager_; }

 private:
  void release() {
    if (!manager_) return;
    for (std::size_t kind = 0; kind < held_.size(); ++kind) set(static_cast<MemoryKind>(kind), 0);
  }

  std::shared_ptr<OverloadManager> manager_;
  std::array<std::size_t, kMemoryKindNames.size()> held_{};  // by MemoryKind
};

}  // namespace petrelrail::policy
