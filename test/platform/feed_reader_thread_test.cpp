#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;
using namespace std::chrono_literals;

namespace {

/// Registration of a target of the service "print".
feed_record registration(std::uint64_t revision) {
    target_registration it;
    it.target.id = target_id("a");
    it.target.address = *parse_endpoint("10.0.0.1:1");
    it.service = service_name("print");
    return {"targets/a", revision, it};
}

/// Rules with the service "print" and no routes.
feed_record rules() {
    operator_rules it;
    it.services = {service_name("print")};
    return {"rules", 1, it};
}

/// Store of a rules record and one target, whose state a test sets.
class scripted_feed final : public record_feed {
public:
    result<feed_page> list() override {
        const std::lock_guard lock(mutex_);
        ++lists_;
        ++calls_;
        return fails_ ? failure() : feed_page{revision_, {rules(), registration(2)}, era_, 700};
    }
    result<feed_page> changes_since(std::uint64_t, milliseconds) override {
        const std::lock_guard lock(mutex_);
        ++calls_;
        return fails_ ? failure() : feed_page{revision_, std::exchange(changes_, {}), era_, 70};
    }
    void interrupt() override {}

    void set_failing(bool fails) {
        const std::lock_guard lock(mutex_);
        fails_ = fails;
    }
    void remove_target() {
        const std::lock_guard lock(mutex_);
        changes_.push_back({"targets/a", ++revision_, deleted_record{}});
    }
    int calls() {
        const std::lock_guard lock(mutex_);
        return calls_;
    }

    void set(std::uint64_t era, std::uint64_t revision) {
        const std::lock_guard lock(mutex_);
        era_ = era;
        revision_ = revision;
    }
    int lists() {
        const std::lock_guard lock(mutex_);
        return lists_;
    }

private:
    static result<feed_page> failure() {
        return failed(error_kind::unavailable, "the store is down", "wait");
    }

    std::mutex mutex_;
    bool fails_{false};
    std::vector<feed_record> changes_;
    int calls_{0};
    std::uint64_t era_{1};
    std::uint64_t revision_{50};
    int lists_{0};
};

constexpr std::uint64_t versions_per_revision = 2'048;

/// Store behind a slow link: an answer with more than one version of the rules doesn't arrive in
/// time.
class slow_feed final : public record_feed {
public:
    result<feed_page> list() override {
        if (silence_ > 0) {
            return silent();
        }
        const std::lock_guard lock(mutex_);
        return feed_page{revision_, {rules_at(revision_)}, 1};
    }
    result<feed_page> changes_since(std::uint64_t revision, milliseconds) override {
        if (silence_ > 0) {
            return silent();
        }
        const std::lock_guard lock(mutex_);
        if (revision_ > revision + 1) {
            ++late_answers_;
            return failed(error_kind::timed_out, "the store did not answer in time", "wait");
        }
        feed_page page{revision_, {}, 1};
        if (revision_ > revision) {
            page.records.push_back(rules_at(revision_));
        }
        return page;
    }
    void interrupt() override {}

    void publish(std::uint64_t versions) {
        const std::lock_guard lock(mutex_);
        revision_ += versions;
    }
    int late_answers() {
        const std::lock_guard lock(mutex_);
        return late_answers_;
    }
    /// Makes later calls take this long and fail.
    void set_silent_for(milliseconds duration) { silence_ = duration.count(); }

private:
    result<feed_page> silent() const {
        std::this_thread::sleep_for(milliseconds(silence_));
        return failed(error_kind::timed_out, "the store did not answer in time", "wait");
    }
    static feed_record rules_at(std::uint64_t revision) {
        operator_rules it;
        it.version = revision;
        it.services = {service_name("print")};
        return {"rules", revision, it};
    }

    std::mutex mutex_;
    std::uint64_t revision_{50};
    int late_answers_{0};
    std::atomic<milliseconds::rep> silence_{0};
};

} // namespace

TEST_GROUP(feed_reader_thread) {
    scripted_feed feed;
    slow_feed slow_store;
    system_clock_source clock;
    seeded_random_source random{1};
    std::mutex mutex;
    store_reading latest;

    store_reading last_reading() {
        const std::lock_guard lock(mutex);
        return latest;
    }
    bool waits_for(const std::function<bool(const store_reading&)>& expected) {
        for (int i = 0; i < 300; ++i) {
            if (expected(last_reading())) {
                return true;
            }
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }
};

// Guards against adding changes of a restored store to records from before, which lack what the
// store has lost, and against content of a store that is older than the one read before.
TEST(feed_reader_thread, lists_all_records_in_a_new_era_and_refuses_an_older_one) {
    feed_reader_thread reader({}, {}, feed, clock, random, [this](const store_reading& it) {
        const std::lock_guard lock(mutex);
        latest = it;
    });
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 50; }));
    const auto lists_before = feed.lists();
    feed.set(2, 60);
    CHECK_TRUE(waits_for([](const store_reading& it) { return era_of(it.version) == 2; }));
    LONGS_EQUAL(lists_before + 1, feed.lists());
    LONGS_EQUAL(60, last_reading().as_of);
    feed.set(1, 70);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.failure.has_value(); }));
    LONGS_EQUAL(60, last_reading().as_of);
}

// Guards against a node that asks for the same changes again and again, which never arrive in time
// because each has the whole configuration. 2.5 s is the time within which a change must be in
// force.
TEST(feed_reader_thread, changes_that_do_not_arrive_in_time_are_not_asked_for_again) {
    feed_reader_thread reader({}, {}, slow_store, clock, random, [this](const store_reading& it) {
        const std::lock_guard lock(mutex);
        latest = it;
    });
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 50; }));
    const auto published = clock.now();
    slow_store.publish(4);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 54; }));
    CHECK(clock.now() - published < 2'500ms);
}

// Guards against asking for all versions of the configuration since this node's last call, after
// its peers have read later.
TEST(feed_reader_thread, lists_all_records_after_peers_have_read_newer_rules) {
    read_schedule_settings seldom;
    seldom.takeover_age = seldom.max_age = 400ms;
    feed_reader_thread reader(seldom, {}, slow_store, clock, random,
                              [this](const store_reading& it) {
                                  const std::lock_guard lock(mutex);
                                  latest = it;
                              });
    reader.set_rank(5);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 50; }));
    reader.mark_up_to_date(clock.now());
    auto in_force = std::make_shared<config::snapshot>(*last_reading().configuration);
    in_force->version += 4 * versions_per_revision;
    in_force->rules_version = 54;
    slow_store.publish(4);
    reader.set_configuration_in_force(in_force);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 54; }));
    CHECK_TRUE(last_reading().call.lists_all);
    LONGS_EQUAL(0, slow_store.late_answers());
}

// Guards against a node that takes the store to be in an outage, and so keeps targets that are
// gone, because its own call is slow while its peers read the store.
TEST(feed_reader_thread, readings_by_peers_during_a_call_show_that_there_is_no_outage) {
    const inventory_options options{.outage_time = 300ms};
    std::atomic<int> outages{0};
    std::atomic<int> failures{0};
    feed_reader_thread reader({}, options, slow_store, clock, random, [&](const store_reading& it) {
        for (const auto& note : it.notes) {
            outages += note.what.rfind("The store answers no node", 0) == 0 ? 1 : 0;
        }
        failures += it.failure ? 1 : 0;
        const std::lock_guard lock(mutex);
        latest = it;
    });
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 50; }));
    slow_store.set_silent_for(400ms);
    for (int i = 0; i < 500 && failures < 2; ++i) {
        reader.mark_up_to_date(clock.now());
        std::this_thread::sleep_for(5ms);
    }
    CHECK(failures >= 2);
    LONGS_EQUAL(0, outages.load());
}

// Guards against log lines that don't tell how much a call to the store had to bring, and from
// where.
TEST(feed_reader_thread, tells_what_a_call_asked_for) {
    feed_reader_thread reader({}, {}, feed, clock, random, [this](const store_reading& it) {
        const std::lock_guard lock(mutex);
        latest = it;
    });
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.call.lists_all; }));
    LONGS_EQUAL(2, last_reading().call.records);
    LONGS_EQUAL(700, last_reading().call.bytes);
    CHECK_TRUE(waits_for([](const store_reading& it) { return !it.call.lists_all; }));
    LONGS_EQUAL(50, last_reading().call.since);
    LONGS_EQUAL(70, last_reading().call.bytes);
}

// Guards against calling a failing store again and again without a pause, while a target that
// lapsed in an earlier outage is due to be removed.
TEST(feed_reader_thread, pauses_between_failed_calls_while_a_lapsed_target_is_due) {
    const inventory_options options{.return_time = 300ms, .outage_time = 50ms};
    feed_reader_thread reader({}, options, feed, clock, random, [this](const store_reading& it) {
        const std::lock_guard lock(mutex);
        latest = it;
    });
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.configuration != nullptr; }));
    reader.set_configuration_in_force(last_reading().configuration);
    feed.set_failing(true);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.failure.has_value(); }));
    std::this_thread::sleep_for(400ms); // several calls, so that the outage is noticed
    feed.remove_target();
    feed.set_failing(false);
    CHECK_TRUE(waits_for([](const store_reading& it) { return it.as_of == 51; }));
    feed.set_failing(true);
    std::this_thread::sleep_for(options.return_time + 100ms);
    const auto before = feed.calls();
    std::this_thread::sleep_for(1s);
    // The pause after a failure is 200 ms at first, and grows.
    CHECK(feed.calls() - before <= 10);
}
