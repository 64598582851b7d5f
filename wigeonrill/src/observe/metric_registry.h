#ifndef WIGEONRILL_OBSERVE_METRIC_REGISTRY_H
#define WIGEONRILL_OBSERVE_METRIC_REGISTRY_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Labels of one time series, such as {{"service", "stock"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// \brief Counters, gauges and latency summaries of one process. Thread-safe.
///
/// Summaries give quantiles over the last one to two windows of 60 s, so that an old spike does
/// not hide the present.
class metric_registry {
public:
    metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    ~metric_registry();

    /// \brief Adds to a counter.
    /// \param name metric name, such as "wigeonrill_requests_total"
    /// \param help one line of explanation, used when the metric is new
    void count(const std::string& name, const std::string& help, const metric_labels& labels,
               double n = 1.0);
    /// \brief Sets a gauge.
    void set(const std::string& name, const std::string& help, const metric_labels& labels,
             double value);
    /// \brief Adds one observation to a summary.
    /// \param value in seconds
    void observe(const std::string& name, const std::string& help, const metric_labels& labels,
                 double value, instant now);
    /// \brief Removes all series of a gauge, before it is set anew.
    void clear(const std::string& name);

    /// \returns all metrics in the Prometheus text exposition format, version 0.0.4
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct family;
    family& find(const std::string& name, const std::string& help, std::string_view type);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace wigeonrill::observe

#endif
