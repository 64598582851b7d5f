#include "wigeonrill/dispatch.h"

#include <algorithm>
#include <limits>

// Members of service_state that show what the next placement would see, without making it.

namespace wigeonrill::dispatch {

namespace {

// The explanation holds for the requests that prefer the failure domain of this node.
class own_domain_draw final : public random_source {
public:
    [[nodiscard]] std::uint64_t next() override {
        return std::numeric_limits<std::uint64_t>::max();
    }
};

void mark_least_cost(std::vector<target_explanation>& targets) {
    double least = std::numeric_limits<double>::infinity();
    for (const auto& it : targets) {
        if (it.obstacle == target_obstacle::none) {
            least = std::min(least, it.expected_cost);
        }
    }
    for (auto& it : targets) {
        it.is_choice = it.obstacle == target_obstacle::none && it.expected_cost <= least;
    }
}

void mark_all_free(std::vector<target_explanation>& targets) {
    for (auto& it : targets) {
        it.is_choice = it.obstacle == target_obstacle::none;
    }
}

// A probe goes before the choice of the policy.
void mark_probes(std::vector<target_explanation>& targets) {
    for (auto& it : targets) {
        it.is_choice = it.awaits_probe;
    }
}

// Returns the eligible targets by their index in the service's list; null: not eligible.
std::vector<const routing::eligible_target*> eligible_by_index(const routing::service_view& view) {
    std::vector<const routing::eligible_target*> found(view.service->targets.size(), nullptr);
    for (const auto& it : view.eligible) {
        found.at(it.index) = &it;
    }
    return found;
}

} // namespace

target_obstacle service_state::obstacle_of(const target_record& record, instant now) const {
    if (record.is_draining) {
        return target_obstacle::draining;
    }
    if (!record.is_usable(now)) {
        return target_obstacle::misdirected;
    }
    if (!record.takes_requests(now)) {
        return target_obstacle::paused;
    }
    if (now < record.limiter.backoff_until()) {
        return target_obstacle::backoff;
    }
    if (!record.limiter.can_acquire(now)) {
        return target_obstacle::at_limit;
    }
    return has_room(record, now) ? target_obstacle::none : target_obstacle::rate_limit;
}

target_record_ptr service_state::record_for_explanation(const config::target& target) const {
    const auto known = known_.find(target.id);
    if (known != known_.end() && known->second->address == target.address &&
        config::may_be_same_process(known->second->registered, target.registered)) {
        return known->second;
    }
    auto record = std::make_shared<target_record>();
    record->id = target.id;
    record->slots = target.slots;
    record->domain = target.domain;
    record->limiter.set_slots(target.slots);
    return record;
}

bool service_state::awaits_probe(const target_id& target, instant now) const {
    return std::ranges::any_of(pending_probes_, [&](const pending_probe& it) {
        return it.record->id == target && now < it.until && has_room(*it.record, now);
    });
}

std::vector<target_explanation> service_state::explain(const routing::service_view& view,
                                                       config::repeat_policy repeat,
                                                       instant now) const {
    own_domain_draw draw;
    const auto found = conditions(repeat, now, draw);
    const auto& configured = view.service->targets;
    const auto slice = routing::choose_target_slice(configured, group_);
    const auto eligible = eligible_by_index(view);
    const bool may_probe = repeat == config::repeat_policy::idempotent;
    std::vector<target_explanation> targets;
    targets.reserve(configured.size());
    for (std::size_t i = 0; i < configured.size(); ++i) {
        const double weight = eligible[i] != nullptr ? eligible[i]->weight : 0.0;
        const weighted_target it{record_for_explanation(configured[i]),
                                 std::max(weight, min_weight), slice.at(i)};
        target_explanation shown;
        shown.id = configured[i].id;
        shown.obstacle =
            eligible[i] != nullptr ? obstacle_of(*it.record, now) : target_obstacle::not_eligible;
        shown.state = make_candidate(it, found);
        shown.limit = it.record->limiter.limit();
        shown.expected_cost = routing::expected_cost(shown.state);
        shown.awaits_probe = may_probe && eligible[i] == nullptr && awaits_probe(shown.id, now);
        targets.push_back(std::move(shown));
    }
    if (std::ranges::any_of(targets, &target_explanation::awaits_probe)) {
        mark_probes(targets);
    } else if (policy_->excludes_worse_candidates()) {
        mark_least_cost(targets);
    } else {
        mark_all_free(targets);
    }
    return targets;
}

} // namespace wigeonrill::dispatch
