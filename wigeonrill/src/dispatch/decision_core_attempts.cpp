#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

// Number of targets that may run one repeatable request, unless its route sets another limit.
constexpr std::uint32_t default_max_runs = 2;
// Total number of sends of one request. After a shed or a refused connection beyond it, the request
// is refused.
constexpr std::uint32_t max_attempts = 8;
// Delay before the next attempt of a shed request when the retry budget is used up. It doubles with
// each attempt.
constexpr milliseconds base_shed_delay{20};
// Time for which a target whose address now belongs to another target gets no requests. A view
// without it should arrive soon.
constexpr seconds misdirected_exclusion{4};

// Number of targets that can't be connected to after which a request is passed to another node. A
// few targets may be down at once.
constexpr std::uint32_t failed_connects_to_relay = 3;
// Delay before the next attempt of a request whose target crashed, in which the other nodes learn
// of the crash. A caller that sends the request to several nodes at once thus crashes fewer
// targets.
constexpr milliseconds crash_retry_delay{100};

bool was_not_run(const traffic::attempt_result& attempt) {
    return is_shed(attempt.kind) || !attempt.request_bytes_sent;
}

} // namespace

refusal_kind refusal_of(const traffic::attempt_result& attempt) {
    if (is_shed(attempt.kind)) {
        return refusal_kind::shed;
    }
    if (!attempt.request_bytes_sent) {
        return attempt.kind == health::answer_kind::cancelled ? refusal_kind::deadline_passed
                                                              : refusal_kind::unreachable;
    }
    switch (attempt.kind) {
    case health::answer_kind::silent:
    case health::answer_kind::cancelled:
        return refusal_kind::target_silent;
    case health::answer_kind::malformed:
        return refusal_kind::bad_answer;
    default:
        return refusal_kind::target_lost;
    }
}

traffic::outcome decision_core::outcome_of(const request_record& record) const {
    // A request with a key is provably not run only if it holds the key. Otherwise an earlier
    // request with the same key may have run, through this node or another one.
    const bool keyed =
        !record.info.idempotency_key.empty() && (record.route == nullptr || at_most_once(record));
    const bool provable = record.inconclusive_attempts == 0 && (!keyed || record.holds_key);
    return provable ? traffic::outcome::not_run : traffic::outcome::unknown;
}

bool decision_core::may_send(std::uint64_t id, clock_reading at) {
    auto& record = record_of(id);
    if (!record.decided_at) {
        return false;
    }
    const once::send_guard guard{record.decided_at->now, record.decided_at->wall, record.deadline};
    // Crash marks may have arrived since the request was placed.
    if (!guard.may_send(at.now, at.wall) || containment_.is_blocked(record.fingerprint, at.wall)) {
        return false;
    }
    if (record.holds_key) {
        key_admission_.on_send(*record.key);
    }
    if (record.sent && record.assigned_target) {
        // The attempt is sent again on a new connection, which is one more request for the target.
        rate_limits_.on_send(record.assigned_target->id, at.now);
    }
    record.sent = at.now;
    record.is_overdue = false;
    return true;
}

bool decision_core::on_attempt_ended(std::uint64_t id, const traffic::attempt_result& attempt,
                                     clock_reading at) {
    auto& record = record_of(id);
    if (record.forwarding) {
        return handle_forward_result(record, attempt, at.now);
    }
    if (record.relaying) {
        return handle_relay_result(record, attempt, at);
    }
    if (!record.assigned_target) {
        // The attempt already ended with the answer's head or a refusal; then the body broke off.
        refuse(record, refusal_of(attempt), outcome_of(record), at.now);
        return true;
    }
    sync_service(record.chosen_service, *record.service);
    if (is_answer(attempt.kind) || is_shed(attempt.kind)) {
        silences_.on_answer(record.assigned_target->id, attempt.ended);
    }
    report_attempt(record, attempt, at.wall);
    observe_attempt(record, attempt, at.now);
    observe_connection(record, attempt, at.now);
    if (is_answer(attempt.kind)) {
        record.assigned_target->limiter.on_answer();
        // A sick target may answer with an error before it runs the request.
        if (attempt.kind == health::answer_kind::ok) {
            containment_.on_success(record.fingerprint, at.wall);
        }
        if (attempt.kind == health::answer_kind::server_error &&
            retry_server_error(record, attempt, at)) {
            return true;
        }
        if (has_unproven_status(record, attempt)) {
            release_target(record, attempt, at.now);
            refuse_unproven_status(record, attempt, at.now);
            serve_queue(*record.service, at.now);
            return true;
        }
        record.answer_started = true;
        return false;
    }
    const bool crashed = detect_crash(record, attempt, at);
    release_target(record, attempt, at.now);
    handle_failure(record, attempt, crashed, at);
    return true;
}

// Callers send the request again after such a status, so it would run twice.
bool decision_core::has_unproven_status(const request_record& record,
                                        const traffic::attempt_result& attempt) {
    return at_most_once(record) && traffic::implies_not_run(attempt.status) &&
           attempt.node_refusal != traffic::outcome::not_run;
}

void decision_core::refuse_unproven_status(request_record& record,
                                           const traffic::attempt_result& attempt, instant now) {
    ++record.inconclusive_attempts;
    record.reason = "answered " + std::to_string(attempt.status) + " without a proof";
    refuse(record, refusal_kind::unproven_status, traffic::outcome::unknown, now);
}

void decision_core::report_attempt(const request_record& record,
                                   const traffic::attempt_result& attempt, wall_time wall) {
    auto& target = *record.assigned_target;
    target.hint.report(attempt.reported_load, target.slots, attempt.ended);
    target.is_draining = target.is_draining || attempt.draining;
    if (attempt.misdirected) {
        target.misdirected_until = attempt.ended + misdirected_exclusion;
    }
    target.paused_until = std::max(target.paused_until, attempt.ended + attempt.pause);
    health::answer answer;
    answer.service = record.chosen_service;
    answer.target = target.id;
    answer.route = record.route->name;
    answer.sent = record.sent.value_or(attempt.sent);
    answer.ended = attempt.ended;
    answer.kind = attempt.kind;
    answer.request = record.info.id;
    answer.draining = attempt.draining;
    answer.reported_load = attempt.reported_load;
    answer.rate_limit = attempt.rate_limit;
    answer.pause = attempt.pause;
    answer.fingerprint = record.fingerprint;
    answer.target_process = target.registered;
    if (auto notice = rate_limits_.on_answer(answer, wall)) {
        events_.emplace_back(std::move(*notice));
    }
    events_.emplace_back(std::move(answer));
}

void decision_core::release_target(request_record& record, const traffic::attempt_result& attempt,
                                   instant now) {
    // A target that refuses connections fails faster than others answer, and would attract
    // requests. Lower its limit as after a shed.
    if (is_shed(attempt.kind) || attempt.kind == health::answer_kind::connect_failed) {
        const auto chosen = record.decided_at ? record.decided_at->now : now;
        record.assigned_target->limiter.on_shed(record.sent.value_or(chosen), now,
                                                random_.uniform());
    }
    record.assigned_target->limiter.release();
    publish_outstanding_count(record.chosen_service, *record.assigned_target, now);
    record.tried_targets.push_back(record.assigned_target->id);
    record.assigned_target.reset();
}

void decision_core::handle_failure(request_record& record, const traffic::attempt_result& attempt,
                                   bool crashed, clock_reading at) {
    const bool not_run = was_not_run(attempt);
    if (!not_run) {
        ++record.inconclusive_attempts;
    } else if (record.holds_key) {
        key_admission_.on_not_sent(*record.key);
    }
    record.sent.reset();
    record.answer_started = false;
    const bool retry = may_retry(record, attempt, at);
    record.reason =
        "retry after " + std::string(enum_name(health::answer_kind_names, attempt.kind));
    // An attempt without a connection costs no target capacity, so it needs no retry budget.
    const bool needs_no_budget = attempt.kind == health::answer_kind::connect_failed;
    record.failed_connects += needs_no_budget ? 1 : 0;
    const bool seems_cut_off =
        record.failed_connects >= failed_connects_to_relay || reachability_.is_cut_off();
    if (retry && seems_cut_off &&
        try_relay(record, "connections to several targets failed", at.now)) {
        record.failed_connects = 0;
    } else if (retry && (needs_no_budget || record.service->retries.take(at.now))) {
        if (crashed) {
            record.not_before = at.now + crash_retry_delay;
            enqueue(record, at.now);
        } else {
            place_or_queue(record, at);
        }
    } else if (retry && is_shed(attempt.kind) && options_.shed_may_wait) {
        // The request waits in the queue, so that a short overload does not cause a refusal.
        const auto delay =
            std::chrono::duration<double, std::milli>(base_shed_delay) *
            ((0.5 + random_.uniform()) * static_cast<double>(1U << record.attempts) / 2.0);
        record.not_before = at.now + std::chrono::duration_cast<instant::duration>(delay);
        enqueue(record, at.now);
    } else if (not_run && containment_.is_blocked(record.fingerprint, at.wall)) {
        refuse(record, refusal_kind::contained, outcome_of(record), at.now);
    } else {
        refuse(record, refusal_of(attempt), outcome_of(record), at.now,
               not_run ? std::optional(retry_after(record, at.now))
                       : std::optional<milliseconds>{});
    }
    serve_queue(*record.service, at.now);
}

bool decision_core::may_run_again(const request_record& record, std::uint32_t runs) {
    const auto max_runs = record.route->attempts > 0 ? record.route->attempts : default_max_runs;
    return !at_most_once(record) && runs < max_runs;
}

bool decision_core::may_retry_elsewhere(std::uint64_t id, instant now) {
    const auto& record = record_of(id);
    if (record.relaying) {
        return false;
    }
    if (record.forwarding || !record.assigned_target) {
        return true;
    }
    // Nothing makes sure that a stopping node has time and room for another attempt. If it hadn't,
    // the caller would get a refusal in place of an answer that may still come.
    if (planned_stop_) {
        return false;
    }
    sync_service(record.chosen_service, *record.service);
    const bool overdue =
        record.sent && now - *record.sent > record.service->late_threshold(*record.route);
    return overdue && !stopping_ && record.info.body_replayable &&
           may_run_again(record, record.inconclusive_attempts + 1) &&
           record.service->retries.available(now) &&
           record.service->has_alternative_to(record.assigned_target->id, now);
}

// The retry happens only if another target is free now. Otherwise the error is passed on, which is
// better for the caller than waiting in the queue.
bool decision_core::retry_server_error(request_record& record,
                                       const traffic::attempt_result& attempt, clock_reading at) {
    if (!may_run_again(record, record.inconclusive_attempts + 1) ||
        !may_retry(record, attempt, at) || !can_repeat_error(record, at.now) ||
        !record.service->retries.take(at.now)) {
        return false;
    }
    release_target(record, attempt, at.now);
    ++record.inconclusive_attempts;
    record.sent.reset();
    record.reason = "retry after server_error";
    place_or_queue(record, at);
    return true;
}

bool decision_core::may_retry(const request_record& record, const traffic::attempt_result& attempt,
                              clock_reading at) const {
    const bool repeatable =
        was_not_run(attempt) || may_run_again(record, record.inconclusive_attempts);
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted =
        attempt.kind != health::answer_kind::cancelled && !attempt.answer_partly_sent;
    const bool allowed = !stopping_ && record.attempts < max_attempts && at.now < record.deadline &&
                         !containment_.is_blocked(record.fingerprint, at.wall);
    return repeatable && sendable && wanted && allowed && record.service->any_eligible(at.now);
}

void decision_core::finish_request(std::uint64_t id, bool whole,
                                   std::shared_ptr<const traffic::stored_answer> answer,
                                   clock_reading at) {
    auto& record = record_of(id);
    if (record.queued_since) {
        record.service->waiting.remove(id);
    }
    if (record.waits_for_credit) {
        credit_.cancel(id, record.workspace->name, at.now);
    }
    if (record.waits_for_key) {
        key_admission_.remove_waiter(*record.key, id);
    }
    if (record.holds_key) {
        const auto state_without_answer = record.sent || record.inconclusive_attempts > 0
                                              ? once::key_state::unknown
                                              : once::key_state::not_run;
        const bool answered = answer != nullptr || (whole && record.answer_started);
        finish_key(record, answered ? once::key_state::done : state_without_answer,
                   std::move(answer), at.now);
    }
    auto* service = record.service;
    if (record.assigned_target) {
        record.assigned_target->limiter.release();
        publish_outstanding_count(record.chosen_service, *record.assigned_target, at.now,
                                  record.unpublished_success ? health::observation_kind::good
                                                             : health::observation_kind::load_only);
    }
    records_.erase(id);
    if (service != nullptr) {
        serve_queue(*service, at.now);
    }
}

} // namespace wigeonrill::dispatch
