// A simulation scenario: configuration of the parties, faults to inject, and expected results.
// Values are in seconds, quota units, bytes or shares from 0 to 1; fields that the lab reads from
// TOML (lab/scenario_file.hpp) have the names of their keys. Defaults come from TERMS, DEPLOY and
// PROTOCOL, and for values that a site decides from its published ranges.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "petrelrail/gateway.hpp"
#include "random_streams.hpp"

namespace petrelrail::world {

struct FleetConfig {  // DEPLOY, "What an edge node is told" and "Limits"
  std::uint32_t nodes = 8;
  std::vector<std::string> zones{"a", "b", "c"};  // parties are assigned to them round-robin
  double seconds = 20;                            // in which clients send requests
  double start_s = 0.05;  // simulated runtime: from a node's start until it serves
  double term_s = 3.7;    // from SIGTERM to SIGKILL: PROTOCOL, "Figures"
  std::uint64_t memory_mb = 192, sockets = 1024;
  bool signal_series = false;   // more SIGHUP and SIGTERM right after SIGTERM; process runtime only
  std::string members = "off";  // or "on", "pace": the value of the program's --members
};

struct NetworkConfig {  // one-way delays, in both runtimes
  Range same_zone_ms{0.1, 0.26}, cross_zone_ms{0.7, 1.3}, client_ms{0.5, 1.1};
};

struct ServerConfig {  // PROTOCOL, "Edge nodes to price servers"
  std::uint32_t count = 12;
  double cores = 4;
  Range speed{0.85, 1.1};              // of a core, relative to the reference core
  Range slots_per_core{4, 12};         // requests processed at once
  Range queue_per_core{8, 37};         // queued requests; further ones are rejected
  double work_ms = 60, work_cv = 0.9;  // of a request on a reference core
  double attempt_noise = 0.2;          // coefficient of variation between attempts of one request
  // Loss of efficiency for requests per core above `thrash_at`.
  double thrash = 0.2, thrash_at = 5;
  Range cold_from{0.24, 0.44};  // share of its capacity right after a start
  Range cold_s{5, 18};          // duration of the warm-up
  // A cold server crashes on more work than this multiple of its capacity within `fall_s`.
  double fall_multiple = 2.5, fall_s = 1;
  double connections_per_core = 500;  // above it, connection attempts fail
  double full_tax = 0.08;      // share of the capacity lost when the connection limit is reached
  double handshake_ms = 1;     // processing for each new connection
  double handshake_trips = 2;  // round trips before a new connection carries a request
  double idle_s = 30;          // after which the server closes an idle connection
  double connect_timeout_ms = 250;
  double error_rate = 0;
  double drain_grace_s = 1;
  double drain_s = 4;         // from the start of a drain to the end of the process
  bool drops_expired = true;  // rejects queued requests whose deadline has passed
  std::uint32_t cell_size = 4;
};

struct CounterConfig {  // PROTOCOL, "The counter"
  double calls_per_s = 560;
  std::uint32_t parts = 1;
  double call_ms = 1;      // duration of a call in addition to its time in the queue
  double line_ms = 80;     // longest time in the queue; a call that would wait longer is rejected
  double timeout_ms = 50;  // after which a node stops waiting
  double price = 0.02;
  std::string zone = "";  // empty: in no zone that can be lost
};

struct DiscoveryConfig {  // PROTOCOL, "Discovery"; a node counts as notified at most `told_s` later
  Range notice_s{0.5, 3}, add_s{0.4, 2}, silent_notice_s{6.5, 14}, spread_ms{40, 390};
  double told_s = 6;
};

struct PlanConfig {
  std::string name;
  double share = 1;  // of the load within the quotas
  double rate = 2, burst_s = 4;
  double price = 1, over_worth = 0, over_cost = 0.8;
  Range spread{0.5, 1};  // share of the nodes that are in a customer's set
  double open = 0;       // concurrent attempts, as a multiple of rate * work; 0: no limit
  double ceiling = 0;    // multiple of rate and burst; 0: none
};

struct ClientConfig {          // PROTOCOL, "Clients to edge nodes"
  double load = 0.5;           // within the quotas, as a share of the servers' capacity
  Range calm_use{0.16, 0.35};  // of a customer's rate
  double full = 0.15, heavy = 0.08, spiky = 0.15;  // shares of the customers
  Range heavy_x{2.1, 4.4}, spike_x{2.1, 7.2}, spike_s{1, 3.8}, spike_every_s{12, 22};
  double skew = 0.7;    // how unevenly a customer uses the nodes of its set
  double shift_s = 15;  // interval at which the weights of the set change
  std::uint32_t retries = 2;
  double try_share = 0.7;       // of the remaining time, for each client attempt but the last
  Range backoff_ms{120, 1000};  // first and longest; doubles each time
  double honour = 0.7;          // share of clients that obey Retry-After
  double most_retry_after_ms = 1000;
  Range notice_s{1.4, 3.7};  // until the clients' front detects that a node is down
  double aim_ms = 2500, deadline_ms = 8000;
  double patience_ms = 500;  // after the deadline; then the client disconnects: the request is lost
  std::string effect = "safe";  // "safe", "keyed" or "unsafe"
  // Share of the client attempts whose client disconnects before the deadline.
  double early_disconnect_share = 0;
  // Share of the client attempts sent under another plan; process runtime only.
  double plan_switch_share = 0;
  // Clients use connections that a node leaves open after SIGTERM until it is killed; process
  // runtime only.
  bool reuses_draining_connections = false;
  // Further connections to each node that make it hold as much as they can; process runtime only.
  std::uint32_t crowd_per_node = 0;
  std::vector<PlanConfig> plans;
};

struct PeerConfig {  // PROTOCOL, "Between edge nodes"
  Range delay_ms{1, 24};
  double loss = 0.03, duplicate = 0, reorder = 0;
  double in_per_s = 60;
  std::uint32_t most_bytes = 256;
};

struct ResponseDeliveryConfig {  // how price servers send responses, as shares of the responses;
                                 // process runtime only
  double long_responses = 0;     // larger than a node's response buffer
  double chunked = 0, until_close = 0;
  double trailing_bytes = 0;  // followed by more bytes than the response has
  double fragmented = 0;      // written in parts with pauses between
};

struct SystemFaultConfig {  // failing system calls of the nodes (lab/shim/system_faults.cpp);
                            // process runtime only
  double accept = 0, connect = 0, socket = 0, poll = 0, read = 0, write = 0;  // shares of the calls
  double step_s = 0;  // step of the wall clock some time after the start; 0: none
  // Hides closed connections from the node: simulates a defect of the node, to test the checker.
  bool hide_closes = false;
  bool any() const {
    return accept + connect + socket + poll + read + write > 0 || step_s != 0 || hide_closes;
  }
};

struct CostConfig {  // WIRE, `prices`: deductions from the goal, each times its share or rate
  double cross_zone = 0.005;  // attempts at servers of another zone, per request
  double handshake = 0;       // new connections, per request
  double waste = 0.03;        // work of servers without a served answer, per work of the requests
  double
      late_fail = 0.03;  // value of requests unserved past their latency target, per value offered
  double peer = 0.02;    // received bytes of datagrams, per 256 bytes for each request
};

// Selects the parties that a fault affects.
struct Selector {
  enum class Kind { nodes, servers, counter, discovery, clients } kind = Kind::nodes;
  enum class Pick { all, range, share, zone } pick = Pick::all;
  std::uint32_t first = 0, last = 0;  // of a range, both included
  double share = 0;                   // of the kind, drawn from the seed
  std::string zone;
};

enum class FaultKind {
  kill,     // nodes: SIGKILL; started again after `for`
  restart,  // nodes: SIGTERM, then started again; spread evenly over `for`
  stall,    // nodes: SIGSTOP for `for`
  reload,   // nodes: SIGHUP with a changed file: `max_attempts`; `move`: new addresses of discovery
            // and the counter
  upgrade,  // nodes: a second process takes over, then the first gets SIGTERM
  cut,      // between `who` and `from`: `way` = "both", "out" (from `who`) or "in"
  counter_slow,      // `factor` times fewer calls a second
  counter_silent,    // answers nothing and adds nothing; `empty`: comes back without its totals
  counter_refusing,  // refuses connections; `empty` as above
  counter_empty,     // loses its totals, once
  counter_spoilt,    // `share` of the answers have no total; the amount is added
  zone_lost,     // servers in `zone` become unresponsive and come back cold; with `counter` = true
                 // the counter does too
  servers_bad,   // answer `share` of the requests with an error at once
  servers_slow,  // `factor` times slower
  servers_gone,  // become unresponsive; with `for` they come back cold
  servers_replaced,  // drained one by one over `for`, each replaced by a new server
  answers_spoilt,    // `share` of the answers are truncated
  burst,             // clients send `factor` times as many requests
  list_late,         // discovery notifies nodes `delay` s later
  list_wrong_zone,   // `who`: servers listed in a wrong zone
  peers_lossy,       // `share` of the datagrams are lost in addition
};

struct Fault {
  FaultKind kind{};
  double at = 0, duration_s = 0;  // `at`: seconds from the start of the clients
  std::vector<Selector> who;
  std::vector<Selector> from;  // the other side of a partition
  double factor = 2, share = 0.5, delay = 1;
  std::string zone, way = "both";
  std::string connects = "silent";  // new connections in a partition: "silent" or "reset"
  bool counter = false, empty = false, move = false;
  std::uint32_t max_attempts = 0;  // 0: unchanged
};

// A bound on a statistic, named as in figures.json, over a span in seconds.
struct Expectation {
  std::string figure;
  std::optional<double> at_most, at_least;
  double from = 0;
  std::optional<double> to;
};

struct Scenario {
  std::string name, shows;
  FleetConfig fleet;
  NetworkConfig network;
  ServerConfig servers;
  CounterConfig counter;
  DiscoveryConfig discovery;
  ClientConfig clients;
  PeerConfig peers;
  CostConfig prices;
  ResponseDeliveryConfig wire;
  SystemFaultConfig system;
  std::vector<Fault> faults;
  std::vector<Expectation> expectations;
};

const char* name_of(FaultKind kind);
// None if no fault has this name.
std::optional<FaultKind> fault_kind(const std::string& name);

}  // namespace petrelrail::world
