#include "wigeonrill/once.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using once::begin_outcome;
using once::key_state;

TEST_GROUP(dedup_table) {
    once::dedup_table table{2, 100'000};
    once::dedup_key key{"workspace a", "k"};
    instant now{};

    void run(const once::dedup_key& which, key_state state, std::size_t bytes) {
        CHECK(table.begin(which, 1, now) == begin_outcome::run);
        table.on_send(which);
        table.finish(which, state, {std::make_shared<int>(1), bytes}, now);
    }
};

// Guards against a second run while the first one is queued or sent, and after it was answered.
TEST(dedup_table, second_request_waits_or_gets_the_answer) {
    CHECK(table.begin(key, 1, now) == begin_outcome::run);
    CHECK(table.begin(key, 1, now) == begin_outcome::wait);
    table.on_send(key);
    CHECK(table.begin(key, 1, now) == begin_outcome::wait);
    table.finish(key, key_state::done, {std::make_shared<int>(1), 10}, now);
    CHECK(table.begin(key, 1, now) == begin_outcome::replay);
    CHECK(table.answer(key).content != nullptr);
}

// Guards against sending a stored answer to a different request, and against sharing an entry
// between two workspaces.
TEST(dedup_table, distinguishes_requests_and_workspaces) {
    run(key, key_state::done, 10);
    CHECK(table.begin(key, 2, now) == begin_outcome::fingerprint_mismatch);
    CHECK(table.begin({"workspace b", "k"}, 1, now) == begin_outcome::run);
}

// Guards against a second run of a request that may have run, and against refusing one forever that
// was not run.
TEST(dedup_table, only_a_key_that_was_not_run_runs_again) {
    run(key, key_state::unknown, 0);
    CHECK(table.begin(key, 1, now) == begin_outcome::unknown);
    const once::dedup_key other{"workspace a", "l"};
    CHECK(table.begin(other, 1, now) == begin_outcome::run);
    table.on_send(other);
    table.on_not_sent(other);
    table.finish(other, key_state::not_run, {}, now);
    CHECK(table.begin(other, 1, now) == begin_outcome::run);
}

// Guards against unbounded memory, and against dropping an entry early to make room.
TEST(dedup_table, entries_and_answers_are_bounded) {
    run(key, key_state::done, 65'536);
    run({"workspace a", "l"}, key_state::done, 65'536); // together above the limit of 100,000 bytes
    CHECK(table.begin({"workspace a", "l"}, 1, now) == begin_outcome::answer_not_kept);
    CHECK(table.begin({"workspace a", "m"}, 1, now) == begin_outcome::table_full);
    CHECK(table.begin(key, 1, now) == begin_outcome::replay);
    CHECK_EQUAL(65'536U, table.answer_bytes());
}

// Guards against keeping an answer above 64 KB.
TEST(dedup_table, large_answers_are_not_kept) {
    run(key, key_state::done, 65'537);
    CHECK(table.begin(key, 1, now) == begin_outcome::answer_not_kept);
}

// Guards against an entry that is dropped early, never, or while its request runs.
TEST(dedup_table, entries_are_kept_for_the_retention) {
    table.set_retention(seconds(604));
    run(key, key_state::done, 10);
    const once::dedup_key running{"workspace a", "l"};
    CHECK(table.begin(running, 1, now) == begin_outcome::run);
    now += seconds(604);
    CHECK(table.begin(key, 1, now) == begin_outcome::replay);
    now += seconds(1);
    CHECK_FALSE(table.state(key, now).has_value());
    CHECK(table.state(running, now) == key_state::queued);
    CHECK(table.begin(running, 1, now) == begin_outcome::wait);
    CHECK_EQUAL(1U, table.size());
    CHECK_EQUAL(0U, table.answer_bytes());
    // For a key as old as the dropped entry, a missing entry no longer proves that it is new.
    CHECK(table.known_history(now) == seconds(605));
}
