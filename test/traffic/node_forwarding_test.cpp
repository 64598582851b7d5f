#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace wigeonrill;
using namespace wigeonrill::test;
using traffic::request_sender;

namespace {

const std::string get_with_forwarding_mark =
    "GET /a HTTP/1.1\r\nHost: shop\r\nWigeonrill-From-Node: 1\r\n\r\n";

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::function<request_sender(const std::string&)> known_only(const std::string& node) {
    return [node](const std::string& ip) {
        return ip == node ? request_sender::node : request_sender::unknown_node;
    };
}

} // namespace

TEST_GROUP(node_forwarding){};

// Guards against a caller that pretends to be a node and thereby bypasses the owner of its key.
TEST(node_forwarding, accepts_forwarding_mark_only_from_fleet_nodes) {
    traffic::server_options options;
    options.identify_node = known_only("10.0.0.1");
    proxy_fixture unknown(answer_ok, options);
    static_cast<void>(unknown.send_request(get_with_forwarding_mark));
    CHECK(unknown.decisions.started_requests.at(0).sender == request_sender::unknown_node);
    CHECK_FALSE(contains(unknown.target.requests().at(0), "From-Node"));

    options.identify_node = known_only("127.0.0.1");
    proxy_fixture known(answer_ok, options);
    static_cast<void>(known.send_request(get_with_forwarding_mark));
    static_cast<void>(known.send_request(plain_get));
    known.decisions.wait_finished(2);
    CHECK(known.decisions.started_requests.at(0).sender == request_sender::node);
    CHECK(known.decisions.started_requests.at(1).sender == request_sender::caller);
    CHECK_FALSE(contains(known.target.requests().at(0), "From-Node"));
}

// Guards against forwarding a request without the mark, and against changing the outcome that the
// owner reports in a refusal.
TEST(node_forwarding, marks_forwarded_requests_and_passes_the_refusal) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{
            make_answer(503, "Retry-After: 1\r\nWigeonrill-Outcome: unknown\r\n", ""), false,
            false};
    });
    it.decisions.default_step.kind = traffic::step_kind::forward;
    const auto answer = it.send_request(plain_get);
    CHECK(contains(it.target.requests().at(0), "Wigeonrill-From-Node: 1\r\n"));
    CHECK(contains(answer, "Wigeonrill-Outcome: unknown\r\n"));
    it.decisions.wait_finished(1);
    CHECK(health::answer_kind::server_error == it.decisions.attempts.at(0).kind);
}

// Guards against a node that refuses the callers of another one, because it must believe that their
// keys were checked (review/13, DENIED), and against keys that reach targets.
TEST(node_forwarding, key_of_an_authenticated_caller_goes_to_nodes_only) {
    const std::string with_key = "GET /a HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer k\r\n\r\n";
    for (const auto kind : {traffic::step_kind::send, traffic::step_kind::forward}) {
        proxy_fixture it(answer_ok);
        it.decisions.default_step.kind = kind;
        it.decisions.default_step.verified_workspace = "w1";
        static_cast<void>(it.send_request(with_key));
        const auto passed_on = it.target.requests().at(0);
        CHECK(contains(passed_on, "Workspace: w1\r\n"));
        const bool is_node = kind == traffic::step_kind::forward;
        CHECK_EQUAL(is_node, contains(passed_on, "Authorization: Bearer k\r\n"));
    }
}

// Guards against taking a refusal of another node for an answer of a target.
TEST(node_forwarding, refusals_of_nodes_are_told_from_answers_of_targets) {
    const auto refusal_of = [](traffic::step_kind kind, const std::string& fields) {
        proxy_fixture it([&](const std::string& /*request*/, int /*number*/) {
            return scripted_answer{make_answer(401, fields, ""), false, false};
        });
        it.decisions.default_step.kind = kind;
        static_cast<void>(it.send_request(plain_get));
        it.decisions.wait_finished(1);
        return it.decisions.attempts.at(0).node_refusal;
    };
    const std::string not_run = "Wigeonrill-Outcome: not-run\r\n";
    CHECK(refusal_of(traffic::step_kind::forward, not_run) == traffic::outcome::not_run);
    CHECK(refusal_of(traffic::step_kind::forward, "Wigeonrill-Outcome: unknown\r\n") ==
          traffic::outcome::unknown);
    CHECK_FALSE(refusal_of(traffic::step_kind::forward, "").has_value());
    CHECK_FALSE(refusal_of(traffic::step_kind::send, not_run).has_value());
}

// Guards against targets that continue to work after the caller's deadline.
TEST(node_forwarding, sends_the_remaining_time) {
    proxy_fixture it(answer_ok);
    it.decisions.default_step.deadline = instant{};
    static_cast<void>(
        it.send_request("GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 20000\r\n\r\n"));
    const auto request = it.target.requests().at(0);
    const auto place = request.find("Request-Timeout-Ms: ");
    CHECK(place != std::string::npos);
    const auto left = std::atoi(request.c_str() + place + 20);
    CHECK(left > 0 && left <= 20'000);
    static_cast<void>(it.send_request(plain_get)); // the caller sets no limit
    STRCMP_CONTAINS("Request-Timeout-Ms: ", it.target.requests().at(1).c_str());
    const auto& info = it.decisions.started_requests.at(0);
    CHECK(info.deadline - info.arrived == milliseconds{20'000});
}

// Guards against a missing or truncated answer in the deduplication table.
TEST(node_forwarding, passes_complete_small_answers_to_the_dispatcher) {
    const std::string large(65'537, 'x');
    proxy_fixture it([&](const std::string& request, int /*number*/) {
        return scripted_answer{
            make_answer(201, "X-Run: 7\r\n", contains(request, "/large") ? large : "run"), false,
            false};
    });
    it.decisions.default_step.store_answer = true;
    it.decisions.default_step.route.repeat = config::repeat_policy::at_most_once;
    static_cast<void>(it.send_request(plain_get));
    // A caller gets its answer before the request is finished, so the next one may overtake it.
    it.decisions.wait_finished(1);
    static_cast<void>(it.send_request("GET /large HTTP/1.1\r\nHost: a\r\n\r\n"));
    it.decisions.wait_finished(2);
    const auto stored = it.decisions.stored_answers.at(0);
    CHECK(stored != nullptr);
    LONGS_EQUAL(201, stored->status);
    STRCMP_EQUAL("run", stored->body.c_str());
    CHECK_FALSE(it.decisions.stored_answers.at(1));

    traffic::step replaying;
    replaying.kind = traffic::step_kind::replay;
    replaying.answer = stored;
    it.decisions.add_step(replaying);
    const auto replayed = it.send_request(plain_get);
    CHECK(contains(replayed, "HTTP/1.1 201 "));
    CHECK(contains(replayed, "X-Run: 7\r\n"));
    CHECK(contains(replayed, "\r\n\r\nrun"));
    LONGS_EQUAL(2, it.target.requests().size());
}

// Guards against computing a digest of a body that is not in memory, or sending such a body again.
TEST(node_forwarding, buffers_only_small_bodies) {
    proxy_fixture it(answer_ok);
    for (const std::size_t size : {std::size_t{524'288}, std::size_t{524'289}}) {
        const std::string body(size, 'x');
        auto caller = it.connect();
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) +
                    "\r\n\r\n" + body);
        CHECK(contains(caller.receive_answer(), "200"));
        CHECK(contains(it.target.requests().back(), "\r\n\r\n" + body));
    }
    it.decisions.wait_finished(2);
    CHECK(it.decisions.started_requests.at(0).body_replayable);
    CHECK(it.decisions.started_requests.at(0).body_digest ==
          stable_hash(std::string(524'288, 'x')));
    CHECK_FALSE(it.decisions.started_requests.at(1).body_replayable);
    CHECK(it.decisions.started_requests.at(1).body_digest == 0);
}

// An idempotency key without a workspace belongs to its caller. Guards against running such a key
// twice because the owner takes the forwarding node for the caller, and against a caller that gives
// the address of another caller.
TEST(node_forwarding, sends_the_caller_address_to_the_key_owner) {
    const std::string named = "GET /a HTTP/1.1\r\nHost: shop\r\nWigeonrill-From-Node: "
                              "1\r\nWigeonrill-Caller: 192.0.2.7\r\n\r\n";
    traffic::server_options options;
    options.identify_node = known_only("127.0.0.1");
    proxy_fixture owner(answer_ok, options);
    static_cast<void>(owner.send_request(named));
    STRCMP_EQUAL("192.0.2.7", owner.decisions.started_requests.at(0).caller.c_str());
    CHECK_FALSE(contains(owner.target.requests().at(0), "Wigeonrill-Caller"));

    proxy_fixture stranger(answer_ok);
    static_cast<void>(stranger.send_request(named));
    STRCMP_EQUAL("127.0.0.1", stranger.decisions.started_requests.at(0).caller.c_str());

    proxy_fixture forwarding(answer_ok);
    forwarding.decisions.default_step.kind = traffic::step_kind::forward;
    static_cast<void>(forwarding.send_request(plain_get));
    CHECK(contains(forwarding.target.requests().at(0), "Wigeonrill-Caller: 127.0.0.1\r\n"));
}
