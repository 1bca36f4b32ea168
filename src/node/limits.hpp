// Values that PROTOCOL and DEPLOY give, and the safety limits of the sockets; no decision of the
// decision module depends on them. Only this file of the edge node may hold numeric constants.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "petrelrail/gateway.hpp"

namespace petrelrail::limits {

using namespace std::chrono_literals;

// ---- PROTOCOL -----------------------------------------------------------------------------------
// Of a message, in either direction.
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;
// The customer number in the cookie is below this.
inline constexpr std::uint64_t kCustomerIdEnd = 1ULL << 33;
inline constexpr std::size_t kCustomerIdHexDigits = 16;
// Interval of the empty lines that a watch carries while nothing changes.
inline constexpr Duration kWatchKeepAliveInterval = 2s;
// The node is taken to know a change of the list this long after discovery has it,
inline constexpr Duration kDiscoveryNotificationDelay = 6s;
// and a new address of discovery this long after SIGHUP.
inline constexpr Duration kReloadNotificationDelay = 4s;
// The counter closes a connection that has been idle this long.
inline constexpr Duration kCounterIdleTimeout = 10s;
// Clients use the classes of a new configuration after this.
inline constexpr Duration kClassSwitchDelay = 1200ms;
// New connections arrive for 400 ms after SIGTERM; the rest is margin.
inline constexpr Duration kNewConnectionsAfterTerm = 600ms;
// SIGKILL follows SIGTERM after this plus the longest deadline of the classes,
inline constexpr Duration kKillDelayAfterTerm = 700ms;
// of which at most this much counts.
inline constexpr Duration kMaxDeadlineAtTerm = 3s;
// Time before SIGKILL that is reserved for writing the last responses.
inline constexpr Duration kFinalResponseMargin = 100ms;
// A final response that is 500 ms late counts as lost; the rest is margin.
inline constexpr Duration kMaxResponseLateness = 400ms;
// A request that is this long past its deadline without a response gets one from the node,
inline constexpr Duration kOverdueTolerance = 300ms;
// which checks the open requests at this interval.
inline constexpr Duration kOverdueCheckInterval = 100ms;

// ---- Limits on peers that misbehave or disappear ------------------------------------------------
// Of a request; a longer one is answered 413.
inline constexpr std::uint64_t kMaxStreamedBodyBytes = 64ULL << 20U;
// A response is buffered up to this size, so that the request can still be retried elsewhere,
inline constexpr std::size_t kMaxBufferedResponseBytes = 16 * 1024;
// and up to this time: a response withheld for 2 s would count as held back.
inline constexpr Duration kMaxResponseBufferTime = 300ms;
// Of a streamed body, in either direction.
inline constexpr std::size_t kStreamChunkBytes = 16 * 1024;
// A streamed body of which nothing arrives, or nothing is taken, for this long is aborted.
inline constexpr Duration kStreamStallTimeout = 10s;
// The same for a response of unknown length whose time is over.
inline constexpr Duration kMaxLatePartInterval = 1s;
// Within which such a response has to pass kMaxBodyBytes.
inline constexpr Duration kMaxTimeToLongResponse = kStreamStallTimeout;
// The first part of a response is forwarded this long before its request's deadline at the latest.
inline constexpr Duration kFirstPartMargin = 50ms;
// Upper bound of what the sockets of a client and of this node hold together; Linux's default
// limits are 4 MiB and 6 MiB.
inline constexpr std::uint64_t kMaxSocketBufferBytes = 16ULL << 20U;
// The same of a client's socket alone.
inline constexpr std::uint64_t kMaxSendBufferBytes = 8ULL << 20U;
// Of a message's header; a request with a longer one is answered 431.
inline constexpr std::size_t kMaxHeaderBytes = 8 * 1024;
// Of a message's header and trailer together; a request with more is answered 431.
inline constexpr std::size_t kMaxHeaderFields = 100;
// Of the parser's node for one field, and of the allocator.
inline constexpr std::size_t kHeaderFieldOverheadBytes = 80;
// What is read of a client's input while its request is in flight; the rest is left in the socket
// and read when an attempt begins, as the client's close may be behind it,
inline constexpr std::size_t kMaxReadAheadBytes = 4 * 1024;
// but from this size on it is discarded,
inline constexpr std::size_t kMaxUnreadInputBytes = 32 * 1024;
// this much of it at once.
inline constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;
// Of what is remembered of requests whose clients have left, without a memory limit.
inline constexpr std::size_t kMaxHistoryBytes = 4UL * 1024 * 1024;
// Of an accepted request, at the node and at the decision module, without its strings.
inline constexpr std::size_t kRequestOverheadBytes = 2 * 1024;
// Memory reserved for the header of a response.
inline constexpr std::size_t kTypicalHeaderBytes = 192;
// Read from a socket in one call.
inline constexpr std::size_t kReadBufferBytes = 4 * 1024;
// Read of one client's request in one turn while memory is short.
inline constexpr std::size_t kMaxInputBytesPerTurn = 2 * kMaxBodyBytes;
// Of X-Request-ID and Idempotency-Key.
inline constexpr std::size_t kMaxIdBytes = 256;
inline constexpr std::uint64_t kMaxTimeoutMs = 1000ULL * 60 * 60;
// Clients may take 2 s for a header; TERMS allow 3 s, which include the sweep interval.
inline constexpr Duration kHeaderTimeout = 2600ms;
// Minimum rate of a body after the header's time.
inline constexpr double kMinBodyBytesPerSecond = 64.0e3;
// What counts of a body's coding, as a multiple of its data; a chunk of one byte takes six bytes.
inline constexpr std::size_t kMaxCodingFactor = 8;
// A client that reads nothing of its response for this long is disconnected.
inline constexpr Duration kWriteTimeout = 10s;
// Time for a client to read a response that ends its connection,
inline constexpr Duration kLingerTimeout = 2s;
// and the limit while it keeps sending a body that is discarded.
inline constexpr Duration kMaxLingerTime = 6s;
// A client without a request for this long is taken to have disappeared.
inline constexpr Duration kClientIdleTimeout = 120s;
inline constexpr Duration kPoolSweepInterval = 1s;
// With kHeaderTimeout it stays within the 3 s that TERMS allow for a slow client.
inline constexpr Duration kSessionSweepInterval = 250ms;
// After accept() failed for lack of a descriptor.
inline constexpr Duration kAcceptRetryDelay = 20ms;
// At the same time; a further one evicts the oldest.
inline constexpr std::size_t kMaxAdminConnections = 16;
// For an operator's request to be read completely, and for its response to be written.
inline constexpr Duration kAdminIoTimeout = 1s;
// For a response that depends on other nodes.
inline constexpr Duration kAdminResponseTimeout = 10s;
// Version of the messages between two processes of a node.
inline constexpr int kHandoverVersion = 1;
// For a predecessor's response: a new process has 6 s in all.
inline constexpr Duration kHandoverTimeout = 2s;
// TERMS allow closing an idle client connection after this once a successor serves.
inline constexpr Duration kHandedOverIdleTimeout = 2s;
// Share of the price servers' idle time-out for which a pool keeps a connection.
inline constexpr double kIdleTimeoutShare = 0.8;
// Connections that have been idle for this long are preferred.
inline constexpr Duration kPreferredIdleTime = 20ms;
// After unsolicited data a connection is reused only when it has been idle for at least this long,
inline constexpr Duration kMinIdleAfterUnsolicitedData = 100ms;
// a time that rises up to this
inline constexpr Duration kMaxIdleAfterUnsolicitedData = 1s;
// and applies for this long after the last occurrence.
inline constexpr Duration kUnsolicitedDataRetention = 60s;
// Of a counter response.
inline constexpr std::size_t kMaxCounterLineBytes = 256;
// Of one line of a discovery list or of a hand-over message.
inline constexpr std::size_t kMaxJsonLineBytes = 16UL << 20U;
// Several, so that a stalled connection delays only its own calls.
inline constexpr std::size_t kCounterConnections = 4;
// A counter connection without a response for this many counter time-outs is dead.
inline constexpr int kCounterSilenceTimeouts = 10;
// Counter time-outs for a connection to be established.
inline constexpr int kCounterConnectTimeouts = 4;
// The estimate of the usual round trip rises by this fraction (1 / n) of the difference.
inline constexpr int kRoundTripRiseDivisor = 32;
// Short, because every request waits for the counter.
inline constexpr Duration kMaxCounterBackoff = 250ms;
// Delay before a reconnect; it doubles
inline constexpr Duration kMinBackoff = 50ms;
// up to this.
inline constexpr Duration kMaxBackoff = 1s;
// A watch without a line for this long is broken.
inline constexpr Duration kWatchSilenceTimeout = kWatchKeepAliveInterval +
                                                 kWatchKeepAliveInterval / 2;
// The discovery agent runs on this machine and responds at once. The node is taken to know what the
// agent has, whether or not a watch is open, and a draining price server may be sent new requests
// for the settings' `drain_grace` beyond that. The time between two list polls while the agent is
// silent, and the time before a broken watch is reopened, must therefore be shorter.
// A poll without a response is abandoned after this.
inline constexpr Duration kAgentTimeout = 500ms;
// Upper bound of the delay before a watch is reopened.
inline constexpr Duration kMaxWatchReconnectDelay = 250ms;
// Lower bound of both limits, however short the grace.
inline constexpr Duration kMinAgentLimit = 20ms;
// To the agent at the same time: the watch, and list polls beside it.
inline constexpr std::size_t kMaxAgentConnections = 3;
struct AgentLimits {
  // Without a complete line for this long the next poll starts beside the open exchanges.
  Duration poll_interval;
  // Upper bound of the delay before a watch is reopened.
  Duration max_reconnect_delay;
};
constexpr AgentLimits agent_limits(Duration drain_grace) {
  return {std::clamp(drain_grace / 2, kMinAgentLimit, kAgentTimeout),
          std::clamp(drain_grace / 4, kMinAgentLimit, kMaxWatchReconnectDelay)};
}
constexpr bool polls_within(Duration drain_grace) {
  const auto limits = agent_limits(drain_grace);
  return limits.poll_interval + limits.max_reconnect_delay <= drain_grace * 3 / 4;
}
static_assert(polls_within(1s) && polls_within(250ms) && polls_within(150ms) && polls_within(80ms));
// The node is taken to know 6 s later what a silent watch misses. Polls start every kAgentTimeout,
// whatever happens to the next watch (header only, half a line, nothing, refused, reset): when
// three of them are lost too, the fourth still has its full time.
static_assert(kWatchSilenceTimeout + 3 * kAgentTimeout + kAgentTimeout + kMaxWatchReconnectDelay <
              kDiscoveryNotificationDelay);
// After SIGHUP the bound is 4 s.
static_assert(4 * (kAgentTimeout + kMaxWatchReconnectDelay) < kReloadNotificationDelay);

// ---- Other edge nodes ---------------------------------------------------------------------------
// Two seconds of the rate that the settings allow.
inline constexpr std::size_t kMaxDatagramsPerRead = 128;

// A shard of jobs is kept this long after its last use.
inline constexpr Duration kShardIdleTimeout = 60s;
// Interval at which jobs are processed while there are any.
inline constexpr Duration kJobCheckInterval = 50ms;
// A node republishes its admin address at this interval.
inline constexpr Duration kAddressPublishInterval = 3600s;
// For leader leases to be transferred before the process ends.
inline constexpr Duration kStepDownTimeout = 1s;

// Share of the settings' datagram intake that the membership protocol leaves.
inline constexpr double kCoordinationIntakeShare = 0.25;
// Share of that for record update slots: a datagram in, one out, and the requests.
inline constexpr double kUpdateIntakeShare = 0.2;
// Share of that for datagrams a node requests from others.
inline constexpr double kPullIntakeShare = 0.25;
inline constexpr std::uint8_t kRecordSpaces = 8;

// Of the unit of `memory_mb`.
inline constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;

// ---- The process --------------------------------------------------------------------------------
// Of --check with a bad configuration, and of a command line that can't be parsed.
inline constexpr int kBadInputExitStatus = 2;

// ---- The log ------------------------------------------------------------------------------------
inline constexpr double kLogBurstLines = 200;
inline constexpr double kLogLinesPerSecond = 20;

// ---- Descriptors: shares of the limit -----------------------------------------------------------
// Standard streams, epoll, timer, signals, listeners; admin connections; discovery.
inline constexpr std::size_t kReservedDescriptors = 24 + kMaxAdminConnections + 2 +
                                                    (kMaxAgentConnections - 1);
// Minimum share of the limit for clients and price servers together, however small the limit is.
inline constexpr double kMinPeerDescriptorShare = 0.25;
// Clients' share of what is not reserved; the price servers get the rest.
inline constexpr double kClientDescriptorShare = 0.55;
// Part of the price servers' share that is never lent to clients.
inline constexpr double kServerDescriptorFloorShare = 0.5;

}  // namespace petrelrail::limits
