// 8 Rules: the one place that decides what may be done now for a request that was taken.
// Whoever ends an answer asks here first.
#pragma once

namespace petrelrail::policy {

// What becomes of an answer whose last byte has come, or will not come.
enum class AnswerFate { deliver, fail };

// Bytes behind a whole answer leave open whose answer it is: it fails while that does no harm. Once a part of
// it has been passed on its client can't be given another one, and to withhold the rest would lose the request.
constexpr AnswerFate fate_of_answer(bool whole, bool bytes_behind, bool passed_on) {
  if (!whole) return AnswerFate::fail;
  return bytes_behind && !passed_on ? AnswerFate::fail : AnswerFate::deliver;
}

}  // namespace petrelrail::policy
