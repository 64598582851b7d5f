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
};

std::string target_record(const target_fields& it) {
    return R"({"address":)" + it.address + R"(,"born":)" + it.started +
           R"(,"info":{"service":"s1","version":"v1","zone":)" + it.domain + R"(,"capacity":)" +
           it.slots + R"(},"status":{"state":"ready","sequence":)" + it.heartbeat + "}}";
}

const std::string rules = R"({"version":7,"routes":{"r-1":{"host":"h.example","prefix":"/a/",)"
                          R"("kind":"safe","timeout_s":6,"service":"s1","attempts":2}},)"
                          R"("services":{"s1":{}}})";

std::string item(const std::string& key, const std::string& value) {
    return R"({"key":")" + key + R"(","value":")" + test::base64(value) + R"(","revision":7})";
}

/// Returns the targets of the configuration that the nodes would put in force for a store that
/// holds a sound target, the odd record and the operator's rules; nothing if they would refuse it.
std::optional<std::vector<config::target>> targets_beside(const std::string& odd_key,
                                                          const std::string& odd_value) {
    target_fields sound;
    sound.address = R"("10.0.0.9:8080")";
    const auto text = R"({"items":[)" + item("op/config", rules) + "," + item(odd_key, odd_value) +
                      "," + item("servers/sound", target_record(sound)) +
                      R"(],"has_more":false,"at":9})";
    const auto decoded = users_platform::decode_page(text);
    if (!decoded) {
        return std::nullopt;
    }
    platform::inventory inventory({});
    inventory.replace(decoded->page, instant{} + seconds(100));
    const auto built = inventory.configuration();
    if (!built) {
        return std::nullopt;
    }
    const auto changes = config::split_document(config::write_document(*built), "store", nullptr);
    config::configuration_store store;
    if (!changes || store.apply(*changes, wall_time{} + std::chrono::hours(500'000)) !=
                        config::apply_outcome::accepted) {
        return std::nullopt;
    }
    return store.current()->services.at(0).targets;
}

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
