#include "wigeonrill/platform.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <charconv>

namespace wigeonrill::platform {

namespace {

namespace net = Poco::Net;

Poco::Timespan to_timespan(milliseconds duration) {
    return Poco::Timespan(duration.count() * 1'000);
}

// Accepts the index with or without the quotes of an ETag.
std::optional<std::uint64_t> parse_index(std::string_view text) {
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t index = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), index);
    const bool whole = ec == std::errc{} && end == text.data() + text.size();
    return whole && index > 0 ? std::optional(index) : std::nullopt;
}

tl::unexpected<error> wrong_answer(const std::string& server, const std::string& what) {
    return failed(error_kind::invalid_input, "platform: " + server + " " + what,
                  "check that the address is the platform's configuration service");
}

// Reads exactly the announced bytes: POCO reports a truncated body as a normal end.
result<stored_value> read_value(const std::string& server, const net::HTTPResponse& head,
                                std::istream& body) {
    const auto index = parse_index(head.get("ETag", ""));
    if (!index) {
        return wrong_answer(server, "sent no valid index in ETag");
    }
    const auto length = head.getContentLength64();
    if (length < 0 || length > static_cast<std::int64_t>(largest_value)) {
        return wrong_answer(server, "sent a value without a length or above 1 MB");
    }
    stored_value value{std::string(static_cast<std::size_t>(length), '\0'), *index};
    body.read(value.content.data(), length);
    if (body.gcount() != length) {
        return failed(error_kind::unavailable, "platform: " + server + " sent a truncated value",
                      "none needed; the call is repeated");
    }
    return value;
}

result<std::optional<stored_value>>
read_answer(const std::string& server, const std::string& target, net::HTTPClientSession& session) {
    net::HTTPResponse head;
    auto& body = session.receiveResponse(head);
    const int status = head.getStatus();
    if (status == net::HTTPResponse::HTTP_NOT_MODIFIED) {
        return std::optional<stored_value>{};
    }
    if (status == net::HTTPResponse::HTTP_NOT_FOUND) {
        return failed(error_kind::not_found, "platform: " + server + " has no " + target,
                      "publish the value; the version in force stays");
    }
    if (status != net::HTTPResponse::HTTP_OK) {
        return failed(error_kind::unavailable,
                      "platform: " + server + " answered " + std::to_string(status),
                      "none needed; the call is repeated");
    }
    auto value = read_value(server, head, body);
    if (!value) {
        return tl::unexpected(value.error());
    }
    return std::optional(std::move(*value));
}

} // namespace

struct http_value_source::connection {
    std::vector<endpoint> servers;
    milliseconds timeout{0};
    std::size_t current{0}; ///< server of the next call
    std::mutex mutex;
    std::optional<net::StreamSocket> open; ///< socket of the call in progress
    bool interrupted{false};

    [[nodiscard]] result<std::optional<stored_value>> call(const std::string& target,
                                                           milliseconds wait);
    [[nodiscard]] result<std::optional<stored_value>>
    exchange(const endpoint& server, const std::string& target, milliseconds wait);
    [[nodiscard]] bool begin(const net::StreamSocket& socket);
};

// Makes the socket known to interrupt().
bool http_value_source::connection::begin(const net::StreamSocket& socket) {
    const std::lock_guard lock(mutex);
    if (!interrupted) {
        open = socket;
    }
    return !interrupted;
}

result<std::optional<stored_value>>
http_value_source::connection::exchange(const endpoint& server, const std::string& target,
                                        milliseconds wait) {
    const auto name = to_string(server);
    net::StreamSocket socket;
    socket.connect(net::SocketAddress(server.ip, server.port), to_timespan(timeout));
    if (!begin(socket)) {
        return failed(error_kind::unavailable, "platform: the call was interrupted",
                      "none needed; the program stops");
    }
    net::HTTPClientSession session(socket);
    session.setTimeout(to_timespan(timeout + wait));
    net::HTTPRequest request(net::HTTPRequest::HTTP_GET, target, net::HTTPMessage::HTTP_1_1);
    request.setHost(name);
    request.setKeepAlive(false);
    session.sendRequest(request);
    return read_answer(name, target, session);
}

result<std::optional<stored_value>> http_value_source::connection::call(const std::string& target,
                                                                        milliseconds wait) {
    const auto server = servers[current];
    auto answer = [&]() -> result<std::optional<stored_value>> {
        try {
            return exchange(server, target, wait);
        } catch (const Poco::TimeoutException&) {
            return failed(error_kind::timed_out,
                          "platform: " + to_string(server) + " did not answer in time",
                          "none needed; the call is repeated");
        } catch (const Poco::Exception& fault) {
            return failed(error_kind::unavailable,
                          "platform: " + to_string(server) + ": " + fault.displayText(),
                          "none needed; the call is repeated");
        }
    }();
    const std::lock_guard lock(mutex);
    open.reset();
    if (!answer) {
        current = (current + 1) % servers.size();
    }
    return answer;
}

http_value_source::http_value_source(std::vector<endpoint> servers, milliseconds timeout)
    : connection_(std::make_unique<connection>()) {
    WIGEONRILL_ASSERT(!servers.empty(), "the platform needs at least one address");
    connection_->servers = std::move(servers);
    connection_->timeout = timeout;
}

http_value_source::~http_value_source() = default;

result<stored_value> http_value_source::get(const std::string& key) {
    auto answer = connection_->call("/v1/values/" + key, milliseconds{0});
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (!*answer) {
        return failed(error_kind::invalid_input, "platform: 304 to a call without condition",
                      "check that the address is the platform's configuration service");
    }
    return std::move(**answer);
}

result<std::optional<stored_value>>
http_value_source::watch(const std::string& key, std::uint64_t after, milliseconds wait) {
    return connection_->call("/v1/watch?key=" + key + "&after=" + std::to_string(after) +
                                 "&wait=" + std::to_string(wait.count()) + "ms",
                             wait);
}

void http_value_source::interrupt() {
    const std::lock_guard lock(connection_->mutex);
    connection_->interrupted = true;
    if (connection_->open) {
        try {
            connection_->open->shutdown();
        } catch (const Poco::Exception&) {
            // The server has closed the connection already, so the call ends by itself.
            return;
        }
    }
}

} // namespace wigeonrill::platform
