#ifndef WIGEONRILL_TEST_HEALTH_HEALTH_FIXTURE_H
#define WIGEONRILL_TEST_HEALTH_HEALTH_FIXTURE_H

#include "wigeonrill/health.h"

namespace wigeonrill::health {

/// Time between ticks of the monitors.
inline constexpr milliseconds tick_period{50};
/// Median latency of a healthy target.
inline constexpr milliseconds usual_latency{40};

/// \brief Configuration of the only service, stock.
struct service_shape {
    config::health_weight weight{config::health_weight::detection};
    std::uint32_t targets{10};
    std::uint32_t slots{6}; ///< slots of each target
    std::uint32_t floor_slots{0};
    milliseconds cold_start{0};
    std::uint64_t version{1};
};

inline target_id target_name(std::uint32_t number) {
    return target_id("t" + std::to_string(number));
}

inline config::snapshot make_snapshot(const service_shape& shape) {
    config::snapshot made;
    made.version = shape.version;
    config::service service;
    service.name = service_name("stock");
    service.weight = shape.weight;
    service.floor_slots = shape.floor_slots;
    for (std::uint32_t i = 0; i < shape.targets; ++i) {
        const endpoint address{"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
        const domain_name domain("d" + std::to_string(i % 4));
        service.targets.push_back({target_name(i), address, domain, shape.slots, shape.cold_start});
    }
    made.services.push_back(service);
    return made;
}

/// \brief Runs the monitors of one or more nodes on simulated time. Messages between nodes are
/// delivered after each tick.
class fleet {
public:
    fleet(std::uint32_t nodes, const service_shape& shape) : shape_(shape) {
        std::vector<fleet_node> live;
        for (std::uint32_t i = 0; i < nodes; ++i) {
            live.push_back({node_name(i), domain_name("d" + std::to_string(i % 4))});
        }
        for (const auto& it : live) {
            monitor_options options;
            options.self = it.id;
            options.domain = it.domain;
            options.tick_period = tick_period;
            nodes_.push_back(std::make_unique<monitor>(options));
            nodes_.back()->set_nodes(live);
        }
        configure(shape);
    }

    static node_id node_name(std::uint32_t node) { return node_id("n" + std::to_string(node)); }
    static service_name service() { return service_name("stock"); }

    /// \brief Applies a configuration at all nodes.
    void configure(const service_shape& shape) {
        shape_ = shape;
        for (const auto& it : nodes_) {
            it->configure(std::make_shared<const config::snapshot>(make_snapshot(shape)), now_);
        }
    }

    /// \returns an answer that ends now
    answer make_answer(std::uint32_t target, milliseconds latency,
                       answer_kind kind = answer_kind::ok) const {
        answer made;
        made.service = service();
        made.target = target_name(target);
        made.route = route_name("all");
        made.sent = now_ - latency;
        made.ended = now_;
        made.kind = kind;
        return made;
    }

    /// \brief Adds a finished attempt at a node.
    void send(std::uint32_t node, std::uint32_t target, milliseconds latency = usual_latency,
              answer_kind kind = answer_kind::ok) {
        nodes_[node]->on_answer(make_answer(target, latency, kind));
    }

    /// \brief Adds a request without an answer at a node.
    void outstanding(std::uint32_t node, std::uint32_t target, milliseconds age,
                     std::uint64_t request) {
        nodes_[node]->on_outstanding(service(), target_name(target), route_name("all"), age,
                                     request);
    }

    /// \brief Adds answers of every target at every node, so that the baselines are usable.
    void settle(int rounds = 10) {
        for (int i = 0; i < rounds; ++i) {
            for (std::uint32_t node = 0; node < nodes_.size(); ++node) {
                for (std::uint32_t target = 0; target < shape_.targets; ++target) {
                    // Between 28 and 52 ms, median 40 ms.
                    const auto spread = static_cast<int>((target * 7 + i * 3) % 25) - 12;
                    send(node, target, usual_latency + milliseconds(spread));
                }
            }
            tick();
        }
    }

    /// \brief Advances the time, ticks all monitors and delivers their messages and probes.
    void tick(milliseconds period = tick_period) {
        now_ += period;
        std::vector<monitor_actions> all;
        for (const auto& it : nodes_) {
            all.push_back(it->tick(now_));
        }
        for (std::uint32_t i = 0; i < all.size(); ++i) {
            deliver(all[i]);
            for (const auto& it : all[i].probes) {
                auto ended = make_answer(0, usual_latency, probe_kind);
                ended.target = it.target;
                nodes_[i]->on_probe(ended);
            }
        }
    }

    /// \brief Ticks until the span is over.
    void tick_for(seconds span) {
        for (auto until = now_ + span; now_ < until;) {
            tick();
        }
    }

    monitor& node(std::uint32_t number) { return *nodes_[number]; }
    instant now() const { return now_; }
    target_state state(std::uint32_t node, std::uint32_t target) const {
        return nodes_[node]->status(service(), target_name(target)).state;
    }
    bool is_used(std::uint32_t node, std::uint32_t target) const {
        for (const auto& it : nodes_[node]->plan(service()).usable) {
            if (it.index == target) {
                return true;
            }
        }
        return false;
    }

    std::uint32_t reports{0};                ///< number of reports sent so far
    std::uint32_t probes{0};                 ///< number of probes requested so far
    answer_kind probe_kind{answer_kind::ok}; ///< result of all probes
    node_id lost_reports_to;                 ///< reports to this node are dropped

private:
    void deliver(const monitor_actions& actions) {
        for (const auto& it : actions.reports) {
            ++reports;
            for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
                if (node_name(i) == it.to && it.to != lost_reports_to) {
                    nodes_[i]->on_evidence(it.report, now_);
                }
            }
        }
        for (const auto& it : actions.verdicts) {
            for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
                nodes_[i]->on_verdict(it.content, now_);
            }
        }
        probes += static_cast<std::uint32_t>(actions.probes.size());
    }

    service_shape shape_;
    instant now_{seconds(1000)};
    std::vector<std::unique_ptr<monitor>> nodes_;
};

} // namespace wigeonrill::health

#endif
