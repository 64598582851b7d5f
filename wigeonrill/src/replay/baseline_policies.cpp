#include "wigeonrill/replay.h"

namespace wigeonrill::replay {

namespace {

constexpr seconds ejection_time{30};

} // namespace

void local_policy::start(const std::vector<health::fleet_node>& nodes) {
    nodes_.resize(nodes.size());
}

void local_policy::configure(const config::snapshot_ptr& configuration, instant now) {
    configuration_ = configuration;
    for (auto& it : nodes_) {
        make_plans(it, now);
    }
}

void local_policy::on_answer(std::uint32_t node, const health::answer& ended) {
    nodes_[node].answers.push_back(ended);
}

void local_policy::on_leaving(const target_id& target, instant) {
    leaving_[target] = true;
    for (auto& it : nodes_) {
        it.changed = true;
    }
}

tick_outcome local_policy::tick(std::uint32_t node, instant now) {
    auto& state = nodes_[node];
    for (const auto& it : state.answers) {
        if (it.kind == health::answer_kind::shed || it.kind == health::answer_kind::cancelled) {
            continue;
        }
        auto& record = state.tracks[{it.service, it.target}];
        record.bad = is_bad(it) ? record.bad + 1 : 0;
        if (record.bad >= needed()) {
            record.bad = 0;
            record.ejected_until = now + ejection_time;
            state.changed = true;
        }
    }
    state.answers.clear();
    for (auto& [name, it] : state.tracks) {
        if (it.ejected_until != instant{} && it.ejected_until <= now) {
            it.ejected_until = {};
            state.changed = true;
        }
    }
    const bool changed = state.changed;
    if (changed) {
        make_plans(state, now);
    }
    return {{}, changed};
}

void local_policy::make_plans(node_state& node, instant now) {
    node.changed = false;
    for (const auto& service : configuration_->services) {
        std::vector<health::target_condition> conditions;
        for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
            const auto& id = service.targets[i].id;
            const auto known = node.tracks.find({service.name, id});
            health::target_condition it;
            it.index = i;
            it.slots = service.targets[i].slots;
            if (leaving_.count(id) != 0) {
                it.state = health::target_state::leaving;
            } else if (known != node.tracks.end() && known->second.ejected_until > now) {
                it.state = health::target_state::sick;
                it.severity = 1.0;
            }
            conditions.push_back(it);
        }
        node.plans[service.name] = health::ejection_policy{}.plan(conditions, service.floor_slots);
    }
}

const health::ejection_plan& local_policy::plan(std::uint32_t node,
                                                const service_name& service) const {
    return nodes_[node].plans.at(service);
}

bool local_policy::is_sick(std::uint32_t node, const service_name& service,
                           const target_id& target) const {
    const auto it = nodes_[node].tracks.find({service, target});
    return it != nodes_[node].tracks.end() && it->second.ejected_until != instant{};
}

bool consecutive_errors::is_bad(const health::answer& ended) const {
    return health::is_failure(ended.kind);
}

bool fixed_latency::is_bad(const health::answer& ended) const {
    return health::is_failure(ended.kind) || ended.ended - ended.sent > limit_;
}

} // namespace wigeonrill::replay
