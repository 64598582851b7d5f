#include "health_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::health;

namespace {

/// Sum of the evidence on one target in the reports to node x.
double evidence_in(const monitor_actions& actions, std::uint32_t target) {
    double sum = 0.0;
    for (const auto& it : actions.reports) {
        sum += it.to == node_id("x") && it.report.target == target_name(target) ? it.report.llr_sum
                                                                                : 0.0;
    }
    return sum;
}

} // namespace

/// One monitor, and a subject target whose aggregators are the nodes x and y.
TEST_GROUP(evidence) {
    fleet nodes{1, {}};
    std::uint32_t subject{0};

    void setup() override {
        const std::vector<fleet_node> live{{node_id("x"), domain_name("d1")},
                                           {node_id("y"), domain_name("d2")},
                                           {fleet::node_name(0), domain_name("d0")}};
        nodes.node(0).set_nodes(live);
        nodes.settle(20);
        const auto judged_by_x_and_y = [&] {
            const auto chosen = fleet_nodes(live).aggregators(target_name(subject));
            return chosen[0] != fleet::node_name(0) && chosen[1] != fleet::node_name(0);
        };
        while (!judged_by_x_and_y()) {
            ++subject;
        }
        // Reports the evidence from settle(), so that later reports contain new evidence only.
        nodes.tick_for(seconds(3));
    }

    double tick(milliseconds period = tick_period) {
        now_ += period;
        return evidence_in(nodes.node(0).tick(now_), subject);
    }
    answer ended(milliseconds latency, answer_kind kind = answer_kind::ok) {
        auto made = nodes.make_answer(subject, latency, kind);
        made.ended = now_ + tick_period;
        made.sent = made.ended - latency;
        return made;
    }
    instant now_{nodes.now() + seconds(4)};
};

// Guards against counting the waiting time of a request twice: while it is outstanding and again
// when its answer arrives.
TEST(evidence, counts_an_outstanding_request_once) {
    auto late = ended(milliseconds(400));
    nodes.node(0).on_answer(late);
    const double alone = tick(tick_period);
    CHECK(alone > 2.0);
    double parts = 0.0;
    for (int i = 1; i < 8; ++i) {
        nodes.outstanding(0, subject, milliseconds(50 * i), 77);
        parts += tick();
    }
    CHECK(parts > 2.0);
    late = ended(milliseconds(400));
    late.request = 77;
    nodes.node(0).on_answer(late);
    parts += tick();
    // The first answer moved the baseline slightly.
    DOUBLES_EQUAL(alone, parts, 0.25);
}

// Guards against a target that stays in use because it accepts requests and never answers.
TEST(evidence, ejects_a_target_that_hangs) {
    fleet many(4, {});
    many.settle(20);
    for (int i = 1; i < 17; ++i) {
        for (std::uint32_t node = 0; node < 4; ++node) {
            many.outstanding(node, 3, milliseconds(50 * i), 100 + node);
            many.send(node, 4);
            many.send(node, 5);
        }
        many.tick();
    }
    CHECK(many.state(0, 3) == target_state::sick);
    CHECK(many.state(0, 4) == target_state::healthy);
}

// Guards against evidence from attempts that say nothing about the health of the target.
TEST(evidence, ignores_sheds_and_cancelled_requests) {
    for (const auto kind : {answer_kind::shed, answer_kind::cancelled}) {
        for (int i = 0; i < 10; ++i) {
            nodes.node(0).on_answer(ended(milliseconds(900), kind));
        }
        DOUBLES_EQUAL(0.0, tick(), 1e-9);
    }
}

// Guards against ejecting targets because this process was paused and read their answers late.
TEST(evidence, discards_evidence_from_a_pause_of_this_process) {
    nodes.outstanding(0, subject, milliseconds(10), 5);
    DOUBLES_EQUAL(0.0, tick(), 1e-9);
    now_ += milliseconds(800);
    nodes.node(0).on_answer(ended(milliseconds(820)));
    nodes.outstanding(0, subject, milliseconds(860), 5);
    DOUBLES_EQUAL(0.0, tick(), 1e-9);
}

// Guards against evidence from the latency on a route that only one target serves, because there is
// no other target to compare it with.
TEST(evidence, needs_two_targets_to_compare_a_route) {
    for (int i = 0; i < 60; ++i) {
        auto made = ended(milliseconds(20));
        made.route = route_name("alone");
        nodes.node(0).on_answer(made);
    }
    CHECK(tick() < 0.0);
    auto slow = ended(milliseconds(2000));
    slow.route = route_name("alone");
    nodes.node(0).on_answer(slow);
    CHECK(tick() < 0.0);
}

// Guards against taking a target for slow because it serves an expensive route.
TEST(evidence, compares_an_answer_with_its_own_route) {
    for (int i = 0; i < 60; ++i) {
        auto made = nodes.make_answer(static_cast<std::uint32_t>(i % 10), milliseconds(400));
        made.route = route_name("expensive");
        made.ended = now_ + tick_period;
        made.sent = made.ended - milliseconds(400);
        nodes.node(0).on_answer(made);
        for (std::uint32_t target = 0; target < 4; ++target) {
            auto cheap = ended(usual_latency);
            cheap.target = target_name(target);
            nodes.node(0).on_answer(cheap);
        }
        (void)tick();
    }
    // Evidence in favor of a target is reported only when the report budget allows it.
    for (int i = 0; i < 100; ++i) {
        (void)tick();
    }
    auto usual = ended(milliseconds(400));
    usual.route = route_name("expensive");
    nodes.node(0).on_answer(usual);
    CHECK(tick() < 0.0);
}

// Guards against ejecting the targets that were crashed by one request.
TEST(evidence, counts_no_crash_that_a_request_causes_at_two_targets) {
    nodes.node(0).on_crash_mark(99, target_name(subject + 1), now_);
    auto death = ended(milliseconds(30), answer_kind::connection_lost);
    death.fingerprint = 99;
    nodes.node(0).on_answer(death);
    DOUBLES_EQUAL(0.0, tick(), 1e-9);
    death.fingerprint = 98;
    nodes.node(0).on_answer(death);
    CHECK(tick() > 3.0);
    // The second crash shows that the request was the cause, so the evidence of the first is taken
    // back.
    auto second = death;
    second.target = target_name(subject + 1);
    nodes.node(0).on_answer(second);
    CHECK(tick() < -3.0);
}

// Guards against ejecting all targets when the link of this node is broken.
TEST(evidence, reports_nothing_when_all_targets_fail_for_this_node) {
    // The other targets have failed before the subject does.
    for (int round = 0; round < 3; ++round) {
        for (std::uint32_t i = 0; i < 10; ++i) {
            if (i != subject) {
                auto made = ended(milliseconds(1), answer_kind::connect_failed);
                made.target = target_name(i);
                nodes.node(0).on_answer(made);
            }
        }
    }
    (void)tick();
    for (int i = 0; i < 10; ++i) {
        nodes.node(0).on_answer(ended(milliseconds(1), answer_kind::connect_failed));
    }
    DOUBLES_EQUAL(0.0, tick(), 1e-9);
    CHECK(nodes.state(0, subject) == target_state::healthy);
}
