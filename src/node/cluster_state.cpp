#include "cluster_state.hpp"

#include <algorithm>
#include <stdexcept>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "limits.hpp"

namespace petrelrail {
namespace {

using fleet::LeaderLease;
using fleet::MemberId;
using nlohmann::json;

// The hand-over state is JSON: a record is stored as its bytes on the wire, in hex.
std::string hex_of(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const unsigned char c : bytes) text += digits[c >> 4U], text += digits[c & 0xFU];
  return text;
}
std::string bytes_from_hex(const std::string& hex) {
  const auto value = [](char c) {
    const auto at = std::string_view("0123456789abcdef").find(c);
    if (at == std::string_view::npos) throw std::runtime_error("not a hex digit");
    return static_cast<unsigned>(at);
  };
  if (hex.size() % 2 != 0) throw std::runtime_error("odd number of hex digits");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(value(hex[i]) << 4U | value(hex[i + 1]));
  return bytes;
}
Time::rep ns(Time t) { return t.time_since_epoch().count(); }
Time time_from_json(const json& j) { return Time(Duration(j.get<Duration::rep>())); }
MemberId member_from_json(const json& j) { return MemberId(j.get<std::uint16_t>()); }

json to_json(const LeaderLease::State& s) {
  json rights = json::array(), heard = json::array();
  for (const auto& r : s.own_terms) rights.push_back({r.epoch, r.is_held});
  for (const auto& h : s.known_holders)
    heard.push_back({fleet::index_of(h.node), h.epoch, ns(h.term_end)});
  json j = {
      {"began", ns(s.start_time)}, {"rights", std::move(rights)}, {"heard", std::move(heard)}};
  if (s.claim)
    j["claim"] = {s.claim->term, static_cast<int>(s.claim->phase), s.claim->amount,
                  s.claim->outcome_unknown};
  return j;
}
LeaderLease::State lease_state_from_json(const json& j) {
  LeaderLease::State s;
  s.start_time = time_from_json(j.at("began"));
  for (const auto& r : j.at("rights"))
    s.own_terms.push_back({r.at(0).get<fleet::FencingToken>(), r.at(1).get<bool>()});
  for (const auto& h : j.at("heard"))
    s.known_holders.push_back(
        {member_from_json(h.at(0)), h.at(1).get<fleet::FencingToken>(), time_from_json(h.at(2))});
  if (const auto it = j.find("claim"); it != j.end()) {
    const auto phase = it->at(1).get<int>();
    if (phase < 0 || phase > static_cast<int>(LeaderLease::Claim::Phase::confirming))
      throw std::runtime_error("unknown claim phase");
    s.claim = LeaderLease::Claim{it->at(0).get<std::uint64_t>(), LeaderLease::Claim::Phase(phase),
                                 it->at(2).get<double>(), it->at(3).get<bool>()};
  }
  return s;
}

json to_json(const fleet::ReplicatedStore::Snapshot& s) {
  json records = json::array(), fresh = json::array(), written = json::array();
  // Each record is stored as a datagram that carries it alone.
  for (const auto& r : s.records)
    records.push_back(
        hex_of(fleet::encode({{MemberId(0), 1, 1, 0, 0, 0}, fleet::RecordUpdate{{r}}}, {})));
  for (const auto& f : s.fresh_as_of) fresh.push_back({f.space, ns(f.time)});
  for (const auto& w : s.written) written.push_back({w.space, w.epoch, w.sequence});
  return {{"records", std::move(records)},
          {"fresh", std::move(fresh)},
          {"written", std::move(written)},
          {"caught_up", s.caught_up}};
}
fleet::ReplicatedStore::Snapshot store_state_from_json(const json& j) {
  fleet::ReplicatedStore::Snapshot s;
  for (const auto& r : j.at("records")) {
    const auto bytes = bytes_from_hex(r.get<std::string>());
    auto read = fleet::decode({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()},
                              {});
    auto* tell = std::get_if<fleet::RecordUpdate>(&read.message.body);
    if (read.error != fleet::DecodeError::none || tell == nullptr || tell->records.size() != 1)
      throw std::runtime_error("malformed record");
    s.records.push_back(std::move(tell->records.front()));
  }
  for (const auto& f : j.at("fresh"))
    s.fresh_as_of.push_back({f.at(0).get<std::uint8_t>(), time_from_json(f.at(1))});
  for (const auto& w : j.at("written"))
    s.written.push_back(
        {w.at(0).get<std::uint8_t>(), w.at(1).get<std::uint64_t>(), w.at(2).get<std::uint32_t>()});
  s.caught_up = j.at("caught_up").get<bool>();
  return s;
}

}  // namespace

ClusterState::ClusterState(Timers& timers, const ClusterStateConfig& config, std::uint64_t seed,
                           Callbacks& callbacks)
    : timers_(timers), config_(config), callbacks_(callbacks) {
  std::uint64_t lease_seed = seed;
  for (const auto& name : config_.lease_names) {
    LeaseState state{
        LeaderLease(config_.lease, name, config_.self, lease_seed = mix_hash(lease_seed)),
        {},
        false};
    if (!lease_by_hash_.emplace(state.lease.hash(), leases_.size()).second)
      throw std::invalid_argument("two leases have the same name hash: " + name);
    leases_.push_back(std::move(state));
  }
  store_ = std::make_unique<fleet::ReplicatedStore>(config_.store, config_.self, config_.zone,
                                                    mix_hash(lease_seed));
}

ClusterState::~ClusterState() {
  *alive_ = false;
  timers_.cancel(timer_);
}

void ClusterState::start(const json* predecessor) {
  if (started_) return;
  const Time now = timers_.now();
  if (predecessor != nullptr) {
    // Everything is parsed before anything is applied.
    const auto state = store_state_from_json(predecessor->at("records"));
    std::vector<std::pair<std::size_t, LeaderLease::State>> states;
    for (const auto& [name, s] : predecessor->at("duties").items())
      for (std::size_t i = 0; i < leases_.size(); ++i)
        if (leases_[i].lease.name() == name) states.emplace_back(i, lease_state_from_json(s));
    store_->restore(now, state);
    for (const auto& [i, s] : states) leases_[i].lease.take_over(now, s);
  }
  started_ = true;
  store_->start(now);
  for (auto& s : leases_) s.lease.set_candidate(now, s.candidate);
  run();
}

void ClusterState::on_view_changed(const fleet::MembershipView& view) {
  const Time now = timers_.now();
  for (auto& s : leases_) s.lease.on_view(now, view);
  store_->on_view_changed(now, view);
  if (started_) run();
}

void ClusterState::on_message(MemberId from, const fleet::Message& message) {
  if (!started_) return;
  const Time now = timers_.now();
  if (const auto* tell = std::get_if<fleet::LeaseAnnouncement>(&message.body)) {
    for (const auto& word : tell->entries)
      if (const auto* index = find_or_null(lease_by_hash_, word.lease_id))
        leases_[*index].lease.on_announcement(now, from, word);
  } else {
    store_->receive(now, from, message);
  }
  run();
}

void ClusterState::step_down() {
  const Time now = timers_.now();
  for (auto& s : leases_) s.lease.step_down(now);
  if (started_) run();
}

bool ClusterState::has_stepped_down() const {
  return !started_ || std::ranges::all_of(
                          leases_, [](const LeaseState& s) { return s.lease.has_stepped_down(); });
}

json ClusterState::export_state() {
  const Time now = timers_.now();
  json leases = json::object();
  for (auto& s : leases_)
    leases[s.lease.name()] = petrelrail::to_json(s.lease.hand_over(now)), s.tenure.reset();
  started_ = false;
  timers_.cancel(timer_);
  return {{"duties", std::move(leases)}, {"records", petrelrail::to_json(store_->snapshot())}};
}

void ClusterState::set_candidate(std::size_t lease, bool candidate) {
  auto& s = leases_.at(lease);
  if (std::exchange(s.candidate, candidate) == candidate || !started_) return;
  s.lease.set_candidate(timers_.now(), candidate);
  run();
}

std::optional<fleet::FencingToken> ClusterState::valid_term(std::size_t lease) const {
  return started_ ? leases_.at(lease).lease.valid_token_at(timers_.now()) : std::nullopt;
}

// Returns the tenure as of the last run, if it still holds.
std::optional<ClusterState::Tenure> ClusterState::tenure(std::size_t lease) const {
  const auto term = valid_term(lease);
  auto tenure = leases_.at(lease).tenure;
  if (!term || !tenure) return std::nullopt;
  if (*term != tenure->term && fleet::term_of(*term) != fleet::term_of(tenure->term) + 1)
    return std::nullopt;
  tenure->term = *term;
  return tenure;
}

std::optional<LeaderLease::Holder> ClusterState::holder(std::size_t lease) const {
  const auto& l = leases_.at(lease).lease;
  const Time now = timers_.now();
  if (const auto own_term = valid_term(lease))
    return LeaderLease::Holder{config_.self, *own_term,
                               config_.lease.term_start(fleet::term_of(*own_term) + 1)};
  return started_ ? l.holder_at(now) : std::nullopt;
}

void ClusterState::on_records_written() {
  if (started_) run();
}

// A callback that is called synchronously leads back here: its effects are handled in the same run.
void ClusterState::run() {
  rerun_ = true;
  if (running_) return;
  running_ = true;
  while (std::exchange(rerun_, false) && started_) advance(timers_.now());
  running_ = false;
  timers_.cancel(timer_);
  if (!started_) return;
  Time due = store_->next_tick_time();
  for (const auto& s : leases_) due = std::min(due, s.lease.next_tick_time());
  if (due == Time::max()) return;
  timer_ = timers_.at(due, [this] {
    timer_.reset();
    run();
  });
}

void ClusterState::advance(Time now) {
  for (std::size_t i = 0; i < leases_.size(); ++i) {
    if (leases_[i].lease.next_tick_time() <= now) leases_[i].lease.tick(now);
    send_outgoing(i);
    update_tenure(now, leases_[i]);
  }
  if (store_->next_tick_time() <= now) store_->tick(now);
  callbacks_.on_state_changed();
  for (auto& o : store_->drain_outgoing())
    callbacks_.send_datagram(o.to, std::move(o.body), o.echo);
}

void ClusterState::send_outgoing(std::size_t lease) {
  auto& l = leases_[lease].lease;
  for (const auto& call : l.drain_calls()) call_counter(lease, call);
  for (auto& w : l.drain_announcements())
    callbacks_.send_datagram(w.to, fleet::LeaseAnnouncement{{w.entry}}, 0);
}

// A lease's call is delayed once, by the counter time-out, if quota calls are queued. A longer wait
// could cost the lease's term, and a loaded counter always has quota calls queued.
void ClusterState::call_counter(std::size_t lease, const LeaderLease::CounterCall& call) {
  const auto send = [this, alive = alive_, lease, call] {
    if (!*alive || !started_) return;
    callbacks_.add_to_counter(
        call.name, call.amount, call.ttl,
        [this, alive, lease, number = call.id](CounterOutcome outcome, double total) {
          if (!*alive || !started_) return;
          leases_[lease].lease.on_counter_reply(timers_.now(), number, outcome, total);
          run();
        });
  };
  if (!callbacks_.quota_calls_waiting()) return send();
  timers_.after(config_.lease.counter_timeout, send);
}

// A term that follows this node's own without a gap continues the tenure; any other term begins a
// new one.
void ClusterState::update_tenure(Time now, LeaseState& state) {
  const auto term = state.lease.valid_token_at(now);
  const auto between_terms = [&] {  // the margin between two terms, in which no node may act
    return state.tenure && now < config_.lease.term_start(fleet::term_of(state.tenure->term) + 1) +
                                     config_.lease.max_clock_skew;
  };
  if (!term) {
    if (state.tenure && !between_terms()) state.tenure.reset();
    return;
  }
  const bool continues = state.tenure &&
                         (*term == state.tenure->term ||
                          (fleet::term_of(*term) == fleet::term_of(state.tenure->term) + 1 &&
                           *term % fleet::kEpochsPerTerm == 0));
  if (continues) return void(state.tenure->term = *term);
  state.tenure = Tenure{*term, *term, now};
  log::info("duties", "this node holds " + state.lease.name(), {{"epoch", std::to_string(*term)}});
}

LeaderLease::Stats ClusterState::lease_stats() const {
  LeaderLease::Stats sum;
  for (const auto& s : leases_) {
    const auto& f = s.lease.stats();
    sum.claims += f.claims, sum.claims_won += f.claims_won, sum.claims_lost += f.claims_lost;
    sum.calls += f.calls, sum.queries += f.queries, sum.refused += f.refused,
        sum.timeouts += f.timeouts;
    sum.terms_acquired += f.terms_acquired, sum.transfers_sent += f.transfers_sent,
        sum.transfers_accepted += f.transfers_accepted;
    sum.announcements_sent += f.announcements_sent,
        sum.announcements_received += f.announcements_received,
        sum.announcements_ignored += f.announcements_ignored;
  }
  return sum;
}

std::size_t ClusterState::held_lease_count() const {
  const Time now = timers_.now();
  return static_cast<std::size_t>(std::ranges::count_if(leases_, [&](const LeaseState& s) {
    return started_ && s.lease.valid_token_at(now).has_value();
  }));
}

json ClusterState::to_json() const {
  json leases = json::object();
  for (std::size_t i = 0; i < leases_.size(); ++i) {
    json j = {{"wanted", leases_[i].candidate}};
    if (const auto h = holder(i))
      j["holder"] = fleet::index_of(h->node), j["epoch"] = h->epoch,
      j["here"] = h->node == config_.self && valid_term(i).has_value();
    leases[leases_[i].lease.name()] = std::move(j);
  }
  const auto& f = store_->stats();
  return {
      {"self", fleet::index_of(config_.self)},
      {"duties", std::move(leases)},
      {"records",
       {{"held", f.records}, {"bytes", f.bytes}, {"caught_up", store_->caught_up(timers_.now())}}}};
}

}  // namespace petrelrail
