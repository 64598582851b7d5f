#include "wigeonrill/daemon.h"

#include "wigeonrill/src/daemon/admin_json.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

namespace {

/// Queries without content, which record what is to be explained.
class empty_queries final : public daemon::admin_queries {
public:
    bool ready() const override { return true; }
    std::string metrics() const override { return {}; }
    std::string status_json() const override { return "{}"; }
    std::string targets_json() const override { return "[]"; }
    std::string config_json() const override { return "{}"; }
    result<std::string> explain_json(const dispatch::explained_request& request) const override {
        explained = request;
        return std::string("{}");
    }

    mutable dispatch::explained_request explained;
};

class no_commands final : public daemon::admin_commands {
public:
    void begin_shutdown() override {}
};

int status_of(std::uint16_t port, const std::string& page) {
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    Poco::Net::HTTPRequest request("GET", page);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return response.getStatus();
}

} // namespace

TEST_GROUP(admin_server){};

// Guards against a planned stop that outlasts its grace period: the accepting thread looked only
// every 250 ms whether to stop, and an idle one may wait 10 s for a connection.
TEST(admin_server, ends_at_once_after_a_health_check) {
    constexpr int rounds = 10;
    const empty_queries queries;
    no_commands commands;
    std::chrono::steady_clock::duration stopping{};
    for (int i = 0; i < rounds; ++i) {
        auto started = daemon::admin_server::start({"127.0.0.1", 0}, queries, commands);
        CHECK(started.has_value());
        LONGS_EQUAL(200, status_of((*started)->port(), "/ready"));
        const auto begun = std::chrono::steady_clock::now();
        started->reset();
        stopping += std::chrono::steady_clock::now() - begun;
    }
    CHECK(stopping < rounds * milliseconds(150));
}

// Guards against explaining another request than the one that was asked for, and against a deadline
// that no one gave.
TEST(admin_server, passes_the_request_to_be_explained) {
    const empty_queries queries;
    no_commands commands;
    auto started = daemon::admin_server::start({"127.0.0.1", 0}, queries, commands);
    const auto port = (*started)->port();
    LONGS_EQUAL(200, status_of(port, "/explain?method=PUT&host=a&path=%2Fb&workspace=w1&size=70&"
                                     "deadline_ms=1500"));
    const auto& asked = queries.explained;
    STRCMP_EQUAL("PUT", asked.method.c_str());
    STRCMP_EQUAL("a", asked.host.c_str());
    STRCMP_EQUAL("/b", asked.path.c_str());
    STRCMP_EQUAL("w1", asked.workspace.c_str());
    LONGS_EQUAL(70, asked.body_bytes);
    CHECK(asked.time_left == milliseconds(1500));
    for (const char* page : {"/explain?path=%2Fb", "/explain?path=%2Fb&deadline_ms=-1",
                             "/explain?path=%2Fb&deadline_ms=99999999999999999999"}) {
        LONGS_EQUAL(200, status_of(port, page));
        CHECK(!asked.time_left.has_value());
    }
    LONGS_EQUAL(200, status_of(port, "/explain?path=%2Fb&deadline_ms=9999999999999999999"));
    CHECK(asked.time_left == std::chrono::hours(24));
}

// Guards against a page that leaves out a target's reason, or shows one that keeps no request away.
TEST(admin_server, explanation_shows_targets_of_each_service) {
    dispatch::explanation found;
    found.route = config::route{};
    found.route->name = route_name("read");
    auto& service = found.services.emplace_back();
    service.name = service_name("print");
    service.decision = dispatch::service_decision::sent;
    service.targets.resize(2);
    service.targets[0].id = target_id("t0");
    service.targets[0].is_choice = true;
    service.targets[1].id = target_id("t1");
    service.targets[1].obstacle = dispatch::target_obstacle::not_eligible;
    daemon::target_row ejected;
    ejected.service = service.name;
    ejected.target.id = target_id("t1");
    ejected.status.reason = "too slow";
    dispatch::explained_request request;
    request.workspace = "w2";
    const auto text = daemon::explanation_json(request, found, {ejected});
    const auto page = nlohmann::json::parse(text);
    STRCMP_EQUAL("sent", page["services"][0]["decision"].get<std::string>().c_str());
    CHECK(page["workspace"]["known"] == false);
    CHECK(page["refusal"].is_null());
    CHECK(page["targets"][0]["obstacle"].is_null());
    STRCMP_EQUAL("yes", page["targets"][0]["choice"].get<std::string>().c_str());
    STRCMP_EQUAL("not eligible", page["targets"][1]["obstacle"].get<std::string>().c_str());
    STRCMP_EQUAL("too slow", page["targets"][1]["reason"].get<std::string>().c_str());
    CHECK(page["targets"][1]["expected_cost"].is_null());
}
