#include "wigeonrill/once.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using once::key_kind;

TEST_GROUP(idempotency_key){};

// Guards against an issued key that names another owner after formatting and parsing.
TEST(idempotency_key, issued_keys_are_equal_after_formatting_and_parsing) {
    for (const char* ip : {"10.0.0.7", "2001:db8::7"}) {
        const auto text = once::format_issued_key({ip, 8080}, 12345678901234ULL, 9);
        const auto key = once::parse_key(text);
        CHECK_TRUE(key.has_value());
        CHECK(key->kind == key_kind::issued);
        STRCMP_EQUAL(ip, key->owner.ip.c_str());
        CHECK_EQUAL(8080, key->owner.port);
        UNSIGNED_LONGLONGS_EQUAL(12345678901234ULL, key->incarnation);
        UNSIGNED_LONGLONGS_EQUAL(9, key->sequence);
    }
    STRCMP_EQUAL("wr1-10.0.0.7-80-5-6", once::format_issued_key({"10.0.0.7", 80}, 5, 6).c_str());
}

// Guards against a damaged issued key that is taken for a key of the caller and assigned to another
// owner, and against two texts of the same key.
TEST(idempotency_key, damaged_issued_keys_are_refused) {
    for (const char* text : {"wr1-", "wr1-10.0.0.7-80-5", "wr1-10.0.0.7-80-5-", "wr1-host-80-5-6",
                             "wr1-10.0.0.7-080-5-6", "wr1-10.0.0.7-80-5-06", "wr1-10.0.0.7-80-5-6x",
                             "wr1-10.0.0.7-80-5-99999999999999999999", "wr1-10.0.0.7-0-5-6"}) {
        CHECK_FALSE(once::parse_key(text).has_value());
    }
}

// Guards against a wrong creation time, which decides whether a key may run after a restart. The
// example is from RFC 9562, appendix A.6.
TEST(idempotency_key, uuid_v7_contains_its_creation_time) {
    const auto key = once::parse_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    CHECK_TRUE(key.has_value());
    CHECK(key->kind == key_kind::uuid_v7);
    CHECK(key->created == wall_time(milliseconds(1645557742000)));
    STRCMP_EQUAL("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", key->text.c_str());
}

// Guards against two keys for one request when a caller quotes the header only sometimes, and
// against reading a creation time from UUIDs of other versions.
TEST(idempotency_key, other_keys_are_taken_literally) {
    STRCMP_EQUAL("order-17", once::parse_key("\"order-17\"")->text.c_str());
    CHECK(once::parse_key("order-17")->kind == key_kind::other);
    CHECK(once::parse_key("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")->kind == key_kind::other);
    CHECK(once::parse_key("017f22e2-79b0-7cc3-18c4-dc0c0c07398f")->kind == key_kind::other);
    CHECK_FALSE(once::parse_key("").has_value());
    CHECK_FALSE(once::parse_key("a b").has_value());
    CHECK_FALSE(once::parse_key(std::string(256, 'k')).has_value());
}

// Guards against sharing an entry between two callers that use the same key text, and against a
// second run when a caller with a UUID key resends the request from another address.
TEST(idempotency_key, scope_is_the_workspace_or_the_caller) {
    const auto other = *once::parse_key("order-17");
    const auto uuid = *once::parse_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    CHECK(once::key_scope(other, "a", "192.0.2.1") != once::key_scope(other, "b", "192.0.2.1"));
    CHECK(once::key_scope(other, "", "192.0.2.1") != once::key_scope(other, "", "192.0.2.2"));
    CHECK(once::key_scope(other, "192.0.2.1", "") != once::key_scope(other, "", "192.0.2.1"));
    CHECK(once::key_scope(uuid, "", "192.0.2.1") == once::key_scope(uuid, "", "192.0.2.2"));
}
