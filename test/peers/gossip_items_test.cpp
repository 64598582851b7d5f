#include "fake_fleet.h"

using namespace wigeonrill;
using namespace wigeonrill::peers;

TEST_GROUP(gossip_items){static std::unique_ptr<fake_fleet> converged_fleet(std::size_t count){
    auto out = std::make_unique<fake_fleet>(count);
out->list_all_nodes();
out->run(seconds{10});
return out;
}
// Returns a message with the incarnation and sequence that the process of the sender would use.
static message from(const fake_fleet& fleet, std::size_t sender, std::uint64_t sequence) {
    message out;
    out.process = fleet.settings(sender, 1).process;
    out.sequence = sequence;
    return out;
}
}
;

// Guards against verdicts and crash marks that don't reach every node, or reach one twice, while
// datagrams are lost, duplicated and reordered.
TEST(gossip_items, reaches_every_node_once) {
    const auto fleet = converged_fleet(36);
    fleet->network.loss = 0.3;
    fleet->network.duplication = 0.2;
    fleet->network.max_delay = milliseconds{150};
    const auto expires = fleet->clock.now() + seconds{30};
    fleet->at(3).announce(make_verdict(fake_fleet::id(3), "stock-1", 7, expires),
                          {fake_fleet::id(20)});
    fleet->at(4).announce(once::crash_mark{99, target_id("stock-2"), fleet->clock.wall_now()});
    fleet->run(milliseconds{200});
    fleet->run(seconds{12});
    for (std::size_t i = 0; i < 36; ++i) {
        UNSIGNED_LONGS_EQUAL(i == 3 ? 0 : 1, fleet->nodes[i]->verdicts.size());
        UNSIGNED_LONGS_EQUAL(i == 4 ? 0 : 1, fleet->nodes[i]->marks.size());
    }
}

// Guards against a verdict that doesn't end because nodes send it to each other after its expiry,
// and against an older verdict that replaces a newer one.
TEST(gossip_items, removes_expired_verdicts) {
    const auto fleet = converged_fleet(6);
    const auto now = fleet->clock.now();
    fleet->at(0).announce(make_verdict(fake_fleet::id(0), "stock-1", 7, now + seconds{10}), {});
    fleet->run(seconds{5});
    fleet->at(0).announce(make_verdict(fake_fleet::id(0), "stock-1", 6, now + seconds{60}), {});
    fleet->run(seconds{4});
    for (std::size_t i = 1; i < 6; ++i) {
        UNSIGNED_LONGS_EQUAL(1, fleet->nodes[i]->verdicts.size());
        const auto drift = fleet->nodes[i]->verdicts[0].expires - (now + seconds{10});
        CHECK(drift > -milliseconds{5} && drift < milliseconds{100});
    }
    fleet->run(seconds{20});
    fleet->nodes.push_back(fleet->make_node(6, 1));
    fleet->list_all_nodes();
    fleet->run(seconds{10});
    UNSIGNED_LONGS_EQUAL(0, fleet->nodes[6]->verdicts.size());
}

// Guards against a node that joins later and never receives the items that all other nodes already
// have, because they are no longer repeated.
TEST(gossip_items, reaches_a_node_that_joins_later) {
    const auto fleet = converged_fleet(6);
    for (std::uint64_t i = 0; i < 40; ++i) {
        fleet->at(0).announce(once::crash_mark{i, target_id("stock-2"), fleet->clock.wall_now()});
    }
    fleet->run(seconds{60});
    fleet->nodes.push_back(fleet->make_node(6, 1));
    fleet->list_all_nodes();
    fleet->run(seconds{20});
    UNSIGNED_LONGS_EQUAL(40, fleet->nodes[6]->marks.size());
}

// Guards against a message that exceeds a datagram, and against items that are never sent, when
// there are more items than fit one datagram.
TEST(gossip_items, rotates_items_within_one_datagram) {
    const auto fleet = converged_fleet(8);
    std::size_t largest = 0;
    fleet->network.on_send = [&](const datagram& it) {
        largest = std::max(largest, it.bytes.size());
    };
    const auto expires = fleet->clock.now() + seconds{55};
    for (std::uint64_t i = 0; i < 120; ++i) {
        fleet->at(1).announce(
            make_verdict(fake_fleet::id(1), "stock-" + std::to_string(i), i + 1, expires), {});
    }
    fleet->at(2).announce_leaving();
    fleet->run(seconds{5});
    UNSIGNED_LONGS_EQUAL(7, fleet->count_viewers(2, member_state::leaving));
    fleet->run(seconds{45});
    for (std::size_t i = 0; i < 8; ++i) {
        UNSIGNED_LONGS_EQUAL(i == 1 ? 0 : 120, fleet->nodes[i]->verdicts.size());
        UNSIGNED_LONGS_EQUAL(0, fleet->at(i).counters().send_failures);
    }
    CHECK(largest <= max_datagram_bytes);
}

// Guards against verdicts that a node sends directly in the name of another judge, and against
// verdicts whose judge is not a member.
TEST(gossip_items, drops_verdicts_with_a_wrong_judge) {
    const auto fleet = converged_fleet(3);
    auto& node = fleet->at(0);
    const auto before = fleet->nodes[0]->verdicts.size();
    const auto expires = fleet->clock.now() + seconds{30};
    auto content = from(*fleet, 1, 1'000);
    content.kind = message_kind::verdict;
    content.verdicts = {make_verdict(fake_fleet::id(2), "stock-1", 1, expires)};
    node.receive(fake_fleet::id(1), content, 100);
    content = from(*fleet, 1, 1'001);
    content.verdicts = {make_verdict(node_id("10.9.9.9:1"), "stock-1", 1, expires)};
    node.receive(fake_fleet::id(1), content, 100);
    UNSIGNED_LONGS_EQUAL(before, node.take_inbox().verdicts.size());
    UNSIGNED_LONGS_EQUAL(2, node.counters().dropped_for(drop_reason::wrong_judge));
}

// Guards against messages from unknown hosts: a message from an address that isn't a member changes
// nothing and gets no answer.
TEST(gossip_items, ignores_messages_from_unknown_addresses) {
    const auto fleet = converged_fleet(3);
    auto& node = fleet->at(0);
    auto content = from(*fleet, 1, 1'000);
    content.verdicts = {
        make_verdict(fake_fleet::id(1), "stock-1", 1, fleet->clock.now() + seconds{30})};
    content.evidence = {make_evidence("stock-1", 1)};
    content.members = {{node_id("10.9.9.8:1"), {}, {5, 5}, 0, member_state::alive}};
    node.receive(node_id("10.9.9.9:1"), content, 100);
    const auto received = node.take_inbox();
    CHECK(received.verdicts.empty() && received.evidence.empty());
    CHECK(node.take_outgoing().empty());
    UNSIGNED_LONGS_EQUAL(2, node.status().size());
    UNSIGNED_LONGS_EQUAL(1, node.counters().dropped_for(drop_reason::unknown_sender));
}

// Guards against replayed datagrams that make a node answer without limit, and against corrupted
// ones that stop it.
TEST(gossip_items, handles_replayed_and_corrupted_datagrams) {
    auto fleet = std::make_unique<fake_fleet>(3);
    fleet->secret = "a shared secret";
    for (std::size_t i = 0; i < 3; ++i) {
        fleet->nodes[i] = fleet->make_node(i, 1);
    }
    fleet->list_all_nodes();
    fleet->run(seconds{5});
    std::vector<std::string> captured;
    fleet->network.on_send = [&](const datagram& it) { captured.push_back(it.bytes); };
    fleet->run(seconds{5});
    fleet->network.on_send = {};
    seeded_random_source random(8);
    for (int i = 0; i < 2'000; ++i) {
        auto bytes = captured[random.next_below(captured.size())];
        if (i % 2 == 0) {
            bytes[random.next_below(bytes.size())] ^= 4;
        }
        fleet->network.accept(fake_fleet::address(1), fake_fleet::address(0), bytes);
    }
    const auto sent = fleet->at(0).counters().datagrams_sent;
    fleet->run(seconds{1});
    CHECK(fleet->at(0).counters().datagrams_sent - sent < 60);
    CHECK(fleet->at(0).counters().dropped_for(drop_reason::unauthentic) > 1'000);
    CHECK(fleet->at(0).counters().dropped_for(drop_reason::duplicate) > 0);
    fleet->run(seconds{10});
    UNSIGNED_LONGS_EQUAL(3, fleet->at(0).live_nodes().size());
}

// Guards against a member that makes a node exceed its budget by a flood of valid requests.
TEST(gossip_items, limits_replies) {
    const auto fleet = converged_fleet(3);
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        fleet->at(0).receive(fake_fleet::id(1), from(*fleet, 1, 1'000 + i), 100);
    }
    CHECK(fleet->at(0).take_outgoing().size() <= 60);
}

// Guards against evidence that is lost, counted twice or received without its reporter's domain.
TEST(gossip_items, delivers_evidence_to_the_aggregators) {
    const auto fleet = converged_fleet(4);
    fleet->network.duplication = 1.0;
    fleet->at(0).report({fake_fleet::id(1), fake_fleet::id(0)}, make_evidence("stock-1", 5));
    fleet->nodes[0]->link.flush();
    fleet->run(milliseconds{100});
    for (const auto i : {0U, 1U}) {
        UNSIGNED_LONGS_EQUAL(1, fleet->nodes[i]->evidence.size());
        const auto& it = fleet->nodes[i]->evidence[0];
        CHECK(it.reporter == fake_fleet::id(0) && it.reporter_domain == domain_name("d0"));
        DOUBLES_EQUAL(1.5, it.llr_sum, 0.001);
        UNSIGNED_LONGS_EQUAL(3, it.answers);
    }
}

// Guards against control traffic above 8 KB/s, and against evidence that is lost when it must wait
// for the budget: waiting reports are merged.
TEST(gossip_items, stays_within_the_byte_budget_and_merges_evidence) {
    const auto fleet = converged_fleet(4);
    const auto sent = fleet->at(0).counters().bytes_sent;
    constexpr std::size_t span = 60;
    std::uint64_t sequence = 0;
    for (std::size_t i = 0; i < span * 100; ++i) {
        ++sequence;
        fleet->at(0).report({fake_fleet::id(1)}, make_evidence("stock-1", sequence));
        fleet->run(milliseconds{10});
    }
    // Over one minute the budget allows the average rate plus the burst of two seconds.
    CHECK(fleet->at(0).counters().bytes_sent - sent <= 8'000 * (span + 2));
    fleet->run(seconds{5});
    std::uint64_t answers = 0;
    for (const auto& it : fleet->nodes[1]->evidence) {
        answers += it.answers;
    }
    UNSIGNED_LONGS_EQUAL(3 * sequence, answers);
    UNSIGNED_LONGS_EQUAL(4, fleet->at(0).live_nodes().size());
}

// Guards against a request that crashes targets and that its caller repeats at other nodes before
// the next gossip round informs them. If each node informs six others, a share of e^-6 of the nodes
// isn't reached.
TEST(gossip_items, spreads_crash_marks_before_the_next_round) {
    const auto fleet = converged_fleet(36);
    fleet->at(4).announce(once::crash_mark{99, target_id("stock-2"), fleet->clock.wall_now()});
    fleet->nodes[4]->link.flush();
    fleet->run(milliseconds{200});
    std::size_t reached = 0;
    for (const auto& it : fleet->nodes) {
        reached += it->marks.size();
    }
    CHECK(reached >= 34);
}

// Guards against nodes that go on sending because they learn of a target's rate limit late: all
// must know it half a second after one does, while datagrams are lost.
TEST(gossip_items, rate_limit_reaches_every_node_at_once) {
    const auto fleet = converged_fleet(36);
    fleet->network.loss = 0.1;
    const health::rate_limit limit{service_name("stock"), target_id("stock-1"), 1.5, 7,
                                   fleet->clock.now() + seconds{30}};
    fleet->at(3).announce(limit);
    fleet->run(milliseconds{500});
    std::size_t informed = 0;
    for (const auto& it : fleet->nodes) {
        informed += it->rate_limits.size();
        CHECK(it->rate_limits.empty() || it->rate_limits.front().per_second == 1.5);
    }
    LONGS_EQUAL(35, informed);
}

// Guards against crash marks that aren't passed on because those of other requests use up the
// memory for them.
TEST(gossip_items, passes_crash_marks_on_after_thousands_of_others) {
    const auto fleet = converged_fleet(3);
    const auto now = fleet->clock.wall_now();
    fleet->at(0).announce(once::crash_mark{1, target_id("stock-1"), now});
    fleet->at(0).announce(once::crash_mark{1, target_id("stock-2"), now});
    for (std::uint64_t i = 2; i < 10'000; ++i) {
        fleet->at(0).announce(once::crash_mark{i, target_id("stock-1"), now});
    }
    fleet->run(seconds{1});
    const auto later = fleet->clock.wall_now();
    fleet->at(0).announce(once::crash_mark{10'000, target_id("stock-3"), later});
    fleet->run(seconds{3});
    const auto received = [&](std::uint64_t fingerprint) {
        return std::ranges::count(fleet->nodes[2]->marks, fingerprint,
                                  &once::crash_mark::fingerprint);
    };
    LONGS_EQUAL(2, received(1));
    LONGS_EQUAL(1, received(10'000));
}
