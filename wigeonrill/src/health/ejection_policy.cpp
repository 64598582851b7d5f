#include "wigeonrill/health.h"

#include <algorithm>

namespace wigeonrill::health {

namespace {

bool counts_toward_floor(const target_condition& it) {
    return it.reachable && (it.state == target_state::healthy || it.state == target_state::sick);
}

bool is_worse(const target_condition& left, const target_condition& right) {
    return left.severity != right.severity ? left.severity > right.severity
                                           : left.index < right.index;
}

std::vector<target_condition> sick_worst_first(const std::vector<target_condition>& targets) {
    std::vector<target_condition> sick;
    for (const auto& it : targets) {
        if (it.reachable && it.state == target_state::sick) {
            sick.push_back(it);
        }
    }
    std::sort(sick.begin(), sick.end(), is_worse);
    return sick;
}

std::vector<target_condition> sorted_by_index(std::vector<target_condition> targets) {
    std::sort(targets.begin(), targets.end(),
              [](const auto& left, const auto& right) { return left.index < right.index; });
    return targets;
}

/// \brief Raises warming targets to full weight until the floor is reached.
void raise_warming_shares(const std::vector<target_condition>& targets, std::uint32_t floor_slots,
                          ejection_plan& result) {
    for (const auto& it : targets) {
        if (result.slots_in_use >= floor_slots) {
            return;
        }
        if (it.reachable && it.state == target_state::warming && it.weight < 1.0) {
            result.slots_in_use += it.slots;
            for (auto& used : result.usable) {
                used = used.index == it.index ? usable_target{it.index, 1.0, true} : used;
            }
        }
    }
}

void add_unreachable(const std::vector<target_condition>& targets, ejection_plan& result) {
    for (const auto& it : targets) {
        if (!it.reachable && it.state != target_state::leaving) {
            result.usable.push_back({it.index, 1.0, false});
        }
    }
}

} // namespace

ejection_plan ejection_policy::plan(const std::vector<target_condition>& targets,
                                    std::uint32_t floor_slots) const {
    ejection_plan result;
    for (const auto& it : targets) {
        result.slots_in_use += counts_toward_floor(it) ? it.slots : 0;
        if (it.reachable && it.state == target_state::healthy) {
            result.healthy_slots += it.slots;
            result.usable.push_back({it.index, 1.0, false});
        } else if (it.reachable && it.state == target_state::warming) {
            result.usable.push_back({it.index, it.weight, false});
        }
    }
    // Without a floor the last target stays in use, because refusing all requests helps no caller.
    const auto min_slots = std::max<std::uint32_t>(floor_slots, 1);
    for (const auto& it : sick_worst_first(targets)) {
        if (result.slots_in_use >= min_slots + it.slots) {
            result.slots_in_use -= it.slots;
            ++result.ejected;
        } else {
            result.usable.push_back({it.index, kept_weight, true});
            ++result.kept;
        }
    }
    raise_warming_shares(sorted_by_index(targets), floor_slots, result);
    if (result.usable.empty()) {
        add_unreachable(targets, result);
    }
    std::sort(result.usable.begin(), result.usable.end(),
              [](const auto& left, const auto& right) { return left.index < right.index; });
    return result;
}

} // namespace wigeonrill::health
