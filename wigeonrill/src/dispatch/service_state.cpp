#include "wigeonrill/dispatch.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::dispatch {

namespace {

// Failure probabilities below this value are treated as equal. Otherwise, at low load, the targets
// that answered most recently would get all requests, and healthy capacity would stay unused.
constexpr double failure_probability_floor = 0.25;

// A request is moved away from a silent or failed target only if another target's failure
// probability is at most this value.
constexpr double max_failure_probability = 0.5;

// Repeatable requests try a suspected target after this share of the time after which others do. A
// failed trial costs their callers only the time for another target.
constexpr double repeatable_age_share = 0.5;
// Mean time between two trials of a suspected target by all nodes of the group together.
constexpr milliseconds trial_interval{700};

// Share of the requests that may go to any failure domain. Without it, the targets of a domain
// whose nodes have stopped would get nothing while the other domains are lightly loaded.
constexpr double any_domain_share = 0.5;

// Share of a foreign target's capacity that policies count which spread requests by capacity.
constexpr double foreign_share = 0.02;

// Returns the share of new requests for a target by its failure probability: about 7 in 10 of a
// full share when nothing is known about the target, 1 in 60 at a probability of one half. Thus a
// target that may have recovered is tried by one node instead of by all at once. When all targets
// are suspected, all of them get requests.
double traffic_share(double probability) {
    constexpr double steepness = 6.0;
    constexpr double least = 1e-6; // keeps the relative load finite
    return std::max(std::pow(1.0 - probability, steepness), least);
}

// Returns the time since a target's last bad answer, at most routing::max_rest.
nanoseconds rest_of(const target_record& record, instant now) {
    const auto last_bad = record.failure_burst.last_bad_at();
    return last_bad < now - routing::max_rest ? routing::max_rest : now - last_bad;
}

bool contains(std::span<const target_id> all, const target_id& one) {
    return std::ranges::find(all, one) != all.end();
}

} // namespace

service_state::service_state(std::unique_ptr<routing::placement_policy> policy,
                             routing::rate_limit_table& limits, domain_name own_domain)
    : policy_(std::move(policy)), limits_(&limits), own_domain_(std::move(own_domain)) {}

void service_state::sync(std::uint64_t generation, const routing::service_view& view) {
    if (generation_ == generation) {
        return;
    }
    generation_ = generation;
    waiting.set_limit(view.service->queue_limit);
    eligible_.clear();
    const auto slice = routing::choose_target_slice(view.service->targets, group_);
    for (const auto& it : view.eligible) {
        eligible_.push_back(
            {find_or_add_target(*it.target), std::max(it.weight, min_weight), slice.at(it.index)});
    }
    const auto is_configured = [&](const target_id& id) {
        return std::ranges::any_of(view.service->targets,
                                   [&](const config::target& it) { return it.id == id; });
    };
    std::erase_if(pending_probes_,
                  [&](const pending_probe& it) { return !is_configured(it.record->id); });
    // Keep the records of targets that requests still use, and of configured targets that may
    // become eligible again.
    std::erase_if(known_, [&](const auto& one) {
        one.second->is_configured = is_configured(one.first);
        return one.second.use_count() == 1 && !one.second->is_configured;
    });
}

void service_state::clear() {
    eligible_.clear();
    pending_probes_.clear();
    for (const auto& [id, record] : known_) {
        record->is_configured = false;
    }
}

target_record_ptr service_state::find_or_add_target(const config::target& target) {
    auto& record = known_[target.id];
    if (record && !config::may_be_same_process(record->registered, target.registered)) {
        record->is_replaced = true;
        record.reset();
    }
    if (!record) {
        record = std::make_shared<target_record>();
        record->id = target.id;
    }
    // A target that returns to the configuration is another process unless it is known to be the
    // same, and so is one that changes its address.
    const bool is_process_known =
        record->registered.started_ms != 0 && target.registered.started_ms != 0;
    if (record->address != target.address || (!record->is_configured && !is_process_known)) {
        record->forget_announcements();
    }
    record->is_configured = true;
    record->registered = target.registered;
    record->address = target.address;
    record->slots = target.slots;
    record->domain = target.domain;
    record->limiter.set_slots(target.slots);
    return record;
}

bool service_state::is_eligible(const target_record_ptr& record) const {
    return std::ranges::any_of(eligible_,
                               [&](const weighted_target& it) { return it.record == record; });
}

void service_state::request_probe(const config::target& target, instant until) {
    auto record = find_or_add_target(target);
    std::erase_if(pending_probes_, [&](const pending_probe& it) { return it.record == record; });
    pending_probes_.push_back({std::move(record), until});
}

target_record_ptr service_state::acquire_probe_target(instant now) {
    std::erase_if(pending_probes_, [&](const pending_probe& it) {
        return now >= it.until || is_eligible(it.record);
    });
    const auto found = std::ranges::find_if(
        pending_probes_, [&](const pending_probe& it) { return has_room(*it.record, now); });
    if (found == pending_probes_.end()) {
        return nullptr;
    }
    auto record = std::move(found->record);
    pending_probes_.erase(found);
    record->limiter.acquire();
    limits_->on_send(record->id, now);
    return record;
}

bool service_state::has_room(const target_record& record, instant now) const {
    return record.takes_requests(now) && record.limiter.can_acquire(now) &&
           limits_->can_send(record.id, now);
}

bool service_state::can_take_request(const weighted_target& it, std::span<const target_id> avoid,
                                     instant now) const {
    return has_room(*it.record, now) && !contains(avoid, it.record->id);
}

void service_state::on_request(instant now) {
    retries.on_request(now);
}

service_state::placement_conditions
service_state::conditions(config::repeat_policy repeat, instant now, random_source& random) const {
    placement_conditions found;
    found.now = now;
    found.prefers_own_domain = !own_domain_.value.empty() && random.uniform() >= any_domain_share;
    found.tries = policy_->excludes_worse_candidates();
    if (found.tries) {
        const bool repeatable = repeat == config::repeat_policy::idempotent;
        found.trial_age = std::chrono::duration_cast<nanoseconds>(
            trial_age(now) * (repeatable ? repeatable_age_share : 1.0));
    }
    return found;
}

nanoseconds service_state::trial_age(instant now) const {
    std::vector<nanoseconds> rests;
    std::size_t in_use = 0;
    for (const auto& it : eligible_) {
        if (it.is_own && is_suspected(it, now)) {
            rests.push_back(rest_of(*it.record, now));
        } else if (it.is_own && rest_of(*it.record, now) >= routing::settling_time) {
            ++in_use;
        }
    }
    return routing::choose_trial_age(std::move(rests), in_use);
}

bool service_state::is_suspected(const weighted_target& it, instant now) {
    return it.weight < 1.0 || it.record->failure_burst.probability(now) > failure_probability_floor;
}

bool service_state::is_trial_due(const target_record& record,
                                 const placement_conditions& conditions) {
    const auto now = conditions.now;
    // A second trial at the same time would tell nothing more, and cost another caller its answer.
    const bool is_being_tried =
        record.limiter.outstanding() > 0 || record.peer_outstanding.at(now) > 0;
    return conditions.tries && rest_of(record, now) >= conditions.trial_age &&
           now >= record.next_trial_at && !is_being_tried;
}

routing::placement_candidate
service_state::make_candidate(const weighted_target& it,
                              const placement_conditions& conditions) const {
    const auto now = conditions.now;
    const auto& record = *it.record;
    const bool tried = it.is_own && is_trial_due(record, conditions);
    routing::placement_candidate candidate;
    candidate.failure_probability = tried ? 0.0 : record.failure_burst.probability(now);
    candidate.weight = tried ? 1.0 : it.weight;
    candidate.is_foreign = !it.is_own;
    candidate.capacity = static_cast<double>(record.slots) * candidate.weight *
                         traffic_share(candidate.failure_probability) *
                         (it.is_own ? 1.0 : foreign_share);
    candidate.failure_probability =
        std::max(candidate.failure_probability, failure_probability_floor);
    candidate.outstanding = record.limiter.outstanding();
    candidate.reported_load = record.hint.at(now);
    candidate.slots = record.slots;
    candidate.peer_outstanding = record.peer_outstanding.at(now);
    candidate.is_remote = conditions.prefers_own_domain && record.domain != own_domain_;
    return candidate;
}

void service_state::collect_candidates(std::span<const target_id> avoid,
                                       const placement_conditions& conditions) {
    candidates_.clear();
    positions_.clear();
    for (std::size_t i = 0; i < eligible_.size(); ++i) {
        const auto& it = eligible_[i];
        if (can_take_request(it, avoid, conditions.now)) {
            candidates_.push_back(make_candidate(it, conditions));
            positions_.push_back(i);
        }
    }
}

void service_state::observe(const target_id& target, health::observation_kind kind, instant now) {
    if (const auto it = known_.find(target); it != known_.end()) {
        it->second->failure_burst.add(kind, now);
    }
}

void service_state::set_peer_outstanding(const target_id& target, const node_id& peer,
                                         std::uint32_t count, instant now) {
    if (const auto it = known_.find(target); it != known_.end()) {
        it->second->peer_outstanding.report(peer, count, now);
    }
}

std::vector<target_record_ptr> service_state::unpublished_targets(instant now) const {
    std::vector<target_record_ptr> found;
    for (const auto& [id, it] : known_) {
        const auto count = it->limiter.outstanding();
        const bool old = now - it->published_at >= routing::peer_load::repeat_interval;
        if (count != it->published_outstanding || (count > 0 && old)) {
            found.push_back(it);
        }
    }
    return found;
}

bool service_state::has_alternative_to(const target_id& target, instant now) const {
    return std::ranges::any_of(eligible_, [&](const weighted_target& it) {
        return it.record->id != target && has_room(*it.record, now) &&
               it.record->failure_burst.probability(now) <= max_failure_probability;
    });
}

void service_state::add_latency(const route_name& route, nanoseconds latency) {
    latencies_[route].add(latency);
}

std::optional<nanoseconds>
service_state::measured_late_threshold(const config::route& route) const {
    constexpr double late_ratio = 2.5;
    constexpr milliseconds least{100};
    const auto it = latencies_.find(route.name);
    if (it == latencies_.end() || !it->second.has_enough_samples()) {
        return std::nullopt;
    }
    const auto late = std::chrono::duration<double, std::nano>(it->second.mean()) * late_ratio;
    return std::max<nanoseconds>(std::chrono::duration_cast<nanoseconds>(late), least);
}

nanoseconds service_state::late_threshold(const config::route& route) const {
    const nanoseconds objective =
        route.target_latency.count() > 0 ? route.target_latency : route.limits.first_byte;
    return measured_late_threshold(route).value_or(objective);
}

nanoseconds service_state::longest_usual_latency(const config::route& route) const {
    // Requests of one route may differ by more than the factor of the late threshold.
    constexpr double margin = 1.1;
    const auto late = measured_late_threshold(route);
    if (!late) {
        return route.limits.total;
    }
    const std::chrono::duration<double, std::nano> longest(latencies_.at(route.name).longest());
    return std::max(*late, std::chrono::duration_cast<nanoseconds>(longest * margin));
}

placement service_state::place(std::span<const target_id> avoid, config::repeat_policy repeat,
                               instant now, random_source& random) {
    const bool all_tried = std::ranges::all_of(eligible_, [&](const weighted_target& it) {
        return !it.record->takes_requests(now) || contains(avoid, it.record->id);
    });
    const auto found = conditions(repeat, now, random);
    collect_candidates(all_tried ? std::span<const target_id>{} : avoid, found);
    if (candidates_.empty()) {
        return {};
    }
    const auto chosen = positions_[policy_->choose(candidates_, random)];
    const auto& record = eligible_[chosen].record;
    if (is_suspected(eligible_[chosen], now)) {
        record->next_trial_at = now + trial_interval * static_cast<std::int64_t>(group_.nodes);
    }
    record->limiter.acquire();
    limits_->on_send(record->id, now);
    return {record, static_cast<std::uint32_t>(candidates_.size())};
}

bool service_state::has_draining_targets() const {
    return std::ranges::any_of(known_, [](const auto& one) { return one.second->is_draining; });
}

bool service_state::any_eligible(instant now) const {
    return std::ranges::any_of(
        eligible_, [&](const weighted_target& it) { return it.record->is_usable(now); });
}

instant service_state::next_chance(instant now, instant latest) const {
    for (const auto& it : eligible_) {
        for (const auto chance :
             {it.record->limiter.backoff_until(), limits_->next_send_at(it.record->id, now),
              it.record->paused_until}) {
            latest = chance > now ? std::min(latest, chance) : latest;
        }
    }
    return latest;
}

std::optional<nanoseconds> service_state::announced_wait(instant now) const {
    double rate = 0.0;
    bool is_any_unlimited = false;
    auto first = instant::max();
    for (const auto& it : eligible_) {
        const auto& record = *it.record;
        const bool is_limited = limits_->is_limited(record.id);
        if (!record.is_usable(now)) {
            continue;
        }
        if (!is_limited && now >= record.paused_until) {
            return std::nullopt;
        }
        is_any_unlimited = is_any_unlimited || !is_limited;
        rate += is_limited ? limits_->share_of(record.id) : 0.0;
        const auto allowed_at = is_limited ? limits_->next_send_at(record.id, now) : now;
        first = std::min(first, std::max(allowed_at, record.paused_until));
    }
    if (first == instant::max()) {
        return nanoseconds::max();
    }
    const auto wait = std::max(first - now, instant::duration(0));
    if (is_any_unlimited) {
        return wait;
    }
    const std::chrono::duration<double> behind_queue(static_cast<double>(waiting.size()) / rate);
    return wait + std::chrono::duration_cast<nanoseconds>(behind_queue);
}

} // namespace wigeonrill::dispatch
