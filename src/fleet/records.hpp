// Records that outlive a node: merged in any order, spread in slots, repaired by digests, safe when
// enough nodes hold them. A mechanism without I/O, clock or thread: time, views and messages are
// passed in, messages and outcomes come out. The same seed, terms, times and messages give the same
// course. docs/records.md tells what holds.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "membership.hpp"
#include "records_table.hpp"

namespace petrelrail::fleet {

// What all figures follow from.
struct RecordTerms {
  std::uint32_t nodes = 1;  // of the tier
  double news_per_s = 5;  // slots a second: one datagram of news into each node, and one answer out
                          // of it
  double pull_per_s = 10;    // datagrams that a node asks others for, at most
  std::uint32_t copies = 4;  // that make a record safe, its writer's among them; all nodes where
                             // there are fewer
  std::uint8_t spaces = 1;   // in use: 0 to spaces - 1; at most kMostSpaces
  std::size_t most_records = 4096, most_bytes = 1U << 20U;  // of each space, bytes as on the wire
  Duration clocks = std::chrono::milliseconds(100);   // between any two nodes' clocks, at most
  Duration most_life = std::chrono::hours(24 * 401);  // ends lie no further ahead
  Duration term = std::chrono::seconds(2);  // an epoch is term * gifts + gift (docs/duties.md)
  std::uint32_t gifts = 16;
  bool sealed = false;  // datagrams carry a tag: less room

  Duration slot() const;
  Duration spread() const;  // from a write until all living nodes know it, without a cut: reckoned
  Duration safe_within() const;  // a write that isn't safe by then never will be called so
  std::uint64_t most_epoch(
      Time now) const;  // that anybody can write under by now, clocks being what they are
  // Datagrams that come to a node in a second at most, of all kinds of records together.
  double reckoned_intake() const;
};
inline constexpr std::uint8_t kMostSpaces = 64;

// Throws std::invalid_argument, naming what is wrong.
void validate(const RecordTerms& terms);

class Records {
 public:
  struct Put {
    enum class Kind : std::uint8_t {
      taken,
      too_large,  // a value of more than kMostValue bytes
      full,       // the space's bound in records or bytes is reached, or too many writes wait
      older,      // a later epoch is there: the writer is fenced off
      ended,      // its end is past, or there is nothing to erase
      too_far,    // its end lies beyond most_life, or its epoch is none that can be by now
      no_space    // no such space
    };
    Kind kind = Kind::taken;
    std::uint64_t ticket = 0;  // from 1 on, where taken
  };
  // Safe: `copies` living nodes hold it, in two zones where there are two, and this node reaches a
  // majority. Not safe: that was not reached within safe_within(), or a later epoch has written the
  // key; its caller must hear no, and may erase it.
  struct Outcome {
    std::uint64_t ticket = 0;
    bool safe = false;
    bool operator==(const Outcome&) const = default;
  };
  struct Outgoing {
    MemberId to{};
    Body body;
    std::uint32_t echo = 0;
  };
  struct Figures {
    std::uint64_t records = 0, bytes = 0;  // held, deleted ones and marks among them
    std::uint64_t puts = 0, refused = 0, safe = 0, unsafe = 0;
    std::uint64_t taken = 0, forgotten = 0;
    std::uint64_t ended = 0, far = 0, full = 0, no_space = 0, ahead = 0,
                  odd = 0;                                     // received and dropped
    std::uint64_t tells = 0, acks = 0, asks = 0, answers = 0;  // sent
    std::uint64_t stalls = 0;
  };
  struct Changes {
    std::vector<RecordKey> keys;
    bool rescan = false;  // there were more than are kept: look at all
  };
  // For a successor in the same member's place (an upgrade).
  struct State {
    std::vector<Record> records;
    struct Fresh {
      std::uint8_t space = 0;
      Time at{};
    };
    std::vector<Fresh> fresh;  // up to when all of a space was known
    struct Written {
      std::uint8_t space = 0;
      std::uint64_t epoch = 0;
      std::uint32_t sequence = 0;
    };
    std::vector<Written> written;  // by this node
    bool caught_up = false;
  };

  // Throws what validate() throws, and for a number or zone that isn't one.
  Records(RecordTerms terms, MemberId self, std::uint8_t zone, std::uint64_t seed);

  void start(Time now);
  void view(Time now, const MembershipView& view);

  // Writes as the holder of a duty under this epoch (from 1 on). `ends` is Unix time in seconds; a
  // key's end never comes earlier than it was. One process writes under an epoch.
  Put put(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t ends, std::string value);
  // The deletion stays until the record's end, or `ends` where that is later (where other versions
  // may end later).
  Put erase(Time now, RecordKey key, std::uint64_t epoch, std::uint32_t ends = 0);
  std::vector<Outcome> take_outcomes() { return std::exchange(outcomes_, {}); }

  // Null: none, deleted, or past its end as of the latest time that was passed in. Valid until the
  // next call.
  const Record* find(RecordKey key) const;
  // The same with deleted ones and those past their end, as long as they are not forgotten.
  const Record* stored(RecordKey key) const { return table_.find(key); }
  // All of a space that find() would show, by number.
  void each(std::uint8_t space, const std::function<void(const Record&)>& what) const;
  Changes take_changes() { return std::exchange(changes_, {}); }

  // By the holder of the duty of a space that one duty writes, about once a second: it holds all
  // that was written to now.
  void mark(Time now, std::uint8_t space, std::uint64_t epoch);
  // All that the space's holder held so long ago is known here, or was. None: not known at all.
  std::optional<Duration> age(Time now, std::uint8_t space) const;
  // Enough others have told all that they hold since this node began, stalled or lost sight of a
  // majority.
  bool caught_up(Time) const { return caught_up_; }

  // A message that came from the address of this member; whatever it says, it is safe.
  void received(Time now, MemberId from, const Message& message);
  std::vector<Outgoing> take_outgoing() { return std::exchange(out_, {}); }
  // To be called at next(), or as soon after as can be.
  void tick(Time now);
  Time next() const { return due_; }
  // Datagrams that it may ask for until the next such call, pull_per_s being kept as well. Never
  // called: no such bound.
  void allow_pull(std::uint32_t datagrams) { allowed_ = datagrams; }

  State snapshot() const;
  // Before start(). What is past its end or beyond the bounds is left out, and counted.
  void restore(Time now, const State& state);
  const Figures& figures() const;
  const RecordTerms& terms() const { return terms_; }

 private:
  struct News {
    RecordKey key;
    std::uint32_t sent = 0;
  };
  struct Pending {  // a write that isn't safe yet
    std::uint64_t ticket = 0;
    RecordKey key;
    RecordVersion version;
    Time ends{};
    std::vector<MemberId> holders;  // others
  };
  struct Sent {  // with an echo, of late
    std::uint32_t echo = 0;
    MemberId to{};
  };
  struct Ask {  // the latest
    MemberId to{};
    std::uint32_t echo = 0, room = 0;
    std::set<RecordKey> firsts;           // of the parts of its answer that have come
    std::optional<std::uint64_t> told{};  // how many parts there are, as its end says
    bool open = false, news = false, dropped = false, by_caught_up = false;
  };
  struct Mark {
    Time at{};
    RecordVersion upto;
    std::uint64_t digest = 0;
  };
  struct Space {
    std::uint64_t epoch = 0;  // under which this node wrote last
    std::uint32_t sequence = 0;
    std::optional<Time> fresh{};
    std::deque<Mark> marks;  // that this node couldn't follow yet
    bool changed = false;    // since it was last compared
  };
  enum class Stream : std::uint8_t { push, ask };
  struct Order {  // distances in a shuffled order, the same at all nodes
    std::uint64_t epoch = ~0ULL;
    std::vector<std::uint16_t> distances;
  };

  std::uint64_t draw();
  MemberId partner(Stream s, std::uint64_t slot, std::uint64_t further = 0);
  bool living(MemberId m) const;
  void advance(Time now);
  Put refuse(Put::Kind kind);
  Put write(Time now, Record r);
  // One that was received: what it changes is told on, compared, and ends writes that it replaces.
  // None: it is odd.
  std::optional<RecordTable::Took> take(const Record& r);
  void changed(const RecordKey& key, bool news);

  // Safe writes.
  bool helps(const Pending& p, MemberId m) const;
  bool safe(const Pending& p) const;
  void settle(Time now);
  void conclude(const Pending& p, bool is_safe);
  void held(MemberId by, const RecordKey& key, const RecordVersion& version);

  // Spreading.
  void add_news(const RecordKey& key);
  void push(std::uint64_t slot);
  std::size_t room() const;
  std::uint32_t sends() const;
  void send(MemberId to, Body body, std::uint32_t echo);

  // Repair.
  void ask(Time now, std::uint64_t slot);
  void answer(Time now, MemberId from, std::uint32_t echo, const DigestRequest& ask);
  void told(MemberId from, std::uint32_t echo, const RecordUpdate& tell);
  void acked(MemberId from, std::uint32_t echo, const RecordAck& ack);
  void look_at_answer();
  unsigned level() const;
  void lost_sight();

  // Age.
  void marked(const Record& r);
  void compare();

  RecordTerms terms_;
  MemberId self_;
  std::uint8_t zone_;
  std::uint64_t random_;
  RecordTable table_;
  std::array<Order, 2> orders_;
  std::shared_ptr<const std::vector<MembershipView::Member>> seats_;
  Reachability standing_ = Reachability::alone;
  std::uint32_t others_ = 0, living_zones_ = 1;  // that live
  std::vector<News> news_;
  std::vector<Pending> pending_;
  std::deque<Sent> sent_;
  std::vector<Outcome> outcomes_;
  Changes changes_;
  std::vector<Space> spaces_;
  std::vector<Outgoing> out_;
  Ask ask_;
  std::deque<std::pair<MemberId, std::uint32_t>>
      answered_;  // asks, that a repeated one isn't answered again
  double tokens_ = 0, answer_tokens_ = 0;
  std::optional<std::uint32_t> allowed_;
  unsigned level_ = 0, hint_ = 0;  // of the asks' sections; what another's end says of it
  std::uint32_t section_ = 0, run_ = 0, quiet_run_ = 0, fruitless_ = 0;
  bool caught_up_ = false, started_ = false, hurry_ = true;
  Time now_{}, due_ = Time::max(), next_slot_{}, filled_{}, answers_filled_{}, asked_{};
  std::uint64_t tickets_ = 0;
  mutable Figures figures_;
};

}  // namespace petrelrail::fleet
