#include "fake_fleet.h"

using namespace wigeonrill;
using namespace wigeonrill::peers;

TEST_GROUP(dissemination) {
    static std::unique_ptr<fake_fleet> converged_fleet(std::size_t count) {
        auto out = std::make_unique<fake_fleet>(count);
        for (auto& it : out->nodes) {
            fake_fleet::set_version(*it, 1);
        }
        out->list_all_nodes();
        out->run(seconds{10});
        out->answered_fetches.clear();
        return out;
    }
    static std::size_t count_at_version(const fake_fleet& fleet, std::uint64_t version) {
        return static_cast<std::size_t>(
            std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                          [&](const auto& it) { return it->version == version; }));
    }
    static constexpr auto no_peer = [](const std::set<node_id>&) -> std::optional<node_id> {
        return std::nullopt;
    };
};

// Guards against a version that doesn't reach every node within 12 s (guarantee 7), and against all
// nodes requesting it from one node, also while a third of the datagrams is lost.
TEST(dissemination, delivers_a_version_to_every_node) {
    for (const double loss : {0.0, 0.3}) {
        const auto fleet = converged_fleet(36);
        fleet->network.loss = loss;
        fake_fleet::set_version(*fleet->nodes[11], 2);
        fleet->run(seconds{12});
        UNSIGNED_LONGS_EQUAL(36, count_at_version(*fleet, 2));
        for (const auto& [index, count] : fleet->answered_fetches) {
            CHECK(count <= 18);
        }
        fleet->run(seconds{120}); // long enough for each pair of nodes to exchange messages
        UNSIGNED_LONGS_EQUAL(35, fleet->at(11).peers_by_config_version().at(2));
    }
}

// Guards against a return to an older version: an older version at a peer, announced before or
// after a newer one, causes no request and changes nothing.
TEST(dissemination, never_asks_for_an_older_version) {
    seeded_random_source random(1);
    fetch_scheduler fetches(random, instant{});
    const node_id a("10.0.0.2:1");
    const node_id b("10.0.0.3:1");
    const auto late = instant{} + seconds{10};
    // The start ends because there is no peer to ask.
    CHECK_FALSE(fetches.next_request(late, no_peer).has_value());
    CHECK(fetches.start_completed());
    fetches.set_version(5);
    fetches.set_version(4);
    fetches.record_peer_version(a, 4, late);
    fetches.record_peer_version(a, 5, late);
    CHECK_FALSE(fetches.next_request(late + seconds{1}, no_peer).has_value());
    fetches.record_peer_version(a, 9, late);
    fetches.record_peer_version(b, 7, late);
    const auto request = fetches.next_request(late + seconds{1}, no_peer);
    CHECK(request == std::optional(fetch_request{a, 5}));
    fetches.set_version(9);
    fetches.request_finished(a, true, late + seconds{1});
    CHECK_FALSE(fetches.next_request(late + seconds{2}, no_peer).has_value());
}

// Guards against a node that keeps requesting a version that its validator rejected, and against
// one that then doesn't get the corrected version.
TEST(dissemination, skips_a_rejected_version) {
    const auto fleet = converged_fleet(3);
    fleet->at(0).reject_config(2);
    const auto before = fleet->nodes[0]->fetches;
    fake_fleet::set_version(*fleet->nodes[1], 2);
    fleet->run(seconds{10});
    UNSIGNED_LONGS_EQUAL(before, fleet->nodes[0]->fetches);
    fake_fleet::set_version(*fleet->nodes[1], 3);
    fleet->run(seconds{10});
    UNSIGNED_LONGS_EQUAL(3, fleet->nodes[0]->version);
}

// Guards against requests in a tight loop to a peer that fails: each failure doubles the longest
// delay up to a limit, and only one request is in flight at a time.
TEST(dissemination, backs_off_after_failures) {
    seeded_random_source random(3);
    fetch_scheduler fetches(random, instant{});
    const node_id a("10.0.0.2:1");
    auto now = instant{} + seconds{2};
    CHECK_FALSE(fetches.next_request(now, no_peer).has_value());
    int requests = 0;
    for (int i = 0; i < 6'000; ++i) { // one minute
        now += milliseconds{10};
        fetches.record_peer_version(a, 2, now);
        if (fetches.next_request(now, no_peer)) {
            ++requests;
            CHECK_FALSE(fetches.next_request(now, no_peer).has_value());
            fetches.request_finished(a, false, now);
        }
    }
    CHECK(requests >= 5 && requests <= 25);
}

// Guards against a new node that is ready before two peers answered, that counts the answers of one
// peer twice, or that waits forever when peers fail.
TEST(dissemination, asks_two_peers_at_the_start) {
    seeded_random_source random(5);
    fetch_scheduler fetches(random, instant{});
    int next_peer = 0;
    const auto any = [&](const std::set<node_id>&) {
        return std::optional(node_id("10.0.0." + std::to_string(++next_peer) + ":1"));
    };
    auto now = instant{} + seconds{2};
    const auto first = fetches.next_request(now, any);
    const auto second = fetches.next_request(now, any);
    CHECK(first && second && first->from != second->from);
    CHECK_FALSE(fetches.next_request(now, any).has_value());
    fetches.record_peer_version(first->from, 3, now);
    fetches.request_finished(first->from, true, now);
    // The same peer announces a newer version, but the answers of one peer count once.
    fetches.record_peer_version(first->from, 4, now);
    CHECK_FALSE(fetches.start_completed());
    now += seconds{1};
    const auto third = fetches.next_request(now, any);
    CHECK(third && third->from != first->from);
    fetches.request_finished(second->from, true, now);
    CHECK(fetches.start_completed());

    fetch_scheduler failing_fetches(random, instant{});
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
        now += seconds{20};
        if (const auto request = failing_fetches.next_request(now, any)) {
            ++asked;
            failing_fetches.request_finished(request->from, false, now);
        }
    }
    CHECK(failing_fetches.start_completed());
    LONGS_EQUAL(8, asked);
}

// Guards against a mass restart in which all nodes send requests to one node or at the same time.
TEST(dissemination, spreads_the_requests_of_a_mass_restart) {
    fake_fleet fleet(36);
    for (std::size_t i = 0; i < 18; ++i) {
        fake_fleet::set_version(*fleet.nodes[i], 7);
    }
    fleet.list_all_nodes();
    fleet.run(seconds{12});
    UNSIGNED_LONGS_EQUAL(36, count_at_version(fleet, 7));
    for (const auto& [index, count] : fleet.answered_fetches) {
        CHECK(count <= 14);
    }
    for (const auto& [step, count] : fleet.started_fetches) {
        CHECK(count <= 6);
    }
    for (const auto& it : fleet.nodes) {
        CHECK(it->node.start_completed());
    }
}

// Guards against a key owner that regards its configuration as confirmed forever during a
// partition. Peers forward the time at which the platform confirmed the version and don't confirm
// each other.
TEST(dissemination, forwards_confirmations_of_the_platform_only) {
    const auto fleet = converged_fleet(6);
    CHECK(fleet->at(0).confirmed() == wall_time{});
    const auto when = fleet->clock.wall_now();
    fleet->at(2).confirm_by_platform(when);
    fleet->run(seconds{60});
    for (std::size_t i = 0; i < 6; ++i) {
        CHECK(fleet->at(i).confirmed() == when);
    }
    fake_fleet::set_version(*fleet->nodes[0], 2);
    CHECK(fleet->at(0).confirmed() == wall_time{});
}

// Guards against two different configurations with one version number that are not detected.
TEST(dissemination, counts_conflicting_digests) {
    const auto fleet = converged_fleet(3);
    UNSIGNED_LONGS_EQUAL(0, fleet->at(1).digest_conflicts());
    fleet->at(0).set_config(2, "one");
    fleet->at(1).set_config(2, "another");
    fleet->run(seconds{5});
    CHECK(fleet->at(1).digest_conflicts() > 0);
}
