#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

TEST_GROUP(detection){
    /// Adds answers of all targets, spread over the nodes. Those of the subject have the given kind
    /// in every n-th round.
    static void send_rounds(fleet & nodes, int rounds, milliseconds usual, std::uint32_t subject,
                            answer_kind kind, int every){
        for (int i = 0; i < rounds; ++i){for (std::uint32_t target = 0; target < 10; ++target){
            const auto node = (target + static_cast<std::uint32_t>(i)) % 4;
const bool bad = target == subject && i % every == 0;
nodes.send(node, target, usual, bad ? kind : answer_kind::ok);
}
nodes.tick();
}
}
static int sick_targets(const fleet& nodes) {
    int count = 0;
    for (std::uint32_t i = 0; i < 10; ++i) {
        count += nodes.state(0, i) == target_state::sick ? 1 : 0;
    }
    return count;
}
}
;

// Guards against a target that stays in use because its errors or invalid answers come fast.
TEST(detection, ejects_for_errors_and_for_invalid_answers) {
    for (const auto kind : {answer_kind::server_error, answer_kind::malformed}) {
        fleet nodes(4, {});
        nodes.settle();
        send_rounds(nodes, 24, usual_latency, 3, kind, 3);
        CHECK(nodes.state(0, 3) == target_state::sick);
        LONGS_EQUAL(1, sick_targets(nodes));
    }
}

// Guards against ejecting healthy targets when the whole service is slow.
TEST(detection, ejects_no_target_when_all_are_slow) {
    // Each of the twelve nodes receives few answers, but together they are much evidence.
    fleet nodes(12, {});
    nodes.settle();
    for (std::uint32_t i = 0; i < 600; ++i) {
        nodes.send(i % 12, i * 7 % 10, usual_latency * 10);
        nodes.tick(milliseconds(i % 4 == 0 ? 50 : 10));
    }
    LONGS_EQUAL(0, sick_targets(nodes));
}

// Guards against missing a target that is slower than the others during a shared slowdown.
TEST(detection, ejects_the_slowest_target_during_a_shared_slowdown) {
    fleet nodes(4, {});
    nodes.settle();
    send_rounds(nodes, 30, usual_latency * 3, 99, answer_kind::ok, 1);
    for (std::uint32_t i = 0; i < 30; ++i) {
        send_rounds(nodes, 1, usual_latency * 3, 99, answer_kind::ok, 1);
        nodes.send(i % 4, 5, usual_latency * 30);
    }
    CHECK(nodes.state(0, 5) == target_state::sick);
    LONGS_EQUAL(1, sick_targets(nodes));
}

// Guards against ejecting a new target for slow answers during its cold start, and against counting
// its slots as capacity before the cold start is over.
TEST(detection, tolerates_a_cold_start) {
    service_shape shape;
    fleet nodes(4, shape);
    nodes.settle();
    shape.targets = 11;
    shape.cold_start = seconds(5);
    nodes.configure(shape);
    for (int i = 0; i < 40; ++i) {
        nodes.send(static_cast<std::uint32_t>(i % 4), 10, usual_latency * 10);
        nodes.tick();
    }
    CHECK(nodes.state(0, 10) == target_state::warming);
    LONGS_EQUAL(60, nodes.node(0).plan(fleet::service()).slots_in_use);
    nodes.tick_for(seconds(4));
    CHECK(nodes.state(0, 10) == target_state::healthy);
    // A restarted target is given the same cold start.
    nodes.send(0, 10, milliseconds(1), answer_kind::connect_failed);
    nodes.tick();
    nodes.send(0, 10, usual_latency);
    nodes.tick();
    for (int i = 0; i < 20; ++i) {
        nodes.send(0, 10, usual_latency * 10);
        nodes.tick();
    }
    CHECK(nodes.state(0, 10) == target_state::healthy);
}

// Guards against capacity below the floor when the floor is raised while targets are ejected, and
// against requests to a target that is both ejected and leaving.
TEST(detection, applies_a_raised_floor_but_uses_no_leaving_target) {
    service_shape shape;
    shape.floor_slots = 48;
    fleet nodes(4, shape);
    nodes.settle();
    for (int i = 0; i < 16; ++i) {
        for (std::uint32_t node = 0; node < 4; ++node) {
            nodes.send(node, 2, usual_latency * 12);
            nodes.send(node, 7, usual_latency * 12);
        }
        send_rounds(nodes, 1, usual_latency, 99, answer_kind::ok, 1);
    }
    LONGS_EQUAL(2, sick_targets(nodes));
    CHECK(!nodes.is_used(0, 2) && !nodes.is_used(0, 7));
    nodes.node(0).on_leaving(target_name(2), {{0, any_registration}}, nodes.now());
    nodes.tick();
    CHECK(nodes.state(0, 2) == target_state::leaving);
    shape.floor_slots = 54;
    nodes.configure(shape);
    const auto plan = nodes.node(0).plan(fleet::service());
    CHECK(plan.slots_in_use >= 54);
    CHECK(nodes.is_used(0, 7) && !nodes.is_used(0, 2));
}
