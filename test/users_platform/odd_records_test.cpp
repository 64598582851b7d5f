#include "platform/records.h"

#include "wigeonrill/platform.h"

#include "test/base64.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

namespace {

/// Fields of a target's record as JSON text.
struct target_fields {
    std::string address = R"("10.0.0.1:8080")";
    std::string domain = R"("z1")";
    std::string slots = "6";
    std::string started = "1700000000000";
    std::string heartbeat = "4";
    std::string software = R"("v1")";
    std::string cold_time = "0.5";
};

std::string target_record(const target_fields& it) {
    return R"({"address":)" + it.address + R"(,"born":)" + it.started +
           R"(,"info":{"service":"s1","version":)" + it.software + R"(,"zone":)" + it.domain +
           R"(,"capacity":)" + it.slots + R"(},"status":{"state":"ready","sequence":)" +
           it.heartbeat + R"(,"cold_left_s":)" + it.cold_time + "}}";
}

const std::string rules = R"({"version":7,"routes":{"r-1":{"host":"h.example","prefix":"/a/",)"
                          R"("kind":"safe","timeout_s":6,"service":"s1","attempts":2}},)"
                          R"("services":{"s1":{}}})";

std::string item(const std::string& key, const std::string& value) {
    return R"({"key":")" + key + R"(","value":")" + test::base64(value) + R"(","revision":7})";
}

/// Returns the configuration that the nodes would put in force for a store that holds these items;
/// null if they would refuse it.
config::snapshot_ptr configuration_of(const std::string& items) {
    const auto text = R"({"items":[)" + items + R"(],"has_more":false,"at":9})";
    const auto decoded = users_platform::decode_page(text);
    if (!decoded) {
        return nullptr;
    }
    platform::inventory inventory({});
    inventory.replace(decoded->page, instant{} + seconds(100));
    const auto built = inventory.configuration();
    if (!built) {
        return nullptr;
    }
    const auto changes = config::split_snapshot(*built, "store", nullptr);
    config::configuration_store store;
    if (!changes || store.apply(*changes, wall_time{} + std::chrono::hours(500'000)) !=
                        config::apply_outcome::accepted) {
        return nullptr;
    }
    return store.current();
}

/// Returns the targets in force beside an odd record; nothing if the nodes would refuse the whole.
std::optional<std::vector<config::target>> targets_beside(const std::string& odd_key,
                                                          const std::string& odd_value) {
    target_fields sound;
    sound.address = R"("10.0.0.9:8080")";
    const auto found = configuration_of(item("op/config", rules) + "," + item(odd_key, odd_value) +
                                        "," + item("servers/sound", target_record(sound)));
    return found ? std::optional(found->services.at(0).targets) : std::nullopt;
}

/// Returns the configuration in force for rules with these routes, services and tenants, and a
/// target of the service `s1`.
config::snapshot_ptr configuration_with(const std::string& routes, const std::string& services,
                                        const std::string& tenants) {
    return configuration_of(item("op/config", R"({"version":7,"routes":{)" + routes +
                                                  R"(},"services":{)" + services +
                                                  R"(},"tenants":{)" + tenants + "}}") +
                            "," + item("servers/sound", target_record({})));
}

/// Returns a member of a JSON object after the plain one, with the fields of its value.
std::string add_member(const std::string& plain, const std::string& name,
                       const std::string& fields) {
    return plain + ",\"" + name + "\":{" + fields + "}";
}

std::string odd_route_to(const std::string& service) {
    return R"("host":"o.example","prefix":"/o/","kind":"unsafe","timeout_s":6,"service":")" +
           service + "\"";
}

const std::string plain_route =
    R"("r-1":{"host":"h.example","prefix":"/a/","kind":"safe","timeout_s":6,"service":"s1"})";
const std::string plain_tenant = R"("t-1":{"api_keys":["k1"]})";

void check_is_ignored(const std::string& value) {
    const auto targets = targets_beside("servers/odd", value);
    CHECK_TRUE(targets.has_value());
    if (targets) {
        LONGS_EQUAL(1, targets->size());
        STRCMP_EQUAL("sound", targets->front().id.value.c_str());
    }
}

} // namespace

TEST_GROUP(odd_records){};

// Guards against nodes that end or stop following the list because one record is very deeply
// nested.
TEST(odd_records, deeply_nested_record_is_ignored) {
    constexpr std::size_t depth = 500'000;
    check_is_ignored(std::string(depth, '['));
    check_is_ignored(std::string(depth, '[') + std::string(depth, ']'));
    std::string objects;
    for (std::size_t i = 0; i < depth / 5; ++i) {
        objects += R"({"a":)";
    }
    check_is_ignored(objects + "1" + std::string(depth / 5, '}'));
    target_fields it;
    it.domain = std::string(depth, '[') + std::string(depth, ']');
    check_is_ignored(target_record(it));
}

// Guards against using a record whose numbers are too large, negative, fractions or texts. A large
// start time or heartbeat would make all later records of the target look older.
TEST(odd_records, record_with_a_number_out_of_range_is_ignored) {
    for (const char* number : {"1e400", "1e300", "1e19", "18446744073709551615", "-1", "1.5",
                               R"("6")", "null", "true", "99999999999999999999"}) {
        target_fields it;
        it.slots = number;
        check_is_ignored(target_record(it));
        it = {};
        it.started = number;
        check_is_ignored(target_record(it));
        it = {};
        it.heartbeat = number;
        check_is_ignored(target_record(it));
    }
}

// Guards against a record of another system that hides a target: it lacks a field, or has one of
// another type, and names the target's address with a later start (review/15, FLOOR).
TEST(odd_records, record_with_a_missing_field_hides_no_target) {
    const auto foreign = [](const std::string& text, const std::string& from) {
        const auto place = text.find(from);
        CHECK_TEXT(place != std::string::npos, from.c_str());
        return text.substr(0, place) + text.substr(place + from.size());
    };
    target_fields later;
    later.address = R"("10.0.0.9:8080")";
    later.started = "1800000000000";
    const auto whole = target_record(later);
    for (const char* part : {R"("address":"10.0.0.9:8080",)", R"("service":"s1",)",
                             R"("version":"v1",)", R"("zone":"z1",)", R"(,"capacity":6)",
                             R"("state":"ready",)", R"("sequence":4,)", R"(,"cold_left_s":0.5)"}) {
        check_is_ignored(foreign(whole, part));
    }
    for (const char* value : {"null", "7", "true", "{}", "[]"}) {
        auto it = later;
        it.software = value;
        check_is_ignored(target_record(it));
    }
    for (const char* value : {"null", R"("0")", "true", "{}", "-1"}) {
        auto it = later;
        it.cold_time = value;
        check_is_ignored(target_record(it));
    }
}

// Guards against nodes that refuse the whole configuration because one record names an address that
// is none.
TEST(odd_records, record_with_a_wrong_address_is_ignored) {
    for (const char* address : {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1",
                                "10.0.0.1:80:90", "", "999.0.0.1:80", "...:80", "10.0.0:80",
                                "host.example:80", "10.0.0.1:8e1", "1.2.3.4.5:80"}) {
        target_fields it;
        it.address = std::string("\"") + address + "\"";
        check_is_ignored(target_record(it));
    }
}

// Guards against nodes that refuse the whole configuration because one record has a strange name.
TEST(odd_records, strange_names_do_not_stop_the_others) {
    const std::string long_text(100'000, 'x');
    for (const std::string& name : {std::string(R"(\u0000)"), std::string(R"(a\nb)"),
                                    std::string(R"(\")"), std::string("\xff"), std::string(),
                                    long_text, std::string("ä ö"), std::string("a/b.c")}) {
        target_fields it;
        it.domain = "\"" + name + "\"";
        CHECK_TRUE(targets_beside("servers/odd", target_record(it)).has_value());
        if (name.size() < 200 && name != "\xff") {
            CHECK_TRUE(targets_beside("servers/" + name, target_record({})).has_value());
        }
    }
}

// Guards against nodes that refuse a version and all later ones because a tenant has a name or a
// value that isn't to the product's taste.
TEST(odd_records, odd_tenant_does_not_stop_the_rules) {
    const std::string long_text(100'000, 'x');
    for (const std::string& name : {std::string("Market stall 12"), std::string("ä ö"),
                                    std::string("a/b:c=\\\"d"), std::string(300, 'x'), long_text,
                                    std::string("a\\nb"), std::string(" a"), std::string()}) {
        const auto found = configuration_with(
            plain_route, R"("s1":{})", add_member(plain_tenant, name, R"("api_keys":["k2"])"));
        CHECK(found != nullptr);
        const auto workspaces = config::workspace_directory(found->workspaces);
        CHECK(workspaces.find(config::digest_of_key("k1")) != nullptr);
        const bool can_be_used =
            name.size() > 1 && name.size() <= 255 && name != "a\\nb" && name.front() != ' ';
        CHECK_EQUAL(can_be_used, workspaces.find(config::digest_of_key("k2")) != nullptr);
    }
    for (const char* values : {R"("burst":10)", R"("rate_per_s":0,"burst":10)",
                               R"("priority":500000)", R"("rate_per_s":1e12,"burst":1e300)",
                               R"("api_keys":["k2","k2"])", R"("api_keys":["k1","k2"])"}) {
        const auto found = configuration_with(
            plain_route, R"("s1":{})",
            add_member(plain_tenant, "t-2", std::string(R"("api_keys":["k2"],)") + values));
        CHECK(found != nullptr);
        const auto workspaces = config::workspace_directory(found->workspaces);
        STRCMP_EQUAL("t-1", workspaces.find(config::digest_of_key("k1"))->name.value.c_str());
        STRCMP_EQUAL("t-2", workspaces.find(config::digest_of_key("k2"))->name.value.c_str());
    }
    for (const char* values : {R"("rate_per_s":-1)", R"("rate_per_s":"many")", R"("api_keys":[7])",
                               R"("priority":-1)"}) {
        const auto found =
            configuration_with(plain_route, R"("s1":{})", add_member(plain_tenant, "t-2", values));
        CHECK(found != nullptr);
        LONGS_EQUAL(1, found->workspaces.size());
    }
}

// Guards against nodes that refuse a version and all later ones because of the name of a service,
// route or host, or a number beyond those of the product.
TEST(odd_records, odd_routes_and_services_do_not_stop_the_rules) {
    const std::string long_text(100'000, 'x');
    for (const std::string& name : {std::string("Ledger office"), std::string("ä"),
                                    std::string("a/b.c\\n"), long_text, std::string()}) {
        const auto found = configuration_with(add_member(plain_route, name, odd_route_to(name)),
                                              add_member(R"("s1":{})", name, ""), plain_tenant);
        CHECK(found != nullptr);
        LONGS_EQUAL(2, found->routes.size());
        LONGS_EQUAL(2, found->services.size());
    }
    for (const char* values :
         {R"("host":"H_1.Example","prefix":"/a/")", R"("host":"h","prefix":"/f\u00fcr uns/")",
          R"("host":"h","prefix":"/a?b#/")", R"("host":"h","prefix":"/b/","priority":70000)",
          R"("host":"h","prefix":"/b/","attempts":0)",
          R"("host":"h","prefix":"/b/","attempts":1e9)",
          R"("host":"h","prefix":"/b/","timeout_s":0)",
          R"("host":"h","prefix":"/b/","timeout_s":1e9,"target_latency_s":1e9)"}) {
        const auto found =
            configuration_with(add_member(plain_route, "r-2",
                                          std::string(R"("kind":"safe","service":"s1",)") + values),
                               R"("s1":{})", plain_tenant);
        CHECK_TEXT(found != nullptr, values);
        LONGS_EQUAL(2, found->routes.size());
    }
}
