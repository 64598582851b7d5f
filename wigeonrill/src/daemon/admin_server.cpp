#include "wigeonrill/daemon.h"

#include "wigeonrill/src/traffic/tcp_server_stop.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>

namespace wigeonrill::daemon {

namespace {

using Poco::Net::HTTPResponse;

constexpr int admin_threads = 4;
constexpr int admin_connections = 32;

struct reply {
    HTTPResponse::HTTPStatus status{HTTPResponse::HTTP_OK};
    std::string content_type{"application/json"};
    std::string body;
};

std::string query_value(const Poco::URI& uri, const std::string& key) {
    for (const auto& [name, value] : uri.getQueryParameters()) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

// Returns nothing unless the whole text is a decimal number.
std::optional<std::uint64_t> parse_number(const std::string& text) {
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc{} && last == end ? std::optional(number) : std::nullopt;
}

reply explain(const admin_queries& queries, const Poco::URI& uri) {
    constexpr std::uint64_t max_time_left_ms = 86'400'000;
    dispatch::explained_request request;
    request.method = query_value(uri, "method");
    request.host = query_value(uri, "host");
    request.path = query_value(uri, "path");
    request.workspace = query_value(uri, "workspace");
    request.body_bytes = parse_number(query_value(uri, "size")).value_or(0);
    if (const auto ms = parse_number(query_value(uri, "deadline_ms"))) {
        request.time_left = milliseconds(std::min(*ms, max_time_left_ms));
    }
    const auto text = queries.explain_json(request);
    if (!text) {
        return {HTTPResponse::HTTP_NOT_FOUND, "text/plain", to_string(text.error()) + "\n"};
    }
    return {HTTPResponse::HTTP_OK, "application/json", *text};
}

reply handle_get(const admin_queries& queries, const Poco::URI& uri) {
    const auto& path = uri.getPath();
    if (path == "/live") {
        return {HTTPResponse::HTTP_OK, "text/plain", "live\n"};
    }
    if (path == "/ready") {
        return queries.ready()
                   ? reply{HTTPResponse::HTTP_OK, "text/plain", "ready\n"}
                   : reply{HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain", "not ready\n"};
    }
    if (path == "/metrics") {
        return {HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", queries.metrics()};
    }
    if (path == "/status") {
        return {HTTPResponse::HTTP_OK, "application/json", queries.status_json()};
    }
    if (path == "/targets") {
        return {HTTPResponse::HTTP_OK, "application/json", queries.targets_json()};
    }
    if (path == "/config") {
        return {HTTPResponse::HTTP_OK, "application/json", queries.config_json()};
    }
    if (path == "/explain") {
        return explain(queries, uri);
    }
    return {HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no such page\n"};
}

class admin_handler final : public Poco::Net::HTTPRequestHandler {
public:
    admin_handler(const admin_queries& queries, admin_commands& commands)
        : queries_(queries), commands_(commands) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
        reply content;
        try {
            content = handle(request.getMethod(), Poco::URI(request.getURI()));
        } catch (const Poco::Exception& failure) {
            content = {HTTPResponse::HTTP_BAD_REQUEST, "text/plain", failure.displayText() + "\n"};
        }
        response.setStatusAndReason(content.status);
        response.setContentType(content.content_type);
        response.sendBuffer(content.body.data(), content.body.size());
    }

private:
    reply handle(const std::string& method, const Poco::URI& uri) {
        if (method == "GET") {
            return handle_get(queries_, uri);
        }
        if (method == "POST" && uri.getPath() == "/drain") {
            commands_.begin_shutdown();
            return {HTTPResponse::HTTP_ACCEPTED, "application/json", R"({"draining":true})"};
        }
        return {HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "text/plain", "use GET, or POST /drain\n"};
    }

    const admin_queries& queries_;
    admin_commands& commands_;
};

class admin_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    admin_handler_factory(const admin_queries& queries, admin_commands& commands)
        : queries_(queries), commands_(commands) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new admin_handler(queries_, commands_);
    }

private:
    const admin_queries& queries_;
    admin_commands& commands_;
};

} // namespace

struct admin_server::state {
    // The server uses the thread pool until it is destroyed, so the pool is declared first.
    Poco::ThreadPool threads{1, admin_threads};
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

admin_server::admin_server(std::unique_ptr<state> initial) : state_(std::move(initial)) {}

admin_server::~admin_server() {
    traffic::wake_acceptor(*state_->server);
    state_->server->stopAll(true);
}

std::uint16_t admin_server::port() const {
    return state_->server->port();
}

result<std::unique_ptr<admin_server>> admin_server::start(const endpoint& address,
                                                          const admin_queries& queries,
                                                          admin_commands& commands) {
    try {
        auto initial = std::make_unique<state>();
        Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address.ip, address.port));
        Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(admin_threads);
        parameters->setMaxQueued(admin_connections);
        parameters->setKeepAlive(false);
        traffic::shorten_idle_time(*parameters);
        initial->server = std::make_unique<Poco::Net::HTTPServer>(
            new admin_handler_factory(queries, commands), initial->threads, socket, parameters);
        initial->server->start();
        return std::unique_ptr<admin_server>(new admin_server(std::move(initial)));
    } catch (const Poco::Exception& failure) {
        return failed(error_kind::unavailable,
                      "can't listen on " + to_string(address) + ": " + failure.displayText(),
                      "choose a free address for \"admin\" in the settings file");
    }
}

} // namespace wigeonrill::daemon
