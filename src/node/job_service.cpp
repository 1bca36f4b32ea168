#include "job_service.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "facts.hpp"
#include "settings_reader.hpp"

namespace petrelrail {
namespace {

using namespace reading;
using fleet::JobId;
using fleet::JobReply;
using fleet::ShardId;
using fleet::TaskOutcome;

constexpr std::string_view kPath = "/jobs";
constexpr std::size_t kIdDigits = sizeof "00000000000000" - 1;    // 56 bits
constexpr std::size_t kPrefixDigits = sizeof "000000000000" - 1;  // 48 bits

std::optional<std::uint64_t> number_in(std::string_view text, int base) {
  std::uint64_t n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (text.empty() || failed != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return n;
}
std::uint64_t digits(const json& o, const char* key, std::size_t count, const char* wanted) {
  const auto& t = text(o, key);
  const auto n = number_in(t, 16);
  if (t.size() != count || !n) fail_field(key, wanted);
  return *n;
}
std::string id_text(JobId id) {
  std::array<char, kIdDigits + 1> t{};
  std::snprintf(t.data(), t.size(), "%014llx", static_cast<unsigned long long>(id));
  return t.data();
}
std::string request_text(std::uint64_t id) {
  std::array<char, facts::kCustomerDigits + 1> t{};
  std::snprintf(t.data(), t.size(), "%016llx", static_cast<unsigned long long>(id));
  return t.data();
}

AdminServer::AdminResponse told(http::status status, json body) {
  return {static_cast<unsigned>(status),
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
          "application/json",
          {},
          {}};
}
AdminServer::AdminResponse why(http::status status, const std::string& text) {
  return told(status, {{"why", text}});
}

// What a call waits for a shard to be held is what its caller may wait.
fleet::JobConfig terms() {
  fleet::JobConfig t;
  t.max_lease_wait = facts::kControlWait - facts::kControlCall;
  return t;
}

}  // namespace

fleet::JobSpec job_of(const std::string& body) {
  const auto j = json::parse(body, nullptr, false);
  if (j.is_discarded()) throw FieldError("the body is not JSON");
  object_of(j, "job");
  static constexpr std::array<std::string_view, 9> known{
      "customer", "plan", "class", "units", "prefix", "path", "range", "keys", "ends"};
  for (const auto& [key, value] : j.items())
    if (std::ranges::find(known, key) == known.end())
      throw FieldError("field '" + key + "' is not known");
  fleet::JobSpec s;
  s.customer = digits(j, "customer", facts::kCustomerDigits, "16 hex digits");
  s.prefix = digits(j, "prefix", kPrefixDigits, "12 hex digits");
  s.plan = text(j, "plan"), s.request_class = text(j, "class"), s.path = text(j, "path");
  if (const auto* units = optional_field(j, "units")) {
    const double thousandths = std::round(number_of(*units, "units") * std::milli::den);
    if (!(thousandths >= 1 && thousandths <= fleet::kMaxMilliunits))
      fail_field("units", "above 0 and at most 1000");
    s.milliunits = static_cast<std::uint32_t>(thousandths);
  }
  s.end_unix_s = uint32(j, "ends");
  const auto *range = optional_field(j, "range"), *keys = optional_field(j, "keys");
  if ((range != nullptr) == (keys != nullptr))
    throw FieldError("just one of 'range' and 'keys' is needed");
  if (range != nullptr) {
    object_of(*range, "range");
    s.tasks = fleet::JobRange{natural_of(field(*range, "first"), "first"), uint32(*range, "count")};
  } else {
    std::vector<std::string> all;
    for (const auto& k : list_of(*keys, "keys")) all.push_back(text_of(k, "keys"));
    s.tasks = std::move(all);
  }
  return s;
}

// One line that is out: takes its answer whole, within what an answer may have.
class JobService::Line final : public ResponseSink {
 public:
  Line(JobService& desk, std::uint64_t token) : desk_(&desk), token_(token) {}
  void forget() { desk_ = nullptr; }
  bool client_is_connected() override { return desk_ != nullptr; }

  void send(const Response& a) override {
    if (a.status == http::status::ok) return over({TaskOutcome::Kind::served, a.body, {}});
    if (a.status == http::status::too_many_requests ||
        a.status == http::status::service_unavailable)
      return over({TaskOutcome::Kind::rejected, {}, a.retry_after});
    over({TaskOutcome::Kind::unknown, {}, {}});
  }
  void begin_stream(const ResponseHead&) override {}
  void write_chunk(std::string_view piece, std::function<void()> taken) override {
    too_long_ = too_long_ || body_.size() + piece.size() > facts::kMaxBody;
    if (!too_long_) body_ += piece;
    taken();
  }
  void end_stream() override {
    if (too_long_) return over({TaskOutcome::Kind::failed, {}, {}});
    over({TaskOutcome::Kind::served, std::move(body_), {}});
  }
  void abort() override { over({TaskOutcome::Kind::unknown, {}, {}}); }

 private:
  void over(TaskOutcome outcome) {
    if (auto* desk = std::exchange(desk_, nullptr)) desk->line_ended(token_, std::move(outcome));
  }
  JobService* desk_;  // none: nobody waits any more
  std::uint64_t token_;
  std::string body_;
  bool too_long_ = false;
};

JobService::JobService(Timers& timers, ClusterState& shared, std::size_t first_duty,
                       Callbacks& owner)
    : timers_(timers),
      shared_(shared),
      first_duty_(first_duty),
      callbacks_(owner),
      jobs_(terms(), *this) {}

JobService::~JobService() {
  timers_.cancel(due_);
  for (const auto& [token, line] : lines_) line->forget();
}

std::vector<std::string> JobService::duties() {
  std::vector<std::string> names;
  names.reserve(fleet::kShards);
  for (unsigned s = 0; s < fleet::kShards; ++s) names.push_back("jobs/" + std::to_string(s));
  return names;
}

// ---- Calls --------------------------------------------------------------------------------------

fleet::CallId JobService::wait(const AdminServer::AdminRequest& ask,
                               const AdminServer::AdminCallback& answered) {
  calls_[++last_call_] = {answered, ask.path + (ask.query.empty() ? "" : "?" + ask.query)};
  return fleet::CallId(last_call_);
}

void JobService::hand_in(const AdminServer::AdminRequest& ask,
                         const AdminServer::AdminCallback& answered) {
  try {
    const auto spec = job_of(ask.body);
    ++stats_.handed_in;
    jobs_.submit(timers_.now(), wait(ask, answered), spec);
  } catch (const FieldError& x) {
    answered(why(http::status::bad_request, x.what()));
  }
}

bool JobService::on_admin_request(const AdminServer::AdminRequest& ask,
                                  const AdminServer::AdminCallback& answered) {
  if (!ask.path.starts_with(kPath)) return false;
  auto rest = std::string_view(ask.path).substr(kPath.size());
  if (!rest.empty() && rest.front() != '/') return false;
  const auto not_by = [&](const char* allowed) {
    auto r = why(http::status::method_not_allowed, "the method does not go with the path");
    r.allow = allowed;
    answered(std::move(r));
    return true;
  };
  if (!shared_.started())
    return answered(why(http::status::service_unavailable, "not serving yet")), true;
  settings_ = callbacks_.current_settings();
  if (rest.empty()) {
    if (ask.method != "POST") return not_by("POST");
    hand_in(ask, answered);
    return run(), true;
  }
  rest.remove_prefix(1);
  const auto slash = rest.find('/');
  const auto id = number_in(rest.substr(0, slash), 16);
  const auto what = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
  if (rest.substr(0, slash).size() != kIdDigits || !id ||
      (slash != std::string_view::npos && what != "answers"))
    return answered(why(http::status::not_found, "a job's id has 14 hex digits")), true;
  const Time now = timers_.now();
  if (what == "answers") {
    if (ask.method != "GET") return not_by("GET");
    const auto text = ask.parameter("from");
    const auto from = number_in(text.value_or("0"), 10);
    if (!from || *from > fleet::kMaxTasks)
      return answered(why(http::status::bad_request, "from: a line's number is needed")), true;
    jobs_.fetch(now, wait(ask, answered), JobId(*id), static_cast<std::uint32_t>(*from));
    return run(), true;
  }
  if (ask.method == "DELETE") {
    jobs_.remove(now, wait(ask, answered), JobId(*id));
    return run(), true;
  }
  if (ask.method != "GET") return not_by("GET, DELETE");
  const auto state = jobs_.state(now, JobId(*id));
  answered(state ? described(JobId(*id), *state)
                 : why(http::status::not_found, "no such job is known here"));
  return true;
}

AdminServer::AdminResponse JobService::described(JobId id, const fleet::JobState& state) const {
  json counts = json::object(), runs = json::array();
  for (std::size_t s = 0; s < state.counts.size(); ++s)
    if (state.counts[s] > 0) counts[fleet::name_of(fleet::TaskState(s))] = state.counts[s];
  for (const auto& r : state.runs)
    runs.push_back({{"first", r.first}, {"count", r.count}, {"state", fleet::name_of(r.state)}});
  json j = {{"id", id_text(id)},
            {"state", fleet::name_of(state.kind)},
            {"lines", std::move(counts)},
            {"runs", std::move(runs)},
            {"told", state.watermarks.delivered},
            {"rerun", state.watermarks.rerun_count},
            {"here", state.is_held}};
  if (const auto holder = shared_.holder(duty(fleet::shard_of(id))))
    j["holder"] = fleet::index_of(holder->node), j["epoch"] = holder->epoch;
  return told(http::status::ok, std::move(j));
}

void JobService::reply(fleet::CallId call, const JobReply& reply) {
  auto node = calls_.extract(static_cast<std::uint64_t>(call));
  if (!node) return;
  const auto& w = node.mapped();
  const auto send = [&](http::status status, json extra = json::object()) {
    if (!reply.message.empty()) extra["why"] = reply.message;
    w.answered(told(status, std::move(extra)));
  };
  const json id = {{"id", id_text(reply.id)}};
  switch (reply.kind) {
    case JobReply::Kind::accepted: return send(http::status::accepted, id);
    case JobReply::Kind::removed: return send(http::status::ok, id);
    case JobReply::Kind::invalid: return send(http::status::bad_request);
    case JobReply::Kind::not_found: return send(http::status::not_found);
    case JobReply::Kind::conflict: return send(http::status::conflict);
    case JobReply::Kind::trimmed: return send(http::status::gone, {{"next", reply.next}});
    case JobReply::Kind::unavailable: return send(http::status::service_unavailable);
    case JobReply::Kind::redirect: {
      const auto at = reply.holder ? callbacks_.admin_address_of(*reply.holder) : std::nullopt;
      if (!at) return send(http::status::service_unavailable);
      json extra = {{"holder", fleet::index_of(*reply.holder)}, {"why", reply.message}};
      auto r = told(http::status::temporary_redirect, std::move(extra));
      r.location = "http://" + *at + w.path;
      return w.answered(std::move(r));
    }
    case JobReply::Kind::answers: break;
  }
  json answers = json::array();
  for (const auto& a : reply.answers) {
    json one = {{"line", a.task}, {"state", fleet::name_of(a.state)}};
    if (a.state == fleet::TaskState::served) one["body"] = a.body;
    answers.push_back(std::move(one));
  }
  send(http::status::ok, {{"answers", std::move(answers)}, {"next", reply.next}});
}

// ---- What jobs need -----------------------------------------------------------------------------

std::optional<fleet::ShardLease> JobService::lease(ShardId shard) {
  const auto h = shared_.hold(duty(shard));
  if (!h) return std::nullopt;
  return fleet::ShardLease{h->epoch, h->since};
}

// Or who is to hold it soon, as that one claims it first; none: this node itself.
std::optional<fleet::MemberId> JobService::holder(ShardId shard) {
  const auto h = shared_.holder(duty(shard));
  const auto node = h ? std::optional(h->node) : shared_.expected(duty(shard));
  return node != shared_.config().self ? node : std::nullopt;
}

// Whatever the holder before wrote it wrote before this node's first term; by the time that news
// takes to go round it is here.
bool JobService::has_all_records(ShardId shard) {
  const Time now = timers_.now();
  const auto h = shared_.hold(duty(shard));
  return h && shared_.records().caught_up(now) &&
         now >= h->began + shared_.config().records.spread();
}

void JobService::put(std::uint64_t token, const fleet::RecordKey& key, std::uint64_t epoch,
                     std::uint32_t ends, std::optional<std::string> value) {
  auto& records = shared_.records();
  const Time now = timers_.now();
  wrote_ = true;
  const auto done = value ? records.put(now, key, epoch, ends, std::move(*value))
                          : records.erase(now, key, epoch, ends);
  if (done.kind == fleet::Records::Put::Kind::taken)
    writes_[done.ticket] = token;
  else
    refused_.push_back(token);
}

std::optional<fleet::Record> JobService::find(const fleet::RecordKey& key) {
  const auto* r = shared_.records().stored(key);
  return r != nullptr ? std::optional(*r) : std::nullopt;
}

void JobService::for_each_record(const std::function<void(const fleet::Record&)>& see) {
  shared_.records().each(fleet::kJobSpace, see);
}

const RequestClass* JobService::class_of(const std::string& name) const {
  const auto it = std::ranges::find(settings_->classes, name, &RequestClass::name);
  return it == settings_->classes.end() ? nullptr : &*it;
}
std::optional<Idempotency> JobService::idempotency(const std::string& request_class) {
  const auto* c = class_of(request_class);
  return c != nullptr ? std::optional(c->idempotency) : std::nullopt;
}
bool JobService::has_plan(const std::string& plan) {
  return std::ranges::find(settings_->plans, plan, &Plan::name) != settings_->plans.end();
}
Duration JobService::attempt_timeout(const std::string& request_class) {
  const auto* c = class_of(request_class);
  return c != nullptr ? c->deadline : Duration{};
}
std::uint32_t JobService::unix_time(Time now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
}
std::uint32_t JobService::free_slots() { return stopped_ ? 0 : callbacks_.best_effort_capacity(); }
std::optional<double> JobService::tasks_per_second(JobId) { return std::nullopt; }

// As a client would send it, through any of the nodes: nothing is known of a set.
void JobService::send(const fleet::JobTask& line) {
  const auto& spec = *line.spec;
  const auto cls = std::ranges::find(settings_->classes, spec.request_class, &RequestClass::name);
  const auto plan = std::ranges::find(settings_->plans, spec.plan, &Plan::name);
  if (stopped_ || cls == settings_->classes.end() || plan == settings_->plans.end()) {
    // Told later: the caller is in the midst of its own table.
    const auto end = [this, token = line.token] {
      line_ended(token, {TaskOutcome::Kind::rejected, {}, {}});
    };
    lines_[line.token] = std::make_shared<Line>(*this, line.token);
    return void(timers_.after({}, end));
  }
  ClientRequest r;
  r.settings = settings_;
  auto& a = r.arrival;
  a.request_class = ClassIndex(static_cast<std::uint32_t>(cls - settings_->classes.begin()));
  a.plan = PlanIndex(static_cast<std::uint32_t>(plan - settings_->plans.begin()));
  a.customer = CustomerId(spec.customer);
  a.units = static_cast<double>(line.milliunits) / std::milli::den;
  a.gateways = settings_->fleet_size;
  a.time_left = cls->deadline;
  a.best_effort = true;
  r.deadline = timers_.now() + cls->deadline;
  r.method = cls->idempotency == Idempotency::idempotent ? http::verb::get : http::verb::post;
  r.target = spec.path_of(line.index);
  r.request_id = request_text(line.request_id);
  if (cls->idempotency == Idempotency::idempotency_key) r.idempotency_key = r.request_id;
  ++stats_.sent;
  // It may be answered at once: only when the caller is done with its table.
  auto sink = lines_[line.token] = std::make_shared<Line>(*this, line.token);
  callbacks_.send_request(std::move(r), std::move(sink));
}

void JobService::line_ended(std::uint64_t token, TaskOutcome outcome) {
  if (lines_.erase(token) == 0) return;
  switch (outcome.kind) {
    case TaskOutcome::Kind::served: ++stats_.served; break;
    case TaskOutcome::Kind::rejected: ++stats_.refused; break;
    case TaskOutcome::Kind::failed: ++stats_.failed; break;
    case TaskOutcome::Kind::unknown: ++stats_.unknown; break;
  }
  ended_.emplace_back(token, std::move(outcome));
  run();
}

// ---- The course ---------------------------------------------------------------------------------

bool JobService::on_record_outcome(const fleet::Records::Outcome& o) {
  const auto node = writes_.extract(o.ticket);
  if (!node) return false;
  outcomes_.emplace_back(node.mapped(), o.safe);
  return true;
}

void JobService::on_state_changed(bool records) {
  if (records || !outcomes_.empty()) run();
}

// What came while jobs were at work is told after it: they look at one thing at a time.
void JobService::run() {
  if (running_) return;
  running_ = true;
  settings_ = callbacks_.current_settings();
  const Time now = timers_.now();
  jobs_.tick(now);
  while (!refused_.empty() || !outcomes_.empty() || !ended_.empty()) {
    for (const auto token : std::exchange(refused_, {})) jobs_.on_write_complete(now, token, false);
    for (const auto& [token, safe] : std::exchange(outcomes_, {}))
      jobs_.on_write_complete(now, token, safe);
    for (auto& [token, outcome] : std::exchange(ended_, {}))
      jobs_.on_task_complete(now, token, std::move(outcome));
    jobs_.tick(now);
  }
  for (unsigned s = 0; s < fleet::kShards; ++s) {
    const bool wanted = jobs_.needs_lease(ShardId(static_cast<std::uint8_t>(s)));
    if (wanted) wanted_until_[s] = now + facts::kShardKept;
    shared_.want(first_duty_ + s, wanted || now < wanted_until_[s]);
  }
  running_ = false;
  if (std::exchange(wrote_, false)) shared_.on_records_written();
  arm();
}

// Only while there is something to do: else Shared tells of whatever comes.
void JobService::arm() {
  timers_.cancel(due_);
  const bool busy = std::ranges::any_of(wanted_until_,
                                        [now = timers_.now()](Time t) { return now < t; });
  if (!busy) return;
  due_ = timers_.after(facts::kJobsLook, [this] {
    due_.reset();
    run();
  });
}

}  // namespace petrelrail
