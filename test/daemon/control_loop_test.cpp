#include "control_loop_group.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;

namespace {

std::string document(int version, int floor) {
    std::string targets;
    for (const std::string n : {"1", "2", "3", "4"}) {
        targets.append(targets.empty() ? "" : ",")
            .append(R"("stock-)")
            .append(n)
            .append(R"(": {"address": "10.0.0.)")
            .append(n)
            .append(R"(:80", "domain": "d)")
            .append(n)
            .append(R"(", "slots": 6, "cold_start": "0s"})");
    }
    return R"({"format": 1, "version": )" + std::to_string(version) +
           R"(, "published": "2026-12-04T08:00:00Z", "services": {"stock": {"floor_slots": )" +
           std::to_string(floor) + R"(, "weight": "detection", "targets": {)" + targets +
           R"(}}}, "routes": {"lookup": {"service": "stock", "repeat": "idempotent"}}})";
}

config::change_set changes(int version, int floor = 6) {
    auto split = config::split_document(document(version, floor), "test");
    CHECK(split.has_value());
    return std::move(*split);
}

} // namespace

TEST_GROUP_BASE(control_loop, test::control_loop_group) {
    service_name stock{"stock"};

    void tick() {
        clock.advance(control_loop::tick_period);
        loop.run_once();
    }
    void answer(int target, milliseconds latency) {
        health::answer it;
        it.service = stock;
        it.target = target_id("stock-" + std::to_string(target));
        it.route = route_name("lookup");
        it.sent = clock.now() - latency;
        it.ended = clock.now();
        events.on_answer(it);
    }
    const target_row row(int target) const {
        return loop.targets().at(target - 1);
    }
};

// Guards against a return to an older configuration version that arrives after a newer one.
TEST(control_loop, never_goes_back_to_an_older_version) {
    CHECK(config::apply_outcome::accepted == loop.apply_changes(changes(3), "platform"));
    CHECK(config::apply_outcome::not_newer == loop.apply_changes(changes(2), "peer"));
    UNSIGNED_LONGS_EQUAL(3, loop.state()->configuration->version);
}

// Guards against an invalid version that removes the configuration in force or blocks the next one.
TEST(control_loop, skips_an_invalid_version_between_two_valid_ones) {
    CHECK(config::apply_outcome::accepted == loop.apply_changes(changes(1), "platform"));
    constexpr int more_than_all_slots = 100;
    CHECK(config::apply_outcome::rejected ==
          loop.apply_changes(changes(2, more_than_all_slots), "platform"));
    UNSIGNED_LONGS_EQUAL(1, loop.state()->configuration->version);
    CHECK(config::apply_outcome::accepted == loop.apply_changes(changes(3), "platform"));
    UNSIGNED_LONGS_EQUAL(3, loop.state()->configuration->version);
}

// Guards against answers that don't reach the detector of slow targets, and against ejections that
// don't reach the routing view of the traffic threads.
TEST(control_loop, ejects_a_slow_target_from_the_view) {
    static_cast<void>(loop.apply_changes(changes(1), "platform"));
    tick();
    for (int i = 0; i < 60; ++i) {
        for (int target = 1; target <= 4; ++target) {
            answer(target, milliseconds(20 + (i * 7 + target * 3) % 11));
        }
        tick();
    }
    CHECK(row(1).eligible);
    for (int i = 0; i < 20; ++i) {
        answer(1, milliseconds(400));
        for (int target = 2; target <= 4; ++target) {
            answer(target, milliseconds(20 + (i * 7 + target * 3) % 11));
        }
        tick();
    }
    CHECK(health::target_state::sick == row(1).status.state);
    CHECK_FALSE(row(1).eligible);
    CHECK(row(2).eligible);
}

// Guards against a target that stays ejected although a new version raises the floor so that its
// slots are needed.
TEST(control_loop, keeps_a_sick_target_when_the_floor_is_raised) {
    static_cast<void>(loop.apply_changes(changes(1), "platform"));
    tick();
    for (int i = 0; i < 80; ++i) {
        answer(1, milliseconds(i < 60 ? 22 : 400));
        for (int target = 2; target <= 4; ++target) {
            answer(target, milliseconds(20 + (i * 7 + target * 3) % 11));
        }
        tick();
    }
    CHECK_FALSE(row(1).eligible);
    constexpr int all_slots = 24;
    static_cast<void>(loop.apply_changes(changes(2, all_slots), "platform"));
    tick();
    CHECK(row(1).eligible);
    CHECK(row(1).kept_for_floor);
}

// Guards against a crash mark that leaves no trace in the log.
TEST(control_loop, logs_crash_marks) {
    events.on_crash_mark({0xab12, target_id("stock-1"), clock.wall_now()});
    tick();
    const auto lines = log.lines();
    CHECK(std::ranges::any_of(lines, [](const auto& it) {
        return it.find("fingerprint=000000000000ab12 target=stock-1 source=connection") !=
               std::string::npos;
    }));
}
