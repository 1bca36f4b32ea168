// Of JobFleet: clients, price servers, and what the world makes of every line.
#include <algorithm>

#include "job_parties.hpp"

namespace petrelrail::world {

using fleet::JobReply;

// ---- Clients

std::uint32_t JobFleet::begin_job(std::uint32_t lines, bool twice) {
  fleet::JobSpec s;
  const auto n = clients_.size() + 1;
  s.customer = 1'000 + n % 7;
  s.prefix = mix_hash(options_.seed * 1'000'003 + n) >> 16U;
  s.plan = "team";
  s.request_class = dice_.chance(0.6) ? "lookup" : "order";
  s.path = "/" + s.request_class + "/{}?as=batch";
  if (dice_.chance(0.7)) {
    s.tasks = fleet::JobRange{1'000 * n, lines};
  } else {
    std::vector<std::string> keys;
    for (std::uint32_t i = 0; i < std::min(lines, 400U); ++i)
      keys.push_back("k" + std::to_string(i * 7));
    s.tasks = std::move(keys);
  }
  s.end_unix_s = kUnix + static_cast<std::uint32_t>(seconds(now().time_since_epoch())) + 86'400;
  return begin_job(std::move(s), twice);
}

std::uint32_t JobFleet::begin_job(fleet::JobSpec spec, bool twice) {
  const auto number = static_cast<std::uint32_t>(clients_.size());
  auto c = std::make_unique<Client>();
  c->id = fleet::id_of(spec);
  const auto lines = spec.task_count();
  c->answers.resize(lines), c->has.resize(lines), c->runs.resize(lines);
  c->spec = std::move(spec);
  by_id_.try_emplace(c->id, number);
  clients_.push_back(std::move(c));
  ++counts_.handed_in;
  step(number);
  if (twice)
    if (const auto other = some_node()) call(number, *other);
  return number;
}

void JobFleet::delete_job(std::uint32_t job) { clients_[job]->deleting = true; }
bool JobFleet::accepted(std::uint32_t job) const { return clients_[job]->accepted; }
bool JobFleet::over(std::uint32_t job) const { return clients_[job]->over; }
std::uint32_t JobFleet::open_jobs() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(clients_, [](const auto& c) { return !c->over; }));
}
fleet::JobId JobFleet::id_of(std::uint32_t job) const { return clients_[job]->id; }
std::vector<std::optional<std::string>> JobFleet::answers(std::uint32_t job) const {
  return clients_[job]->answers;
}

std::optional<std::uint32_t> JobFleet::some_node() {
  for (int tries = 0; tries < 8; ++tries) {
    const auto n = static_cast<std::uint32_t>(dice_.below(options_.nodes));
    if (up(n) && !nodes_[n]->off) return n;
  }
  return {};
}

void JobFleet::step(std::uint32_t client) {
  auto& c = *clients_[client];
  if (c.over) return;
  if (c.number && now() - c.called > from_seconds(kCallS)) c.number = 0, c.at.reset();
  if (!c.number) {
    if (!c.at || !up(*c.at)) c.at = some_node();
    if (c.at) {
      call(client, *c.at);
      c.number = last_call_;
      c.called = now();
    }
  }
  agenda_.after(from_seconds(dice_.between(0.4, 0.8)), [this, client] { step(client); });
}

void JobFleet::call(std::uint32_t client, std::uint32_t n) {
  auto& c = *clients_[client];
  const auto number = ++last_call_ << kClientBits | client;
  enum class What { hand_in, remove, fetch } what = What::fetch;
  if (!c.accepted)
    what = What::hand_in;
  else if (c.deleting)
    what = What::remove;
  agenda_.after(way(), [this, client, n, number, what, from = c.next] {
    if (!up(n) || nodes_[n]->off) return;
    deliver(n, nodes_[n]->life, [this, client, n, number, what, from] {
      auto& x = *nodes_[n];
      const auto& job = *clients_[client];
      ++x.calls;
      const auto id = fleet::CallId(number);
      switch (what) {
        case What::hand_in: return x.jobs->submit(now(), id, job.spec);
        case What::remove: return x.jobs->remove(now(), id, job.id);
        case What::fetch: return x.jobs->fetch(now(), id, job.id, from);
      }
    });
  });
}

void JobFleet::replied(std::uint32_t client, std::uint32_t, std::uint64_t number,
                       const JobReply& r) {
  auto& c = *clients_[client];
  if (c.over) return;
  if (number >> kClientBits == c.number) c.number = 0;
  const auto name = "job " + std::to_string(client);
  switch (r.kind) {
    case JobReply::Kind::accepted: c.accepted = true; return;
    case JobReply::Kind::redirect:
      if (r.holder) c.at = static_cast<std::uint32_t>(*r.holder);
      return;
    case JobReply::Kind::unavailable: c.at = some_node(); return;
    case JobReply::Kind::removed: c.deleted = c.over = true; return;
    case JobReply::Kind::conflict: c.conflict = c.over = true; return;
    case JobReply::Kind::not_found:
    case JobReply::Kind::trimmed:
    case JobReply::Kind::invalid:
      c.over = true;
      return breach(breaches_.lost, name + ": " + r.message);
    case JobReply::Kind::answers: break;
  }
  for (const auto& a : r.answers) {
    if (c.has[a.task]) continue;
    c.has[a.task] = true;
    ++counts_.fetched;
    if (a.state == fleet::TaskState::served)
      c.answers[a.task] = a.body;
    else if (a.state != fleet::TaskState::failed)
      ++counts_.unknown;
  }
  c.next = std::max(c.next, r.next);
  if (r.answers.empty() && r.next == c.spec.task_count()) {
    c.over = true, ++counts_.done;
    watched_.erase(client);
  }
}

// ---- Lines

void JobFleet::judge(std::uint32_t n, const fleet::JobTask& line, Client& c) {
  const auto words = [&](const char* what) {
    return std::string(what) + ": line " + std::to_string(line.index) + " of " +
           c.spec.request_class + " by node " + std::to_string(n) + ", epoch " +
           std::to_string(line.epoch);
  };
  auto& shard = shards_[static_cast<std::size_t>(fleet::shard_of(line.job))];
  if (line.epoch < shard.sent_under) breach(breaches_.older_epoch, words("older epoch"));
  shard.sent_under = std::max(shard.sent_under, line.epoch);
  if (line.index >= c.spec.task_count() || *line.spec != c.spec ||
      line.request_id != (c.spec.prefix << 16U | line.index))
    return breach(breaches_.no_client, words("no client's"));
  if (c.deleted) breach(breaches_.after_delete, words("deleted"));
  if (c.has[line.index]) breach(breaches_.after_fetch, words("fetched"));
  for (const auto& r : c.runs[line.index]) {
    if (r.over > now()) breach(breaches_.both_out, words("out twice"));
    if (r.ran && c.unsafe()) breach(breaches_.unsafe_twice, words("not safe to repeat"));
  }
  if (!c.runs[line.index].empty() && c.runs[line.index].back().ran) ++counts_.rerun;
}

void JobFleet::send(std::uint32_t n, const fleet::JobTask& line) {
  ++counts_.lines_sent;
  using Kind = fleet::TaskOutcome::Kind;
  const auto timeout = nodes_[n]->attempt_timeout({});
  const auto it = by_id_.find(line.job);
  if (it == by_id_.end()) return breach(breaches_.no_client, "a job that nobody handed in");
  auto& c = *clients_[it->second];
  judge(n, line, c);
  const bool arrives = !nodes_[n]->off;
  if (arrives)
    if (const auto w = watched_.find(it->second);
        w != watched_.end() && holder_of(it->second) == n) {
      recoveries_.push_back(petrelrail::seconds(now() - w->second));
      watched_.erase(w);
    }
  Kind kind = Kind::served;
  Duration takes = from_seconds(dice_.lognormal(options_.line_s, 1));
  bool ran = arrives;
  const double drawn = dice_.uniform();
  if (!arrives) {
    kind = Kind::unknown, takes = timeout;
  } else if (drawn < options_.refused) {
    kind = Kind::rejected, ran = false, takes = from_seconds(0.002);
  } else if (drawn < options_.refused + options_.failed) {
    kind = Kind::failed;
  } else if (drawn < options_.refused + options_.failed + options_.reset) {
    kind = Kind::unknown, ran = dice_.chance(0.5);
  }
  if (takes > timeout) kind = Kind::unknown, takes = timeout;
  if (line.index < c.runs.size()) c.runs[line.index].push_back({n, now() + takes, ran});
  const auto life = nodes_[n]->life;
  fleet::TaskOutcome outcome{kind, {}, from_seconds(kind == Kind::rejected ? 0.2 : 0)};
  if (kind == Kind::served) outcome.body = "answer to " + c.spec.path_of(line.index);
  agenda_.after(takes, [this, n, life, token = line.token, outcome] {
    auto answer = outcome;
    if (nodes_[n]->off) answer = {Kind::unknown, {}, {}};
    deliver(n, life,
            [this, n, token, answer] { nodes_[n]->jobs->on_task_complete(now(), token, answer); });
  });
}

void JobFleet::watch_recovery(std::uint32_t n) {
  for (std::uint32_t j = 0; j < clients_.size(); ++j)
    if (const auto& c = *clients_[j]; c.accepted && !c.over && !c.deleting && holder_of(j) == n)
      if (std::ranges::any_of(c.runs, [](const auto& r) { return r.empty(); }) &&
          std::ranges::any_of(c.runs, [](const auto& r) { return !r.empty(); }))
        watched_.try_emplace(j, now());
}

}  // namespace petrelrail::world
