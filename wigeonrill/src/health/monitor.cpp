#include "wigeonrill/src/health/monitor_state.h"

namespace wigeonrill::health {

monitor::monitor(monitor_options options)
    : state_(std::make_unique<monitor_state>(std::move(options))) {
    state_->next_sequence = state_->options.first_sequence;
    set_nodes({});
}

monitor::~monitor() = default;

void monitor::configure(config::snapshot_ptr configuration, instant now) {
    WIGEONRILL_ASSERT(configuration != nullptr, "configure() needs a configuration");
    const auto previous = std::exchange(state_->configuration, std::move(configuration));
    // Most changes concern routes or workspaces. Going through all targets for them would take 6
    // times as long as this comparison.
    const bool same_targets = previous != nullptr &&
                              previous->services == state_->configuration->services &&
                              previous->vms == state_->configuration->vms;
    if (!same_targets) {
        state_->configure(now);
    }
}

void monitor::set_nodes(std::vector<fleet_node> live) {
    const auto& self = state_->options;
    std::erase_if(live, [&](const fleet_node& it) { return it.id == self.self; });
    live.push_back({self.self, self.domain});
    state_->nodes = fleet_nodes(std::move(live));
    ++state_->node_generation;
}

void monitor::set_unreachable_domains(std::vector<domain_name> domains) {
    state_->unreachable = std::move(domains);
    for (std::uint32_t i = 0; i < state_->services.size(); ++i) {
        state_->stale_plans.insert(i);
    }
}

void monitor::on_answer(const answer& ended) {
    state_->answers.push_back(ended);
}

void monitor::on_outstanding(const service_name& service, const target_id& target,
                             const route_name& route, nanoseconds age, std::uint64_t request) {
    state_->outstanding.push_back({service, target, route, age, request});
}

void monitor::on_probe(const answer& ended) {
    state_->probes.push_back(ended);
}

void monitor::on_evidence(const evidence_report& report, instant now) {
    target_place place;
    if (state_->find(report.service, report.target, place)) {
        state_->receive(report, place, now);
    }
}

void monitor::on_verdict(const verdict& judged, instant now) {
    target_place place;
    if (judged.judge != state_->options.self && judged.expires > now &&
        state_->find(judged.service, judged.target, place)) {
        state_->follow(judged, place, now);
    }
}

void monitor::on_leaving(const target_id& target, instant now) {
    state_->mark_leaving(target, now);
}

void monitor::on_crash_mark(std::uint64_t fingerprint, const target_id& target, instant now) {
    state_->add_crash(fingerprint, target, now);
}

monitor_actions monitor::tick(instant now) {
    monitor_actions actions;
    state_->detect_pause(now);
    state_->take_queued(actions);
    state_->take_outstanding(now);
    for (const auto& it : state_->answers) {
        state_->take_answer(it, now);
    }
    state_->answers.clear();
    for (const auto& it : state_->probes) {
        state_->take_probe(it, now);
    }
    state_->probes.clear();
    state_->send_reports(now, actions);
    state_->judge(now, actions);
    state_->refresh(now, actions);
    return actions;
}

target_status monitor::status(const service_name& service, const target_id& target) const {
    target_place place;
    return state_->find(service, target, place) ? state_->at(place).shown : target_status{};
}

std::vector<target_condition> monitor::conditions(const service_name& service) const {
    const auto it = state_->service_places.find(service);
    return it == state_->service_places.end() ? std::vector<target_condition>{}
                                              : state_->conditions(it->second);
}

ejection_plan monitor::plan(const service_name& service) const {
    const auto it = state_->service_places.find(service);
    return it == state_->service_places.end() ? ejection_plan{} : state_->services[it->second].plan;
}

std::vector<verdict> monitor::verdicts(instant now) const {
    std::vector<verdict> known;
    for (const auto& place : state_->watched) {
        for (const auto& it : state_->at(place).verdicts) {
            if (it.expires > now) {
                known.push_back(it);
            }
        }
    }
    return known;
}

} // namespace wigeonrill::health
