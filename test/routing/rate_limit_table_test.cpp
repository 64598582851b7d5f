#include "wigeonrill/routing.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using routing::rate_limit_table;

TEST_GROUP(rate_limit_table) {
    static constexpr std::size_t node_count = 36;
    const target_id target{"t1"};
    const instant start{seconds(1'000)};
    const wall_time wall{std::chrono::hours(500'000)};
    seeded_random_source random{1};

    static node_id name_of(std::size_t node) {
        return node_id("node-" + std::to_string(node));
    }
    std::unique_ptr<rate_limit_table> make_table(std::size_t self, std::size_t nodes = node_count) {
        auto table = std::make_unique<rate_limit_table>(random);
        std::vector<node_id> others;
        for (std::size_t i = 0; i < nodes; ++i) {
            if (i != self) {
                others.push_back(name_of(i));
            }
        }
        table->set_nodes(name_of(self), others, start);
        return table;
    }
    health::answer answer(std::optional<double> per_second, instant sent) const {
        health::answer made;
        made.target = target;
        made.sent = sent;
        made.ended = sent + milliseconds(500);
        made.rate_limit.per_second = per_second;
        return made;
    }
    health::rate_limit notice(std::optional<double> per_second, std::uint64_t sequence) const {
        return {service_name("s"), target, per_second, sequence,
                start + rate_limit_table::lifetime};
    }
    /// Returns the number of requests that a node can send within a time.
    int sends(rate_limit_table & table, instant from, seconds time) const {
        int n = 0;
        for (auto now = from; now < from + time; now += milliseconds(10)) {
            if (table.can_send(target, now)) {
                table.on_send(target, now);
                ++n;
            }
        }
        return n;
    }
};

// Guards against nodes that each take a whole limit, and against a limit of which a part has no
// node.
TEST(rate_limit_table, divides_the_limit_among_the_nodes) {
    for (const double per_second : {0.0, 0.2, 1.0, 1.3, 10.0, 100.0}) {
        double sum = 0.0;
        std::size_t senders = 0;
        for (std::size_t i = 0; i < node_count; ++i) {
            auto table = make_table(i);
            CHECK(table->on_notice(notice(per_second, 1), start));
            sum += table->share_of(target);
            senders += table->share_of(target) > 0.0 ? 1 : 0;
        }
        DOUBLES_EQUAL(std::max(per_second, 0.1), sum, 1e-6);
        CHECK(senders <= routing::max_rate_limit_senders(per_second));
    }
}

// Guards against a burst by all senders when a limit begins, and after a pause.
TEST(rate_limit_table, all_nodes_together_send_no_burst) {
    int at_start = 0;
    int after_pause = 0;
    for (std::size_t i = 0; i < node_count; ++i) {
        auto table = make_table(i);
        CHECK(table->on_notice(notice(1.0, 1), start));
        at_start += sends(*table, start, seconds(4));
        after_pause += sends(*table, start + seconds(15), seconds(4));
    }
    CHECK(at_start <= 11);
    CHECK(after_pause <= 11);
    CHECK(at_start >= 2);
    CHECK(after_pause >= 4);
}

// Guards against a node that stops and doubles the share of the others, although it may only be out
// of this node's reach, and against a node that stays without a share alone.
TEST(rate_limit_table, single_node_has_the_whole_limit) {
    auto table = make_table(0, 1);
    CHECK(table->on_notice(notice(1.5, 1), start));
    DOUBLES_EQUAL(1.5, table->share_of(target), 1e-9);
}

// Guards against a limit that ends because of an answer to an older request or an error, and
// against one that outlives the target's statement.
TEST(rate_limit_table, ends_with_a_success_to_a_later_request) {
    auto table = make_table(0, 1);
    CHECK(table->on_answer(answer(1.0, start), wall).has_value());
    CHECK_TRUE(table->is_limited(target));
    CHECK_FALSE(table->on_answer(answer({}, start), wall).has_value());
    auto error = answer({}, start + seconds(1));
    error.kind = health::answer_kind::server_error;
    CHECK_FALSE(table->on_answer(error, wall).has_value());
    auto unreadable = answer({}, start + seconds(1));
    unreadable.rate_limit.is_unreadable = true;
    CHECK_FALSE(table->on_answer(unreadable, wall).has_value());
    CHECK_TRUE(table->is_limited(target));
    const auto ended = table->on_answer(answer({}, start + seconds(1)), wall);
    CHECK(ended.has_value() && !ended->per_second);
    CHECK_FALSE(table->is_limited(target));
    CHECK_TRUE(table->can_send(target, start + seconds(1)));
}

// Guards against a message for each answer of a limited target, and against a limit that lapses
// although the target goes on stating it.
TEST(rate_limit_table, repeats_a_notice_before_it_expires) {
    auto table = make_table(0, 1);
    const auto first = table->on_answer(answer(1.0, start), wall);
    CHECK(first.has_value());
    CHECK_FALSE(table->on_answer(answer(1.0, start + seconds(10)), wall).has_value());
    const auto again = table->on_answer(answer(1.0, start + seconds(20)), wall);
    CHECK(again.has_value() && again->sequence > first->sequence);
    table->expire(start + seconds(45));
    CHECK_TRUE(table->is_limited(target));
}

// Guards against a limited target that gets a burst from all nodes, or nothing for good, when no
// node hears from those that were chosen to send to it.
TEST(rate_limit_table, limit_that_is_not_stated_again_is_tried_by_every_node) {
    double sum = 0.0;
    int sent = 0;
    for (std::size_t i = 0; i < node_count; ++i) {
        auto table = make_table(i);
        CHECK(table->on_notice(notice(4.0, 1), start));
        const auto later = start + rate_limit_table::lifetime;
        table->expire(later);
        CHECK(table->share_of(target) > 0.0);
        sum += table->share_of(target);
        sent += sends(*table, later + seconds(4), seconds(4));
        table->expire(start + rate_limit_table::memory);
        CHECK_FALSE(table->is_limited(target));
    }
    DOUBLES_EQUAL(2.0, sum, 1e-6);
    CHECK(sent <= 29);
}

// Guards against an older notice that replaces a newer one, also from a node whose clock is behind.
TEST(rate_limit_table, keeps_the_latest_notice) {
    auto table = make_table(0, 1);
    CHECK(table->on_notice(notice(2.0, 5), start));
    CHECK_FALSE(table->on_notice(notice(1.0, 4), start));
    CHECK_FALSE(table->on_notice(notice({}, 5), start));
    CHECK(table->on_notice(notice(1.0, 5), start));
    DOUBLES_EQUAL(1.0, table->share_of(target), 1e-9);
    const auto lower = table->on_answer(answer(0.5, start), wall_time{});
    CHECK(lower.has_value() && lower->sequence == 6);
    auto expired = notice(3.0, 9);
    expired.expires = start;
    CHECK_FALSE(table->on_notice(expired, start));
}
