#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/connection_registry.h"
#include "wigeonrill/src/traffic/target_pool.h"

#include <array>

namespace wigeonrill::traffic {

namespace {

using detail::io_status;
using detail::message_reader;

constexpr std::uint32_t most_head_bytes = 16'384;
// The platform's values have up to 1 MiB, in base64, and a page of a list has about as much.
constexpr std::uint64_t most_body_bytes = std::uint64_t{8} << 20U;

tl::unexpected<error> unavailable(const std::string& server, const std::string& what) {
    return failed(error_kind::unavailable, server + " " + what,
                  "none needed; the call is repeated");
}

tl::unexpected<error> timed_out(const std::string& server) {
    return failed(error_kind::timed_out, server + " did not answer in time",
                  "none needed; the call is repeated");
}

} // namespace

struct call_client::state {
    state(endpoint address, const clock_source& time)
        : server(std::move(address)), name(to_string(server)), clock(&time), pool(time) {}

    [[nodiscard]] result<call_answer> exchange(const std::string& target, instant deadline);
    [[nodiscard]] result<call_answer> read_answer(instant deadline);
    [[nodiscard]] tl::unexpected<error> fault_of(message_reader::status ended) const;

    endpoint server;
    std::string name;
    const clock_source* clock;
    detail::target_pool pool; ///< only to open connections
    detail::connection_ptr connection;
    detail::connection_registry stop; ///< its close signal ends every wait of a call
};

tl::unexpected<error> call_client::state::fault_of(message_reader::status ended) const {
    using status = message_reader::status;
    switch (ended) {
    case status::timed_out:
        return timed_out(name);
    case status::watched_left:
        return failed(error_kind::unavailable, "the call was interrupted",
                      "none needed; the program stops");
    case status::faulty:
        return unavailable(name, "sent a malformed answer");
    default:
        return unavailable(name, "closed the connection");
    }
}

result<call_answer> call_client::state::read_answer(instant deadline) {
    using status = message_reader::status;
    auto& reader = connection->reader();
    reader.begin(detail::make_answer_check({most_head_bytes, most_body_bytes}, false));
    if (const auto ended = reader.read_head(deadline, stop.close_signal()); ended != status::ok) {
        return fault_of(ended);
    }
    call_answer answer{reader.check().head().status, {}};
    std::array<char, detail::piece_bytes> piece{};
    while (!reader.check().done()) {
        std::size_t n = 0;
        const auto ended =
            reader.read_body(piece.data(), piece.size(), n, deadline, stop.close_signal());
        if (ended != status::ok) {
            return fault_of(ended);
        }
        answer.body.append(piece.data(), n);
    }
    return answer;
}

result<call_answer> call_client::state::exchange(const std::string& target, instant deadline) {
    if (!connection) {
        const auto left = std::chrono::ceil<milliseconds>(deadline - clock->now());
        connection = pool.connect(server, left);
    }
    if (!connection) {
        return unavailable(name, "can't be reached");
    }
    const std::string text = "GET " + target + " HTTP/1.1\r\nHost: " + name + "\r\n\r\n";
    std::size_t sent = 0;
    const auto left = std::chrono::ceil<milliseconds>(deadline - clock->now());
    const auto sending =
        detail::send_watching(connection->fd(), text, left, *clock, sent, stop.close_signal());
    if (sending != io_status::ok) {
        return sending == io_status::timed_out ? timed_out(name)
                                               : unavailable(name, "closed the connection");
    }
    return read_answer(deadline);
}

call_client::call_client(endpoint server, const clock_source& clock)
    : state_(std::make_unique<state>(std::move(server), clock)) {}

call_client::~call_client() = default;

result<call_answer> call_client::get(const std::string& target, milliseconds limit) {
    const auto deadline = state_->clock->now() + limit;
    if (state_->connection && !detail::is_quiet(state_->connection->fd())) {
        state_->connection.reset();
    }
    auto answer = state_->exchange(target, deadline);
    const bool reusable = answer && state_->connection->reader().check().keep_alive() &&
                          !state_->connection->reader().has_surplus();
    if (!reusable) {
        state_->connection.reset();
    }
    return answer;
}

void call_client::interrupt() {
    state_->stop.close_waiting();
}

} // namespace wigeonrill::traffic
