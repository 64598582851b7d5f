#include "wigeonrill/peers.h"

#include "wigeonrill/src/peers/wire_conversion.h"

#include <limits>

// Conversion of the messages between nodes and granters of credit.

namespace wigeonrill::peers {

namespace {

std::int32_t to_count(std::uint32_t value) {
    constexpr std::uint32_t limit = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::min(value, limit));
}

std::uint32_t count_from_wire(std::int32_t value) {
    return static_cast<std::uint32_t>(std::max(value, 0));
}

std::vector<std::int16_t> to_wire(const std::vector<quota::seat>& seats) {
    return {seats.begin(), seats.end()};
}

std::vector<quota::seat> seats_from_wire(const std::vector<std::int16_t>& seats) {
    std::vector<quota::seat> valid;
    for (const auto it : seats) {
        if (it >= 0 && it < static_cast<std::int16_t>(quota::seat_count)) {
            valid.push_back(static_cast<quota::seat>(it));
        }
    }
    return valid;
}

} // namespace

wire::CreditAsk detail::to_wire(const quota::credit_ask& item) {
    wire::CreditAsk out;
    out.known_nodes = to_count(item.known_nodes);
    out.votes = peers::to_wire(item.votes);
    if (!item.withheld.empty()) {
        out.__set_withheld(peers::to_wire(item.withheld));
    }
    for (const auto& it : item.requests) {
        wire::CreditRequest one;
        one.seat = static_cast<std::int16_t>(it.of);
        one.workspace = it.workspace.value;
        one.number = static_cast<std::int32_t>(it.number);
        one.wanted = to_count(it.wanted);
        if (it.returned > 0) {
            one.__set_returned(to_count(it.returned));
        }
        out.requests.push_back(std::move(one));
    }
    out.__isset.requests = !out.requests.empty();
    return out;
}

wire::CreditGrant detail::to_wire(const quota::credit_grant& item) {
    wire::CreditGrant out;
    for (const auto& it : item.answers) {
        wire::CreditAnswer one;
        one.number = static_cast<std::int32_t>(it.number);
        one.granted = to_count(it.granted);
        if (it.retry_after.count() > 0) {
            one.__set_retry_ms(to_count(static_cast<std::uint32_t>(it.retry_after.count())));
        }
        out.answers.push_back(std::move(one));
    }
    out.__isset.answers = !out.answers.empty();
    return out;
}

quota::credit_ask detail::credit_ask_from_wire(const wire::CreditAsk& item) {
    quota::credit_ask out;
    out.known_nodes = count_from_wire(item.known_nodes);
    out.votes = seats_from_wire(item.votes);
    out.withheld = seats_from_wire(item.withheld);
    for (const auto& it : item.requests) {
        const bool is_seat = it.seat >= 0 && it.seat < static_cast<int>(quota::seat_count);
        if (valid_name(it.workspace) && is_seat) {
            out.requests.push_back({static_cast<quota::seat>(it.seat), workspace_name(it.workspace),
                                    static_cast<std::uint32_t>(it.number),
                                    count_from_wire(it.wanted), count_from_wire(it.returned)});
        }
    }
    return out;
}

quota::credit_grant detail::credit_grant_from_wire(const wire::CreditGrant& item) {
    quota::credit_grant out;
    for (const auto& it : item.answers) {
        out.answers.push_back({static_cast<std::uint32_t>(it.number), count_from_wire(it.granted),
                               milliseconds(std::max(it.retry_ms, 0))});
    }
    return out;
}

} // namespace wigeonrill::peers
