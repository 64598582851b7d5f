#include "wigeonrill/observe.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::observe;

TEST_GROUP(metric_registry) {
    metric_registry registry;

    bool prints(const std::string& line) {
        return registry.prometheus_text().find(line + "\n") != std::string::npos;
    }
};

// Guards against text that a Prometheus scraper rejects: one HELP and TYPE per family, escaped
// labels.
TEST(metric_registry, prints_the_exposition_format) {
    registry.count("requests_total", "Requests.", {{"route", "a\"b"}});
    registry.count("requests_total", "Requests.", {{"route", "a\"b"}}, 2);
    registry.set("version", "Version.", {}, 7);
    STRCMP_EQUAL("# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                 "requests_total{route=\"a\\\"b\"} 3\n"
                 "# HELP version Version.\n# TYPE version gauge\nversion 7\n",
                 registry.prometheus_text().c_str());
}

// Guards against quantiles that an old spike dominates for the life of the process.
TEST(metric_registry, quantiles_forget_old_windows) {
    const instant start{};
    for (int i = 0; i < 1000; ++i) {
        registry.observe("latency", "Latency.", {}, 5.0, start);
    }
    CHECK(prints("latency{quantile=\"0.5\"} 5"));
    for (int i = 0; i < 1000; ++i) {
        registry.observe("latency", "Latency.", {}, 1.0, start + seconds(200));
    }
    CHECK(prints("latency{quantile=\"0.5\"} 1"));
    CHECK(prints("latency_count 2000"));
}
