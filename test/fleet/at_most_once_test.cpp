#include "test/fleet/fleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace fleet_test;

namespace {

constexpr int nodes = 3;
// The owner runs only keys made more than two clock errors (4 s) after its start.
constexpr std::chrono::milliseconds owner_guard{4'300};

answer order(const fleet& all, int node, const std::string& key, const std::string& body = "{}") {
    return send(all.traffic_port(node), {"POST", "/charges", {{"Idempotency-Key", key}}, body});
}

} // namespace

TEST_GROUP(at_most_once) {
    fleet all{nodes, 2};

    void setup() override {
        for (int i = 0; i < nodes; ++i) {
            all.start_node(i);
        }
        std::this_thread::sleep_for(owner_guard);
    }
};

// Guards against a second run when a caller sends its key again to other nodes, also while the
// first request still runs.
TEST(at_most_once, runs_once_for_resends_to_all_nodes) {
    all.control("orders-1", R"({"latency_ms": 300})");
    all.control("orders-2", R"({"latency_ms": 300})");
    const auto key = make_key();
    constexpr std::size_t resends = 6;
    std::vector<answer> answers(resends);
    std::vector<std::thread> callers;
    callers.reserve(resends);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i] { answers[i] = order(all, static_cast<int>(i % nodes), key); });
    }
    for (auto& it : callers) {
        it.join();
    }
    for (const auto& it : answers) {
        LONGS_EQUAL(200, it.status);
    }
    LONGS_EQUAL(1, all.executions(key));
}

// Guards against running another order under a used key.
TEST(at_most_once, refuses_another_body_under_the_same_key) {
    const auto key = make_key();
    LONGS_EQUAL(200, order(all, 0, key, R"({"item":1})").status);
    const auto replayed = order(all, 0, key, R"({"item":1})");
    STRCMP_EQUAL("true", replayed.headers.at("Idempotency-Replayed").c_str());
    LONGS_EQUAL(422, order(all, 1, key, R"({"item":2})").status);
    LONGS_EQUAL(1, all.executions(key));
}

// Guards against a key that runs at another process than the one that issued it.
TEST(at_most_once, issued_key_runs_only_at_its_issuer) {
    const auto issued = send(all.traffic_port(0), {"POST", "/.wigeonrill/keys"});
    LONGS_EQUAL(201, issued.status);
    const auto begin = issued.body.find("wr1-");
    const auto key = issued.body.substr(begin, issued.body.rfind('"') - begin);
    LONGS_EQUAL(200, order(all, 1, key).status);
    LONGS_EQUAL(200, order(all, 2, key).status);
    LONGS_EQUAL(1, all.executions(key));
    all.kill_node(0);
    all.start_node(0);
    const auto again = order(all, 1, key);
    CHECK(again.status >= 400);
    STRCMP_EQUAL("unknown", again.headers.at("Wigeonrill-Outcome").c_str());
    LONGS_EQUAL(1, all.executions(key));
}

// Guards against a second run after the nodes that knew of the first were replaced; the outcome
// must be unknown, because no node can know any more.
TEST(at_most_once, answers_unknown_after_the_owner_was_replaced) {
    const auto key = make_key();
    LONGS_EQUAL(200, order(all, 0, key).status);
    for (int i = 0; i < nodes; ++i) {
        all.kill_node(i);
        all.start_node(i);
    }
    const auto again = order(all, 1, key);
    CHECK(again.status >= 400);
    STRCMP_EQUAL("unknown", again.headers.at("Wigeonrill-Outcome").c_str());
    LONGS_EQUAL(1, all.executions(key));
}

// Guards against a false "not-run": a target that died with the order may have run it.
TEST(at_most_once, answers_unknown_when_the_target_dies) {
    all.control("orders-1", R"({"crash_path": "/charges"})");
    all.control("orders-2", R"({"crash_path": "/charges"})");
    const auto got = order(all, 0, make_key());
    CHECK(got.status >= 500);
    STRCMP_EQUAL("unknown", got.headers.at("Wigeonrill-Outcome").c_str());
}

// Guards against a node that resumes after a pause and sends an order whose caller has gone to
// another node meanwhile.
TEST(at_most_once, runs_once_across_a_pause) {
    const auto key = make_key();
    all.node(0).signal(SIGSTOP);
    std::thread stopped([&] { static_cast<void>(order(all, 0, key)); });
    const auto meanwhile = order(all, 1, key);
    all.node(0).signal(SIGCONT);
    stopped.join();
    CHECK(all.executions(key) <= 1);
    if (meanwhile.status == 200) {
        LONGS_EQUAL(1, all.executions(key));
    } else {
        STRCMP_EQUAL("unknown", meanwhile.headers.at("Wigeonrill-Outcome").c_str());
    }
}
