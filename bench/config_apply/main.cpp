// Measures the memory and the time that the configuration store needs to load a whole configuration
// and to apply one change, against the number of routes, workspaces and targets. Prints a linear
// fit for each series.

#include "generated_document.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <malloc.h>
#include <numeric>

using namespace wigeonrill;
using namespace config_apply;

namespace {

/// Costs of the store at one size of the configuration.
struct measurement {
    double records{0};       ///< number of records that the series varies
    double bytes{0};         ///< heap memory that the store uses after the load
    double load_ms{0};       ///< time to apply all shards at once
    double change_ms{0};     ///< median time to apply a change of one record
    double changed_bytes{0}; ///< size of the shards that a change of one record replaces
    double shards{0};        ///< number of shards of the configuration
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

// Ends the benchmark with a message when the condition doesn't hold.
void require(bool condition, const char* what) {
    if (!condition) {
        std::fprintf(stderr, "config_apply: %s\n", what);
        std::exit(1);
    }
}

// Returns the change set that a peer or the platform's reader would send: only the shards that
// differ.
config::change_set difference(const config::change_set& from, const config::change_set& to) {
    auto changes = to;
    std::erase_if(changes.changed, [&from](const config::shard& it) {
        const auto found =
            std::ranges::lower_bound(from.changed, it.name, {}, &config::shard::name);
        return found != from.changed.end() && *found == it;
    });
    return changes;
}

// Applies two versions of a configuration in turn, which differ in one record. Returns the median
// time of an apply in milliseconds.
double median_change(config::configuration_store& store, const config::change_set& version_2,
                     const config::change_set& version_1) {
    constexpr int rounds = 15;
    const auto forward = difference(version_1, version_2);
    const auto backward = difference(version_2, version_1);
    std::vector<double> times;
    times.reserve(rounds);
    for (int i = 0; i < rounds; ++i) {
        auto next = i % 2 == 0 ? forward : backward;
        next.base_version = store.version();
        next.version = store.version() + 1;
        times.push_back(milliseconds_of([&] {
            require(store.apply(next, wall_time{}) == config::apply_outcome::accepted,
                    "a change was not accepted");
        }));
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
}

measurement measure(const document_size& size, double records, changed_record changed) {
    const auto version_1 = config::split_document(write_document(size, 1, changed), "first");
    require(version_1.has_value(), "the generated document is not valid");
    const auto version_2 =
        config::split_document(write_document(size, 2, changed), "second", &*version_1);
    require(version_2.has_value(), "the generated document is not valid");
    measurement it;
    it.records = records;
    it.shards = static_cast<double>(version_1->changed.size());
    const auto before = heap_in_use();
    config::configuration_store store;
    it.load_ms = milliseconds_of([&] {
        require(store.apply(*version_1, wall_time{}) == config::apply_outcome::accepted,
                "the load was not accepted");
    });
    it.bytes = static_cast<double>(heap_in_use() - before);
    for (const auto& changed_shard : version_2->changed) {
        it.changed_bytes +=
            changed_shard.version == 2 ? static_cast<double>(changed_shard.content.size()) : 0.0;
    }
    it.change_ms = median_change(store, *version_2, *version_1);
    return it;
}

// Prints the least-squares line value = intercept + slope * records with the standard error of the
// slope.
void print_fit(const char* name, const std::vector<measurement>& points,
               double measurement::*value) {
    const auto n = static_cast<double>(points.size());
    double mean_records = 0;
    double mean_value = 0;
    for (const auto& it : points) {
        mean_records += it.records / n;
        mean_value += it.*value / n;
    }
    double sum_of_squares = 0;
    double sum_of_products = 0;
    for (const auto& it : points) {
        sum_of_squares += (it.records - mean_records) * (it.records - mean_records);
        sum_of_products += (it.records - mean_records) * (it.*value - mean_value);
    }
    const double slope = sum_of_products / sum_of_squares;
    const double intercept = mean_value - slope * mean_records;
    const double residual =
        std::accumulate(points.begin(), points.end(), 0.0, [&](double sum, const measurement& it) {
            return sum + std::pow(it.*value - intercept - slope * it.records, 2);
        });
    const double slope_error = std::sqrt(residual / (n - 2) / sum_of_squares);
    std::printf("  fit %-9s = %.4g + %.4g * records, standard error of the slope %.2g (%.1f%%)\n",
                name, intercept, slope, slope_error, 100 * slope_error / std::abs(slope));
}

void print_measurement(const measurement& it) {
    std::printf("%9.0f %7.0f %12.0f %10.2f %10.3f %9.0f\n", it.records, it.shards, it.bytes,
                it.load_ms, it.change_ms, it.changed_bytes);
}

void print_header(const char* name) {
    std::printf("%s\n%9s %7s %12s %10s %10s %9s\n", name, "records", "shards", "bytes", "load ms",
                "change ms", "sent B");
}

void run_series(const char* name, std::size_t document_size::*count, changed_record changed,
                const std::vector<std::size_t>& counts) {
    print_header(name);
    std::vector<measurement> points;
    for (const auto records : counts) {
        document_size size;
        size.*count = records;
        points.push_back(measure(size, static_cast<double>(records), changed));
        print_measurement(points.back());
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
    const document_size target_size{30'000, 310'000, 42'000};
    print_header("target size, one changed route, workspace, target");
    for (const auto changed :
         {changed_record::route, changed_record::workspace, changed_record::target}) {
        print_measurement(measure(target_size, 382'000, changed));
    }
    return 0;
}
