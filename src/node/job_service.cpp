#include "job_service.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "limits.hpp"
#include "settings_reader.hpp"

namespace petrelrail {
namespace {

using namespace reading;
using fleet::JobId;
using fleet::JobReply;
using fleet::ShardId;
using fleet::TaskOutcome;

constexpr std::string_view kJobsPath = "/jobs";
constexpr std::size_t kIdDigits = sizeof "00000000000000" - 1;    // 56 bits
constexpr std::size_t kPrefixDigits = sizeof "000000000000" - 1;  // 48 bits

std::optional<std::uint64_t> parse_number(std::string_view text, int base) {
  std::uint64_t n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (text.empty() || failed != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return n;
}
std::uint64_t digits(const json& o, const char* key, std::size_t count, const char* wanted) {
  const auto& t = text(o, key);
  const auto n = parse_number(t, 16);
  if (t.size() != count || !n) fail_field(key, wanted);
  return *n;
}
std::string format_job_id(JobId id) {
  std::array<char, kIdDigits + 1> t{};
  std::snprintf(t.data(), t.size(), "%014llx", static_cast<unsigned long long>(id));
  return t.data();
}
std::string format_request_id(std::uint64_t id) {
  std::array<char, limits::kCustomerIdHexDigits + 1> t{};
  std::snprintf(t.data(), t.size(), "%016llx", static_cast<unsigned long long>(id));
  return t.data();
}

AdminServer::AdminResponse json_response(http::status status, json body) {
  return {static_cast<unsigned>(status),
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
          "application/json",
          {},
          {}};
}
AdminServer::AdminResponse error_response(http::status status, const std::string& text) {
  return json_response(status, {{"why", text}});
}

// A call may wait for a shard's lease as long as the admin server waits for a response that depends
// on other nodes, less the time for the call itself.
fleet::JobConfig job_config() {
  fleet::JobConfig t;
  t.max_lease_wait = limits::kAdminResponseTimeout - limits::kAdminIoTimeout;
  return t;
}

}  // namespace

fleet::JobSpec parse_job(const std::string& body) {
  const auto j = json::parse(body, nullptr, false);
  if (j.is_discarded()) throw FieldError("the body is not JSON");
  object_of(j, "job");
  static constexpr std::array<std::string_view, 9> known{
      "customer", "plan", "class", "units", "prefix", "path", "range", "keys", "ends"};
  for (const auto& [key, value] : j.items())
    if (std::ranges::find(known, key) == known.end())
      throw FieldError("field '" + key + "' is not known");
  fleet::JobSpec s;
  s.customer = digits(j, "customer", limits::kCustomerIdHexDigits, "16 hex digits");
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
    s.tasks = fleet::JobRange{unsigned_integer_of(field(*range, "first"), "first"),
                              uint32(*range, "count")};
  } else {
    std::vector<std::string> all;
    for (const auto& k : list_of(*keys, "keys")) all.push_back(text_of(k, "keys"));
    s.tasks = std::move(all);
  }
  return s;
}

// Collects the response to one task in flight, up to the size limit of a response.
class JobService::TaskSink final : public ResponseSink {
 public:
  TaskSink(JobService& service, std::uint64_t token) : service_(&service), token_(token) {}
  void detach() { service_ = nullptr; }
  policy::ClientPresence client_presence() override {
    return service_ != nullptr ? policy::ClientPresence::connected
                               : policy::ClientPresence::disconnected;
  }

  void send(const Response& a) override {
    if (a.status == http::status::ok) return report({TaskOutcome::Kind::served, a.body, {}});
    if (a.status == http::status::too_many_requests ||
        a.status == http::status::service_unavailable)
      return report({TaskOutcome::Kind::rejected, {}, a.retry_after});
    report({TaskOutcome::Kind::unknown, {}, {}});
  }
  void begin_stream(const ResponseHead&) override {}
  void write_chunk(std::string_view chunk, std::function<void()> on_written) override {
    too_long_ = too_long_ || body_.size() + chunk.size() > limits::kMaxBodyBytes;
    if (!too_long_) body_ += chunk;
    on_written();
  }
  void end_stream() override {
    if (too_long_) return report({TaskOutcome::Kind::failed, {}, {}});
    report({TaskOutcome::Kind::served, std::move(body_), {}});
  }
  void abort() override { report({TaskOutcome::Kind::unknown, {}, {}}); }

 private:
  void report(TaskOutcome outcome) {
    if (auto* service = std::exchange(service_, nullptr))
      service->on_task_ended(token_, std::move(outcome));
  }
  JobService* service_;  // null once the outcome is reported or the service is destroyed
  std::uint64_t token_;
  std::string body_;
  bool too_long_ = false;
};

JobService::JobService(Timers& timers, ClusterState& cluster_state, std::size_t first_lease,
                       Callbacks& callbacks)
    : timers_(timers),
      cluster_state_(cluster_state),
      first_lease_(first_lease),
      callbacks_(callbacks),
      jobs_(job_config(), *this) {}

JobService::~JobService() {
  timers_.cancel(timer_);
  for (const auto& [token, task] : tasks_) task->detach();
}

std::vector<std::string> JobService::lease_names() {
  std::vector<std::string> names;
  names.reserve(fleet::kShards);
  for (unsigned s = 0; s < fleet::kShards; ++s) names.push_back("jobs/" + std::to_string(s));
  return names;
}

// ---- Admin requests -----------------------------------------------------------------------------

fleet::CallId JobService::add_call(const AdminServer::AdminRequest& request,
                                   const AdminServer::AdminCallback& on_response) {
  calls_[++last_call_id_] = {on_response,
                             request.path + (request.query.empty() ? "" : "?" + request.query)};
  return fleet::CallId(last_call_id_);
}

void JobService::submit(const AdminServer::AdminRequest& request,
                        const AdminServer::AdminCallback& on_response) {
  try {
    const auto spec = parse_job(request.body);
    ++stats_.submitted;
    jobs_.submit(timers_.now(), add_call(request, on_response), spec);
  } catch (const FieldError& x) {
    on_response(error_response(http::status::bad_request, x.what()));
  }
}

bool JobService::on_admin_request(const AdminServer::AdminRequest& request,
                                  const AdminServer::AdminCallback& on_response) {
  if (!request.path.starts_with(kJobsPath)) return false;
  auto rest = std::string_view(request.path).substr(kJobsPath.size());
  if (!rest.empty() && rest.front() != '/') return false;
  const auto method_not_allowed = [&](const char* allowed) {
    auto r = error_response(http::status::method_not_allowed,
                            "the method does not go with the path");
    r.allow = allowed;
    on_response(std::move(r));
    return true;
  };
  if (!cluster_state_.started())
    return on_response(error_response(http::status::service_unavailable, "not serving yet")), true;
  settings_ = callbacks_.current_settings();
  if (rest.empty()) {
    if (request.method != "POST") return method_not_allowed("POST");
    submit(request, on_response);
    return run(), true;
  }
  rest.remove_prefix(1);
  const auto slash = rest.find('/');
  const auto id = parse_number(rest.substr(0, slash), 16);
  const auto subresource = slash == std::string_view::npos ? std::string_view()
                                                           : rest.substr(slash + 1);
  if (rest.substr(0, slash).size() != kIdDigits || !id ||
      (slash != std::string_view::npos && subresource != "answers"))
    return on_response(error_response(http::status::not_found, "a job id has 14 hex digits")), true;
  const Time now = timers_.now();
  if (subresource == "answers") {
    if (request.method != "GET") return method_not_allowed("GET");
    const auto text = request.parameter("from");
    const auto from = parse_number(text.value_or("0"), 10);
    if (!from || *from > fleet::kMaxTasks)
      return on_response(
                 error_response(http::status::bad_request, "from: a line number is needed")),
             true;
    jobs_.fetch(now, add_call(request, on_response), JobId(*id), static_cast<std::uint32_t>(*from));
    return run(), true;
  }
  if (request.method == "DELETE") {
    jobs_.remove(now, add_call(request, on_response), JobId(*id));
    return run(), true;
  }
  if (request.method != "GET") return method_not_allowed("GET, DELETE");
  const auto state = jobs_.state(now, JobId(*id));
  on_response(state ? describe(JobId(*id), *state)
                    : error_response(http::status::not_found, "no such job is known here"));
  return true;
}

AdminServer::AdminResponse JobService::describe(JobId id, const fleet::JobState& state) const {
  json counts = json::object(), runs = json::array();
  for (std::size_t s = 0; s < state.counts.size(); ++s)
    if (state.counts[s] > 0) counts[fleet::name_of(fleet::TaskState(s))] = state.counts[s];
  for (const auto& r : state.runs)
    runs.push_back({{"first", r.first}, {"count", r.count}, {"state", fleet::name_of(r.state)}});
  json j = {{"id", format_job_id(id)},
            {"state", fleet::name_of(state.kind)},
            {"lines", std::move(counts)},
            {"runs", std::move(runs)},
            {"told", state.watermarks.delivered},
            {"rerun", state.watermarks.rerun_count},
            {"here", state.is_held}};
  if (const auto holder = cluster_state_.holder(lease_of(fleet::shard_of(id))))
    j["holder"] = fleet::index_of(holder->node), j["epoch"] = holder->epoch;
  return json_response(http::status::ok, std::move(j));
}

void JobService::reply(fleet::CallId call, const JobReply& reply) {
  auto node = calls_.extract(static_cast<std::uint64_t>(call));
  if (!node) return;
  const auto& pending = node.mapped();
  const auto send = [&](http::status status, json extra = json::object()) {
    if (!reply.message.empty()) extra["why"] = reply.message;
    pending.on_response(json_response(status, std::move(extra)));
  };
  const json id = {{"id", format_job_id(reply.id)}};
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
      auto r = json_response(http::status::temporary_redirect, std::move(extra));
      r.location = "http://" + *at + pending.path;
      return pending.on_response(std::move(r));
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

// ---- JobHost ------------------------------------------------------------------------------------

std::optional<fleet::ShardLease> JobService::lease(ShardId shard) {
  const auto h = cluster_state_.tenure(lease_of(shard));
  if (!h) return std::nullopt;
  return fleet::ShardLease{h->term, h->first_term};
}

// Returns the holder, or else the node expected to claim the shard's lease first; none if that is
// this node.
std::optional<fleet::MemberId> JobService::holder(ShardId shard) {
  const auto h = cluster_state_.holder(lease_of(shard));
  const auto node = h ? std::optional(h->node) : cluster_state_.expected_holder(lease_of(shard));
  return node != cluster_state_.config().self ? node : std::nullopt;
}

// The former holder wrote everything before this node's first term, so its records have arrived
// here once the time that records take to spread has passed.
bool JobService::has_all_records(ShardId shard) {
  const Time now = timers_.now();
  const auto h = cluster_state_.tenure(lease_of(shard));
  return h && cluster_state_.mutable_store().caught_up(now) &&
         now >= h->start_time + cluster_state_.config().store.propagation_time();
}

void JobService::put(std::uint64_t token, const fleet::RecordKey& key, std::uint64_t epoch,
                     std::uint32_t ends, std::optional<std::string> value) {
  auto& records = cluster_state_.mutable_store();
  const Time now = timers_.now();
  has_written_ = true;
  const auto result = value ? records.put(now, key, epoch, ends, std::move(*value))
                            : records.erase(now, key, epoch, ends);
  if (result.kind == fleet::ReplicatedStore::PutResult::Kind::accepted)
    writes_[result.ticket] = token;
  else
    rejected_writes_.push_back(token);
}

std::optional<fleet::Record> JobService::find(const fleet::RecordKey& key) {
  const auto* r = cluster_state_.mutable_store().find_stored(key);
  return r != nullptr ? std::optional(*r) : std::nullopt;
}

void JobService::for_each_record(const std::function<void(const fleet::Record&)>& see) {
  cluster_state_.mutable_store().for_each(fleet::kJobSpace, see);
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

// Sends the task as its client would. The customer's requests may come through any node of the
// fleet, since no smaller set of nodes is known for them.
void JobService::send(const fleet::JobTask& line) {
  const auto& spec = *line.spec;
  const auto cls = std::ranges::find(settings_->classes, spec.request_class, &RequestClass::name);
  const auto plan = std::ranges::find(settings_->plans, spec.plan, &Plan::name);
  if (stopped_ || cls == settings_->classes.end() || plan == settings_->plans.end()) {
    // Reported later, as the caller is still updating its table.
    const auto report_refused = [this, token = line.token] {
      on_task_ended(token, {TaskOutcome::Kind::rejected, {}, {}});
    };
    tasks_[line.token] = std::make_shared<TaskSink>(*this, line.token);
    return void(timers_.after({}, report_refused));
  }
  ClientRequest r;
  r.settings = settings_;
  auto& a = r.arrival;
  a.request_class = ClassIndex(static_cast<std::uint32_t>(cls - settings_->classes.begin()));
  a.plan = PlanIndex(static_cast<std::uint32_t>(plan - settings_->plans.begin()));
  a.customer = CustomerId(spec.customer);
  a.units = static_cast<double>(line.milliunits) / std::milli::den;
  a.gateways = settings_->fleet_size;
  a.best_effort = true;
  r.deadline = policy::RequestDeadline::running(timers_.now(), cls->deadline);
  r.method = cls->idempotency == Idempotency::idempotent ? http::verb::get : http::verb::post;
  r.target = spec.path_of(line.index);
  r.request_id = format_request_id(line.request_id);
  if (cls->idempotency == Idempotency::idempotency_key) r.idempotency_key = r.request_id;
  ++stats_.sent;
  // The response may arrive before this returns; it is processed when the caller has finished with
  // its table.
  auto sink = tasks_[line.token] = std::make_shared<TaskSink>(*this, line.token);
  callbacks_.send_request(std::move(r), std::move(sink));
}

void JobService::on_task_ended(std::uint64_t token, TaskOutcome outcome) {
  if (tasks_.erase(token) == 0) return;
  switch (outcome.kind) {
    case TaskOutcome::Kind::served: ++stats_.served; break;
    case TaskOutcome::Kind::rejected: ++stats_.refused; break;
    case TaskOutcome::Kind::failed: ++stats_.failed; break;
    case TaskOutcome::Kind::unknown: ++stats_.unknown; break;
  }
  task_outcomes_.emplace_back(token, std::move(outcome));
  run();
}

// ---- Event processing ---------------------------------------------------------------------------

bool JobService::on_record_outcome(const fleet::ReplicatedStore::Outcome& outcome) {
  const auto node = writes_.extract(outcome.ticket);
  if (!node) return false;
  write_outcomes_.emplace_back(node.mapped(), outcome.is_replicated);
  return true;
}

void JobService::on_state_changed(bool records_changed) {
  if (records_changed || !write_outcomes_.empty()) run();
}

// Events that arrive during a call into jobs_ are queued and passed on after it, since jobs_
// handles one event at a time.
void JobService::run() {
  if (running_) return;
  running_ = true;
  settings_ = callbacks_.current_settings();
  const Time now = timers_.now();
  jobs_.tick(now);
  while (!rejected_writes_.empty() || !write_outcomes_.empty() || !task_outcomes_.empty()) {
    for (const auto token : std::exchange(rejected_writes_, {}))
      jobs_.on_write_complete(now, token, false);
    for (const auto& [token, safe] : std::exchange(write_outcomes_, {}))
      jobs_.on_write_complete(now, token, safe);
    for (auto& [token, outcome] : std::exchange(task_outcomes_, {}))
      jobs_.on_task_complete(now, token, std::move(outcome));
    jobs_.tick(now);
  }
  for (unsigned s = 0; s < fleet::kShards; ++s) {
    const bool is_wanted = jobs_.needs_lease(ShardId(static_cast<std::uint8_t>(s)));
    if (is_wanted) keep_lease_until_[s] = now + limits::kShardIdleTimeout;
    cluster_state_.set_candidate(first_lease_ + s, is_wanted || now < keep_lease_until_[s]);
  }
  running_ = false;
  if (std::exchange(has_written_, false)) cluster_state_.on_records_written();
  arm_timer();
}

// Runs periodically only while a shard is in use: otherwise ClusterState reports every change.
void JobService::arm_timer() {
  timers_.cancel(timer_);
  const bool in_use = std::ranges::any_of(keep_lease_until_,
                                          [now = timers_.now()](Time t) { return now < t; });
  if (!in_use) return;
  timer_ = timers_.after(limits::kJobCheckInterval, [this] {
    timer_.reset();
    run();
  });
}

}  // namespace petrelrail
