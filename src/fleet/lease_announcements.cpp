// Members of LeaderLease that announce holders to other nodes, and transfer terms to a successor
// when a node steps down or hands over to its next process.
#include <algorithm>
#include <utility>

#include "leader_lease.hpp"

namespace petrelrail::fleet {
namespace {

// Secondary nodes receive announcements in rotation, each once in this many terms.
constexpr std::size_t kSecondaryAnnounceTerms = 16;

}  // namespace

void LeaderLease::record_holder(const Holder& h) {
  const auto term = term_of(h.epoch);
  last_known_term_ = std::max(last_known_term_, term);
  lost_claims_ = 0;
  if (const auto* before = known_holder(term); before != nullptr && before->epoch > h.epoch) return;
  std::erase_if(known_holders_, [&](const Holder& o) { return term_of(o.epoch) == term; });
  known_holders_.push_back(h);
}

void LeaderLease::announce(FencingToken epoch, bool include_secondary) {
  const auto send_to = [&](MemberId to) {
    if (to == self_) return;
    ++stats_.announcements_sent;
    announcements_.push_back({to, {hash_, epoch, self_, false}});
  };
  const auto primary = std::min(claim_order_.size(), kPrimaryClaimants);
  for (std::size_t i = 0; i < primary; ++i) send_to(claim_order_[i]);
  if (!include_secondary || claim_order_.size() == primary) return;
  // The rotation follows the term number, so that it continues when the holder changes.
  const auto secondary = claim_order_.size() - primary,
             batch = (secondary + kSecondaryAnnounceTerms - 1) / kSecondaryAnnounceTerms;
  for (std::size_t i = 0; i < batch; ++i)
    send_to(claim_order_[primary + (term_of(epoch) * batch + i) % secondary]);
}

void LeaderLease::on_announcement(Time now, MemberId from, const LeaseEntry& entry) {
  ensure_started(now);
  const auto term = term_of(entry.epoch), present = config_.term_at(now);
  const bool is_transfer = entry.transferred && entry.holder == self_;
  if (entry.lease_id != hash_ || from == self_ || index_of(from) >= config_.nodes ||
      term + 1 < present || term > present + 1 ||
      !(is_transfer || (!entry.transferred && entry.holder == from))) {
    ++stats_.announcements_ignored;
    return;
  }
  ++stats_.announcements_received;
  if (is_transfer) {
    if (accept_transfer(now, entry.epoch))
      announcements_.push_back({from, {hash_, entry.epoch, self_, false}}),
          ++stats_.announcements_sent;
  } else {
    std::erase_if(transfers_, [&](const Transfer& t) {
      return t.successor == from && term_of(t.epoch) == term && entry.epoch >= t.epoch;
    });
    record_holder({entry.holder, entry.epoch, config_.term_start(term + 1)});
  }
  advance(now);
}

// Returns whether to acknowledge the transfer: this node accepts it now or did so before.
bool LeaderLease::accept_transfer(Time now, FencingToken epoch) {
  const auto term = term_of(epoch);
  if (const auto* r = own_term(term); r != nullptr && r->epoch >= epoch) return true;
  // If this process began after the claim deadline, an earlier process of this node may have
  // accepted the term and transferred it on.
  if (!is_candidate_ || is_stepping_down_ || epoch % kEpochsPerTerm == 0 ||
      (start_time_ > config_.claim_deadline(term) && !violations_.stale_transfers))
    return false;
  if (claim_ && claim_->term == term) claim_.reset(), pending_call_ = 0;
  ++stats_.transfers_accepted;
  acquire(now, epoch);
  return true;
}

void LeaderLease::start_transfers(Time now) {
  const auto& candidates = successors_.empty() ? claim_order_ : successors_;
  const auto successor = std::ranges::find_if(candidates, [&](MemberId m) { return m != self_; });
  if (successor == candidates.end() || !is_candidate_) return;
  const auto present = config_.term_at(now);
  for (auto& r : own_terms_) {
    if (!r.is_held || term_of(r.epoch) < present || (r.epoch + 1) % kEpochsPerTerm == 0) continue;
    r.is_held = false, r.epoch += 1;
    ++stats_.transfers_sent;
    transfers_.push_back({*successor, r.epoch, now});
    record_holder({*successor, r.epoch, config_.term_start(term_of(r.epoch) + 1)});
  }
}

void LeaderLease::step_down(Time now) {
  ensure_started(now);
  if (std::exchange(is_stepping_down_, true)) return;
  // A claim whose first call has not been sent can be dropped.
  if (claim_ && claim_->phase == Claim::Phase::claiming && pending_call_ == 0 &&
      !claim_->outcome_unknown)
    claim_.reset();
  start_transfers(now);
  advance(now);
}

LeaderLease::State LeaderLease::hand_over(Time now) {
  State s{start_time_, own_terms_, claim_, known_holders_};
  for (auto& r : own_terms_) r.is_held = false;
  claim_.reset(), pending_call_ = 0, transfers_.clear();
  is_candidate_ = false;
  advance(now);
  return s;
}

void LeaderLease::take_over(Time now, const State& s) {
  ensure_started(now);
  start_time_ = listening_since_ = s.start_time;
  own_terms_ = s.own_terms, claim_ = s.claim, known_holders_ = s.known_holders;
  last_call_unanswered_ = claim_.has_value();
  last_claimed_term_ = std::max(last_claimed_term_, claim_ ? claim_->term : 0);
  for (const auto& h : known_holders_)
    last_known_term_ = std::max(last_known_term_, term_of(h.epoch));
  if (claim_) {
    claim_->outcome_unknown = claim_->phase != Claim::Phase::won;
    next_call_time_ = claim_->outcome_unknown ? now : config_.confirmation_time(claim_->term);
  }
  advance(now);
}

}  // namespace petrelrail::fleet
