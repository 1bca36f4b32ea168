#include "duty.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLongestName = 64;
constexpr Duration kLongestNumber = 60s;  // that the counter keeps a number
// Amounts lie between these, so that no sum of several is one of them, and the counter's seven
// digits hold each.
constexpr std::uint64_t kLeast = 4'500'000, kSpan = 4'500'000;

// Of a term. A holder claims in the middle, so that those who follow can still tell by three
// quarters that it did not, and early enough for several tries.
constexpr double kHolder = 0.4, kHolderSpan = 0.2;
// Those who follow a holder that was heard of; each waits for the one before it: a call and a word
// take less than the step.
constexpr double kFollower = 0.75, kStep = 0.05;
constexpr std::size_t kFollowers = 3;  // that have time to be answered before the close
// Where no holder of the term was heard of there may be one all the same, behind a cut: its claim
// comes first, or two nodes that don't hear each other would take every other term from each other.
constexpr double kVacant = 0.62;
// The holder's claim is told twice before those who follow look, as words get lost.
constexpr double kAgain = 0.68;
// Who sees no majority claims last: whoever else can, has.
constexpr double kMinority = 0.86;
constexpr double
    kJitter = 0.02;  // of a term: two nodes may take themselves for the same in the order
constexpr std::uint32_t
    kMostVain = 4;  // doublings of the terms between two claims against one who is not heard
constexpr std::uint32_t kMostDoublings = 3;  // of the pause between two calls
// Nodes far down the order, who hear of a holder once in kFarTerms, claim only after so many
// without a word: where none of the first needs the duty. Then a few in each term.
constexpr std::uint64_t kFarSilent = 40;

std::uint64_t hash_of(const std::string& text) {  // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix_hash(h);
}
bool same(double a, double b) { return std::abs(a - b) < 0.5; }
template <class... Values>
std::uint64_t mixed(std::uint64_t h, Values... values) {
  ((h = mix_hash(h ^ static_cast<std::uint64_t>(values))), ...);
  return h;
}
std::int64_t number(Time t) { return t.time_since_epoch().count(); }

}  // namespace

void validate(const DutyTerms& t) {
  const auto require = [](bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(std::string("duty: ") + what);
  };
  require(t.nodes >= 1 && t.nodes <= 65536, "nodes must be from 1 to 65536");
  require(t.clocks >= 0ns, "clocks: the bound must not be negative");
  require(t.counter_timeout > 0ns, "counter_timeout must be above 0");
  // Names must outlast the term that is claimed, and the confirmation that of its term.
  require(t.life > 0ns && 2 * t.life <= kLongestNumber, "life must be above 0 and at most 30 s");
  // Room for the holder's second try before the close, and for the confirmation before the next
  // claim.
  require(2 * t.clocks + 2 * t.counter_timeout <= t.term() / 4,
          "life is too short: two times clocks and counter_timeout together must fit into a sixth "
          "of it");
}

std::uint32_t duty_hash(const std::string& name) {
  return static_cast<std::uint32_t>(hash_of(name) >> 32U);
}

Duty::Duty(DutyTerms terms, std::string name, MemberId self, std::uint64_t seed, DutyBroken broken)
    : terms_(terms),
      name_(std::move(name)),
      self_(self),
      seed_(seed),
      broken_(broken),
      hash_(duty_hash(name_)) {
  validate(terms_);
  if (name_.empty() || name_.size() > kLongestName)
    throw std::invalid_argument("duty: its name must have 1 to 64 bytes");
  if (index_of(self_) >= terms_.nodes)
    throw std::invalid_argument("duty: member " + std::to_string(index_of(self_)) + " of " +
                                std::to_string(terms_.nodes) + " nodes");
}

std::uint64_t Duty::draw(std::uint64_t below) {
  return mix_hash(seed_ + mix_hash(++draws_)) % below;
}
double Duty::part_of(std::uint64_t term) const {
  return static_cast<double>(mix_hash(seed_ ^ mix_hash(term)) >> 11U) * 0x1p-53;
}
// Different nodes never have the same one; two processes of one number draw it apart.
double Duty::amount() {
  if (broken_.plain_amounts) return static_cast<double>(index_of(self_) + 1);
  return static_cast<double>(kLeast + terms_.nodes * draw(kSpan / terms_.nodes) + index_of(self_));
}
Duration Duty::pause() {  // between two calls for one claim: longer and longer
  const auto step = terms_.term() / 40 * (1 << std::min(tries_++, kMostDoublings));
  return step +
         Duration(static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(step.count()) + 1)));
}

const Duty::Right* Duty::right(std::uint64_t term) const {
  const auto it = std::ranges::find_if(rights_,
                                       [&](const Right& r) { return term_of(r.epoch) == term; });
  return it == rights_.end() ? nullptr : &*it;
}
const Duty::Holder* Duty::heard_of(std::uint64_t term) const {
  const auto it = std::ranges::find_if(heard_,
                                       [&](const Holder& h) { return term_of(h.epoch) == term; });
  return it == heard_.end() ? nullptr : &*it;
}

void Duty::touch(Time now) {
  if (began_ != Time{}) return;
  began_ = listens_ = now;
  last_known_ = terms_.term_at(now);
}

void Duty::want(Time now, bool wanted) {
  touch(now);
  wanted_ = wanted;
  if (!wanted) claim_.reset(), call_ = 0;
  step(now);
}

void Duty::view(Time now, const MembershipView& v) {
  touch(now);
  order_.clear(), heirs_.clear();
  const auto salt = hash_of(name_);
  std::vector<std::pair<std::uint64_t, MemberId>> ranked;
  const auto count = std::min<std::size_t>(v.members ? v.members->size() : 0, terms_.nodes);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& s = (*v.members)[i];
    const auto id = MemberId(static_cast<std::uint16_t>(i));
    if (id == self_ || (s.state.known() && s.state.status <= MemberStatus::suspect && s.stable))
      ranked.emplace_back(mix_hash(salt ^ mix_hash(i)), id);
  }
  std::ranges::sort(ranked);
  const bool begins = rank_ == SIZE_MAX, was_first = first();
  rank_ = SIZE_MAX;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    const auto id = ranked[i].second;
    order_.push_back(id);
    if (id == self_) rank_ = i;
    const auto& s = (*v.members)[index_of(id)];
    if (id != self_ && s.state.status == MemberStatus::alive && now - s.since >= 2 * terms_.term())
      heirs_.push_back(id);
  }
  if (first() && !was_first) first_since_ = begins ? began_ : now;
  majority_ = v.reachability == Reachability::majority;
  step(now);
}

std::optional<Epoch> Duty::may_act(Time now) const {
  const auto term = terms_.term_at(now);
  const auto* r = right(term);
  if (!wanted_ || r == nullptr || !r->mine) return std::nullopt;
  // Near a boundary only one who has the terms on both of its sides.
  const bool starts = now < terms_.begins(term) + margin(),
             ends = now >= terms_.begins(term + 1) - margin();
  if ((starts && !mine(term - 1)) || (ends && !mine(term + 1))) return std::nullopt;
  return r->epoch;
}

std::optional<Duty::Holder> Duty::known(Time now) const {
  const auto term = terms_.term_at(now);
  if (mine(term)) return Holder{self_, right(term)->epoch, terms_.begins(term + 1)};
  const auto* h = heard_of(term);
  return h != nullptr ? std::optional(*h) : std::nullopt;
}

// ---- Claims -------------------------------------------------------------------------------------

Time Duty::closes(std::uint64_t claimed) const {
  return broken_.late_claims ? terms_.begins(claimed) + terms_.term() / 4 : terms_.closes(claimed);
}

// When this node claims the next term; none: not at all, as far as is known now.
std::optional<Time> Duty::claims_at(Time now) const {
  const auto term = terms_.term_at(now), next = term + 1;
  if (!wanted_ || leaving_ || claim_ || claimed_ >= next || right(next) != nullptr ||
      heard_of(next) != nullptr)
    return std::nullopt;
  const auto after = [&](double part) { return terms_.begins(term) + scaled(terms_.term(), part); };
  const auto last = [&](double part) {
    return after(majority_ ? part : std::max(part, kMinority));
  };
  const double drawn = part_of(next);
  if (mine(term)) return last(kHolder + kHolderSpan * drawn);
  // Somebody holds it whose words don't come: asked less and less often, each node in turn.
  if (vain_ > 0 && (next + rank_) % (1ULL << vain_) != 0) return std::nullopt;
  // Others must have had the chance to hear of a holder.
  if (rank_ == SIZE_MAX || listens_ > terms_.begins(term)) return std::nullopt;
  const double jitter = kJitter * drawn;
  if (!first()) {
    if (term - last_known_ <= kFarSilent + rank_ / kFirst) return std::nullopt;
    return last(kFollower + kStep * static_cast<double>(rank_ % kFollowers) + jitter);
  }
  if (first_since_ > terms_.begins(term)) return std::nullopt;
  const auto* h = heard_of(term);
  const auto holder = h != nullptr ? std::ranges::find(order_, h->node) : order_.end();
  if (holder == order_.end()) return last(kVacant + kStep * static_cast<double>(rank_) + jitter);
  const auto place = rank_ - (static_cast<std::size_t>(holder - order_.begin()) < rank_ ? 1 : 0);
  if (place >= kFollowers) return std::nullopt;
  return last(kFollower + kStep * static_cast<double>(place) + jitter);
}

void Duty::call() {
  auto& c = *claim_;
  const bool asks = c.unknown;
  if (!asks) c.amount = amount();
  char name[kLongestName];
  std::snprintf(name, sizeof name, "duty.%016llx.%llu.%s",
                static_cast<unsigned long long>(hash_of(name_)),
                static_cast<unsigned long long>(c.term),
                c.phase == Claim::Phase::claiming ? "claim" : "hold");
  call_ = ++numbers_;
  ++figures_.calls;
  if (asks) ++figures_.asks;
  // The name: from a quarter into the term before to the end of the one that is claimed, by any
  // clock.
  calls_.push_back({call_, name, asks ? 0 : c.amount, 2 * terms_.life});
}

void Duty::answered(Time now, std::uint64_t call, CounterOutcome outcome, double total) {
  touch(now);
  if (call == 0 || call != call_ || !claim_) return step(now);
  call_ = 0;
  if (outcome == CounterOutcome::ok && std::isfinite(total)) {
    unheard_ = false;
    decided(now, total);
  } else {
    // Nothing was added by one that was refused; what was not known before is not known now.
    const bool refused = outcome == CounterOutcome::refused;
    ++(refused ? figures_.refused : figures_.timeouts);
    // Whether answers come at all.
    unheard_ = !refused;
    if (broken_.timeout_won && !refused)
      decided(now, claim_->amount);
    else
      claim_->unknown = claim_->unknown || !refused, again_ = now + pause();
  }
  step(now);
}

void Duty::decided(Time now, double total) {
  auto& c = *claim_;
  if (same(total, 0)) {  // asked, and nobody has added: nor has this node
    c.unknown = false, again_ = now;
    return;
  }
  const bool first = same(total, c.amount);
  if (c.phase == Claim::Phase::claiming) {
    if (!first || now > closes(c.term)) {
      ++figures_.lost;
      vain_ = std::min(vain_ + 1, kMostVain);
      last_known_ = std::max(last_known_, c.term);  // somebody else is there
      claim_.reset();
      return;
    }
    ++figures_.won;
    tell(c.term * kGifts, false);
    if (broken_.no_confirmation) {
      const auto epoch = c.term * kGifts;
      claim_.reset();
      return hold(now, epoch);
    }
    c.phase = Claim::Phase::won, c.unknown = false, tries_ = 0;
    tell_at_ = terms_.begins(c.term - 1) + scaled(terms_.term(), kAgain);
    again_ = terms_.confirms(c.term);
    return;
  }
  const auto epoch = c.term * kGifts;
  claim_.reset();
  if (!first) {
    ++figures_.lost;
    return;
  }
  hold(now, epoch);
}

void Duty::hold(Time now, Epoch epoch) {
  std::erase_if(rights_, [&](const Right& r) { return term_of(r.epoch) == term_of(epoch); });
  rights_.push_back({epoch, true});
  ++figures_.held;
  hear({self_, epoch, terms_.begins(term_of(epoch) + 1)});
  tell(epoch, true);
  if (leaving_) give(now);
}

// ---- Time ---------------------------------------------------------------------------------------

void Duty::tick(Time now) {
  touch(now);
  // One who slept has not heard what was told meanwhile.
  if (due_ != Time::max() && now - due_ > terms_.term() / 4) listens_ = now;
  step(now);
}

void Duty::forget(Time now) {
  const auto present = terms_.term_at(now);
  std::erase_if(rights_, [&](const Right& r) { return term_of(r.epoch) + 1 < present; });
  std::erase_if(heard_, [&](const Holder& h) { return term_of(h.epoch) + 1 < present; });
  std::erase_if(gifts_, [&](const Gift& g) { return term_of(g.epoch) < present; });
  if (!claim_) return;
  // A claim ends at the close; a confirmation at the opening of the next claims.
  const bool claims = claim_->phase == Claim::Phase::claiming;
  if (claims ? now > closes(claim_->term) : now > terms_.begins(claim_->term) + terms_.term() / 4) {
    ++figures_.lost;
    claim_.reset(), call_ = 0;
  }
}

void Duty::step(Time now) {
  forget(now);
  const auto next = terms_.term_at(now) + 1;
  if (const auto at = claims_at(now); at && now >= *at && now < closes(next)) {
    // Whose last call was not answered asks first: an add without an answer would take the term
    // from all.
    claim_ = Claim{next, Claim::Phase::claiming, 0, unheard_};
    claimed_ = next, tries_ = 0;
    ++figures_.claims;
    call_ = 0, again_ = now;
  }
  if (claim_ && call_ == 0 && now >= again_) {
    if (claim_->phase == Claim::Phase::won) claim_->phase = Claim::Phase::confirming;
    call();
  }
  if (claim_ && claim_->phase != Claim::Phase::claiming && now >= tell_at_) {
    // None where it was won after the last followers look.
    if (now < terms_.begins(claim_->term - 1) + scaled(terms_.term(), kFollower))
      tell(claim_->term * kGifts, false);
    tell_at_ = Time::max();
  }
  for (auto& g : gifts_) {
    if (now < g.again) continue;
    g.again = now + terms_.term() / 40;  // longer than a word and its answer take
    ++figures_.words_out;
    words_.push_back({g.heir, {hash_, g.epoch, g.heir, true}});
  }
  arm(now);
}

void Duty::arm(Time now) {
  due_ = Time::max();
  const auto by = [&](Time t) {
    if (t > now) due_ = std::min(due_, t);
  };
  const auto term = terms_.term_at(now);
  if (wanted_ && !leaving_) by(terms_.begins(term + 1));
  if (const auto at = claims_at(now)) by(*at);
  if (claim_) {
    if (call_ == 0) by(again_);
    if (claim_->phase != Claim::Phase::claiming) by(tell_at_);
    by(closes(claim_->term) + 1ns);
    by(terms_.begins(claim_->term) + terms_.term() / 4 + 1ns);
  }
  for (const auto& g : gifts_) by(std::min(g.again, terms_.begins(term_of(g.epoch) + 1)));
}

std::uint64_t Duty::fingerprint() const {
  auto h = mixed(hash_, index_of(self_), wanted_, leaving_, majority_, number(began_),
                 number(listens_), number(first_since_), rank_, last_known_, claimed_, call_,
                 number(again_), numbers_, draws_, number(due_), unheard_, tries_, number(tell_at_),
                 vain_);
  for (const auto m : order_) h = mixed(h, index_of(m));
  for (const auto m : heirs_) h = mixed(h, index_of(m));
  for (const auto& r : rights_) h = mixed(h, r.epoch, r.mine);
  for (const auto& o : heard_) h = mixed(h, o.epoch, index_of(o.node));
  for (const auto& g : gifts_) h = mixed(h, g.epoch, index_of(g.heir), number(g.again));
  if (claim_) h = mixed(h, claim_->term, claim_->phase, claim_->amount, claim_->unknown);
  return mixed(h, calls_.size(), words_.size());
}

}  // namespace petrelrail::fleet
