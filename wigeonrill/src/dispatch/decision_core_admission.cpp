#include "wigeonrill/dispatch.h"

#include <algorithm>
#include <limits>

// Members of decision_core for requests that have to wait or are refused for lack of room.

namespace wigeonrill::dispatch {

namespace {

// Callers whose node has no share of a limit may reach another node, so they may return soon.
milliseconds rate_limit_retry_after(nanoseconds wait) {
    constexpr seconds longest{30};
    return wait == nanoseconds::max()
               ? seconds(1)
               : std::clamp<milliseconds>(std::chrono::ceil<seconds>(wait), seconds(1), longest);
}

// Number of queued requests without a usable target after which serve_next() stops. It is above 1,
// because the first request may have failed at the only free target, which a later one can use.
constexpr std::size_t max_failed_placements = 8;

// Returns how much of their target latency the requests of a route take: 1 when it is a half.
// Infinity when that isn't known. Full slots alone need no refusals as long as answers come in
// time.
double latency_level_of(const config::route& route, const admission::expected_work& work) {
    if (route.target_latency.count() == 0 || work.mean.count() == 0) {
        return std::numeric_limits<double>::infinity();
    }
    return 2.0 * std::chrono::duration<double>(work.mean) /
           std::chrono::duration<double>(route.target_latency);
}

} // namespace

admission::urgency decision_core::urgency_of(const request_record& record) {
    const auto target_latency = record.route->target_latency;
    admission::urgency how;
    how.priority = priority_of(record);
    how.arrived = record.info.arrived;
    how.deadline = record.deadline;
    how.target_by =
        target_latency.count() > 0 ? record.info.arrived + target_latency : record.deadline;
    how.work = record.service->expected_work(*record.route);
    return how;
}

void decision_core::update_level(service_state& service, instant now) {
    if (service.waiting.needs_level(now)) {
        service.waiting.set_level(std::min(service.load_level(now), service.latency_level), now);
    }
}

bool decision_core::turn_away(request_record& record, instant now) {
    if (!options_.gates_priorities) {
        return false;
    }
    auto& service = *record.service;
    const auto priority = priority_of(record);
    service.waiting.on_request(priority, now);
    service.latency_level = latency_level_of(*record.route, urgency_of(record).work);
    update_level(service, now);
    if (!service.waiting.turns_away(priority, now)) {
        return false;
    }
    refuse(record, refusal_kind::low_priority, outcome_of(record), now, retry_after(record, now));
    return true;
}

void decision_core::enqueue(request_record& record, instant now) {
    auto& service = *record.service;
    if (!takes_requests(now)) {
        refuse(record, refusal_kind::stopping, outcome_of(record), now, return_elsewhere);
        return;
    }
    const auto limited = service.announced_wait(now);
    // Half of the remaining time is reserved for the answer and for errors of the announcements.
    if (limited && *limited > (record.deadline - now) / 2) {
        refuse(record, refusal_kind::rate_limited, outcome_of(record), now,
               rate_limit_retry_after(*limited));
        return;
    }
    using entry = admission::waiting_room::entry;
    const auto offered = service.waiting.offer(record.info.id, urgency_of(record), now);
    if (offered.displaced) {
        const auto again = retry_after(record_of(*offered.displaced), now);
        refuse_queued(service, *offered.displaced, refusal_kind::low_priority, now, again);
    }
    if (offered.decision == entry::waits) {
        record.queued_since = now;
        return;
    }
    const auto kind =
        offered.decision == entry::too_late ? refusal_kind::overloaded : refusal_kind::queue_full;
    refuse(record, kind, outcome_of(record), now, retry_after(record, now));
}

void decision_core::serve_queue(service_state& service, instant now) {
    refuse_hopeless(service, now);
    if (service.waiting.size() == 0) {
        return;
    }
    if (!service.any_eligible(now)) {
        refuse_all_queued(service, refusal_kind::no_target, now);
    }
    release_queued(service, now);
    while (serve_next(service, now)) {
    }
}

void decision_core::release_queued(service_state& service, instant now) {
    if (!planned_stop_ && !reachability_.is_cut_off()) {
        return;
    }
    for (const auto id : service.waiting.in_order(now)) {
        auto& record = record_of(id);
        if (!record.queued_since) {
            continue;
        }
        if (!takes_requests(now) || !can_finish_before_stop(record, now)) {
            refuse_queued(service, id, refusal_kind::stopping, now, return_elsewhere);
        } else if (now >= record.not_before && handle_while_cut_off(record, now)) {
            service.waiting.remove(id);
            record.queued_since.reset();
            ready_ids_.push_back(id);
        }
    }
}

bool decision_core::serve_next(service_state& service, instant now) {
    std::size_t failed_placements = 0;
    for (const auto id : service.waiting.serving_order(now)) {
        auto& record = record_of(id);
        if (now < record.not_before) {
            continue;
        }
        auto placed = service.place(record.tried_targets, record.route->repeat, now, random_);
        if (!placed.chosen_target) {
            if (++failed_placements == max_failed_placements) {
                return false;
            }
            continue;
        }
        service.waiting.on_served(id, now);
        assign_target(record, std::move(placed), now, *record.queued_since);
        record.queued_since.reset();
        ready_ids_.push_back(id);
        return true;
    }
    return false;
}

void decision_core::refuse_hopeless(service_state& service, instant now) {
    for (const auto id : service.waiting.remove_hopeless(now)) {
        auto& record = record_of(id);
        const auto result = outcome_of(record);
        if (now >= record.deadline || result == traffic::outcome::unknown) {
            refuse(record, refusal_kind::deadline_passed, result, now);
        } else {
            refuse(record, refusal_kind::overloaded, result, now, retry_after(record, now));
        }
        record.queued_since.reset();
        ready_ids_.push_back(id);
    }
}

void decision_core::abandon(std::uint64_t id, instant now) {
    auto& record = record_of(id);
    if (record.queued_since) {
        refuse_queued(*record.service, id, refusal_kind::caller_left, now);
    } else if (record.waits_for_credit) {
        abandon_credit(record, refusal_kind::caller_left, now);
    }
}

milliseconds decision_core::retry_after(const request_record& record, instant now) {
    return record.service->waiting.return_after(urgency_of(record), now, random_.uniform());
}

} // namespace wigeonrill::dispatch
