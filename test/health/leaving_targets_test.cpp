#include "test/health/health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

namespace {

const target_id restarted("t2");

config::snapshot_ptr snapshot_with(const config::registration& registered, std::uint64_t version) {
    auto made = make_snapshot({config::health_weight::detection, 6});
    made.version = version;
    made.services.at(0).targets.at(2).registered = registered;
    return std::make_shared<const config::snapshot>(made);
}

} // namespace

TEST_GROUP(leaving_targets) {
    instant now{instant{} + seconds(100)};
    monitor node{{node_id("n0"), domain_name("d0")}};

    target_state state_with(const config::registration& registered, std::uint64_t version) {
        node.configure(snapshot_with(registered, version), now);
        return state();
    }
    target_state state() {
        now += tick_period;
        static_cast<void>(node.tick(now));
        return node.status(service_name("stock"), restarted).state;
    }
};

// Guards against a notice about a process that has ended, which kept the one that started under the
// same id out of use at every node that heard it later (review/5, FLOOR).
TEST(leaving_targets, notice_about_an_earlier_process_does_not_hold_for_the_present_one) {
    CHECK(target_state::healthy == state_with({2'000, 9}, 1));
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}}, now));
    CHECK(target_state::healthy == state());
}

// Guards against the same where the notice comes before the restart.
TEST(leaving_targets, process_that_starts_under_the_same_id_is_used_again) {
    CHECK(target_state::healthy == state_with({1'000, 5}, 1));
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}}, now));
    CHECK(target_state::leaving == state());
    CHECK(target_state::leaving == state_with({1'000, 8}, 2));
    CHECK(target_state::leaving != state_with({2'000, 9}, 3));
}

// Guards against losing a notice that arrives before the configuration with the target, as at a
// node that has just started.
TEST(leaving_targets, notice_holds_for_a_target_that_is_configured_later) {
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}}, now));
    CHECK(target_state::leaving == state_with({1'000, 5}, 1));
    CHECK(target_state::leaving != state_with({2'000, 9}, 2));
}

// Guards against a removed registration that comes back, and against one that is created later and
// stays unused.
TEST(leaving_targets, removed_registration_does_not_come_back) {
    CHECK(target_state::healthy == state_with({1'000, 5}, 1));
    CHECK(node.on_leaving(restarted, {{1'000, 5}, 20}, now));
    CHECK(target_state::leaving == state());
    CHECK(target_state::leaving != state_with({1'000, 6}, 2));
    CHECK_FALSE(node.on_leaving(restarted, {{1'000, 5}, 20}, now));
    CHECK(target_state::leaving != state());
}

// Guards against a result that depends on the order, repetition or delay in which configurations
// and notices reach a node. 200 seeded orders.
TEST(leaving_targets, order_of_news_does_not_matter) {
    const std::vector<leaving_notice> notices{{{1'000, any_registration}, 8},
                                              {{1'000, 5}, 7},
                                              {{2'000, any_registration}, 10},
                                              {{2'000, any_registration}, 11, false},
                                              {{2'000, 9}, 12}};
    const std::vector<std::pair<config::registration, bool>> last_configured{
        {{1'000, 5}, true}, {{2'000, 9}, true}, {{2'000, 11}, false}, {{3'000, 12}, false}};
    seeded_random_source random(7);
    for (int i = 0; i < 200; ++i) {
        const auto& [registered, leaves] = last_configured.at(random.next_below(4));
        monitor one{{node_id("n0"), domain_name("d0")}};
        std::set<std::size_t> heard;
        std::uint64_t version = 0;
        while (heard.size() < notices.size()) {
            const auto k = random.next_below(notices.size() + 1);
            if (k < notices.size()) {
                one.on_leaving(restarted, notices.at(k), now);
                heard.insert(k);
            } else {
                const auto& other = last_configured.at(random.next_below(4)).first;
                one.configure(snapshot_with(other, ++version), now);
            }
        }
        one.configure(snapshot_with(registered, ++version), now);
        static_cast<void>(one.tick(now + tick_period));
        const auto found = one.status(service_name("stock"), restarted).state;
        CHECK_EQUAL(leaves, found == target_state::leaving);
    }
}

// Guards against a target that took back that it leaves and stays unused, and against a late copy
// of that news. What the target says of itself counts until its process ends.
TEST(leaving_targets, process_that_does_not_leave_any_more_is_used_again) {
    CHECK(target_state::healthy == state_with({1'000, 5}, 1));
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}, 20}, now));
    CHECK(target_state::leaving == state());
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}, 22, false}, now));
    CHECK(target_state::healthy == state());
    CHECK_FALSE(node.on_leaving(restarted, {{1'000, any_registration}, 20}, now));
    CHECK(target_state::healthy == state());
    CHECK(node.on_leaving(restarted, {{1'000, any_registration}}, now));
    CHECK_FALSE(node.on_leaving(restarted, {{1'000, any_registration}, 24, false}, now));
    CHECK(target_state::leaving == state());
}

// Guards against a verdict that ejects the process which started after it was made.
TEST(leaving_targets, verdict_on_an_earlier_process_does_not_eject_the_present_one) {
    CHECK(target_state::healthy == state_with({2'000, 9}, 1));
    verdict received{
        service_name("stock"), restarted, target_state::sick, 20.0,
        node_id("n1"),         7,         now + seconds(30),  {1'000, any_registration}};
    node.on_verdict(received, now);
    CHECK(target_state::healthy == state());
    received.about.started_ms = 2'000;
    node.on_verdict(received, now);
    CHECK(target_state::sick == state());
}

// Guards against notices of builds that name no process: they hold for the configured one only.
TEST(leaving_targets, notice_without_a_process_holds_for_the_configured_one) {
    CHECK(target_state::healthy == state_with({1'000, 5}, 1));
    CHECK(node.on_leaving(restarted, {{0, any_registration}}, now));
    CHECK(target_state::leaving == state());
    CHECK(target_state::leaving != state_with({2'000, 9}, 2));
}
