#include "wigeonrill/replay.h"

#include <algorithm>
#include <limits>
#include <set>

namespace wigeonrill::replay {

namespace {

// Monitors tick every 50 ms in five groups, 10 ms apart.
constexpr milliseconds step{10};
constexpr std::uint32_t groups = 5;
// Evidence that was in flight when a fault ended still counts against the target.
constexpr seconds grace{10};
constexpr auto no_episode = std::numeric_limits<std::size_t>::max();

/// One replay: feeds the events and scores the decisions.
class player {
public:
    player(const trace& recorded, policy& tested) : trace_(recorded), policy_(tested) {
        waiting_.resize(trace_.nodes.size());
        by_target_.resize(trace_.targets.size());
        episodes_.resize(trace_.targets.size(), no_episode);
        holders_.resize(trace_.targets.size());
        for (std::uint32_t i = 0; i < trace_.answers.size(); ++i) {
            by_target_[trace_.answers[i].target].push_back(i);
        }
        next_by_target_.resize(trace_.targets.size());
        for (std::uint32_t i = 0; i < trace_.targets.size(); ++i) {
            numbers_[{trace_.targets[i].service, trace_.targets[i].id}] = i;
        }
        for (const auto& label : trace_.faults) {
            for (const auto target : label.targets) {
                detection made;
                made.fault = label.kind;
                made.target = target;
                result_.detections.push_back(made);
                spans_.push_back({label.from, label.until});
            }
        }
    }

    report play() {
        result_.policy = policy_.name();
        policy_.start(trace_.nodes);
        std::uint32_t count = 0;
        for (instant now{}; now < trace_.end; now += step, ++count) {
            take_configs(now);
            take_leaving(now);
            send_requests(now);
            for (auto node = count % groups; node < trace_.nodes.size(); node += groups) {
                if (!is_paused(node, now)) {
                    tick(node, now);
                }
            }
        }
        for (const auto& it : lows_) {
            result_.capacity.push_back(it.second);
        }
        return std::move(result_);
    }

private:
    struct request {
        std::uint32_t number{0}; ///< position in the trace's answers
        bool probe{false};
    };
    struct span {
        instant from{};
        instant until{};
    };

    void take_configs(instant now) {
        while (next_config_ < trace_.configs.size() && trace_.configs[next_config_].at <= now) {
            configuration_ = trace_.configs[next_config_++].configuration;
            policy_.configure(configuration_, now);
            for (const auto& it : configuration_->services) {
                auto& low = lows_[it.name];
                low.service = it.name;
                low.floor_slots = it.floor_slots;
                low.lowest_slots = std::numeric_limits<std::uint32_t>::max();
            }
            note_places();
            for (std::uint32_t node = 0; node < trace_.nodes.size(); ++node) {
                score(node, now);
            }
        }
    }

    void note_places() {
        places_.assign(trace_.targets.size(), 0);
        for (const auto& service : configuration_->services) {
            for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
                places_[numbers_.at({service.name, service.targets[i].id})] = i;
            }
        }
    }

    void take_leaving(instant now) {
        while (next_leaving_ < trace_.leaving.size() && trace_.leaving[next_leaving_].at <= now) {
            policy_.on_leaving(trace_.targets[trace_.leaving[next_leaving_++].target].id, now);
        }
    }

    [[nodiscard]] bool is_paused(std::uint32_t node, instant now) const {
        return std::any_of(trace_.pauses.begin(), trace_.pauses.end(), [&](const auto& it) {
            return it.node == node && now >= it.from && now < it.until;
        });
    }

    [[nodiscard]] const health::usable_target* usable(std::uint32_t node,
                                                      std::uint32_t target) const {
        const auto& plan = policy_.plan(node, trace_.targets[target].service);
        const auto place = places_[target];
        const auto it = std::find_if(plan.usable.begin(), plan.usable.end(),
                                     [&](const auto& one) { return one.index == place; });
        return it == plan.usable.end() ? nullptr : &*it;
    }

    void send_requests(instant now) {
        for (; next_answer_ < trace_.answers.size(); ++next_answer_) {
            const auto& it = trace_.answers[next_answer_];
            if (it.sent > now) {
                return;
            }
            const auto* use = usable(it.node, it.target);
            const double draw = static_cast<double>(mix_bits(next_answer_) % 1000) / 1000.0;
            if (use == nullptr || draw >= use->weight) {
                ++result_.skipped;
                continue;
            }
            ++result_.answers;
            waiting_[it.node].push_back({next_answer_, false});
            if (use->weight >= 1.0) {
                note_work(it);
            }
        }
    }

    void note_work(const recorded_answer& sent) {
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            auto& found = result_.detections[i];
            if (found.target == sent.target && sent.sent >= spans_[i].from &&
                sent.sent < spans_[i].until) {
                found.last_work = sent.sent - spans_[i].from;
                found.work_after += found.first ? 1 : 0;
            }
        }
    }

    [[nodiscard]] health::answer answer_of(const request& which) const {
        const auto& from = trace_.answers[which.number];
        health::answer made;
        made.service = trace_.targets[from.target].service;
        made.target = trace_.targets[from.target].id;
        made.route = trace_.routes[from.route];
        made.sent = from.sent;
        made.ended = from.ended;
        made.kind = from.kind;
        made.fingerprint = from.fingerprint;
        made.request = which.number + 1;
        return made;
    }

    void tick(std::uint32_t node, instant now) {
        auto& waiting = waiting_[node];
        std::erase_if(waiting, [&](const request& it) {
            const bool ended = trace_.answers[it.number].ended <= now;
            if (ended && it.probe) {
                policy_.on_probe(node, answer_of(it));
            } else if (ended) {
                policy_.on_answer(node, answer_of(it));
            }
            return ended;
        });
        for (const auto& it : waiting) {
            if (!it.probe) {
                policy_.on_outstanding(node, answer_of(it), now - trace_.answers[it.number].sent);
            }
        }
        const auto outcome = policy_.tick(node, now);
        for (const auto& it : outcome.probes) {
            send_probe(node, numbers_.at({it.service, it.target}), now);
        }
        if (outcome.plans_changed) {
            score(node, now);
        }
    }

    void send_probe(std::uint32_t node, std::uint32_t target, instant now) {
        auto& next = next_by_target_[target];
        const auto& all = by_target_[target];
        while (next < all.size() && trace_.answers[all[next]].sent < now) {
            ++next;
        }
        if (next < all.size()) {
            waiting_[node].push_back({all[next++], true});
        }
    }

    void score(std::uint32_t node, instant now) {
        for (const auto& service : configuration_->services) {
            const auto& plan = policy_.plan(node, service.name);
            auto& low = lows_[service.name];
            const auto slots = slots_at_work(plan, service);
            low.lowest_slots = std::min(low.lowest_slots, slots);
            low.broken += plan.ejected > 0 && slots < service.floor_slots ? 1 : 0;
            for (const auto& it : service.targets) {
                const auto target = numbers_.at({service.name, it.id});
                note_state(node, target, policy_.is_sick(node, service.name, it.id), now);
            }
        }
    }

    [[nodiscard]] static std::uint32_t slots_at_work(const health::ejection_plan& plan,
                                                     const config::service& service) {
        std::uint32_t slots = 0;
        for (const auto& it : plan.usable) {
            slots += it.weight >= 1.0 || it.kept_for_floor ? service.targets[it.index].slots : 0;
        }
        return slots;
    }

    void note_state(std::uint32_t node, std::uint32_t target, bool sick, instant now) {
        auto& holders = holders_[target];
        if (sick == (holders.count(node) != 0)) {
            return;
        }
        if (!sick) {
            holders.erase(node);
            return;
        }
        if (holders.empty()) {
            start_episode(target, now);
        }
        holders.insert(node);
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            auto& found = result_.detections[i];
            if (found.target == target && now >= spans_[i].from && now < spans_[i].until) {
                found.first = found.first.value_or(now - spans_[i].from);
                if (!found.all && holders.size() == trace_.nodes.size()) {
                    found.all = now - spans_[i].from;
                }
            }
        }
        if (episodes_[target] != no_episode) {
            ++result_.false_ejections[episodes_[target]].nodes;
        }
    }

    void start_episode(std::uint32_t target, instant now) {
        episodes_[target] = no_episode;
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            if (result_.detections[i].target == target && now >= spans_[i].from &&
                now < spans_[i].until + grace) {
                return;
            }
        }
        result_.false_ejections.push_back({target, now, 0});
        episodes_[target] = result_.false_ejections.size() - 1;
    }

    const trace& trace_;
    policy& policy_;
    report result_;
    config::snapshot_ptr configuration_;
    std::map<std::pair<service_name, target_id>, std::uint32_t> numbers_;
    std::vector<std::uint32_t> places_; ///< position of each target in its service
    std::map<service_name, capacity_low> lows_;
    std::vector<std::vector<request>> waiting_; ///< per node
    std::vector<std::vector<std::uint32_t>> by_target_;
    std::vector<std::size_t> next_by_target_;
    std::vector<span> spans_;           ///< of the detections in the result
    std::vector<std::size_t> episodes_; ///< false ejection of each target that goes on, if any
    std::vector<std::set<std::uint32_t>> holders_; ///< nodes that hold a target for sick
    std::size_t next_config_{0};
    std::size_t next_leaving_{0};
    std::uint32_t next_answer_{0};
};

} // namespace

report run(const trace& recorded, policy& tested) {
    return player(recorded, tested).play();
}

} // namespace wigeonrill::replay
