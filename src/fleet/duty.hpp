// A duty: work that one node of the tier at a time may do (docs/duties.md). Terms are cut by the
// clock that all nodes read and won at the counter before they begin. A mechanism without I/O,
// clock or thread: time, answers and words are passed in, counter calls and words come out. The
// same seed, terms, times and answers give the same course. Copies are independent.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "datagram.hpp"
#include "membership.hpp"
#include "petrelrail/events.hpp"

namespace petrelrail::fleet {

// The fencing token, carried by every effect: term * 16 + how often the term was given on. It only
// rises. 0: none.
using Epoch = std::uint64_t;
inline constexpr Epoch kGifts = 16;
inline std::uint64_t term_of(Epoch e) { return e / kGifts; }

// What all figures follow from, the same at all nodes.
struct DutyTerms {
  std::uint32_t nodes = 1;  // of the tier
  Duration life = std::chrono::seconds(
      3);  // for which work may stand still, about: a term is 2/3 of it
  Duration clocks = std::chrono::milliseconds(
      50);  // by which the clocks of two nodes differ at most
  Duration counter_timeout = std::chrono::milliseconds(50);

  Duration term() const { return life * 2 / 3; }
  std::uint64_t term_at(Time t) const {
    return static_cast<std::uint64_t>(t.time_since_epoch() / term());
  }
  Time begins(std::uint64_t term_number) const {
    return Time(term() * static_cast<Duration::rep>(term_number));
  }
  // In the term before the one that is claimed: claims count from their opening to their close.
  Time opens(std::uint64_t claimed) const { return begins(claimed) - term() * 3 / 4; }
  Time closes(std::uint64_t claimed) const { return begins(claimed) - term() / 10; }
  Time confirms(std::uint64_t claimed) const { return closes(claimed) + 2 * clocks; }
};
// Throws std::invalid_argument, naming what is wrong.
void validate(const DutyTerms& terms);

// A duty's name on the wire.
std::uint32_t duty_hash(const std::string& name);

// Parts left out on purpose, for those who show that each is needed: the explorer and tests. Never
// set by a node.
struct DutyBroken {
  bool no_margin = false;        // acts from a term's first to its last moment
  bool late_claims = false;      // a claim counts whenever it is answered
  bool no_confirmation = false;  // a claim that is won is a term that is held
  bool timeout_won = false;      // a claim without an answer counts as won
  bool old_gifts = false;  // takes a term that a former process of its number may have taken and
                           // given on
  bool plain_amounts = false;  // adds its number + 1, of which sums may be another's
};

class Duty {
 public:
  struct Call {  // an add at the counter; it is answered once by answered(), or by silence for good
    std::uint64_t number = 0;
    std::string name;
    double amount = 0;  // 0: asks for the total
    Duration life{};    // of the name
  };
  struct Word {
    MemberId to{};
    LeaseEntry word;
  };
  struct Holder {
    MemberId node{};
    Epoch epoch = 0;
    Time until{};  // the end of its term
    bool operator==(const Holder&) const = default;
  };
  // A term that is or was this node's; `mine` false: it was given on.
  struct Right {
    Epoch epoch = 0;
    bool mine = false;
    bool operator==(const Right&) const = default;
  };
  struct Claim {
    enum class Phase : std::uint8_t { claiming, won, confirming };
    std::uint64_t term = 0;
    Phase phase = Phase::claiming;
    double amount = 0;     // of the name that this phase adds to
    bool unknown = false;  // the amount may stand at the counter: ask before adding again
    bool operator==(const Claim&) const = default;
  };
  // What the successor in the same node's place goes on with.
  struct State {
    Time began{};
    std::vector<Right> rights;
    std::optional<Claim> claim;
    std::vector<Holder> heard;
  };
  struct Figures {
    std::uint64_t claims = 0, won = 0,
                  lost = 0;  // terms claimed by this node, by how the claims ended
    std::uint64_t calls = 0, asks = 0, refused = 0, timeouts = 0;
    std::uint64_t held = 0;              // terms confirmed
    std::uint64_t given = 0, taken = 0;  // terms given on, and taken from a node that left
    std::uint64_t words_out = 0, words_in = 0,
                  words_odd = 0;  // odd: of no such duty, or of a term far off
  };

  // `name`: 1 to 64 bytes. Throws std::invalid_argument for it, for a member that `terms` has no
  // room for, and what validate() throws. Processes that go by one number need seeds of their own.
  Duty(DutyTerms terms, std::string name, MemberId self, std::uint64_t seed,
       DutyBroken broken = {});

  // Whether there is anything to do under the duty. One that nobody needs is not claimed, a held
  // one is let go.
  void want(Time now, bool wanted);
  void view(Time now, const MembershipView& view);
  // The epoch under which this node may act at this moment. To be asked before each effect.
  std::optional<Epoch> may_act(Time now) const;

  // To be called at next(), or as soon after as can be.
  void tick(Time now);
  Time next() const { return due_; }

  // To be written in this order, after calls for quotas. A call that comes late costs a term at
  // most.
  std::vector<Call> take_calls() { return std::exchange(calls_, {}); }
  // refused: nothing was added; timeout: not known, also for an answer without a number. Later
  // answers are not passed on.
  void answered(Time now, std::uint64_t number, CounterOutcome outcome, double total);

  std::vector<Word> take_words() { return std::exchange(words_, {}); }
  void heard(Time now, MemberId from, const LeaseEntry& word);

  // This node leaves: what it holds is given on at once, what it is about to win as soon as that is
  // sure. It goes on being ticked as long as it is there. Where there is nobody to give to, it acts
  // to its end.
  void resign(Time now);
  // Whether all that was given has been answered, and nothing is left to give.
  bool resigned() const { return leaving_ && gifts_.empty() && !claim_; }

  // For an upgrade: the giver holds nothing any more and claims nothing until it is told that the
  // duty is wanted.
  State hand_over(Time now);
  // Before the first tick. Calls of the predecessor that are not answered yet count as not known.
  void take_over(Time now, const State& state);

  // Who holds the present term, as heard; none: nothing was heard. It hands nobody any right.
  std::optional<Holder> known(Time now) const;
  // Who claims it first, where it is wanted; none: no view yet.
  std::optional<MemberId> expected() const {
    return order_.empty() ? std::nullopt : std::optional(order_.front());
  }
  const std::string& name() const { return name_; }
  std::uint32_t hash() const { return hash_; }
  const DutyTerms& terms() const { return terms_; }
  const Figures& figures() const { return figures_; }
  // Of all that decides its course, for those who compare states.
  std::uint64_t fingerprint() const;

 private:
  struct Gift {
    MemberId heir{};
    Epoch epoch = 0;
    Time again{};
    bool operator==(const Gift&) const = default;
  };

  void touch(Time now);
  void step(Time now);
  void arm(Time now);
  void forget(Time now);
  std::optional<Time> claims_at(Time now) const;
  Time closes(std::uint64_t claimed) const;
  void call();
  void decided(Time now, double total);
  void hold(Time now, Epoch epoch);
  void hear(const Holder& holder);
  void tell(Epoch epoch, bool far);
  void give(Time now);
  bool take(Time now, Epoch epoch);
  bool first() const { return rank_ < kFirst; }
  bool mine(std::uint64_t term) const { return right(term) != nullptr && right(term)->mine; }
  const Right* right(std::uint64_t term) const;
  const Holder* heard_of(std::uint64_t term) const;
  std::uint64_t draw(std::uint64_t below);
  double part_of(std::uint64_t term) const;  // 0 to 1, for a term's claim
  double amount();
  Duration pause();
  Duration margin() const { return broken_.no_margin ? Duration{} : terms_.clocks; }

  // Of the order, those who claim by rank, and who are told of every term.
  static constexpr std::size_t kFirst = 6;

  DutyTerms terms_;
  std::string name_;
  MemberId self_;
  std::uint64_t seed_;
  DutyBroken broken_;
  std::uint32_t hash_;
  bool wanted_ = false, leaving_ = false, majority_ = true;
  Time began_{};                 // the process, or the first that handed over to it
  Time listens_{};               // since when it has not missed what was told
  Time first_since_{};           // among the first of the order
  std::vector<MemberId> order_;  // living and settled, as the last view has it
  std::vector<MemberId>
      heirs_;  // of these, others who have been there for long enough to be given a term
  std::size_t rank_ = SIZE_MAX;   // in the order
  std::vector<Right> rights_;     // of the terms before, now and next, one each
  std::vector<Holder> heard_;     // likewise
  std::uint64_t last_known_ = 0;  // latest term of which a holder was known
  std::uint64_t claimed_ = 0;     // latest term that was claimed
  std::optional<Claim> claim_;
  std::uint64_t call_ = 0;      // that is out; 0: none
  Time again_{};                // when the claim's next call is due
  std::uint32_t tries_ = 0;     // of the claim's phase
  std::uint32_t vain_ = 0;      // claims lost since a holder was heard of, within a bound
  bool unheard_ = false;        // the last call was not answered
  Time tell_at_ = Time::max();  // a claim that is won is told again
  std::vector<Gift> gifts_;
  std::uint64_t numbers_ = 0, draws_ = 0;
  Time due_ = Time::max();
  std::vector<Call> calls_;
  std::vector<Word> words_;
  Figures figures_;
};

// What a receiver of effects keeps of a duty: it refuses an older epoch than it has seen, and under
// one epoch any other holder than the first that it heard.
class Fence {
 public:
  bool passes(Epoch epoch, MemberId holder) {
    if (epoch == 0 || epoch < seen_ || (epoch == seen_ && holder != holder_)) return false;
    seen_ = epoch, holder_ = holder;
    return true;
  }
  Epoch seen() const { return seen_; }

 private:
  Epoch seen_ = 0;
  MemberId holder_{};
};

}  // namespace petrelrail::fleet
