#include "wigeonrill/tool.h"

#include "wigeonrill/src/tool/commands.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using tool::exit_code;

namespace {

namespace net = Poco::Net;

class rejecting_handler final : public net::HTTPRequestHandler {
public:
    void handleRequest(net::HTTPServerRequest&, net::HTTPServerResponse& response) override {
        response.setStatus(net::HTTPResponse::HTTP_CONFLICT);
        response.setContentLength(0);
        response.send();
    }
};

class rejecting_factory final : public net::HTTPRequestHandlerFactory {
public:
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
        return new rejecting_handler; // NOLINT(cppcoreguidelines-owning-memory): POCO deletes it
    }
};

/// Administration port of a daemon that rejects every request.
struct rejecting_daemon {
    net::ServerSocket socket{net::SocketAddress("127.0.0.1", 0)};
    net::HTTPServer server{new rejecting_factory, socket, new net::HTTPServerParams};
    endpoint address{"127.0.0.1", socket.address().port()};

    rejecting_daemon() { server.start(); }
    rejecting_daemon(const rejecting_daemon&) = delete;
    rejecting_daemon& operator=(const rejecting_daemon&) = delete;
    ~rejecting_daemon() { server.stopAll(true); }
};

} // namespace

TEST_GROUP(remote_commands) {
    rejecting_daemon first;
    rejecting_daemon second;
    /// Closed before its port is used.
    net::ServerSocket unused{net::SocketAddress("127.0.0.1", 0), 1};

    exit_code show(const std::vector<endpoint>& nodes) {
        return tool::show_page("status", nodes, true);
    }
};

// Guards against telling scripts that a daemon can't be reached when all of them have answered.
TEST(remote_commands, rejections_by_several_daemons_are_a_negative_result) {
    CHECK(exit_code::negative_result == show({first.address}));
    CHECK(exit_code::negative_result == show({first.address, second.address}));
}

// Guards against a rejection that hides a daemon which did not answer.
TEST(remote_commands, one_unreachable_daemon_decides) {
    const endpoint unreachable{"127.0.0.1", unused.address().port()};
    unused.close();
    CHECK(exit_code::unreachable == show({unreachable, first.address}));
    CHECK(exit_code::unreachable == show({first.address, unreachable}));
}
