#include "wigeonrill/replay.h"

#include <algorithm>
#include <limits>
#include <set>

namespace wigeonrill::replay {

namespace {

// Each node ticks every 50 ms. The nodes are split into five groups whose ticks are 10 ms apart,
// and each step of the replay runs the ticks of one group.
constexpr milliseconds step_length{10};
constexpr std::uint32_t tick_groups = 5;
// An ejection shortly after the end of a fault is not a false one, because evidence that was in
// flight when the fault ended still counts against the target.
constexpr seconds label_grace_period{10};
// Marks a target without a false ejection.
constexpr auto no_episode = std::numeric_limits<std::size_t>::max();

/// One replay: passes the recorded events to the policy and scores its decisions.
class trace_replay {
public:
    trace_replay(const trace& recorded, policy& tested) : trace_(recorded), policy_(tested) {
        pending_requests_.resize(trace_.nodes.size());
        answers_by_target_.resize(trace_.targets.size());
        false_episodes_.resize(trace_.targets.size(), no_episode);
        sick_observers_.resize(trace_.targets.size());
        for (std::uint32_t i = 0; i < trace_.answers.size(); ++i) {
            answers_by_target_[trace_.answers[i].target].push_back(i);
        }
        next_probe_answers_.resize(trace_.targets.size());
        for (std::uint32_t i = 0; i < trace_.targets.size(); ++i) {
            target_indexes_[{trace_.targets[i].service, trace_.targets[i].id}] = i;
        }
        for (const auto& label : trace_.faults) {
            for (const auto target : label.targets) {
                detection entry;
                entry.fault = label.kind;
                entry.target = target;
                result_.detections.push_back(entry);
                label_spans_.push_back({label.from, label.until});
            }
        }
    }

    report replay_all() {
        result_.policy = policy_.name();
        policy_.start(trace_.nodes);
        std::uint32_t step_number = 0;
        for (instant now{}; now < trace_.end; now += step_length, ++step_number) {
            apply_due_configs(now);
            apply_due_leaving_notices(now);
            send_requests(now);
            for (auto node = step_number % tick_groups; node < trace_.nodes.size();
                 node += tick_groups) {
                if (!is_paused(node, now)) {
                    tick(node, now);
                }
            }
        }
        for (const auto& it : minimums_) {
            result_.capacity.push_back(it.second);
        }
        return std::move(result_);
    }

private:
    /// A request or probe that was sent and whose answer has not been passed to the policy yet.
    struct pending_request {
        std::uint32_t answer_index{0}; ///< position in the trace's answers
        bool probe{false};
    };
    /// Time from the start to the end of a labelled fault.
    struct span {
        instant from{};
        instant until{};
    };

    void apply_due_configs(instant now) {
        while (next_config_ < trace_.configs.size() && trace_.configs[next_config_].at <= now) {
            configuration_ = trace_.configs[next_config_++].configuration;
            policy_.configure(configuration_, now);
            for (const auto& it : configuration_->services) {
                auto& minimum = minimums_[it.name];
                minimum.service = it.name;
                minimum.floor_slots = it.floor_slots;
                minimum.lowest_slots = std::numeric_limits<std::uint32_t>::max();
            }
            update_service_positions();
            for (std::uint32_t node = 0; node < trace_.nodes.size(); ++node) {
                score_plans(node, now);
            }
        }
    }

    /// Updates the position of each target in its service for the new configuration.
    void update_service_positions() {
        service_positions_.assign(trace_.targets.size(), 0);
        for (const auto& service : configuration_->services) {
            for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
                service_positions_[target_indexes_.at({service.name, service.targets[i].id})] = i;
            }
        }
    }

    void apply_due_leaving_notices(instant now) {
        while (next_leaving_ < trace_.leaving.size() && trace_.leaving[next_leaving_].at <= now) {
            policy_.on_leaving(trace_.targets[trace_.leaving[next_leaving_++].target].id, now);
        }
    }

    [[nodiscard]] bool is_paused(std::uint32_t node, instant now) const {
        return std::any_of(trace_.pauses.begin(), trace_.pauses.end(), [&](const auto& it) {
            return it.node == node && now >= it.from && now < it.until;
        });
    }

    /// \returns the target's entry in the node's plan, or nullptr when it may not be used
    [[nodiscard]] const health::usable_target* find_usable(std::uint32_t node,
                                                           std::uint32_t target) const {
        const auto& plan = policy_.plan(node, trace_.targets[target].service);
        const auto position = service_positions_[target];
        const auto it = std::find_if(plan.usable.begin(), plan.usable.end(),
                                     [&](const auto& one) { return one.index == position; });
        return it == plan.usable.end() ? nullptr : &*it;
    }

    /// Sends the recorded requests that are due, except those that the plans rule out.
    void send_requests(instant now) {
        for (; next_answer_ < trace_.answers.size(); ++next_answer_) {
            const auto& it = trace_.answers[next_answer_];
            if (it.sent > now) {
                return;
            }
            const auto* usable_entry = find_usable(it.node, it.target);
            const double uniform_sample =
                static_cast<double>(mix_bits(next_answer_) % 1000) / 1000.0;
            if (usable_entry == nullptr || uniform_sample >= usable_entry->weight) {
                ++result_.skipped;
                continue;
            }
            ++result_.answers;
            pending_requests_[it.node].push_back({next_answer_, false});
            if (usable_entry->weight >= 1.0) {
                record_full_weight_request(it);
            }
        }
    }

    /// Updates the detections of all faults that the target has when the request is sent.
    void record_full_weight_request(const recorded_answer& sent) {
        for (std::size_t i = 0; i < label_spans_.size(); ++i) {
            auto& found = result_.detections[i];
            if (found.target == sent.target && sent.sent >= label_spans_[i].from &&
                sent.sent < label_spans_[i].until) {
                found.last_request_offset = sent.sent - label_spans_[i].from;
                found.work_after += found.first_detected_after ? 1 : 0;
            }
        }
    }

    [[nodiscard]] health::answer answer_of(const pending_request& sent_request) const {
        const auto& source = trace_.answers[sent_request.answer_index];
        health::answer attempt;
        attempt.service = trace_.targets[source.target].service;
        attempt.target = trace_.targets[source.target].id;
        attempt.route = trace_.routes[source.route];
        attempt.sent = source.sent;
        attempt.ended = source.ended;
        attempt.kind = source.kind;
        attempt.fingerprint = source.fingerprint;
        attempt.request = sent_request.answer_index + 1;
        return attempt;
    }

    /// Passes the node's answers and outstanding requests to the policy and runs one tick.
    void tick(std::uint32_t node, instant now) {
        auto& pending = pending_requests_[node];
        std::erase_if(pending, [&](const pending_request& it) {
            const bool ended = trace_.answers[it.answer_index].ended <= now;
            if (ended && it.probe) {
                policy_.on_probe(node, answer_of(it));
            } else if (ended) {
                policy_.on_answer(node, answer_of(it));
            }
            return ended;
        });
        for (const auto& it : pending) {
            if (!it.probe) {
                policy_.on_outstanding(node, answer_of(it),
                                       now - trace_.answers[it.answer_index].sent);
            }
        }
        const auto outcome = policy_.tick(node, now);
        for (const auto& it : outcome.probes) {
            send_probe(node, target_indexes_.at({it.service, it.target}), now);
        }
        if (outcome.plans_changed) {
            score_plans(node, now);
        }
    }

    /// Answers a probe with the next unused recorded answer of the target, from any node.
    void send_probe(std::uint32_t node, std::uint32_t target, instant now) {
        auto& next = next_probe_answers_[target];
        const auto& candidates = answers_by_target_[target];
        while (next < candidates.size() && trace_.answers[candidates[next]].sent < now) {
            ++next;
        }
        if (next < candidates.size()) {
            pending_requests_[node].push_back({candidates[next++], true});
        }
    }

    /// Updates the lowest capacity, the detections and the false ejections from a node's plans.
    void score_plans(std::uint32_t node, instant now) {
        for (const auto& service : configuration_->services) {
            const auto& plan = policy_.plan(node, service.name);
            auto& minimum = minimums_[service.name];
            const auto slots = effective_slots(plan, service);
            minimum.lowest_slots = std::min(minimum.lowest_slots, slots);
            minimum.floor_violations += plan.ejected > 0 && slots < service.floor_slots ? 1 : 0;
            for (const auto& it : service.targets) {
                const auto target = target_indexes_.at({service.name, it.id});
                record_state(node, target, policy_.is_sick(node, service.name, it.id), now);
            }
        }
    }

    /// \returns the slots of targets with full weight or kept for the floor
    [[nodiscard]] static std::uint32_t effective_slots(const health::ejection_plan& plan,
                                                       const config::service& service) {
        std::uint32_t slots = 0;
        for (const auto& it : plan.usable) {
            slots += it.weight >= 1.0 || it.kept_for_floor ? service.targets[it.index].slots : 0;
        }
        return slots;
    }

    /// Records whether a node regards a target as sick and scores a change to sick.
    void record_state(std::uint32_t node, std::uint32_t target, bool sick, instant now) {
        auto& observers = sick_observers_[target];
        if (sick == (observers.count(node) != 0)) {
            return;
        }
        if (!sick) {
            observers.erase(node);
            return;
        }
        if (observers.empty()) {
            start_sick_episode(target, now);
        }
        observers.insert(node);
        for (std::size_t i = 0; i < label_spans_.size(); ++i) {
            auto& found = result_.detections[i];
            if (found.target == target && now >= label_spans_[i].from &&
                now < label_spans_[i].until) {
                found.first_detected_after =
                    found.first_detected_after.value_or(now - label_spans_[i].from);
                if (!found.all_detected_after && observers.size() == trace_.nodes.size()) {
                    found.all_detected_after = now - label_spans_[i].from;
                }
            }
        }
        if (false_episodes_[target] != no_episode) {
            ++result_.false_ejections[false_episodes_[target]].nodes;
        }
    }

    /// Called when the first node regards the target as sick; adds a false ejection when no label
    /// explains it.
    void start_sick_episode(std::uint32_t target, instant now) {
        false_episodes_[target] = no_episode;
        for (std::size_t i = 0; i < label_spans_.size(); ++i) {
            if (result_.detections[i].target == target && now >= label_spans_[i].from &&
                now < label_spans_[i].until + label_grace_period) {
                return;
            }
        }
        result_.false_ejections.push_back({target, now, 0});
        false_episodes_[target] = result_.false_ejections.size() - 1;
    }

    const trace& trace_;
    policy& policy_;
    report result_;
    config::snapshot_ptr configuration_;
    /// Position of each target in the trace's table of targets.
    std::map<std::pair<service_name, target_id>, std::uint32_t> target_indexes_;
    std::vector<std::uint32_t> service_positions_;      ///< by target: position in its service
    std::map<service_name, capacity_minimum> minimums_; ///< lowest capacity so far, by service
    std::vector<std::vector<pending_request>> pending_requests_; ///< by node
    std::vector<std::vector<std::uint32_t>> answers_by_target_;  ///< positions in trace::answers
    std::vector<std::size_t> next_probe_answers_; ///< by target: position in answers_by_target_
    std::vector<span> label_spans_;               ///< by position in result_.detections
    /// By target: position of its latest false ejection in the result, or no_episode when the
    /// latest ejection was justified by a label.
    std::vector<std::size_t> false_episodes_;
    std::vector<std::set<std::uint32_t>> sick_observers_; ///< by target: nodes that see it as sick
    std::size_t next_config_{0};
    std::size_t next_leaving_{0};
    std::uint32_t next_answer_{0};
};

} // namespace

report run(const trace& recorded, policy& tested) {
    return trace_replay(recorded, tested).replay_all();
}

} // namespace wigeonrill::replay
