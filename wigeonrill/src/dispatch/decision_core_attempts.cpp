#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

// Sends of one request after an attempt that may have run, as the design allows.
constexpr std::uint32_t most_losses = 2;
// Sends of one request in all; sheds and refused connections beyond it are refused to the caller.
constexpr std::uint32_t most_attempts = 4;
// The wall clock runs on while a VM is suspended, unlike the monotonic clock. The tolerance covers
// steps of time synchronization.
constexpr seconds clock_step_tolerance{1};
// Time for which a target that says it is leaving gets nothing, until a view leaves it out.
constexpr seconds draining_time{30};

bool is_answer(health::answer_kind kind) {
    return kind == health::answer_kind::ok || kind == health::answer_kind::server_error;
}

bool is_shed(health::answer_kind kind) {
    return kind == health::answer_kind::shed;
}

refusal_kind kind_of_failure(health::answer_kind kind) {
    switch (kind) {
    case health::answer_kind::shed:
        return refusal_kind::shed;
    case health::answer_kind::silent:
        return refusal_kind::target_silent;
    case health::answer_kind::malformed:
        return refusal_kind::bad_answer;
    case health::answer_kind::connect_failed:
        return refusal_kind::unreachable;
    case health::answer_kind::cancelled:
        return refusal_kind::deadline_passed;
    default:
        return refusal_kind::target_lost;
    }
}

} // namespace

traffic::outcome decision_core::outcome_of(const request_record& record) const {
    // Another node may have run the key, so only what is known to be new is called not run.
    const bool foreign_key =
        !record.info.idempotency_key.empty() && (record.route == nullptr || at_most_once(record));
    return record.losses > 0 || foreign_key ? traffic::outcome::unknown : traffic::outcome::not_run;
}

bool decision_core::may_send(std::uint64_t id, moment at) {
    auto& record = record_of(id);
    if (!record.chosen || at.now >= record.deadline) {
        return false;
    }
    const auto left = record.deadline - record.chosen->now;
    const auto wall_elapsed = at.wall - record.chosen->wall;
    if (wall_elapsed > left + clock_step_tolerance) {
        return false;
    }
    record.sent = at.now;
    return true;
}

bool decision_core::ended(std::uint64_t id, const traffic::attempt_result& attempt, moment at) {
    auto& record = record_of(id);
    if (record.place) {
        report(record, attempt);
    }
    if (is_answer(attempt.kind)) {
        if (record.place) {
            record.place->limiter.on_answer();
        }
        record.head_passed = true;
        return false;
    }
    release(record, attempt, at.now);
    after_failure(record, attempt, at);
    return true;
}

void decision_core::report(const request_record& record, const traffic::attempt_result& attempt) {
    auto& place = *record.place;
    place.hint.report(attempt.reported_load, place.slots, attempt.ended);
    if (attempt.draining) {
        place.draining_until = attempt.ended + draining_time;
    }
    health::answer answer;
    answer.service = record.route->service;
    answer.target = place.id;
    answer.route = record.route->name;
    answer.sent = record.sent.value_or(attempt.sent);
    answer.ended = attempt.ended;
    answer.kind = attempt.kind;
    answer.request = record.info.id;
    answer.draining = attempt.draining;
    answer.reported_load = attempt.reported_load;
    answer.fingerprint = record.fingerprint;
    events_.emplace_back(std::move(answer));
}

void decision_core::release(request_record& record, const traffic::attempt_result& attempt,
                            instant now) {
    if (!record.place) {
        return;
    }
    // A target that refuses connections answers fastest of all, so it must lose its places too.
    if (is_shed(attempt.kind) || attempt.kind == health::answer_kind::connect_failed) {
        const auto sent = record.sent.value_or(record.chosen ? record.chosen->now : now);
        record.place->limiter.on_shed(sent, now, random_.uniform());
    }
    record.place->limiter.release();
    record.tried.push_back(record.place->id);
    record.place.reset();
}

void decision_core::after_failure(request_record& record, const traffic::attempt_result& attempt,
                                  moment at) {
    const bool not_run = is_shed(attempt.kind) || !attempt.request_bytes_sent;
    if (!not_run) {
        ++record.losses;
    }
    const bool repeatable = not_run || (!at_most_once(record) && record.losses < most_losses);
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted = attempt.kind != health::answer_kind::cancelled &&
                        !attempt.answer_bytes_passed && record.attempts < most_attempts;
    if (repeatable && sendable && wanted && !stopping_ && at.now < record.deadline &&
        record.service->any_eligible(at.now) && record.service->retries.take(at.now)) {
        record.reason =
            "retry after " + std::string(enum_name(health::answer_kind_names, attempt.kind));
        seek_place(record, at);
    } else {
        const auto kind = kind_of_failure(attempt.kind);
        refuse(record, kind, outcome_of(record),
               not_run ? retry_after(record) : std::optional<seconds>{});
    }
    drain(*record.service, at.now);
}

std::optional<seconds> decision_core::retry_after(const request_record& record) {
    const auto& service = *record.service;
    return service.estimator.retry_after(service.queue.size(), random_.uniform());
}

void decision_core::finished(std::uint64_t id, moment at) {
    auto& record = record_of(id);
    if (record.queued) {
        record.service->queue.remove(id);
    }
    auto* service = record.service;
    if (record.place) {
        record.place->limiter.release();
    }
    records_.erase(id);
    if (service != nullptr) {
        drain(*service, at.now);
    }
}

} // namespace wigeonrill::dispatch
