// Until when a node can know that the client of a waiting request is still connected.
//
// A client's close arrives behind everything that it has written. While the node leaves input
// unread, however little, the receive window may be shut and the close still at the client's
// machine, where nothing shows it:
//
//   input that was not read                the client
//   -------------------------------------  --------------------------------------------------------
//   none, and no close                     is connected
//   some, and none a short time ago        was connected a short time ago, which is recent enough
//   some, for longer                       may have closed its connection
//
// No attempt begins for a client that may have closed its connection.
#pragma once

#include <algorithm>
#include <chrono>

#include "petrelrail/types.hpp"

namespace petrelrail::policy {

enum class ClientPresence { connected, disconnected, unknown };

// An attempt that begins more than 100 ms after its client's close counts as lost; the rest is
// margin for the write.
constexpr Duration kMaxPresenceAge = std::chrono::milliseconds(80);

class PresenceTracker {
 public:
  // The client was connected at `now`: its input was read to the end and no close was behind it,
  // or its request was just accepted.
  void confirm(Time now) { confirmed_time_ = std::max(confirmed_time_, now); }
  // No attempt may begin from then on unless the client is confirmed again.
  Time latest_start() const { return confirmed_time_ + kMaxPresenceAge; }
  // Of a client with unread input and no close that shows.
  ClientPresence with_unread_input(Time now) const {
    return now < latest_start() ? ClientPresence::connected : ClientPresence::unknown;
  }

 private:
  Time confirmed_time_{};
};

}  // namespace petrelrail::policy
