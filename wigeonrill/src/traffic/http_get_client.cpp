#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/connection_registry.h"
#include "wigeonrill/src/traffic/target_pool.h"

#include <array>

namespace wigeonrill::traffic {

namespace {

using detail::io_status;
using detail::message_reader;

constexpr std::uint32_t max_answer_head_bytes = 16'384;
// A value of the platform has up to 1 MiB before base64 encoding, and a page of a list is of about
// the same size.
constexpr std::uint64_t max_answer_body_bytes = std::uint64_t{8} << 20U;
/// Number of interim answers to one call that are skipped.
constexpr int max_interim_answers = 16;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;

tl::unexpected<error> unavailable(const std::string& server, const std::string& what) {
    return failed(error_kind::unavailable, server + " " + what,
                  "none needed; the call is repeated");
}

tl::unexpected<error> timed_out(const std::string& server) {
    return failed(error_kind::timed_out, server + " did not answer in time",
                  "none needed; the call is repeated");
}

tl::unexpected<error> still_arriving(const std::string& server, std::size_t received) {
    return failed(
        error_kind::overloaded,
        server + " did not end its answer in time, bytes received: " + std::to_string(received),
        "none needed; the call is repeated");
}

// Deadlines of one call: the server may be silent for some time only, again and again.
class call_deadline {
public:
    call_deadline(const http_call_limits& limits, const clock_source& clock)
        : clock_(&clock), silence_(limits.silence), end_(clock.now() + limits.total) {}

    /// \returns until when the next byte may arrive
    [[nodiscard]] instant next() const { return std::min(clock_->now() + silence_, end_); }
    [[nodiscard]] instant end() const { return end_; }

private:
    const clock_source* clock_;
    milliseconds silence_;
    instant end_;
};

} // namespace

std::string_view http_response::value(std::string_view name) const {
    return detail::field_value(fields, name);
}

struct http_get_client::state {
    state(endpoint address, const clock_source& time)
        : server(std::move(address)), name(to_string(server)), clock(&time), pool(time) {}

    [[nodiscard]] result<http_response> perform_call(const std::string& target,
                                                     const call_deadline& deadline);
    [[nodiscard]] result<http_response> read_answer(const call_deadline& deadline);
    /// Reads heads up to that of the final answer.
    [[nodiscard]] message_reader::status read_final_head(const call_deadline& deadline);
    [[nodiscard]] tl::unexpected<error> to_error(message_reader::status ended) const;

    endpoint server;
    std::string name;
    const clock_source* clock;
    detail::target_pool pool; ///< used only to open connections
    detail::connection_ptr connection;
    detail::connection_registry interruption; ///< its close signal ends the waits of a call
};

tl::unexpected<error> http_get_client::state::to_error(message_reader::status ended) const {
    using status = message_reader::status;
    switch (ended) {
    case status::timed_out:
        return timed_out(name);
    case status::watched_closed:
        return failed(error_kind::unavailable, "the call was interrupted",
                      "none needed; the program stops");
    case status::faulty:
        return unavailable(name, "sent a malformed answer");
    default:
        return unavailable(name, "closed the connection");
    }
}

// The final answer follows the interim ones on the connection. If one of these were taken for the
// answer, the final one would be taken for that to the next call.
message_reader::status http_get_client::state::read_final_head(const call_deadline& deadline) {
    using status = message_reader::status;
    auto& reader = connection->reader();
    for (int skipped = 0; skipped <= max_interim_answers; ++skipped) {
        reader.begin(
            detail::make_answer_parser({max_answer_head_bytes, max_answer_body_bytes}, false));
        const auto ended = reader.read_head(deadline.next(), interruption.close_signal());
        const int code = reader.parser().head().status;
        if (ended != status::ok || code >= first_final_status) {
            return ended;
        }
        if (code == status_switching_protocols) {
            break; // No other protocol was asked for.
        }
    }
    return status::faulty;
}

result<http_response> http_get_client::state::read_answer(const call_deadline& deadline) {
    using status = message_reader::status;
    auto& reader = connection->reader();
    if (const auto ended = read_final_head(deadline); ended != status::ok) {
        return to_error(ended);
    }
    const auto& head = reader.parser().head();
    http_response answer{head.status, {}, head.fields};
    std::array<char, detail::transfer_buffer_bytes> piece{};
    while (!reader.parser().done()) {
        std::size_t n = 0;
        const auto until = deadline.next();
        const auto ended =
            reader.read_body(piece.data(), piece.size(), n, until, interruption.close_signal());
        if (ended != status::ok) {
            const bool arriving = ended == status::timed_out && until == deadline.end();
            return arriving ? still_arriving(name, answer.body.size()) : to_error(ended);
        }
        answer.body.append(piece.data(), n);
    }
    return answer;
}

result<http_response> http_get_client::state::perform_call(const std::string& target,
                                                           const call_deadline& deadline) {
    if (!connection) {
        const auto left = std::chrono::ceil<milliseconds>(deadline.next() - clock->now());
        connection = pool.connect(server, left);
    }
    if (!connection) {
        return unavailable(name, "can't be reached");
    }
    const std::string text = "GET " + target + " HTTP/1.1\r\nHost: " + name + "\r\n\r\n";
    std::size_t sent = 0;
    const auto until = deadline.next();
    const auto left = std::chrono::ceil<milliseconds>(until - clock->now());
    const auto sending = detail::send_watching(connection->fd(), text, {left, until}, *clock, sent,
                                               interruption.close_signal());
    if (sending != io_status::ok) {
        return sending == io_status::timed_out ? timed_out(name)
                                               : unavailable(name, "closed the connection");
    }
    return read_answer(deadline);
}

http_get_client::http_get_client(endpoint server, const clock_source& clock)
    : state_(std::make_unique<state>(std::move(server), clock)) {}

http_get_client::~http_get_client() = default;

result<http_response> http_get_client::get(const std::string& target,
                                           const http_call_limits& limits) {
    const call_deadline deadline(limits, *state_->clock);
    if (state_->connection && !detail::is_open_without_input(state_->connection->fd())) {
        state_->connection.reset();
    }
    auto answer = state_->perform_call(target, deadline);
    const bool reusable = answer && state_->connection->reader().parser().keep_alive() &&
                          !state_->connection->reader().has_unread_bytes();
    if (!reusable) {
        state_->connection.reset();
    }
    return answer;
}

void http_get_client::interrupt() {
    state_->interruption.close_waiting();
}

} // namespace wigeonrill::traffic
