// Reads the list of price servers from the discovery agent: starts with the list known before the
// start, then keeps a watch (a stream of changes) open and polls for the whole list while the watch
// is silent. Owned by Node, on the thread of the io_context. It doesn't choose endpoints.
//
// Price servers count as notified of what the agent holds whether or not a watch is open. So until
// the watch has delivered a complete line (an empty one, or the end of a list), polls for the whole
// list are sent beside it, one per poll interval. `drain_grace` of the settings bounds that
// interval. An agent slower than that is still read, since the oldest poll stays open for 500 ms
// and only the next one is dropped to make way for a new poll.
//
// clang-format off
//   state     | complete line    | other bytes      | time-out                 | lost: refused,   | poll interval   | whole list
//             |                  |                  |                          | reset, unreadable| elapsed         | from a poll
//   ----------+------------------+------------------+--------------------------+------------------+-----------------+--------------
//   paused    | -                | -                | pause ends: open watch,  | -                | poll            | apply it, end
//             |                  |                  | -> opening               |                  |                 | the other
//   opening   | -> live          | head: -> headed  | 500 ms: -> paused        | -> paused        | poll            | polls; the
//   headed    | -> live          | -                | 3 s since opening:       | -> paused        | poll            | watch stays
//             |                  |                  | -> paused                |                  |                 | as it is
//   live      | 3 s from now on  | -                | 3 s since the last line: | -> paused        | - (no polls     | - (no polls
//             |                  |                  | -> paused                |                  | are open)       | are open)
// clang-format on
//
// Entering `live` ends all polls and resets the growth of the pauses. Entering `paused` from `live`
// starts polling. set_agent() (on SIGHUP) drops the watch, the polls and the pause in any state,
// and goes to `opening` at the new address.
//
// An agent may hold a lower revision than this node, because it restarted empty or is another one
// at a new address. Then its first line is the whole list, which is applied whatever its revision;
// or it has nothing later to report and sends empty lines; or it sends changes of a lower revision,
// which belong to another list. So polls are sent in `live` as well, the first at once, until this
// watch has delivered a list that continues the revision held, or a whole list has arrived on the
// watch or on a poll.
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
#include "policy/overload_manager.hpp"

namespace petrelrail {

// Parses "ADDRESS:PORT" with a numeric address and a port above 0.
std::optional<Tcp::endpoint> endpoint_of(std::string_view text);

class Discovery {
 public:
  struct Entry {
    EndpointInfo info;
    Tcp::endpoint address;
  };
  using ListCallback = std::function<void(EndpointListKind, const std::vector<Entry>&)>;

  // Counters of connections to the agent since the start.
  struct Stats {
    std::uint64_t watches = 0, polls = 0;  // opened
    std::uint64_t lost = 0;                // refused, reset, or closed by the agent
    std::uint64_t silent = 0;              // closed after a time-out
    std::uint64_t unreadable = 0;          // closed for malformed input
    // Malformed input: HTTP heads, chunks and error statuses; text that is not JSON; lists without
    // a required field; list entries.
    std::uint64_t bad_heads = 0, bad_documents = 0, bad_lists = 0, bad_members = 0;
  };

  // `zones`: indices of the zones by name; unknown zones get the next index. `drain_grace`: from
  // the settings, bounds the poll interval and the pauses; by default they are the longest.
  Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& agent, std::string host,
            std::map<std::string, std::uint32_t> zones, ListCallback on_list,
            Duration drain_grace = Duration::max());
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Reports the list known before the start, then watches from its revision.
  void start(const nlohmann::json& known);
  // Continues at another address, from the last revision read.
  void set_agent(const Tcp::endpoint& agent, std::string host);
  // Applies a changed `drain_grace`. Pending waits are shortened to the new limits.
  void set_drain_grace(Duration drain_grace);
  // The longest list that is read, and what the lists being read are charged to.
  void limit_memory(std::size_t max_list_bytes, policy::MemoryAccount memory) {
    max_list_bytes_ = max_list_bytes;
    memory_ = std::move(memory);
  }
  std::uint64_t revision() const { return revision_; }
  const limits::AgentLimits& limits() const { return limits_; }
  const Stats& stats() const { return stats_; }
  // The endpoint of this name, if a list has named it.
  std::optional<EndpointId> find_id(const std::string& id) const;
  // The endpoint of this name; assigns one if the name is new.
  EndpointId id_of(const std::string& id);
  const std::string& name_of(EndpointId server) const { return names_by_id_.at(server); }

 private:
  struct Exchange;
  using ExchangeHandle = std::shared_ptr<Exchange>;
  enum class ReadResult : std::uint8_t {
    incomplete,  // at most a part of a line
    line,        // at least one complete line
    unreadable
  };

  ZoneIndex zone_of(const std::string& name);
  std::optional<Entry> parse_entry(const nlohmann::json& e);
  bool apply_list(const nlohmann::json& list, bool cached);
  void on_malformed(std::uint64_t& counter, std::string_view message, std::string_view reason);

  void open_watch();
  void poll();
  void schedule_poll();
  ExchangeHandle open(bool watch);
  void read(const ExchangeHandle& exchange);
  void on_read(const ExchangeHandle& exchange, const error_code& error, std::size_t bytes);
  ReadResult process_input(Exchange& exchange);
  ReadResult process_text(Exchange& exchange, std::string_view text);
  bool process_list(Exchange& exchange, const std::string& text);
  void on_line(const ExchangeHandle& exchange);
  void set_timeout(const ExchangeHandle& exchange, Time deadline);
  void on_failed(const ExchangeHandle& exchange, std::uint64_t& counter);
  void close(const ExchangeHandle& exchange);
  void close_polls();
  void update_memory();

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
  ExchangeHandle watch_;               // null while paused
  std::vector<ExchangeHandle> polls_;  // open beside the watch, the oldest first
  // The revision of a list from a poll that was applied while this watch is open.
  std::optional<std::uint64_t> polled_revision_;
  bool in_sync_ = false;            // the list held continues the one that this watch reports
  Timers::Handle reconnect_timer_;  // opens the next watch
  Timers::Handle poll_timer_;       // unset while no polls are needed
  Duration backoff_{};
  Stats stats_;
  std::size_t max_list_bytes_ = limits::kMaxJsonLineBytes;
  std::optional<policy::MemoryAccount> memory_;
  bool log_malformed_ = true;  // only the first malformed list since a good one is logged
};

}  // namespace petrelrail
