// Guards against overloading a price server in slow start: the attempts that all gateways together
// send it within any overload window stay within the overload multiple of its capacity. Simulates a
// fleet on one clock; arrivals, service times and seeds are fixed, so that results are
// reproducible.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <unordered_map>

#include "gateway_fixture.hpp"

namespace petrelrail::test {
namespace {

double in_seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration of_seconds(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }

struct Deployment {
  const char* name;
  std::uint32_t servers = 1;
  double slots = 1;        // requests that a warm server processes concurrently
  double service_s = 0.1;  // mean service time of a request, in seconds
  double overload_multiple = 1, overload_window_s = 1, slow_start_capacity = 1, slow_start_s = 1;

  double capacity() const { return slots / service_s; }  // of a warm server, in requests per second
};
// Deployments that differ widely in size, service time and overload limit.
constexpr Deployment kDeployments[] = {{"small quick", 6, 4, 0.05, 2.5, 1, 0.2, 6},
                                       {"wide", 40, 1, 0.08, 2.5, 3, 0.1, 8},
                                       {"slow work", 12, 5, 0.2, 1.8, 5, 0.3, 10}};
// Every gateway has enough traffic to send each server several requests per second, so that only
// the slow-start limit bounds the load.
constexpr Deployment kHighTraffic[] = {{"high traffic", 6, 12, 0.05, 2.5, 1, 0.2, 6}};
constexpr std::uint32_t kFleetSizes[] = {1, 3, 20, 30, 300};
constexpr double kLeadTimeSeconds = 8;  // seconds of traffic before the servers start: longer than
                                        // the averaging time of the response rate

struct Case {
  const char* name;
  double load = 0.9;         // arrival rate, as a fraction of the capacity of all servers when warm
  double zipf_exponent = 0;  // Zipf exponent of the gateways' shares of the arrivals; 0: even
  double restarting_share = 0;  // fraction of the gateways that restart during slow start
  bool restart_at_once = false;
  double failing_share = 0;              // fraction of attempts that fail after 2 ms
  std::uint32_t slow_start_servers = 1;  // number of servers that start together; 0: all
  // Delay until half of the gateways learn of the start, in seconds.
  double notification_delay_s = 0;
  double surge_factor = 1;  // factor on the arrival rate after a third of the slow start
  // Operators eject the servers at all gateways, and end the ejection.
  bool ejected_by_operator = false;
};

struct RunStats {
  // Maximum of sent / (N + 2 sqrt N + 2), where N is the number allowed. Above 1: a violation.
  double worst_ratio = 0;
  double sent = 0, allowed = 0;  // attempts at that maximum
  double used_share = 0;         // attempts sent, as a fraction of the slow-start capacity
};

// One simulation run. Events are processed in order of time, events of the same time in order of
// creation.
class Fleet {
 public:
  Fleet(const Deployment& d, const Case& c, std::uint32_t gateways, std::uint64_t seed)
      : d_(d),
        c_(c),
        rng_(seed * 7919 + gateways),
        gateways_(gateways),
        seed_(seed),
        attempt_times_(slow_start_count()) {
    double sum = 0;
    std::vector<double> shares;
    for (std::uint32_t g = 0; g < gateways; ++g)
      shares.push_back(std::pow(g + 1.0, -c.zipf_exponent));
    std::ranges::shuffle(shares, rng_);  // independent of their preferred servers
    for (const double s : shares) shares_.push_back(sum += s);
    for (std::uint32_t g = 0; g < gateways; ++g) start(g);
  }

  // Runs the simulation until the end of the slow start.
  RunStats run() {
    for (std::uint32_t g = 0; g < gateways_; ++g) {
      schedule(notification_time(g), [this, g] { send_list(g); });
      if (c_.ejected_by_operator) {
        schedule(slow_start_begin_ - 3s, [this, g] {
          for_slow_start_servers([&](EndpointId s) { handle_event(g, OperatorEjection{s, true}); });
        });
        schedule(slow_start_begin_, [this, g] {
          for_slow_start_servers([&](EndpointId s) {
            handle_event(g, OperatorEjection{s, false});
          });
        });
      }
    }
    const auto restarts = static_cast<std::uint32_t>(std::ceil(c_.restarting_share * gateways_));
    for (std::uint32_t i = 0; i < restarts; ++i) {
      const std::uint32_t g = i * gateways_ / restarts;
      const double when = c_.restart_at_once ? 0.25 : 0.05 + 0.6 * (i + 0.5) / restarts;
      schedule(slow_start_begin_ + of_seconds(when * d_.slow_start_s), [this, g] { restart(g); });
    }
    schedule_next_arrival();
    while (!events_.empty() && events_.begin()->first.first < slow_start_end_) {
      auto node = events_.extract(events_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    stats_.used_share = static_cast<double>(total_sent_) /
                        (slow_start_count() * allowed_attempts(slow_start_begin_, slow_start_end_) /
                         d_.overload_multiple);
    return stats_;
  }

 private:
  struct GatewayNode {
    std::optional<Gateway> gateway;
    std::uint32_t instance = 0;  // events of an earlier instance are dropped
  };

  std::uint32_t slow_start_count() const {
    return c_.slow_start_servers == 0 ? d_.servers : c_.slow_start_servers;
  }
  void for_slow_start_servers(auto&& visit) const {
    for (std::uint32_t i = 0; i < slow_start_count(); ++i) visit(EndpointId(i + 1));
  }
  Time notification_time(std::uint32_t g) const {
    return slow_start_begin_ + (g % 2 == 1 ? of_seconds(c_.notification_delay_s) : Duration{});
  }
  double random() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }
  void schedule(Time when, std::function<void()> action) {
    events_.emplace(std::pair(when, next_event_number_++), std::move(action));
  }

  Settings settings_of(std::uint32_t g) const {
    Settings s;
    s.classes = {{.name = "safe", .latency_objective = 800ms, .deadline = 2s}};
    s.plans = {{.name = "no quota"}};
    s.fleet_size = gateways_, s.gateway_index = g;
    s.max_attempts = 3;
    s.response_slack = 16ms, s.drain_grace = 250ms;
    s.overload_multiple = d_.overload_multiple,
    s.overload_window = of_seconds(d_.overload_window_s);
    s.slow_start_capacity = d_.slow_start_capacity,
    s.slow_start_duration = of_seconds(d_.slow_start_s);
    return s;
  }

  // The servers that start later are listed as gone until then; a gateway that learns of the start
  // late lists them as gone for longer.
  EndpointListUpdate list(std::uint32_t g) const {
    EndpointListUpdate u;
    for (std::uint32_t i = 0; i < d_.servers; ++i) {
      EndpointInfo info{.id = EndpointId(i + 1)};
      if (i < slow_start_count() && !c_.ejected_by_operator) {
        if (now_ >= notification_time(g))
          info.started = slow_start_begin_;
        else if (c_.slow_start_servers != 0)
          info.phase = EndpointPhase::gone;
      }
      u.entries.push_back(info);
    }
    return u;
  }
  void start(std::uint32_t g) {
    auto& n = nodes_[g];
    n.gateway.emplace(settings_of(g), seed_ * 1'000'003 + g * 101 + n.instance);
    send_list(g);
  }
  void restart(std::uint32_t g) { ++nodes_[g].instance, start(g); }
  void send_list(std::uint32_t g) { handle_event(g, list(g)); }

  void schedule_next_arrival() {
    const bool is_surging = now_ >= slow_start_begin_ + of_seconds(d_.slow_start_s / 3);
    const double rate = c_.load * d_.servers * d_.capacity() * (is_surging ? c_.surge_factor : 1);
    schedule(now_ + of_seconds(-std::log(1 - random()) / rate), [this] {
      const auto gateway = std::ranges::lower_bound(shares_, random() * shares_.back()) -
                           shares_.begin();
      const auto id = ++requests_;
      handle_event(static_cast<std::uint32_t>(gateway),
                   RequestArrived{.request = RequestId(id),
                                  .customer = CustomerId(id % 1000),
                                  .time_left = 2s,
                                  .gateways = gateways_});
      schedule_next_arrival();
    });
  }

  void handle_event(std::uint32_t g, const Event& e) {
    auto& n = nodes_[g];
    for (const auto& action : n.gateway->handle(now_, e)) {
      if (const auto* s = std::get_if<Send>(&action)) {
        const auto attempt = attempts_[s->request]++;
        record_attempt(s->endpoint);
        const bool fails = random() < c_.failing_share;
        const auto duration = fails ? Duration(2ms) : of_seconds(d_.service_s * (0.5 + random()));
        deliver_after(g, duration,
                      AttemptEnded{.request = s->request,
                                   .attempt = attempt,
                                   .endpoint = s->endpoint,
                                   .outcome = fails ? AttemptOutcome::error : AttemptOutcome::ok,
                                   .duration = duration,
                                   .request_completed = !fails});
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        deliver_after(g, t->delay, TimerDue{t->timer});
      }
    }
  }
  void deliver_after(std::uint32_t g, Duration delay, Event e) {
    schedule(now_ + delay, [this, g, instance = nodes_[g].instance, e = std::move(e)] {
      if (nodes_[g].instance == instance) handle_event(g, e);
    });
  }

  // Number of attempts allowed at a server in slow start between two times: the overload multiple
  // of its capacity, which rises linearly from its start. Uses the mean capacity over the span,
  // which is stricter than the capacity at the end of the span, the present one.
  double allowed_attempts(Time from, Time to) const {
    const auto until = [&](Time t) {
      const double x = in_seconds(t - slow_start_begin_),
                   rise = (1 - d_.slow_start_capacity) / d_.slow_start_s;
      return d_.slow_start_capacity * x + (x > 0 ? rise * x * x / 2 : 0);
    };
    return d_.overload_multiple * d_.capacity() * (until(to) - until(from));
  }
  void record_attempt(EndpointId server) {
    const auto i = static_cast<std::uint32_t>(server) - 1;
    if (i >= slow_start_count() || now_ < slow_start_begin_) return;
    ++total_sent_;
    auto& p = attempt_times_[i];
    p.push_back(now_);
    const auto from = now_ - of_seconds(d_.overload_window_s);
    while (p.front() <= from) p.pop_front();
    const double n = allowed_attempts(from, now_), sent = static_cast<double>(p.size());
    const double worst_ratio = sent / (n + 2 * std::sqrt(n) + 2);
    if (worst_ratio > stats_.worst_ratio)
      stats_.worst_ratio = worst_ratio, stats_.sent = sent, stats_.allowed = n;
  }

  const Deployment& d_;
  const Case& c_;
  std::mt19937_64 rng_;
  std::uint32_t gateways_;
  std::uint64_t seed_;
  Time now_{1h};
  const Time slow_start_begin_ = now_ + of_seconds(kLeadTimeSeconds),
             slow_start_end_ = slow_start_begin_ + of_seconds(d_.slow_start_s);
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t next_event_number_ = 0, requests_ = 0, total_sent_ = 0;
  std::map<std::uint32_t, GatewayNode> nodes_;
  std::vector<double> shares_;  // cumulative shares of the arrivals, by gateway
  std::unordered_map<RequestId, std::uint32_t> attempts_;
  // Times of the attempts within the last overload window, by server in slow start.
  std::vector<std::deque<Time>> attempt_times_;
  RunStats stats_;
};

// Runs a case with two seeds for each deployment and fleet size. Prints the span that came nearest
// to the limit and the fraction of the slow-start capacity that was used; a fraction below
// `min_used` means that the servers in slow start are hardly used.
void expect_limit_holds(const Case& c, double min_used,
                        std::span<const Deployment> deployments = kDeployments) {
  for (const auto& d : deployments) {
    for (const auto gateways : kFleetSizes) {
      RunStats worst;
      double used_share = 1;
      for (const std::uint64_t seed : {1, 2}) {
        const auto result = Fleet(d, c, gateways, seed).run();
        if (result.worst_ratio > worst.worst_ratio) worst = result;
        used_share = std::min(used_share, result.used_share);
      }
      std::printf(
          "%-24s %3.0f%% %-12s %3u gateways: worst span %4.0f of %6.1f (+%5.1f), used %.2f%s\n",
          c.name, 100 * c.load, d.name, gateways, worst.sent, worst.allowed,
          2 * std::sqrt(worst.allowed) + 2, used_share, worst.worst_ratio > 1 ? "  VIOLATION" : "");
      EXPECT_LE(worst.worst_ratio, 1)
          << c.name << ", " << d.name << ", " << gateways << " gateways: " << worst.sent
          << " sent in a span that allows " << worst.allowed;
      EXPECT_GE(used_share, min_used)
          << c.name << ", " << d.name << ", " << gateways << " gateways";
    }
  }
}

TEST(SlowStartLimit, HoldsForEvenTrafficAtHalfTheCapacity) {
  expect_limit_holds({.name = "even", .load = 0.5}, 0.03);
}
TEST(SlowStartLimit, HoldsForEvenTrafficNearTheCapacity) {
  expect_limit_holds({.name = "even"}, 0.1);
}
TEST(SlowStartLimit, HoldsForEvenTrafficWithManyRequestsPerGateway) {
  expect_limit_holds({.name = "even"}, 0.3, kHighTraffic);
}
TEST(SlowStartLimit, HoldsForSkewedTraffic) {
  expect_limit_holds({.name = "skewed", .zipf_exponent = 0.5}, 0.1);
}
TEST(SlowStartLimit, HoldsWhenAFewGatewaysGetMostTraffic) {
  expect_limit_holds({.name = "very skewed", .zipf_exponent = 1}, 0.05);
}
TEST(SlowStartLimit, HoldsWhenATenthOfTheGatewaysRestartsDuringSlowStart) {
  expect_limit_holds({.name = "tenth restarts", .restarting_share = 0.1}, 0.05);
}
TEST(SlowStartLimit, HoldsWhenHalfOfTheGatewaysRestartDuringSlowStart) {
  expect_limit_holds({.name = "half restart", .restarting_share = 0.5}, 0.05);
}
TEST(SlowStartLimit, HoldsWhenAllGatewaysRestartOneByOneDuringSlowStart) {
  expect_limit_holds({.name = "all restart", .restarting_share = 1}, 0.03);
}
TEST(SlowStartLimit, HoldsWhenAllGatewaysRestartAtOnce) {
  expect_limit_holds(
      {.name = "all restart at once", .restarting_share = 1, .restart_at_once = true}, 0.03);
}
TEST(SlowStartLimit, HoldsWhenAThirdOfTheAttemptsFailsAndIsRetried) {
  expect_limit_holds({.name = "third of attempts fails", .failing_share = 1.0 / 3}, 0.05);
}
TEST(SlowStartLimit, HoldsForThreeServersInSlowStartAtOnce) {
  expect_limit_holds({.name = "three in slow start", .slow_start_servers = 3}, 0.05);
}
TEST(SlowStartLimit, HoldsWhenHalfOfTheGatewaysLearnOfTheServersLate) {
  expect_limit_holds({.name = "late to half", .notification_delay_s = 2}, 0.05);
}
TEST(SlowStartLimit, HoldsWhenAllServersAreInSlowStart) {
  expect_limit_holds({.name = "all in slow start", .slow_start_servers = 0}, 0.1);
}
TEST(SlowStartLimit, HoldsWhenAllServersAreInSlowStartAndAllGatewaysRestartAtOnce) {
  expect_limit_holds({.name = "slow start, all restart",
                      .restarting_share = 1,
                      .restart_at_once = true,
                      .slow_start_servers = 0},
                     0.05);
}
TEST(SlowStartLimit, HoldsWhenTrafficSurgesDuringSlowStart) {
  expect_limit_holds({.name = "surge", .load = 0.3, .surge_factor = 3}, 0.03);
}
TEST(SlowStartLimit, HoldsWhenOperatorsEndAnEjectionAtAllGatewaysAtOnce) {
  expect_limit_holds({.name = "operators end ejection", .ejected_by_operator = true}, 0.05);
  expect_limit_holds({.name = "operators end ejection", .ejected_by_operator = true}, 0.05,
                     kHighTraffic);
}

}  // namespace
}  // namespace petrelrail::test
