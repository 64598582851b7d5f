#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;
using namespace std::chrono_literals;

namespace {

/// Store of one rules record, whose era and revision a test sets.
class scripted_feed final : public record_feed {
public:
    result<feed_page> list() override {
        const std::lock_guard lock(mutex_);
        ++lists_;
        return feed_page{revision_, {{"rules", 1, operator_rules{}}}, era_};
    }
    result<feed_page> changes_since(std::uint64_t, milliseconds) override {
        const std::lock_guard lock(mutex_);
        return feed_page{revision_, {}, era_};
    }
    void interrupt() override {}

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
    std::mutex mutex_;
    std::uint64_t era_{1};
    std::uint64_t revision_{50};
    int lists_{0};
};

} // namespace

TEST_GROUP(feed_thread) {
    scripted_feed feed;
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
TEST(feed_thread, lists_all_records_in_a_new_era_and_refuses_an_older_one) {
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
