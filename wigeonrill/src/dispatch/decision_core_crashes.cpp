#include "wigeonrill/dispatch.h"

// Members of decision_core for requests that crash the targets that run them.

namespace wigeonrill::dispatch {

void decision_core::mark_crash(const request_record& record, const target_id& target,
                               clock_reading at) {
    const once::crash_mark mark{record.fingerprint, target, at.wall};
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
    for (const auto id : service.queue.oldest(service.queue.size())) {
        if (record_of(id).fingerprint == fingerprint) {
            refuse_queued(service, id, refusal_kind::contained, now);
        }
    }
}

} // namespace wigeonrill::dispatch
