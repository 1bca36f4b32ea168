// How records go round: news in slots, asks about what differs, and the answers.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "records.hpp"

namespace petrelrail::fleet {
namespace {

constexpr std::size_t kMostNews = 4096;
constexpr std::size_t kMostSent = 64;  // echoes that are remembered
constexpr std::uint64_t
    kSubstitutes = 24;  // looked at for a write when the slot's own partner doesn't help it
constexpr std::uint32_t
    kAnswerEcho = 1U << 31U;  // the echo of an ask and its answer; a write's has it not
// An ask's salt: level (4 bits), then at the lower end the section.
constexpr unsigned kLevelShift = 12, kMostLevel = 12;
// The end of an answer, as the number of a key in kNoSpace: caught up (1 bit), more (1), level (4),
// parts.
constexpr unsigned kEndLevel = 2, kEndParts = 6;
constexpr std::size_t kAskHeader = 3;       // bytes of an ask before its digests
constexpr std::uint64_t kAskEvery = 2;      // slots
constexpr std::uint64_t kIdleAskEvery = 6;  // slots, while there is nothing to repair
constexpr std::uint32_t kMostDoublings = 5;
constexpr std::size_t kHeldBytes = 23;  // of a key and version
constexpr double kQuietRounds = 4;      // for each e-fold of the nodes
constexpr std::size_t kMostAnswered = 64;
constexpr double kAnswersPerPull = 2;

std::uint64_t salt_of(std::uint16_t salt, std::uint32_t echo) {
  return static_cast<std::uint64_t>(salt) << 32U | echo;
}

}  // namespace

// ---- Partners -----------------------------------------------------------------------------------

// The shuffle is derived by all nodes alike from the stream and the slot alone.
MemberId Records::partner(Stream s, std::uint64_t slot, std::uint64_t further) {
  auto& o = orders_[static_cast<std::size_t>(s)];
  const std::uint64_t all = terms_.nodes - 1, epoch = slot / all;
  if (o.epoch != epoch) {
    o.epoch = epoch;
    o.distances.resize(all);
    std::iota(o.distances.begin(), o.distances.end(), std::uint16_t{1});
    auto state = mix_hash(mix_hash(mix_hash(static_cast<std::uint64_t>(s) + 1) + epoch) + all);
    for (std::size_t i = all; i > 1; --i) {
      state = mix_hash(state);
      std::swap(o.distances[i - 1], o.distances[state % i]);
    }
  }
  const auto distance = o.distances[(slot + further) % all];
  return MemberId(static_cast<std::uint16_t>((index_of(self_) + distance) % terms_.nodes));
}

std::size_t Records::room() const { return max_body_bytes(terms_.sealed); }

// Each slot reaches one more: what is missed by all who know is a share of e^-sends.
std::uint32_t Records::sends() const {
  return static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(terms_.nodes) + 1))) + 1;
}

void Records::send(MemberId to, Body body, std::uint32_t echo) {
  out_.push_back({to, std::move(body), echo});
}

// ---- News ---------------------------------------------------------------------------------------

void Records::add_news(const RecordKey& key) {
  std::erase_if(news_, [&](const News& n) { return n.key == key; });
  if (news_.size() >= kMostNews) news_.erase(news_.begin());  // repair finds it
  news_.push_back({key, 0});
}

void Records::push(std::uint64_t slot) {
  if (terms_.nodes < 2 || (pending_.empty() && news_.empty())) return;
  auto to = partner(Stream::push, slot);
  const auto wanted = [&](MemberId m) {
    return std::ranges::any_of(pending_, [&](const Pending& p) { return helps(p, m); });
  };
  // A write goes to another where the slot's own partner is not there or of no use to it.
  if (!pending_.empty())
    for (std::uint64_t f = 0; f < std::min<std::uint64_t>(kSubstitutes, terms_.nodes - 1); ++f)
      if (const auto m = partner(Stream::push, slot, f); wanted(m)) {
        to = m;
        break;
      }
  if (!living(to)) return;
  RecordUpdate tell;
  std::size_t used = 0;
  const auto add = [&](const RecordKey& key) {
    const auto* r = table_.find(key);
    const bool there = std::ranges::any_of(tell.records,
                                           [&](const Record& t) { return t.key == key; });
    if (!r || there || used + record_bytes(*r) > room()) return there;
    used += record_bytes(*r);
    tell.records.push_back(*r);
    return true;
  };
  bool asks = false;
  for (const auto& p : pending_)
    if (helps(p, to)) asks = add(p.key) || asks;
  std::ranges::stable_sort(news_, {}, &News::sent);
  for (auto& n : news_)
    if (add(n.key)) ++n.sent;
  std::erase_if(news_, [&](const News& n) { return n.sent >= sends() || !table_.find(n.key); });
  if (tell.records.empty()) return;
  std::uint32_t echo = 0;
  if (asks) {
    echo = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(draw()) & ~kAnswerEcho);
    if (sent_.size() >= kMostSent) sent_.pop_front();
    sent_.push_back({echo, to});
  }
  ++figures_.tells;
  send(to, std::move(tell), echo);
}

// ---- What comes in ------------------------------------------------------------------------------

void Records::received(Time now, MemberId from, const Message& message) {
  if (index_of(from) >= terms_.nodes || from == self_) {
    ++figures_.odd;
    return;
  }
  advance(now);
  const auto echo = message.header.echo;
  if (const auto* tell = std::get_if<RecordUpdate>(&message.body)) told(from, echo, *tell);
  if (const auto* ack = std::get_if<RecordAck>(&message.body)) acked(from, echo, *ack);
  if (const auto* asked = std::get_if<DigestRequest>(&message.body))
    answer(now, from, echo, *asked);
  settle(now);
}

std::optional<RecordTable::Took> Records::take(const Record& r) {
  if (r.version.epoch == 0 || index_of(r.version.origin) >= terms_.nodes ||
      r.value.size() > kMaxRecordValueBytes || (r.deleted && !r.value.empty())) {
    ++figures_.odd;
    return std::nullopt;
  }
  // What nobody can have written yet would keep those out who write later.
  if (r.version.epoch > terms_.most_epoch(now_)) {
    ++figures_.ahead;
    return std::nullopt;
  }
  const auto took = table_.take(now_, r);
  switch (took) {
    case RecordTable::Took::newer:
      ++figures_.taken;
      if (r.key.space == kMarkSpace)
        marked(r);
      else
        held(self_, r.key, r.version);
      break;
    case RecordTable::Took::held: break;
    case RecordTable::Took::ended: ++figures_.ended; break;
    case RecordTable::Took::far: ++figures_.far; break;
    case RecordTable::Took::full: ++figures_.full; break;
    case RecordTable::Took::no_space: ++figures_.no_space; break;
  }
  return took;
}

void Records::told(MemberId from, std::uint32_t echo, const RecordUpdate& tell) {
  const bool answers = (echo & kAnswerEcho) != 0;
  const bool mine = answers && ask_.open && ask_.to == from && ask_.echo == echo;
  if (mine && !tell.records.empty()) ask_.firsts.insert(tell.records.front().key);
  RecordAck ack;
  for (const auto& r : tell.records) {
    const auto took = take(r);
    if (took == RecordTable::Took::newer) changed(r.key, !answers);
    if (mine) {
      ask_.news = ask_.news || took == RecordTable::Took::newer;
      ask_.dropped = ask_.dropped || !took || took == RecordTable::Took::full ||
                     took == RecordTable::Took::far || took == RecordTable::Took::no_space;
    }
    const auto* now_held = table_.find(r.key);
    if (now_held && now_held->version >= r.version && (ack.held.size() + 1) * kHeldBytes <= room())
      ack.held.push_back({r.key, now_held->version});
  }
  if (mine) look_at_answer();
  if (answers || echo == 0 || ack.held.empty()) return;
  ++figures_.acks;
  send(from, std::move(ack), echo);
}

void Records::acked(MemberId from, std::uint32_t echo, const RecordAck& ack) {
  if ((echo & kAnswerEcho) != 0) {
    if (!ask_.open || ask_.to != from || ask_.echo != echo || ack.held.size() != 1 ||
        ack.held.front().key.space != kNoSpace)
      return;
    const auto end = ack.held.front().key.number;
    if (!caught_up_)
      hint_ = std::max(
          hint_, static_cast<unsigned>(end >> kEndLevel & ((1U << (kEndParts - kEndLevel)) - 1)));
    if ((end >> 1U & 1U) != 0) return;  // there is more
    ask_.told = end >> kEndParts;
    ask_.by_caught_up = (end & 1U) != 0;
    return look_at_answer();
  }
  const bool asked = std::ranges::any_of(
      sent_, [&](const Sent& s) { return s.echo == echo && s.to == from; });
  if (!asked) return;
  for (const auto& h : ack.held) held(from, h.key, h.version);
}

// ---- Repair -------------------------------------------------------------------------------------

void Records::ask(Time now, std::uint64_t slot) {
  const auto most = std::max(1.0, terms_.pull_per_s * seconds(terms_.slot()) * kAskEvery);
  tokens_ = std::min(most,
                     tokens_ + terms_.pull_per_s * seconds(now - std::exchange(filled_, now)));
  if (terms_.nodes < 2 || slot % kAskEvery != 0) return;
  // Of one that didn't come as a whole: more may be where this came from, or nothing that can be
  // held here.
  if (std::exchange(ask_.open, false) && !ask_.firsts.empty() && !ask_.news)
    fruitless_ = std::min(fruitless_ + 1, kMostDoublings);
  const auto idle = scaled(terms_.slot(), (kIdleAskEvery - 0.5) * std::exp2(fruitless_));
  if (caught_up_ && !hurry_ && now - asked_ < idle) return;
  if (!caught_up_ && ask_.dropped && now - asked_ < idle) return;
  const auto to = partner(Stream::ask, slot / kAskEvery);
  if (!living(to)) return;
  const auto may = std::min(tokens_, static_cast<double>(allowed_.value_or(UINT8_MAX)));
  const auto rooms = static_cast<std::uint32_t>(std::min(may, static_cast<double>(UINT8_MAX)));
  if (rooms == 0) return;
  const auto buckets = (room() - kAskHeader) / sizeof(std::uint16_t);
  const auto before = std::exchange(level_, level());
  if (level_ != before) section_ = 0, run_ = quiet_run_ = 0;
  DigestRequest body;
  const auto mask = (1U << level_) - 1;
  body.salt = static_cast<std::uint16_t>(level_ << kLevelShift |
                                         (draw() & ((1U << kLevelShift) - 1) & ~mask) | section_);
  body.max_datagrams = static_cast<std::uint8_t>(rooms);
  ask_ = {};
  ask_.to = to, ask_.room = rooms, ask_.open = true;
  ask_.echo = static_cast<std::uint32_t>(draw()) | kAnswerEcho;
  body.digests = table_.digests(level_, section_, buckets, salt_of(body.salt, ask_.echo));
  tokens_ -= rooms;
  if (allowed_) *allowed_ -= rooms;
  asked_ = now;
  hurry_ = false;
  ++figures_.asks;
  send(to, std::move(body), ask_.echo);
}

void Records::answer(Time now, MemberId from, std::uint32_t echo, const DigestRequest& asked) {
  const unsigned theirs = asked.salt >> kLevelShift;
  const bool whole = asked.max_datagrams > 0 && !asked.digests.empty() &&
                     (echo & kAnswerEcho) != 0 && theirs <= kMostLevel;
  if (!whole) {
    ++figures_.odd;
    return;
  }
  // A repeated ask was answered already.
  if (std::ranges::find(answered_, std::pair(from, echo)) != answered_.end()) return;
  if (answered_.size() >= kMostAnswered) answered_.pop_front();
  answered_.emplace_back(from, echo);
  const double rate = kAnswersPerPull * terms_.pull_per_s;
  answer_tokens_ = std::min(
      rate, answer_tokens_ + rate * seconds(now - std::exchange(answers_filled_, now)));
  const auto may = std::min<std::size_t>(asked.max_datagrams,
                                         static_cast<std::size_t>(answer_tokens_));
  if (may == 0) return;
  const auto section = asked.salt & ((1U << theirs) - 1);
  const auto records = table_.differing(theirs, section, asked.digests, salt_of(asked.salt, echo));
  std::vector<RecordUpdate> parts;
  std::size_t used = room(), told = 0;
  for (const auto& r : records) {
    if (used + record_bytes(r) > room()) {
      if (parts.size() == may) break;
      parts.emplace_back();
      used = 0;
    }
    used += record_bytes(r);
    parts.back().records.push_back(r);
    ++told;
  }
  const auto sent = parts.size();
  answer_tokens_ -= static_cast<double>(sent);
  figures_.answers += sent;
  for (auto& p : parts) send(from, std::move(p), echo);
  // Its end: how many parts there are, and whether this node itself knows what there is. If that
  // wasn't all, there is none, but for one who asks in sections that are too large for what is
  // there.
  const bool more = told < records.size();
  if ((more && theirs >= level()) || (!more && sent == may)) return;
  const std::uint64_t end = sent << kEndParts | static_cast<std::uint64_t>(level()) << kEndLevel |
                            static_cast<std::uint64_t>(more) << 1U |
                            static_cast<std::uint64_t>(caught_up_);
  answer_tokens_ -= 1;
  ++figures_.answers;
  send(from, RecordAck{{{{kNoSpace, end}, {}}}}, echo);
}

// Sections so small that there is about one record to a bucket: then what is told is what differs.
unsigned Records::level() const {
  const auto buckets = (room() - kAskHeader) / sizeof(std::uint16_t);
  const auto fitting = [&](std::size_t records) {
    unsigned l = 0;
    while (l < kMostLevel && records > buckets << l) ++l;
    return l;
  };
  const auto own = std::max(fitting(table_.size()),
                            std::min(hint_, fitting(terms_.most_records * terms_.spaces)));
  return own + 1 >= level_ ? std::max(own, std::min(level_, own + 1)) : own;
}

// Once an answer is there as a whole: what follows for what this node knows.
void Records::look_at_answer() {
  if (!ask_.told || ask_.firsts.size() < *ask_.told) {
    if (ask_.news) fruitless_ = 0, hurry_ = true;
    return;
  }
  ask_.open = false;
  // What was not needed of its room can be asked for again.
  const auto unused = static_cast<double>(ask_.room) - static_cast<double>(*ask_.told) - 1;
  tokens_ += std::max(0.0, unused);
  // Nothing new though it differs: it may stay so (bounds, what others lack), and is asked about
  // less and less.
  if (ask_.news)
    fruitless_ = 0;
  else if (*ask_.told == 0)
    fruitless_ -= fruitless_ > 0;
  else
    fruitless_ = std::min(fruitless_ + 1, kMostDoublings);
  hurry_ = ask_.news;
  section_ = (section_ + 1) & ((1U << level_) - 1);
  if (ask_.dropped) return;
  if (ask_.news && !ask_.by_caught_up) {
    run_ = quiet_run_ = 0;
    return;
  }
  run_ = ask_.by_caught_up ? run_ + 1 : 0;
  ++quiet_run_;
  const std::uint32_t sections = 1U << level_, there = others_;
  const auto round = static_cast<std::uint32_t>(
      std::ceil(kQuietRounds * std::log(static_cast<double>(terms_.nodes))));
  caught_up_ = caught_up_ || run_ >= std::max(sections, std::min(terms_.copies, there)) ||
               quiet_run_ >= std::max(sections, std::min(round, there));
  if (caught_up_) hint_ = 0;
}

}  // namespace petrelrail::fleet
