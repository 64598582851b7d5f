#include "wigeonrill/replay.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wigeonrill::replay {

namespace {

using float_seconds = std::chrono::duration<double>;

nanoseconds from_seconds(double value) {
    return std::chrono::duration_cast<nanoseconds>(float_seconds(value));
}

/// Generated route: its share of all requests and the distribution of its service time.
struct route_shape {
    const char* name;
    double share;
    double mean_seconds;
    double sigma; ///< shape of a lognormal distribution; 0: the distribution is exponential
};

constexpr std::array<route_shape, 3> routes{{
    {"status", 0.70, 0.030, 0.0},
    {"search", 0.25, 0.060, 0.9},
    {"bundle", 0.05, 0.400, 0.0},
}};
// Added to the service time of each answer.
constexpr double network_latency_seconds = 0.001;
constexpr double base_failure_probability = 0.001;
// Rare stalls of a healthy target, for example by garbage collection.
constexpr double stall_probability = 0.0005;
constexpr double stall_duration_seconds = 0.5;
// Time after which a node gives up an attempt that gets no answer.
constexpr seconds silent_attempt_duration{5};
constexpr seconds cold_start_duration{20};

/// Builds one trace from a site, its planned faults and a seed.
class trace_builder {
public:
    trace_builder(const site_shape& shape, seconds duration,
                  const std::vector<planned_fault>& faults, std::uint64_t seed)
        : shape_(shape), end_(instant{} + duration), faults_(faults), random_(seed) {}

    trace build() {
        add_names();
        add_configs();
        add_labels();
        for (std::uint32_t i = 0; i < trace_.targets.size(); ++i) {
            add_answers(i);
        }
        for (const auto& it : faults_) {
            if (it.kind == fault_kind::crash_request) {
                add_crash_attempts(it);
            }
        }
        std::stable_sort(
            trace_.answers.begin(), trace_.answers.end(),
            [](const auto& left, const auto& right) { return left.sent < right.sent; });
        trace_.end = end_;
        return std::move(trace_);
    }

private:
    double exponential(double mean) { return -mean * std::log(1.0 - random_.uniform()); }

    double normal() {
        return std::sqrt(-2.0 * std::log(1.0 - random_.uniform())) *
               std::cos(2.0 * std::numbers::pi * random_.uniform());
    }

    [[nodiscard]] std::uint32_t target_count() const {
        return shape_.services * shape_.targets_per_service;
    }
    [[nodiscard]] std::uint32_t domain_of(std::uint32_t target) const {
        return target % shape_.domains;
    }

    void add_names() {
        for (std::uint32_t i = 0; i < shape_.nodes; ++i) {
            trace_.nodes.push_back({node_id("n" + std::to_string(i)),
                                    domain_name("d" + std::to_string(i % shape_.domains))});
        }
        for (std::uint32_t i = 0; i < target_count(); ++i) {
            const auto service = i / shape_.targets_per_service;
            trace_.targets.push_back(
                {service_name("s" + std::to_string(service)), target_id("t" + std::to_string(i))});
        }
        for (const auto& it : routes) {
            trace_.routes.emplace_back(it.name);
        }
    }

    /// \returns whether the target is in the configuration; one with a cold_start fault is added to
    /// it when that fault starts
    [[nodiscard]] bool is_configured(std::uint32_t target, instant when) const {
        return std::none_of(faults_.begin(), faults_.end(), [&](const planned_fault& it) {
            return it.kind == fault_kind::cold_start && it.subject == target && when < it.from;
        });
    }

    void add_configs() {
        add_config(instant{});
        for (const auto& it : faults_) {
            if (it.kind == fault_kind::cold_start) {
                add_config(it.from);
            }
        }
    }

    void add_config(instant at) {
        auto configuration = std::make_shared<config::snapshot>();
        configuration->version = trace_.configs.size() + 1;
        for (std::uint32_t i = 0; i < target_count(); ++i) {
            const auto& named = trace_.targets[i];
            if (configuration->services.empty() ||
                configuration->services.back().name != named.service) {
                config::service service;
                service.name = named.service;
                service.weight = shape_.weight;
                service.floor_slots = shape_.floor_slots;
                configuration->services.push_back(std::move(service));
            }
            if (is_configured(i, at)) {
                const endpoint address{"127.0.0.1", static_cast<std::uint16_t>(20'000 + i)};
                configuration->services.back().targets.push_back(
                    {named.id, address, domain_name("d" + std::to_string(domain_of(i))),
                     shape_.slots, cold_start_duration});
            }
        }
        trace_.configs.push_back({at, std::move(configuration)});
    }

    void add_labels() {
        for (const auto& it : faults_) {
            fault_label label{
                std::string(enum_name(fault_kind_names, it.kind)), {}, it.from, it.until};
            for (std::uint32_t i = 0; i < target_count(); ++i) {
                if (makes_sick(it, i)) {
                    label.targets.push_back(i);
                }
            }
            trace_.faults.push_back(std::move(label));
            if (it.kind == fault_kind::own_pause) {
                trace_.pauses.push_back({it.subject, it.from, it.until});
            }
        }
    }

    /// \returns whether the fault makes the target sick, so that its label lists the target
    [[nodiscard]] bool makes_sick(const planned_fault& fault, std::uint32_t target) const {
        switch (fault.kind) {
        case fault_kind::slow_10:
        case fault_kind::slow_3:
        case fault_kind::errors_30:
        case fault_kind::wrong_answers:
        case fault_kind::flapping:
        case fault_kind::hang:
        case fault_kind::target_lost:
            return fault.subject == target;
        case fault_kind::domain_lost:
            return fault.subject == domain_of(target);
        default:
            return false;
        }
    }

    /// Adds the attempts at a target; the times between them are exponentially distributed.
    void add_answers(std::uint32_t target) {
        instant now{};
        while (true) {
            now += from_seconds(exponential(1.0 / shape_.answers_per_second));
            if (now >= end_) {
                return;
            }
            recorded_answer answer;
            answer.target = target;
            answer.node = static_cast<std::uint32_t>(random_.next_below(shape_.nodes));
            answer.sent = now;
            draw_outcome(answer);
            if (is_configured(target, now)) {
                trace_.answers.push_back(answer);
            }
        }
    }

    /// Draws the route, kind and end of an attempt and applies the faults of that time.
    void draw_outcome(recorded_answer& answer) {
        double choice = random_.uniform();
        while (answer.route + 1 < routes.size() && choice > routes.at(answer.route).share) {
            choice -= routes.at(answer.route).share;
            ++answer.route;
        }
        const auto& route = routes.at(answer.route);
        double latency = route.sigma > 0.0
                             ? route.mean_seconds *
                                   std::exp(route.sigma * normal() - route.sigma * route.sigma / 2)
                             : exponential(route.mean_seconds);
        latency += random_.uniform() < stall_probability ? stall_duration_seconds : 0.0;
        if (random_.uniform() < base_failure_probability) {
            answer.kind = health::answer_kind::server_error;
        }
        const double uniform_sample = random_.uniform();
        for (const auto& it : faults_) {
            if (answer.sent >= it.from && answer.sent < it.until) {
                apply_fault(it, uniform_sample, answer, latency);
            }
        }
        answer.ended = answer.sent + from_seconds(latency + network_latency_seconds);
        if (answer.kind == health::answer_kind::silent) {
            answer.ended = answer.sent + silent_attempt_duration;
        }
        apply_pauses(answer);
    }

    /// \param uniform_sample random number in [0, 1) that decides whether the attempt fails
    /// \param latency in seconds, changed by faults that slow the answer
    void apply_fault(const planned_fault& fault, double uniform_sample, recorded_answer& answer,
                     double& latency) const {
        const auto elapsed = float_seconds(answer.sent - fault.from).count();
        const bool subject = fault.subject == answer.target;
        switch (fault.kind) {
        case fault_kind::slow_10:
            latency *= subject ? 10.0 : 1.0;
            break;
        case fault_kind::slow_3:
            latency *= subject ? 3.0 : 1.0;
            break;
        case fault_kind::flapping:
            latency *= subject && std::fmod(elapsed, 10.0) < 5.0 ? 10.0 : 1.0;
            break;
        case fault_kind::cold_start:
            latency *= subject ? std::max(1.0, 5.0 - elapsed * 0.25) : 1.0;
            break;
        case fault_kind::shared_slowdown:
            latency *= fault.subject == answer.target / shape_.targets_per_service ? 3.0 : 1.0;
            break;
        case fault_kind::bad_link:
            latency += fault.subject == answer.node ? 0.4 : 0.0;
            break;
        default:
            apply_failure(fault, uniform_sample, answer);
        }
    }

    void apply_failure(const planned_fault& fault, double uniform_sample,
                       recorded_answer& answer) const {
        const bool sick = makes_sick(fault, answer.target);
        if (fault.kind == fault_kind::errors_30 && sick && uniform_sample < 0.3) {
            answer.kind = health::answer_kind::server_error;
        } else if (fault.kind == fault_kind::wrong_answers && sick && uniform_sample < 0.5) {
            answer.kind = health::answer_kind::malformed;
        } else if (fault.kind == fault_kind::target_lost && sick) {
            answer.kind = health::answer_kind::connect_failed;
        } else if ((fault.kind == fault_kind::hang || fault.kind == fault_kind::domain_lost) &&
                   sick) {
            answer.kind = health::answer_kind::silent;
        }
    }

    /// Moves the events of a paused node to the end of the pause: it sends nothing during the pause
    /// and sees the answers that arrived during it afterwards.
    void apply_pauses(recorded_answer& answer) const {
        for (const auto& it : faults_) {
            if (it.kind != fault_kind::own_pause || it.subject != answer.node) {
                continue;
            }
            const auto resumed = it.until + milliseconds(1);
            if (answer.sent >= it.from && answer.sent < it.until) {
                answer.ended += resumed - answer.sent;
                answer.sent = resumed;
            } else if (answer.ended >= it.from && answer.ended < it.until) {
                answer.ended = resumed;
            }
        }
    }

    /// Adds the attempts of a request that crashes each target it is sent to. It is sent to the
    /// next target after each crash. The targets restart within milliseconds, so they are not
    /// labelled sick.
    void add_crash_attempts(const planned_fault& fault) {
        for (std::uint32_t i = 0; i < 5; ++i) {
            recorded_answer answer;
            answer.target = (fault.subject + i) % shape_.targets_per_service;
            answer.node = static_cast<std::uint32_t>(random_.next_below(shape_.nodes));
            answer.sent = fault.from + i * milliseconds(200);
            answer.ended = answer.sent + milliseconds(20);
            answer.kind = health::answer_kind::connection_lost;
            answer.fingerprint =
                mix_bits(static_cast<std::uint64_t>(to_microseconds(fault.from))) | 1U;
            trace_.answers.push_back(answer);
        }
    }

    static std::int64_t to_microseconds(instant when) {
        return std::chrono::duration_cast<microseconds>(when.time_since_epoch()).count();
    }

    const site_shape& shape_;
    instant end_;
    const std::vector<planned_fault>& faults_;
    seeded_random_source random_;
    trace trace_;
};

} // namespace

site_shape scotland() {
    site_shape shape;
    shape.name = "Scotland";
    shape.slots = 6;
    shape.floor_slots = 36;
    shape.weight = config::health_weight::detection;
    return shape;
}

site_shape western_australia() {
    site_shape shape;
    shape.name = "Western Australia";
    shape.slots = 2;
    shape.floor_slots = 14;
    shape.weight = config::health_weight::precision;
    return shape;
}

trace generate_trace(const site_shape& shape, seconds duration,
                     const std::vector<planned_fault>& faults, std::uint64_t seed) {
    return trace_builder(shape, duration, faults, seed).build();
}

} // namespace wigeonrill::replay
