#include "wigeonrill/replay.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wigeonrill::replay {

namespace {

using seconds_f = std::chrono::duration<double>;

nanoseconds from_seconds(double value) {
    return std::chrono::duration_cast<nanoseconds>(seconds_f(value));
}

/// Route with its share of the requests and the distribution of its service time.
struct route_shape {
    const char* name;
    double share;
    double mean_seconds;
    double sigma; ///< of a lognormal distribution; 0: exponential
};

constexpr std::array<route_shape, 3> routes{{
    {"status", 0.70, 0.030, 0.0},
    {"search", 0.25, 0.060, 0.9},
    {"bundle", 0.05, 0.400, 0.0},
}};
constexpr double network_seconds = 0.001;
constexpr double usual_failures = 0.001;
// Rare stalls of a healthy target, such as a garbage collection.
constexpr double stall_share = 0.0005;
constexpr double stall_seconds = 0.5;
constexpr seconds silence_limit{5};
constexpr seconds cold_time{20};

class maker {
public:
    maker(const site_shape& shape, seconds duration, const std::vector<planned_fault>& faults,
          std::uint64_t seed)
        : shape_(shape), end_(instant{} + duration), faults_(faults), random_(seed) {}

    trace make() {
        add_tables();
        add_configs();
        add_labels();
        for (std::uint32_t i = 0; i < made_.targets.size(); ++i) {
            add_answers(i);
        }
        for (const auto& it : faults_) {
            if (it.kind == fault_kind::crash_request) {
                add_crashes(it);
            }
        }
        std::stable_sort(
            made_.answers.begin(), made_.answers.end(),
            [](const auto& left, const auto& right) { return left.sent < right.sent; });
        made_.end = end_;
        return std::move(made_);
    }

private:
    double exponential(double mean) { return -mean * std::log(1.0 - random_.uniform()); }

    double normal() {
        return std::sqrt(-2.0 * std::log(1.0 - random_.uniform())) *
               std::cos(2.0 * std::numbers::pi * random_.uniform());
    }

    [[nodiscard]] std::uint32_t all_targets() const {
        return shape_.services * shape_.targets_per_service;
    }
    [[nodiscard]] std::uint32_t domain_of(std::uint32_t target) const {
        return target % shape_.domains;
    }

    void add_tables() {
        for (std::uint32_t i = 0; i < shape_.nodes; ++i) {
            made_.nodes.push_back({node_id("n" + std::to_string(i)),
                                   domain_name("d" + std::to_string(i % shape_.domains))});
        }
        for (std::uint32_t i = 0; i < all_targets(); ++i) {
            const auto service = i / shape_.targets_per_service;
            made_.targets.push_back(
                {service_name("s" + std::to_string(service)), target_id("t" + std::to_string(i))});
        }
        for (const auto& it : routes) {
            made_.routes.emplace_back(it.name);
        }
    }

    /// Targets with a cold start are missing until it begins.
    [[nodiscard]] bool exists(std::uint32_t target, instant when) const {
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
        auto made = std::make_shared<config::snapshot>();
        made->version = made_.configs.size() + 1;
        for (std::uint32_t i = 0; i < all_targets(); ++i) {
            const auto& named = made_.targets[i];
            if (made->services.empty() || made->services.back().name != named.service) {
                config::service service;
                service.name = named.service;
                service.weight = shape_.weight;
                service.floor_slots = shape_.floor_slots;
                made->services.push_back(std::move(service));
            }
            if (exists(i, at)) {
                const endpoint address{"127.0.0.1", static_cast<std::uint16_t>(20'000 + i)};
                made->services.back().targets.push_back(
                    {named.id, address, domain_name("d" + std::to_string(domain_of(i))),
                     shape_.slots, cold_time});
            }
        }
        made_.configs.push_back({at, std::move(made)});
    }

    void add_labels() {
        for (const auto& it : faults_) {
            fault_label label{
                std::string(enum_name(fault_kind_names, it.kind)), {}, it.from, it.until};
            for (std::uint32_t i = 0; i < all_targets(); ++i) {
                if (makes_sick(it, i)) {
                    label.targets.push_back(i);
                }
            }
            made_.faults.push_back(std::move(label));
            if (it.kind == fault_kind::own_pause) {
                made_.pauses.push_back({it.subject, it.from, it.until});
            }
        }
    }

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

    void add_answers(std::uint32_t target) {
        instant now{};
        while (true) {
            now += from_seconds(exponential(1.0 / shape_.answers_per_second));
            if (now >= end_) {
                return;
            }
            recorded_answer made;
            made.target = target;
            made.node = static_cast<std::uint32_t>(random_.next_below(shape_.nodes));
            made.sent = now;
            draw(made);
            if (exists(target, now)) {
                made_.answers.push_back(made);
            }
        }
    }

    void draw(recorded_answer& made) {
        double choice = random_.uniform();
        while (made.route + 1 < routes.size() && choice > routes.at(made.route).share) {
            choice -= routes.at(made.route).share;
            ++made.route;
        }
        const auto& route = routes.at(made.route);
        double latency = route.sigma > 0.0
                             ? route.mean_seconds *
                                   std::exp(route.sigma * normal() - route.sigma * route.sigma / 2)
                             : exponential(route.mean_seconds);
        latency += random_.uniform() < stall_share ? stall_seconds : 0.0;
        if (random_.uniform() < usual_failures) {
            made.kind = health::answer_kind::server_error;
        }
        const double luck = random_.uniform();
        for (const auto& it : faults_) {
            if (made.sent >= it.from && made.sent < it.until) {
                apply(it, luck, made, latency);
            }
        }
        made.ended = made.sent + from_seconds(latency + network_seconds);
        if (made.kind == health::answer_kind::silent) {
            made.ended = made.sent + silence_limit;
        }
        apply_pauses(made);
    }

    void apply(const planned_fault& fault, double luck, recorded_answer& made,
               double& latency) const {
        const auto elapsed = seconds_f(made.sent - fault.from).count();
        const bool subject = fault.subject == made.target;
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
            latency *= fault.subject == made.target / shape_.targets_per_service ? 3.0 : 1.0;
            break;
        case fault_kind::bad_link:
            latency += fault.subject == made.node ? 0.4 : 0.0;
            break;
        default:
            apply_failure(fault, luck, made);
        }
    }

    void apply_failure(const planned_fault& fault, double luck, recorded_answer& made) const {
        const bool sick = makes_sick(fault, made.target);
        if (fault.kind == fault_kind::errors_30 && sick && luck < 0.3) {
            made.kind = health::answer_kind::server_error;
        } else if (fault.kind == fault_kind::wrong_answers && sick && luck < 0.5) {
            made.kind = health::answer_kind::malformed;
        } else if (fault.kind == fault_kind::target_lost && sick) {
            made.kind = health::answer_kind::connect_failed;
        } else if ((fault.kind == fault_kind::hang || fault.kind == fault_kind::domain_lost) &&
                   sick) {
            made.kind = health::answer_kind::silent;
        }
    }

    /// A paused node sends nothing and sees the answers of that span at its end.
    void apply_pauses(recorded_answer& made) const {
        for (const auto& it : faults_) {
            if (it.kind != fault_kind::own_pause || it.subject != made.node) {
                continue;
            }
            const auto wake = it.until + milliseconds(1);
            if (made.sent >= it.from && made.sent < it.until) {
                made.ended += wake - made.sent;
                made.sent = wake;
            } else if (made.ended >= it.from && made.ended < it.until) {
                made.ended = wake;
            }
        }
    }

    /// The request is sent again after each death; each target is restarted within milliseconds.
    void add_crashes(const planned_fault& fault) {
        for (std::uint32_t i = 0; i < 5; ++i) {
            recorded_answer made;
            made.target = (fault.subject + i) % shape_.targets_per_service;
            made.node = static_cast<std::uint32_t>(random_.next_below(shape_.nodes));
            made.sent = fault.from + i * milliseconds(200);
            made.ended = made.sent + milliseconds(20);
            made.kind = health::answer_kind::connection_lost;
            made.fingerprint = mix_bits(static_cast<std::uint64_t>(micros_of(fault.from))) | 1U;
            made_.answers.push_back(made);
        }
    }

    static std::int64_t micros_of(instant when) {
        return std::chrono::duration_cast<microseconds>(when.time_since_epoch()).count();
    }

    const site_shape& shape_;
    instant end_;
    const std::vector<planned_fault>& faults_;
    seeded_random_source random_;
    trace made_;
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

trace generate(const site_shape& shape, seconds duration, const std::vector<planned_fault>& faults,
               std::uint64_t seed) {
    return maker(shape, duration, faults, seed).make();
}

} // namespace wigeonrill::replay
