// Prints detection times, false ejections and capacity per fault and site; same output on each run.
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
constexpr seconds spacing{60};
constexpr seconds fault_length{20};
constexpr std::uint32_t episodes = 4;

struct settings {
    std::uint32_t seeds{20};
    std::uint32_t threads{4};
    std::string only; ///< name of one fault; empty: all
    bool log{false};
    bool baselines{true};
};

/// Figures of one fault, site and policy over all seeds.
struct figures {
    std::vector<double> first; ///< seconds until a node held the target for sick
    std::vector<double> all;   ///< seconds until every node did
    std::uint32_t faults{0};
    std::uint64_t answers{0};
    std::uint64_t false_ejections{0};
    std::uint64_t broken{0};
    std::uint32_t floor_slots{0};
    std::uint32_t lowest_slots{0xffffffffU};
    std::uint64_t reports{0};
    std::uint64_t probes{0};
    double node_seconds{0.0};
};

/// Information per answer in nats between a healthy target and one with the fault, 0: no bound.
double information(fault_kind kind) {
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

double bound_seconds(const site_shape& site, fault_kind kind) {
    const double nats = health::operating_point_of(site.weight).threshold;
    const double per_answer = information(kind);
    return per_answer > 0.0 ? nats / per_answer / site.answers_per_second : 0.0;
}

std::vector<planned_fault> plan_faults(const site_shape& site, fault_kind kind,
                                       std::uint64_t seed) {
    std::vector<planned_fault> planned;
    const auto targets = site.services * site.targets_per_service;
    for (std::uint32_t i = 0; i < episodes; ++i) {
        planned_fault it;
        it.kind = kind;
        it.from = instant{} + warm_up + i * spacing;
        it.until = it.from + fault_length;
        // A different target each time, so that hold times don't add up.
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

void add(const report& result, figures& total) {
    for (const auto& it : result.detections) {
        ++total.faults;
        if (it.first_detected_after) {
            total.first.push_back(std::chrono::duration<double>(*it.first_detected_after).count());
        }
        if (it.all_detected_after) {
            total.all.push_back(std::chrono::duration<double>(*it.all_detected_after).count());
        }
    }
    total.answers += result.answers;
    total.false_ejections += result.false_ejections.size();
    for (const auto& it : result.capacity) {
        total.broken += it.floor_violations;
        total.floor_slots = it.floor_slots;
        total.lowest_slots = std::min(total.lowest_slots, it.lowest_slots);
    }
}

std::vector<figures> run_seed(const site_shape& site, fault_kind kind, std::uint64_t seed, bool log,
                              bool baselines) {
    const auto planned = plan_faults(site, kind, seed);
    const auto recorded = generate_trace(site, warm_up + episodes * spacing, planned, seed);
    std::vector<figures> result(3);
    monitor_policy ours(milliseconds(50), milliseconds(1));
    if (log) {
        ours.keep_log();
    }
    const auto ours_report = run(recorded, ours);
    add(ours_report, result[0]);
    result[0].reports = ours.reports_sent();
    result[0].probes = ours.probes_sent();
    result[0].node_seconds =
        std::chrono::duration<double>(recorded.end.time_since_epoch()).count() *
        static_cast<double>(recorded.nodes.size());
    if (log) {
        for (const auto& it : ours.log()) {
            std::printf("%s\n", it.c_str());
        }
        for (const auto& it : ours_report.false_ejections) {
            std::printf("false ejection of t%u at %.2f s on %u nodes\n", it.target,
                        std::chrono::duration<double>(it.at.time_since_epoch()).count(), it.nodes);
        }
    }
    if (!baselines) {
        return result;
    }
    consecutive_errors errors;
    add(run(recorded, errors), result[1]);
    fixed_latency latency;
    add(run(recorded, latency), result[2]);
    return result;
}

void merge(const figures& from, figures& into) {
    into.first.insert(into.first.end(), from.first.begin(), from.first.end());
    into.all.insert(into.all.end(), from.all.begin(), from.all.end());
    into.faults += from.faults;
    into.answers += from.answers;
    into.false_ejections += from.false_ejections;
    into.broken += from.broken;
    into.floor_slots = from.floor_slots;
    into.lowest_slots = std::min(into.lowest_slots, from.lowest_slots);
    into.reports += from.reports;
    into.probes += from.probes;
    into.node_seconds += from.node_seconds;
}

std::vector<figures> run_seeds(const site_shape& site, fault_kind kind, const settings& chosen) {
    std::vector<std::vector<figures>> parts(chosen.seeds);
    std::atomic<std::uint32_t> next{0};
    std::vector<std::thread> workers;
    for (std::uint32_t i = 0; i < chosen.threads; ++i) {
        workers.emplace_back([&] {
            for (auto seed = next++; seed < chosen.seeds; seed = next++) {
                parts[seed] = run_seed(site, kind, seed + 1, chosen.log, chosen.baselines);
            }
        });
    }
    for (auto& it : workers) {
        it.join();
    }
    std::vector<figures> total(3);
    for (const auto& part : parts) {
        for (std::size_t i = 0; i < total.size(); ++i) {
            merge(part[i], total[i]);
        }
    }
    return total;
}

/// Quantile of the times; faults that were not detected count as infinite.
std::string quantile(std::vector<double> times, std::uint32_t faults, double share) {
    std::sort(times.begin(), times.end());
    if (faults == 0) {
        return "-";
    }
    const auto place = std::min<std::size_t>(
        faults - 1, static_cast<std::size_t>(std::ceil(share * faults)) - (share > 0 ? 1 : 0));
    if (place >= times.size()) {
        return "never";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", times[place]);
    return text.data();
}

std::string bound_multiple(const figures& it, double bound) {
    if (bound <= 0.0 || it.all.size() < it.faults || it.faults == 0) {
        return "-";
    }
    double sum = 0.0;
    for (const double time : it.all) {
        sum += time;
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", sum / it.faults / bound);
    return text.data();
}

void print_table(const site_shape& site, fault_kind kind, const settings& chosen) {
    const auto total = run_seeds(site, kind, chosen);
    constexpr std::array<const char*, 3> names{"wigeonrill", "consecutive errors", "fixed latency"};
    const auto fault = enum_name(fault_kind_names, kind);
    std::printf("\n%s, %.*s: %u faults, bound %.2f s\n", site.name.c_str(),
                static_cast<int>(fault.size()), fault.data(), total[0].faults,
                bound_seconds(site, kind));
    std::printf("%-20s %9s %9s %9s %9s %9s %7s %9s %8s %7s\n", "policy", "first p50", "all p50",
                "all p99", "all worst", "undetected", "x bound", "false/1e6", "slots", "broken");
    for (std::size_t i = 0; i < (chosen.baselines ? total.size() : 1); ++i) {
        const auto& it = total[i];
        const double per_million =
            1e6 * static_cast<double>(it.false_ejections) / static_cast<double>(it.answers);
        std::printf("%-20s %9s %9s %9s %9s %10zu %7s %9.2f %4u/%-3u %7llu\n", names.at(i),
                    quantile(it.first, it.faults, 0.5).c_str(),
                    quantile(it.all, it.faults, 0.5).c_str(),
                    quantile(it.all, it.faults, 0.99).c_str(),
                    quantile(it.all, it.faults, 1.0).c_str(), it.faults - it.all.size(),
                    bound_multiple(it, bound_seconds(site, kind)).c_str(), per_million,
                    it.lowest_slots, it.floor_slots, static_cast<unsigned long long>(it.broken));
    }
    std::printf("wigeonrill: %llu answers, %llu false ejections, %.2f reports/s per node, %llu "
                "probes\n",
                static_cast<unsigned long long>(total[0].answers),
                static_cast<unsigned long long>(total[0].false_ejections),
                static_cast<double>(total[0].reports) / total[0].node_seconds,
                static_cast<unsigned long long>(total[0].probes));
    std::fflush(stdout);
}

settings read_arguments(const std::vector<std::string>& arguments) {
    settings chosen;
    for (const auto& it : arguments) {
        if (it.rfind("--seeds=", 0) == 0) {
            chosen.seeds = static_cast<std::uint32_t>(std::stoul(it.substr(8)));
        } else if (it.rfind("--fault=", 0) == 0) {
            chosen.only = it.substr(8);
        } else if (it == "--ours") {
            chosen.baselines = false;
        } else if (it == "--log") {
            chosen.log = true;
            chosen.threads = 1;
        }
    }
    return chosen;
}

} // namespace

int main(int argc, char** argv) {
    const auto chosen = read_arguments({argv + 1, argv + argc});
    std::printf("%u seeds, %u faults per seed, ticks of 50 ms, messages take 1 ms\n", chosen.seeds,
                episodes);
    for (const auto& site : {scotland(), western_australia()}) {
        for (const auto& [kind, name] : fault_kind_names) {
            if (chosen.only.empty() || chosen.only == name) {
                print_table(site, kind, chosen);
            }
        }
    }
    return 0;
}
