// Measures the time of a placement decision and of all decisions on one request against the number
// of targets, and the time of a route lookup against the number of routes. Prints the median of 9
// rounds for each size, and a least-squares line for each series.

#include "wigeonrill/dispatch.h"

#include <algorithm>
#include <cstdio>
#include <functional>

using namespace wigeonrill;

namespace {

/// Median time of a call at one size, such as a number of targets.
struct point {
    double x{0.0};
    double nanoseconds{0.0};
};

/// \returns the median over 9 rounds of the mean time of one call, in nanoseconds
double median_ns(int calls, const std::function<void()>& call) {
    std::vector<double> times_ns;
    for (int round = 0; round < 9; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            call();
        }
        const std::chrono::duration<double, std::nano> elapsed =
            std::chrono::steady_clock::now() - start;
        times_ns.push_back(elapsed.count() / calls);
    }
    std::sort(times_ns.begin(), times_ns.end());
    return times_ns[times_ns.size() / 2];
}

/// Prints the points and the least-squares line through them with its coefficient of determination.
void print_fit(const char* unit, const std::vector<point>& points) {
    const auto n = static_cast<double>(points.size());
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    double sum_yy = 0.0;
    for (const auto& it : points) {
        std::printf("  %8.0f %-8s %9.1f ns\n", it.x, unit, it.nanoseconds);
        sum_x += it.x;
        sum_y += it.nanoseconds;
        sum_xx += it.x * it.x;
        sum_xy += it.x * it.nanoseconds;
        sum_yy += it.nanoseconds * it.nanoseconds;
    }
    const double covariance = n * sum_xy - sum_x * sum_y;
    const double variance_of_x = n * sum_xx - sum_x * sum_x;
    const double slope = covariance / variance_of_x;
    const double variance_of_y = n * sum_yy - sum_y * sum_y;
    const double r_squared =
        variance_of_y > 0.0 ? covariance * covariance / (variance_of_x * variance_of_y) : 1.0;
    std::printf("  line: %.1f ns + %.4f ns per %s, R^2 %.3f\n", (sum_y - slope * sum_x) / n, slope,
                unit, r_squared);
}

std::shared_ptr<config::snapshot> make_snapshot(int targets, int routes) {
    auto snapshot = std::make_shared<config::snapshot>();
    snapshot->services.resize(1);
    auto& service = snapshot->services.front();
    service.name = service_name("print");
    for (int i = 0; i < targets; ++i) {
        config::target target;
        target.id = target_id("target-" + std::to_string(i));
        target.address = {"10.0.0.1", 8080};
        target.slots = 6;
        service.targets.push_back(target);
    }
    for (int i = 0; i < routes; ++i) {
        config::route route;
        route.service = service.name;
        route.host = "w" + std::to_string(i % 300) + ".print.example";
        route.path_prefix = "/v1/items-" + std::to_string(i) + "/orders";
        snapshot->routes.push_back(route);
    }
    return snapshot;
}

routing::view_ptr make_view(const config::snapshot_ptr& snapshot) {
    auto view = std::make_shared<routing::view>();
    view->configuration = snapshot;
    const auto& service = snapshot->services.front();
    routing::service_view eligible{&service, {}};
    for (std::uint32_t i = 0; i < service.targets.size(); ++i) {
        eligible.eligible.push_back({&service.targets[i], 1.0, i});
    }
    view->services.push_back(std::move(eligible));
    return view;
}

double placement_ns(int targets) {
    const auto snapshot = make_snapshot(targets, 1);
    seeded_random_source random(1);
    routing::rate_limit_table limits(random);
    dispatch::service_state service(std::make_unique<routing::two_random_choices>(), limits, {});
    service.sync(1, make_view(snapshot)->services.front());
    const instant now{};
    return median_ns(20'000, [&] {
        const auto placed = service.place({}, config::repeat_policy::at_most_once, now, random);
        placed.chosen_target->limiter.release();
    });
}

double request_ns(int targets) {
    const auto snapshot = make_snapshot(targets, 30'000);
    seeded_random_source random(1);
    const dispatch::clock_reading at{instant{} + seconds(1), wall_time{} + seconds(1)};
    dispatch::decision_core core(
        {"10.1.0.1", 80}, 1, at,
        dispatch::core_options{
            .make_policy = [] { return std::make_unique<routing::two_random_choices>(); }},
        random);
    core.set_view(make_view(snapshot), std::make_shared<routing::route_table>(snapshot), at.now);
    traffic::request_info request;
    request.method = "GET";
    request.host = "w7.print.example";
    request.path = "/v1/items-7/orders/1234";
    request.arrived = at.now;
    request.deadline = at.now + seconds(10);
    traffic::attempt_result attempt;
    attempt.request_bytes_sent = true;
    return median_ns(20'000, [&] {
        ++request.id;
        core.begin_request(request, at);
        static_cast<void>(core.poll(request.id, at));
        static_cast<void>(core.may_send(request.id, at));
        static_cast<void>(core.on_attempt_ended(request.id, attempt, at));
        core.finish_request(request.id, true, nullptr, at);
        static_cast<void>(core.take_events());
    });
}

double lookup_ns(int routes) {
    const auto snapshot = make_snapshot(1, routes);
    const routing::route_table table(snapshot);
    int i = 0;
    return median_ns(20'000, [&] {
        i = (i + 7919) % routes;
        const auto& route = snapshot->routes[static_cast<std::size_t>(i)];
        if (table.find(route.host, "GET", route.path_prefix + "/1234").route != &route) {
            std::printf("wrong route\n");
        }
    });
}

} // namespace

int main() {
    std::vector<point> points;
    for (const int targets : {5, 14, 28, 55, 110, 220}) {
        points.push_back({static_cast<double>(targets), placement_ns(targets)});
    }
    std::printf("placement decision, two random choices:\n");
    print_fit("targets", points);
    points.clear();
    for (const int targets : {5, 14, 28, 55, 110, 220}) {
        points.push_back({static_cast<double>(targets), request_ns(targets)});
    }
    std::printf("all decisions of one request (begin to finished, 30,000 routes):\n");
    print_fit("targets", points);
    points.clear();
    for (const int routes : {1'000, 5'000, 10'000, 20'000, 30'000}) {
        points.push_back({static_cast<double>(routes), lookup_ns(routes)});
    }
    std::printf("route lookup:\n");
    print_fit("routes", points);
    return 0;
}
