#include "wigeonrill/observe.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::observe;

TEST_GROUP(metric_registry) {
    metric_registry registry;

    bool contains_line(const std::string& line) {
        return registry.prometheus_text().find(line + "\n") != std::string::npos;
    }
};

// Guards against text that Prometheus rejects. Each metric needs one HELP and one TYPE line, and
// label values must be escaped.
TEST(metric_registry, produces_the_exposition_format) {
    registry.increment_counter("requests_total", "Requests.", {{"route", "a\"b"}});
    registry.increment_counter("requests_total", "Requests.", {{"route", "a\"b"}}, 2);
    registry.set_gauge("version", "Version.", {}, 7);
    STRCMP_EQUAL("# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                 "requests_total{route=\"a\\\"b\"} 3\n"
                 "# HELP version Version.\n# TYPE version gauge\nversion 7\n",
                 registry.prometheus_text().c_str());
}

// Guards against quantiles that include an old latency spike for the lifetime of the process.
TEST(metric_registry, quantiles_ignore_old_windows) {
    const instant start{};
    for (int i = 0; i < 1000; ++i) {
        registry.observe_summary("latency", "Latency.", {}, 5.0, start);
    }
    CHECK(contains_line("latency{quantile=\"0.5\"} 5"));
    for (int i = 0; i < 1000; ++i) {
        registry.observe_summary("latency", "Latency.", {}, 1.0, start + seconds(200));
    }
    CHECK(contains_line("latency{quantile=\"0.5\"} 1"));
    CHECK(contains_line("latency_count 2000"));
}
