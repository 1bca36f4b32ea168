#include "members.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "common/time_math.hpp"

namespace petrelrail::fleet {
namespace {

// Shares of the intake L. A round asks everybody once and brings a question and an answer; with
// L/30 rounds a second that is a fifteenth of the intake, and three times as much while there is
// trouble. Pushes bring kPushed in each of four slots a round, a little over L/4 in all. A third of
// L is left for what comes unevenly.
constexpr double kRoundShare = 30;
// Datagrams a second. A round is kRoundShare over it, and must not come to nothing.
constexpr double kMaxIntakePerSecond = 1e6;
constexpr int kQuick = 4;
constexpr double kSlots = 4.5;
constexpr std::uint32_t kPushed = 2;
constexpr double kTellShare = 15;  // a table's parts at once: L/15

constexpr std::uint32_t kWords = kAccusers;
constexpr std::uint32_t kLeastVoices = 2;   // of these, different ones
constexpr std::uint32_t kRelays = 3;        // at once, two of them in neither one's zone
constexpr std::uint32_t kDraws = 24;        // for each
constexpr std::ptrdiff_t kLeftTellers = 2;  // who must have told that another has left
constexpr std::uint32_t kJump = 16;         // incarnations at once on one other's word
constexpr std::uint32_t kMostHealth = 8;    // Lifeguard's S
constexpr std::size_t kWindow = 8;          // whole probes that the standing looks back on
constexpr double kRefutationRounds = 1.65;  // for each tenfold of the nodes, at least 2 tenfolds
constexpr double kTroubled = 20;            // one in so many: rounds come quicker
constexpr int kSilentRounds = 4;            // without a word from one whom few ask
constexpr std::uint64_t kLooks = 12;        // for whom to push news to
constexpr std::uint32_t kSubstitutes = 10;  // looked at in place of one that is not there
constexpr std::uint32_t kFewTries = 2, kMostTries = 6;
constexpr double kLossGain = 1.0 / 32, kRttGain = 1.0 / 8, kVarGain = 1.0 / 4,
                 kVars = 4;             // RFC 6298
constexpr double kPatienceRetries = 6;  // a second question, relays, others, and their answers
constexpr int kIdleSync = 2;  // rounds between two looks at a whole table, while they bring nothing
constexpr std::size_t kMostErrands = 16;
constexpr std::uint32_t kMostDoublings = 4;
constexpr double kReturnsFade = 20;  // refutation times in which returns count half

std::uint64_t hash3(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  return mix_hash(mix_hash(mix_hash(a) + b) + c);
}

}  // namespace

Duration Terms::round() const { return from_seconds(kRoundShare / in_per_s); }
Duration Terms::quick() const { return round() / kQuick; }
Duration Terms::slot() const { return scaled(round(), 1 / kSlots); }
Duration Terms::refutation() const {
  return scaled(round(), kRefutationRounds * std::max(2.0, std::log10(static_cast<double>(nodes))));
}
std::uint32_t Terms::words() const { return std::clamp(nodes - 1, 1U, kWords); }
std::uint32_t Terms::copies() const {
  return static_cast<std::uint32_t>(std::ceil(std::log(static_cast<double>(nodes) + 1))) + 1;
}
Duration Terms::learned_within() const {
  return 2 * round() + refutation() + round() + copies() * slot();
}
double Terms::reckoned_intake() const {
  constexpr double silent = 0.7, there = 1 - silent;
  const double rounds = 1 / seconds(quick());
  // Of the probes of those that are left, what meets one that is there: its turn, or half of the
  // turns of silent ones.
  const double asked = rounds * (there + silent / 2);
  const double answers = asked;
  const double relays = rounds * silent / 2 * 2 *
                        there;  // asked for half of the silent ones, two each
  const double pushed = kPushed / seconds(slot());
  const double tables = (1 + in_per_s / 2 / kTellShare) / seconds(round());
  return asked + answers + relays + pushed + tables;
}
std::uint32_t Terms::most_nodes() { return 4096; }

void validate(const Terms& t) {
  if (t.nodes < 2 || t.nodes > Terms::most_nodes())
    throw std::invalid_argument("members need 2 to " + std::to_string(Terms::most_nodes()) +
                                " nodes");
  if (!(t.in_per_s >= 1 && t.in_per_s <= kMaxIntakePerSecond))
    throw std::invalid_argument("members need an intake of 1 to 1000000 datagrams a second");
}

const char* name_of(Standing s) {
  static constexpr std::array names{"majority", "minority", "alone"};
  return names[static_cast<std::size_t>(s)];
}
const char* name_of(Rank r) {
  static constexpr std::array names{"alive", "suspect", "failed", "left"};
  return names[static_cast<std::size_t>(r)];
}
const char* Members::name_of(Drop d) {
  static constexpr std::array<const char*, kDrops> names{
      "too_short", "too_long", "version", "kind", "malformed", "tag", "sender", "ahead", "crowd"};
  return names[static_cast<std::size_t>(d)];
}

Members::Members(Terms terms, Self self, std::uint64_t seed)
    : terms_(std::move(terms)),
      self_(self),
      random_(mix_hash(seed)),
      members_(terms_.nodes),
      zone_heard_(kZones),
      echoes_(static_cast<std::uint32_t>(mix_hash(seed + 1))) {
  validate(terms_);
  if (index_of(self_.id) >= terms_.nodes)
    throw std::invalid_argument("this node's number is not below the nodes'");
  if (self_.zone >= kZones)
    throw std::invalid_argument("this node's zone is beyond the zones that can be told");
  buckets_.resize(std::min<std::size_t>(terms_.nodes, most_buckets(terms_.key.has_value())));
}

std::uint64_t Members::draw(std::uint64_t below) {
  random_ = mix_hash(random_ + 1);
  return below > 0 ? random_ % below : 0;
}

// The epoch's shuffle is derived by all nodes alike from the stream and the epoch alone.
std::size_t Members::distance(Stream s, std::uint64_t round) {
  auto& o = orders_[static_cast<std::size_t>(s)];
  const std::uint64_t all = terms_.nodes - 1;
  if (o.epoch != round / all) {
    o.epoch = round / all;
    o.distances.resize(all);
    std::iota(o.distances.begin(), o.distances.end(), std::uint16_t{1});
    std::uint64_t state = hash3(static_cast<std::uint64_t>(s), o.epoch, all);
    for (std::size_t i = all; i > 1; --i) {
      state = mix_hash(state);
      std::swap(o.distances[i - 1], o.distances[state % i]);
    }
  }
  return o.distances[round % all];
}

// ---- Life ---------------------------------------------------------------------------------------

void Members::start(Time now) {
  started_ = true;
  heard_ = changed_ = now;
  synced_ = now - terms_.round();
  auto& me = at(self_.id);
  me.state = {self_.incarnation, Rank::alive, self_.life};
  me.zone = self_.zone, me.since = now;
  rehash(self_.id, 0);
  add_news(now, entry_of(self_.id));
  next_round_ = next_round(now);
  push_at_ = now;
  arm(now);
}

void Members::leave(Time now) {
  if (!started_ || std::exchange(leaving_, true)) return;
  become(now, self_.id, {self_.incarnation, Rank::left, self_.life}, self_.zone, true);
  probes_.clear();
  push_at_ = now;
  arm(now);
}

void Members::set_self(Time now, std::uint32_t incarnation) {
  self_.incarnation = incarnation;
  become(now, self_.id, {incarnation, Rank::alive, self_.life}, self_.zone, true);
}

void Members::arm(Time now) {
  Time due = push_at_;
  if (!leaving_) due = std::min(due, next_round_);
  for (const auto& p : probes_) due = std::min({due, p.next_try, p.ends});
  for (const auto& e : errands_) due = std::min(due, e.ends);
  for (const auto id : suspects_) {
    const Time ready = at(id).suspected + wait_for(at(id));
    if (ready > now) due = std::min(due, ready);
  }
  due_ = due;
}

void Members::tick(Time now) {
  if (!started_) return;
  if (now - due_ > terms_.slot() && !terms_.plain) overslept(now, now - due_);
  std::vector<Probe> over;
  for (auto& p : probes_) {
    if (now >= p.ends)
      over.push_back(p);
    else if (now >= p.next_try)
      try_again(now, p);
  }
  std::erase_if(probes_, [&](const Probe& p) { return now >= p.ends; });
  for (const auto& p : over) concluded(now, p, false);
  std::vector<Errand> mute;
  std::erase_if(errands_, [&](const Errand& e) {
    if (now >= e.ends) mute.push_back(e);
    return now >= e.ends;
  });
  // Where many are silent it says little that one more is, and the asker hears enough of others.
  if (!quick_)
    for (const auto& e : mute) send(e.from, Nack{e.target}, e.echo);
  judge(now);
  look_for_trouble(now);
  if (!leaving_ && now >= next_round_) begin_round(now);
  if (now >= push_at_) push(now);
  arm(now);
}

// Whatever was due meanwhile says nothing of others: nobody is judged for answers that this node
// could not hear.
void Members::overslept(Time now, Duration late) {
  ++figures_.stalls;
  figures_.health = std::min(kMostHealth, figures_.health + 1);
  probes_.clear();
  errands_.clear();
  for (const auto id : suspects_) at(id).suspected = std::min(now, at(id).suspected + late);
}

// ---- Rounds -------------------------------------------------------------------------------------

// Where in a round this node's turn is: spread evenly by a hash.
Duration Members::phase() const {
  const double part = static_cast<double>(mix_hash(index_of(self_.id)) >> 11U) * 0x1.0p-53;
  return scaled(pace(), part);
}

Time Members::next_round(Time now) const {
  const auto p = pace();
  const auto since = (now - phase()).time_since_epoch();
  return Time((since / p + 1) * p) + phase();
}

void Members::look_for_trouble(Time now) {
  while (!trouble_.empty() && now - trouble_.front() > 2 * terms_.refutation())
    trouble_.pop_front();
  const auto much = std::max(2.0, static_cast<double>(terms_.nodes) / kTroubled);
  const bool seen = answered_.size() > 1 && !answered_.back().second &&
                    !answered_[answered_.size() - 2].second;
  const bool quick = seen || static_cast<double>(suspects_.size() + trouble_.size()) > much;
  if (std::exchange(quick_, quick) != quick) next_round_ = std::min(next_round_, next_round(now));
}

void Members::begin_round(Time now) {
  const auto p = pace();
  const auto round = static_cast<std::uint64_t>((now - phase()).time_since_epoch() / p);
  next_round_ = next_round(now);
  // A node that is slow itself asks less often, as it has more patience.
  if (round % (1 + figures_.health) != 0) return;
  ++figures_.rounds;
  const auto stream = quick_ ? Stream::quick : Stream::calm;
  const auto target = across(distance(stream, round));
  // One whom enough accuse already is only told so, that it can speak up.
  const auto& t = at(target);
  const bool doubted = t.state.rank == Rank::suspect && t.words.size() >= kWords && !terms_.plain;
  if (living(t) && !doubted) return probe(now, target, false);
  if (t.state.rank != Rank::left) probe(now, target, true);
  // Its turn goes to one of whom nothing was heard of late while many are silent, to one of whom a
  // word more would decide, or else to any that is there.
  const std::uint64_t all = terms_.nodes - 1;
  std::array<std::optional<MemberId>, 3> others;
  for (std::uint32_t i = 1; i <= kSubstitutes; ++i) {
    const auto other = across(
        distance(stream, round - round % all + (round + i * (all / kSubstitutes + 1)) % all));
    const auto& m = at(other);
    const bool alive = m.state.known() && m.state.rank == Rank::alive;
    std::optional<std::size_t> worth;
    if (alive) worth = quick_ && now - m.heard > kSilentRounds * terms_.round() ? 0 : 2;
    if (m.state.rank == Rank::suspect && m.words.size() < kWords && !accuses(m)) worth = 1;
    if (worth && !others[*worth]) others[*worth] = other;
  }
  for (const auto& o : others)
    if (o) return probe(now, *o, false);
}

// RFC 6298's time-out, bounded by what a round holds.
Duration Members::retry() const {
  const Duration least = terms_.round() / 20, most = terms_.round() / 3;
  if (rtt_ <= 0) return terms_.round() / 5;
  return std::clamp(from_seconds(rtt_ + kVars * rtt_var_), least, most);
}

Duration Members::patience() const {
  const double longer = terms_.plain ? 1 : 1 + figures_.health;
  return scaled(std::min(scaled(retry(), kPatienceRetries), 4 * terms_.round() / 3), longer);
}

// So many that by chance alone about one probe in as many as there are nodes finds nobody.
std::uint32_t Members::tries(const Probe& p) const {
  if (quick_ && at(p.target).state.rank == Rank::suspect) return 1;
  const double q = std::clamp(loss_, 0.01, 0.9);
  const auto wanted = std::ceil(std::log(1.0 / terms_.nodes) / std::log(q));
  return std::clamp(static_cast<std::uint32_t>(wanted), kFewTries,
                    quick_ ? kFewTries + 1 : kMostTries);
}

void Members::probe(Time now, MemberId target, bool touch) {
  if (std::ranges::any_of(probes_, [&](const Probe& p) { return p.target == target; })) return;
  ++figures_.probes;
  Probe p{.target = target, .echo = ++echoes_, .began = now, .touch = touch};
  p.ends = now + (touch ? retry() : patience());
  p.next_try = touch ? p.ends : now + retry();
  p.tries = 1;
  probes_.push_back(p);
  send(target, Ping{news_for(target, false)}, p.echo);
}

std::optional<Members::Probe> Members::take_probe(MemberId target, std::uint32_t echo,
                                                  bool by_relay) {
  const auto it = std::ranges::find_if(probes_, [&](const Probe& p) {
    return p.target == target && p.echo == echo && (!by_relay || p.asked > 0);
  });
  if (it == probes_.end()) return std::nullopt;
  const auto found = *it;
  probes_.erase(it);
  return found;
}

void Members::try_again(Time now, Probe& p) {
  p.next_try = now + retry();
  ++p.tries;
  if (p.tries <= tries(p)) send(p.target, Ping{news_for(p.target, true)}, p.echo);
  // Relays once the second question has come to nothing as well, and others after that.
  // Of one who is suspect already a word of its own direct silence will do while many are silent.
  const auto relays = !quick_ ? 2 * kRelays : at(p.target).state.rank == Rank::suspect ? 0 : 2;
  if (p.tries > kFewTries && p.asked < relays) ask_relays(now, p);
  if (p.tries > tries(p) && p.asked >= relays) p.next_try = p.ends;
}

// Two in zones of neither, as what cuts one zone off from another leaves a third one its ways.
void Members::ask_relays(Time, Probe& p) {
  std::vector<MemberId> chosen;
  const auto theirs = at(p.target).zone;
  // Drawn and not looked for in turn: else all would come upon the one behind a row of silent ones.
  const auto pick = [&](auto fits) {
    for (std::uint32_t i = 0; i < kDraws; ++i) {
      const auto m = MemberId(static_cast<std::uint16_t>(draw(terms_.nodes)));
      const auto& s = at(m).state;
      if (m == self_.id || m == p.target || !s.known() || s.rank != Rank::alive ||
          !fits(at(m).zone))
        continue;
      if (std::ranges::find(chosen, m) != chosen.end()) continue;
      return chosen.push_back(m);
    }
  };
  const auto third = [&](std::uint8_t z) { return z != theirs && z != self_.zone; };
  const auto any = [](std::uint8_t) { return true; };
  pick(third);
  if (!quick_) pick(third);
  while (chosen.size() < (quick_ ? 1 : kRelays)) {
    const auto before = chosen.size();
    pick(any);
    if (chosen.size() == before) break;
  }
  for (const auto m : chosen) send(m, PingRequest{p.target}, p.echo);
  p.asked += static_cast<std::uint32_t>(chosen.size());
}

void Members::concluded(Time now, const Probe& p, bool answered) {
  if (p.touch) return;
  if (answered) {
    if (p.tries == 1 && p.asked == 0) {
      const double took = seconds(now - p.began);
      if (rtt_ <= 0) rtt_ = took, rtt_var_ = took / 2;
      rtt_var_ += kVarGain * (std::abs(took - rtt_) - rtt_var_);
      rtt_ += kRttGain * (took - rtt_);
    }
    loss_ += kLossGain * ((p.tries > 1 || p.asked > 0 ? 1.0 : 0.0) - loss_);
    if (figures_.health > 0) --figures_.health;
  } else {
    ++figures_.probes_failed;
    // Not a word from anybody meanwhile, not even from those asked to relay: it may be this node
    // that is slow.
    if (heard_ < p.began && p.nacks == 0)
      figures_.health = std::min(kMostHealth, figures_.health + 1);
  }
  answered_.emplace_back(p.target, answered);
  if (answered_.size() > kWindow) answered_.pop_front();
  if (!answered) accuse(now, p.target);
}

// ---- What is said of members --------------------------------------------------------------------

std::uint32_t Members::unsuspected() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      members_, [](const Member& m) { return m.state.known() && m.state.rank == Rank::alive; }));
}

Standing Members::standing(Time now) const {
  std::uint32_t known = 0, there = 0;
  for (const auto& m : members_) {
    if (!m.state.known() || m.state.rank == Rank::left) continue;
    ++known;
    if (m.state.rank <= Rank::suspect) ++there;
  }
  if (known < 2) return Standing::majority;
  const bool silence = now - heard_ > 4 * terms_.round();
  // Those that have failed since are not counted among the living: their silence is not counted
  // again.
  const auto asked = std::ranges::count_if(
      answered_, [&](const auto& a) { return a.second || living(at(a.first)); });
  const auto yes = std::ranges::count_if(answered_, [](const auto& a) { return a.second; });
  if (silence && !answered_.empty() && !answered_.back().second) return Standing::alone;
  const double share = asked < static_cast<std::ptrdiff_t>(kWindow) / 2
                           ? 1
                           : static_cast<double>(yes) / static_cast<double>(asked);
  const double reached = 1 + share * (there - 1.0);
  return reached > static_cast<double>(known) / 2 ? Standing::majority : Standing::minority;
}

// Never on its own word alone while a node reaches no majority.
std::uint32_t Members::words_needed(Time now) const {
  const auto there = std::min(terms_.words(), std::max(1U, unsuspected()));
  return standing(now) == Standing::majority ? there : std::max(2U, there);
}

void Members::judge(Time now) {
  if (suspects_.empty()) return;
  const auto due = [&](MemberId id) { return now - at(id).suspected >= wait_for(at(id)); };
  if (std::ranges::none_of(suspects_, due)) return;
  const auto needed = terms_.plain ? 0 : words_needed(now);
  if (!terms_.plain && standing(now) == Standing::alone) return;
  bool undecided = false;
  for (const auto id : std::vector<MemberId>(suspects_)) {
    auto& m = at(id);
    if (!due(id)) continue;
    if (!enough(m, needed)) {
      undecided = true;
      continue;
    }
    ++figures_.failures;
    trouble_.push_back(now);
    // Most hear of enough accusers: that it has failed is told last, and to few.
    const auto sent = terms_.plain || m.words.size() < kWords ? 0 : terms_.copies() - kPushed;
    become(now, id, {m.state.incarnation, Rank::failed, m.state.life}, m.zone, true, sent);
  }
  // Others may have heard what is missing here.
  if (!undecided || terms_.plain) return;
  fruitful_ = true;
  const auto other = MemberId(static_cast<std::uint16_t>(draw(terms_.nodes)));
  if (other != self_.id && at(other).state.known() && at(other).state.rank == Rank::alive)
    sync(now, other);
}

void Members::accuse(Time now, MemberId id) {
  const auto& m = at(id);
  if (!living(m) || leaving_) return;
  if (!terms_.plain && standing(now) == Standing::alone) return;
  word(now, id, self_.id, true);
  // To its face as well: if it only slept, it finds this when it wakes.
  if (!terms_.plain) send(id, Gossip{news_for(id, true)}, 0);
}

// One to whom it has failed has heard enough itself, and counts twice. One voice alone is never
// enough where two can be had.
bool Members::enough(const Member& m, std::uint32_t needed) const {
  return m.words.size() + m.verdicts.size() >= needed &&
         m.words.size() >= std::min(needed, kLeastVoices);
}

// Those to whom it has failed have waited themselves: where two of them say so, half the time is
// left to it.
Duration Members::wait_for(const Member& m) const {
  return m.verdicts.size() < kLeastVoices ? terms_.refutation() : terms_.refutation() / 2;
}

void Members::word(Time now, MemberId id, MemberId accuser, bool news, bool verdict) {
  auto& m = at(id);
  if (m.state.rank == Rank::alive) {
    m.words.clear(), m.verdicts.clear();
    m.suspected = now;
    m.state.rank = Rank::suspect;
    suspects_.push_back(id);
    ++figures_.suspicions;
    m.since = now, changed_ = now, ++version_;
    verdicts_.push_back({now, id, Rank::suspect, m.state.incarnation, false});
  }
  if (verdict && m.verdicts.size() < kWords &&
      std::ranges::find(m.verdicts, accuser) == m.verdicts.end())
    m.verdicts.push_back(accuser), ++version_;
  if (std::ranges::find(m.words, accuser) != m.words.end()) return;
  if (m.words.size() >= 2 * kWords) return;  // more say nothing new
  m.words.push_back(accuser);
  ++version_;
  if (news && m.words.size() <= kWords) add_news(now, entry_of(id));
}

void Members::become(Time now, MemberId id, State s, std::uint8_t zone, bool news,
                     std::uint32_t sent) {
  auto& m = at(id);
  const auto before = hash_of(id);
  const auto was = m.state;
  const bool gone = was.known() && was.rank >= Rank::failed;
  m.state = s, m.zone = zone, m.since = now;
  m.words.clear(), m.verdicts.clear(), m.hearsay.clear();
  std::erase(suspects_, id);
  const bool returned = gone && s.rank == Rank::alive;
  if (returned && was.rank == Rank::failed) {
    // Each return of late makes it wait twice as long until it counts as living.
    m.returns = 1 + m.returns * std::exp2(-seconds(now - m.returned) /
                                          (kReturnsFade * seconds(terms_.refutation())));
    m.returned = now;
    const auto doublings = std::min<double>(kMostDoublings, m.returns - 1.5);
    m.settled = doublings > 0 ? now + scaled(terms_.refutation(), std::exp2(doublings)) : now;
    ++figures_.returns;
    trouble_.push_back(now);
  }
  changed_ = now, ++version_;
  rehash(id, before);
  if (id != self_.id && (s.rank != Rank::alive || returned || !was.known()))
    verdicts_.push_back({now, id, s.rank, s.incarnation, returned});
  if (news) add_news(now, entry_of(id), sent);
}

// A suspect is told of without its life: whoever hears of it so for the first time has it from the
// next who knows it. Else it could not take any word of the failure of that life.
void Members::learn_life(MemberId id, std::uint16_t life) {
  const auto before = hash_of(id);
  at(id).state.life = life;
  rehash(id, before);
}

bool Members::believed(Member& m, MemberId teller, const State& s) {
  if (!m.state.known() || s.incarnation <= m.state.incarnation + kJump) return true;
  const auto agree = hear(m, teller, s,
                          [&](const State& h) { return h.incarnation + kJump >= s.incarnation; });
  if (agree >= static_cast<std::ptrdiff_t>(terms_.words())) return true;
  if (m.hearsay.size() > 2 * kWords) m.hearsay.erase(m.hearsay.begin());
  drop(Drop::ahead);
  return false;
}

void Members::apply(Time now, const Entry& e, MemberId teller, bool news) {
  if (index_of(e.id) >= terms_.nodes) return drop(Drop::malformed);
  if (e.id == self_.id) return about_me(now, e, teller);
  if (terms_.plain) return apply_plain(now, e);
  auto& m = at(e.id);
  const auto& s = e.state;
  const bool itself = teller == e.id;
  const State alive{s.incarnation, Rank::alive, s.life};
  if (!m.state.known() && (s.rank == Rank::failed || s.rank == Rank::left)) {
    return become(now, e.id, s, e.zone, false);
  }
  if (!itself && s.incarnation > m.state.incarnation && !believed(m, teller, s)) return;
  if (s.incarnation == m.state.incarnation && m.state.life == 0 && s.life != 0)
    learn_life(e.id, s.life);
  switch (s.rank) {
    case Rank::alive:
      if (alive.key() > m.state.key()) become(now, e.id, alive, e.zone, news);
      return;
    case Rank::suspect:
    case Rank::failed: {
      if (alive.key() > m.state.key()) become(now, e.id, alive, e.zone, false);
      if (m.state.incarnation != s.incarnation || m.state.rank > Rank::suspect) return;
      if (s.rank == Rank::failed && m.state.life != s.life) return;
      // Whoever tells of a failure stands for it itself. Nobody speaks in this node's name.
      const auto say = [&](MemberId accuser) {
        if (accuser == self_.id || index_of(accuser) >= terms_.nodes || accuser == e.id) return;
        word(now, e.id, accuser, news && s.rank == Rank::suspect, s.rank == Rank::failed);
      };
      if (s.rank == Rank::failed) return say(teller);
      std::ranges::for_each(e.accusers, say);
      return;
    }
    case Rank::left: {
      if (s.key() <= m.state.key()) return;
      if (!itself && hear(m, teller, s, [&](const State& h) { return h == s; }) < kLeftTellers)
        return;
      return become(now, e.id, s, e.zone, news);
    }
  }
}

// As the paper of 2002 has it: the greater state is taken over on any word.
void Members::apply_plain(Time now, const Entry& e) {
  auto& m = at(e.id);
  if (e.state.key() <= m.state.key()) return;
  if (e.state.rank != Rank::suspect) return become(now, e.id, e.state, e.zone, true);
  if (e.state.incarnation > m.state.incarnation)
    become(now, e.id, {e.state.incarnation, Rank::alive, e.state.life}, e.zone, false);
  if (m.state.rank == Rank::alive)
    word(now, e.id, e.accusers.empty() ? e.id : e.accusers.front(), true);
}

// Somebody holds this node for suspect, failed or gone, or for a former life: one incarnation on,
// it is neither.
void Members::about_me(Time now, const Entry& e, MemberId teller) {
  if (leaving_) return;
  const auto& s = e.state;
  auto& me = at(self_.id);
  if (s.incarnation < self_.incarnation) return;
  if (s.incarnation == self_.incarnation && s.rank == Rank::alive && s.life <= self_.life) return;
  if (!believed(me, teller, s)) return;
  if (s.incarnation == UINT32_MAX) return drop(Drop::ahead);
  if (s.rank == Rank::alive && s.life != self_.life && s.incarnation >= self_.incarnation &&
      clashes_++ > 0) {
    // A former life is told of once or twice. One that answers again and again is another process
    // of this name.
    if (conflicted(now)) return;
    ++figures_.conflicts;
    conflict_until_ = now +
                      scaled(terms_.refutation(), std::exp2(std::min(clashes_, kMostDoublings)));
  }
  if (s.rank == Rank::suspect || s.rank == Rank::failed)
    figures_.health = std::min(kMostHealth, figures_.health + 1);
  ++figures_.refutations;
  set_self(now, s.incarnation + 1);
}

void Members::heard(Time now, MemberId from, const Header& h) {
  heard_ = now;
  zone_heard_[h.zone] = now;
  at(from).heard = now;
  const State s{h.incarnation, Rank::alive, h.life};
  apply(now, {from, s, h.zone, {}}, from, true);
}

// ---- Datagrams ----------------------------------------------------------------------------------

Members::Datagram Members::sealed(MemberId to, Body body, std::uint32_t echo) {
  const Message m{{self_.id, self_.incarnation, self_.life, self_.zone, echo, digest()},
                  std::move(body)};
  Datagram d{to, encode(m, terms_.key)};
  ++figures_.datagrams_out;
  figures_.bytes_out += d.bytes.size();
  return d;
}

void Members::send(MemberId to, Body body, std::uint32_t echo) {
  out_.push_back(sealed(to, std::move(body), echo));
}

std::optional<Message> Members::received(Time now, MemberId from,
                                         std::span<const std::uint8_t> bytes) {
  if (!started_) return std::nullopt;
  ++figures_.datagrams_in;
  figures_.bytes_in += bytes.size();
  auto read = decode(bytes, terms_.key);
  const auto no = [&](Drop d) {
    drop(d);
    return std::nullopt;
  };
  if (read.fault != Fault::none)
    return no(static_cast<Drop>(static_cast<std::size_t>(read.fault) - 1));
  const auto& h = read.message.header;
  if (h.sender != from || from == self_.id || index_of(from) >= terms_.nodes)
    return no(Drop::sender);
  const bool agreed = h.digest == digest();
  heard(now, from, h);
  if (read.message.body.index() >= kFirstOther) {
    arm(now);
    return std::move(read.message);
  }
  const auto take = [&](const std::vector<Entry>& entries, bool news) {
    for (const auto& e : entries) apply(now, e, from, news);
  };
  auto& body = read.message.body;
  if (const auto* ping = std::get_if<Ping>(&body)) {
    take(ping->news, true);
    send(from, Ack{news_for(from, false)}, h.echo);
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    take(ack->news, true);
    if (const auto p = take_probe(from, h.echo, false)) concluded(now, *p, true);
    const auto job = std::ranges::find_if(
        errands_, [&](const Errand& e) { return e.target == from && e.own_echo == h.echo; });
    if (job != errands_.end()) {
      const auto e = *job;
      errands_.erase(job);
      send(e.from, Relayed{from, {{from, {h.incarnation, Rank::alive, h.life}, h.zone, {}}}},
           e.echo);
    }
  } else if (const auto* request = std::get_if<PingRequest>(&body)) {
    if (index_of(request->target) >= terms_.nodes || request->target == self_.id)
      return no(Drop::malformed);
    if (errands_.size() >= kMostErrands) return no(Drop::crowd);
    ++figures_.relayed;
    errands_.push_back({from, request->target, h.echo, ++echoes_, now + 2 * retry()});
    send(request->target, Ping{news_for(request->target, true)}, echoes_);
  } else if (const auto* relayed = std::get_if<Relayed>(&body)) {
    if (const auto p = take_probe(relayed->target, h.echo, true)) {
      take(relayed->news, true);
      concluded(now, *p, true);
    }
  } else if (const auto* nack = std::get_if<Nack>(&body)) {
    const auto it = std::ranges::find_if(
        probes_, [&](const Probe& p) { return p.target == nack->target && p.echo == h.echo; });
    if (it != probes_.end()) ++it->nacks;
  } else if (const auto* gossip = std::get_if<Gossip>(&body)) {
    take(gossip->news, true);
  } else if (const auto* ask = std::get_if<SyncAsk>(&body)) {
    tell(now, from, *ask);
  } else if (const auto* table = std::get_if<SyncTell>(&body)) {
    const auto before = version_;
    take(table->table, false);
    fruitful_ = fruitful_ || version_ != before;
  }
  if (!agreed && digest() != h.digest) sync(now, from);
  arm(now);
  return std::nullopt;
}

// ---- News and tables ----------------------------------------------------------------------------

Entry Members::entry_of(MemberId id) const {
  const auto& m = at(id);
  Entry e{id, m.state, m.zone, {}};
  if (m.state.rank == Rank::suspect)
    e.accusers.assign(m.words.begin(),
                      m.words.begin() + std::min<std::ptrdiff_t>(std::ssize(m.words), kAccusers));
  return e;
}

void Members::add_news(Time now, const Entry& e, std::uint32_t sent) {
  std::erase_if(news_, [&](const News& n) { return n.entry.id == e.id; });
  news_.push_back({e, sent});
  // At once after a quiet while; else in the next slot, with what comes until then.
  if (push_at_ == Time::max()) push_at_ = std::max(now, pushed_at_ + terms_.slot());
}

// What a datagram to somebody carries beside its purpose: first what is held against that one, so
// that it can speak up, then what has been told least often.
std::vector<Entry> Members::news_for(MemberId to, bool notice_only) {
  std::vector<Entry> told;
  auto room = static_cast<std::ptrdiff_t>(room_for_news(terms_.key.has_value()));
  const auto& m = at(to);
  if (leaving_) {
    told.push_back(entry_of(self_.id));
    room -= static_cast<std::ptrdiff_t>(entry_bytes(told.back()));
  }
  if (m.state.known() && (m.state.rank != Rank::alive || m.state.incarnation > 1) &&
      !terms_.plain) {
    auto e = entry_of(to);
    const bool held = e.state.rank != Rank::alive;
    if (held) told.push_back(e), room -= static_cast<std::ptrdiff_t>(entry_bytes(e));
  }
  if (notice_only || news_.empty()) return told;
  std::ranges::stable_sort(news_, {}, [](const News& n) { return n.sent; });
  const auto copies = terms_.copies();
  for (auto& n : news_) {
    const auto size = static_cast<std::ptrdiff_t>(entry_bytes(n.entry));
    if (room < size) break;
    if (n.entry.id == to && n.entry.state.rank == Rank::alive) continue;
    room -= size;
    told.push_back(n.entry);
    ++n.sent;
  }
  std::erase_if(news_, [&](const News& n) { return n.sent >= copies; });
  return told;
}

void Members::push(Time now) {
  push_at_ = Time::max();
  if (news_.empty()) return;
  pushed_at_ = now;
  const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / terms_.slot());
  std::vector<MemberId> chosen;
  for (std::uint64_t i = 0; chosen.size() < kPushed && i < kLooks; ++i) {
    const auto to = across(distance(Stream::push, kLooks * slot + i));
    const auto& m = at(to);
    if (m.state.known() && m.state.rank >= (i < kLooks / 2 ? Rank::suspect : Rank::failed))
      continue;
    if (std::ranges::find(chosen, to) == chosen.end()) chosen.push_back(to);
  }
  for (const auto to : chosen)
    if (!news_.empty()) send(to, Gossip{news_for(to, false)}, 0);
  if (!news_.empty()) push_at_ = now + terms_.slot();
}

std::uint64_t Members::hash_of(MemberId id) const {
  const auto& m = at(id);
  if (!m.state.known()) return 0;
  const auto rank = m.state.rank == Rank::suspect ? Rank::alive : m.state.rank;
  return hash3(index_of(id), m.state.incarnation,
               static_cast<std::uint64_t>(rank) << 16U | m.state.life);
}

void Members::rehash(MemberId id, std::uint64_t before) {
  buckets_[index_of(id) % buckets_.size()] ^= before ^ hash_of(id);
}

std::uint16_t Members::bucket_digest(std::size_t bucket) const {
  return static_cast<std::uint16_t>(mix_hash(buckets_[bucket]));
}

std::uint32_t Members::digest() const {
  std::uint64_t all = 0;
  for (const auto b : buckets_) all ^= mix_hash(b);
  return static_cast<std::uint32_t>(mix_hash(all));
}

// A whole table is compared once in four rounds, and once a round by a node that does not know most
// of the others yet.
void Members::sync(Time now, MemberId with) {
  const auto unknown = std::ranges::count_if(members_,
                                             [](const Member& m) { return !m.state.known(); });
  const bool joins = 2 * unknown > static_cast<std::ptrdiff_t>(terms_.nodes);
  if (terms_.plain && !joins) return;
  const auto rounds = joins || fruitful_ ? 1 : kIdleSync;
  if (now - synced_ < rounds * terms_.round()) return;
  fruitful_ = false;
  synced_ = now;
  ++figures_.syncs;
  SyncAsk ask;
  for (std::size_t b = 0; b < buckets_.size(); ++b) ask.digests.push_back(bucket_digest(b));
  send(with, std::move(ask), 0);
}

void Members::tell(Time, MemberId to, const SyncAsk& ask) {
  if (ask.digests.size() != buckets_.size()) return drop(Drop::malformed);
  // While there is much news it comes by itself; tables mend what it leaves out.
  auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(terms_.in_per_s / (quick_ ? 2 : 1) / kTellShare));
  const auto offset = draw(buckets_.size());
  SyncTell body;
  auto room = room_for_news(terms_.key.has_value());
  const auto flush = [&] {
    if (body.table.empty()) return;
    send(to, std::exchange(body, {}), 0);
    room = room_for_news(terms_.key.has_value());
    --most;
  };
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    const auto b = (offset + i) % buckets_.size();
    if (ask.digests[b] == bucket_digest(b)) continue;
    for (auto n = b; n < terms_.nodes; n += buckets_.size()) {
      auto e = entry_of(MemberId(static_cast<std::uint16_t>(n)));
      if (!e.state.known()) continue;
      if (room < entry_bytes(e)) flush();
      if (most == 0) return;
      room -= entry_bytes(e);
      body.table.push_back(std::move(e));
    }
  }
  flush();
}

// ---- The view -----------------------------------------------------------------------------------

std::shared_ptr<const View> Members::view(Time now) const {
  auto v = std::make_shared<View>();
  v->version = version_, v->since = changed_, v->heard = heard_;
  v->learned_within = terms_.learned_within();
  v->standing = standing(now);
  v->living = 0;
  auto seats = std::make_shared<std::vector<View::Seat>>();
  seats->reserve(members_.size());
  for (const auto& m : members_) {
    const bool settled = m.settled <= now;
    seats->push_back({m.state, m.zone, settled, m.since});
    if (!m.state.known()) {
      ++v->unknown;
      continue;
    }
    if (m.zone >= v->zones.size()) v->zones.resize(m.zone + 1U);
    auto& z = v->zones[m.zone];
    if (m.state.rank != Rank::left) ++z.known;
    switch (m.state.rank) {
      case Rank::suspect: ++v->suspects; [[fallthrough]];
      case Rank::alive:
        ++z.living;
        if (settled) ++v->living;
        break;
      case Rank::failed: ++v->failed; break;
      case Rank::left: ++v->left; break;
    }
  }
  for (std::size_t z = 0; z < v->zones.size(); ++z) v->zones[z].heard = zone_heard_[z];
  v->seats = std::move(seats);
  return v;
}

}  // namespace petrelrail::fleet
