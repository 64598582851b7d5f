// Measures the state and the time that the store needs for a whole load and for one change, against
// the numbers of routes, workspaces and targets, with a linear fit per series.

#include "generated_document.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <malloc.h>
#include <numeric>

using namespace wigeonrill;
using namespace config_apply;

namespace {

struct measurement {
    double records{0};
    double bytes{0};     ///< heap in use for the store after the load
    double load_ms{0};   ///< apply of all shards
    double change_ms{0}; ///< median of the applies of one changed record
    double sent{0};      ///< bytes of the changed shards
    double shards{0};
};

std::size_t heap_in_use() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

template <typename Work>
double milliseconds_of(Work work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::milli> passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count();
}

void must(bool condition, const char* what) {
    if (!condition) {
        std::fprintf(stderr, "config_apply: %s\n", what);
        std::exit(1);
    }
}

// Returns what a peer or the platform's reader would send: only shards that differ.
config::change_set difference(const config::change_set& from, const config::change_set& to) {
    auto changes = to;
    std::erase_if(changes.changed, [&from](const config::shard& it) {
        const auto found =
            std::ranges::lower_bound(from.changed, it.name, {}, &config::shard::name);
        return found != from.changed.end() && *found == it;
    });
    return changes;
}

// Applies alternating versions of one record and returns the median time.
double median_change(config::configuration_store& store, const config::change_set& second,
                     const config::change_set& first) {
    constexpr int rounds = 15;
    const auto forward = difference(first, second);
    const auto backward = difference(second, first);
    std::vector<double> times;
    times.reserve(rounds);
    for (int i = 0; i < rounds; ++i) {
        auto next = i % 2 == 0 ? forward : backward;
        next.base_version = store.version();
        next.version = store.version() + 1;
        times.push_back(milliseconds_of([&] {
            must(store.apply(next, wall_time{}) == config::apply_outcome::accepted,
                 "a change was not accepted");
        }));
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
}

measurement measure(const document_size& size, double records, changed_record changed) {
    const auto first = config::split_document(write_document(size, 1, changed), "first");
    must(first.has_value(), "the generated document is not valid");
    const auto second = config::split_document(write_document(size, 2, changed), "second", &*first);
    must(second.has_value(), "the generated document is not valid");
    measurement it;
    it.records = records;
    it.shards = static_cast<double>(first->changed.size());
    const auto before = heap_in_use();
    config::configuration_store store;
    it.load_ms = milliseconds_of([&] {
        must(store.apply(*first, wall_time{}) == config::apply_outcome::accepted,
             "the load was not accepted");
    });
    it.bytes = static_cast<double>(heap_in_use() - before);
    for (const auto& one : second->changed) {
        it.sent += one.version == 2 ? static_cast<double>(one.content.size()) : 0.0;
    }
    it.change_ms = median_change(store, *second, *first);
    return it;
}

// Least squares: value = base + slope * records, with the standard error of the slope.
void print_fit(const char* name, const std::vector<measurement>& points,
               double measurement::*value) {
    const auto n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    for (const auto& it : points) {
        x += it.records / n;
        y += it.*value / n;
    }
    double xx = 0;
    double xy = 0;
    for (const auto& it : points) {
        xx += (it.records - x) * (it.records - x);
        xy += (it.records - x) * (it.*value - y);
    }
    const double slope = xy / xx;
    const double base = y - slope * x;
    const double residual =
        std::accumulate(points.begin(), points.end(), 0.0, [&](double sum, const measurement& it) {
            return sum + std::pow(it.*value - base - slope * it.records, 2);
        });
    const double slope_error = std::sqrt(residual / (n - 2) / xx);
    std::printf("  fit %-9s = %.4g + %.4g * records, standard error of the slope %.2g (%.1f%%)\n",
                name, base, slope, slope_error, 100 * slope_error / std::abs(slope));
}

void print_point(const measurement& it) {
    std::printf("%9.0f %7.0f %12.0f %10.2f %10.3f %9.0f\n", it.records, it.shards, it.bytes,
                it.load_ms, it.change_ms, it.sent);
}

void print_head(const char* name) {
    std::printf("%s\n%9s %7s %12s %10s %10s %9s\n", name, "records", "shards", "bytes", "load ms",
                "change ms", "sent B");
}

void run_series(const char* name, std::size_t document_size::*count, changed_record changed,
                const std::vector<std::size_t>& counts) {
    print_head(name);
    std::vector<measurement> points;
    for (const auto records : counts) {
        document_size size;
        size.*count = records;
        points.push_back(measure(size, static_cast<double>(records), changed));
        print_point(points.back());
    }
    print_fit("bytes", points, &measurement::bytes);
    print_fit("load ms", points, &measurement::load_ms);
    print_fit("change ms", points, &measurement::change_ms);
}

} // namespace

int main() {
    run_series("routes", &document_size::routes, changed_record::route,
               {1'000, 3'000, 10'000, 20'000, 30'000});
    run_series("workspaces", &document_size::workspaces, changed_record::workspace,
               {1'000, 10'000, 50'000, 150'000, 310'000});
    run_series("targets", &document_size::targets, changed_record::target,
               {1'000, 5'000, 15'000, 30'000, 42'000});
    const document_size whole{30'000, 310'000, 42'000};
    print_head("target size, one changed route, workspace, target");
    for (const auto changed :
         {changed_record::route, changed_record::workspace, changed_record::target}) {
        print_point(measure(whole, 382'000, changed));
    }
    return 0;
}
