// The socket between members: real datagrams over loopback, from nodes, from strangers, and from
// one process to the next.
#include "node/gossip_transport.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

constexpr std::uint32_t kNodes = 3;

// A node's link to the others, quick enough for a test: the more may come in, the shorter its
// rounds.
struct Link : GossipTransport::Callbacks {
  Link(Loop& loop, Timers& timers, const GossipConfig& c)
      : peers(loop.io, timers, c, c.index + 1, *this) {}
  void on_view_changed(const fleet::MembershipView& v) override { living = v.living, ++changes; }
  void on_message(fleet::MemberId from, const fleet::Message& m) override {
    if (const auto* tell = std::get_if<fleet::LeaseAnnouncement>(&m.body))
      words.emplace_back(from, tell->entries);
  }
  std::vector<std::pair<fleet::MemberId, std::vector<fleet::LeaseEntry>>> words;
  std::uint32_t living = 0, changes = 0;
  GossipTransport peers;
};

struct MembersLink : ::testing::Test {
  MembersLink() {
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      const auto at = Peer(loop.io).at();
      base.addresses.emplace_back(at.address(), at.port());
    }
    base.terms.nodes = kNodes, base.terms.inbox_per_s = 1000;
    base.zones = {"a", "b"};
  }
  GossipConfig config(std::uint32_t i) {
    auto c = base;
    c.index = i, c.listen = base.addresses[i], c.zone = static_cast<std::uint8_t>(i % 2);
    return c;
  }
  void start() {
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      links.push_back(std::make_unique<Link>(loop, timers, config(i)));
      links.back()->peers.start({});
    }
  }
  bool all_see(std::uint32_t n) {
    return loop.until([&] {
      return std::ranges::all_of(
          links, [&](const auto& l) { return !l->peers.started() || l->living == n; });
    });
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  GossipConfig base;
  std::vector<std::unique_ptr<Link>> links;
};

TEST_F(MembersLink, NodesFindEachOtherAndOneThatIsGone) {
  start();
  ASSERT_TRUE(all_see(kNodes));
  const auto described = links[0]->peers.to_json();
  EXPECT_EQ(described["standing"], "majority");
  EXPECT_EQ(described["members"].size(), kNodes);
  EXPECT_EQ(described["members"][1]["zone"], "b");
  links[2]->peers.stop();
  ASSERT_TRUE(all_see(kNodes - 1));
  EXPECT_EQ(links[0]->peers.to_json()["members"][2]["state"], "failed");
  EXPECT_GT(links[0]->peers.stats().bytes_out, 0U);
}
TEST_F(MembersLink, OtherPartsSendAndHearOnTheSameSocket) {
  start();
  const std::vector<fleet::LeaseEntry> words{{7, 16, fleet::MemberId(1), false}};
  ASSERT_TRUE(loop.until([&] {
    links[1]->peers.send(fleet::MemberId(2), fleet::LeaseAnnouncement{words}, 0);
    return !links[2]->words.empty();
  }));
  EXPECT_EQ(links[2]->words.front(), std::pair(fleet::MemberId(1), words));
  links[1]->peers.send(fleet::MemberId(99), fleet::LeaseAnnouncement{words}, 0);  // nobody's number
  links[1]->peers.stop();
  links[1]->peers.send(fleet::MemberId(2), fleet::LeaseAnnouncement{words}, 0);
}
TEST_F(MembersLink, ASuccessorInTheSamePlaceIsTheSameMember) {
  start();
  ASSERT_TRUE(all_see(kNodes));
  const auto left = to_json(links[1]->peers.self());
  const auto incarnation = links[0]->peers.to_json()["members"][1]["incarnation"];
  links[1]->peers.stop();
  Link next(loop, timers, config(1));
  next.peers.start(self_from_json(left, next.peers.self()));
  ASSERT_TRUE(loop.until([&] { return next.living == kNodes; }));
  EXPECT_EQ(links[0]->peers.to_json()["members"][1]["incarnation"], incarnation);
  EXPECT_EQ(links[0]->peers.stats().failures, 0U);
  EXPECT_THROW(self_from_json({{"life", 1}, {"incarnation", 0}}, {}), std::exception);
}
TEST_F(MembersLink, WhatStrangersSendIsCountedAndDropped) {
  start();
  ASSERT_TRUE(all_see(kNodes));
  Udp::socket stranger(loop.io, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto bytes = fleet::encode({{fleet::MemberId(1), 9, 9, 0, 0, 0}, fleet::Gossip{}}, {});
  stranger.send_to(asio::buffer(bytes), base.addresses[0]);
  stranger.send_to(asio::buffer(std::string(1000, 'x')), base.addresses[0]);
  const auto dropped = [&] {
    return links[0]->peers.stats().drops[static_cast<std::size_t>(
        fleet::Membership::DropReason::sender)];
  };
  EXPECT_TRUE(loop.until([&] { return dropped() == 2; }));
  EXPECT_EQ(links[0]->living, kNodes);
}
TEST_F(MembersLink, OneThatLeavesIsNotTakenForFailed) {
  start();
  ASSERT_TRUE(all_see(kNodes));
  links[2]->peers.leave();
  ASSERT_TRUE(loop.until([&] { return links[0]->living == 2 && links[1]->living == 2; }));
  EXPECT_EQ(links[0]->peers.to_json()["members"][2]["state"], "left");
}
TEST_F(MembersLink, AnAddressThatIsTakenIsToldOf) {
  Udp::socket other(loop.io, base.addresses[0]);
  Link l(loop, timers, config(0));
  EXPECT_THROW(l.peers.start({}), boost::system::system_error);
  EXPECT_FALSE(l.peers.started());
}

}  // namespace
}  // namespace petrelrail::test
