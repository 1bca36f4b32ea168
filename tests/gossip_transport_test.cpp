// The datagram socket between members over loopback: datagrams of members and of strangers, and the
// hand-over from one process of a node to the next.
#include "node/gossip_transport.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "loopback_peers.hpp"

namespace petrelrail::test {
namespace {

constexpr std::uint32_t kNodes = 3;

// One node's transport and what it reported. A high inbox rate shortens the protocol's rounds,
// which makes the tests fast.
struct TestNode : GossipTransport::Callbacks {
  TestNode(Loop& loop, Timers& timers, const GossipConfig& c)
      : transport(loop.io, timers, c, c.index + 1, *this) {}
  void on_view_changed(const fleet::MembershipView& v) override { living = v.living, ++changes; }
  void on_message(fleet::MemberId from, const fleet::Message& m) override {
    if (const auto* announcement = std::get_if<fleet::LeaseAnnouncement>(&m.body))
      announcements.emplace_back(from, announcement->entries);
  }
  std::vector<std::pair<fleet::MemberId, std::vector<fleet::LeaseEntry>>> announcements;
  std::uint32_t living = 0, changes = 0;
  GossipTransport transport;
};

struct MembersLink : ::testing::Test {
  MembersLink() {
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      const auto at = Peer(loop.io).endpoint();
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
      test_nodes.push_back(std::make_unique<TestNode>(loop, timers, config(i)));
      test_nodes.back()->transport.start({});
    }
  }
  bool wait_until_all_see(std::uint32_t n) {
    return loop.until([&] {
      return std::ranges::all_of(test_nodes, [&](const auto& node) {
        return !node->transport.started() || node->living == n;
      });
    });
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  GossipConfig base;
  std::vector<std::unique_ptr<TestNode>> test_nodes;
};

// Guards against members that do not find each other, and a stopped member not detected as failed.
TEST_F(MembersLink, NodesFindEachOtherAndOneThatIsGone) {
  start();
  ASSERT_TRUE(wait_until_all_see(kNodes));
  const auto described = test_nodes[0]->transport.to_json();
  EXPECT_EQ(described["standing"], "majority");
  EXPECT_EQ(described["members"].size(), kNodes);
  EXPECT_EQ(described["members"][1]["zone"], "b");
  test_nodes[2]->transport.stop();
  ASSERT_TRUE(wait_until_all_see(kNodes - 1));
  EXPECT_EQ(test_nodes[0]->transport.to_json()["members"][2]["state"], "failed");
  EXPECT_GT(test_nodes[0]->transport.stats().bytes_out, 0U);
}
// Messages of other modules share the membership's socket. Sending to an unknown member or after
// the stop must be harmless.
TEST_F(MembersLink, OtherPartsSendAndHearOnTheSameSocket) {
  start();
  const std::vector<fleet::LeaseEntry> lease_entries{{7, 16, fleet::MemberId(1), false}};
  ASSERT_TRUE(loop.until([&] {
    test_nodes[1]->transport.send(fleet::MemberId(2), fleet::LeaseAnnouncement{lease_entries}, 0);
    return !test_nodes[2]->announcements.empty();
  }));
  EXPECT_EQ(test_nodes[2]->announcements.front(), std::pair(fleet::MemberId(1), lease_entries));
  // No member has this number.
  test_nodes[1]->transport.send(fleet::MemberId(99), fleet::LeaseAnnouncement{lease_entries}, 0);
  test_nodes[1]->transport.stop();
  test_nodes[1]->transport.send(fleet::MemberId(2), fleet::LeaseAnnouncement{lease_entries}, 0);
}
// A process that takes over its predecessor's identity must not appear as a failure and a rejoin.
TEST_F(MembersLink, ASuccessorInTheSamePlaceIsTheSameMember) {
  start();
  ASSERT_TRUE(wait_until_all_see(kNodes));
  const auto left = to_json(test_nodes[1]->transport.self());
  const auto incarnation = test_nodes[0]->transport.to_json()["members"][1]["incarnation"];
  test_nodes[1]->transport.stop();
  TestNode next(loop, timers, config(1));
  next.transport.start(self_from_json(left, next.transport.self()));
  ASSERT_TRUE(loop.until([&] { return next.living == kNodes; }));
  EXPECT_EQ(test_nodes[0]->transport.to_json()["members"][1]["incarnation"], incarnation);
  EXPECT_EQ(test_nodes[0]->transport.stats().failures, 0U);
  EXPECT_THROW(self_from_json({{"life", 1}, {"incarnation", 0}}, {}), std::exception);
}
// Datagrams from an address that is no member's must change nothing and be counted as dropped.
TEST_F(MembersLink, WhatStrangersSendIsCountedAndDropped) {
  start();
  ASSERT_TRUE(wait_until_all_see(kNodes));
  Udp::socket stranger(loop.io, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto bytes = fleet::encode({{fleet::MemberId(1), 9, 9, 0, 0, 0}, fleet::Gossip{}}, {});
  stranger.send_to(asio::buffer(bytes), base.addresses[0]);
  stranger.send_to(asio::buffer(std::string(1000, 'x')), base.addresses[0]);
  const auto dropped = [&] {
    return test_nodes[0]->transport.stats().drops[static_cast<std::size_t>(
        fleet::Membership::DropReason::sender)];
  };
  EXPECT_TRUE(loop.until([&] { return dropped() == 2; }));
  EXPECT_EQ(test_nodes[0]->living, kNodes);
}
// Guards against reporting an orderly leave as a failure.
TEST_F(MembersLink, OneThatLeavesIsNotTakenForFailed) {
  start();
  ASSERT_TRUE(wait_until_all_see(kNodes));
  test_nodes[2]->transport.leave();
  ASSERT_TRUE(loop.until([&] { return test_nodes[0]->living == 2 && test_nodes[1]->living == 2; }));
  EXPECT_EQ(test_nodes[0]->transport.to_json()["members"][2]["state"], "left");
}
// A listening address in use must be reported by an exception, not leave a silent node.
TEST_F(MembersLink, AnAddressThatIsTakenIsToldOf) {
  Udp::socket other(loop.io, base.addresses[0]);
  TestNode node(loop, timers, config(0));
  EXPECT_THROW(node.transport.start({}), boost::system::system_error);
  EXPECT_FALSE(node.transport.started());
}

}  // namespace
}  // namespace petrelrail::test
