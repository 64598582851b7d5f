#include "overload_simulation.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using test::overload_plan;
using test::overload_result;

namespace {

constexpr std::uint64_t seeds = 50;

overload_result run_new(const overload_plan& plan, std::uint64_t seed) {
    return test::overload_simulation(
               plan, [] { return std::make_unique<test::product_rule>(64); }, seed)
        .run();
}
overload_result run_old(const overload_plan& plan, std::uint64_t seed) {
    return test::overload_simulation(
               plan, [] { return std::make_unique<test::arrival_rule>(64); }, seed)
        .run();
}

void add(overload_result& sum, const overload_result& one) {
    for (std::size_t i = 0; i < sum.size(); ++i) {
        for (std::size_t k = 0; k < sum[i].size(); ++k) {
            auto& to = sum.at(i).at(k);
            const auto& from = one.at(i).at(k);
            to.asked += from.asked;
            to.served += from.served;
            to.prompt += from.prompt;
            to.refused += from.refused;
            to.waited += from.waited;
            to.held += from.held;
            to.held_for += from.held_for;
        }
    }
}

void print(const char* name, const overload_result& sum) {
    for (std::size_t k = 0; k < 2; ++k) {
        const auto& it = sum[test::during].at(k);
        const auto& later = sum[test::recovery].at(k);
        std::printf(
            "%s, kind %zu: asked %d, served %.3f, prompt %.3f, refused %d, %d held for %.0f ms, "
            "queued %d; 2 s after: served %.3f, prompt %.3f; later %.3f, %.3f\n",
            name, k, it.asked, it.share(), it.prompt_share(), it.refused, it.held,
            std::chrono::duration<double, std::milli>(it.held_for).count() / std::max(it.held, 1),
            it.waited, later.share(), later.prompt_share(), sum[test::after].at(k).share(),
            sum[test::after].at(k).prompt_share());
    }
}

// Least values over all seeds.
struct worst_values {
    double share_after{1.0};  ///< of all requests, 2 s after the trigger and later
    double urgent_lead{1.0};  ///< served share of the urgent kind less that of the other one
    double other_ratio{10.0}; ///< served share of the other kind relative to that of the urgent one
};

// Plays a plan with both rules and all seeds, and checks what holds for each seed.
std::pair<overload_result, overload_result> play(const char* name, const overload_plan& plan) {
    std::pair<overload_result, overload_result> sums;
    worst_values worst;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto one = run_new(plan, seed);
        add(sums.first, one);
        add(sums.second, run_old(plan, seed));
        const auto& later = one[test::after];
        worst.share_after = std::min(worst.share_after, 1.0 * (later[0].served + later[1].served) /
                                                            (later[0].asked + later[1].asked));
        const auto& [urgent, other] = one[test::during];
        worst.urgent_lead = std::min(worst.urgent_lead, urgent.share() - other.share());
        worst.other_ratio = std::min(worst.other_ratio, other.share() / urgent.share());
    }
    std::printf("\n");
    print((std::string(name) + ", by urgency").c_str(), sums.first);
    print((std::string(name) + ", by arrival").c_str(), sums.second);
    std::printf("%s, worst seed: later served %.3f; urgent lead %.3f, ratio %.3f\n", name,
                worst.share_after, worst.urgent_lead, worst.other_ratio);
    // Before the trigger all requests are served.
    CHECK(worst.share_after >= 0.98);
    if (plan.priorities[0] != plan.priorities[1]) {
        CHECK(worst.urgent_lead >= -0.05);
        CHECK(worst.other_ratio >= 0.25);
        CHECK(sums.first[test::during][0].prompt_share() >
              sums.second[test::during][0].prompt_share());
    }
    return sums;
}

} // namespace

TEST_GROUP(overload_replay){};

// Guards against a burst in which urgent requests are refused like all others, and after which the
// queues stay long.
TEST(overload_replay, burst_of_two_and_a_half_times) {
    overload_plan plan;
    plan.arrivals_factor = 2.5;
    const auto [now, old] = play("burst", plan);
    CHECK(now[test::during][0].share() > old[test::during][0].share());
    CHECK(now[test::recovery][0].prompt_share() > old[test::recovery][0].prompt_share());
}

// Guards against callers that send each request three times and so keep up the overload.
TEST(overload_replay, three_sends_of_each_request) {
    overload_plan plan;
    plan.sends = 3;
    play("sends", plan);
}

// Guards against the loss of half of the room, with urgent requests waiting behind others.
TEST(overload_replay, half_of_the_room) {
    overload_plan plan;
    plan.slots_factor = 0.5;
    const auto [now, old] = play("half", plan);
    CHECK(now[test::during][0].share() > old[test::during][0].share());
}

// Guards against the starving of the less urgent kind when the urgent one alone needs all the room.
TEST(overload_replay, urgent_requests_need_all_the_room) {
    overload_plan plan;
    plan.arrivals_factor = 2.5;
    plan.urgent_share = 0.9;
    play("urgent", plan);
}

// Guards against a change of services with one priority while they have room, and against a burst
// that makes all their requests late.
TEST(overload_replay, one_priority) {
    overload_plan plan;
    plan.arrivals_factor = 2.5;
    plan.priorities = {1, 1};
    const auto [now, old] = play("one", plan);
    for (std::size_t k = 0; k < 2; ++k) {
        CHECK(now[test::before].at(k).share() >= old[test::before].at(k).share());
        CHECK(now[test::before].at(k).prompt_share() >= old[test::before].at(k).prompt_share());
        CHECK(now[test::during].at(k).prompt_share() > old[test::during].at(k).prompt_share());
    }
}

TEST_GROUP(waiting_room){};

// Guards against refusing requests before anything was measured.
TEST(waiting_room, without_a_measurement_all_requests_wait) {
    admission::waiting_room room;
    room.set_limit(50);
    const instant now{seconds(100)};
    for (std::uint64_t id = 1; id <= 50; ++id) {
        const admission::urgency how{0, now, now + milliseconds(10), now + milliseconds(20), {}};
        CHECK(room.offer(id, how, now).decision == admission::waiting_room::entry::waits);
    }
    CHECK(room.remove_hopeless(now + milliseconds(19)).empty());
    LONGS_EQUAL(50, room.size());
}
