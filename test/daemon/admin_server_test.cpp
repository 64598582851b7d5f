#include "wigeonrill/daemon.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

namespace {

class empty_queries final : public daemon::admin_queries {
public:
    bool ready() const override { return true; }
    std::string metrics() const override { return {}; }
    std::string status_json() const override { return "{}"; }
    std::string targets_json() const override { return "[]"; }
    std::string config_json() const override { return "{}"; }
    result<std::string> explain_json(const std::string& /*method*/, const std::string& /*host*/,
                                     const std::string& /*path*/) const override {
        return std::string("{}");
    }
};

class no_commands final : public daemon::admin_commands {
public:
    void begin_shutdown() override {}
};

int status_of_ready(std::uint16_t port) {
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    Poco::Net::HTTPRequest request("GET", "/ready");
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
        LONGS_EQUAL(200, status_of_ready((*started)->port()));
        const auto begun = std::chrono::steady_clock::now();
        started->reset();
        stopping += std::chrono::steady_clock::now() - begun;
    }
    CHECK(stopping < rounds * milliseconds(150));
}
