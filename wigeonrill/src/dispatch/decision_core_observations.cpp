#include "wigeonrill/dispatch.h"

// Members of decision_core for observations of targets, which the nodes of a group tell each other.

namespace wigeonrill::dispatch {

void decision_core::observe_attempt(request_record& record, const traffic::attempt_result& attempt,
                                    instant now) {
    using health::observation_kind;
    const bool ok = attempt.kind == health::answer_kind::ok;
    const auto latency = attempt.ended - record.sent.value_or(attempt.sent);
    if (ok) {
        const bool prompt =
            !record.is_overdue && latency <= record.service->late_threshold(*record.route);
        add_observation(record, prompt ? observation_kind::good : observation_kind::late, now);
        record.service->add_latency(record.route->name, latency);
    } else if (attempt.kind == health::answer_kind::connect_failed) {
        // The network path may be broken for this node only, so don't publish the failure.
        record.service->observe(record.assigned_target->id, observation_kind::failed, now);
    } else if (attempt.kind == health::answer_kind::silent) {
        add_observation(record, observation_kind::late, now);
    } else if (attempt.kind != health::answer_kind::cancelled) {
        add_observation(record, observation_kind::failed, now);
    }
}

void decision_core::add_observation(request_record& record, health::observation_kind kind,
                                    instant now) {
    // Publish a success only when the target's failure probability is above this value. Successes
    // of healthy targets are the normal case and tell other nodes nothing.
    constexpr double suspected = 0.2;
    auto& target = *record.assigned_target;
    // A request that the target began before its last failure says nothing about the time since.
    const bool is_outdated = kind == health::observation_kind::good &&
                             record.sent.value_or(now) <= target.failure_burst.last_bad_at();
    if (is_outdated) {
        record.unpublished_success = false;
        return;
    }
    const bool first_late = kind == health::observation_kind::late && !record.is_overdue;
    const bool is_counted = kind != health::observation_kind::late || first_late;
    const bool worth_publishing = kind == health::observation_kind::failed || first_late ||
                                  (is_counted && target.failure_burst.probability(now) > suspected);
    record.is_overdue = record.is_overdue || first_late;
    if (is_counted) {
        record.service->observe(target.id, kind, now);
    }
    if (worth_publishing) {
        events_.emplace_back(health::observation{record.chosen_service, target.id, kind, -1, {}});
    }
    record.unpublished_success = kind == health::observation_kind::good && !worth_publishing;
}

void decision_core::publish_outstanding_count(const service_name& service, target_record& target,
                                              instant now, health::observation_kind kind) {
    if (!publishes_counts()) {
        return;
    }
    target.published_outstanding = target.limiter.outstanding();
    target.published_at = now;
    const auto count = static_cast<std::int32_t>(target.published_outstanding);
    events_.emplace_back(health::observation{service, target.id, kind, count, {}});
}

void decision_core::on_peer_observation(const health::observation& seen, instant now) {
    if (seen.kind == health::observation_kind::good) {
        silences_.on_peer_success(seen.target, now);
    }
    if (const auto it = services_.find(seen.service); it != services_.end()) {
        it->second->observe(seen.target, seen.kind, now);
        if (seen.outstanding >= 0) {
            it->second->set_peer_outstanding(seen.target, seen.reporter,
                                             static_cast<std::uint32_t>(seen.outstanding), now);
        }
    }
}

void decision_core::observe_overdue(instant now) {
    for (auto& [id, record] : records_) {
        const bool is_unanswered =
            record.assigned_target && record.sent && !record.answer_started && !record.is_overdue;
        if (is_unanswered && now - *record.sent > record.service->late_threshold(*record.route)) {
            add_observation(record, health::observation_kind::late, now);
        }
    }
}

} // namespace wigeonrill::dispatch
