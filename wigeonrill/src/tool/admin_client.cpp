#include "wigeonrill/tool.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

namespace wigeonrill::tool {

namespace {

constexpr int first_success_status = 200;
constexpr int last_success_status = 299;
constexpr int first_error_status = 400;
constexpr int last_error_status = 599;

bool is_success(int status) {
    return status >= first_success_status && status <= last_success_status;
}

bool is_error(int status) {
    return status >= first_error_status && status <= last_error_status;
}

} // namespace

admin_client::admin_client(endpoint address, milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

result<std::string> admin_client::get(const std::string& path) const {
    return send_request(Poco::Net::HTTPRequest::HTTP_GET, path);
}

result<std::string> admin_client::post(const std::string& path) const {
    return send_request(Poco::Net::HTTPRequest::HTTP_POST, path);
}

result<std::string> admin_client::send_request(const std::string& method,
                                               const std::string& path) const {
    try {
        Poco::Net::HTTPClientSession session(address_.ip, address_.port);
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(timeout_).count()));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        const int status = response.getStatus();
        if (is_error(status)) {
            return failed(error_kind::conflict,
                          to_string(address_) + " refused " + path + ": " + body,
                          "see docs/operations for the meaning of the message");
        }
        if (!is_success(status)) {
            return failed(error_kind::unavailable,
                          to_string(address_) + " answered " + path + " with status " +
                              std::to_string(status),
                          "check that --admin is the administration address of a wigeonrilld");
        }
        return body;
    } catch (const Poco::Exception& failure) {
        return failed(
            error_kind::unavailable,
            "no answer from " + to_string(address_) + ": " + failure.displayText(),
            "check that wigeonrilld is running and that --admin is its administration address");
    }
}

} // namespace wigeonrill::tool
