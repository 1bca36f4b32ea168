// Discovery: the list of app servers as it was known at the start, then a watch on what changes.
//
// What the agent holds counts as told whether or not a watch is open. So until the watch has given
// a whole line (an empty one, or a list's end), a question for the whole list goes out beside it
// every `answer`: settings' `drain_grace` bounds the time between two of them
// (limits::agent_limits), and an agent that is slower is still heard, since the oldest question
// stays open for kAgentAnswer (500 ms) and only the one after it gives way to the next.
//
// clang-format off
//   state     | whole line       | other bytes    | its time is over         | lost: refused,   | `answer` since  | a question's
//             |                  |                |                          | reset, unreadable| the last asking | whole list
//   ----------+------------------+----------------+--------------------------+------------------+-----------------+--------------
//   paused    | -                | -              | pause: watch, -> opening | -                | ask beside it   | take, end the
//   opening   | -> heard         | head: -> headed| 500 ms: -> paused        | -> paused        | ask beside it   | other questions;
//   headed    | -> heard         | -              | 3 s since opening:       | -> paused        | ask beside it   | the watch stays
//             |                  |                | -> paused                |                  |                 | as it is
//   heard     | 3 s from now on  | -              | 3 s since the last line: | -> paused        | - (no questions | - (none is
//             |                  |                | -> paused                |                  | are out)        | out)
// clang-format on
//
// Entering `heard` ends all questions and the pauses' growth. Entering `paused` from `heard` begins
// the asking. From any state move() (SIGHUP) drops the watch, the questions and the pause, and goes
// to `opening` at the new address.
//
// An agent may hold a lower version than is held here: it came back empty, or stands at another
// address. Then its first line is the whole list, which is taken whatever its version; or it has
// nothing to say of what is later and sends empty lines; or changes of a lower version, which are
// changes of another list. So in `heard` as well questions go out, the first at once, until a list
// has come on this watch that goes on from the version held, or a whole one, on it or beside.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "limits.hpp"
#include "net.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail {

// The address in a text of address and port, or none.
std::optional<Tcp::endpoint> endpoint_of(std::string_view text);

class Discovery {
 public:
  struct Entry {
    EndpointInfo info;
    Tcp::endpoint address;
  };
  using ListCallback = std::function<void(EndpointListKind, const std::vector<Entry>&)>;

  // What became of connections to the agent, in numbers since the start.
  struct Stats {
    std::uint64_t watches = 0, polls = 0;  // opened
    std::uint64_t lost = 0;                // refused, reset, closed by the agent
    std::uint64_t silent = 0;              // given up for what did not come in time
    std::uint64_t unreadable = 0;          // ended for one of those that follow
    // What came malformed: heads, chunks and refusals; texts that are no JSON; lists without what
    // each has; members.
    std::uint64_t bad_heads = 0, bad_documents = 0, bad_lists = 0, bad_members = 0;
  };

  // `drain_grace`: of the settings, see limits::agent_limits; where it is not given the limits are
  // the longest.
  Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, std::string host,
            std::map<std::string, std::uint32_t> zones, ListCallback told,
            Duration drain_grace = Duration::max());
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Tells of the list as it was known before the start, and watches from there.
  void start(const nlohmann::json& known);
  // The agent listens elsewhere from now on: the watch goes on there, from the last version that
  // was read.
  void set_agent(const Tcp::endpoint& at, std::string host);
  // The settings have another grace from now on; what waits by the old limits waits no longer than
  // by the new ones.
  void set_drain_grace(Duration drain_grace);
  std::uint64_t revision() const { return revision_; }
  const limits::AgentLimits& limits() const { return limits_; }
  const Stats& stats() const { return stats_; }
  // The server that some list has named so.
  std::optional<EndpointId> find_id(const std::string& id) const;
  // The number of a server, given on first sight, and the name behind a number that was given.
  EndpointId id_of(const std::string& id);
  const std::string& name_of(EndpointId server) const { return names_by_id_.at(server); }

 private:
  struct Exchange;
  using ExchangeHandle = std::shared_ptr<Exchange>;
  enum class ReadResult : std::uint8_t {
    nothing,
    line,
    unreadable
  };  // whole lines, or a part of one at most

  ZoneIndex zone_of(const std::string& name);
  std::optional<Entry> entry(const nlohmann::json& e);
  bool apply_list(const nlohmann::json& list, bool cached);
  void on_malformed(std::uint64_t& kind, std::string_view what, std::string_view why);

  void open_watch();
  void poll();
  void schedule_poll();
  ExchangeHandle open(bool watch);
  void read(const ExchangeHandle& q);
  void on_read(const ExchangeHandle& q, const error_code& failed, std::size_t bytes);
  ReadResult take_bytes(Exchange& q);
  ReadResult take_text(Exchange& q, std::string_view text);
  bool take_list(Exchange& q, const std::string& text);
  void on_watch_line(const ExchangeHandle& q);
  void give_up_after(const ExchangeHandle& q, Time when);
  void failed(const ExchangeHandle& q, std::uint64_t& reason);
  void end(const ExchangeHandle& q);
  void end_polls();

  asio::io_context& io_;
  Timers& timers_;
  Tcp::endpoint agent_;
  std::string host_;
  std::map<std::string, std::uint32_t> zones_;
  ListCallback on_list_;
  std::map<std::string, EndpointId> ids_by_name_;
  std::map<EndpointId, std::string> names_by_id_;
  std::uint64_t revision_ = 0;

  limits::AgentLimits limits_;
  ExchangeHandle watch_;               // none: paused
  std::vector<ExchangeHandle> polls_;  // beside it, the oldest first
  std::optional<std::uint64_t>
      polled_revision_;   // the version of a list that was taken beside this watch
  bool in_sync_ = false;  // what is held is what the agent holds, as this watch tells of it
  Timers::Handle reconnect_timer_;  // before the next watch
  Timers::Handle poll_timer_;       // none: the watch has been heard
  Duration backoff_{};
  Stats stats_;
  bool log_malformed_ = true;  // of the first of a row of malformed lists
};

}  // namespace petrelrail
