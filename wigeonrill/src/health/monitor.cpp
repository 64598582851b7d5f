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
    // Most configuration changes concern routes or workspaces only. Processing all targets takes 6
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
    target_position position;
    if (state_->find(report.service, report.target, position)) {
        state_->receive(report, position, now);
    }
}

void monitor::on_verdict(const verdict& received, instant now) {
    target_position position;
    if (received.judge != state_->options.self && received.expires > now &&
        state_->find(received.service, received.target, position) &&
        config::may_be_same_process(received.about, state_->at(position).registered)) {
        state_->apply_verdict(received, position, now);
    }
}

bool monitor::on_leaving(const target_id& target, const leaving_notice& notice, instant now) {
    return state_->mark_leaving(target, notice, now);
}

void monitor::forget_removed_registrations() {
    state_->leaving.forget_removed_registrations();
}

void monitor::on_crash_mark(std::uint64_t fingerprint, const target_id& target, instant now) {
    state_->add_crash(fingerprint, target, now);
}

monitor_actions monitor::tick(instant now) {
    monitor_actions actions;
    state_->detect_pause(now);
    state_->flush_queued_actions(actions);
    state_->process_outstanding(now);
    for (const auto& it : state_->answers) {
        state_->process_answer(it, now);
    }
    state_->answers.clear();
    for (const auto& it : state_->probes) {
        state_->process_probe(it, now);
    }
    state_->probes.clear();
    state_->send_reports(now, actions);
    state_->judge_targets(now, actions);
    state_->refresh(now, actions);
    return actions;
}

target_status monitor::status(const service_name& service, const target_id& target) const {
    target_position position;
    return state_->find(service, target, position) ? state_->at(position).current_status
                                                   : target_status{};
}

std::vector<target_condition> monitor::conditions(const service_name& service) const {
    const auto it = state_->service_positions.find(service);
    return it == state_->service_positions.end() ? std::vector<target_condition>{}
                                                 : state_->conditions(it->second);
}

ejection_plan monitor::plan(const service_name& service) const {
    const auto it = state_->service_positions.find(service);
    return it == state_->service_positions.end() ? ejection_plan{}
                                                 : state_->services[it->second].plan;
}

std::vector<verdict> monitor::verdicts(instant now) const {
    std::vector<verdict> known;
    for (const auto& position : state_->watched) {
        for (const auto& it : state_->at(position).verdicts) {
            if (it.expires > now) {
                known.push_back(it);
            }
        }
    }
    return known;
}

} // namespace wigeonrill::health
