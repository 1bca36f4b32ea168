// Tests of outlier detection and zone failover through Gateway: one gateway, and many on one
// simulated clock.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "gateway_fixture.hpp"

namespace petrelrail::test {
namespace {

// Settings without a quota, so that every request reaches the selection of a server.
Settings settings_without_quota(std::uint32_t fleet = 2) {
  auto s = settings();
  s.plans = {{.name = "free"}};
  s.counter = false, s.health_checks = false;
  s.fleet_size = fleet;
  s.connect_timeout = 250ms;
  return s;
}

struct Fleet {
  struct InFlightAttempt {
    std::size_t gateway;
    Send send;
    Time start_time;
    AttemptOutcome outcome;
  };
  // Returns the outcome and duration of an attempt, given its server and start time.
  using ServerModel = std::function<std::pair<AttemptOutcome, Duration>(EndpointId, Time)>;

  std::vector<std::unique_ptr<Gateway>> gateways;
  std::multimap<Time, InFlightAttempt> in_flight;
  std::map<std::uint64_t, std::uint32_t> attempts;
  std::mt19937 random{5};
  ServerModel server_model;
  Time now{1h};
  std::uint64_t next = 0, served = 0, rejected = 0;
  std::map<EndpointId, std::uint64_t> forwarded_to;
  std::vector<std::string> logs;

  Fleet(std::uint32_t n, const std::vector<EndpointInfo>& server_list, ServerModel w)
      : server_model(std::move(w)) {
    auto s = settings_without_quota(n);
    for (std::uint32_t i = 0; i < n; ++i) {
      s.gateway_index = i;
      gateways.push_back(std::make_unique<Gateway>(s, i + 1));
      handle_event(i, EndpointListUpdate{EndpointListKind::full, server_list});
    }
  }
  static std::vector<EndpointInfo> server_list(std::uint32_t n, std::uint32_t zones = 1) {
    std::vector<EndpointInfo> all;
    for (std::uint32_t i = 0; i < n; ++i)
      all.push_back({.id = EndpointId(i), .zone = ZoneIndex(i % zones)});
    return all;
  }
  void handle_event(std::size_t g, const Event& e) {
    for (const auto& a : gateways[g]->handle(now, e)) {
      if (const auto* s = std::get_if<Send>(&a)) {
        ++forwarded_to[s->endpoint];
        const auto [outcome, duration] = server_model(s->endpoint, now);
        in_flight.emplace(now + duration, InFlightAttempt{g, *s, now, outcome});
      } else if (std::get_if<Reject>(&a)) {
        ++rejected;
      } else if (const auto* l = std::get_if<Log>(&a)) {
        logs.push_back(l->text);
      }
    }
  }
  // Sends `rate` requests per second through each gateway on average.
  void run(Duration span, double rate) {
    const Time end = now + span;
    std::exponential_distribution<double> gap(rate * static_cast<double>(gateways.size()));
    std::uniform_int_distribution<std::size_t> pick_gateway(0, gateways.size() - 1);
    Time arrival = now, sweep = now;
    while (now < end) {
      const Time next_end = in_flight.empty() ? Time::max() : in_flight.begin()->first;
      now = std::min({arrival, sweep, next_end});
      if (now == next_end) {
        const auto o = in_flight.extract(in_flight.begin()).mapped();
        auto& n = attempts[static_cast<std::uint64_t>(o.send.request)];
        const bool ok = o.outcome == AttemptOutcome::ok;
        served += ok;
        handle_event(o.gateway, AttemptEnded{o.send.request, n++, o.send.endpoint, o.outcome,
                                             now - o.start_time, ok});
      } else if (now == sweep) {
        for (std::size_t g = 0; g < gateways.size(); ++g) handle_event(g, TimerDue{});
        sweep += 250ms;
      } else {
        ++next;
        handle_event(pick_gateway(random),
                     RequestArrived{RequestId(next), ClassIndex(0), PlanIndex(0), CustomerId(next),
                                    2s, 1, 2});
        arrival += Duration(static_cast<Duration::rep>(gap(random) * 1e9));
      }
    }
  }
  bool chance(double p) { return std::uniform_real_distribution<double>()(random) < p; }
  auto count_logs(const std::string& fragment) const {
    return std::ranges::count_if(
        logs, [&](const auto& l) { return l.find(fragment) != std::string::npos; });
  }
  double share(EndpointId s) const {
    std::uint64_t all = 0;
    for (const auto& [id, n] : forwarded_to) all += n;
    return static_cast<double>(forwarded_to.at(s)) / static_cast<double>(all);
  }
};
constexpr EndpointId kFaultyServer{0};

// Guards against a failing server that attracts traffic because it answers fast and so has few
// requests in flight: it fails a third of its requests in a tenth of the others' time.
TEST(OutlierDetection, ServerThatFailsFastDoesNotAttractTraffic) {
  Fleet f(2, Fleet::server_list(8), nullptr);
  f.server_model = [&](EndpointId s, Time) {
    return s == kFaultyServer && f.chance(0.35) ? std::pair(AttemptOutcome::error, 10ms)
                                                : std::pair(AttemptOutcome::ok, 100ms);
  };
  f.run(60s, 10);
  std::cout << "share of a server that fails 35% fast: " << f.share(kFaultyServer) << " of 0.125\n";
  EXPECT_LT(f.share(kFaultyServer), 0.04);
}
// Guards against invalid responses that are not counted as failures. The host reports an invalid
// response as a reset.
TEST(OutlierDetection, ServerThatResetsOneResponseInFiveGetsLessTraffic) {
  Fleet f(2, Fleet::server_list(8), nullptr);
  f.server_model = [&](EndpointId s, Time) {
    return std::pair(
        s == kFaultyServer && f.chance(0.2) ? AttemptOutcome::reset : AttemptOutcome::ok, 100ms);
  };
  f.run(60s, 10);
  std::cout << "share of a server that resets 20%: " << f.share(kFaultyServer) << " of 0.125\n";
  EXPECT_LT(f.share(kFaultyServer), 0.06);
}
// Guards against ejecting a server that is slow but works, and against a share that stays low after
// the server has recovered.
TEST(OutlierDetection, ServerThreeTimesSlowerGetsLessTrafficUntilItRecovers) {
  Fleet f(2, Fleet::server_list(8), nullptr);
  bool slow = true;
  f.server_model = [&](EndpointId s, Time) {
    return std::pair(AttemptOutcome::ok, s == kFaultyServer && slow ? 300ms : 100ms);
  };
  f.run(30s, 10);
  const auto while_slow = f.share(kFaultyServer);
  EXPECT_LT(while_slow, 0.08);
  EXPECT_EQ(f.count_logs("ejected"), 0);
  slow = false;
  f.run(300s, 10);
  f.forwarded_to.clear();
  f.run(60s, 10);
  EXPECT_GT(f.share(kFaultyServer), 0.09);
}
// Guards against ejecting servers for a fault that all have in common, such as a failing
// dependency.
TEST(OutlierDetection, SlownessOrFailuresCommonToAllServersEjectNone) {
  Fleet slow(2, Fleet::server_list(8),
             [](EndpointId, Time) { return std::pair(AttemptOutcome::ok, 300ms); });
  slow.run(30s, 10);
  EXPECT_EQ(slow.count_logs("ejected"), 0);
  Fleet failing(2, Fleet::server_list(8), nullptr);
  failing.server_model = [&](EndpointId, Time) {
    return std::pair(failing.chance(0.4) ? AttemptOutcome::error : AttemptOutcome::ok, 100ms);
  };
  failing.run(20s, 10);  // the usual failure rate is learned
  failing.logs.clear(), failing.forwarded_to.clear();
  failing.run(60s, 10);
  EXPECT_EQ(failing.count_logs("ejected"), 0);
  for (const auto& [id, n] : failing.forwarded_to) EXPECT_GT(failing.share(id), 0.06);
}
// Guards against detection that needs more requests than one gateway of a large fleet sends: each
// of 300 gateways has less than one request per second and only its own evidence.
TEST(OutlierDetection, FailingServerIsDetectedInALargeFleetWithFewRequestsPerGateway) {
  Fleet f(300, Fleet::server_list(200), nullptr);
  f.server_model = [&](EndpointId s, Time) {
    return s == kFaultyServer && f.chance(0.6) ? std::pair(AttemptOutcome::error, 10ms)
                                               : std::pair(AttemptOutcome::ok, 100ms);
  };
  f.run(60s, 0.8);
  std::cout << "requests sent by a fleet of 300 in 60 s to a server that fails 60%: "
            << f.forwarded_to[kFaultyServer] << ", an even share is " << f.next / 200 << "\n";
  EXPECT_LT(f.forwarded_to[kFaultyServer], f.next / 200 * 2 / 3);
}
// Guards against ejecting healthy servers more often than stated: less than once in e^5 attempts,
// at one failure in a hundred attempts.
TEST(OutlierDetection, HealthyServerIsEjectedAtMostAtTheStatedRate) {
  Fleet f(20, Fleet::server_list(14), nullptr);
  f.server_model = [&](EndpointId, Time) {
    return std::pair(f.chance(0.01) ? AttemptOutcome::error : AttemptOutcome::ok, 100ms);
  };
  f.run(600s, 1);
  std::cout << "healthy servers ejected " << f.count_logs("ejected") << " times in " << f.next
            << " requests\n";
  EXPECT_LT(static_cast<double>(f.count_logs("ejected")),
            static_cast<double>(f.next) / std::exp(5.0));
}
// Guards against sending several requests at once to a server that probably still fails.
TEST(OutlierDetection, EjectedServerIsProbedByOneRequestAtATime) {
  Fleet f(1, Fleet::server_list(4), nullptr);
  bool recovered = false;
  std::uint64_t probes = 0, max_probes = 0;
  f.server_model = [&](EndpointId s, Time) {
    return s != kFaultyServer || recovered ? std::pair(AttemptOutcome::ok, 50ms)
                                           : std::pair(AttemptOutcome::error, 400ms);
  };
  f.run(10s, 20);
  EXPECT_GE(f.count_logs("server 0 ejected"), 1);
  for (int i = 0; i < 400; ++i) {
    f.run(50ms, 20);
    probes = static_cast<std::uint64_t>(std::ranges::count_if(
        f.in_flight, [](const auto& o) { return o.second.send.endpoint == kFaultyServer; }));
    max_probes = std::max(max_probes, probes);
  }
  EXPECT_LE(max_probes, 1u);
  recovered = true;
  f.run(60s, 20);
  f.forwarded_to.clear();
  f.run(20s, 20);
  EXPECT_GT(f.forwarded_to[kFaultyServer], 0u);
}
// Guards against requests that wait for a connect time-out in a zone that is unreachable, and
// against a zone that stays ejected after its recovery.
TEST(OutlierDetection, UnreachableZoneIsEjectedAndUsedAgainAfterRecovery) {
  Fleet f(20, Fleet::server_list(18, 3), nullptr);
  bool unreachable = false;
  f.server_model = [&](EndpointId s, Time) {
    return unreachable && static_cast<std::uint32_t>(s) % 3 == 1
               ? std::pair(AttemptOutcome::connect_failed, 250ms)
               : std::pair(AttemptOutcome::ok, 100ms);
  };
  f.run(20s, 5);
  const auto sent_to_zone = [&] {
    std::uint64_t n = 0;
    for (const auto& [id, k] : f.forwarded_to) n += static_cast<std::uint32_t>(id) % 3 == 1 ? k : 0;
    return n;
  };
  unreachable = true, f.forwarded_to.clear();
  f.run(5s, 5);
  std::cout << "requests sent by 20 gateways to an unreachable zone in 5 s: " << sent_to_zone()
            << "\n";
  EXPECT_LT(sent_to_zone(), 20u * 10);
  EXPECT_GT(f.count_logs("left: it can't be reached"), 0);
  unreachable = false, f.forwarded_to.clear();
  f.run(60s, 5);
  EXPECT_GT(f.count_logs("is back"), 0);
  f.forwarded_to.clear();
  f.run(20s, 5);
  std::uint64_t all = 0;
  for (const auto& [id, n] : f.forwarded_to) all += n;
  EXPECT_GT(sent_to_zone() * 4, all);  // a third, as before
}
// Guards against ejecting all zones when nothing answers: then this gateway itself is cut off.
TEST(OutlierDetection, GatewayThatIsCutOffEjectsNoZone) {
  Fleet f(1, Fleet::server_list(9, 3),
          [](EndpointId, Time) { return std::pair(AttemptOutcome::connect_failed, 250ms); });
  f.run(20s, 5);
  EXPECT_EQ(f.count_logs("left: it can't"), 0);
  EXPECT_GT(f.forwarded_to.size(), 6u);  // all servers are tried
}
// Guards against overloading the few servers that remain when most are ejected.
TEST(OutlierDetection, EjectionsAreIgnoredWhenMostServersAreEjected) {
  Fleet f(1, Fleet::server_list(8), nullptr);
  f.server_model = [&](EndpointId s, Time) {
    const bool unhealthy = static_cast<std::uint32_t>(s) < 5;
    return std::pair(unhealthy && f.chance(0.5) ? AttemptOutcome::error : AttemptOutcome::ok,
                     100ms);
  };
  f.run(120s, 20);
  double unhealthy = 0;
  for (std::uint32_t i = 0; i < 5; ++i) unhealthy += f.share(EndpointId(i));
  EXPECT_GT(unhealthy, 0.05);  // the three healthy servers do not get all requests
  EXPECT_GT(f.served, f.next / 2);
}
// Guards against a state in which no server is selected although the list has one that operators
// have not ejected.
TEST(OutlierDetection, ServerIsSelectedAfterAnySequenceOfOutcomesAndEjections) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    Fleet f(1, Fleet::server_list(6, 3), nullptr);
    f.random.seed(seed);
    std::set<EndpointId> ejected_by_operator;
    f.server_model = [&](EndpointId s, Time) {
      EXPECT_FALSE(ejected_by_operator.contains(s));
      const auto o = static_cast<AttemptOutcome>(random() % 6);
      return std::pair(o, Duration(1ms * (1 + random() % 300)));
    };
    for (int step = 0; step < 60; ++step) {
      const auto id = static_cast<EndpointId>(random() % 5);  // never the sixth server
      const bool is_ejected = random() % 2 == 0;
      if (!is_ejected) ejected_by_operator.erase(id);
      f.handle_event(0, OperatorEjection{id, is_ejected});
      if (is_ejected) ejected_by_operator.insert(id);
      f.run(500ms, 4);
    }
    f.run(10s, 1);
    f.forwarded_to.clear(), f.in_flight.clear();
    f.server_model = [](EndpointId, Time) { return std::pair(AttemptOutcome::ok, 20ms); };
    f.run(20s, 2);
    EXPECT_GT(f.forwarded_to.size(), 0u) << seed;
  }
}

}  // namespace
}  // namespace petrelrail::test
