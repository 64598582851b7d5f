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

/// Number of interim answers to one call that are skipped. POCO by itself skips any number.
constexpr int max_interim_answers = 16;

Poco::Timespan to_timespan(milliseconds duration) {
    return Poco::Timespan(duration.count() * 1'000);
}

// Parses the index in an ETag, with or without quotes. Zero is not a valid index.
std::optional<std::uint64_t> parse_index(std::string_view text) {
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t index = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), index);
    const bool whole = ec == std::errc{} && end == text.data() + text.size();
    return whole && index > 0 ? std::optional(index) : std::nullopt;
}

tl::unexpected<error> protocol_error(const std::string& server, const std::string& what) {
    return failed(error_kind::invalid_input, "platform: " + server + " " + what,
                  "check that the address is the platform's configuration service");
}

// Reads a value and its index. Compares the body with Content-Length, because POCO reports the end
// of a truncated body like that of a complete one.
result<stored_value> read_value(const std::string& server, const net::HTTPResponse& head,
                                std::istream& body) {
    const auto index = parse_index(head.get("ETag", ""));
    if (!index) {
        return protocol_error(server, "sent no valid index in ETag");
    }
    const auto length = head.getContentLength64();
    if (length < 0 || length > static_cast<std::int64_t>(max_value_bytes)) {
        return protocol_error(server, "sent a value without a length or above 1 MB");
    }
    stored_value value{std::string(static_cast<std::size_t>(length), '\0'), *index};
    body.read(value.content.data(), length);
    if (body.gcount() != length) {
        return failed(error_kind::unavailable, "platform: " + server + " sent a truncated value",
                      "no action needed; the call is retried");
    }
    return value;
}

// Reads heads up to that of the final answer. Returns false if there are too many interim answers.
bool read_final_head(net::HTTPClientSession& session, net::HTTPResponse& head) {
    for (int skipped = 0; skipped <= max_interim_answers; ++skipped) {
        const bool is_interim = session.peekResponse(head);
        if (!is_interim) {
            return true;
        }
    }
    return false;
}

result<std::optional<stored_value>>
read_answer(const std::string& server, const std::string& target, net::HTTPClientSession& session) {
    net::HTTPResponse head;
    if (!read_final_head(session, head)) {
        return failed(error_kind::unavailable,
                      "platform: " + server + " sent interim answers without end",
                      "no action needed; the call is retried");
    }
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
                      "no action needed; the call is retried");
    }
    auto value = read_value(server, head, body);
    if (!value) {
        return tl::unexpected(value.error());
    }
    return std::optional(std::move(*value));
}

} // namespace

struct http_value_source::impl {
    std::vector<endpoint> servers;
    milliseconds timeout{0};
    std::size_t current_server{0}; ///< index of the server that receives the next call
    std::mutex mutex;              ///< protects open_socket and interrupted
    std::optional<net::StreamSocket> open_socket; ///< socket of the call in progress
    bool interrupted{false};

    [[nodiscard]] result<std::optional<stored_value>> call(const std::string& target,
                                                           milliseconds wait);
    [[nodiscard]] result<std::optional<stored_value>>
    exchange(const endpoint& server, const std::string& target, milliseconds wait);
    [[nodiscard]] bool register_socket(const net::StreamSocket& socket);
};

// Stores the socket for interrupt(). Returns false if interrupt() was called before.
bool http_value_source::impl::register_socket(const net::StreamSocket& socket) {
    const std::lock_guard lock(mutex);
    if (!interrupted) {
        open_socket = socket;
    }
    return !interrupted;
}

result<std::optional<stored_value>> http_value_source::impl::exchange(const endpoint& server,
                                                                      const std::string& target,
                                                                      milliseconds wait) {
    const auto name = to_string(server);
    net::StreamSocket socket;
    socket.connect(net::SocketAddress(server.ip, server.port), to_timespan(timeout));
    if (!register_socket(socket)) {
        return failed(error_kind::unavailable, "platform: the call was interrupted",
                      "no action needed; the program is stopping");
    }
    net::HTTPClientSession session(socket);
    session.setTimeout(to_timespan(timeout + wait));
    net::HTTPRequest request(net::HTTPRequest::HTTP_GET, target, net::HTTPMessage::HTTP_1_1);
    request.setHost(name);
    request.setKeepAlive(false);
    session.sendRequest(request);
    return read_answer(name, target, session);
}

result<std::optional<stored_value>> http_value_source::impl::call(const std::string& target,
                                                                  milliseconds wait) {
    const auto server = servers[current_server];
    auto answer = [&]() -> result<std::optional<stored_value>> {
        try {
            return exchange(server, target, wait);
        } catch (const Poco::TimeoutException&) {
            return failed(error_kind::timed_out,
                          "platform: " + to_string(server) + " did not answer in time",
                          "no action needed; the call is retried");
        } catch (const Poco::Exception& exception) {
            return failed(error_kind::unavailable,
                          "platform: " + to_string(server) + ": " + exception.displayText(),
                          "no action needed; the call is retried");
        }
    }();
    const std::lock_guard lock(mutex);
    open_socket.reset();
    if (!answer) {
        current_server = (current_server + 1) % servers.size();
    }
    return answer;
}

http_value_source::http_value_source(std::vector<endpoint> servers, milliseconds timeout)
    : impl_(std::make_unique<impl>()) {
    WIGEONRILL_ASSERT(!servers.empty(), "the platform needs at least one address");
    impl_->servers = std::move(servers);
    impl_->timeout = timeout;
}

http_value_source::~http_value_source() = default;

result<stored_value> http_value_source::get(const std::string& key) {
    auto answer = impl_->call("/v1/values/" + key, milliseconds{0});
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (!*answer) {
        return failed(error_kind::invalid_input,
                      "platform: status 304 in answer to an unconditional request",
                      "check that the address is the platform's configuration service");
    }
    return std::move(**answer);
}

result<std::optional<stored_value>>
http_value_source::watch(const std::string& key, std::uint64_t after, milliseconds wait) {
    return impl_->call("/v1/watch?key=" + key + "&after=" + std::to_string(after) +
                           "&wait=" + std::to_string(wait.count()) + "ms",
                       wait);
}

void http_value_source::interrupt() {
    const std::lock_guard lock(impl_->mutex);
    impl_->interrupted = true;
    if (impl_->open_socket) {
        try {
            impl_->open_socket->shutdown();
        } catch (const Poco::Exception&) {
            // The server has already closed the connection, so the call ends without a shutdown.
            return;
        }
    }
}

} // namespace wigeonrill::platform
