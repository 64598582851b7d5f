#include "fake_fleet.h"

using namespace wigeonrill;
using namespace wigeonrill::peers;

TEST_GROUP(busy_fleet) {
    static constexpr std::size_t nodes = 94;
    fake_fleet fleet{nodes};
    std::vector<node_id> ids;

    void setup() override {
        fleet.list_all_nodes();
        fleet.run(seconds{10});
        for (std::size_t i = 0; i < nodes; ++i) {
            ids.push_back(fake_fleet::id(i));
        }
    }
    // Runs the fleet while each node announces three failed requests a second to all others, which
    // uses up its byte budget.
    void run_with_failures(seconds span) {
        constexpr milliseconds pause{100};
        const health::observation failure{service_name("status-desk"),
                                          target_id("i-5a38e2c1f0"),
                                          health::observation_kind::failed,
                                          -1,
                                          {}};
        for (milliseconds done{0}; done < span; done += pause) {
            for (std::size_t i = 0; i < nodes; ++i) {
                if ((i + static_cast<std::size_t>(done / pause)) % 3 == 0) {
                    fleet.at(i).announce({failure}, ids);
                }
            }
            fleet.run(pause);
        }
    }
    void announce_verdicts(std::size_t count) {
        const auto expires = fleet.clock.now() + seconds{55};
        for (std::size_t i = 0; i < count; ++i) {
            auto it = make_verdict(ids[i], "i-" + std::to_string(7'200'000'000 + i), 1, expires);
            it.service = service_name("status-desk");
            fleet.at(i).announce(it, {});
        }
    }
    std::size_t nodes_with_mark(const once::crash_mark& mark) const {
        return static_cast<std::size_t>(std::ranges::count_if(fleet.nodes, [&](const auto& it) {
            return std::ranges::any_of(it->marks, [&](const once::crash_mark& one) {
                return one.fingerprint == mark.fingerprint && one.target == mark.target;
            });
        }));
    }
};

// Guards against crash marks that find no room beside verdicts while the byte budget is used up.
TEST(busy_fleet, crash_mark_reaches_all_nodes_beside_verdicts_without_byte_budget) {
    announce_verdicts(20);
    run_with_failures(seconds{6});
    const once::crash_mark mark{99, target_id("i-720d8bb7f4"), fleet.clock.wall_now()};
    fleet.at(40).announce(mark);
    run_with_failures(seconds{3});
    UNSIGNED_LONGS_EQUAL(nodes - 1, nodes_with_mark(mark));
}

// Guards against the two marks that block a request if they wait behind marks of requests that
// were in flight when connections were reset.
TEST(busy_fleet, marks_that_block_a_request_do_not_wait_behind_others) {
    announce_verdicts(20);
    run_with_failures(seconds{6});
    const auto now = fleet.clock.wall_now();
    const once::crash_mark first{99, target_id("i-720d8bb7f4"), now};
    const once::crash_mark second{99, target_id("i-8b5c88a80c"), now};
    fleet.at(40).announce(first);
    fleet.at(70).announce(second);
    for (std::uint64_t i = 0; i < 300; ++i) {
        fleet.at(i % 30).announce({1'000 + i, target_id("i-0f669d28c1"), now});
    }
    run_with_failures(seconds{3});
    UNSIGNED_LONGS_EQUAL(nodes - 1, nodes_with_mark(first));
    UNSIGNED_LONGS_EQUAL(nodes - 1, nodes_with_mark(second));
}

// Guards against passing requests to nodes that reach no target either, and against leaving nodes
// unused that reach the targets again, while the byte budget is used up.
TEST(busy_fleet, all_nodes_know_which_nodes_are_cut_off) {
    announce_verdicts(20);
    run_with_failures(seconds{6});
    constexpr std::size_t cut_off = 60;
    const auto nodes_with_relays = [&](std::size_t count) {
        std::size_t n = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            n += fleet.at(i).relays().size() == count ? 1 : 0;
        }
        return n;
    };
    UNSIGNED_LONGS_EQUAL(nodes, nodes_with_relays(nodes - 1));
    for (std::size_t i = 0; i < cut_off; ++i) {
        fleet.at(i).announce_cut_off(true);
    }
    run_with_failures(seconds{2});
    UNSIGNED_LONGS_EQUAL(cut_off, nodes_with_relays(nodes - cut_off));
    UNSIGNED_LONGS_EQUAL(nodes - cut_off, nodes_with_relays(nodes - cut_off - 1));
    for (std::size_t i = 0; i < cut_off; ++i) {
        fleet.at(i).announce_cut_off(false);
    }
    run_with_failures(seconds{2});
    UNSIGNED_LONGS_EQUAL(nodes, nodes_with_relays(nodes - 1));
}
