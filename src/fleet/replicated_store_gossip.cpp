// The gossip and anti-entropy part of ReplicatedStore: updates at fixed intervals, pulls of records
// whose digests differ, and their responses.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "common/hash.hpp"
#include "common/time_math.hpp"
#include "replicated_store.hpp"

namespace petrelrail::fleet {
namespace {

constexpr std::size_t kMaxQueuedGossip = 4096;
constexpr std::size_t kMaxSentUpdates = 64;  // whose echoes are remembered
// Nodes considered for a pending write if an ack of the interval's partner would not help it.
constexpr std::uint64_t kSubstituteCandidates = 24;
// Set in the echo of a pull and its response, and clear in the echo of a write's update.
constexpr std::uint32_t kPullEchoBit = 1U << 31U;
// A pull's salt contains the level in its upper 4 bits, and the section in its lowest bits.
constexpr unsigned kLevelShift = 12, kMaxLevel = 12;
// The end message of a pull response, as the number of a key in kReservedSpace: caught up (1 bit),
// more records differ (1), level (4), number of parts.
constexpr unsigned kEndLevelShift = 2, kEndPartsShift = 6;
constexpr std::size_t kPullHeaderBytes = 3;  // of a pull before its digests
constexpr std::uint64_t kPullEveryIntervals = 2;
constexpr std::uint64_t kIdlePullEveryIntervals = 6;  // while there is nothing to repair
constexpr std::uint32_t kMaxDoublings = 5;
constexpr std::size_t kHeldBytes = 23;    // of a key and version
constexpr double kQuietRunsPerEFold = 4;  // times ln(nodes)
constexpr std::size_t kMaxAnsweredPulls = 64;
constexpr double kResponsesPerPull = 2;

std::uint64_t salt_of(std::uint16_t salt, std::uint32_t echo) {
  return static_cast<std::uint64_t>(salt) << 32U | echo;
}

}  // namespace

// ---- Partners -----------------------------------------------------------------------------------

// The shuffle depends on the stream and the interval alone, so that all nodes use the same order.
MemberId ReplicatedStore::partner(Stream s, std::uint64_t interval, std::uint64_t offset) {
  auto& o = orders_[static_cast<std::size_t>(s)];
  const std::uint64_t all = config_.nodes - 1, epoch = interval / all;
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
  const auto distance = o.distances[(interval + offset) % all];
  return MemberId(static_cast<std::uint16_t>((index_of(self_) + distance) % config_.nodes));
}

std::size_t ReplicatedStore::body_bytes() const { return max_body_bytes(config_.sealed); }

// Every interval, each node that holds an update sends it to one other. The share of nodes missed
// after n transmissions is e^-n.
std::uint32_t ReplicatedStore::max_transmissions() const {
  return static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(config_.nodes) + 1))) +
         1;
}

void ReplicatedStore::send(MemberId to, Body body, std::uint32_t echo) {
  outgoing_.push_back({to, std::move(body), echo});
}

// ---- Gossip -------------------------------------------------------------------------------------

void ReplicatedStore::enqueue_gossip(const RecordKey& key) {
  std::erase_if(gossip_queue_, [&](const PendingGossip& n) { return n.key == key; });
  if (gossip_queue_.size() >= kMaxQueuedGossip)
    gossip_queue_.erase(gossip_queue_.begin());  // anti-entropy repairs it
  gossip_queue_.push_back({key, 0});
}

void ReplicatedStore::send_gossip(std::uint64_t interval) {
  if (config_.nodes < 2 || (pending_writes_.empty() && gossip_queue_.empty())) return;
  auto to = partner(Stream::gossip, interval);
  const auto is_useful = [&](MemberId m) {
    return std::ranges::any_of(pending_writes_,
                               [&](const PendingWrite& p) { return benefits_from(p, m); });
  };
  // A pending write goes to another node if an ack of the interval's partner would not help it.
  if (!pending_writes_.empty())
    for (std::uint64_t offset = 0;
         offset < std::min<std::uint64_t>(kSubstituteCandidates, config_.nodes - 1); ++offset)
      if (const auto m = partner(Stream::gossip, interval, offset); is_useful(m)) {
        to = m;
        break;
      }
  if (!is_living(to)) return;
  RecordUpdate update;
  std::size_t used_bytes = 0;
  const auto add = [&](const RecordKey& key) {
    const auto* r = table_.find(key);
    const bool is_included = std::ranges::any_of(update.records,
                                                 [&](const Record& t) { return t.key == key; });
    if (!r || is_included || used_bytes + record_bytes(*r) > body_bytes()) return is_included;
    used_bytes += record_bytes(*r);
    update.records.push_back(*r);
    return true;
  };
  bool needs_ack = false;
  for (const auto& p : pending_writes_)
    if (benefits_from(p, to)) needs_ack = add(p.key) || needs_ack;
  std::ranges::stable_sort(gossip_queue_, {}, &PendingGossip::transmissions);
  for (auto& n : gossip_queue_)
    if (add(n.key)) ++n.transmissions;
  std::erase_if(gossip_queue_, [&](const PendingGossip& n) {
    return n.transmissions >= max_transmissions() || !table_.find(n.key);
  });
  if (update.records.empty()) return;
  std::uint32_t echo = 0;
  if (needs_ack) {
    echo = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(next_random()) & ~kPullEchoBit);
    if (sent_updates_.size() >= kMaxSentUpdates) sent_updates_.pop_front();
    sent_updates_.push_back({echo, to});
  }
  ++stats_.updates;
  send(to, std::move(update), echo);
}

// ---- Received messages --------------------------------------------------------------------------

void ReplicatedStore::receive(Time now, MemberId from, const Message& message) {
  if (index_of(from) >= config_.nodes || from == self_) {
    ++stats_.malformed;
    return;
  }
  advance(now);
  const auto echo = message.header.echo;
  if (const auto* update = std::get_if<RecordUpdate>(&message.body)) on_update(from, echo, *update);
  if (const auto* ack = std::get_if<RecordAck>(&message.body)) on_ack(from, echo, *ack);
  if (const auto* request = std::get_if<DigestRequest>(&message.body))
    answer_pull(now, from, echo, *request);
  conclude_writes(now);
}

std::optional<RecordTable::MergeResult> ReplicatedStore::merge(const Record& r) {
  if (r.version.epoch == 0 || index_of(r.version.origin) >= config_.nodes ||
      r.value.size() > kMaxRecordValueBytes || (r.deleted && !r.value.empty())) {
    ++stats_.malformed;
    return std::nullopt;
  }
  // An epoch that no node can have yet would fence off later writers.
  if (r.version.epoch > config_.max_epoch(now_)) {
    ++stats_.epoch_ahead;
    return std::nullopt;
  }
  const auto result = table_.merge(now_, r);
  switch (result) {
    case RecordTable::MergeResult::changed:
      ++stats_.merged;
      if (r.key.space == kWatermarkSpace)
        on_watermark(r);
      else
        on_held(self_, r.key, r.version);
      break;
    case RecordTable::MergeResult::unchanged: break;
    case RecordTable::MergeResult::expired: ++stats_.expired; break;
    case RecordTable::MergeResult::too_far: ++stats_.too_far; break;
    case RecordTable::MergeResult::full: ++stats_.full; break;
    case RecordTable::MergeResult::no_space: ++stats_.no_space; break;
  }
  return result;
}

void ReplicatedStore::on_update(MemberId from, std::uint32_t echo, const RecordUpdate& update) {
  const bool is_response = (echo & kPullEchoBit) != 0;
  const bool is_expected = is_response && pull_.open && pull_.to == from && pull_.echo == echo;
  if (is_expected && !update.records.empty()) pull_.first_keys.insert(update.records.front().key);
  RecordAck ack;
  for (const auto& r : update.records) {
    const auto result = merge(r);
    if (result == RecordTable::MergeResult::changed) on_changed(r.key, !is_response);
    if (is_expected) {
      pull_.changed_records = pull_.changed_records || result == RecordTable::MergeResult::changed;
      pull_.dropped_records = pull_.dropped_records || !result ||
                              result == RecordTable::MergeResult::full ||
                              result == RecordTable::MergeResult::too_far ||
                              result == RecordTable::MergeResult::no_space;
    }
    const auto* held = table_.find(r.key);
    if (held && held->version >= r.version && (ack.held.size() + 1) * kHeldBytes <= body_bytes())
      ack.held.push_back({r.key, held->version});
  }
  if (is_expected) process_pull_response();
  if (is_response || echo == 0 || ack.held.empty()) return;
  ++stats_.acks;
  send(from, std::move(ack), echo);
}

void ReplicatedStore::on_ack(MemberId from, std::uint32_t echo, const RecordAck& ack) {
  if ((echo & kPullEchoBit) != 0) {
    if (!pull_.open || pull_.to != from || pull_.echo != echo || ack.held.size() != 1 ||
        ack.held.front().key.space != kReservedSpace)
      return;
    const auto end = ack.held.front().key.number;
    if (!caught_up_)
      level_hint_ = std::max(
          level_hint_, static_cast<unsigned>(end >> kEndLevelShift &
                                             ((1U << (kEndPartsShift - kEndLevelShift)) - 1)));
    if ((end >> 1U & 1U) != 0) return;  // more records differ
    pull_.part_count = end >> kEndPartsShift;
    pull_.by_caught_up = (end & 1U) != 0;
    return process_pull_response();
  }
  const bool is_expected = std::ranges::any_of(
      sent_updates_, [&](const SentUpdate& sent) { return sent.echo == echo && sent.to == from; });
  if (!is_expected) return;
  for (const auto& h : ack.held) on_held(from, h.key, h.version);
}

// ---- Anti-entropy -------------------------------------------------------------------------------

void ReplicatedStore::send_pull(Time now, std::uint64_t interval) {
  const auto max_tokens = std::max(
      1.0, config_.pull_per_s * seconds(config_.gossip_interval()) * kPullEveryIntervals);
  pull_tokens_ = std::min(
      max_tokens,
      pull_tokens_ + config_.pull_per_s * seconds(now - std::exchange(pull_refill_time_, now)));
  if (config_.nodes < 2 || interval % kPullEveryIntervals != 0) return;
  // The latest response is incomplete and changed nothing: what differs may be records that this
  // node cannot hold.
  if (std::exchange(pull_.open, false) && !pull_.first_keys.empty() && !pull_.changed_records)
    fruitless_doublings_ = std::min(fruitless_doublings_ + 1, kMaxDoublings);
  const auto idle = scaled(config_.gossip_interval(),
                           (kIdlePullEveryIntervals - 0.5) * std::exp2(fruitless_doublings_));
  if (caught_up_ && !pull_soon_ && now - last_pull_time_ < idle) return;
  if (!caught_up_ && pull_.dropped_records && now - last_pull_time_ < idle) return;
  const auto to = partner(Stream::pull, interval / kPullEveryIntervals);
  if (!is_living(to)) return;
  const auto allowed = std::min(pull_tokens_,
                                static_cast<double>(pull_allowance_.value_or(UINT8_MAX)));
  const auto max_datagrams = static_cast<std::uint32_t>(
      std::min(allowed, static_cast<double>(UINT8_MAX)));
  if (max_datagrams == 0) return;
  const auto buckets = (body_bytes() - kPullHeaderBytes) / sizeof(std::uint16_t);
  const auto previous_level = std::exchange(level_, wanted_level());
  if (level_ != previous_level) section_ = 0, caught_up_run_ = quiet_run_ = 0;
  DigestRequest body;
  const auto mask = (1U << level_) - 1;
  body.salt = static_cast<std::uint16_t>(
      level_ << kLevelShift | (next_random() & ((1U << kLevelShift) - 1) & ~mask) | section_);
  body.max_datagrams = static_cast<std::uint8_t>(max_datagrams);
  pull_ = {};
  pull_.to = to, pull_.max_datagrams = max_datagrams, pull_.open = true;
  pull_.echo = static_cast<std::uint32_t>(next_random()) | kPullEchoBit;
  body.digests = table_.digests(level_, section_, buckets, salt_of(body.salt, pull_.echo));
  pull_tokens_ -= max_datagrams;
  if (pull_allowance_) *pull_allowance_ -= max_datagrams;
  last_pull_time_ = now;
  pull_soon_ = false;
  ++stats_.pulls;
  send(to, std::move(body), pull_.echo);
}

void ReplicatedStore::answer_pull(Time now, MemberId from, std::uint32_t echo,
                                  const DigestRequest& request) {
  const unsigned remote_level = request.salt >> kLevelShift;
  const bool is_valid = request.max_datagrams > 0 && !request.digests.empty() &&
                        (echo & kPullEchoBit) != 0 && remote_level <= kMaxLevel;
  if (!is_valid) {
    ++stats_.malformed;
    return;
  }
  // A duplicate of a request that was answered already.
  if (std::ranges::find(answered_pulls_, std::pair(from, echo)) != answered_pulls_.end()) return;
  if (answered_pulls_.size() >= kMaxAnsweredPulls) answered_pulls_.pop_front();
  answered_pulls_.emplace_back(from, echo);
  const double rate = kResponsesPerPull * config_.pull_per_s;
  answer_tokens_ = std::min(
      rate, answer_tokens_ + rate * seconds(now - std::exchange(answer_refill_time_, now)));
  const auto max_datagrams = std::min<std::size_t>(request.max_datagrams,
                                                   static_cast<std::size_t>(answer_tokens_));
  if (max_datagrams == 0) return;
  const auto section = request.salt & ((1U << remote_level) - 1);
  const auto records = table_.differing(remote_level, section, request.digests,
                                        salt_of(request.salt, echo));
  std::vector<RecordUpdate> parts;
  std::size_t used_bytes = body_bytes(), record_count = 0;
  for (const auto& r : records) {
    if (used_bytes + record_bytes(r) > body_bytes()) {
      if (parts.size() == max_datagrams) break;
      parts.emplace_back();
      used_bytes = 0;
    }
    used_bytes += record_bytes(r);
    parts.back().records.push_back(r);
    ++record_count;
  }
  const auto sent = parts.size();
  answer_tokens_ -= static_cast<double>(sent);
  stats_.pull_responses += sent;
  for (auto& p : parts) send(from, std::move(p), echo);
  // The end message gives the number of parts and whether this node has caught up. An incomplete
  // response has none, except when the requester's sections are too large: it learns the level
  // then.
  const bool has_more = record_count < records.size();
  if ((has_more && remote_level >= wanted_level()) || (!has_more && sent == max_datagrams)) return;
  const std::uint64_t end = sent << kEndPartsShift |
                            static_cast<std::uint64_t>(wanted_level()) << kEndLevelShift |
                            static_cast<std::uint64_t>(has_more) << 1U |
                            static_cast<std::uint64_t>(caught_up_);
  answer_tokens_ -= 1;
  ++stats_.pull_responses;
  send(from, RecordAck{{{{kReservedSpace, end}, {}}}}, echo);
}

// Chooses sections with about one record per bucket, so that a response contains few records
// besides those that differ.
unsigned ReplicatedStore::wanted_level() const {
  const auto buckets = (body_bytes() - kPullHeaderBytes) / sizeof(std::uint16_t);
  const auto fitting = [&](std::size_t records) {
    unsigned l = 0;
    while (l < kMaxLevel && records > buckets << l) ++l;
    return l;
  };
  const auto own = std::max(fitting(table_.size()),
                            std::min(level_hint_, fitting(config_.max_records * config_.spaces)));
  return own + 1 >= level_ ? std::max(own, std::min(level_, own + 1)) : own;
}

// Evaluates the response to the latest pull once it is complete, and whether this node has caught
// up.
void ReplicatedStore::process_pull_response() {
  if (!pull_.part_count || pull_.first_keys.size() < *pull_.part_count) {
    if (pull_.changed_records) fruitless_doublings_ = 0, pull_soon_ = true;
    return;
  }
  pull_.open = false;
  // Datagrams that the response did not use may be requested again.
  const auto unused = static_cast<double>(pull_.max_datagrams) -
                      static_cast<double>(*pull_.part_count) - 1;
  pull_tokens_ += std::max(0.0, unused);
  // Digests differ but nothing changed: this may last (limits, records that the other node lacks),
  // so pulls become less frequent.
  if (pull_.changed_records)
    fruitless_doublings_ = 0;
  else if (*pull_.part_count == 0)
    fruitless_doublings_ -= fruitless_doublings_ > 0;
  else
    fruitless_doublings_ = std::min(fruitless_doublings_ + 1, kMaxDoublings);
  pull_soon_ = pull_.changed_records;
  section_ = (section_ + 1) & ((1U << level_) - 1);
  if (pull_.dropped_records) return;
  if (pull_.changed_records && !pull_.by_caught_up) {
    caught_up_run_ = quiet_run_ = 0;
    return;
  }
  caught_up_run_ = pull_.by_caught_up ? caught_up_run_ + 1 : 0;
  ++quiet_run_;
  const std::uint32_t sections = 1U << level_, others = living_others_;
  const auto quiet_runs = static_cast<std::uint32_t>(
      std::ceil(kQuietRunsPerEFold * std::log(static_cast<double>(config_.nodes))));
  caught_up_ = caught_up_ ||
               caught_up_run_ >= std::max(sections, std::min(config_.required_copies, others)) ||
               quiet_run_ >= std::max(sections, std::min(quiet_runs, others));
  if (caught_up_) level_hint_ = 0;
}

}  // namespace petrelrail::fleet
