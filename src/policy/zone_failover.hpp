// Zone failover: ejects zones that can't be reached.
#pragma once

#include <map>
#include <set>

#include "policy/decision_context.hpp"
#include "policy/endpoint.hpp"

namespace petrelrail::policy {

// A zone is ejected when several of its servers in succession are unreachable and nothing is
// received from it while another zone answers; if no other zone answers, this gateway itself is cut
// off. After the ejection one request at a time probes the zone.
class ZoneFailover {
 public:
  explicit ZoneFailover(DecisionContext& context) : context_(context) {}

  bool is_ejected(ZoneIndex zone, Time now) const;
  // Returns whether the zone was ejected and has not answered since.
  bool needs_probe(ZoneIndex zone) const;
  // Returns whether a probe of the zone is in flight.
  bool has_probe_in_flight(ZoneIndex zone) const;

  void on_forwarded(ZoneIndex zone);
  void on_response(ZoneIndex zone);
  void on_unreachable(const EndpointInfo& endpoint);

 private:
  struct Zone {
    std::set<EndpointId> unreachable;  // servers, since the zone's last answer
    Time last_response = Time::min();
    Time ejection_end_time = Time::min(), probe_deadline = Time::min();
    Duration ejection_duration{};
  };

  DecisionContext& context_;
  std::map<ZoneIndex, Zone> zones_;
};

}  // namespace petrelrail::policy
