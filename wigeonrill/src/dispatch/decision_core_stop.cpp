#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

void decision_core::begin_stop(instant finish_by, instant now) {
    finish_by_ = finish_by;
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
    // An answer needs some time to reach its caller before the node ends.
    constexpr milliseconds final_answer_time{100};
    return finish_by_ ? *finish_by_ - final_answer_time : instant::max();
}

bool decision_core::can_finish_before_stop(const request_record& record, instant now) {
    if (!finish_by_ || record.deadline <= *finish_by_) {
        return true;
    }
    const auto* service = service_of(record.chosen_service);
    return service == nullptr ||
           now + service->longest_usual_latency(*record.route) <= last_answer_at();
}

bool decision_core::refuse_when_stopping(request_record& record, instant now) {
    if (can_finish_before_stop(record, now)) {
        return false;
    }
    refuse(record, refusal_kind::stopping, outcome_of(record), now, return_elsewhere);
    return true;
}

} // namespace wigeonrill::dispatch
