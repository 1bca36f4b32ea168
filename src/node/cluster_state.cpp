#include "cluster_state.hpp"

#include <algorithm>
#include <stdexcept>

#include "common/hash.hpp"
#include "common/lookup.hpp"
#include "facts.hpp"

namespace petrelrail {
namespace {

using fleet::LeaderLease;
using fleet::MemberId;
using nlohmann::json;

// What passes to a successor goes as text: a record as its bytes on the wire, in hex.
std::string hex_of(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const unsigned char c : bytes) text += digits[c >> 4U], text += digits[c & 0xFU];
  return text;
}
std::string bytes_of(const std::string& hex) {
  const auto value = [](char c) {
    const auto at = std::string_view("0123456789abcdef").find(c);
    if (at == std::string_view::npos) throw std::runtime_error("not hex");
    return static_cast<unsigned>(at);
  };
  if (hex.size() % 2 != 0) throw std::runtime_error("half a byte");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(value(hex[i]) << 4U | value(hex[i + 1]));
  return bytes;
}
Time::rep ns(Time t) { return t.time_since_epoch().count(); }
Time time_of(const json& j) { return Time(Duration(j.get<Duration::rep>())); }
MemberId member_of(const json& j) { return MemberId(j.get<std::uint16_t>()); }

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
LeaderLease::State duty_state(const json& j) {
  LeaderLease::State s;
  s.start_time = time_of(j.at("began"));
  for (const auto& r : j.at("rights"))
    s.own_terms.push_back({r.at(0).get<fleet::FencingToken>(), r.at(1).get<bool>()});
  for (const auto& h : j.at("heard"))
    s.known_holders.push_back(
        {member_of(h.at(0)), h.at(1).get<fleet::FencingToken>(), time_of(h.at(2))});
  if (const auto it = j.find("claim"); it != j.end()) {
    const auto phase = it->at(1).get<int>();
    if (phase < 0 || phase > static_cast<int>(LeaderLease::Claim::Phase::confirming))
      throw std::runtime_error("a claim's phase that is not known");
    s.claim = LeaderLease::Claim{it->at(0).get<std::uint64_t>(), LeaderLease::Claim::Phase(phase),
                                 it->at(2).get<double>(), it->at(3).get<bool>()};
  }
  return s;
}

json to_json(const fleet::Records::State& s) {
  json records = json::array(), fresh = json::array(), written = json::array();
  // As the datagrams that would tell of them, one each.
  for (const auto& r : s.records)
    records.push_back(
        hex_of(fleet::encode({{MemberId(0), 1, 1, 0, 0, 0}, fleet::RecordTell{{r}}}, {})));
  for (const auto& f : s.fresh) fresh.push_back({f.space, ns(f.at)});
  for (const auto& w : s.written) written.push_back({w.space, w.epoch, w.sequence});
  return {{"records", std::move(records)},
          {"fresh", std::move(fresh)},
          {"written", std::move(written)},
          {"caught_up", s.caught_up}};
}
fleet::Records::State records_state(const json& j) {
  fleet::Records::State s;
  for (const auto& r : j.at("records")) {
    const auto bytes = bytes_of(r.get<std::string>());
    auto read = fleet::decode({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()},
                              {});
    auto* tell = std::get_if<fleet::RecordTell>(&read.message.body);
    if (read.fault != fleet::Fault::none || tell == nullptr || tell->records.size() != 1)
      throw std::runtime_error("a record that can't be read");
    s.records.push_back(std::move(tell->records.front()));
  }
  for (const auto& f : j.at("fresh"))
    s.fresh.push_back({f.at(0).get<std::uint8_t>(), time_of(f.at(1))});
  for (const auto& w : j.at("written"))
    s.written.push_back(
        {w.at(0).get<std::uint8_t>(), w.at(1).get<std::uint64_t>(), w.at(2).get<std::uint32_t>()});
  s.caught_up = j.at("caught_up").get<bool>();
  return s;
}

}  // namespace

ClusterState::ClusterState(Timers& timers, const ClusterStateConfig& config, std::uint64_t seed,
                           Callbacks& owner)
    : timers_(timers), config_(config), callbacks_(owner) {
  std::uint64_t purpose = seed;
  for (const auto& name : config_.names) {
    Kept k{LeaderLease(config_.duties, name, config_.self, purpose = mix_hash(purpose)), {}, false};
    if (!by_hash_.emplace(k.duty.hash(), duties_.size()).second)
      throw std::invalid_argument("two duties share a name's hash: " + name);
    duties_.push_back(std::move(k));
  }
  records_ = std::make_unique<fleet::Records>(config_.records, config_.self, config_.zone,
                                              mix_hash(purpose));
}

ClusterState::~ClusterState() {
  *alive_ = false;
  timers_.cancel(due_);
}

void ClusterState::start(const json* predecessor) {
  if (started_) return;
  const Time now = timers_.now();
  if (predecessor != nullptr) {
    // All is read before anything is taken.
    const auto state = records_state(predecessor->at("records"));
    std::vector<std::pair<std::size_t, LeaderLease::State>> states;
    for (const auto& [name, s] : predecessor->at("duties").items())
      for (std::size_t i = 0; i < duties_.size(); ++i)
        if (duties_[i].duty.name() == name) states.emplace_back(i, duty_state(s));
    records_->restore(now, state);
    for (const auto& [i, s] : states) duties_[i].duty.take_over(now, s);
  }
  started_ = true;
  records_->start(now);
  for (auto& k : duties_) k.duty.set_candidate(now, k.wanted);
  run();
}

void ClusterState::on_view_changed(const fleet::View& view) {
  const Time now = timers_.now();
  for (auto& k : duties_) k.duty.on_view(now, view);
  records_->view(now, view);
  if (started_) run();
}

void ClusterState::on_message(MemberId from, const fleet::Message& message) {
  if (!started_) return;
  const Time now = timers_.now();
  if (const auto* tell = std::get_if<fleet::DutyTell>(&message.body)) {
    for (const auto& word : tell->words)
      if (const auto* at = find_or_null(by_hash_, word.duty))
        duties_[*at].duty.on_announcement(now, from, word);
  } else {
    records_->received(now, from, message);
  }
  run();
}

void ClusterState::step_down() {
  const Time now = timers_.now();
  for (auto& k : duties_) k.duty.step_down(now);
  if (started_) run();
}

bool ClusterState::has_stepped_down() const {
  return !started_ ||
         std::ranges::all_of(duties_, [](const Kept& k) { return k.duty.has_stepped_down(); });
}

json ClusterState::export_state() {
  const Time now = timers_.now();
  json duties = json::object();
  for (auto& k : duties_)
    duties[k.duty.name()] = petrelrail::to_json(k.duty.hand_over(now)), k.hold.reset();
  started_ = false;
  timers_.cancel(due_);
  return {{"duties", std::move(duties)}, {"records", petrelrail::to_json(records_->snapshot())}};
}

void ClusterState::want(std::size_t duty, bool wanted) {
  auto& k = duties_.at(duty);
  if (std::exchange(k.wanted, wanted) == wanted || !started_) return;
  k.duty.set_candidate(timers_.now(), wanted);
  run();
}

std::optional<fleet::FencingToken> ClusterState::may_act(std::size_t duty) const {
  return started_ ? duties_.at(duty).duty.valid_token_at(timers_.now()) : std::nullopt;
}

// As seen at the last look, if that still holds.
std::optional<ClusterState::Hold> ClusterState::hold(std::size_t duty) const {
  const auto epoch = may_act(duty);
  auto h = duties_.at(duty).hold;
  if (!epoch || !h) return std::nullopt;
  if (*epoch != h->epoch && fleet::term_of(*epoch) != fleet::term_of(h->epoch) + 1)
    return std::nullopt;
  h->epoch = *epoch;
  return h;
}

std::optional<LeaderLease::Holder> ClusterState::holder(std::size_t duty) const {
  const auto& d = duties_.at(duty).duty;
  const Time now = timers_.now();
  if (const auto mine = may_act(duty))
    return LeaderLease::Holder{config_.self, *mine,
                               config_.duties.term_start(fleet::term_of(*mine) + 1)};
  return started_ ? d.holder_at(now) : std::nullopt;
}

void ClusterState::on_records_written() {
  if (started_) run();
}

// An answer that comes at once leads back here: it is looked at in the same run.
void ClusterState::run() {
  again_ = true;
  if (running_) return;
  running_ = true;
  while (std::exchange(again_, false) && started_) move(timers_.now());
  running_ = false;
  timers_.cancel(due_);
  if (!started_) return;
  Time due = records_->next();
  for (const auto& k : duties_) due = std::min(due, k.duty.next_tick_time());
  if (due == Time::max()) return;
  due_ = timers_.at(due, [this] {
    due_.reset();
    run();
  });
}

void ClusterState::move(Time now) {
  for (std::size_t i = 0; i < duties_.size(); ++i) {
    if (duties_[i].duty.next_tick_time() <= now) duties_[i].duty.tick(now);
    carry(i);
    watch(now, duties_[i]);
  }
  if (records_->next() <= now) records_->tick(now);
  callbacks_.on_state_changed();
  for (auto& o : records_->take_outgoing())
    callbacks_.send_datagram(o.to, std::move(o.body), o.echo);
}

void ClusterState::carry(std::size_t duty) {
  auto& d = duties_[duty].duty;
  for (const auto& call : d.drain_calls()) write(duty, call);
  for (auto& w : d.drain_announcements())
    callbacks_.send_datagram(w.to, fleet::DutyTell{{w.entry}}, 0);
}

// A call waits for those for quotas, but no longer than would cost its term: they go on for ever on
// a pressed counter.
void ClusterState::write(std::size_t duty, const LeaderLease::CounterCall& call) {
  const auto go = [this, alive = alive_, duty, call] {
    if (!*alive || !started_) return;
    callbacks_.add_to_counter(
        call.name, call.amount, call.ttl,
        [this, alive, duty, number = call.id](CounterOutcome outcome, double total) {
          if (!*alive || !started_) return;
          duties_[duty].duty.on_counter_reply(timers_.now(), number, outcome, total);
          run();
        });
  };
  if (!callbacks_.quota_calls_waiting()) return go();
  timers_.after(config_.duties.counter_timeout, go);
}

// A term that follows one's own without a gap goes on with it; any other right begins anew.
void ClusterState::watch(Time now, Kept& k) {
  const auto epoch = k.duty.valid_token_at(now);
  const auto in_between = [&] {  // the seam of two terms, in which nobody acts
    return k.hold && now < config_.duties.term_start(fleet::term_of(k.hold->epoch) + 1) +
                               config_.duties.max_clock_skew;
  };
  if (!epoch) {
    if (k.hold && !in_between()) k.hold.reset();
    return;
  }
  const bool goes_on = k.hold && (*epoch == k.hold->epoch ||
                                  (fleet::term_of(*epoch) == fleet::term_of(k.hold->epoch) + 1 &&
                                   *epoch % fleet::kEpochsPerTerm == 0));
  if (goes_on) return void(k.hold->epoch = *epoch);
  k.hold = Hold{*epoch, *epoch, now};
  log::info("duties", "this node holds " + k.duty.name(), {{"epoch", std::to_string(*epoch)}});
}

LeaderLease::Stats ClusterState::duty_figures() const {
  LeaderLease::Stats sum;
  for (const auto& k : duties_) {
    const auto& f = k.duty.stats();
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

std::size_t ClusterState::held() const {
  const Time now = timers_.now();
  return static_cast<std::size_t>(std::ranges::count_if(
      duties_, [&](const Kept& k) { return started_ && k.duty.valid_token_at(now).has_value(); }));
}

json ClusterState::to_json() const {
  json duties = json::object();
  for (std::size_t i = 0; i < duties_.size(); ++i) {
    json j = {{"wanted", duties_[i].wanted}};
    if (const auto h = holder(i))
      j["holder"] = fleet::index_of(h->node), j["epoch"] = h->epoch,
      j["here"] = h->node == config_.self && may_act(i).has_value();
    duties[duties_[i].duty.name()] = std::move(j);
  }
  const auto& f = records_->figures();
  return {{"self", fleet::index_of(config_.self)},
          {"duties", std::move(duties)},
          {"records",
           {{"held", f.records},
            {"bytes", f.bytes},
            {"caught_up", records_->caught_up(timers_.now())}}}};
}

}  // namespace petrelrail
