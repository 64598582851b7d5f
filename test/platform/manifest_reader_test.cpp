#include "wigeonrill/platform.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonrill;
using namespace std::chrono_literals;
using platform::manifest_reader_call;
using platform::manifest_reader_event;

namespace {

std::string document(int version, const std::string& host, const std::string& extra = "") {
    return R"({"format": 1, "version": )" + std::to_string(version) +
           R"(, "published": "2026-03-01T08:30:00Z", "services": {)" + extra +
           R"("print": {"floor_slots": 0, "weight": "detection", "targets": {}}}, "routes": {
             "proof": {"service": "print", "host": ")" +
           host + R"(", "repeat": "idempotent"}}})";
}

// Configuration service in memory. Records the key of each call and can be switched off.
struct fake_platform {
    std::map<std::string, std::string> values;
    std::uint64_t index{0};
    bool down{false};
    std::vector<std::string> calls;

    config::change_set publish(const std::string& text, const config::change_set* previous) {
        auto all = *config::split_document(text, "sample.json", previous);
        ++index;
        for (const auto& it : all.changed) {
            values[platform::shard_key({it.name, it.version, it.digest})] = it.content;
        }
        values["manifest"] = platform::write_manifest(all);
        return all;
    }
    result<std::optional<platform::stored_value>> answer(const manifest_reader_call& call) {
        calls.push_back(call.key);
        if (down) {
            return failed(error_kind::unavailable, "down", "");
        }
        const auto found = values.find(call.key);
        if (found == values.end()) {
            return failed(error_kind::not_found, "no value", "");
        }
        if (call.what == manifest_reader_call::kind::watch && call.after == index) {
            return std::optional<platform::stored_value>{};
        }
        return std::optional(platform::stored_value{found->second, index});
    }
};

std::vector<config::vm_record> nodes(int count, int domains) {
    std::vector<config::vm_record> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        all.push_back({{"192.0.2." + std::to_string(i + 1), 7000},
                       domain_name("d" + std::to_string(i % domains)),
                       config::vm_role::node,
                       config::vm_state::live});
    }
    return all;
}

} // namespace

TEST_GROUP(manifest_reader) {
    instant now{};
    seeded_random_source random{1};
    fake_platform service;
    platform::manifest_reader_settings settings{{"192.0.2.1", 7000}};
    config::configuration_store store;
    std::vector<manifest_reader_event> events;
    std::optional<platform::manifest_reader> subject;

    void setup() override {
        subject.emplace(settings, random, now);
    }

    // Makes calls until the reader has to wait. Passes change sets to the store as the daemon does.
    void run_until_idle() {
        for (int i = 0; i < 100; ++i) {
            const auto call = subject->next_call(now);
            if (call.what == manifest_reader_call::kind::wait) {
                return;
            }
            const bool unchanged = call.what == manifest_reader_call::kind::watch &&
                                   call.after == service.index && !service.down;
            now += unchanged ? call.wait : 1ms;
            subject->handle_answer(call, service.answer(call), now);
            handle_events();
            if (unchanged) {
                return;
            }
        }
        FAIL("the reader makes calls without end");
    }
    void handle_events() {
        for (const auto& it : subject->take_events()) {
            events.push_back(it);
            if (it.what != manifest_reader_event::kind::changes) {
                continue;
            }
            if (store.apply(it.changes, wall_time{}) == config::apply_outcome::accepted) {
                report_version_in_force();
            } else {
                subject->skip(it.changes.version, it.changes.digest);
            }
        }
    }
    void report_version_in_force() {
        subject->set_version_in_force({store.version(), store.digest(), store.shard_entries()});
    }
    // Runs the reader for some time. The clock jumps to the time of each call.
    void run_for(nanoseconds duration) {
        const auto end = now + duration;
        run_until_idle();
        for (int i = 0; i < 10'000 && now < end; ++i) {
            const auto call = subject->next_call(now);
            now = call.what == manifest_reader_call::kind::wait ? std::min(call.until, end) : now;
            run_until_idle();
        }
    }
    std::size_t count(manifest_reader_event::kind what) const {
        return static_cast<std::size_t>(
            std::ranges::count(events, what, &manifest_reader_event::what));
    }
    std::string last_problem() const {
        const auto it =
            std::ranges::find(events.rbegin(), events.rend(), manifest_reader_event::kind::problem,
                              &manifest_reader_event::what);
        return it == events.rend() ? "" : it->reason.message;
    }
};

// Guards against 3,700 nodes that all call the platform at the same time after a common start.
TEST(manifest_reader, first_call_comes_at_random_within_the_start_delay) {
    std::set<std::int64_t> seconds_of_first_call;
    for (int i = 0; i < 100; ++i) {
        const auto call = platform::manifest_reader(settings, random, now).next_call(now);
        CHECK(call.until <= now + settings.start_delay);
        seconds_of_first_call.insert((call.until - now) / 1s);
    }
    CHECK(seconds_of_first_call.size() > 20);
}

// Guards against reading more than the manifest and the changed shard after a change.
TEST(manifest_reader, reads_only_changed_shards_after_the_first_read) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    run_for(30s);
    LONGS_EQUAL(1, store.version());
    LONGS_EQUAL(1 + 3, service.calls.size());
    service.calls.clear();
    (void)service.publish(document(2, "b.example"), &first);
    run_for(450s);
    LONGS_EQUAL(2, store.version());
    STRCMP_CONTAINS("shard/routes/", service.calls.at(1).c_str());
    LONGS_EQUAL(1, std::ranges::count_if(service.calls,
                                         [](const std::string& key) { return key != "manifest"; }));
}

// Guards against keeping a service in force that a new version removes.
TEST(manifest_reader, removes_shards_that_the_manifest_lacks) {
    const auto both = document(
        1, "a.example", R"("stock": {"floor_slots": 0, "weight": "detection", "targets": {}}, )");
    const auto first = service.publish(both, nullptr);
    run_for(30s);
    LONGS_EQUAL(2, store.current()->services.size());
    (void)service.publish(document(2, "a.example"), &first);
    run_for(450s);
    LONGS_EQUAL(1, store.current()->services.size());
}

// Guards against nodes that poll in step, and against polling more often than the platform allows a
// node.
TEST(manifest_reader, polls_once_per_five_minutes_on_average) {
    (void)service.publish(document(1, "a.example"), nullptr);
    run_for(30s);
    service.calls.clear();
    run_for(1000min);
    CHECK_TEXT(service.calls.size() > 170 && service.calls.size() < 230,
               std::to_string(service.calls.size()).c_str());
    CHECK(count(manifest_reader_event::kind::confirmed) >= service.calls.size());
}

// Guards against too few or too many watchers: each domain has exactly 3, none of them leaving.
TEST(manifest_reader, three_nodes_per_domain_watch) {
    auto vms = nodes(40, 4);
    const auto watching = [&vms] {
        std::map<domain_name, int> found;
        for (const auto& it : vms) {
            found[it.domain] += platform::is_watcher(it.address, vms) ? 1 : 0;
        }
        return found;
    };
    const auto first = std::ranges::find_if(
        vms, [&vms](const auto& it) { return platform::is_watcher(it.address, vms); });
    first->state = config::vm_state::leaving;
    CHECK_FALSE(platform::is_watcher(first->address, vms));
    for (const auto& [domain, watchers] : watching()) {
        LONGS_EQUAL(3, watchers);
    }
    CHECK_FALSE(platform::is_watcher({"203.0.113.1", 7000}, vms));
}

// Guards against a watcher that also polls, or that misses a change.
TEST(manifest_reader, watcher_waits_for_changes) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    subject->set_vms(nodes(3, 1));
    CHECK(subject->watching());
    run_for(30s);
    service.calls.clear();
    run_for(550s);
    CHECK(service.calls.size() <= 11);
    CHECK(count(manifest_reader_event::kind::confirmed) >= 9);
    (void)service.publish(document(2, "b.example"), &first);
    run_until_idle();
    LONGS_EQUAL(2, store.version());
}

// Guards against calling in a loop if the service answers each watch at once.
TEST(manifest_reader, watch_that_returns_early_is_backed_off) {
    (void)service.publish(document(1, "a.example"), nullptr);
    subject->set_vms(nodes(3, 1));
    run_for(30s);
    const manifest_reader_call watch = [this] {
        auto call = subject->next_call(now);
        now = std::max(now, call.until);
        return call.what == manifest_reader_call::kind::wait ? subject->next_call(now) : call;
    }();
    CHECK(watch.what == manifest_reader_call::kind::watch);
    subject->handle_answer(watch, std::optional(platform::stored_value{"", watch.after}), now);
    CHECK(subject->next_call(now).what == manifest_reader_call::kind::wait);
}

// Guards against calling at the full rate while the platform is down for hours, and against not
// reading again after it has recovered.
TEST(manifest_reader, backs_off_while_the_platform_is_down) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    run_for(30s);
    service.calls.clear();
    service.down = true;
    run_for(6h);
    CHECK_TEXT(service.calls.size() < 120, std::to_string(service.calls.size()).c_str());
    LONGS_EQUAL(1, store.version());
    service.down = false;
    (void)service.publish(document(2, "b.example"), &first);
    run_for(450s);
    LONGS_EQUAL(2, store.version());
}

// Guards against a return to an older version that a stale replica of the platform serves.
TEST(manifest_reader, reports_a_version_older_than_the_one_in_force) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    const auto old_manifest = service.values["manifest"];
    (void)service.publish(document(2, "b.example"), &first);
    run_for(30s);
    service.values["manifest"] = old_manifest;
    const auto confirmed = count(manifest_reader_event::kind::confirmed);
    run_for(450s);
    LONGS_EQUAL(2, store.version());
    STRCMP_CONTAINS("serves version 1, older than version 2", last_problem().c_str());
    LONGS_EQUAL(confirmed, count(manifest_reader_event::kind::confirmed));
}

// Guards against two different contents under the same version number.
TEST(manifest_reader, reports_different_content_under_the_version_in_force) {
    (void)service.publish(document(1, "a.example"), nullptr);
    run_for(30s);
    (void)service.publish(document(1, "b.example"), nullptr);
    run_for(450s);
    STRCMP_CONTAINS("another content for version 1", last_problem().c_str());
    STRCMP_EQUAL("a.example", store.current()->routes.at(0).host.c_str());
}

// Guards against putting an incomplete version in force, and against calling in a loop, while a
// shard is missing or damaged.
TEST(manifest_reader, retries_missing_and_damaged_shards) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    const auto& routes = *std::ranges::find(first.changed, "routes/0-of-1", &config::shard::name);
    const auto key = platform::shard_key({routes.name, routes.version, routes.digest});
    service.values.erase(key);
    run_for(10min);
    LONGS_EQUAL(0, store.version());
    CHECK_TEXT(service.calls.size() < 40, std::to_string(service.calls.size()).c_str());
    service.values[key] = routes.content + " ";
    run_for(10min);
    LONGS_EQUAL(0, store.version());
    STRCMP_CONTAINS("does not match its digest", last_problem().c_str());
    service.values[key] = routes.content;
    run_for(10min);
    LONGS_EQUAL(1, store.version());
}

// Guards against reading the shards of a rejected version again at every poll.
TEST(manifest_reader, skips_a_version_that_the_store_rejected) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    run_for(30s);
    const auto invalid = service.publish(document(2, "A_B"), &first);
    run_for(450s);
    LONGS_EQUAL(1, store.version());
    service.calls.clear();
    run_for(30min);
    CHECK(std::ranges::all_of(service.calls,
                              [](const std::string& key) { return key == "manifest"; }));
    (void)service.publish(document(3, "c.example"), &invalid);
    run_for(450s);
    LONGS_EQUAL(3, store.version());
}

// Guards against a change set with an outdated base version, when a peer delivers the version while
// this node is still reading its shards.
TEST(manifest_reader, drops_a_read_when_a_peer_delivers_the_version) {
    const auto first = service.publish(document(1, "a.example"), nullptr);
    now += settings.start_delay;
    subject->handle_answer(subject->next_call(now),
                           service.answer({manifest_reader_call::kind::get, "manifest"}), now);
    const auto shard_call = subject->next_call(now);
    STRCMP_CONTAINS("shard/", shard_call.key.c_str());
    (void)store.apply(first, wall_time{});
    report_version_in_force();
    subject->handle_answer(shard_call, service.answer(shard_call), now);
    CHECK(subject->next_call(now).what == manifest_reader_call::kind::wait);
    CHECK(subject->take_events().empty());
}

// Guards against a single node that uses up the platform's capacity for calls.
TEST(manifest_reader, call_budget_limits_bursts_and_rate) {
    platform::call_budget budget(2.0, 3.0);
    for (int i = 0; i < 3; ++i) {
        CHECK(budget.available_at(now) == now);
        budget.take(now);
    }
    CHECK(budget.available_at(now) > now + 490ms && budget.available_at(now) < now + 510ms);
    now += 1h;
    for (int i = 0; i < 3; ++i) {
        budget.take(now);
    }
    CHECK(budget.available_at(now) > now);
}

// Guards against shard names that lead to other keys of the service, and against unknown keys in
// the current format. A newer format may have more keys.
TEST(manifest_reader, parse_manifest_rejects_invalid_manifests) {
    const auto all = service.publish(document(1, "a.example"), nullptr);
    const auto text = platform::write_manifest(all);
    const auto with = [&text](const std::string& part, const std::string& replacement) {
        auto changed = text;
        changed.replace(changed.find(part), part.size(), replacement);
        return platform::parse_manifest(changed);
    };
    CHECK(platform::parse_manifest(text).has_value());
    CHECK(!with("service/print", "service/p?"));
    CHECK(!with("service/print", "aaa"));
    CHECK(!with("\"version\":1", "\"version\":2"));
    CHECK(!with("\"digest\":\"", "\"digest\":\"0"));
    CHECK(!with("\"format\":1", "\"format\":1,\"zone\":1"));
    CHECK(with("\"format\":1", "\"format\":2,\"zone\":1").has_value());
}
