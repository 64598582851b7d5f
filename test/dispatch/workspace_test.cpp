#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using traffic::step_kind;

namespace {

config::workspace make_workspace(const char* name, const char* key, double rate = 0.0) {
    config::workspace it;
    it.name = workspace_name(name);
    it.keys = {config::digest_of_key(key)};
    it.requests_per_second = rate;
    return it;
}

std::shared_ptr<config::snapshot> make_authenticated_snapshot() {
    auto snapshot = test::make_snapshot(4, 6);
    snapshot->authentication = config::caller_authentication::api_key;
    snapshot->workspaces = {make_workspace("w1", "key-1"), make_workspace("w2", "key-2", 10.0)};
    auto open = test::make_route("open", "/open", config::repeat_policy::idempotent);
    open.needs_api_key = false;
    snapshot->routes.insert(snapshot->routes.begin(), open);
    return snapshot;
}

} // namespace

TEST_GROUP(workspace) {
    test::dispatcher_fixture node{make_authenticated_snapshot()};
    dispatch::request_dispatcher& d = *node.dispatcher;

    traffic::request_info request_with_key(const char* path, const char* key) {
        auto info = node.request("GET", path);
        if (key != nullptr) {
            info.api_key = config::digest_of_key(key);
        }
        return info;
    }

    traffic::step first_step(const char* path, const char* key) {
        return d.first_step(request_with_key(path, key));
    }

    /// Makes this node one of three that share the limits, and casts its votes.
    void join_fleet() {
        const node_id self("10.1.0.1:70");
        for (int i = 0; i < 100; ++i) {
            d.set_credit_nodes(self, {self, node_id("10.1.0.2:70"), node_id("10.1.0.3:70")}, {3});
            d.tick();
            node.clock.advance(milliseconds(50));
        }
        node.sink.credit_asks.clear();
    }

    /// Answers the question about credit that was asked last.
    void answer_question(std::uint32_t granted, milliseconds retry_after) {
        for (const auto& ask : std::exchange(node.sink.credit_asks, {})) {
            for (const auto& it : ask.content.requests) {
                d.on_credit_grant(ask.to, {{{it.number, granted, retry_after}}});
            }
        }
    }
};

// Guards against a caller that is believed about its workspace, and against the key or a stated
// name on its way to a target.
TEST(workspace, is_the_one_that_holds_the_key) {
    const auto step = first_step("/stock", "key-1");
    CHECK(step.kind == step_kind::send);
    CHECK(step.verified_workspace == "w1");
    auto stated = request_with_key("/stock", "key-1");
    stated.workspace = "w2";
    CHECK(d.first_step(stated).verified_workspace == "w1");
}

// Guards against requests that run without a valid key, and against routes without authentication
// that refuse callers or pass on a name that the caller made up.
TEST(workspace, unknown_keys_are_refused_except_on_open_routes) {
    for (const char* key : {static_cast<const char*>(nullptr), "no-key"}) {
        const auto step = first_step("/stock", key);
        CHECK(step.kind == step_kind::refuse);
        LONGS_EQUAL(401, step.reason.status);
        const auto open = first_step("/open/a", key);
        CHECK(open.kind == step_kind::send);
        CHECK(open.verified_workspace == "");
    }
    CHECK(first_step("/open/a", "key-2").verified_workspace == "w2");
}

// Guards against a key that still works after a version has withdrawn it, and against one that a
// version moved and that still names the workspace before.
TEST(workspace, keys_follow_the_version_in_force) {
    auto next = std::make_shared<config::snapshot>(*node.snapshot);
    next->version = 2;
    next->workspaces = {make_workspace("w1", "key-2")};
    d.set_view(test::make_view(next));
    LONGS_EQUAL(401, first_step("/stock", "key-1").reason.status);
    CHECK(first_step("/stock", "key-2").verified_workspace == "w1");
}

// Guards against a 401 by a node that doesn't know any key yet, after which callers give up.
TEST(workspace, a_node_without_configuration_refuses_as_not_ready) {
    dispatch::request_dispatcher fresh({{"10.1.0.2", 80}, 8, {}}, node.clock, node.random,
                                       node.sink);
    LONGS_EQUAL(503, fresh.first_step(request_with_key("/stock", "key-1")).reason.status);
}

// Guards against checking again what another node has checked, which removed the key.
TEST(workspace, a_request_of_a_node_keeps_its_workspace) {
    auto info = node.request("GET", "/stock");
    info.sender = traffic::request_sender::vouching_node;
    info.workspace = "w2";
    const auto step = d.first_step(info);
    CHECK(step.kind == step_kind::send);
    CHECK(step.verified_workspace == "w2");
}

// Guards against refusing what a node passes on, because it isn't known yet (review/13, DENIED),
// and against believing a caller at a node's address that says its key was checked.
TEST(workspace, the_key_of_a_passed_on_request_is_checked) {
    using traffic::request_sender;
    for (const auto sender : {request_sender::unknown_node, request_sender::node}) {
        auto info = request_with_key("/stock", "key-1");
        info.sender = sender;
        info.workspace = "w2";
        const auto step = d.first_step(info);
        CHECK(step.kind == step_kind::send);
        CHECK(step.verified_workspace == "w1");
        auto without_key = request_with_key("/stock", nullptr);
        without_key.sender = sender;
        without_key.workspace = "w1";
        const auto refused = d.first_step(without_key);
        CHECK(refused.kind == step_kind::refuse);
        // A node of an older build may have sent it, as long as the sender is unknown.
        const bool is_known = sender == request_sender::node;
        STRCMP_EQUAL(is_known ? "unauthenticated" : "sender-unknown", refused.reason.type.c_str());
        LONGS_EQUAL(is_known ? 401 : 503, refused.reason.status);
        CHECK(refused.reason.result == traffic::outcome::not_run);
    }
    auto withdrawn = request_with_key("/stock", "no-key");
    withdrawn.sender = request_sender::vouching_node;
    withdrawn.workspace = "w1";
    LONGS_EQUAL(401, d.first_step(withdrawn).reason.status);
}

// Guards against a passed on request that runs without credit, or takes it at both nodes.
TEST(workspace, the_node_that_runs_a_passed_on_request_takes_its_credit) {
    using traffic::request_sender;
    const auto asks_for = [&](request_sender sender, const char* key) {
        auto info = request_with_key("/stock", key);
        info.sender = sender;
        info.workspace = "w2";
        info.deadline = node.clock.now() + milliseconds(30);
        std::thread caller([&] { static_cast<void>(d.first_step(info)); });
        const auto has_step = [&] { return node.sink.asks() > 0 || !node.sink.decisions.empty(); };
        while (!has_step()) {
            std::this_thread::yield();
        }
        node.clock.advance(milliseconds(30));
        caller.join();
        d.finish_request(info, false, nullptr);
        node.sink.decisions.clear();
        const auto asks = std::exchange(node.sink.credit_asks, {});
        return !asks.empty();
    };
    join_fleet();
    node.sink.decisions.clear();
    CHECK_TRUE(asks_for(request_sender::node, "key-2"));
    join_fleet();
    node.sink.decisions.clear();
    CHECK_FALSE(asks_for(request_sender::vouching_node, nullptr));
}

// Guards against requests of a limited workspace that run without credit, wait for ever, or keep
// the credit of a request that was refused.
TEST(workspace, a_limited_request_waits_for_credit) {
    join_fleet();
    const auto wait_for = [&](const char* path, std::uint32_t granted) {
        auto info = request_with_key(path, "key-2");
        std::optional<traffic::step> step;
        std::thread caller([&] { step = d.first_step(info); });
        while (d.active() == 0 || node.sink.asks() == 0) {
            std::this_thread::yield();
        }
        for (int i = 0; i < 3; ++i) {
            answer_question(granted, granted > 0 ? milliseconds(0) : seconds(2));
        }
        caller.join();
        d.finish_request(info, false, nullptr);
        return *step;
    };
    CHECK(wait_for("/stock", 1).kind == step_kind::send);
    const auto refused = wait_for("/stock", 0);
    LONGS_EQUAL(429, refused.reason.status);
    CHECK(refused.reason.retry_after >= seconds(2));
    CHECK(first_step("/stock", "key-1").kind == step_kind::send); // no limit, no question
    LONGS_EQUAL(0, node.sink.asks());
}

// Guards against a request without a step, whose thread never ends, when the node uses its own part
// of a limit and the part is used up.
TEST(workspace, the_own_part_of_a_limit_is_used_before_the_node_has_joined) {
    const node_id self("10.1.0.1:70");
    d.set_credit_nodes(self, {self, node_id("10.1.0.2:70")}, {2});
    const auto refused = first_step("/stock", "key-2"); // 10 requests/s of 100 assumed nodes
    CHECK(refused.kind == step_kind::refuse);
    LONGS_EQUAL(503, refused.reason.status);
    STRCMP_EQUAL("limit-unknown", refused.reason.type.c_str());
    CHECK(first_step("/stock", "key-1").kind == step_kind::send);
}

// Guards against a request that waits on for credit after its deadline, and whose thread then asks
// for its step without a pause.
TEST(workspace, a_request_does_not_wait_for_credit_beyond_its_deadline) {
    join_fleet();
    auto info = request_with_key("/stock", "key-2");
    info.deadline = node.clock.now() + milliseconds(30);
    std::optional<traffic::step> step;
    std::thread caller([&] { step = d.first_step(info); });
    while (node.sink.asks() == 0) {
        std::this_thread::yield();
    }
    node.clock.advance(milliseconds(30));
    caller.join();
    CHECK(step->kind == step_kind::refuse);
    STRCMP_EQUAL("deadline-passed", step->reason.type.c_str());
    d.finish_request(info, false, nullptr);
}
