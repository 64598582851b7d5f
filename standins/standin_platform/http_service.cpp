#include "http_service.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <charconv>

namespace standin_platform {

using namespace wigeonrill;

namespace {

namespace net = Poco::Net;

// Each waiting watch occupies a thread. A fleet of the size that the design aims at has 27
// watchers.
constexpr int max_threads = 128;
constexpr int max_queued = 1024;
constexpr const char* values_prefix = "/v1/values/";

void send(net::HTTPServerResponse& response, int status, const std::string& body,
          const std::string& type) {
    response.setStatusAndReason(static_cast<net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.setContentLength64(static_cast<std::int64_t>(body.size()));
    response.send() << body;
}

void send_error(net::HTTPServerResponse& response, const error& reason) {
    const int status = reason.kind == error_kind::not_found       ? 404
                       : reason.kind == error_kind::invalid_input ? 400
                                                                  : 503;
    send(response, status, to_string(reason) + "\n", "text/plain");
}

void send_value(net::HTTPServerResponse& response, const publication::value& answer) {
    if (!answer) {
        send_error(response, answer.error());
    } else if (!*answer) {
        response.setStatusAndReason(net::HTTPResponse::HTTP_NOT_MODIFIED);
        response.send();
    } else {
        response.set("ETag", "\"" + std::to_string((*answer)->index) + "\"");
        send(response, 200, (*answer)->content, "application/json");
    }
}

class handler final : public net::HTTPRequestHandler {
public:
    explicit handler(publication& values) : values_(&values) {}

    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
        const Poco::URI uri(request.getURI());
        const auto& path = uri.getPath();
        if (path.rfind(values_prefix, 0) == 0) {
            send_value(response, values_->get(path.substr(std::string(values_prefix).size())));
        } else if (path == "/v1/watch") {
            watch(uri, response);
        } else if (path == "/standin/counts") {
            send(response, 200, values_->counts() + "\n", "application/json");
        } else if (path == "/standin/control" && request.getMethod() == "POST") {
            control(request, response);
        } else {
            send(response, 404, "no such path\n", "text/plain");
        }
    }

private:
    void watch(const Poco::URI& uri, net::HTTPServerResponse& response) {
        std::string key;
        std::uint64_t after = 0;
        result<milliseconds> wait = milliseconds{0};
        bool valid = true;
        for (const auto& [name, value] : uri.getQueryParameters()) {
            if (name == "key") {
                key = value;
            } else if (name == "wait") {
                wait = config::parse_duration(value);
            } else if (name == "after") {
                const auto* last = value.data() + value.size();
                valid = std::from_chars(value.data(), last, after).ptr == last;
            }
        }
        if (key.empty() || !valid || !wait) {
            send(response, 400, "use key=KEY&after=INDEX&wait=DURATION\n", "text/plain");
            return;
        }
        send_value(response, values_->watch(key, after, *wait));
    }

    void control(net::HTTPServerRequest& request, net::HTTPServerResponse& response) {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        if (const auto done = values_->control(body); !done) {
            send_error(response, done.error());
            return;
        }
        send(response, 200, values_->counts() + "\n", "application/json");
    }

    publication* values_;
};

class handler_factory final : public net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(publication& values) : values_(&values) {}
    net::HTTPRequestHandler* createRequestHandler(const net::HTTPServerRequest&) override {
        return new handler(*values_);
    }

private:
    publication* values_;
};

net::HTTPServerParams::Ptr server_parameters() {
    net::HTTPServerParams::Ptr it = new net::HTTPServerParams;
    it->setMaxThreads(max_threads);
    it->setMaxQueued(max_queued);
    return it;
}

} // namespace

struct http_service::server {
    net::ServerSocket socket;
    Poco::ThreadPool threads;
    net::HTTPServer http;

    server(publication& values, const std::string& address)
        : socket(net::SocketAddress(address)), threads(2, max_threads),
          http(new handler_factory(values), threads, socket, server_parameters()) {}
};

http_service::http_service(publication& values, const std::string& address)
    : values_(&values), server_(std::make_unique<server>(values, address)) {
    server_->http.start();
}

http_service::~http_service() {
    values_->stop();
    server_->http.stopAll(true);
    server_->threads.joinAll();
}

std::string http_service::address() const {
    return server_->socket.address().toString();
}

} // namespace standin_platform
