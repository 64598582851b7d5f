// Goodput and p99 latency at several loads, for the product's placement and two baselines, with one
// sick target of ten. Deterministic: the seeds are 1, 2 and 3, and the figures are their means.

#include "simulation.h"

#include <cstdio>

using namespace wigeonrill;

namespace {

constexpr std::array kinds{std::pair{bench::proxy_kind::product, "product"},
                           std::pair{bench::proxy_kind::product_turns, "product, r. robin"},
                           std::pair{bench::proxy_kind::product_fewest, "product, l. outst."},
                           std::pair{bench::proxy_kind::round_robin, "round robin"},
                           std::pair{bench::proxy_kind::least_outstanding, "least outstanding"}};
constexpr std::uint64_t seeds = 3;

void print_row(const char* name, const bench::plan& base) {
    bench::outcome_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto plan = base;
        plan.seed = seed;
        const auto one = bench::simulate(plan);
        sum.good_per_capacity += one.good_per_capacity;
        sum.p99_ms += one.p99_ms;
        sum.refused_ms += one.refused_ms;
        sum.arrivals += one.arrivals;
        sum.good += one.good;
        sum.refused += one.refused;
        sum.late += one.late;
        sum.sheds += one.sheds;
    }
    const auto percent = [&](std::uint64_t n) {
        return 100.0 * static_cast<double>(n) / static_cast<double>(sum.arrivals);
    };
    std::printf("%5u %5.1f  %-18s %7.3f %8.1f %8.1f %8.2f %8.2f %8.1f\n", base.slots, base.load,
                name, sum.good_per_capacity / seeds, percent(sum.good), sum.p99_ms / seeds,
                percent(sum.late), percent(sum.sheds), sum.refused_ms / seeds);
}

} // namespace

int main() {
    std::printf("slots  load  proxy              goodput   good %%   p99 ms   late %%  sheds %% "
                "refusal ms\n");
    for (const std::uint32_t slots : {6U, 2U}) {
        for (const double load : {0.5, 0.9, 1.2, 3.0}) {
            for (const auto& [kind, name] : kinds) {
                bench::plan plan;
                plan.proxy = kind;
                plan.slots = slots;
                plan.load = load;
                print_row(name, plan);
            }
        }
    }
    return 0;
}
