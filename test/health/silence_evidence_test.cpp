#include "wigeonrill/health.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

// Target t took no connections from 500 to 2,000 ms.
TEST_GROUP(silence_evidence) {
    health::silence_evidence seen;
    target_id t{"t"};
    target_id other{"other"};

    static instant at(int ms) {
        return instant{} + seconds(100) + milliseconds(ms);
    }
    [[nodiscard]] bool shows_crash() const {
        return seen.shows_crash(t, at(500), at(2'000));
    }
};

// Guards against a machine without power that is never counted as crashed, because its next process
// accepts connections.
TEST(silence_evidence, target_that_answers_nobody_has_crashed) {
    seen.on_answer(t, at(400));
    seen.on_answer(other, at(1'000));
    seen.on_answer(t, at(2'500));
    CHECK_TRUE(shows_crash());
}

// Guards against marks for requests of a node whose own links were down.
TEST(silence_evidence, node_that_hears_no_target_may_be_cut_off) {
    CHECK_FALSE(shows_crash());
    seen.on_answer(other, at(400));
    seen.on_answer(other, at(2'100));
    seen.on_peer_success(other, at(1'000));
    CHECK_FALSE(shows_crash());
}

// Guards against marks because of the link between this node and one target.
TEST(silence_evidence, target_that_answers_another_node_has_not_crashed) {
    seen.on_answer(other, at(1'000));
    seen.on_peer_success(t, at(700));
    CHECK_TRUE(shows_crash());
    seen.on_peer_success(t, at(1'500));
    CHECK_FALSE(shows_crash());
}

// Guards against marks because of a target that takes no new connections while it serves others.
TEST(silence_evidence, target_that_answers_on_kept_connections_has_not_crashed) {
    seen.on_answer(other, at(1'000));
    seen.on_answer(t, at(550));
    CHECK_TRUE(shows_crash());
    seen.on_answer(t, at(1'900));
    CHECK_FALSE(shows_crash());
}
