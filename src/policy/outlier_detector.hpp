// Outlier detection: ejects servers that fail more often than the others.
#pragma once

#include "policy/decision_context.hpp"
#include "policy/endpoint.hpp"

namespace petrelrail::policy {

// A server's outlier score is a running sum of evidence (CUSUM): each outcome adds the logarithm of
// how much likelier it is from a bad server than from one like the others.
//
// Score from which a server is ejected. A healthy server is ejected less than once in e^5 attempts.
constexpr double kEjectionThreshold = 5;

class OutlierDetector {
 public:
  explicit OutlierDetector(DecisionContext& context) : context_(context) {}

  double score(const Endpoint& endpoint) const;
  // Adds one outcome to a server's score. A bad server fails two in five of its attempts, or three
  // times as often as the others. Failures common to all servers add nothing.
  void record(Endpoint& endpoint, bool failed);
  // Called after a failed connect; sets the score to the ejection threshold.
  void record_unreachable(Endpoint& endpoint) const;
  void eject(Endpoint& endpoint, const char* reason);

 private:
  DecisionContext& context_;
  DecayingCounter failures_, outcomes_;  // recent, at all servers
};

}  // namespace petrelrail::policy
