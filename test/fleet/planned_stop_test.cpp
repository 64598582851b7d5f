#include "test/fleet/fleet.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace fleet_test;

namespace {

constexpr std::size_t download_bytes = 8'000'000;

// Sends lookups from a background thread until stop() is called, and counts the complete and the
// failed answers.
struct background_lookups {
    explicit background_lookups(int port) : worker([this, port] { send_lookups(port); }) {}
    ~background_lookups() { stop(); }

    void stop() {
        stop_requested = true;
        if (worker.joinable()) {
            worker.join();
        }
    }

    void send_lookups(int port) {
        constexpr int max_requests = 5'000;
        for (int i = 0; i < max_requests && !stop_requested; ++i) {
            const auto got = send(port, {"GET", "/proofs/1?body_bytes=100"});
            ++(got.status == 200 && got.body.size() == 100 ? complete_answers : failed_answers);
        }
    }

    std::atomic<bool> stop_requested{false};
    std::atomic<int> complete_answers{0};
    std::atomic<int> failed_answers{0};
    std::thread worker;
};

} // namespace

TEST_GROUP(planned_stop){};

// Guards against a planned stop that aborts requests in flight: a slow order and a large download.
TEST(planned_stop, finishes_in_flight_requests) {
    fleet test_fleet(1, 2);
    test_fleet.start_node(0);
    test_fleet.set_target_behaviour("orders-1", R"({"latency_ms": 800})");
    test_fleet.set_target_behaviour("orders-2", R"({"latency_ms": 800})");
    answer slow_answer;
    answer download_answer;
    // A key owner accepts only keys created more than twice the clock error bound (4 s) after its
    // own start.
    std::this_thread::sleep_for(std::chrono::milliseconds(4'300));
    const auto key = make_key();
    std::thread order([&] {
        slow_answer = send(test_fleet.traffic_port(0),
                           {"POST", "/print-runs", {{"Idempotency-Key", key}}, "{}"});
    });
    std::thread download([&] {
        download_answer = send(test_fleet.traffic_port(0),
                               {"GET", "/files/1?body_bytes=" + std::to_string(download_bytes)});
    });
    CHECK(eventually([&] { return test_fleet.executions_of_key(key) == 1; }, 5));
    test_fleet.node(0).signal(SIGTERM);
    order.join();
    download.join();
    LONGS_EQUAL(200, slow_answer.status);
    LONGS_EQUAL(200, download_answer.status);
    LONGS_EQUAL(download_bytes, download_answer.body.size());
    LONGS_EQUAL(0, test_fleet.node(0).wait());
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
}

// Guards against refusing requests that the load balancer still sends after the shutdown began, and
// against a second SIGTERM that terminates the process immediately.
TEST(planned_stop, accepts_requests_during_grace_period_and_ignores_second_signal) {
    fleet test_fleet(1, 2);
    test_fleet.start_node(0);
    background_lookups lookups(test_fleet.traffic_port(0));
    CHECK(eventually([&] { return lookups.complete_answers > 20; }, 10));
    test_fleet.node(0).signal(SIGTERM);
    test_fleet.node(0).signal(SIGTERM);
    CHECK(eventually(
        [&] {
            return send(test_fleet.admin_port(0), {"GET", "/ready"}).status == 503;
        },
        5));
    const int answered_before = lookups.complete_answers;
    CHECK(eventually([&] { return lookups.complete_answers > answered_before; }, 5));
    lookups.stop();
    LONGS_EQUAL(0, lookups.failed_answers);
    LONGS_EQUAL(0, test_fleet.node(0).wait());
}
