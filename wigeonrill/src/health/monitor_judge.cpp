#include "wigeonrill/src/health/monitor_state.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace wigeonrill::health {

namespace {

// Live answers that replace the probes of a target that stays in use for the floor.
constexpr std::uint64_t answers_for_return = 20;
constexpr int return_repeats = 3;
constexpr seconds repeat_interval{1};
// The other aggregator renews every 10 s; then this node probes in its place.
constexpr seconds other_silent_after{15};
// A node alone can't have two reporters; it needs more evidence instead.
constexpr double local_precision_factor = 1.5;

std::string nats_text(double nats) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", nats);
    return text.data();
}

} // namespace

void monitor_state::judge(instant now, monitor_actions& actions) {
    for (const auto& place : judging) {
        auto& mine = judgement_of(place);
        const auto& point = services[place.service].point;
        if (mine.course.is_ejected() || !mine.pool.is_sick(point, nodes.domains(), nodes.size())) {
            continue;
        }
        if (is_held_back(place, now)) {
            if (!mine.held_back) {
                actions.log.push_back("health: " + name_of(place) +
                                      " is not ejected: the other targets look sick too");
            }
            mine.held_back = true;
            mine.pool.halve(point);
            continue;
        }
        eject(place, mine.pool.statistic(), now, actions);
    }
    judging.clear();
    adopt_orphans(now, actions);
    const auto current = ejected;
    for (const auto& place : current) {
        judge_ejected(place, now, actions);
    }
    for (const auto& place : suspected) {
        judge_locally(place, now, actions);
    }
    suspected.clear();
}

void monitor_state::adopt_orphans(instant now, monitor_actions& actions) {
    if (adopted_generation == node_generation) {
        return;
    }
    adopted_generation = node_generation;
    const auto current = watched;
    for (const auto& place : current) {
        const auto& chosen = aggregators_of(at(place));
        const auto is_chosen = [&](const node_id& node) {
            return std::find(chosen.begin(), chosen.end(), node) != chosen.end();
        };
        double severity = -1.0;
        bool orphan = is_chosen(options.self) && !judgement_of(place).course.is_ejected();
        for (const auto& it : at(place).verdicts) {
            if (it.state == target_state::sick && it.expires > now) {
                severity = std::max(severity, it.severity);
                orphan = orphan && !is_chosen(it.judge);
            }
        }
        if (orphan && severity >= 0.0) {
            eject(place, severity, now, actions);
        }
    }
}

bool monitor_state::is_held_back(const target_place& place, instant now) const {
    const auto& service = services[place.service];
    const auto& pool = service.targets[place.target].judged->pool;
    const double others = pool.others_ratio(now);
    // The reporters together see a shared slowdown before this node does alone.
    return others > 0.0 ? others > service.point.shared_limit || shared_failure(place, now)
                        : has_shared_cause(place, now);
}

bool monitor_state::has_shared_cause(const target_place& place, instant now) const {
    const auto& service = services[place.service];
    return std::max(service.shared.slowdown(place.target, now),
                    shared.slowdown(node_number(place), now)) > service.point.shared_limit ||
           shared_failure(place, now);
}

void monitor_state::eject(const target_place& place, double severity, instant now,
                          monitor_actions& actions) {
    auto& mine = judgement_of(place);
    mine.course.eject(now);
    mine.severity = severity;
    mine.held_back = false;
    mine.heard_other = now;
    mine.pool.reset();
    ejected.insert(place);
    actions.log.push_back("health: " + name_of(place) + " is judged sick, severity " +
                          nats_text(severity) + ", hold time " +
                          std::to_string(mine.course.hold().count()) + " s");
    issue(place, target_state::sick, now, actions);
}

void monitor_state::judge_ejected(const target_place& place, instant now,
                                  monitor_actions& actions) {
    auto& mine = judgement_of(place);
    const auto& chosen = aggregators_of(at(place));
    const auto self = std::find(chosen.begin(), chosen.end(), options.self);
    if (self == chosen.end()) {
        // The aggregators of the new node list take the verdict over before it expires.
        mine.course = {};
        ejected.erase(place);
        return;
    }
    if (!mine.course.is_ejected()) {
        repeat_return(place, now, actions);
        return;
    }
    const bool first = self == chosen.begin();
    if (mine.course.is_probe_due(now) && (first || now - mine.heard_other > other_silent_after)) {
        mine.course.probe_sent(now);
        actions.probes.push_back({services[place.service].name, at(place).id});
    }
    const auto& point = services[place.service].point;
    const bool evidence = mine.course.is_probed_well() || mine.pool.answers() >= answers_for_return;
    if (mine.course.is_hold_over(now) && evidence && mine.pool.statistic() < point.threshold / 2) {
        take_back(place, now, actions);
    } else if (now - mine.last_sent >= renewal_interval) {
        issue(place, target_state::sick, now, actions);
    }
}

void monitor_state::take_back(const target_place& place, instant now, monitor_actions& actions) {
    auto& mine = judgement_of(place);
    mine.course.end(now);
    mine.pool.reset();
    mine.repeats = return_repeats;
    actions.log.push_back("health: " + name_of(place) + " returns at 10% weight");
    issue(place, target_state::warming, now, actions);
}

void monitor_state::repeat_return(const target_place& place, instant now,
                                  monitor_actions& actions) {
    auto& mine = judgement_of(place);
    if (mine.repeats == 0) {
        ejected.erase(place);
    } else if (now - mine.last_sent >= repeat_interval) {
        --mine.repeats;
        issue(place, target_state::warming, now, actions);
    }
}

void monitor_state::issue(const target_place& place, target_state state, instant now,
                          monitor_actions& actions) {
    auto& mine = judgement_of(place);
    verdict made;
    made.service = services[place.service].name;
    made.target = at(place).id;
    made.state = state;
    made.severity = state == target_state::sick ? mine.severity : 0.0;
    made.judge = options.self;
    made.sequence = next_sequence++;
    made.expires = now + verdict_lifetime;
    mine.last_sent = now;
    hold_verdict(made, place);
    auto receivers = mine.pool.reporters();
    for (const auto& it : aggregators_of(at(place))) {
        receivers.push_back(it);
    }
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    std::erase(receivers, options.self);
    if (!receivers.empty()) {
        actions.verdicts.push_back({std::move(receivers), std::move(made)});
    }
}

void monitor_state::hold_verdict(const verdict& judged, const target_place& place) {
    auto& held = at(place).verdicts;
    const auto it = std::find_if(held.begin(), held.end(),
                                 [&](const verdict& known) { return known.judge == judged.judge; });
    if (it == held.end()) {
        held.push_back(judged);
    } else if (it->sequence < judged.sequence) {
        *it = judged;
    }
    watched.insert(place);
}

void monitor_state::follow(const verdict& judged, const target_place& place, instant now) {
    const auto& held = at(place).verdicts;
    const bool known = std::any_of(held.begin(), held.end(), [&](const verdict& it) {
        return it.judge == judged.judge && it.sequence >= judged.sequence;
    });
    if (known) {
        return;
    }
    hold_verdict(judged, place);
    const auto& chosen = aggregators_of(at(place));
    if (std::find(chosen.begin(), chosen.end(), options.self) == chosen.end()) {
        return;
    }
    auto& mine = judgement_of(place);
    mine.heard_other = now;
    monitor_actions later;
    if (judged.state == target_state::sick && !mine.course.is_ejected() && mine.repeats == 0) {
        eject(place, judged.severity, now, later);
    } else if (judged.state != target_state::sick && mine.course.is_ejected()) {
        take_back(place, now, later);
    }
    queued.push_back(std::move(later));
}

void monitor_state::take_queued(monitor_actions& actions) {
    for (auto& it : queued) {
        std::move(it.verdicts.begin(), it.verdicts.end(), std::back_inserter(actions.verdicts));
        std::move(it.log.begin(), it.log.end(), std::back_inserter(actions.log));
    }
    queued.clear();
    std::move(messages.begin(), messages.end(), std::back_inserter(actions.log));
    messages.clear();
}

void monitor_state::judge_locally(const target_place& place, instant now,
                                  monitor_actions& actions) {
    auto& record = at(place);
    const auto& point = services[place.service].point;
    const double threshold =
        point.threshold * (point.two_domains && nodes.size() > 1 ? local_precision_factor : 1.0);
    if (record.local < threshold || record.local_course.is_ejected()) {
        return;
    }
    if (has_shared_cause(place, now)) {
        record.local = 0.0;
        return;
    }
    record.local_course.eject(now);
    record.local_severity = record.local;
    record.local = 0.0;
    watched.insert(place);
    actions.log.push_back("health: " + name_of(place) +
                          " is sick as seen from this node, severity " +
                          nats_text(record.local_severity));
}

} // namespace wigeonrill::health
