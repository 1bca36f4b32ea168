// Fixture that runs a fleet of petrelrail processes on loopback and simulates everything they
// connect to. It injects faults: lost or duplicated datagrams between any two nodes, a counter that
// is silent, refuses or has lost its values, nodes that are killed, stalled or partitioned. The
// simulated price servers record which node forwarded what: each node has its own port to them.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "child.hpp"
#include "loopback_peers.hpp"
#include "settings_json.hpp"
#include "world/counter.hpp"

namespace petrelrail::test {

using asio::ip::udp;
using nlohmann::json;

class Tier {
 public:
  struct Run {  // one execution of a request at a price server
    std::uint32_t node = 0;
    std::string id, target;
    bool answered = false;
  };

  Tier(std::uint32_t nodes, std::string members, int classes_effect_safe = 1)
      : count(nodes),
        members_(std::move(members)),
        counter_({.calls_per_s = 2000}, world::RandomStreams(7)) {
    std::string name = (std::filesystem::temp_directory_path() / "petrelrail-tier-XXXXXX").string();
    dir = mkdtemp(name.data());
    counter_.set_mode(now(), world::Counter::Mode::serving);
    for (std::uint32_t i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i));
      cut_.emplace_back(count, false);
    }
    settings = facts();
    settings["fleet-size"] = count;
    settings["extra"]["inbox-per-s"] = 60;
    settings["ceilings"]["peer-messages"] = true;
    settings["packages"][0]["units-per-s"] = 400, settings["packages"][0]["store-size"] = 400;
    settings["extra"]["count-limit-ns"] = 50'000'000;
    if (classes_effect_safe == 0) settings["grades"][0]["idempotency"] = "unsafe";
    for (auto& n : nodes_) n->hear();
  }
  ~Tier() {
    nodes_.clear();
    std::filesystem::remove_all(dir);
  }

  // Waits until the condition holds. The limit is long because sixteen processes may share few
  // cores.
  bool until(const std::function<bool()>& so) { return loop.until(so, 180s); }

  void start(std::uint32_t node) {
    auto& n = *nodes_[node];
    std::filesystem::remove_all(n.folder / "tmp");
    std::filesystem::create_directories(n.folder / "tmp");
    n.child = spawn(n);
  }
  // Starts a new process beside the old one, which takes over from it, and sends SIGTERM to the old
  // one. Returns false if the new process does not become ready or the old one does not end.
  bool upgrade(std::uint32_t node) {
    auto& n = *nodes_[node];
    const auto before = n.control;
    n.control.port(
        static_cast<unsigned short>(before.port() == kControl ? kNextControl : kControl));
    auto next = spawn(n);
    if (!until([&] { return call(node, "GET", "/ready").status == 200; })) return false;
    n.child->signal(SIGTERM);
    std::swap(n.child, next);
    return until([&] { return next->poll_wait_status().has_value(); });
  }
  void start_all() {
    for (std::uint32_t i = 0; i < count; ++i) start(i);
  }
  void kill(std::uint32_t node) { nodes_[node]->child.reset(); }
  bool up(std::uint32_t node) const { return nodes_[node]->child != nullptr; }
  void signal(std::uint32_t node, int number) { nodes_[node]->child->signal(number); }
  bool ended(std::uint32_t node) { return nodes_[node]->child->poll_wait_status().has_value(); }
  // Drops all datagrams from one node to another.
  void cut(std::uint32_t from, std::uint32_t to, bool lost = true) { cut_[from][to] = lost; }
  void cut_off(std::uint32_t node, bool off = true) {
    for (std::uint32_t i = 0; i < count; ++i) cut(i, node, off), cut(node, i, off);
  }
  void cut_counter(std::uint32_t node, bool off = true) { nodes_[node]->counter_cut = off; }
  void lose(double share) { loss_ = share; }
  void repeat(double share) { twice_ = share; }
  world::Counter& counter() { return counter_; }
  Time now() const { return clock_.now(); }

  // Response of a node's control address; status 0 if there was none.
  struct Reply {
    int status = 0;
    std::string location;
    json body;
  };
  // Returns null if the node does not listen.
  std::shared_ptr<Wire> begin(std::uint32_t node, const std::string& method,
                              const std::string& target, const std::string& body = "") {
    try {
      auto w = loop.connect(nodes_[node]->control);
      w->send(method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
      return w;
    } catch (const boost::system::system_error&) {
      return nullptr;
    }
  }
  Reply call(std::uint32_t node, const std::string& method, const std::string& target,
             const std::string& body = "") {
    const auto w = begin(node, method, target, body);
    if (!w || !loop.until([&] { return w->ended; }, 12s) || w->in.size() < 12) return {};
    Reply r;
    r.status = std::stoi(w->in.substr(9, 3));
    const auto head = w->in.find("\r\n\r\n");
    if (const auto at = w->in.find("Location: "); at < head)
      r.location = w->in.substr(at + 10, w->in.find("\r\n", at) - at - 10);
    r.body = json::parse(w->in.substr(head + 4), nullptr, false);
    return r;
  }
  // Like call(), but starts at the first running node from `from` on, follows redirects, and
  // retries while no node holds the lease that the request needs.
  Reply ask(const std::string& method, const std::string& target, const std::string& body = "",
            std::uint32_t from = 0, Duration most = 180s) {
    Reply r;
    const auto limit = std::chrono::steady_clock::now() + most;
    while (std::chrono::steady_clock::now() < limit) {
      auto node = from;
      for (std::uint32_t i = 0; i < count && !up(node); ++i) node = (node + 1) % count;
      r = call(node, method, target, body);
      if (r.status == 307) {
        for (std::uint32_t i = 0; i < count; ++i)
          if (r.location.starts_with("http://" + text(nodes_[i]->control) + "/")) node = i;
        if (!up(node)) continue;
        r = call(node, method, target, body);
      }
      if (r.status != 0 && r.status != 503 && r.status != 307 && r.status != 504) return r;
      from = (from + 1) % count;
    }
    return r;
  }
  bool ready() {
    return until([&] {
      for (std::uint32_t i = 0; i < count; ++i)
        if (up(i) && call(i, "GET", "/ready").status != 200) return false;
      return true;
    });
  }
  // Waits until the membership view of every running node contains exactly the running nodes.
  bool agreed() {
    return until([&] {
      for (std::uint32_t i = 0; i < count; ++i) {
        if (!up(i)) continue;
        const auto r = call(i, "GET", "/members");
        if (r.status != 200) return false;
        for (const auto& m : r.body["members"])
          if ((m["state"] == "alive" || m["state"] == "suspect") !=
              up(m["number"].get<std::uint32_t>()))
            return false;
      }
      return true;
    });
  }
  // Returns whether at least `many` requests have arrived from other nodes since the last request
  // from this node.
  bool ran_elsewhere(std::uint32_t node, std::size_t many) const {
    std::size_t since = 0;
    for (const auto& r : runs) since = r.node == node ? 0 : since + 1;
    return since >= many;
  }
  // Counts the leader leases with this name prefix that the running nodes report as held by
  // themselves.
  std::size_t held(const std::string& prefix) {
    std::size_t n = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!up(i)) continue;
      const auto r = call(i, "GET", "/duties");
      if (r.status != 200) continue;
      for (const auto& [name, d] : r.body["duties"].items())
        n += name.starts_with(prefix) && d.value("here", false);
    }
    return n;
  }
  std::string log(std::uint32_t node) const {
    std::stringstream text;
    text << std::ifstream(nodes_[node]->folder / "log").rdbuf();
    return text.str();
  }
  static std::string text(const Tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
  }

  Loop loop;
  const std::uint32_t count;
  std::filesystem::path dir;
  json settings;
  std::vector<Run> runs;  // in order of arrival
  std::function<bool(const Run&)> answers = [](const Run&) {
    return true;
  };  // false: the server does not answer
  Duration work = 5ms;
  std::vector<std::string> breaches;

 private:
  static constexpr unsigned short kControl = 7002, kNextControl = 7004;
  struct Node {
    Node(Tier& t, std::uint32_t number)
        : tier(t),
          index(number),
          server(t.loop.io, [this](Wire& w) { came(w); }),
          counter(t.loop.io, [this](Wire& w) { called(w); }),
          agent(t.loop.io),
          relay(t.loop.io, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
          listen(address(number), 7001),
          control(address(number), kControl),
          peer(address(number), 7003),
          folder(t.dir / std::to_string(number)) {
      std::filesystem::create_directories(folder);
    }
    // Returns an address specific to this test process, so that tests that run at the same time
    // don't take each other's ports.
    static asio::ip::address_v4 address(std::uint32_t number) {
      const auto id = static_cast<unsigned>(getpid());
      return asio::ip::address_v4({127, static_cast<unsigned char>(64 + (id >> 8U) % 128),
                                   static_cast<unsigned char>(id),
                                   static_cast<unsigned char>(10 + number)});
    }
    void came(Wire& w) {
      for (auto m = w.message(); !m.empty(); m = w.message()) tier.serve(index, w, m);
    }
    void called(Wire& w) {
      for (auto l = w.line(); !l.empty(); l = w.line())
        if (!counter_cut) tier.count_up(w, l);
    }
    // Receives the datagrams that other nodes send to this node; their source address identifies
    // the sender.
    void hear() {
      relay.async_receive_from(asio::buffer(space), sender,
                               [this](const error_code& failed, std::size_t n) {
                                 if (failed == asio::error::operation_aborted) return;
                                 if (!failed) tier.pass_on(*this, n);
                                 hear();
                               });
    }

    Tier& tier;
    std::uint32_t index;
    Peer server, counter, agent;
    udp::socket relay;
    Tcp::endpoint listen, control;
    udp::endpoint peer, sender;
    std::array<char, 2048> space{};
    std::filesystem::path folder;
    bool counter_cut = false;
    std::unique_ptr<lab::Child> child;
  };

  std::unique_ptr<lab::Child> spawn(Node& n) {
    write_config(n.index);
    return std::make_unique<lab::Child>(
        lab::Child::LaunchOptions{PETRELRAIL_PROGRAM,
                                  {{"GW_CONFIG", (n.folder / "config.json").string()},
                                   {"GW_MEMBERS", members_},
                                   {"TMPDIR", (n.folder / "tmp").string()},
                                   {"PATH", "/usr/bin:/bin"}},
                                  n.folder / "log",
                                  1024});
  }
  void write_config(std::uint32_t node) {
    auto& n = *nodes_[node];
    auto s = settings;
    s["index"] = node, s["az"] = node % 2 == 0 ? "z0" : "z1";
    json peers = json::array();
    for (const auto& other : nodes_)
      peers.push_back("127.0.0.1:" + std::to_string(other->relay.local_endpoint().port()));
    const json config = {
        {"name", "n" + std::to_string(node)},
        {"listen", text(n.listen)},
        {"control", text(n.control)},
        {"discovery", n.agent.text()},
        {"counter", n.counter.text()},
        {"seed", std::to_string(1'000'000'000'000'000 + 1000 * ++seeds_ + node)},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
        {"peer_listen", n.peer.address().to_string() + ":" + std::to_string(n.peer.port())},
        {"peers", peers},
        {"known",
         {{"revision", 1},
          {"complete", true},
          {"members", json::array({{{"id", "s-00000001"},
                                    {"host_port", n.server.text()},
                                    {"locality", "z0"},
                                    {"cell", 1},
                                    {"phase", "SERVING"},
                                    {"up_since_ms", 0}}})}}},
        {"settings", s}};
    std::ofstream(n.folder / "config.json") << config;
  }

  void pass_on(Node& to, std::size_t bytes) {
    const auto from = std::ranges::find_if(nodes_,
                                           [&](const auto& n) { return n->peer == to.sender; });
    if (from == nodes_.end() || cut_[(*from)->index][to.index] || chance() < loss_) return;
    for (int i = chance() < twice_ ? 2 : 1; i > 0; --i) {
      error_code ignored;
      (*from)->relay.send_to(asio::buffer(to.space.data(), bytes), to.peer, 0, ignored);
    }
  }

  void count_up(Wire& w, const std::string& line) {
    if (line == "ping") return w.send("pong\r\n");
    const auto call = world::Counter::parse(line);
    if (!call) return w.send("error\r\n");
    const auto a = counter_.call(now(), *call);
    if (a.kind == world::Counter::Answer::Kind::none) return;
    if (a.kind == world::Counter::Answer::Kind::refused) return w.reset();
    w.send(world::Counter::format(a) + "\r\n");
  }

  void serve(std::uint32_t node, Wire& w, const std::string& m) {
    const auto field = [&](const std::string& name) {
      const auto at = m.find("\r\n" + name + ": ");
      const auto begin = at + name.size() + 4;
      return at == std::string::npos ? "" : m.substr(begin, m.find("\r\n", begin) - begin);
    };
    Run r{node, field("X-Request-ID"),
          m.substr(m.find(' ') + 1, m.find(" HTTP/") - m.find(' ') - 1), false};
    // A request may be in flight at one price server only.
    if (std::ranges::any_of(out_, [&](const auto& o) { return o.second == r.id; }))
      breaches.push_back("request " + r.id + " is out twice, now at node " + std::to_string(node));
    runs.push_back(r);
    if (!answers(r)) return;
    const auto number = runs.size() - 1;
    out_.emplace(number, r.id);
    const auto timer = std::make_shared<asio::steady_timer>(loop.io, work);
    timer->async_wait([this, number, timer, weak = w.weak_from_this()](const error_code&) {
      out_.erase(number);
      runs[number].answered = true;
      if (const auto wire = weak.lock())
        wire->send(http_answer("200 OK", "value of " + runs[number].target));
    });
  }
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Clock clock_;
  std::string members_;
  world::Counter counter_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::vector<bool>> cut_;
  std::map<std::size_t, std::string> out_;
  double loss_ = 0, twice_ = 0;
  std::uint64_t seeds_ = 0;
  std::mt19937_64 random_{11};
};

}  // namespace petrelrail::test
