#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

void decision_core::begin_stop(const planned_stop& times, instant now) {
    planned_stop_ = times;
    for (auto& [name, service] : services_) {
        serve_queue(*service, now);
    }
}

void decision_core::stop(instant now) {
    stopping_ = true;
    for (auto& [name, service] : services_) {
        refuse_all_queued(*service, refusal_kind::stopping, now);
    }
}

instant decision_core::last_answer_at() const {
    return planned_stop_ ? planned_stop_->finish_by - planned_stop::final_answer_time
                         : instant::max();
}

bool decision_core::can_finish_before_stop(const request_record& record, instant now) {
    if (!planned_stop_ || record.deadline <= planned_stop_->finish_by) {
        return true;
    }
    const auto* service = service_of(record.chosen_service);
    return service == nullptr ||
           now + service->longest_usual_latency(*record.route) <= last_answer_at();
}

bool decision_core::can_repeat_error(const request_record& record, instant now) {
    // Without time for another attempt the caller would get a refusal in place of the error.
    return can_finish_before_stop(record, now) &&
           record.service->has_alternative_to(record.assigned_target->id, now);
}

bool decision_core::refuse_when_stopping(request_record& record, instant now) {
    // A request that was sent before is repeated, as its caller can't know that it may come again.
    const bool is_new = record.attempts == 0;
    if ((takes_requests(now) || !is_new) && can_finish_before_stop(record, now)) {
        return false;
    }
    refuse(record, refusal_kind::stopping, outcome_of(record), now, return_elsewhere);
    return true;
}

} // namespace wigeonrill::dispatch
