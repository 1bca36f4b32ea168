// The edge node's process: command line, configuration, signals, wiring.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "facts.hpp"
#include "node.hpp"

namespace {

using namespace petrelrail;
using namespace petrelrail::reading;

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0')
    throw FieldError(std::string("variable ") + name + " is not set");
  return value;
}

Tcp::endpoint address(const std::string& value, const char* name) {
  const auto at = endpoint_of(value);
  if (!at) fail_field(name, "an address and a port");
  return *at;
}

// What the nodes do together follows from the settings' intake, what members leave of it, and the
// counter's terms.
CoordinationConfig read_together(const GossipConfig& peers, const NodeConfig& node) {
  const auto& s = node.settings.settings;
  if (!s.counter) throw FieldError("field 'members': jobs need the counter");
  CoordinationConfig t;
  t.jobs = peers.jobs;
  if (node.control) {
    std::ostringstream text;
    text << *node.control;
    t.control = text.str();
  }
  t.shared.self = fleet::MemberId(static_cast<std::uint16_t>(peers.index));
  t.shared.zone = peers.zone;
  t.shared.duties.nodes = t.shared.records.nodes = s.fleet_size;
  t.shared.duties.max_clock_skew = t.shared.duties.counter_timeout = s.counter_timeout;
  t.shared.records.clocks = s.counter_timeout;
  t.shared.records.term = t.shared.duties.term_duration();
  t.shared.records.spaces = facts::kRecordSpaces;
  t.shared.records.sealed = peers.terms.key.has_value();
  const double others = peers.terms.in_per_s * facts::kOthersShare;
  t.shared.records.news_per_s = others * facts::kNewsShare;
  t.shared.records.pull_per_s = std::max(others * facts::kPullShare, 1.0);
  try {
    fleet::validate(t.shared.duties);
    fleet::validate(t.shared.records);
  } catch (const std::invalid_argument& x) {
    throw FieldError(std::string("field 'members': ") + x.what());
  }
  return t;
}

// The shares of clients and servers are taken of what the system gives, where that is less than
// what is told.
std::size_t within_system(std::size_t told) {
  rlimit system{};
  return ::getrlimit(RLIMIT_NOFILE, &system) == 0 ? std::min<std::size_t>(told, system.rlim_cur)
                                                  : told;
}

struct Configuration {
  json file;
  NodeConfig node;
};

// Where the configuration is: a file named on the command line, or GW_CONFIG.
struct Source {
  std::string file;
  std::string members = "off";
  std::string path() const { return file.empty() ? variable("GW_CONFIG") : file; }
  std::string named() const { return file.empty() ? "variable GW_CONFIG: " : "--config: "; }
};

// Every key that the file in force holds: one that is cut short or edited by mistake is not taken
// in part.
void require_keys(const json& in_force, const json& next, const std::string& at) {
  if (in_force.is_array()) {
    if (!next.is_array() || in_force.empty() || !in_force.front().is_object()) return;
    for (const auto& entry : next) require_keys(in_force.front(), entry, at);
    return;
  }
  if (!in_force.is_object()) return;
  object_of(next, at.c_str());
  for (const auto& [key, value] : in_force.items()) {
    if (!next.contains(key)) throw FieldError("field '" + key + "' is missing in '" + at + "'");
    if (key != "known") require_keys(value, next.at(key), key);  // a list of its own time
  }
}

// What of members is on, as words with commas between: "off", "on" (a view, nothing more), or what
// the view is used for besides: "pace" (the counter is called by the number of the living), "jobs"
// (batch jobs that outlive their node).
struct MembersWords {
  bool on = false, pace = false, jobs = false;
};
MembersWords members_words(const std::string& words, const char* key) {
  MembersWords m;
  std::istringstream text(words);
  for (std::string word; std::getline(text, word, ',');) {
    if (word != "off" && word != "on" && word != "pace" && word != "jobs")
      fail_field(key, "off, on, pace or jobs");
    m.on = m.on || word != "off";
    m.pace = m.pace || word == "pace";
    m.jobs = m.jobs || word == "jobs";
  }
  return m;
}

Udp::endpoint peer_address(const std::string& value, const char* name) {
  const auto at = address(value, name);
  return {at.address(), at.port()};
}

// The command line says whether members are on; `members` in the configuration, where it is there,
// says it instead, and may hold the key that seals datagrams. Where the settings allow no messages
// between nodes members stay off.
std::optional<GossipConfig> read_peers(const json& config, const json& settings,
                                       const reading::NamedSettings& named,
                                       const std::string& words) {
  auto use = members_words(words, "--members");
  std::optional<fleet::Key> key;
  if (const auto* m = optional_field(config, "members")) {
    object_of(*m, "members");
    if (const auto* on = optional_field(*m, "use"))
      use = members_words(text_of(*on, "members.use"), "members.use");
    if (const auto* hex = optional_field(*m, "key")) {
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
  GossipConfig p;
  p.listen = peer_address(text(config, "peer_listen"), "peer_listen");
  for (const auto& at : list_of(field(config, "peers"), "peers"))
    p.addresses.push_back(peer_address(text_of(at, "peers"), "peers"));
  if (p.addresses.size() != s.fleet_size)
    fail_field("peers", "an address for each node of the settings");
  p.terms.nodes = s.fleet_size;
  p.terms.in_per_s = number(object_of(field(settings, "extra"), "extra"), "inbox-per-s");
  p.terms.key = key;
  p.index = s.gateway_index;
  p.paces = use.pace;
  p.jobs = use.jobs;
  p.zones.resize(named.names.zones.size());
  for (const auto& [name, number] : named.names.zones) p.zones.at(number) = name;
  if (p.zones.size() > fleet::kZones) fail_field("zones", "a list that members can tell");
  p.zone = static_cast<std::uint8_t>(s.zone);
  try {
    fleet::validate(p.terms);
  } catch (const std::invalid_argument& x) {
    throw FieldError(std::string("field 'members': ") + x.what());
  }
  return p;
}

Configuration read_config(const Source& source, const json* in_force = nullptr) {
  const auto path = source.path();
  std::ifstream file(path);
  if (!file) throw FieldError(source.named() + "can't read " + path);
  auto config = json::parse(file, nullptr, false);
  if (config.is_discarded()) throw FieldError(source.named() + path + " is not JSON");
  object_of(config, "config");
  if (in_force != nullptr) require_keys(*in_force, config, "config");
  NodeConfig c;
  c.name = text(config, "name");
  c.listen = address(text(config, "listen"), "listen");
  c.discovery_host = text(config, "discovery");
  c.discovery = address(c.discovery_host, "discovery");
  const auto& limits = object_of(field(config, "limits"), "limits");
  c.descriptors = within_system(positive_uint32(limits, "sockets"));
  c.seed = hex(config, "seed");
  c.known_endpoints = object_of(field(config, "known"), "known");
  const auto& settings = object_of(field(config, "settings"), "settings");
  c.settings = read_settings(settings);
  c.keep_alive = non_negative_duration(object_of(field(settings, "ceilings"), "ceilings"),
                                       "keepalive-ns");
  if (c.settings.settings.counter) c.counter = address(text(config, "counter"), "counter");
  if (const auto* at = optional_field(config, "control"))
    c.control = address(text_of(*at, "control"), "control");
  else if (const char* named = std::getenv("GW_CONTROL"); named != nullptr && *named != '\0')
    c.control = address(named, "control");
  if (const char* folder = std::getenv("TMPDIR"); folder != nullptr && *folder != '\0')
    c.handover_path = std::string(folder) + "/petrelrail-" + text(config, "listen") + ".sock";
  validate(c.settings.settings);
  c.gossip = read_peers(config, settings, c.settings, source.members);
  if (c.gossip && c.gossip->jobs) c.coordination = read_together(*c.gossip, c);
  return {std::move(config), std::move(c)};
}

// What the node would do with this configuration, for --check.
std::string told(const Configuration& c) {
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
         << (n.gossip->paces ? ", pace the counter" : "") << (n.coordination ? ", jobs" : "");
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

// What can't change while the node runs stays as it was at the start: one line names the keys of
// the file that say otherwise. The rest of it is taken: a file turned down for them would lose
// where discovery is now.
void warn_of_unchanged(const json& at_start, const json& next) {
  static constexpr std::array<const char*, 8> fixed{"/name",        "/listen", "/limits/sockets",
                                                    "/peer_listen", "/peers",  "/peers_all",
                                                    "/control",     "/members"};
  std::string keys;
  for (const auto* key : fixed) {
    const json::json_pointer at(key);
    if (at_start.value(at, json()) == next.value(at, json())) continue;
    if (!keys.empty()) keys += ',';
    for (const char c : std::string_view(key).substr(1)) keys += c == '/' ? '.' : c;
  }
  if (!keys.empty()) log::warning("node", "has no effect until the next start", {{"keys", keys}});
}

// A new configuration that can't be read changes nothing.
void reconfigure_on(asio::signal_set& signals, Node& node, const Source& source,
                    const json& at_start, json& in_force) {
  signals.async_wait([&](const error_code& failed, int) {
    if (failed) return;
    try {
      auto next = read_config(source, &in_force);
      node.reconfigure(next.node);
      warn_of_unchanged(at_start, next.file);
      in_force = std::move(next.file);
      node.on_reload(true);
      log::info("node", "configuration read again");
    } catch (const std::exception& x) {
      node.on_reload(false);
      log::warning("node", std::string("the configuration stays as it was: ") + x.what());
    }
    reconfigure_on(signals, node, source, at_start, in_force);
  });
}

// Nothing that goes wrong with one event ends the process.
void serve(asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& x) {
      log::warning("node", "a handler failed", {{"why", x.what()}});
    }
  }
}

int check(const Source& source) {
  try {
    std::cout << told(read_config(source));
    return EXIT_SUCCESS;
  } catch (const std::exception& x) {
    std::cerr << "petrelrail: " << x.what() << '\n';
    return facts::kBadInput;
  }
}

int run(const Source& source, log::Form form) {
  log::set_up(form);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  auto config = read_config(source);
  log::set_up(form, config.node.name);
  Node node(io, std::move(config.node));
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const error_code& failed, int) {
    if (!failed) node.drain([&io] { io.stop(); });
  });
  asio::signal_set hang_ups(io, SIGHUP);
  const json at_start = config.file;
  reconfigure_on(hang_ups, node, source, at_start, config.file);
  try {
    node.start([&io] { io.stop(); });
  } catch (const boost::system::system_error& x) {
    throw FieldError(std::string("field 'listen': ") + x.code().message());
  }
  serve(io);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  Source source;
  std::string form = "text";
  bool only_check = false, log_requests = false;
  CLI::App app{"The edge node: shares members' quotas over a fleet and serves on while parts fail.",
               "petrelrail"};
  app.set_version_flag("--version", std::string("petrelrail ") + PETRELRAIL_VERSION,
                       "print the version and end");
  app.add_option("--config", source.file,
                 "the configuration, a JSON file; else what GW_CONFIG names");
  app.add_option("--log", form, "the log's lines: text or json; else what GW_LOG says")
      ->envname("GW_LOG")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  app.add_option("--members", source.members,
                 "off, on, or uses of the members' view with commas between (pace, jobs); else "
                 "what GW_MEMBERS says")
      ->envname("GW_MEMBERS")
      ->capture_default_str();
  app.add_flag(
         "--log-requests", log_requests,
         "a line for every event of every request, whatever their rate; else GW_LOG_REQUESTS=1")
      ->envname("GW_LOG_REQUESTS");
  app.add_flag("--check", only_check,
               "read the configuration, say what it would do or which field is wrong: exit 0 or 2");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? EXIT_SUCCESS : facts::kBadInput;
  }
  log::log_requests(log_requests);
  if (only_check) return check(source);
  try {
    return run(source, log::form_of(form));
  } catch (const std::exception& x) {
    log::write(log::Level::error, "node", x.what());
    return EXIT_FAILURE;
  }
}
