#include "target_handler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace wigeonrill::standins {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void send_json(HTTPServerResponse& answer, const nlohmann::json& content) {
    const auto body = content.dump();
    answer.setContentType("application/json");
    answer.sendBuffer(body.data(), body.size());
}

/// Answers requests that read or change the settings or read the counts.
class control_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit control_handler(target_behaviour& behaviour) : behaviour_(&behaviour) {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& answer) override {
        if (request.getURI() == "/standin/counts") {
            send_json(answer, behaviour_->counts_json());
            return;
        }
        try {
            if (request.getMethod() == HTTPRequest::HTTP_POST) {
                behaviour_->apply_changes(nlohmann::json::parse(request.stream()));
            }
            send_json(answer, behaviour_->settings_json());
        } catch (const nlohmann::json::exception& failure) {
            answer.setStatusAndReason(HTTPResponse::HTTP_BAD_REQUEST);
            send_json(answer, {{"error", failure.what()}});
        }
    }

private:
    target_behaviour* behaviour_;
};

/// Executes other requests as the settings say, or sheds them when all slots are taken.
class execution_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit execution_handler(target_behaviour& behaviour) : behaviour_(&behaviour) {}

    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& answer) override {
        Poco::NullOutputStream discarded_body;
        Poco::StreamCopier::copyStream(request.stream(), discarded_body);
        if (!behaviour_->try_take_slot()) {
            shed(answer);
            return;
        }
        behaviour_->count_execution(request.get("Idempotency-Key", ""));
        execute(Poco::URI(request.getURI()), request.getMethod() == HTTPRequest::HTTP_HEAD, answer);
        behaviour_->release_slot();
    }

private:
    void shed(HTTPServerResponse& answer) {
        add_target_headers(answer);
        answer.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        answer.set("Retry-After", "1");
        answer.set("Target-Shed", "1");
        answer.setContentLength(0);
        answer.send();
    }

    /// Adds the headers with which a target reports its load and that it drains.
    void add_target_headers(HTTPServerResponse& answer) {
        const auto settings = behaviour_->settings();
        if (settings.report_load) {
            answer.set("Target-Load", std::to_string(behaviour_->load()));
        }
        if (settings.drain) {
            answer.set("Target-Draining", "1");
        }
    }

    void execute(const Poco::URI& uri, bool is_head_request, HTTPServerResponse& answer) {
        const auto settings = behaviour_->settings();
        if (!settings.crash_path.empty() && uri.getPath() == settings.crash_path) {
            constexpr int crash_exit_status = 3;
            std::_Exit(crash_exit_status);
        }
        wait_before_answer();
        add_target_headers(answer);
        if (behaviour_->draw_error()) {
            answer.setStatusAndReason(HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        }
        send_body(body_bytes(uri, settings), settings.truncate, is_head_request, answer);
    }

    /// Waits for the latency and for as long as the target hangs.
    void wait_before_answer() {
        const std::chrono::duration<double, std::milli> latency(behaviour_->draw_latency_ms());
        if (latency.count() > 0) {
            std::this_thread::sleep_for(latency);
        }
        constexpr std::chrono::milliseconds check_period{20};
        while (behaviour_->settings().hang) {
            std::this_thread::sleep_for(check_period);
        }
    }

    /// \returns the size of the answer's body; the query parameter body_bytes=N overrides the
    /// setting
    static std::uint64_t body_bytes(const Poco::URI& uri, const target_settings& settings) {
        for (const auto& [name, value] : uri.getQueryParameters()) {
            if (name == "body_bytes") {
                return std::strtoull(value.c_str(), nullptr, 10);
            }
        }
        return settings.body_bytes;
    }

    static void send_body(std::uint64_t bytes, bool truncate, bool is_head_request,
                          HTTPServerResponse& answer) {
        answer.setContentType("application/octet-stream");
        answer.setContentLength64(static_cast<Poco::Int64>(bytes));
        answer.setKeepAlive(answer.getKeepAlive() && !truncate);
        auto& out = answer.send();
        if (is_head_request) {
            return;
        }
        constexpr std::size_t chunk_bytes = 16'384;
        const std::string chunk(chunk_bytes, 'x');
        auto remaining = truncate ? bytes / 2 : bytes;
        while (remaining > 0 && out.good()) {
            const auto n = std::min<std::uint64_t>(remaining, chunk.size());
            out.write(chunk.data(), static_cast<std::streamsize>(n));
            remaining -= n;
        }
        out.flush();
    }

    target_behaviour* behaviour_;
};

} // namespace

Poco::Net::HTTPRequestHandler*
target_handler_factory::createRequestHandler(const HTTPServerRequest& request) {
    if (request.getURI().rfind("/standin/", 0) == 0) {
        return new control_handler(*behaviour_);
    }
    return new execution_handler(*behaviour_);
}

} // namespace wigeonrill::standins
