#include "wigeonrill/admission.h"

#include <algorithm>

namespace wigeonrill::admission {

namespace {

constexpr auto turn_share = 1.0 / static_cast<double>(serving_turns::places_per_turn);

} // namespace

double waiting_room::share_of_places(std::uint32_t priority, bool is_late, instant now) const {
    const auto end = static_cast<std::uint64_t>(priority) + (is_late ? 1 : 0);
    return std::max(1.0 - load_.ratio(end, now), is_late ? least_late_share : turn_share);
}

nanoseconds waiting_room::expected_wait(std::size_t ahead, double share) const {
    const std::chrono::duration<double, std::nano> wait(estimator_.estimated_wait(ahead));
    return std::chrono::duration_cast<nanoseconds>(wait / share);
}

std::optional<nanoseconds> waiting_room::expected_wait(const urgency& how, instant now) {
    if (!estimator_.is_measured()) {
        return std::nullopt;
    }
    // The share of its turns is its own, however many more urgent requests there are.
    const auto timely = std::min(
        expected_wait(queue_.ahead_of(how, now), share_of_places(how.priority, false, now)),
        expected_wait(queue_.ahead_in_priority(how, now), turn_share));
    if (now + timely + how.work.spread <= how.timely_until()) {
        return timely;
    }
    return expected_wait(queue_.size_up_to(how.priority), share_of_places(how.priority, true, now));
}

bool waiting_room::is_wait_too_long(const urgency& how, instant now) {
    const auto wait = expected_wait(how, now);
    return wait ? now + *wait + how.work.spread >= how.useful_until() : how.useful_until() <= now;
}

waiting_room::offer_result waiting_room::offer(std::uint64_t request, const urgency& how,
                                               instant now) {
    offer_result result;
    load_.on_request(how.priority, now);
    if (is_wait_too_long(how, now)) {
        result.decision = entry::too_late;
        return result;
    }
    if (queue_.full()) {
        const auto last = queue_.last_below(how.priority, now);
        if (!last || !shares_.may_yield(queue_.urgency_of(*last).priority, now)) {
            return result;
        }
        queue_.remove(*last);
        result.displaced = last;
    }
    result.decision = queue_.push(request, how) ? entry::waits : entry::full;
    return result;
}

std::size_t waiting_room::next_index(const std::vector<std::uint32_t>& priorities,
                                     instant now) const {
    const auto due = turns_.next(priorities.size());
    for (std::size_t i = 0; i < due; ++i) {
        if (!shares_.may_pass(priorities[due], priorities[i], now)) {
            return 0;
        }
    }
    return due;
}

std::vector<std::uint64_t> waiting_room::serving_order(instant now) {
    const auto priorities = queue_.priorities();
    auto order = queue_.in_order(now);
    if (const auto due = next_index(priorities, now); due > 0) {
        const auto first = std::ranges::find(order, *queue_.first_of(priorities[due], now));
        std::rotate(order.begin(), first, first + 1);
    }
    return order;
}

void waiting_room::on_served(std::uint64_t request, instant now) {
    const auto priorities = queue_.priorities();
    const auto served = std::ranges::lower_bound(priorities, queue_.urgency_of(request).priority);
    turns_.on_served(next_index(priorities, now),
                     static_cast<std::size_t>(served - priorities.begin()), priorities.size());
    queue_.remove(request);
    load_.on_place(now);
    estimator_.on_dequeue(now, queue_.size() > 0);
    reset_if_empty();
}

std::vector<std::uint64_t> waiting_room::remove_hopeless(instant now) {
    auto found = queue_.remove_hopeless(now);
    for (const auto request :
         estimator_.is_measured() ? queue_.late_ones(now) : std::vector<std::uint64_t>{}) {
        const auto& how = queue_.urgency_of(request);
        const auto wait =
            expected_wait(queue_.ahead_of(how, now), share_of_places(how.priority, true, now));
        if (now + wait >= how.useful_until()) {
            queue_.remove(request);
            found.push_back(request);
        }
    }
    reset_if_empty();
    return found;
}

void waiting_room::reset_if_empty() {
    if (queue_.size() == 0) {
        estimator_.on_queue_empty();
    }
}

milliseconds waiting_room::return_after(const urgency& how, instant now, double draw) {
    nanoseconds wait{0};
    if (estimator_.is_measured()) {
        // When the queue is full, there is room once one request has left it.
        wait = estimator_.estimated_wait(queue_.full() ? 0 : queue_.ahead_of(how, now));
    }
    // The requests beyond those that fit leave at the rate at which all slots end their work.
    const auto excess = gate_.level() - priority_gate::opening_level;
    if (excess > 0.0) {
        const std::chrono::duration<double, std::nano> work(how.work.mean);
        wait = std::max(wait, std::chrono::duration_cast<nanoseconds>(work * excess));
    }
    return return_time(wait.count() > 0 ? wait : unmeasured_wait, draw);
}

} // namespace wigeonrill::admission
