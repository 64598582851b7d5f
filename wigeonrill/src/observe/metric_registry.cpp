#include "wigeonrill/observe.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdio>
#include <optional>

namespace wigeonrill::observe {

namespace {

namespace acc = boost::accumulators;

using latency_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};
constexpr seconds window_duration{60};

latency_accumulator make_accumulator() {
    return latency_accumulator(acc::extended_p_square_probabilities = quantiles);
}

std::string format_value(double value) {
    std::array<char, 40> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.9g", value);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string escape_label(const std::string& value) {
    std::string text;
    for (const char it : value) {
        if (it == '\n') {
            text += "\\n";
        } else if (it == '"' || it == '\\') {
            text += '\\';
            text += it;
        } else {
            text += it;
        }
    }
    return text;
}

std::string format_labels(const metric_labels& labels) {
    std::string text;
    for (const auto& [key, value] : labels) {
        text += text.empty() ? "" : ",";
        text += key + "=\"" + escape_label(value) + "\"";
    }
    return text;
}

std::string enclose_labels(const std::string& labels) {
    return labels.empty() ? "" : "{" + labels + "}";
}

// Latency quantiles of the current and the previous window, with the sum and count since the start.
// The quantiles that it shows are those of the window with more observations.
class summary {
public:
    void add(double value, instant now) {
        start_window_if_due(now);
        current_(value);
        sum_ += value;
        ++count_;
    }

    void append_to(std::string& text, const std::string& name, const std::string& labels) const {
        const auto& window = acc::count(previous_) > acc::count(current_) ? previous_ : current_;
        if (acc::count(window) > 0) {
            for (const double q : quantiles) {
                const auto value = acc::quantile(window, acc::quantile_probability = q);
                const auto quantile_labels =
                    labels + (labels.empty() ? "" : ",") + "quantile=\"" + format_value(q) + "\"";
                text += name + enclose_labels(quantile_labels) + " " + format_value(value) + "\n";
            }
        }
        text += name + "_sum" + enclose_labels(labels) + " " + format_value(sum_) + "\n";
        text += name + "_count" + enclose_labels(labels) + " " + std::to_string(count_) + "\n";
    }

private:
    void start_window_if_due(instant now) {
        if (window_start_ && now - *window_start_ < window_duration) {
            return;
        }
        const bool adjacent = window_start_ && now - *window_start_ < 2 * window_duration;
        previous_ = adjacent ? current_ : make_accumulator();
        current_ = make_accumulator();
        window_start_ = now;
    }

    latency_accumulator current_ = make_accumulator();
    latency_accumulator previous_ = make_accumulator();
    std::optional<instant> window_start_;
    double sum_{0.0};
    std::uint64_t count_{0};
};

} // namespace

struct metric_registry::family {
    std::string help;
    std::string_view type;
    std::map<std::string, double> values;
    std::map<std::string, summary> summaries;
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

metric_registry::family& metric_registry::find_or_create(const std::string& name,
                                                         const std::string& help,
                                                         std::string_view type) {
    auto& entry = families_[name];
    if (!entry) {
        entry = std::make_unique<family>();
        entry->help = help;
        entry->type = type;
    }
    WIGEONRILL_ASSERT(entry->type == type, "a metric name was used with two types");
    return *entry;
}

void metric_registry::increment_counter(const std::string& name, const std::string& help,
                                        const metric_labels& labels, double n) {
    const std::lock_guard lock(mutex_);
    find_or_create(name, help, "counter").values[format_labels(labels)] += n;
}

void metric_registry::set_gauge(const std::string& name, const std::string& help,
                                const metric_labels& labels, double value) {
    const std::lock_guard lock(mutex_);
    find_or_create(name, help, "gauge").values[format_labels(labels)] = value;
}

void metric_registry::observe_summary(const std::string& name, const std::string& help,
                                      const metric_labels& labels, double value, instant now) {
    const std::lock_guard lock(mutex_);
    find_or_create(name, help, "summary").summaries[format_labels(labels)].add(value, now);
}

void metric_registry::clear_gauge(const std::string& name) {
    const std::lock_guard lock(mutex_);
    if (const auto it = families_.find(name); it != families_.end()) {
        it->second->values.clear();
    }
}

std::string metric_registry::prometheus_text() const {
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, entry] : families_) {
        text += "# HELP " + name + " " + entry->help + "\n";
        text += "# TYPE " + name + " " + std::string(entry->type) + "\n";
        for (const auto& [labels, value] : entry->values) {
            text += name + enclose_labels(labels) + " " + format_value(value) + "\n";
        }
        for (const auto& [labels, value] : entry->summaries) {
            value.append_to(text, name, labels);
        }
    }
    return text;
}

} // namespace wigeonrill::observe
