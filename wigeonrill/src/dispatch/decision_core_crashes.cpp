#include "wigeonrill/dispatch.h"

// Members of decision_core for requests that crash the targets that run them.

namespace wigeonrill::dispatch {

bool decision_core::mark_silent_crash(std::uint64_t fingerprint, const target_id& target,
                                      const traffic::silence& silent, clock_reading at) {
    // The target crashed before it took no connections, and another one may have answered the
    // request since.
    const auto crashed =
        at.wall - std::chrono::duration_cast<wall_time::duration>(at.now - silent.from);
    if (!silences_.shows_crash(target, silent.from, silent.until) ||
        containment_.has_succeeded_since(fingerprint, crashed)) {
        return false;
    }
    mark_crash({fingerprint, target, crashed}, at);
    return true;
}

void decision_core::on_abandoned_connection_lost(const traffic::request_info& info,
                                                 const target_id& target,
                                                 const traffic::silence& silent, clock_reading at) {
    mark_silent_crash(request_fingerprint(info, info.idempotency_key), target, silent, at);
}

bool decision_core::detect_crash(const request_record& record,
                                 const traffic::attempt_result& attempt, clock_reading at) {
    const auto& target = record.assigned_target->id;
    if (attempt.shows_crash()) {
        mark_crash({record.fingerprint, target, at.wall}, at);
        return true;
    }
    return attempt.kind == health::answer_kind::connection_lost && attempt.silent &&
           mark_silent_crash(record.fingerprint, target, *attempt.silent, at);
}

void decision_core::mark_crash(const once::crash_mark& mark, clock_reading at) {
    add_crash_mark(mark, at);
    events_.emplace_back(mark);
}

void decision_core::add_crash_mark(const once::crash_mark& mark, clock_reading at) {
    containment_.add(mark, at.wall);
    if (containment_.is_blocked(mark.fingerprint, at.wall)) {
        for (auto& [name, service] : services_) {
            refuse_queued_copies(*service, mark.fingerprint, at.now);
        }
    }
}

void decision_core::refuse_queued_copies(service_state& service, std::uint64_t fingerprint,
                                         instant now) {
    for (const auto id : service.waiting.in_order(now)) {
        if (record_of(id).fingerprint == fingerprint) {
            refuse_queued(service, id, refusal_kind::contained, now);
        }
    }
}

} // namespace wigeonrill::dispatch
