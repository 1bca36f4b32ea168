// 8 Rules: the one place that decides what may be done now for a request that was taken: whether an attempt
// may begin or be written, a final answer be given, an answer count as whole, or its client's connection end.
// Whoever does one of these asks here first. A step that is turned down here would have broken a promise to
// the client: a breach, which the caller counts.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

#include "helpers.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail::policy {

enum class Breach {
  sent_after_end,  // an attempt for a request that has its final answer, or whose client has left
  sent_too_late,   // an attempt after the client's time, or after the time in which a repeat is known as one
  second_copy,     // an attempt while another one is out
  too_many_attempts,  // more attempts than the settings allow
  unsafe_repeat,      // a repeat of what may have run and must not run twice
  second_answer,      // a final answer after the final answer
  whole_answer_cut,   // an answer that was whole ended as a broken one
  answer_overdue,     // no final answer was given in time
  closed_unanswered,  // a client's connection ended under its request by this node's own decision
};
inline constexpr std::array<std::string_view, 9> kBreachNames{
    "sent_after_end", "sent_too_late",    "second_copy",    "too_many_attempts", "unsafe_repeat",
    "second_answer",  "whole_answer_cut", "answer_overdue", "closed_unanswered"};
static_assert(kBreachNames.size() == static_cast<std::size_t>(Breach::closed_unanswered) + 1);

// By how much two readings of the clock for one event may differ.
constexpr Duration kClockSlack = std::chrono::milliseconds(1);

// What becomes of an answer whose last byte has come, or will not come.
enum class AnswerFate { deliver, fail };

// Bytes behind a whole answer leave open whose answer it is: it fails while that does no harm. Once a part of
// it has been passed on its client can't be given another one: to withhold the rest would lose the request.
constexpr AnswerFate fate_of_answer(bool whole, bool bytes_behind, bool passed_on) {
  if (!whole) return AnswerFate::fail;
  return bytes_behind && !passed_on ? AnswerFate::fail : AnswerFate::deliver;
}

// Whether a client's connection may end now, for a reason that its client or this node has.
constexpr std::optional<Breach> may_end_session(bool answer_owed, bool reason_is_own) {
  if (answer_owed && reason_is_own) return Breach::closed_unanswered;
  return std::nullopt;
}

struct RequestTerms {
  Effect effect = Effect::safe;
  Duration memory_span{};  // of a keyed request
  Time deadline{};         // the end of the client's wait
  std::uint32_t max_attempts = 1;
};

// One request, from its arrival to the end of its last attempt.
class RequestLife {
 public:
  explicit RequestLife(const RequestTerms& terms) : terms_(terms) {}

  std::uint32_t attempts() const { return attempts_; }
  std::uint32_t out() const { return out_; }
  bool passes_on() const { return passes_on_; }

  // ---- Attempts
  std::optional<Breach> may_send(Time now) const {
    if (ended_ || passes_on_) return Breach::sent_after_end;
    if (out_ > 0) return Breach::second_copy;
    if (attempts_ >= terms_.max_attempts) return Breach::too_many_attempts;
    if (may_have_run_ && terms_.effect == Effect::unsafe) return Breach::unsafe_repeat;
    if (now >= write_by() + kClockSlack) return Breach::sent_too_late;
    return std::nullopt;
  }
  void sent(Time now) {
    ++attempts_, ++out_;
    if (!may_have_run_) last_sent_ = now;
  }
  // The first byte of the attempt that is out. A no is no breach: the client may have left since it was sent.
  bool may_write(Time now) const { return !ended_ && now < write_by(); }
  void attempt_ended(Outcome outcome) {
    out_ -= std::min(out_, 1U);
    const bool never_ran = outcome == Outcome::full || outcome == Outcome::connect_failed ||
                           outcome == Outcome::never_sent;
    may_have_run_ = may_have_run_ || !never_ran;
  }

  // ---- The final answer
  std::optional<Breach> may_answer() const {
    return ended_ || passes_on_ ? std::optional(Breach::second_answer) : std::nullopt;
  }
  void answered() { ended_ = true; }
  void passes_on_from_now() { passes_on_ = true; }
  void client_left() { ended_ = true; }
  // Whether the final answer should have been given: the request is `late` beyond its client's time.
  bool overdue(Time now, Duration late) const {
    return !ended_ && !passes_on_ && now >= terms_.deadline + late;
  }

 private:
  Time write_by() const {
    if (!may_have_run_ || terms_.effect != Effect::keyed) return terms_.deadline;
    return std::min(terms_.deadline, last_sent_ + terms_.memory_span);
  }

  RequestTerms terms_;
  std::uint32_t attempts_ = 0, out_ = 0;
  Time last_sent_{};  // of the first attempt that may have run
  bool may_have_run_ = false;
  bool passes_on_ = false;  // a part of its answer has been passed on
  bool ended_ = false;      // it has its final answer, or its client has left
};

}  // namespace petrelrail::policy
