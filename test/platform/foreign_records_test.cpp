#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::platform;

namespace {

constexpr std::size_t target_count = 4;
constexpr std::uint64_t started_ms = 1'700'000'000'000;
constexpr std::uint64_t far_ahead_ms = 4'000'000'000'000;

target_registration registration(const std::string& id, std::size_t address,
                                 const std::string& service) {
    target_registration it;
    it.target.id = target_id(id);
    it.target.address = {"10.0.0." + std::to_string(address + 1), 80};
    it.target.domain = domain_name("a");
    it.target.slots = 6;
    it.service = service_name(service);
    it.started_ms = started_ms;
    it.created = 3;
    it.heartbeat = 1;
    return it;
}

feed_record rules(std::uint64_t revision, std::uint64_t version,
                  const std::vector<const char*>& services) {
    operator_rules it;
    it.version = version;
    for (const char* name : services) {
        it.services.emplace_back(name);
    }
    return {"rules", revision, it};
}

} // namespace

// Records of another system beside those of sound targets.
TEST_GROUP(foreign_records) {
    inventory it{{}};
    instant now{instant{} + seconds(100)};
    std::uint64_t revision{10};
    std::uint64_t heartbeat{1};

    void setup() override {
        std::vector<feed_record> all{rules(1, 1, {"print", "stock"})};
        for (std::size_t i = 0; i < target_count; ++i) {
            all.push_back({key_of(i), 2 + i, sound(i)});
        }
        it.replace({revision, all}, now);
        static_cast<void>(it.take_withdrawn_targets());
    }
    static std::string key_of(std::size_t i) {
        return "targets/t" + std::to_string(i);
    }
    target_registration sound(std::size_t i) const {
        auto written = registration("t" + std::to_string(i), i, "print");
        written.heartbeat = heartbeat;
        return written;
    }
    void write(const std::string& key, decltype(feed_record::content) content) {
        ++revision;
        it.apply({revision, {{key, revision, std::move(content)}}}, now);
    }
    void write_sound(std::size_t i) {
        ++heartbeat;
        write(key_of(i), sound(i));
    }
    std::string ids(std::size_t service = 0) {
        std::string text;
        for (const auto& one : it.configuration()->services.at(service).targets) {
            text += one.id.value + " ";
        }
        return text;
    }
};

// Guards against a record of a service that the operator doesn't name which takes the place of the
// sound target with its address (review/15, FLOOR).
TEST(foreign_records, record_of_an_unknown_service_hides_no_target) {
    auto foreign = registration("f", 1, "elsewhere");
    foreign.started_ms = far_ahead_ms;
    write("targets/f", foreign);
    STRCMP_EQUAL("t0 t1 t2 t3 ", ids().c_str());
    // Once the operator names the service, the record names a target, which started last.
    ++revision;
    it.apply({revision, {rules(revision, 2, {"print", "elsewhere"})}}, now);
    STRCMP_EQUAL("f ", ids(0).c_str());
    STRCMP_EQUAL("t0 t2 t3 ", ids(1).c_str());
    ++revision;
    it.apply({revision, {rules(revision, 3, {"print", "stock"})}}, now);
    STRCMP_EQUAL("t0 t1 t2 t3 ", ids().c_str());
}

// Guards against later records of a target that count as older than what another system has left
// under its key, and against news of the target's end that it never wrote.
TEST(foreign_records, record_under_the_key_of_a_target_does_not_outlast_its_next_one) {
    auto foreign = registration("t1", 1, "elsewhere");
    foreign.started_ms = far_ahead_ms;
    foreign.leaving = true;
    write(key_of(1), foreign);
    write_sound(1);
    STRCMP_EQUAL("t0 t1 t2 t3 ", ids().c_str());
    write(key_of(1), foreign);
    write(key_of(1), deleted_record{});
    write_sound(1);
    STRCMP_EQUAL("t0 t1 t2 t3 ", ids().c_str());
    CHECK(it.take_withdrawn_targets().empty());
}

// Guards against any effect of records that name no target: whatever another system writes, under
// its own keys or those of targets, once each target has written again all of them are used.
TEST(foreign_records, have_no_effect_on_sound_targets) {
    seeded_random_source random{59};
    for (int step = 0; step < 10'000; ++step) {
        const auto place = random.next_below(target_count);
        const bool over_target = random.next_below(4) == 0;
        const auto id =
            over_target ? "t" + std::to_string(place) : "f" + std::to_string(random.next_below(6));
        const auto key = "targets/" + id;
        auto foreign = registration(id, random.next_below(target_count), "elsewhere");
        constexpr std::array<std::uint64_t, 4> starts{0, 1, started_ms, far_ahead_ms};
        foreign.started_ms = starts.at(random.next_below(starts.size()));
        foreign.heartbeat = random.next_below(2) == 0 ? 0 : std::uint64_t{1} << 50U;
        foreign.leaving = random.next_below(2) == 0;
        const auto action = random.next_below(3);
        if (action == 0) {
            write(key, unreadable_record{{error_kind::invalid_input, "no record", ""}});
        } else if (action == 1 && !over_target) {
            write(key, deleted_record{});
        } else {
            write(key, foreign);
        }
        if (over_target) {
            write_sound(place);
        }
        STRCMP_EQUAL_TEXT("t0 t1 t2 t3 ", ids().c_str(), std::to_string(step).c_str());
    }
    CHECK(it.take_withdrawn_targets().empty());
}
