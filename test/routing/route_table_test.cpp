#include "wigeonrill/routing.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

namespace {

config::route make_route(const char* name, const char* host, std::vector<std::string> methods,
                         const char* prefix) {
    config::route route;
    route.name = route_name(name);
    route.host = host;
    route.methods = std::move(methods);
    route.path_prefix = prefix;
    return route;
}

routing::route_table make_table() {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->routes = {
        make_route("any", "", {}, "/"),
        make_route("host-root", "print.example", {}, "/"),
        make_route("jobs", "", {"POST"}, "/print/jobs"),
        make_route("jobs-read", "", {"GET", "HEAD"}, "/print/jobs"),
        make_route("print", "", {}, "/print/"),
    };
    return routing::route_table(snapshot);
}

std::string found(const char* host, const char* method, const char* path) {
    static const auto table = make_table();
    const auto match = table.find(host, method, path);
    return match.route == nullptr ? "" : match.route->name.value;
}

} // namespace

TEST_GROUP(route_table){};

// Guards against matching "/print/jobsheet" with the prefix "/print/jobs".
TEST(route_table, matches_whole_segments) {
    STRCMP_EQUAL("jobs", found("a", "POST", "/print/jobs").c_str());
    STRCMP_EQUAL("jobs", found("a", "POST", "/print/jobs/7").c_str());
    STRCMP_EQUAL("print", found("a", "POST", "/print/jobsheet").c_str());
    STRCMP_EQUAL("any", found("a", "POST", "/printer").c_str());
}

// Guards against a route for another method that hides the one that allows the method.
TEST(route_table, chooses_by_method) {
    STRCMP_EQUAL("jobs-read", found("a", "HEAD", "/print/jobs/7").c_str());
    STRCMP_EQUAL("print", found("a", "DELETE", "/print/jobs/7").c_str());
}

// Guards against using a route for any host when the request's host has one, and against comparing
// hosts case-sensitively.
TEST(route_table, prefers_a_route_for_the_host) {
    STRCMP_EQUAL("host-root", found("Print.Example.", "POST", "/print/jobs").c_str());
}

// Guards against bypassing an at-most-once route by another spelling of its path, so that the
// request would be retried as idempotent.
TEST(route_table, matches_other_spellings_of_a_path) {
    STRCMP_EQUAL("jobs", found("a", "POST", "/print/%6Aobs").c_str());
    STRCMP_EQUAL("jobs", found("a", "POST", "//print///jobs").c_str());
    STRCMP_EQUAL("jobs", found("a", "POST", "/print%2fjobs").c_str());
    const auto table = make_table();
    CHECK_FALSE(table.find("a", "POST", "/x/../print/jobs").path_valid);
    CHECK_FALSE(table.find("a", "POST", "/x/%2e%2E/print/jobs").path_valid);
    CHECK_FALSE(table.find("a", "POST", "/print/%zz").path_valid);
}

// Guards against answering 404 instead of 405 when only the method has no route.
TEST(route_table, distinguishes_unknown_path_from_unknown_method) {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->routes = {make_route("jobs", "", {"POST"}, "/jobs")};
    const routing::route_table table(snapshot);
    CHECK_TRUE(table.find("a", "GET", "/jobs").path_matched);
    CHECK_FALSE(table.find("a", "GET", "/other").path_matched);
}

// Guards against a literal prefix that takes requests which it doesn't begin from a shorter one.
TEST(route_table, literal_prefix_matches_only_paths_that_it_begins) {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->routes = {
        make_route("shop", "h.example", {}, "/shop/"),
        make_route("orders", "h.example", {}, "/shop/orders/"),
        make_route("broken", "h.example", {}, "/shop/open"),
        make_route("any-host", "", {}, "/"),
    };
    const routing::route_table table(snapshot, routing::path_match::literal);
    const auto route_of = [&table](const char* path) {
        const auto match = table.find("h.example", "POST", path);
        return match.route == nullptr ? std::string() : match.route->name.value;
    };
    for (const char* path : {"/shop/", "/shop/orders", "/shop/ordersheet/7", "/shop//orders/7",
                             "/shop/%6Frders/7", "/shop%2Forders/7", "/shop/./orders/7",
                             "/shop/x/../orders/7", "/shop/open", "/shop/%zz"}) {
        const bool begins = std::string(path).starts_with("/shop/");
        STRCMP_EQUAL(begins ? "shop" : "any-host", route_of(path).c_str());
    }
    STRCMP_EQUAL("orders", route_of("/shop/orders/").c_str());
    STRCMP_EQUAL("orders", route_of("/shop/orders//7").c_str());
    STRCMP_EQUAL("any-host", route_of("/shop").c_str());
    STRCMP_EQUAL("any-host", route_of("//shop/orders/7").c_str());
    STRCMP_EQUAL("any-host", route_of("/").c_str());
    CHECK_FALSE(table.find("h.example", "OPTIONS", "*").path_valid);
}
