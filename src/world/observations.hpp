// Observations that a simulation makes of its own parties, in order of time. The invariant checker,
// the run statistics and the event log are computed from these alone, for both runtimes; nothing
// that a node reports is among them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "petrelrail/gateway.hpp"

namespace petrelrail::world {

enum class ClientAttemptId : std::uint64_t {};

// A client sends a request to a node.
struct ClientAttemptSent {
  ClientAttemptId id{};
  std::uint32_t node = 0;
  CustomerId customer{};
  std::uint32_t plan = 0;
  double units = 1;
  std::uint32_t spread = 1;  // nodes in the customer's set
  Time deadline{};           // when the client stops waiting
  ClientAttemptId root{};    // the first client attempt of this request, or this one itself
  Time first_sent{};         // when the first client attempt was sent
};
struct ClientAttemptReceived {  // its last byte arrived at the node's machine
  ClientAttemptId id{};
};
enum class Verdict { served, refused, failed };
struct ClientAttemptAnswered {
  ClientAttemptId id{};
  Verdict verdict{};
  bool genuine = true;  // if served: the response is one a price server sent for this request
};
struct ClientAttemptBroken {  // the node closed the connection without a complete answer
  ClientAttemptId id{};
  bool first_on_connection = false;  // then it counts as failed, not lost: TERMS
};
struct ClientAttemptUnreachable {  // no connection to the node was established
  ClientAttemptId id{};
};
struct ClientAttemptAbandoned {  // the client closed its connection
  ClientAttemptId id{};
  bool early = false;  // before its deadline
};

struct NodeUp {
  std::uint32_t node = 0;
};
struct NodeDown {
  std::uint32_t node = 0;
  bool crashed = false;  // exited without being stopped
};

struct ServerAnnounced {  // discovery sent an entry to a node
  std::uint32_t node = 0;
  EndpointId server{};
  EndpointPhase phase{};
  bool initial = false;  // part of the list that the node starts with
};
struct ServerStarted {
  EndpointId server{};
  std::uint32_t zone = 0, cell = 0;
};
struct ServerOverloadedCold {  // it received more work than a cold server can take, and crashed
  EndpointId server{};
  double informed_share = 0;  // of that work, from nodes notified of the server's start
};
struct Handshake {
  std::uint32_t node = 0;
  EndpointId server{};
  bool up = true;
};
struct AttemptArrived {  // its last byte arrived at the price server
  ClientAttemptId id{};
  std::uint32_t node = 0;
  EndpointId server{};
  Time first_byte{};
  std::uint64_t attempt = 0;  // unique number
  double work_s = 0;          // processing time on a reference core
  bool cross_zone = false;    // the server's zone differs from the node's
};
struct AttemptCompleted {  // answered, or its connection ended
  ClientAttemptId id{};
  std::uint64_t attempt = 0;
  bool never_ran = false;
};
struct CounterCalled {
  std::uint32_t node = 0;
  bool answered = true;       // an answer will be sent in time
  Duration response_delay{};  // until the answer leaves the counter
};
struct CounterReset {};  // the counter lost its totals
struct Datagram {
  std::uint32_t from = 0, to = 0;
  std::uint32_t bytes = 0;
  bool received = true;  // false: lost in the network or over the node's receive limit
};
struct FaultStarted {
  std::string text;
};
struct FaultEnded {
  std::string text;
};
struct ResourceUsage {  // of a node's process since its start; the simulated runtime reports none
  std::uint32_t node = 0;
  double cpu_s = 0;
  double memory_mb = 0;
};

using Observation = std::variant<
    ClientAttemptSent, ClientAttemptReceived, ClientAttemptAnswered, ClientAttemptBroken,
    ClientAttemptUnreachable, ClientAttemptAbandoned, NodeUp, NodeDown, ServerAnnounced,
    ServerStarted, ServerOverloadedCold, Handshake, AttemptArrived, AttemptCompleted, CounterCalled,
    CounterReset, Datagram, FaultStarted, FaultEnded, ResourceUsage>;

}  // namespace petrelrail::world
