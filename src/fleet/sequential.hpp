// Sequential tests of a randomised trial, valid at any stopping time: a fair coin assigns each
// copied lookup to the candidate or the control, and events of a kind are counted in both halves.
// Pure functions of the counts, so that counts merged in any order give the same decision. Each
// returns the logarithm of an e-process: if its null hypothesis is true, the value is ever -log(a)
// or more with probability at most a (Ville), whatever the dependence among lookups. Used by the
// verdicts of shadow traffic.
#pragma once

#include <cstdint>

namespace petrelrail::fleet {

struct Trial {
  std::uint64_t copies = 0;                  // of both halves
  std::uint64_t candidate = 0, control = 0;  // events in each half

  void add(const Trial& other) {
    copies += other.copies;
    candidate += other.candidate;
    control += other.control;
  }
};

// The excess of a trial is the mean, over the copied lookups, of the difference between the event's
// probabilities at the candidate and at the control.

// Against "no lookup's event is likelier at the candidate". The mixture SPRT (Robbins 1970; Johari,
// Koomen, Pekelis, Walsh, "Always valid inference", 2017) for counts given their sum (Lindon,
// Malek, "Anytime-valid inference for multinomial count data", 2022).
double log_evidence_of_worse(const Trial& t);
// Against "the excess is at most `margin`", and against "the excess is at least `margin`". The
// empirical Bernstein process of Howard, Ramdas, McAuliffe, Sekhon, "Time-uniform, nonparametric,
// nonasymptotic confidence sequences", 2021, for the effect in a randomised trial. `margin` from 0
// to 1.
double log_evidence_of_excess_above(const Trial& t, double margin);
double log_evidence_of_excess_below(const Trial& t, double margin);

// The same two for an event that each copy either has or lacks; `has` and `lacks` count both kinds
// of copies in each half. The mean of three processes: of the copies that have the event, of those
// that lack it, and of half of either. A mean of e-processes is an e-process; the three are the
// most powerful ones for events that are rare, nearly certain and neither.
double log_evidence_of_excess_above(const Trial& has, const Trial& lacks, double margin);
double log_evidence_of_excess_below(const Trial& has, const Trial& lacks, double margin);

// Whether the evidence rejects the null hypothesis at this error rate, above 0 and at most 1.
bool is_sufficient(double log_evidence, double error_rate);

}  // namespace petrelrail::fleet
