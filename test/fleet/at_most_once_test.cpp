#include "test/fleet/fleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace fleet_test;

namespace {

constexpr int nodes = 3;
// A key owner accepts only keys created more than twice the clock error bound (4 s) after its own
// start.
constexpr std::chrono::milliseconds key_acceptance_delay{4'300};

answer send_order(const fleet& test_fleet, int node, const std::string& key,
                  const std::string& body = "{}") {
    return send(test_fleet.traffic_port(node),
                {"POST", "/charges", {{"Idempotency-Key", key}}, body});
}

} // namespace

TEST_GROUP(at_most_once) {
    fleet test_fleet{nodes, 2};

    void setup() override {
        for (int i = 0; i < nodes; ++i) {
            test_fleet.start_node(i);
        }
        std::this_thread::sleep_for(key_acceptance_delay);
    }
};

// Guards against a second execution when a caller resends its key to other nodes, also while the
// first request is still in progress.
TEST(at_most_once, executes_once_when_resent_to_all_nodes) {
    test_fleet.set_target_behaviour("orders-1", R"({"latency_ms": 300})");
    test_fleet.set_target_behaviour("orders-2", R"({"latency_ms": 300})");
    const auto key = make_key();
    constexpr std::size_t resend_count = 6;
    std::vector<answer> answers(resend_count);
    std::vector<std::thread> callers;
    callers.reserve(resend_count);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back(
            [&, i] { answers[i] = send_order(test_fleet, static_cast<int>(i % nodes), key); });
    }
    for (auto& it : callers) {
        it.join();
    }
    for (const auto& it : answers) {
        LONGS_EQUAL(200, it.status);
    }
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
}

// Guards against executing a different order under a key that was already used.
TEST(at_most_once, refuses_another_body_under_the_same_key) {
    const auto key = make_key();
    LONGS_EQUAL(200, send_order(test_fleet, 0, key, R"({"item":1})").status);
    const auto replayed = send_order(test_fleet, 0, key, R"({"item":1})");
    STRCMP_EQUAL("true", replayed.headers.at("Idempotency-Replayed").c_str());
    LONGS_EQUAL(422, send_order(test_fleet, 1, key, R"({"item":2})").status);
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
}

// Guards against executing a request through a process that did not issue its key.
TEST(at_most_once, issued_key_is_executed_only_by_its_issuer) {
    const auto issued = send(test_fleet.traffic_port(0), {"POST", "/.wigeonrill/keys"});
    LONGS_EQUAL(201, issued.status);
    const auto begin = issued.body.find("wr1-");
    const auto key = issued.body.substr(begin, issued.body.rfind('"') - begin);
    LONGS_EQUAL(200, send_order(test_fleet, 1, key).status);
    LONGS_EQUAL(200, send_order(test_fleet, 2, key).status);
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
    test_fleet.kill_node(0);
    test_fleet.start_node(0);
    const auto answer_after_restart = send_order(test_fleet, 1, key);
    CHECK(answer_after_restart.status >= 400);
    STRCMP_EQUAL("unknown", answer_after_restart.headers.at("Wigeonrill-Outcome").c_str());
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
}

// Guards against a second execution after all nodes that had recorded the first were restarted. The
// record is lost, so the outcome must be "unknown".
TEST(at_most_once, answers_unknown_after_the_owner_was_replaced) {
    const auto key = make_key();
    LONGS_EQUAL(200, send_order(test_fleet, 0, key).status);
    for (int i = 0; i < nodes; ++i) {
        test_fleet.kill_node(i);
        test_fleet.start_node(i);
    }
    const auto answer_after_restart = send_order(test_fleet, 1, key);
    CHECK(answer_after_restart.status >= 400);
    STRCMP_EQUAL("unknown", answer_after_restart.headers.at("Wigeonrill-Outcome").c_str());
    LONGS_EQUAL(1, test_fleet.executions_of_key(key));
}

// Guards against a false "not-run": a target that crashed during an order may have executed it.
TEST(at_most_once, answers_unknown_when_the_target_dies) {
    test_fleet.set_target_behaviour("orders-1", R"({"crash_path": "/charges"})");
    test_fleet.set_target_behaviour("orders-2", R"({"crash_path": "/charges"})");
    const auto got = send_order(test_fleet, 0, make_key());
    CHECK(got.status >= 500);
    STRCMP_EQUAL("unknown", got.headers.at("Wigeonrill-Outcome").c_str());
}

// Guards against a second execution by a node that resumes after a pause and sends an order that
// the caller has resent to another node in the meantime.
TEST(at_most_once, executes_at_most_once_when_a_node_pauses) {
    const auto key = make_key();
    test_fleet.node(0).signal(SIGSTOP);
    std::thread caller_of_paused_node([&] { static_cast<void>(send_order(test_fleet, 0, key)); });
    const auto answer_of_other_node = send_order(test_fleet, 1, key);
    test_fleet.node(0).signal(SIGCONT);
    caller_of_paused_node.join();
    CHECK(test_fleet.executions_of_key(key) <= 1);
    if (answer_of_other_node.status == 200) {
        LONGS_EQUAL(1, test_fleet.executions_of_key(key));
    } else {
        STRCMP_EQUAL("unknown", answer_of_other_node.headers.at("Wigeonrill-Outcome").c_str());
    }
}
