#include "wigeonrill/daemon.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::daemon;

namespace {

const std::string node =
    R"("node": {"domain": "edi-1", "traffic": "127.0.0.1:8080", "admin": "127.0.0.1:9090"})";
const std::string file = R"("configuration": {"file": "inventory.json"})";

// Message of the fault, or an empty text for valid settings.
std::string fault_of(const std::string& members) {
    const auto parsed = parse_settings("{" + members + "}", "node.json");
    return parsed ? "" : to_string(parsed.error());
}

} // namespace

TEST_GROUP(settings){};

// Guards against defaults that differ from docs/reference/settings.md, and refused comments.
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

// Guards against a misspelt, doubled or missing key that is silently ignored.
TEST(settings, refuses_unknown_duplicate_and_missing_keys) {
    STRCMP_CONTAINS("pear", fault_of(R"("node": {"domain": "a", "traffic": "10.0.0.1:80", )"
                                     R"("admin": "10.0.0.1:90", "pear": "10.0.0.1:70"}, )" +
                                     file)
                                .c_str());
    STRCMP_CONTAINS("limit", fault_of(node + "," + file + R"(, "limit": {})").c_str());
    CHECK(!fault_of(node + "," + file + "," + file).empty());
    STRCMP_CONTAINS("node", fault_of(file).c_str());
    STRCMP_CONTAINS("docs/reference/settings.md", fault_of(file).c_str());
}

// Guards against a node that silently prefers one of two sources, or starts with none.
TEST(settings, needs_exactly_one_source) {
    STRCMP_CONTAINS(
        "exactly one source",
        fault_of(node + R"(, "configuration": {"file": "a", "platform": ["10.0.0.1:1"]})").c_str());
    STRCMP_CONTAINS("exactly one source", fault_of(node + R"(, "configuration": {})").c_str());
}

// Guards against host names, which need a resolver, and against durations without a unit.
TEST(settings, refuses_host_names_and_missing_units) {
    CHECK(!fault_of(R"("node": {"domain": "a", "traffic": "proxy:80", "admin": "127.0.0.1:1"}, )" +
                    file)
               .empty());
    STRCMP_CONTAINS("accept_for",
                    fault_of(node + "," + file + R"(, "shutdown": {"accept_for": "5"})").c_str());
    STRCMP_CONTAINS("level", fault_of(node + "," + file + R"(, "log": {"level": "loud"})").c_str());
}

// Guards against seeds that a node without a peer address can never use.
TEST(settings, refuses_seeds_without_a_peer_address) {
    STRCMP_CONTAINS(
        "peer", fault_of(node + "," + file + R"(, "peers": {"seeds": ["10.0.0.1:7"]})").c_str());
}
