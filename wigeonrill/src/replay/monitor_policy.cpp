#include "wigeonrill/replay.h"

namespace wigeonrill::replay {

/// A message between two nodes; either the report or the verdict is set.
struct monitor_policy::message {
    instant deliver_at{};
    std::optional<health::evidence_report> report;
    std::optional<health::verdict> sent_verdict;
};

monitor_policy::monitor_policy(milliseconds tick_period, milliseconds message_delay)
    : tick_period_(tick_period), message_delay_(message_delay) {}

monitor_policy::~monitor_policy() = default;

void monitor_policy::start(const std::vector<health::fleet_node>& nodes) {
    for (const auto& it : nodes) {
        health::monitor_options options;
        options.self = it.id;
        options.domain = it.domain;
        options.tick_period = tick_period_;
        node_indexes_.emplace(it.id, static_cast<std::uint32_t>(monitors_.size()));
        monitors_.push_back(std::make_unique<health::monitor>(options));
        monitors_.back()->set_nodes(nodes);
    }
    inboxes_.resize(nodes.size());
    plans_.resize(nodes.size());
}

void monitor_policy::configure(const config::snapshot_ptr& configuration, instant now) {
    configuration_ = configuration;
    for (std::size_t i = 0; i < monitors_.size(); ++i) {
        monitors_[i]->configure(configuration, now);
        for (const auto& it : configuration->services) {
            plans_[i][it.name] = monitors_[i]->plan(it.name);
        }
    }
}

void monitor_policy::on_answer(std::uint32_t node, const health::answer& ended) {
    monitors_[node]->on_answer(ended);
}

void monitor_policy::on_outstanding(std::uint32_t node, const health::answer& waiting,
                                    nanoseconds age) {
    monitors_[node]->on_outstanding(waiting.service, waiting.target, waiting.route, age,
                                    waiting.request);
}

void monitor_policy::on_probe(std::uint32_t node, const health::answer& ended) {
    monitors_[node]->on_probe(ended);
}

void monitor_policy::on_leaving(const target_id& target, instant now) {
    for (const auto& it : monitors_) {
        it->on_leaving(target, {{0, health::any_registration}}, now);
    }
}

tick_outcome monitor_policy::tick(std::uint32_t node, instant now) {
    deliver_messages(node, now);
    auto actions = monitors_[node]->tick(now);
    send_messages(actions, now);
    if (actions.plans_changed) {
        for (auto& [name, plan] : plans_[node]) {
            plan = monitors_[node]->plan(name);
        }
    }
    probes_sent_ += actions.probes.size();
    if (keeps_log_) {
        for (const auto& it : actions.log) {
            const auto at = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
            log_.push_back(std::to_string(at.count()) + " ms node " + std::to_string(node) + " " +
                           it);
        }
    }
    return {std::move(actions.probes), actions.plans_changed};
}

const health::ejection_plan& monitor_policy::plan(std::uint32_t node,
                                                  const service_name& service) const {
    return plans_[node].at(service);
}

bool monitor_policy::is_sick(std::uint32_t node, const service_name& service,
                             const target_id& target) const {
    return monitors_[node]->status(service, target).state == health::target_state::sick;
}

void monitor_policy::deliver_messages(std::uint32_t node, instant now) {
    auto& inbox = inboxes_[node];
    for (const auto& it : inbox) {
        if (it.deliver_at <= now && it.report) {
            monitors_[node]->on_evidence(*it.report, now);
        } else if (it.deliver_at <= now && it.sent_verdict) {
            monitors_[node]->on_verdict(*it.sent_verdict, now);
        }
    }
    std::erase_if(inbox, [&](const message& it) { return it.deliver_at <= now; });
}

void monitor_policy::send_messages(const health::monitor_actions& actions, instant now) {
    for (const auto& it : actions.reports) {
        inboxes_[node_indexes_.at(it.to)].push_back(
            {now + message_delay_, it.report, std::nullopt});
        ++reports_sent_;
    }
    for (const auto& it : actions.verdicts) {
        for (const auto& to : it.to) {
            inboxes_[node_indexes_.at(to)].push_back(
                {now + message_delay_, std::nullopt, it.content});
        }
    }
}

} // namespace wigeonrill::replay
