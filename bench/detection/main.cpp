// Replays generated traces and prints detection times, false ejections and the lowest capacity for
// each kind of fault and site, for the product and two baseline policies. The output is the same on
// each run.
#include "wigeonrill/replay.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <thread>

namespace {

using namespace wigeonrill;
using namespace wigeonrill::replay;

constexpr seconds warm_up{120};
constexpr seconds fault_spacing{60};
constexpr seconds fault_length{20};
constexpr std::uint32_t faults_per_seed = 4;

struct run_options {
    std::uint32_t seeds{20};
    std::uint32_t threads{4};
    std::string only_fault;    ///< name of the only kind of fault to run; empty: all kinds
    bool log{false};           ///< print the log lines and false ejections of the product
    bool with_baselines{true}; ///< also run the two baseline policies
};

/// Statistics of one kind of fault, site and policy over all seeds.
struct fault_statistics {
    std::vector<double> first_times; ///< seconds until a node considered the target sick
    std::vector<double> all_times;   ///< seconds until all nodes considered the target sick
    std::uint32_t faults{0};         ///< pairs of a fault and an affected target
    std::uint64_t answers{0};        ///< answers that the policy evaluated
    std::uint64_t false_ejections{0};
    std::uint64_t ticks_below_floor{0}; ///< ticks with ejections and less capacity than the floor
    std::uint32_t floor_slots{0};
    std::uint32_t lowest_slots{0xffffffffU};
    std::uint64_t reports{0}; ///< evidence reports sent by all nodes
    std::uint64_t probes{0};  ///< probes of ejected targets by all nodes
    double node_seconds{0.0}; ///< simulated time x nodes
};

/// Kullback-Leibler divergence, in nats per answer, of a target with the fault from a healthy one.
/// Returns 0 for faults without a bound.
double information_per_answer(fault_kind kind) {
    switch (kind) {
    case fault_kind::slow_10:
    case fault_kind::flapping:
        return 6.7;
    case fault_kind::slow_3:
        return 0.90;
    case fault_kind::errors_30:
        return 1.46;
    default:
        return 0.0;
    }
}

/// Lower bound of the mean detection time: evidence that the threshold requires, divided by the
/// information that the answers of a target carry per second. Returns 0 without a bound.
double detection_bound_seconds(const site_shape& site, fault_kind kind) {
    const double threshold_nats = health::operating_point_of(site.weight).threshold;
    const double per_answer = information_per_answer(kind);
    return per_answer > 0.0 ? threshold_nats / per_answer / site.answers_per_second : 0.0;
}

std::vector<planned_fault> plan_faults(const site_shape& site, fault_kind kind,
                                       std::uint64_t seed) {
    std::vector<planned_fault> planned;
    const auto targets = site.services * site.targets_per_service;
    for (std::uint32_t i = 0; i < faults_per_seed; ++i) {
        planned_fault it;
        it.kind = kind;
        it.from = instant{} + warm_up + i * fault_spacing;
        it.until = it.from + fault_length;
        // Each fault hits a different target, because the hold time of an ejection doubles when the
        // same target was ejected shortly before.
        it.subject = static_cast<std::uint32_t>((seed + std::uint64_t{i} * 7) % targets);
        if (kind == fault_kind::shared_slowdown) {
            it.subject = i % site.services;
        } else if (kind == fault_kind::domain_lost) {
            it.subject = i % site.domains;
        } else if (kind == fault_kind::own_pause || kind == fault_kind::bad_link) {
            it.subject = static_cast<std::uint32_t>((seed + std::uint64_t{i} * 7) % site.nodes);
        }
        if (kind == fault_kind::own_pause) {
            it.until = it.from + milliseconds(300 + 500 * i);
        }
        if (kind != fault_kind::none) {
            planned.push_back(it);
        }
    }
    return planned;
}

void add_report(const report& result, fault_statistics& total) {
    for (const auto& it : result.detections) {
        ++total.faults;
        if (it.first_detected_after) {
            total.first_times.push_back(
                std::chrono::duration<double>(*it.first_detected_after).count());
        }
        if (it.all_detected_after) {
            total.all_times.push_back(
                std::chrono::duration<double>(*it.all_detected_after).count());
        }
    }
    total.answers += result.answers;
    total.false_ejections += result.false_ejections.size();
    for (const auto& it : result.capacity) {
        total.ticks_below_floor += it.floor_violations;
        total.floor_slots = it.floor_slots;
        total.lowest_slots = std::min(total.lowest_slots, it.lowest_slots);
    }
}

std::vector<fault_statistics> run_seed(const site_shape& site, fault_kind kind, std::uint64_t seed,
                                       bool log, bool with_baselines) {
    const auto planned = plan_faults(site, kind, seed);
    const auto generated_trace =
        generate_trace(site, warm_up + faults_per_seed * fault_spacing, planned, seed);
    std::vector<fault_statistics> result(3);
    monitor_policy product_policy(milliseconds(50), milliseconds(1));
    if (log) {
        product_policy.keep_log();
    }
    const auto product_report = run(generated_trace, product_policy);
    add_report(product_report, result[0]);
    result[0].reports = product_policy.reports_sent();
    result[0].probes = product_policy.probes_sent();
    result[0].node_seconds =
        std::chrono::duration<double>(generated_trace.end.time_since_epoch()).count() *
        static_cast<double>(generated_trace.nodes.size());
    if (log) {
        for (const auto& it : product_policy.log()) {
            std::printf("%s\n", it.c_str());
        }
        for (const auto& it : product_report.false_ejections) {
            std::printf("false ejection of t%u at %.2f s on %u nodes\n", it.target,
                        std::chrono::duration<double>(it.at.time_since_epoch()).count(), it.nodes);
        }
    }
    if (!with_baselines) {
        return result;
    }
    consecutive_errors errors;
    add_report(run(generated_trace, errors), result[1]);
    fixed_latency latency;
    add_report(run(generated_trace, latency), result[2]);
    return result;
}

void merge(const fault_statistics& from, fault_statistics& into) {
    into.first_times.insert(into.first_times.end(), from.first_times.begin(),
                            from.first_times.end());
    into.all_times.insert(into.all_times.end(), from.all_times.begin(), from.all_times.end());
    into.faults += from.faults;
    into.answers += from.answers;
    into.false_ejections += from.false_ejections;
    into.ticks_below_floor += from.ticks_below_floor;
    into.floor_slots = from.floor_slots;
    into.lowest_slots = std::min(into.lowest_slots, from.lowest_slots);
    into.reports += from.reports;
    into.probes += from.probes;
    into.node_seconds += from.node_seconds;
}

std::vector<fault_statistics> run_seeds(const site_shape& site, fault_kind kind,
                                        const run_options& options) {
    std::vector<std::vector<fault_statistics>> statistics_per_seed(options.seeds);
    std::atomic<std::uint32_t> next{0};
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < options.threads; ++i) {
        workers.emplace_back([&] {
            for (auto seed = next++; seed < options.seeds; seed = next++) {
                statistics_per_seed[seed] =
                    run_seed(site, kind, seed + 1, options.log, options.with_baselines);
            }
        });
    }
    for (auto& it : workers) {
        it.join();
    }
    std::vector<fault_statistics> total(3);
    for (const auto& seed_statistics : statistics_per_seed) {
        for (std::size_t i = 0; i < total.size(); ++i) {
            merge(seed_statistics[i], total[i]);
        }
    }
    return total;
}

/// Quantile of the detection times as text. Undetected faults count as infinite times.
std::string quantile(std::vector<double> times, std::uint32_t faults, double share) {
    std::sort(times.begin(), times.end());
    if (faults == 0) {
        return "-";
    }
    const auto rank = std::min<std::size_t>(
        faults - 1, static_cast<std::size_t>(std::ceil(share * faults)) - (share > 0 ? 1 : 0));
    if (rank >= times.size()) {
        return "never";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", times[rank]);
    return text.data();
}

/// Mean detection time as a multiple of the lower bound, or "-" if there is no bound or a fault was
/// not detected.
std::string bound_multiple(const fault_statistics& it, double bound) {
    if (bound <= 0.0 || it.all_times.size() < it.faults || it.faults == 0) {
        return "-";
    }
    double sum = 0.0;
    for (const double time : it.all_times) {
        sum += time;
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", sum / it.faults / bound);
    return text.data();
}

void print_table(const site_shape& site, fault_kind kind, const run_options& options) {
    const auto total = run_seeds(site, kind, options);
    constexpr std::array<const char*, 3> names{"wigeonrill", "consecutive errors", "fixed latency"};
    const auto fault = enum_name(fault_kind_names, kind);
    std::printf("\n%s, %.*s: %u faults, bound %.2f s\n", site.name.c_str(),
                static_cast<int>(fault.size()), fault.data(), total[0].faults,
                detection_bound_seconds(site, kind));
    std::printf("%-20s %9s %9s %9s %9s %9s %7s %9s %8s %7s\n", "policy", "first p50", "all p50",
                "all p99", "all worst", "undetected", "x bound", "false/1e6", "slots", "broken");
    for (std::size_t i = 0; i < (options.with_baselines ? total.size() : 1); ++i) {
        const auto& it = total[i];
        const double per_million =
            1e6 * static_cast<double>(it.false_ejections) / static_cast<double>(it.answers);
        std::printf("%-20s %9s %9s %9s %9s %10zu %7s %9.2f %4u/%-3u %7llu\n", names.at(i),
                    quantile(it.first_times, it.faults, 0.5).c_str(),
                    quantile(it.all_times, it.faults, 0.5).c_str(),
                    quantile(it.all_times, it.faults, 0.99).c_str(),
                    quantile(it.all_times, it.faults, 1.0).c_str(), it.faults - it.all_times.size(),
                    bound_multiple(it, detection_bound_seconds(site, kind)).c_str(), per_million,
                    it.lowest_slots, it.floor_slots,
                    static_cast<unsigned long long>(it.ticks_below_floor));
    }
    std::printf("wigeonrill: %llu answers, %llu false ejections, %.2f reports/s per node, %llu "
                "probes\n",
                static_cast<unsigned long long>(total[0].answers),
                static_cast<unsigned long long>(total[0].false_ejections),
                static_cast<double>(total[0].reports) / total[0].node_seconds,
                static_cast<unsigned long long>(total[0].probes));
    std::fflush(stdout);
}

run_options read_arguments(const std::vector<std::string>& arguments) {
    run_options options;
    for (const auto& it : arguments) {
        if (it.rfind("--seeds=", 0) == 0) {
            options.seeds = static_cast<std::uint32_t>(std::stoul(it.substr(8)));
        } else if (it.rfind("--fault=", 0) == 0) {
            options.only_fault = it.substr(8);
        } else if (it == "--ours") {
            options.with_baselines = false;
        } else if (it == "--log") {
            options.log = true;
            options.threads = 1;
        }
    }
    return options;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = read_arguments({argv + 1, argv + argc});
    std::printf("%u seeds, %u faults per seed, ticks of 50 ms, messages take 1 ms\n", options.seeds,
                faults_per_seed);
    for (const auto& site : {scotland(), western_australia()}) {
        for (const auto& [kind, name] : fault_kind_names) {
            if (options.only_fault.empty() || options.only_fault == name) {
                print_table(site, kind, options);
            }
        }
    }
    return 0;
}
