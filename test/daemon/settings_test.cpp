#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;

namespace {

const std::string node =
    R"("node": {"domain": "edi-1", "traffic": "127.0.0.1:8080", "admin": "127.0.0.1:9090"})";
const std::string file = R"("configuration": {"file": "inventory.json"})";

// Returns the error message of the settings with these members, or an empty text if they are valid.
std::string settings_error(const std::string& members) {
    const auto parsed = parse_settings("{" + members + "}", "node.json");
    return parsed ? "" : to_string(parsed.error());
}

} // namespace

TEST_GROUP(settings){};

// Guards against defaults that differ from docs/reference/settings.md, and against comments that
// are rejected.
TEST(settings, reads_a_minimal_file_with_comments) {
    const auto parsed =
        parse_settings("{ // one node\n" + node + ", /* a file */ " + file + "}", "n");
    CHECK(parsed.has_value());
    STRCMP_EQUAL("edi-1", parsed->domain.value.c_str());
    STRCMP_EQUAL("inventory.json", parsed->configuration_file.c_str());
    CHECK_FALSE(parsed->peer.has_value());
    LONGS_EQUAL(5'000, parsed->accept_for.count());
    LONGS_EQUAL(600'000, parsed->finish_within.count());
    LONGS_EQUAL(1'024, parsed->max_connections);
}

// Guards against a misspelt, duplicate or missing key that is silently ignored.
TEST(settings, rejects_unknown_duplicate_and_missing_keys) {
    STRCMP_CONTAINS("pear", settings_error(R"("node": {"domain": "a", "traffic": "10.0.0.1:80", )"
                                           R"("admin": "10.0.0.1:90", "pear": "10.0.0.1:70"}, )" +
                                           file)
                                .c_str());
    STRCMP_CONTAINS("limit", settings_error(node + "," + file + R"(, "limit": {})").c_str());
    CHECK(!settings_error(node + "," + file + "," + file).empty());
    STRCMP_CONTAINS("node", settings_error(file).c_str());
    STRCMP_CONTAINS("docs/reference/settings.md", settings_error(file).c_str());
}

// Guards against a node that silently prefers one of two sources of the configuration, or starts
// without any.
TEST(settings, requires_exactly_one_configuration_source) {
    STRCMP_CONTAINS(
        "exactly one source",
        settings_error(node + R"(, "configuration": {"file": "a", "platform": ["10.0.0.1:1"]})")
            .c_str());
    STRCMP_CONTAINS("exactly one source",
                    settings_error(node + R"(, "configuration": {})").c_str());
}

// Guards against host names, which would need a resolver, durations without a unit and unknown log
// levels.
TEST(settings, rejects_host_names_and_missing_units) {
    CHECK(!settings_error(
               R"("node": {"domain": "a", "traffic": "proxy:80", "admin": "127.0.0.1:1"}, )" + file)
               .empty());
    STRCMP_CONTAINS(
        "accept_for",
        settings_error(node + "," + file + R"(, "shutdown": {"accept_for": "5"})").c_str());
    STRCMP_CONTAINS("level",
                    settings_error(node + "," + file + R"(, "log": {"level": "loud"})").c_str());
}

// Guards against a time for new requests that grows with the grace period (LOST, inc1), and against
// one beyond the time in which connections are accepted.
TEST(settings, time_for_new_requests_in_a_stop_is_that_of_the_balancer) {
    const auto shutdown = [](const std::string& fields) {
        const auto parsed =
            parse_settings("{" + node + "," + file + R"(, "shutdown": {)" + fields + "}}", "test");
        CHECK(parsed.has_value());
        return *parsed;
    };
    LONGS_EQUAL(2'500, shutdown(R"("grace": "10s")").take_for.count());
    LONGS_EQUAL(5'000, shutdown(R"("grace": "10s")").accept_for.count());
    LONGS_EQUAL(1'000, shutdown(R"("grace": "2s")").take_for.count());
    LONGS_EQUAL(7'000, shutdown(R"("accept_for": "7s")").take_for.count());
}

// Guards against seeds in the settings of a node without a peer address, which can't use them.
TEST(settings, rejects_seeds_without_a_peer_address) {
    STRCMP_CONTAINS(
        "peer",
        settings_error(node + "," + file + R"(, "peers": {"seeds": ["10.0.0.1:7"]})").c_str());
}
