#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/answer_statements.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Returns the sum of the running and waiting requests in a load report, or -1 if the text is none.
std::int32_t parse_load(std::string_view text) {
    std::int32_t running = -1;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, running);
    if (ec != std::errc{} || running < 0) {
        return -1;
    }
    std::int32_t waiting = 0;
    if (end != last && *end == ',') {
        std::from_chars(end + 1, last, waiting);
    }
    return running + std::max(waiting, 0);
}

/// Returns nothing unless the whole text is a decimal number of 0 or more, without an exponent.
std::optional<double> parse_decimal(std::string_view text) {
    double number = 0.0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, number, std::chars_format::fixed);
    const bool is_valid = ec == std::errc{} && end == last && std::isfinite(number) && number >= 0;
    return is_valid ? std::optional(number) : std::nullopt;
}

/// Longest pause of a target that is believed.
constexpr std::chrono::duration<double> max_pause = std::chrono::hours(24);

/// Returns the longest time if there are several fields; 0 without a readable one. A date is not
/// readable, because the clocks of two VMs differ.
nanoseconds read_pause(const message_head& head) {
    std::chrono::duration<double> longest{0.0};
    for (const auto& [field, value] : head.fields) {
        if (equal_ignoring_case(field, "Retry-After")) {
            const std::chrono::duration<double> stated(parse_decimal(value).value_or(0.0));
            longest = std::max(longest, std::min(stated, max_pause));
        }
    }
    return std::chrono::duration_cast<nanoseconds>(longest);
}

/// Returns the lowest limit if there are several fields, so that none of them is exceeded.
health::rate_limit_statement read_rate_limit(const message_head& head, const std::string& name) {
    health::rate_limit_statement stated;
    for (const auto& [field, value] : head.fields) {
        if (name.empty() || !equal_ignoring_case(field, name)) {
            continue;
        }
        const auto rate = parse_decimal(value);
        stated.is_unreadable = stated.is_unreadable || !rate;
        if (rate) {
            stated.per_second = std::min(*rate, stated.per_second.value_or(*rate));
        }
    }
    stated.is_unreadable = stated.is_unreadable && !stated.per_second;
    return stated;
}

/// Returns true when the answer has a field with a value that isn't a negation.
bool states(const message_head& head, const std::string& name) {
    const auto value = head.value(name);
    return !value.empty() && value != "0" && !equal_ignoring_case(value, "false");
}

/// Returns true when the answer states that the target did not run the request, and another target
/// may run it.
bool reports_not_run(const message_head& head, const header_names& names, bool misdirected) {
    const bool refused = head.status >= 500 || implies_not_run(head.status);
    const bool stated = states(head, names.not_run) || misdirected;
    return refused && (stated || (names.retry_after_means_not_run && head.status == 503 &&
                                  head.count("Retry-After") > 0));
}

/// Returns the outcome that a node states; nodes remove the field from the answers of targets.
std::optional<outcome> read_node_refusal(const message_head& head) {
    const auto text = head.value("Wigeonrill-Outcome");
    if (text.empty()) {
        return std::nullopt;
    }
    return text == enum_name(outcome_names, outcome::not_run) ? outcome::not_run : outcome::unknown;
}

} // namespace

bool has_required_signature(const message_head& head, const header_names& names, step_kind kind) {
    const auto& name = names.signature;
    const bool success = head.status >= 200 && head.status < 300;
    return name.empty() || kind != step_kind::send || !success || head.count(name) == 1;
}

bool answers_other_request(const message_head& head, const header_names& names, step_kind kind,
                           const request_info& request) {
    const auto& name = names.request_id;
    return !name.empty() && kind == step_kind::send && head.count(name) > 0 &&
           head.value(name) != request.name;
}

bool names_request(const message_head& head, const header_names& names,
                   const request_info& request) {
    const auto& name = names.request_id;
    return !name.empty() && !request.name.empty() && head.count(name) == 1 &&
           head.value(name) == request.name;
}

void record_statements(const message_head& head, const header_names& names, step_kind kind,
                       attempt_result& result) {
    result.status = head.status;
    result.draining = !names.draining.empty() && head.value(names.draining) == "1";
    result.misdirected = !names.expected_target.empty() && head.status == 421;
    result.reported_load = parse_load(head.value(names.load));
    // Another target that now has the address speaks for itself only.
    if (kind == step_kind::send && !result.misdirected) {
        result.rate_limit = read_rate_limit(head, names.rate_limit);
    }
    const bool may_pause = kind == step_kind::send && !result.misdirected && head.status == 503;
    if (names.retry_after_is_pause && may_pause) {
        result.pause = read_pause(head);
    }
    if (kind == step_kind::forward) {
        result.node_refusal = read_node_refusal(head);
    }
    // A refusal by another node says nothing about the slots of a target, so it is not a shed.
    if (kind == step_kind::send && reports_not_run(head, names, result.misdirected)) {
        result.kind = answer_kind::shed;
    } else {
        // Without that statement, a status that implies it is a failure of the target.
        const bool failed =
            head.status >= 500 || (kind == step_kind::send && implies_not_run(head.status));
        result.kind = failed ? answer_kind::server_error : answer_kind::ok;
    }
}

} // namespace wigeonrill::traffic::detail
