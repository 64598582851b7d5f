#include "wigeonrill/daemon.h"

// Members of control_loop that log fetches of the configuration from peers.

namespace wigeonrill::daemon {

using observe::log_level;
using observe::log_line;
using observe::log_subsystem;

namespace {

double to_seconds(nanoseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

log_line describe(std::string_view sentence, const finished_fetch& ended, std::uint64_t version) {
    log_line line(sentence);
    line.with("peer", ended.request.from.value)
        .with("since", static_cast<std::int64_t>(ended.request.since))
        .with("version", static_cast<std::int64_t>(version))
        .with("bytes", static_cast<std::int64_t>(ended.bytes));
    if (ended.wait) {
        line.with("wait_ms", static_cast<std::int64_t>(ended.wait->count()));
    }
    line.with("duration_ms", static_cast<std::int64_t>(ended.duration.count()));
    return line;
}

} // namespace

void control_loop::log_fetch(const finished_fetch& ended) {
    const auto outcome = ended.outcome();
    dependencies_.metrics.increment_counter(
        "wigeonrill_configuration_fetches_total", "Calls to peers for configuration changes.",
        {{"result", std::string(enum_name(fetch_outcome_names, outcome))}});
    switch (outcome) {
    case fetch_outcome::answered:
        log_answered_fetch(ended);
        return;
    case fetch_outcome::busy:
        ++busy_answers_;
        write_log(
            log_level::debug, log_subsystem::config,
            describe("A peer is too busy to send the configuration.", ended, store_.version()));
        return;
    case fetch_outcome::failed:
        write_log(
            log_level::warning, log_subsystem::config,
            describe("Fetching the configuration from a peer failed.", ended, store_.version())
                .with("reason", to_string(ended.answer.error())));
        return;
    case fetch_outcome::cancelled:
        write_log(log_level::info, log_subsystem::config,
                  describe("Fetching the configuration was cancelled.", ended, store_.version()));
        return;
    }
}

void control_loop::log_answered_fetch(const finished_fetch& ended) {
    const bool is_news = ended.answer->version > store_.version();
    auto line = describe("Configuration fetched from a peer.", ended, ended.answer->version);
    if (const auto busy = std::exchange(busy_answers_, 0); busy > 0) {
        line.with("busy_answers_before", static_cast<std::int64_t>(busy));
    }
    write_log(is_news ? log_level::info : log_level::debug, log_subsystem::config, line);
}

void control_loop::publish_configuration_delay() {
    dependencies_.metrics.set_gauge(
        "wigeonrill_configuration_behind_seconds",
        "Time since a peer announced a newer configuration than the one in force.", {},
        to_seconds(dependencies_.gossip->behind_for()));
}

} // namespace wigeonrill::daemon
