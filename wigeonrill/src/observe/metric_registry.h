#ifndef WIGEONRILL_OBSERVE_METRIC_REGISTRY_H
#define WIGEONRILL_OBSERVE_METRIC_REGISTRY_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Labels of one time series as pairs of name and value, such as {{"service", "stock"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// \brief Registry of counters, gauges and latency summaries of one process. Thread-safe.
///
/// The quantiles of a summary cover one window of at most 60 s, the current or the previous one, so
/// that an old spike in latency does not hide the present values.
class metric_registry {
public:
    metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    ~metric_registry();

    /// \brief Adds a value to a counter, which is created if it is new.
    /// \param name metric name, such as "wigeonrill_requests_total"
    /// \param help help text of one line, used when the metric is new
    /// \param n value to add
    void increment_counter(const std::string& name, const std::string& help,
                           const metric_labels& labels, double n = 1.0);
    /// \brief Sets a gauge, which is created if it is new.
    void set_gauge(const std::string& name, const std::string& help, const metric_labels& labels,
                   double value);
    /// \brief Adds an observation to a summary, which is created if it is new.
    /// \param value observed duration in seconds
    /// \param now time of the observation
    void observe_summary(const std::string& name, const std::string& help,
                         const metric_labels& labels, double value, instant now);
    /// \brief Removes all time series of a gauge, so that labels which no longer occur disappear.
    void clear_gauge(const std::string& name);

    /// \returns all metrics in the Prometheus text exposition format, version 0.0.4
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct family;
    /// Returns the metric of a name, which must always be used with the same type.
    family& find_or_create(const std::string& name, const std::string& help, std::string_view type);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace wigeonrill::observe

#endif
