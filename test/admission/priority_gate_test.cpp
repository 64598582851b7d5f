#include "wigeonrill/admission.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using admission::priority_gate;

namespace {

constexpr instant start{seconds(100)};

priority_gate make_gate(std::uint32_t priorities) {
    priority_gate gate;
    for (std::uint32_t i = 0; i < priorities; ++i) {
        gate.on_request(i, start);
    }
    return gate;
}

// Takes steps at a level and returns the time after the last one.
instant take_steps(priority_gate& gate, double level, int steps, instant from) {
    for (int i = 0; i < steps; ++i) {
        gate.update(level, from);
        from += priority_gate::step_interval;
    }
    return from;
}

} // namespace

TEST_GROUP(priority_gate){};

// Guards against refusing urgent requests while less urgent ones are taken, and against refusing
// the most urgent ones, for which there is nothing to make room.
TEST(priority_gate, least_urgent_priorities_are_turned_away_first) {
    auto gate = make_gate(3);
    auto now = take_steps(gate, 1.3, 1, start);
    CHECK_TRUE(gate.turns_away(2));
    CHECK_FALSE(gate.turns_away(1));
    now = take_steps(gate, 1.0, 5, now); // between the thresholds nothing changes
    CHECK_TRUE(gate.turns_away(2));
    CHECK_FALSE(gate.turns_away(1));
    take_steps(gate, 9.0, 10, now);
    CHECK_TRUE(gate.turns_away(1));
    CHECK_FALSE(gate.turns_away(0));
}

// Guards against a change of the service where all requests are of one kind, and against taking
// steps on a level that isn't known.
TEST(priority_gate, one_priority_or_no_level_turns_nothing_away) {
    auto one = make_gate(1);
    take_steps(one, 9.0, 10, start);
    CHECK_FALSE(one.turns_away(0));
    auto many = make_gate(4);
    take_steps(many, 0.0, 10, start);
    CHECK_FALSE(many.is_closed());
    // The other priorities were last used too long ago.
    auto left = make_gate(2);
    left.on_request(1, start + priority_gate::in_use_for + seconds(1));
    left.update(9.0, start + priority_gate::in_use_for + seconds(1));
    CHECK_FALSE(left.is_closed());
}

// Guards against turning requests away for more than a second after a burst.
TEST(priority_gate, all_priorities_are_taken_within_a_second_after_a_burst) {
    auto gate = make_gate(40);
    auto now = take_steps(gate, 9.0, 39, start);
    CHECK_TRUE(gate.turns_away(1));
    now = take_steps(gate, 0.5, 9, now);
    CHECK_FALSE(gate.is_closed());
}

TEST_GROUP(serving_turns){};

// Guards against starving less urgent requests, and against serving them more often than others.
TEST(serving_turns, less_urgent_priorities_get_a_bounded_share) {
    admission::serving_turns turns;
    std::array<int, 3> places{};
    for (int i = 0; i < 1'000; ++i) {
        const auto due = turns.next(3);
        ++places.at(due);
        turns.on_served(due, due, 3);
    }
    LONGS_EQUAL(800, places[0]);
    LONGS_EQUAL(160, places[1]);
    LONGS_EQUAL(40, places[2]);
}

// Guards against losing the turn of a request that can't use the target which became free.
TEST(serving_turns, a_turn_that_was_not_used_stays_due) {
    admission::serving_turns turns;
    for (int i = 0; i < 4; ++i) {
        turns.on_served(0, 0, 2);
    }
    LONGS_EQUAL(1, turns.next(2));
    turns.on_served(1, 0, 2);
    LONGS_EQUAL(1, turns.next(2));
    LONGS_EQUAL(0, turns.next(1));
}

TEST_GROUP(served_shares){};

// Guards against refusing nearly all requests of a priority, and against a place for it while more
// urgent requests are served less often.
TEST(served_shares, a_priority_yields_only_while_it_is_served_often_enough) {
    admission::served_shares shares;
    CHECK_TRUE(shares.may_yield(2, start));
    for (int i = 0; i < 50; ++i) {
        shares.on_served(1, start);
        shares.on_refused(2, start);
    }
    CHECK_FALSE(shares.may_yield(2, start));
    CHECK_TRUE(shares.may_yield(1, start));
    CHECK_TRUE(shares.may_pass(2, 1, start));
    CHECK_FALSE(shares.may_pass(1, 2, start));
    // What happened long ago doesn't count.
    CHECK_TRUE(shares.may_yield(2, start + std::chrono::minutes(2)));
}
