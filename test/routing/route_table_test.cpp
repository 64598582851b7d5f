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

// Guards against a route of another method hiding the one that allows the method.
TEST(route_table, chooses_by_method) {
    STRCMP_EQUAL("jobs-read", found("a", "HEAD", "/print/jobs/7").c_str());
    STRCMP_EQUAL("print", found("a", "DELETE", "/print/jobs/7").c_str());
}

// Guards against a request for one host that gets the route of any host, and against letter case.
TEST(route_table, prefers_the_host) {
    STRCMP_EQUAL("host-root", found("Print.Example.", "POST", "/print/jobs").c_str());
}

// Guards against an at-most-once route that is passed by with another spelling of its path, which
// would then be retried as idempotent.
TEST(route_table, sees_through_other_spellings) {
    STRCMP_EQUAL("jobs", found("a", "POST", "/print/%6Aobs").c_str());
    STRCMP_EQUAL("jobs", found("a", "POST", "//print///jobs").c_str());
    STRCMP_EQUAL("jobs", found("a", "POST", "/print%2fjobs").c_str());
    const auto table = make_table();
    CHECK_FALSE(table.find("a", "POST", "/x/../print/jobs").path_valid);
    CHECK_FALSE(table.find("a", "POST", "/x/%2e%2E/print/jobs").path_valid);
    CHECK_FALSE(table.find("a", "POST", "/print/%zz").path_valid);
}

// Guards against answering 404 where 405 is right.
TEST(route_table, tells_unknown_path_from_unknown_method) {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->routes = {make_route("jobs", "", {"POST"}, "/jobs")};
    const routing::route_table table(snapshot);
    CHECK_TRUE(table.find("a", "GET", "/jobs").path_known);
    CHECK_FALSE(table.find("a", "GET", "/other").path_known);
}
