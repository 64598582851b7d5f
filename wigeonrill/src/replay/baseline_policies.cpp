#include "wigeonrill/replay.h"

namespace wigeonrill::replay {

namespace {

constexpr seconds ejection_duration{30};

} // namespace

void single_node_policy::start(const std::vector<health::fleet_node>& nodes) {
    nodes_.resize(nodes.size());
}

void single_node_policy::configure(const config::snapshot_ptr& configuration, instant now) {
    configuration_ = configuration;
    for (auto& it : nodes_) {
        rebuild_plans(it, now);
    }
}

void single_node_policy::on_answer(std::uint32_t node, const health::answer& ended) {
    nodes_[node].answers.push_back(ended);
}

void single_node_policy::on_leaving(const target_id& target, instant) {
    leaving_[target] = true;
    for (auto& it : nodes_) {
        it.plans_outdated = true;
    }
}

tick_outcome single_node_policy::tick(std::uint32_t node, instant now) {
    auto& state = nodes_[node];
    for (const auto& it : state.answers) {
        if (it.kind == health::answer_kind::shed || it.kind == health::answer_kind::cancelled) {
            continue;
        }
        auto& record = state.failure_records[{it.service, it.target}];
        record.consecutive_bad = is_bad(it) ? record.consecutive_bad + 1 : 0;
        if (record.consecutive_bad >= trip_count()) {
            record.consecutive_bad = 0;
            record.ejected_until = now + ejection_duration;
            state.plans_outdated = true;
        }
    }
    state.answers.clear();
    for (auto& [name, it] : state.failure_records) {
        if (it.ejected_until != instant{} && it.ejected_until <= now) {
            it.ejected_until = {};
            state.plans_outdated = true;
        }
    }
    const bool plans_changed = state.plans_outdated;
    if (plans_changed) {
        rebuild_plans(state, now);
    }
    return {{}, plans_changed};
}

void single_node_policy::rebuild_plans(node_state& node, instant now) {
    node.plans_outdated = false;
    for (const auto& service : configuration_->services) {
        std::vector<health::target_condition> conditions;
        for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
            const auto& id = service.targets[i].id;
            const auto found = node.failure_records.find({service.name, id});
            health::target_condition it;
            it.index = i;
            it.slots = service.targets[i].slots;
            if (leaving_.count(id) != 0) {
                it.state = health::target_state::leaving;
            } else if (found != node.failure_records.end() && found->second.ejected_until > now) {
                it.state = health::target_state::sick;
                it.severity = 1.0;
            }
            conditions.push_back(it);
        }
        node.plans[service.name] = health::ejection_policy{}.plan(conditions, service.floor_slots);
    }
}

const health::ejection_plan& single_node_policy::plan(std::uint32_t node,
                                                      const service_name& service) const {
    return nodes_[node].plans.at(service);
}

bool single_node_policy::is_sick(std::uint32_t node, const service_name& service,
                                 const target_id& target) const {
    const auto it = nodes_[node].failure_records.find({service, target});
    return it != nodes_[node].failure_records.end() && it->second.ejected_until != instant{};
}

bool consecutive_errors::is_bad(const health::answer& ended) const {
    return health::is_failure(ended.kind);
}

bool fixed_latency::is_bad(const health::answer& ended) const {
    return health::is_failure(ended.kind) || ended.ended - ended.sent > limit_;
}

} // namespace wigeonrill::replay
