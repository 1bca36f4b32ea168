// What duties say of themselves: who holds a term, and to whom it is given.
#include <algorithm>
#include <utility>

#include "duty.hpp"

namespace petrelrail::fleet {
namespace {

// Nodes far down the order are told of a holder in turn, each once in so many terms.
constexpr std::size_t kFarTerms = 16;

}  // namespace

void Duty::hear(const Holder& h) {
  const auto term = term_of(h.epoch);
  last_known_ = std::max(last_known_, term);
  vain_ = 0;
  if (const auto* before = heard_of(term); before != nullptr && before->epoch > h.epoch) return;
  std::erase_if(heard_, [&](const Holder& o) { return term_of(o.epoch) == term; });
  heard_.push_back(h);
}

void Duty::tell(Epoch epoch, bool far) {
  const auto say = [&](MemberId to) {
    if (to == self_) return;
    ++figures_.words_out;
    words_.push_back({to, {hash_, epoch, self_, false}});
  };
  const auto near = std::min(order_.size(), kFirst);
  for (std::size_t i = 0; i < near; ++i) say(order_[i]);
  if (!far || order_.size() == near) return;
  // In turn by the number of the term, whoever holds it.
  const auto rest = order_.size() - near, batch = (rest + kFarTerms - 1) / kFarTerms;
  for (std::size_t i = 0; i < batch; ++i) say(order_[near + (term_of(epoch) * batch + i) % rest]);
}

void Duty::heard(Time now, MemberId from, const LeaseEntry& w) {
  touch(now);
  const auto term = term_of(w.epoch), present = terms_.term_at(now);
  const bool gift = w.transferred && w.holder == self_;
  if (w.lease_id != hash_ || from == self_ || index_of(from) >= terms_.nodes ||
      term + 1 < present || term > present + 1 || !(gift || (!w.transferred && w.holder == from))) {
    ++figures_.words_odd;
    return;
  }
  ++figures_.words_in;
  if (gift) {
    if (take(now, w.epoch))
      words_.push_back({from, {hash_, w.epoch, self_, false}}), ++figures_.words_out;
  } else {
    std::erase_if(gifts_, [&](const Gift& g) {
      return g.heir == from && term_of(g.epoch) == term && w.epoch >= g.epoch;
    });
    hear({w.holder, w.epoch, terms_.begins(term + 1)});
  }
  step(now);
}

// Whether the giver may be told that it was taken, now or before.
bool Duty::take(Time now, Epoch epoch) {
  const auto term = term_of(epoch);
  if (const auto* r = right(term); r != nullptr && r->epoch >= epoch) return true;
  // One who began after the close may have taken it in an earlier life and given it on.
  if (!wanted_ || leaving_ || epoch % kGifts == 0 ||
      (began_ > terms_.closes(term) && !broken_.old_gifts))
    return false;
  if (claim_ && claim_->term == term) claim_.reset(), call_ = 0;
  ++figures_.taken;
  hold(now, epoch);
  return true;
}

void Duty::give(Time now) {
  const auto& heirs = heirs_.empty() ? order_ : heirs_;
  const auto heir = std::ranges::find_if(heirs, [&](MemberId m) { return m != self_; });
  if (heir == heirs.end() || !wanted_) return;
  const auto present = terms_.term_at(now);
  for (auto& r : rights_) {
    if (!r.mine || term_of(r.epoch) < present || (r.epoch + 1) % kGifts == 0) continue;
    r.mine = false, r.epoch += 1;
    ++figures_.given;
    gifts_.push_back({*heir, r.epoch, now});
    hear({*heir, r.epoch, terms_.begins(term_of(r.epoch) + 1)});
  }
}

void Duty::resign(Time now) {
  touch(now);
  if (std::exchange(leaving_, true)) return;
  // A claim that has never been written is none.
  if (claim_ && claim_->phase == Claim::Phase::claiming && call_ == 0 && !claim_->unknown)
    claim_.reset();
  give(now);
  step(now);
}

Duty::State Duty::hand_over(Time now) {
  State s{began_, rights_, claim_, heard_};
  for (auto& r : rights_) r.mine = false;
  claim_.reset(), call_ = 0, gifts_.clear();
  wanted_ = false;
  step(now);
  return s;
}

void Duty::take_over(Time now, const State& s) {
  touch(now);
  began_ = listens_ = s.began;
  rights_ = s.rights, claim_ = s.claim, heard_ = s.heard;
  unheard_ = claim_.has_value();
  claimed_ = std::max(claimed_, claim_ ? claim_->term : 0);
  for (const auto& h : heard_) last_known_ = std::max(last_known_, term_of(h.epoch));
  if (claim_) {
    claim_->unknown = claim_->phase != Claim::Phase::won;
    again_ = claim_->unknown ? now : terms_.confirms(claim_->term);
  }
  step(now);
}

}  // namespace petrelrail::fleet
