#include "wigeonrill/config.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonrill;

namespace {

config::snapshot load(const std::string& name) {
    const auto path = "examples/" + name + "/configuration.json";
    auto loaded = config::load_file(path);
    CHECK_TEXT(loaded.has_value(), loaded ? "" : loaded.error().message.c_str());
    return std::move(*loaded);
}

void check_sizes(const config::snapshot& all, std::uint32_t slots, config::health_weight weight) {
    std::size_t targets = 0;
    std::set<domain_name> domains;
    for (const auto& it : all.services) {
        CHECK(it.weight == weight && it.floor_slots > 0);
        targets += it.targets.size();
        for (const auto& one : it.targets) {
            domains.insert(one.domain);
            LONGS_EQUAL(slots, one.slots);
        }
    }
    LONGS_EQUAL(3, all.services.size());
    LONGS_EQUAL(30, targets);
    LONGS_EQUAL(4, domains.size());
    LONGS_EQUAL(36, all.key_owners.at(0).owners.size());
    LONGS_EQUAL(36 + 30, all.vms.size());
}

void check_at_most_once_routes(const config::snapshot& all, const std::set<std::string>& names) {
    std::set<std::string> found;
    for (const auto& it : all.routes) {
        if (it.repeat == config::repeat_policy::at_most_once) {
            found.insert(it.name.value);
        }
    }
    CHECK(found == names);
}

} // namespace

TEST_GROUP(examples){};

// Guards against an example that the loader rejects, or that lacks a workload described in the
// design.
TEST(examples, scotland_has_the_stated_sizes) {
    const auto all = load("scotland");
    check_sizes(all, 6, config::health_weight::detection);
    LONGS_EQUAL(6, all.routes.size());
    check_at_most_once_routes(all, {"print-run", "charge", "courier-booking"});
}

// Guards against an example that the loader rejects, or that lacks a workload described in the
// design.
TEST(examples, perth_has_the_stated_sizes) {
    const auto all = load("perth");
    check_sizes(all, 2, config::health_weight::precision);
    LONGS_EQUAL(5, all.routes.size());
    check_at_most_once_routes(all, {"subscription-order", "reschedule", "charge"});
}
