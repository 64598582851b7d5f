#include "platform/records.h"

#include "test/base64.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;

namespace {

std::string item(const std::string& key, const std::string& value) {
    return R"({"key":")" + key + R"(","value":")" + test::base64(value) + R"(","revision":7})";
}

std::string page(const std::string& items) {
    return R"({"items":[)" + items + R"(],"has_more":false,"at":9})";
}

const std::string target = R"({"address":"10.128.0.9:8080","born":1700000000123,)"
                           R"("info":{"service":"s1","version":"v1","zone":"z1","capacity":6},)"
                           R"("status":{"state":"draining","sequence":4,"cold_left_s":0.5}})";

const std::string rules =
    R"({"version":7,"routes":{)"
    R"("r-1":{"host":"h.example","prefix":"/a/b/","kind":"unsafe","timeout_s":6,)"
    R"("target_latency_s":2.5,"priority":1,"service":"s1","attempts":2},)"
    R"("r-2":{"host":"h.example","prefix":"/c/","kind":"download","timeout_s":5.25,"priority":2,)"
    R"("traffic_split":[{"service":"s2","weight":90},{"service":"s1","weight":10}],"attempts":3}},)"
    R"("services":{"s1":{},"s2":{}},"limits":{"max_body_bytes":1000}})";

std::string record_with(const std::string& address, const std::string& slots,
                        const std::string& state) {
    return R"({"address":")" + address +
           R"(","info":{"service":"s1","version":"v1","zone":"z","capacity":)" + slots +
           R"(},"status":{"state":")" + state + R"(","sequence":1,"cold_left_s":0}})";
}

const platform::feed_record& only_record(const result<users_platform::store_page>& decoded) {
    CHECK(decoded.has_value());
    LONGS_EQUAL(1, decoded->page.records.size());
    return decoded->page.records.front();
}

} // namespace

TEST_GROUP(records){};

// Guards against API keys that are kept as text, and against a workspace, limit or priority that is
// read wrongly.
TEST(records, decodes_workspaces) {
    const std::string written =
        R"({"version":8,"routes":{"r-1":{"host":"h.example","prefix":"/a/","kind":"safe",)"
        R"("service":"s1","no_auth":true}},"services":{"s1":{}},"tenants":{)"
        R"("w2":{"api_keys":["k2","k3"],"priority":1,"rate_per_s":2.5,"burst":4},)"
        R"("w1":{"api_keys":[]}}})";
    const auto decoded = users_platform::decode_page(page(item("op/config", written)));
    const auto& it = std::get<platform::operator_rules>(only_record(decoded).content);
    CHECK(it.authentication == config::caller_authentication::api_key);
    CHECK_FALSE(it.routes.front().needs_api_key);
    LONGS_EQUAL(2, it.workspaces.size());
    STRCMP_EQUAL("w1", it.workspaces[0].name.value.c_str());
    CHECK(it.workspaces[0].keys.empty() && !it.workspaces[0].priority);
    const auto& limited = it.workspaces[1];
    std::vector<config::key_digest> keys{config::digest_of_key("k2"), config::digest_of_key("k3")};
    std::ranges::sort(keys);
    CHECK(limited.keys == keys);
    CHECK(limited.priority == 1U);
    DOUBLES_EQUAL(2.5, limited.requests_per_second, 0.0);
    DOUBLES_EQUAL(4.0, limited.burst, 0.0);
}

// Guards against reading a field from the wrong part of a record, or in the wrong unit.
TEST(records, decodes_a_target) {
    const auto decoded = users_platform::decode_page(page(item("servers/i-1", target)));
    const auto& record = only_record(decoded);
    LONGS_EQUAL(9, decoded->page.as_of);
    LONGS_EQUAL(7, record.revision);
    const auto& it = std::get<platform::target_registration>(record.content);
    STRCMP_EQUAL("i-1", it.target.id.value.c_str());
    STRCMP_EQUAL("10.128.0.9:8080", to_string(it.target.address).c_str());
    STRCMP_EQUAL("z1", it.target.domain.value.c_str());
    STRCMP_EQUAL("s1", it.service.value.c_str());
    LONGS_EQUAL(6, it.target.slots);
    CHECK(it.leaving);
    CHECK(it.started_ms == 1'700'000'000'123);
    LONGS_EQUAL(4, it.heartbeat);
}

// Guards against losing the revision in which a target's record was created.
TEST(records, decodes_the_creation_of_a_target) {
    auto created = item("servers/i-1", target);
    created.insert(created.rfind('}'), R"(,"created_at":6)");
    const auto decoded = users_platform::decode_page(page(created));
    const auto& it = std::get<platform::target_registration>(only_record(decoded).content);
    LONGS_EQUAL(6, it.created);
}

// Guards against decoding an at-most-once route as idempotent, so that its requests may run twice,
// and against losing traffic splits and times.
TEST(records, decodes_the_rules) {
    const auto decoded = users_platform::decode_page(page(item("op/config", rules)));
    const auto& it = std::get<platform::operator_rules>(only_record(decoded).content);
    LONGS_EQUAL(7, it.version);
    LONGS_EQUAL(2, it.services.size());
    const auto& order = it.routes.at(0);
    CHECK(order.repeat == config::repeat_policy::at_most_once);
    CHECK(order.key == config::key_policy::optional);
    CHECK(order.limits.total == 6s);
    CHECK(order.target_latency == 2'500ms);
    LONGS_EQUAL(1'000, order.max_body_bytes);
    const auto& file = it.routes.at(1);
    CHECK(file.repeat == config::repeat_policy::idempotent);
    CHECK(file.limits.total == 5'250ms);
    LONGS_EQUAL(3, file.attempts);
    LONGS_EQUAL(2, file.split.size());
    STRCMP_EQUAL("s1", file.split.at(0).service.value.c_str());
    LONGS_EQUAL(10'000, file.split.at(0).weight);
    LONGS_EQUAL(90'000, file.split.at(1).weight);
}

// Guards against a configuration that no node can read because one of its routes takes uploads, and
// against an upload that runs twice.
TEST(records, uploads_run_at_most_once) {
    const auto decoded = users_platform::decode_page(page(
        item("op/config", R"({"version":1,"services":{"s":{}},"routes":{"r":{"host":"h",)"
                          R"("prefix":"/p/","kind":"upload","service":"s","timeout_s":6}}})")));
    const auto& rules = std::get<platform::operator_rules>(only_record(decoded).content);
    CHECK(rules.routes.at(0).repeat == config::repeat_policy::at_most_once);
    CHECK(rules.routes.at(0).key == config::key_policy::optional);
}

// Guards against using a record that is not valid, and against losing the valid ones with it.
TEST(records, returns_invalid_records_as_unreadable) {
    const std::vector<std::string> invalid{"not json",
                                           "{}",
                                           "[]",
                                           "7",
                                           record_with("10.0.0.1:1", R"("6")", "ready"),
                                           record_with("10.0.0.1:1", "0", "ready"),
                                           record_with("host:1", "6", "ready"),
                                           record_with("10.0.0.1:1", "6", "resting")};
    for (const auto& it : invalid) {
        const auto decoded = users_platform::decode_page(
            page(item("servers/bad", it) + "," + item("servers/good", target)));
        CHECK(decoded.has_value());
        LONGS_EQUAL(2, decoded->page.records.size());
        CHECK(std::holds_alternative<platform::unreadable_record>(
            decoded->page.records.at(0).content));
        CHECK(std::holds_alternative<platform::target_registration>(
            decoded->page.records.at(1).content));
    }
    const auto kind = users_platform::decode_page(page(
        item("op/config", R"({"version":1,"services":{},"routes":{"r":{"host":"h","prefix":"/",)"
                          R"("kind":"odd","service":"s"}}})")));
    CHECK(std::holds_alternative<platform::unreadable_record>(only_record(kind).content));
}

// Guards against ignoring deletions, and against treating records of other programs as targets.
TEST(records, decodes_events_and_ignores_other_keys) {
    const auto decoded = users_platform::decode_page(
        R"({"events":[{"key":"servers/i-1","revision":8,"deleted":true},)"
        R"({"key":"my/old","revision":9,"deleted":true}],"at":10})");
    CHECK(std::holds_alternative<platform::deleted_record>(only_record(decoded).content));
    STRCMP_EQUAL("my/old", decoded->last_key.c_str());
    CHECK(!users_platform::decode_page("{}").has_value());
}

// Guards against taking an era that can't be read for that of a store that names none.
TEST(records, decodes_the_era_of_the_store) {
    LONGS_EQUAL(0, *users_platform::decode_era(""));
    LONGS_EQUAL(12, *users_platform::decode_era("12"));
    for (const auto* text : {"-1", "1.5", "two", "99999999999999999999", " 1"}) {
        CHECK(!users_platform::decode_era(text).has_value());
    }
}
