// Simulates overload and prints goodput and p99 latency at several loads, for the product with
// three placement policies and for two baseline proxies. One of the ten targets is sick. The output
// is deterministic: the printed values are means over runs with the seeds 1, 2 and 3.

#include "simulation.h"

#include <cstdio>

using namespace wigeonrill;

namespace {

constexpr std::array proxies{
    std::pair{bench::proxy_kind::product, "product"},
    std::pair{bench::proxy_kind::product_round_robin, "product, r. robin"},
    std::pair{bench::proxy_kind::product_least_outstanding, "product, l. outst."},
    std::pair{bench::proxy_kind::round_robin, "round robin"},
    std::pair{bench::proxy_kind::least_outstanding, "least outstanding"}};
constexpr std::uint64_t seeds = 3;

void print_row(const char* name, const bench::scenario& base) {
    bench::outcome_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto scenario = base;
        scenario.seed = seed;
        const auto seed_result = bench::simulate(scenario);
        sum.good_per_capacity += seed_result.good_per_capacity;
        sum.p99_ms += seed_result.p99_ms;
        sum.mean_refusal_ms += seed_result.mean_refusal_ms;
        sum.arrivals += seed_result.arrivals;
        sum.good += seed_result.good;
        sum.refused += seed_result.refused;
        sum.late += seed_result.late;
        sum.sheds += seed_result.sheds;
    }
    const auto percent = [&](std::uint64_t n) {
        return 100.0 * static_cast<double>(n) / static_cast<double>(sum.arrivals);
    };
    std::printf("%5u %5.1f  %-18s %7.3f %8.1f %8.1f %8.2f %8.2f %8.1f\n", base.slots, base.load,
                name, sum.good_per_capacity / seeds, percent(sum.good), sum.p99_ms / seeds,
                percent(sum.late), percent(sum.sheds), sum.mean_refusal_ms / seeds);
}

} // namespace

int main() {
    std::printf("slots  load  proxy              goodput   good %%   p99 ms   late %%  sheds %% "
                "refusal ms\n");
    for (const std::uint32_t slots : {6U, 2U}) {
        for (const double load : {0.5, 0.9, 1.2, 3.0}) {
            for (const auto& [kind, name] : proxies) {
                bench::scenario scenario;
                scenario.proxy = kind;
                scenario.slots = slots;
                scenario.load = load;
                print_row(name, scenario);
            }
        }
    }
    return 0;
}
