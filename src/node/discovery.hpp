// Discovery: the list of app servers as it was known at the start, then a watch on what changes.
//
// What the agent holds counts as told whether or not a watch is open. So until the watch has given a whole line (an
// empty one, or a list's end), a question for the whole list goes out beside it every `answer`: settings' `drain_grace`
// bounds the time between two of them (facts::agent_limits), and an agent that is slower is still heard, since the
// oldest question stays open for kAgentAnswer (500 ms) and only the one after it gives way to the next.
//
//   state     | whole line       | other bytes    | its time is over         | lost: refused,   | `answer` since  | a question's
//             |                  |                |                          | reset, unreadable| the last asking | whole list
//   ----------+------------------+----------------+--------------------------+------------------+-----------------+--------------
//   paused    | -                | -              | pause: watch, -> opening | -                | ask beside it   | take, end the
//   opening   | -> heard         | head: -> headed| 500 ms: -> paused        | -> paused        | ask beside it   | other questions;
//   headed    | -> heard         | -              | 3 s since opening:       | -> paused        | ask beside it   | the watch stays
//             |                  |                | -> paused                |                  |                 | as it is
//   heard     | 3 s from now on  | -              | 3 s since the last line: | -> paused        | - (no questions | - (none is
//             |                  |                | -> paused                |                  | are out)        | out)
//
// Entering `heard` ends all questions and the pauses' growth. Entering `paused` from `heard` begins the asking. From any
// state move() (SIGHUP) drops the watch, the questions and the pause, and goes to `opening` at the new address.
//
// An agent may hold a lower version than is held here: it came back empty, or stands at another address. Then its first
// line is the whole list, which is taken whatever its version; or it has nothing to say of what is later and sends empty
// lines; or changes of a lower version, which are changes of another list. So in `heard` as well questions go out, the
// first at once, until a list has come on this watch that goes on from the version held, or a whole one, on it or beside.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "facts.hpp"
#include "net.hpp"
#include "petrelrail/gateway.hpp"

namespace petrelrail {

// The address in a text of address and port, or none.
std::optional<Tcp::endpoint> endpoint_of(std::string_view text);

class Discovery {
 public:
  struct Entry {
    ServerInfo info;
    Tcp::endpoint address;
  };
  using Told = std::function<void(ListKind, const std::vector<Entry>&)>;

  // What became of connections to the agent, in numbers since the start.
  struct Figures {
    std::uint64_t watches = 0, questions = 0;  // opened
    std::uint64_t lost = 0;                    // refused, reset, closed by the agent
    std::uint64_t silent = 0;                  // given up for what did not come in time
    std::uint64_t unreadable = 0;              // ended for one of those that follow
    // What came malformed: heads, chunks and refusals; texts that are no JSON; lists without what each has; members.
    std::uint64_t bad_heads = 0, bad_texts = 0, bad_lists = 0, bad_members = 0;
  };

  // `drain_grace`: of the settings, see facts::agent_limits; where it is not given the limits are the longest.
  Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, std::string host,
            std::map<std::string, std::uint32_t> zones, Told told, Duration drain_grace = Duration::max());
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Tells of the list as it was known before the start, and watches from there.
  void start(const nlohmann::json& known);
  // The agent listens elsewhere from now on: the watch goes on there, from the last version that was read.
  void move(const Tcp::endpoint& at, std::string host);
  // The settings have another grace from now on; what waits by the old limits waits no longer than by the new ones.
  void tune(Duration drain_grace);
  std::uint64_t revision() const { return revision_; }
  const facts::AgentLimits& limits() const { return limits_; }
  const Figures& figures() const { return figures_; }
  // The server that some list has named so.
  std::optional<ServerId> known_as(const std::string& id) const;
  // The number of a server, given on first sight, and the name behind a number that was given.
  ServerId number_of(const std::string& id);
  const std::string& name_of(ServerId server) const { return ids_.at(server); }

 private:
  struct Question;
  using Held = std::shared_ptr<Question>;
  enum class Came : std::uint8_t { nothing, line, unreadable };  // whole lines, or a part of one at most

  ZoneIndex zone_of(const std::string& name);
  std::optional<Entry> entry(const nlohmann::json& e);
  bool take(const nlohmann::json& list, bool cached);
  void malformed(std::uint64_t& kind, std::string_view what, std::string_view why);

  void open_watch();
  void ask();
  void ask_later();
  Held open(bool watch);
  void read(const Held& q);
  void on_read(const Held& q, const error_code& failed, std::size_t bytes);
  Came take_bytes(Question& q);
  Came take_text(Question& q, std::string_view text);
  bool take_list(Question& q, const std::string& text);
  void heard(const Held& q);
  void give_up_after(const Held& q, Time when);
  void failed(const Held& q, std::uint64_t& reason);
  void end(const Held& q);
  void end_questions();

  asio::io_context& io_;
  Timers& timers_;
  Tcp::endpoint at_;
  std::string host_;
  std::map<std::string, std::uint32_t> zones_;
  Told told_;
  std::map<std::string, ServerId> numbers_;
  std::map<ServerId, std::string> ids_;
  std::uint64_t revision_ = 0;

  facts::AgentLimits limits_;
  Held watch_;                           // none: paused
  std::vector<Held> questions_;          // beside it, the oldest first
  std::optional<std::uint64_t> beside_;  // the version of a list that was taken beside this watch
  bool agreed_ = false;                  // what is held is what the agent holds, as this watch tells of it
  Timers::Handle pause_;                 // before the next watch
  Timers::Handle next_question_;         // none: the watch has been heard
  Duration backoff_{};
  Figures figures_;
  bool complains_ = true;  // of the first of a row of malformed lists
};

}  // namespace petrelrail
