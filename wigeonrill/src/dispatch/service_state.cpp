#include "wigeonrill/dispatch.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::dispatch {

namespace {

// A weight of 0 would make the target's relative load infinite.
constexpr double least_weight = 0.001;

// Probabilities of a spell up to this one count alike. Otherwise those that just answered well
// would get all work at low load and the others none, and healthy capacity must stay in use.
constexpr double unsuspected = 0.25;

// A target that is more likely ill than not replaces no silent or failed one.
constexpr double most_suspicion = 0.5;

// Share of new work by the probability that a target is in a spell of failures: about 7 in 10 of a
// full share while nothing is known, 1 in 60 at even odds. A target whose spell may have ended is
// so tried by one node and not by all at once, and when all are suspected, all get work.
double trust(double probability) {
    constexpr double steepness = 6.0;
    constexpr double least = 1e-6; // keeps a relative load finite
    return std::max(std::pow(1.0 - probability, steepness), least);
}

bool contains(std::span<const target_id> all, const target_id& one) {
    return std::ranges::find(all, one) != all.end();
}

} // namespace

service_state::service_state(std::unique_ptr<routing::placement_policy> policy,
                             domain_name own_domain)
    : policy_(std::move(policy)), own_domain_(std::move(own_domain)) {}

void service_state::sync(std::uint64_t generation, const routing::service_view& view) {
    if (generation_ == generation) {
        return;
    }
    generation_ = generation;
    queue.set_limit(view.service->queue_limit);
    eligible_.clear();
    for (const auto& it : view.eligible) {
        eligible_.push_back({known_place(*it.target), std::max(it.weight, least_weight)});
    }
    // Places outside the view stay while requests hold them, and for targets that may return.
    std::erase_if(known_, [&](const auto& one) {
        return one.second.use_count() == 1 &&
               std::ranges::none_of(view.service->targets, [&](const config::target& target) {
                   return target.id == one.first;
               });
    });
}

place_ptr service_state::known_place(const config::target& target) {
    auto& place = known_[target.id];
    if (!place) {
        place = std::make_shared<target_place>();
        place->id = target.id;
    }
    place->address = target.address;
    place->slots = target.slots;
    place->domain = target.domain;
    place->limiter.set_slots(target.slots);
    return place;
}

bool service_state::is_eligible(const place_ptr& place) const {
    return std::ranges::any_of(eligible_, [&](const share& it) { return it.place == place; });
}

void service_state::want_probe(const config::target& target, instant until) {
    auto place = known_place(target);
    std::erase_if(probes_, [&](const wanted_probe& it) { return it.place == place; });
    probes_.push_back({std::move(place), until});
}

place_ptr service_state::take_probe(instant now) {
    std::erase_if(probes_,
                  [&](const wanted_probe& it) { return now >= it.until || is_eligible(it.place); });
    const auto found = std::ranges::find_if(probes_, [&](const wanted_probe& it) {
        return now >= it.place->draining_until && it.place->limiter.has_place(now);
    });
    if (found == probes_.end()) {
        return nullptr;
    }
    auto place = std::move(found->place);
    probes_.erase(found);
    place->limiter.acquire();
    return place;
}

bool service_state::usable(const share& it, std::span<const target_id> avoid, instant now) const {
    return now >= it.place->draining_until && it.place->limiter.has_place(now) &&
           !contains(avoid, it.place->id);
}

routing::placement_candidate service_state::candidate_of(const share& it, instant now) const {
    const auto& place = *it.place;
    routing::placement_candidate made;
    made.failure_probability = place.spell.probability(now);
    made.capacity = static_cast<double>(place.slots) * it.weight * trust(made.failure_probability);
    made.failure_probability = std::max(made.failure_probability, unsuspected);
    made.outstanding = place.limiter.outstanding();
    made.reported = place.hint.at(now);
    made.slots = place.slots;
    made.elsewhere = place.elsewhere.at(now);
    made.weight = it.weight;
    made.is_remote = !own_domain_.value.empty() && place.domain != own_domain_;
    return made;
}

void service_state::collect(std::span<const target_id> avoid, instant now) {
    candidates_.clear();
    positions_.clear();
    for (std::size_t i = 0; i < eligible_.size(); ++i) {
        const auto& it = eligible_[i];
        if (usable(it, avoid, now)) {
            candidates_.push_back(candidate_of(it, now));
            positions_.push_back(i);
        }
    }
}

void service_state::observe(const target_id& target, health::observation_kind kind, instant now) {
    if (const auto it = known_.find(target); it != known_.end()) {
        it->second->spell.add(kind, now);
    }
}

void service_state::learn_load(const target_id& target, const node_id& peer, std::uint32_t count,
                               instant now) {
    if (const auto it = known_.find(target); it != known_.end()) {
        it->second->elsewhere.report(peer, count, now);
    }
}

std::vector<place_ptr> service_state::untold(instant now) const {
    std::vector<place_ptr> found;
    for (const auto& [id, it] : known_) {
        const auto count = it->limiter.outstanding();
        const bool old = now - it->told_at >= routing::peer_load::repeat_interval;
        if (count != it->told || (count > 0 && old)) {
            found.push_back(it);
        }
    }
    return found;
}

bool service_state::has_place_besides(const target_id& target, instant now) const {
    return std::ranges::any_of(eligible_, [&](const share& it) {
        return it.place->id != target && now >= it.place->draining_until &&
               it.place->limiter.has_place(now) &&
               it.place->spell.probability(now) <= most_suspicion;
    });
}

void service_state::learn_latency(const route_name& route, nanoseconds latency) {
    latencies_[route].add(latency);
}

nanoseconds service_state::late_after(const config::route& route) const {
    constexpr double late_ratio = 2.5;
    constexpr milliseconds least{100};
    const auto it = latencies_.find(route.name);
    if (it == latencies_.end() || !it->second.is_usable()) {
        return route.target_latency.count() > 0 ? route.target_latency : route.limits.first_byte;
    }
    const auto late = std::chrono::duration<double, std::nano>(it->second.mean()) * late_ratio;
    return std::max<nanoseconds>(std::chrono::duration_cast<nanoseconds>(late), least);
}

placement service_state::place(std::span<const target_id> avoid, instant now,
                               random_source& random) {
    const bool all_tried = std::ranges::all_of(eligible_, [&](const share& it) {
        return now < it.place->draining_until || contains(avoid, it.place->id);
    });
    collect(all_tried ? std::span<const target_id>{} : avoid, now);
    if (candidates_.empty()) {
        return {};
    }
    const auto chosen = positions_[policy_->choose(candidates_, random)];
    const auto& place = eligible_[chosen].place;
    place->limiter.acquire();
    return {place, static_cast<std::uint32_t>(candidates_.size())};
}

bool service_state::any_eligible(instant now) const {
    return std::ranges::any_of(eligible_,
                               [&](const share& it) { return now >= it.place->draining_until; });
}

instant service_state::next_hold_end(instant now, instant latest) const {
    for (const auto& it : eligible_) {
        const auto end = it.place->limiter.held_until();
        if (end > now && end < latest) {
            latest = end;
        }
    }
    return latest;
}

} // namespace wigeonrill::dispatch
