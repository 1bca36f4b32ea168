// The edge node's process: parses the command line, reads and reloads the configuration, handles
// signals, and runs a Node on one io_context.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "limits.hpp"
#include "node.hpp"

namespace {

using namespace petrelrail;
using namespace petrelrail::reading;

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0')
    throw FieldError(std::string("variable ") + name + " is not set");
  return value;
}

Tcp::endpoint parse_address(const std::string& value, const char* name) {
  const auto parsed = endpoint_of(value);
  if (!parsed) fail_field(name, "an address and a port");
  return *parsed;
}

// Derives the configuration of leader leases, replicated records and jobs from the settings: the
// datagram intake that the membership protocol leaves, and the counter's time-out.
CoordinationConfig make_coordination_config(const GossipConfig& peers, const NodeConfig& node) {
  const auto& s = node.settings.settings;
  if (!s.counter) throw FieldError("field 'members': jobs need the counter");
  CoordinationConfig config;
  config.jobs = peers.jobs;
  if (node.control) {
    std::ostringstream text;
    text << *node.control;
    config.admin_address = text.str();
  }
  config.cluster_state.self = fleet::MemberId(static_cast<std::uint16_t>(peers.index));
  config.cluster_state.zone = peers.zone;
  config.cluster_state.lease.nodes = config.cluster_state.store.nodes = s.fleet_size;
  config.cluster_state.lease.max_clock_skew = config.cluster_state.lease
                                                  .counter_timeout = s.counter_timeout;
  config.cluster_state.store.max_clock_skew = s.counter_timeout;
  config.cluster_state.store.term = config.cluster_state.lease.term_duration();
  config.cluster_state.store.spaces = limits::kRecordSpaces;
  config.cluster_state.store.sealed = peers.terms.key.has_value();
  const double intake_per_s = peers.terms.inbox_per_s * limits::kCoordinationIntakeShare;
  config.cluster_state.store.gossip_per_s = intake_per_s * limits::kUpdateIntakeShare;
  config.cluster_state.store.pull_per_s = std::max(intake_per_s * limits::kPullIntakeShare, 1.0);
  try {
    fleet::validate(config.cluster_state.lease);
    fleet::validate(config.cluster_state.store);
  } catch (const std::invalid_argument& x) {
    throw FieldError(std::string("field 'members': ") + x.what());
  }
  return config;
}

// The configured number of descriptors, at most the system's limit for this process.
std::size_t clamp_to_system_limit(std::size_t configured) {
  rlimit system{};
  return ::getrlimit(RLIMIT_NOFILE, &system) == 0
             ? std::min<std::size_t>(configured, system.rlim_cur)
             : configured;
}

struct Configuration {
  json file;
  NodeConfig node;
};

// Location of the configuration: a file given on the command line, or else by GW_CONFIG.
struct ConfigSource {
  std::string file;
  std::string members = "off";  // of the command line
  std::string path() const { return file.empty() ? environment_variable("GW_CONFIG") : file; }
  std::string error_prefix() const { return file.empty() ? "variable GW_CONFIG: " : "--config: "; }
};

// Requires each key of the current file in the next one, so that a truncated or mistakenly edited
// file is not applied in part. `parent` is the key of the compared objects, for messages.
void require_keys(const json& current, const json& next, const std::string& parent) {
  if (current.is_array()) {
    if (!next.is_array() || current.empty() || !current.front().is_object()) return;
    for (const auto& entry : next) require_keys(current.front(), entry, parent);
    return;
  }
  if (!current.is_object()) return;
  object_of(next, parent.c_str());
  for (const auto& [key, value] : current.items()) {
    if (!next.contains(key)) throw FieldError("field '" + key + "' is missing in '" + parent + "'");
    if (key != "known") require_keys(value, next.at(key), key);  // a snapshot that may differ
  }
}

// What membership is used for, as a comma-separated list: "off", "on" (the view alone), "pace" (the
// rate of counter calls follows the number of live members), "jobs" (batch jobs that survive the
// failure of their node).
struct MembershipUse {
  bool on = false, pace = false, jobs = false;
};
MembershipUse parse_membership_use(const std::string& list, const char* key) {
  MembershipUse use;
  std::istringstream text(list);
  for (std::string word; std::getline(text, word, ',');) {
    if (word != "off" && word != "on" && word != "pace" && word != "jobs")
      fail_field(key, "off, on, pace or jobs");
    use.on = use.on || word != "off";
    use.pace = use.pace || word == "pace";
    use.jobs = use.jobs || word == "jobs";
  }
  return use;
}

Udp::endpoint parse_peer_address(const std::string& value, const char* name) {
  const auto address = parse_address(value, name);
  return {address.address(), address.port()};
}

// `members` in the configuration overrides the command line, and may hold the key that seals
// datagrams. Returns none, whatever they say, if the settings allow no messages between nodes.
std::optional<GossipConfig> read_membership(const json& config, const json& settings,
                                            const reading::NamedSettings& named,
                                            const std::string& command_line_use) {
  auto use = parse_membership_use(command_line_use, "--members");
  std::optional<fleet::SealKey> key;
  if (const auto* members = optional_field(config, "members")) {
    object_of(*members, "members");
    if (const auto* list = optional_field(*members, "use"))
      use = parse_membership_use(text_of(*list, "members.use"), "members.use");
    if (const auto* hex = optional_field(*members, "key")) {
      try {
        key = fleet::key_of(text_of(*hex, "members.key"));
      } catch (const std::invalid_argument& x) {
        fail_field("members.key", x.what());
      }
    }
  }
  if (!use.on || !boolean(object_of(field(settings, "ceilings"), "ceilings"), "peer-messages"))
    return std::nullopt;
  const auto& s = named.settings;
  GossipConfig gossip;
  gossip.listen = parse_peer_address(text(config, "peer_listen"), "peer_listen");
  for (const auto& address : list_of(field(config, "peers"), "peers"))
    gossip.addresses.push_back(parse_peer_address(text_of(address, "peers"), "peers"));
  if (gossip.addresses.size() != s.fleet_size)
    fail_field("peers", "an address for each node of the settings");
  gossip.terms.nodes = s.fleet_size;
  gossip.terms.inbox_per_s = number(object_of(field(settings, "extra"), "extra"), "inbox-per-s");
  gossip.terms.key = key;
  gossip.index = s.gateway_index;
  gossip.paces_counter = use.pace;
  gossip.jobs = use.jobs;
  gossip.zones.resize(named.names.zones.size());
  for (const auto& [name, number] : named.names.zones) gossip.zones.at(number) = name;
  if (gossip.zones.size() > fleet::kMaxZones)
    fail_field("zones", "a list short enough for membership datagrams");
  gossip.zone = static_cast<std::uint8_t>(s.zone);
  try {
    fleet::validate(gossip.terms);
  } catch (const std::invalid_argument& x) {
    throw FieldError(std::string("field 'members': ") + x.what());
  }
  return gossip;
}

// Reads and validates the configuration. With `current`, its file must hold each key of that one.

Configuration read_config(const ConfigSource& source, const json* current = nullptr) {
  const auto path = source.path();
  std::ifstream file(path);
  if (!file) throw FieldError(source.error_prefix() + "can't read " + path);
  auto config = json::parse(file, nullptr, false);
  if (config.is_discarded()) throw FieldError(source.error_prefix() + path + " is not JSON");
  object_of(config, "config");
  if (current != nullptr) require_keys(*current, config, "config");
  NodeConfig c;
  c.name = text(config, "name");
  c.listen = parse_address(text(config, "listen"), "listen");
  c.discovery_host = text(config, "discovery");
  c.discovery = parse_address(c.discovery_host, "discovery");
  const auto& limits = object_of(field(config, "limits"), "limits");
  c.descriptors = clamp_to_system_limit(positive_uint32(limits, "sockets"));
  if (limits.contains("memory_mb"))
    c.memory_limit = std::size_t{positive_uint32(limits, "memory_mb")} *
                     petrelrail::limits::kBytesPerMegabyte;
  c.seed = hex(config, "seed");
  c.known_endpoints = object_of(field(config, "known"), "known");
  const auto& settings = object_of(field(config, "settings"), "settings");
  c.settings = read_settings(settings);
  c.keep_alive = non_negative_duration(object_of(field(settings, "ceilings"), "ceilings"),
                                       "keepalive-ns");
  if (c.settings.settings.counter) c.counter = parse_address(text(config, "counter"), "counter");
  if (const auto* address = optional_field(config, "control"))
    c.control = parse_address(text_of(*address, "control"), "control");
  else if (const char* variable = std::getenv("GW_CONTROL");
           variable != nullptr && *variable != '\0')
    c.control = parse_address(variable, "control");
  if (const char* folder = std::getenv("TMPDIR"); folder != nullptr && *folder != '\0')
    c.handover_path = std::string(folder) + "/petrelrail-" + text(config, "listen") + ".sock";
  validate(c.settings.settings);
  c.gossip = read_membership(config, settings, c.settings, source.members);
  if (c.gossip && c.gossip->jobs) c.coordination = make_coordination_config(*c.gossip, c);
  return {std::move(config), std::move(c)};
}

// A summary of the configuration for --check.
std::string describe(const Configuration& c) {
  const auto& n = c.node;
  const auto& s = n.settings.settings;
  const auto zone = std::ranges::find_if(
      n.settings.names.zones, [&](const auto& z) { return ZoneIndex(z.second) == s.zone; });
  const auto seconds = [](Duration d) { return std::chrono::duration<double>(d).count(); };
  std::ostringstream text;
  text << "node " << n.name << ", number " << s.gateway_index << " of " << s.fleet_size << ", zone "
       << zone->first << '\n'
       << "  clients at " << n.listen << ", control " << (n.control ? "at " : "off");
  if (n.control) text << *n.control;
  text << "\n  discovery at " << n.discovery << ", counter " << (n.counter ? "at " : "off");
  if (n.counter) text << *n.counter << ", answers within " << seconds(s.counter_timeout) << " s";
  text << "\n  descriptors " << n.descriptors << ", attempts a request " << s.max_attempts
       << ", probes " << (s.health_checks ? "on" : "off") << ", a successor "
       << (n.handover_path.empty() ? "can't come" : "may come") << '\n';
  text << "  members " << (n.gossip ? "on" : "off");
  if (n.gossip)
    text << " at " << n.gossip->listen << (n.gossip->terms.key ? ", sealed" : "")
         << (n.gossip->paces_counter ? ", pace the counter" : "")
         << (n.coordination ? ", jobs" : "");
  text << '\n';
  for (const auto& k : s.classes)
    text << "  class " << k.name << ": aim " << seconds(k.latency_objective) << " s, deadline "
         << seconds(k.deadline) << " s\n";
  for (const auto& p : s.plans) {
    text << "  plan " << p.name << ": ";
    if (p.rate > 0) text << p.rate << " units a second, burst " << p.burst;
    if (p.rate <= 0) text << "no rate";
    if (p.max_concurrent > 0) text << ", " << p.max_concurrent << " out at once";
    if (p.ceiling_rate > 0) text << ", ceiling " << p.ceiling_rate << " a second";
    text << '\n';
  }
  if (const auto* members = optional_field(n.known_endpoints, "members");
      members != nullptr && members->is_array())
    text << "  starts with a list of " << members->size() << " price servers\n";
  return text.str();
}

// Logs the keys of a reloaded file that differ from the start but can't change while the node runs.
// The rest of the file is applied: refusing it would also refuse a new address of discovery.
void warn_about_fixed_keys(const json& at_start, const json& next) {
  static constexpr std::array<const char*, 8> fixed{"/name",        "/listen", "/limits/sockets",
                                                    "/peer_listen", "/peers",  "/peers_all",
                                                    "/control",     "/members"};
  std::string keys;
  for (const auto* key : fixed) {
    const json::json_pointer pointer(key);
    if (at_start.value(pointer, json()) == next.value(pointer, json())) continue;
    if (!keys.empty()) keys += ',';
    for (const char c : std::string_view(key).substr(1)) keys += c == '/' ? '.' : c;
  }
  if (!keys.empty()) log::warning("node", "has no effect until the next start", {{"keys", keys}});
}

// Reloads the configuration on each signal. A configuration that is refused changes nothing.
void reload_on_signal(asio::signal_set& signals, Node& node, const ConfigSource& source,
                      const json& at_start, json& current) {
  signals.async_wait([&](const error_code& failed, int) {
    if (failed) return;
    try {
      auto next = read_config(source, &current);
      node.reconfigure(next.node);
      warn_about_fixed_keys(at_start, next.file);
      current = std::move(next.file);
      node.on_reload(true);
      log::info("node", "configuration read again");
    } catch (const std::exception& x) {
      node.on_reload(false);
      log::warning("node", std::string("the configuration stays as it was: ") + x.what());
    }
    reload_on_signal(signals, node, source, at_start, current);
  });
}

// Runs the event loop; an exception in one handler is logged and does not end the process.
void run_event_loop(asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& x) {
      log::warning("node", "an event handler failed", {{"why", x.what()}});
    }
  }
}

int check(const ConfigSource& source) {
  try {
    std::cout << describe(read_config(source));
    return EXIT_SUCCESS;
  } catch (const std::exception& x) {
    std::cerr << "petrelrail: " << x.what() << '\n';
    return limits::kBadInputExitStatus;
  }
}

int run(const ConfigSource& source, log::Format log_form) {
  log::configure(log_form);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  auto config = read_config(source);
  log::configure(log_form, config.node.name);
  Node node(io, std::move(config.node));
  asio::signal_set termination_signals(io, SIGTERM, SIGINT);
  termination_signals.async_wait([&](const error_code& failed, int) {
    if (!failed) node.drain([&io] { io.stop(); });
  });
  asio::signal_set reload_signals(io, SIGHUP);
  const json at_start = config.file;
  reload_on_signal(reload_signals, node, source, at_start, config.file);
  try {
    node.start([&io] { io.stop(); });
  } catch (const boost::system::system_error& x) {
    throw FieldError(std::string("field 'listen': ") + x.code().message());
  }
  run_event_loop(io);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  ConfigSource source;
  std::string log_form = "text";
  bool check_only = false, log_requests = false;
  CLI::App app{"The edge node: shares members' quotas over a fleet and serves on while parts fail.",
               "petrelrail"};
  app.set_version_flag("--version", std::string("petrelrail ") + PETRELRAIL_VERSION,
                       "print the version and end");
  app.add_option("--config", source.file,
                 "configuration file (JSON); default: the file that GW_CONFIG names");
  app.add_option("--log", log_form, "log format: text or json; default: GW_LOG")
      ->envname("GW_LOG")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  app.add_option("--members", source.members,
                 "off, on, or a comma-separated list of uses of the membership view (pace, jobs); "
                 "default: GW_MEMBERS")
      ->envname("GW_MEMBERS")
      ->capture_default_str();
  app.add_flag("--log-requests", log_requests,
               "log every event of every request without a rate limit; default: GW_LOG_REQUESTS=1")
      ->envname("GW_LOG_REQUESTS");
  app.add_flag("--check", check_only,
               "read the configuration, print a summary or the field that is wrong: exit 0 or 2");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? EXIT_SUCCESS : limits::kBadInputExitStatus;
  }
  log::set_request_logging(log_requests);
  if (check_only) return check(source);
  try {
    return run(source, log::parse_format(log_form));
  } catch (const std::exception& x) {
    log::write(log::Level::error, "node", x.what());
    return EXIT_FAILURE;
  }
}
