// What an experiment consists of: the parties and their terms, what goes wrong, and what is
// expected. Figures are in seconds, units of the quota, bytes, or shares from 0 to 1, as each says.
// Sources: TERMS, DEPLOY and PROTOCOL, and for what a site decides its published ranges. The lab
// reads one from TOML (lab/scenario_file.hpp).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dice.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail::world {

struct FleetTerms {  // DEPLOY, "What an edge node is told" and "Limits"
  std::uint32_t nodes = 8;
  std::vector<std::string> zones{"a", "b", "c"};  // parties are dealt out to them in turn
  double seconds = 20;                            // during which clients ask
  double start_s = 0.05;                          // model: from a node's start until it can serve
  double term_s = 3.7;                            // from SIGTERM to SIGKILL: PROTOCOL, "Figures"
  std::uint64_t memory_mb = 192, sockets = 1024;
  bool signal_series = false;   // more SIGHUP and SIGTERM right behind SIGTERM; processes alone
  std::string members = "off";  // or "on", "pace": as the program's --members
};

struct NetworkTerms {  // one way, in ms; model and processes alike
  Range same_zone_ms{0.1, 0.26}, cross_zone_ms{0.7, 1.3}, client_ms{0.5, 1.1};
};

struct ServerTerms {  // PROTOCOL, "Edge nodes to price servers"
  std::uint32_t count = 12;
  double cores = 4;
  Range speed{0.85, 1.1};              // of a core against the reference on which work is told
  Range slots_per_core{4, 12};         // requests in work
  Range queue_per_core{8, 37};         // in the waiting room; beyond it a request is turned away
  double work_ms = 60, work_cv = 0.9;  // of a request, on a reference core
  double attempt_noise = 0.2;          // coefficient of variation between attempts of one request
  double thrash = 0.2, thrash_at = 5;  // loss of efficiency for each request a core beyond so many
  Range cold_from{0.24, 0.44};         // share of its capacity with which a started one begins
  Range cold_s{5, 18};                 // until it is warm
  double fall_multiple = 2.5, fall_s = 1;
  double connections_per_core = 500;  // beyond them a connect fails
  double full_tax = 0.08;      // share of the capacity that a full table of connections takes
  double handshake_ms = 1;     // of its work for each new connection
  double handshake_trips = 2;  // round trips until a new connection carries a request
  double idle_s = 30;          // after which it closes a connection
  double connect_timeout_ms = 250;
  double error_rate = 0;
  double drain_grace_s = 1;
  double drain_s = 4;         // from the start of a drain to the end of the process
  bool drops_expired = true;  // turns away what waited until its time was over
  std::uint32_t cell_size = 4;
};

struct CounterTerms {  // PROTOCOL, "The counter"
  double calls_per_s = 560;
  std::uint32_t parts = 1;
  double call_ms = 1;      // that a call takes besides its wait for its turn
  double line_ms = 80;     // longest line; a call that would wait longer is turned away
  double timeout_ms = 50;  // after which a node waits no more
  double price = 0.02;
  std::string zone = "";  // where it stands; empty: in none that can be lost
};

struct DiscoveryTerms {  // PROTOCOL, "Discovery"; counted as told no later than `told_s` afterwards
  Range notice_s{0.5, 3}, add_s{0.4, 2}, silent_notice_s{6.5, 14}, spread_ms{40, 390};
  double told_s = 6;
};

struct PlanTerms {
  std::string name;
  double share = 1;  // of what is asked inside the quotas
  double rate = 2, burst_s = 4;
  double price = 1, over_worth = 0, over_cost = 0.8;
  Range spread{0.5, 1};  // of the nodes, in a customer's set
  double open = 0;       // attempts out at once, as a multiple of rate * work; 0: no cap
  double ceiling = 0;    // times rate and burst; 0: none
};

struct ClientTerms {           // PROTOCOL, "Clients to edge nodes"
  double load = 0.5;           // asked inside the quotas, as a share of what the servers can do
  Range calm_use{0.16, 0.35};  // of its rate
  double full = 0.15, heavy = 0.08, spiky = 0.15;  // shares of the customers
  Range heavy_x{2.1, 4.4}, spike_x{2.1, 7.2}, spike_s{1, 3.8}, spike_every_s{12, 22};
  double skew = 0.7;    // how unevenly a customer comes through its set
  double shift_s = 15;  // after which the weights of its set change
  std::uint32_t retries = 2;
  double try_share = 0.7;       // of the time that is left, for each try but the last
  Range backoff_ms{120, 1000};  // first and longest; doubles
  double honour = 0.7;          // share of clients that obey a retry-after
  double most_retry_after_ms = 1000;
  Range notice_s{1.4, 3.7};  // until the front notices that a node has died
  double aim_ms = 2500, deadline_ms = 8000;
  double patience_ms = 500;     // beyond its time; then the client closes: the request is lost
  std::string effect = "safe";  // "safe", "keyed" or "unsafe"
  double
      leave_share = 0;    // of the tries whose client closes its connection before its time is over
  double turn_share = 0;  // of the tries that come under another of the plans; processes alone
  bool keeps_open = false;  // connections that a node leaves open after SIGTERM are used until the
                            // kill; processes alone
  std::vector<PlanTerms> plans;
};

struct PeerTerms {  // PROTOCOL, "Between edge nodes"
  Range delay_ms{1, 24};
  double loss = 0.03, duplicate = 0, reorder = 0;
  double in_per_s = 60;
  std::uint32_t most_bytes = 256;
};

struct WireTerms {  // how answers of price servers go over their connections; processes alone.
                    // Shares of the answers
  double long_answers = 0;  // of more bytes than a node holds back
  double chunked = 0, until_close = 0;
  double bytes_behind = 0;  // more comes behind the whole answer
  double pieces = 0;        // written in pieces, with pauses
};

struct SystemTerms {  // failing system calls of the nodes; processes alone.
                      // lab/shim/system_faults.cpp
  double accept = 0, connect = 0, socket = 0, poll = 0, read = 0, write = 0;  // shares of the calls
  double step_s = 0;  // by which the wall clock is stepped a while after the start; 0: not at all
  bool hide_closes = false;  // a fault of the node's, to test the rules with: it misses that a
                             // peer has closed
  bool any() const {
    return accept + connect + socket + poll + read + write > 0 || step_s != 0 || hide_closes;
  }
};

struct PriceTerms {           // WIRE, `prices`: points off the goal, each times its share or rate
  double cross_zone = 0.005;  // attempts at servers of another zone, per first try
  double handshake = 0;       // new connections, per first try
  double waste = 0.03;        // servers' work that served no answer, per work of the first tries
  double late_fail = 0.03;    // worth that ended unserved after its aim, per worth offered
  double peer = 0.02;         // datagrams' bytes taken in, per 256 bytes a first try
};

// Which parties something happens to.
struct Selector {
  enum class Kind { nodes, servers, counter, discovery, clients } kind = Kind::nodes;
  enum class Pick { all, range, share, zone } pick = Pick::all;
  std::uint32_t first = 0, last = 0;  // range, both included
  double share = 0;                   // of the kind, drawn by the seed
  std::string zone;
};

enum class FaultKind {
  kill,     // nodes: SIGKILL; start again after `for`
  restart,  // nodes: SIGTERM, then started again; spread evenly over `for`
  stall,    // nodes: SIGSTOP for `for`
  reload,   // nodes: SIGHUP with another file: `max_attempts`, `move` of discovery and the counter
  upgrade,  // nodes: a second process takes over, then SIGTERM to the first
  cut,      // between `who` and `from`: `way` = "both", "out" (from `who`) or "in"
  counter_slow,      // `factor` times fewer calls a second
  counter_silent,    // answers nothing, nothing is added; `empty`: has lost its numbers when it is
                     // back
  counter_refusing,  // connections are refused; `empty` likewise
  counter_empty,     // loses its numbers, once
  counter_spoilt,    // `share` of the answers hold no number; the amount was added
  zone_lost,     // `zone`: servers there vanish, come back cold; `counter` = true takes the counter
                 // along
  servers_bad,   // `share` of what they get is answered with an error at once
  servers_slow,  // `factor` times slower
  servers_gone,  // they vanish and say nothing; with `for` they are back cold
  servers_replaced,  // drained over `for` in steps, a new one for each
  answers_spoilt,    // `share` of the answers are cut short
  burst,             // clients ask `factor` times as much
  list_late,         // discovery tells `delay` s later
  list_wrong_zone,   // `who` servers are listed in a wrong zone
  peers_lossy,       // `share` of the datagrams more are lost
};

struct Fault {
  FaultKind kind{};
  double at = 0, lasts = 0;  // seconds from the start of the clients
  std::vector<Selector> who;
  std::vector<Selector> from;  // the other side of a cut
  double factor = 2, share = 0.5, delay = 1;
  std::string zone, way = "both";
  std::string connects = "silent";  // new connections in a cut: "silent" or "reset"
  bool counter = false, empty = false, move = false;
  std::uint32_t max_attempts = 0;  // 0: as it was
};

struct Expectation {
  std::string figure;
  std::optional<double> at_most, at_least;
  double from = 0;
  std::optional<double> to;
};

struct Scenario {
  std::string name, shows;
  FleetTerms fleet;
  NetworkTerms network;
  ServerTerms servers;
  CounterTerms counter;
  DiscoveryTerms discovery;
  ClientTerms clients;
  PeerTerms peers;
  PriceTerms prices;
  WireTerms wire;
  SystemTerms system;
  std::vector<Fault> faults;
  std::vector<Expectation> expectations;
};

const char* name_of(FaultKind kind);
std::optional<FaultKind> fault_kind(const std::string& name);

}  // namespace petrelrail::world
