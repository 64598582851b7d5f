#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

// Sends of one request after an attempt that may have run, as the design allows.
constexpr std::uint32_t most_losses = 2;
// Sends of one request in all; sheds and refused connections beyond it are refused to the caller.
constexpr std::uint32_t most_attempts = 8;
// Pause before the next attempt of a shed request for which the retry budget has nothing left. It
// doubles with each attempt.
constexpr milliseconds first_pause{20};
// Time for which a target that says it is leaving gets nothing, until a view leaves it out.
constexpr seconds draining_time{30};
// The same for a target whose address another one has: a view without it is on its way.
constexpr seconds misdirected_time{4};

bool is_answer(health::answer_kind kind) {
    return kind == health::answer_kind::ok || kind == health::answer_kind::server_error;
}

bool is_shed(health::answer_kind kind) {
    return kind == health::answer_kind::shed;
}

bool was_not_run(const traffic::attempt_result& attempt) {
    return is_shed(attempt.kind) || !attempt.request_bytes_sent;
}

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

} // namespace

traffic::outcome decision_core::outcome_of(const request_record& record) const {
    // Only the holder of a key knows that no other request with it was sent: an earlier send of the
    // same key may have run, here or through another node.
    const bool keyed =
        !record.info.idempotency_key.empty() && (record.route == nullptr || at_most_once(record));
    const bool provable = record.losses == 0 && (!keyed || record.holds_key);
    return provable ? traffic::outcome::not_run : traffic::outcome::unknown;
}

bool decision_core::may_send(std::uint64_t id, moment at) {
    auto& record = record_of(id);
    if (!record.chosen) {
        return false;
    }
    const once::send_guard guard{record.chosen->now, record.chosen->wall, record.deadline};
    if (!guard.may_send(at.now, at.wall)) {
        return false;
    }
    if (record.holds_key) {
        gate_.on_send(*record.key);
    }
    record.sent = at.now;
    record.late = false;
    return true;
}

bool decision_core::ended(std::uint64_t id, const traffic::attempt_result& attempt, moment at) {
    auto& record = record_of(id);
    if (record.forwarding) {
        // A shed of the owner node is its refusal, with the outcome that it knows.
        if (is_answer(attempt.kind) || is_shed(attempt.kind)) {
            return false;
        }
        after_forward(record, attempt, at.now);
        return true;
    }
    if (!record.place) {
        // The body broke after the attempt was already ended by its head or a refusal.
        refuse(record, refusal_of(attempt), outcome_of(record), at.now);
        return true;
    }
    report(record, attempt);
    observe(record, attempt, at.now);
    if (is_answer(attempt.kind)) {
        record.place->limiter.on_answer();
        containment_.on_success(record.fingerprint, at.wall);
        if (attempt.kind == health::answer_kind::server_error && try_another(record, attempt, at)) {
            return true;
        }
        record.head_passed = true;
        return false;
    }
    if (attempt.kind == health::answer_kind::connection_lost && attempt.request_bytes_sent) {
        mark_crash(record, record.place->id, at.wall);
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
    if (attempt.misdirected) {
        place.draining_until = attempt.ended + misdirected_time;
    }
    health::answer answer;
    answer.service = record.service_used;
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

void decision_core::observe(request_record& record, const traffic::attempt_result& attempt,
                            instant now) {
    using health::observation_kind;
    const bool ok = attempt.kind == health::answer_kind::ok;
    const auto latency = attempt.ended - record.sent.value_or(attempt.sent);
    if (ok) {
        const bool prompt = !record.late && latency <= record.service->late_after(*record.route);
        add_observation(record, prompt ? observation_kind::good : observation_kind::late, now);
        record.service->learn_latency(record.route->name, latency);
    } else if (attempt.kind == health::answer_kind::connect_failed) {
        // Only this node's way to the target may be broken, so others aren't told.
        record.service->observe(record.place->id, observation_kind::failed, now);
    } else if (attempt.kind == health::answer_kind::silent) {
        add_observation(record, observation_kind::late, now);
    } else if (attempt.kind != health::answer_kind::cancelled) {
        add_observation(record, observation_kind::failed, now);
    }
}

void decision_core::add_observation(request_record& record, health::observation_kind kind,
                                    instant now) {
    // Successes of targets that nobody suspects are the usual case and not worth a message.
    constexpr double suspected = 0.2;
    auto& place = *record.place;
    const bool first_late = kind == health::observation_kind::late && !record.late;
    const bool judged = kind != health::observation_kind::late || first_late;
    const bool news = kind == health::observation_kind::failed || first_late ||
                      (judged && place.spell.probability(now) > suspected);
    record.late = record.late || first_late;
    if (judged) {
        record.service->observe(place.id, kind, now);
    }
    if (news) {
        events_.emplace_back(health::observation{record.service_used, place.id, kind, -1, {}});
    }
    record.untold_success = kind == health::observation_kind::good && !news;
}

void decision_core::tell_outstanding(const service_name& service, target_place& place, instant now,
                                     health::observation_kind kind) {
    if (!options_.tell_counts) {
        return;
    }
    place.told = place.limiter.outstanding();
    place.told_at = now;
    const auto count = static_cast<std::int32_t>(place.told);
    events_.emplace_back(health::observation{service, place.id, kind, count, {}});
}

void decision_core::observe(const health::observation& seen, instant now) {
    if (const auto it = services_.find(seen.service); it != services_.end()) {
        it->second->observe(seen.target, seen.kind, now);
        if (seen.outstanding >= 0) {
            it->second->learn_load(seen.target, seen.reporter,
                                   static_cast<std::uint32_t>(seen.outstanding), now);
        }
    }
}

void decision_core::observe_late(instant now) {
    for (auto& [id, record] : records_) {
        const bool waits = record.place && record.sent && !record.head_passed && !record.late;
        if (waits && now - *record.sent > record.service->late_after(*record.route)) {
            add_observation(record, health::observation_kind::late, now);
        }
    }
}

void decision_core::mark_crash(const request_record& record, const target_id& target,
                               wall_time wall) {
    const once::crash_mark mark{record.fingerprint, target, wall};
    containment_.add(mark, wall);
    events_.emplace_back(mark);
}

void decision_core::release(request_record& record, const traffic::attempt_result& attempt,
                            instant now) {
    // A target that refuses connections answers fastest of all, so it must lose its places too.
    if (is_shed(attempt.kind) || attempt.kind == health::answer_kind::connect_failed) {
        const auto chosen = record.chosen ? record.chosen->now : now;
        record.place->limiter.on_shed(record.sent.value_or(chosen), now, random_.uniform());
    }
    record.place->limiter.release();
    tell_outstanding(record.service_used, *record.place, now);
    record.tried.push_back(record.place->id);
    record.place.reset();
}

void decision_core::after_failure(request_record& record, const traffic::attempt_result& attempt,
                                  moment at) {
    const bool not_run = was_not_run(attempt);
    if (!not_run) {
        ++record.losses;
    } else if (record.holds_key) {
        gate_.on_not_sent(*record.key);
    }
    record.sent.reset();
    record.head_passed = false;
    const bool retry = may_retry(record, attempt, at);
    record.reason =
        "retry after " + std::string(enum_name(health::answer_kind_names, attempt.kind));
    // No target sees an attempt without a connection, so it costs no capacity.
    const bool is_free = attempt.kind == health::answer_kind::connect_failed;
    if (retry && (is_free || record.service->retries.take(at.now))) {
        seek_place(record, at);
    } else if (retry && is_shed(attempt.kind) && options_.shed_may_wait) {
        // It waits like a request that found no place, so a busy moment is no refusal.
        const auto pause =
            std::chrono::duration<double, std::milli>(first_pause) *
            ((0.5 + random_.uniform()) * static_cast<double>(1U << record.attempts) / 2.0);
        record.not_before = at.now + std::chrono::duration_cast<instant::duration>(pause);
        enqueue(record, at.now);
    } else {
        refuse(record, refusal_of(attempt), outcome_of(record), at.now,
               not_run ? retry_after(record) : std::optional<seconds>{});
    }
    drain(*record.service, at.now);
}

bool decision_core::may_run_again(const request_record& record, std::uint32_t runs) {
    const auto most = record.route->attempts > 0 ? record.route->attempts : most_losses;
    return !at_most_once(record) && runs < most;
}

bool decision_core::may_replace(std::uint64_t id, instant now) {
    const auto& record = record_of(id);
    if (record.forwarding || !record.place) {
        return true;
    }
    const bool overdue =
        record.sent && now - *record.sent > record.service->late_after(*record.route);
    return overdue && !stopping_ && record.info.body_replayable &&
           may_run_again(record, record.losses + 1) && record.service->retries.available(now) &&
           record.service->has_place_besides(record.place->id, now);
}

// A failure that a target answered is replaced by another target's answer, while there is one with
// a free place: the answer at hand is better than a wait.
bool decision_core::try_another(request_record& record, const traffic::attempt_result& attempt,
                                moment at) {
    if (!may_run_again(record, record.losses + 1) || !may_retry(record, attempt, at) ||
        !record.service->has_place_besides(record.place->id, at.now) ||
        !record.service->retries.take(at.now)) {
        return false;
    }
    release(record, attempt, at.now);
    ++record.losses;
    record.sent.reset();
    record.reason = "retry after server_error";
    seek_place(record, at);
    return true;
}

bool decision_core::may_retry(const request_record& record, const traffic::attempt_result& attempt,
                              moment at) const {
    const bool repeatable = was_not_run(attempt) || may_run_again(record, record.losses);
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted =
        attempt.kind != health::answer_kind::cancelled && !attempt.answer_bytes_passed;
    const bool allowed = !stopping_ && record.attempts < most_attempts &&
                         at.now < record.deadline &&
                         !containment_.refused(record.fingerprint, at.wall);
    return repeatable && sendable && wanted && allowed && record.service->any_eligible(at.now);
}

std::optional<seconds> decision_core::retry_after(const request_record& record) {
    const auto& service = *record.service;
    return service.estimator.retry_after(service.queue.size(), random_.uniform());
}

void decision_core::finished(std::uint64_t id, bool whole,
                             std::shared_ptr<const traffic::stored_answer> answer, moment at) {
    auto& record = record_of(id);
    if (record.queued) {
        record.service->queue.remove(id);
    }
    if (record.waits_for_key) {
        gate_.leave(*record.key, id);
    }
    if (record.holds_key) {
        const auto unanswered =
            record.sent || record.losses > 0 ? once::key_state::unknown : once::key_state::not_run;
        const bool answered = answer != nullptr || (whole && record.head_passed);
        end_key(record, answered ? once::key_state::done : unanswered, std::move(answer), at.now);
    }
    auto* service = record.service;
    if (record.place) {
        record.place->limiter.release();
        tell_outstanding(record.service_used, *record.place, at.now,
                         record.untold_success ? health::observation_kind::good
                                               : health::observation_kind::load_only);
    }
    records_.erase(id);
    if (service != nullptr) {
        drain(*service, at.now);
    }
}

} // namespace wigeonrill::dispatch
