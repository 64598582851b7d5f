#include "proxy_fixture.h"

#include "wigeonrill/src/traffic/target_pool.h"

#include <Poco/Net/SocketAddress.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using config::repeat_policy;
using health::answer_kind;

namespace {

/// Closes the connection instead of answering the second request.
scripted_answer close_at_second(const std::string& request, int number) {
    return number == 2 ? scripted_answer{"", true, false} : answer_ok(request, number);
}

} // namespace

TEST_GROUP(connection_reuse){};

// Guards against opening a new connection for each request, which costs 1 ms.
TEST(connection_reuse, uses_connections_again) {
    proxy_fixture it(answer_ok);
    for (int i = 0; i < 3; ++i) {
        STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    }
    LONGS_EQUAL(1, it.target.connections());
}

// Guards against sending an at-most-once request twice because a reused connection failed.
TEST(connection_reuse, never_sends_at_most_once_work_again) {
    proxy_fixture it(close_at_second);
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    const auto refused =
        it.send_request("POST /print HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    STRCMP_CONTAINS("HTTP/1.1 502 ", refused.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", refused.c_str());
    it.decisions.wait_finished(2);
    LONGS_EQUAL(2, it.target.requests().size());
    CHECK(answer_kind::connection_lost == it.decisions.attempts.at(1).kind);
    CHECK(it.decisions.attempts.at(1).request_bytes_sent);
}

// Guards against counting it as a failure that a target closed an idle connection.
TEST(connection_reuse, repeats_idempotent_work_on_a_new_connection) {
    proxy_fixture it(close_at_second);
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    it.decisions.wait_finished(2);
    LONGS_EQUAL(3, it.target.requests().size());
    LONGS_EQUAL(2, it.decisions.attempts.size());
    CHECK(answer_kind::ok == it.decisions.attempts.at(1).kind);
}

// Guards against reporting a crashed target as one that was never reached.
TEST(connection_reuse, keeps_the_first_failure_when_no_new_connection_opens) {
    proxy_fixture it(answer_ok);
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    it.decisions.default_step.address.port = listener.address().port();
    std::thread dying([&] {
        auto socket = listener.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, true));
        const auto answer = make_answer(200, "", "ok");
        socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
        static_cast<void>(read_message(socket, buffered, true));
        listener.close();
        socket.close();
    });
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", it.send_request(plain_get).c_str());
    dying.join();
    it.decisions.wait_finished(2);
    CHECK(answer_kind::connection_lost == it.decisions.attempts.at(1).kind);
    CHECK(it.decisions.attempts.at(1).request_bytes_sent);
}

// Guards against taking a reset connection for the crash of a target that goes on running, and a
// crash for a reset connection.
TEST(connection_reuse, tells_a_lost_connection_from_a_crashed_target) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"", true, false};
    });
    static_cast<void>(it.send_request(plain_get));
    it.decisions.wait_finished(1);
    CHECK(it.decisions.attempts.at(0).target_is_up);
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    it.decisions.default_step.address.port = listener.address().port();
    std::thread dying([&] {
        auto socket = listener.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, true));
        listener.close();
        socket.close();
    });
    static_cast<void>(it.send_request(plain_get));
    dying.join();
    it.decisions.wait_finished(2);
    CHECK(answer_kind::connection_lost == it.decisions.attempts.at(1).kind);
    CHECK_FALSE(it.decisions.attempts.at(1).target_is_up);
}

// Guards against reporting a request as not run because its second send, on a new connection, was
// not allowed.
TEST(connection_reuse, keeps_the_first_failure_when_the_second_send_is_not_allowed) {
    recording_dispatcher* decisions = nullptr;
    proxy_fixture it([&](const std::string& request, int number) {
        decisions->sending_allowed = number != 2;
        return close_at_second(request, number);
    });
    decisions = &it.decisions;
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", it.send_request(plain_get).c_str());
    it.decisions.wait_finished(2);
    CHECK(answer_kind::connection_lost == it.decisions.attempts.at(1).kind);
    CHECK(it.decisions.attempts.at(1).request_bytes_sent);
}

// Guards against believing an earlier refusal that a target writes once more on a kept connection:
// a request that the target runs would be sent again, or reported as not run.
TEST(connection_reuse, refusal_without_an_id_ends_the_connection) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{make_answer(503, "Target-Shed: 1\r\n", ""), false, false};
    });
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    for (int i = 0; i < 3; ++i) {
        static_cast<void>(it.send_request(plain_get));
    }
    it.decisions.wait_finished(3);
    CHECK(answer_kind::shed == it.decisions.attempts.at(2).kind);
    LONGS_EQUAL(3, it.target.connections());
}

// Guards against taking a late copy of a refusal for the answer to the next attempt of the same
// request, which has the same id: the target runs it, and the caller is told that it hasn't run
// (review/1, REFUSED). Other requests may use the connection.
TEST(connection_reuse, request_is_not_sent_again_on_a_connection_that_carried_it) {
    traffic::server_options options;
    options.names.request_id = "Request-Name";
    options.names.not_run = "Not-Run";
    proxy_fixture it(
        [](const std::string& request, int number) {
            const auto* name = request.find("r1") != std::string::npos ? "r1" : "r2";
            const auto echo = std::string("Request-Name: ") + name + "\r\n";
            return scripted_answer{number == 1 ? make_answer(503, echo + "Not-Run: 1\r\n", "")
                                               : make_answer(200, echo, "ok"),
                                   false, false};
        },
        options);
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    it.decisions.add_step(it.decisions.default_step);
    it.decisions.add_step(it.decisions.default_step);
    STRCMP_CONTAINS(
        "\r\n\r\nok",
        it.send_request("GET /a HTTP/1.1\r\nHost: shop\r\nRequest-Name: r1\r\n\r\n").c_str());
    LONGS_EQUAL(2, it.target.connections());
    static_cast<void>(it.send_request("GET /a HTTP/1.1\r\nHost: shop\r\nRequest-Name: r2\r\n\r\n"));
    LONGS_EQUAL(2, it.target.connections());
}

// The same where answers name their request: such a connection is kept.
TEST(connection_reuse, earlier_refusal_is_not_believed_without_the_id) {
    traffic::server_options options;
    options.names.request_id = "Request-Name";
    options.names.not_run = "Not-Run";
    proxy_fixture it(
        [](const std::string& /*request*/, int number) {
            const auto* name = number == 3 ? "" : "Request-Name: r1\r\n";
            return scripted_answer{make_answer(503, std::string(name) + "Not-Run: 1\r\n", ""),
                                   false, false};
        },
        options);
    for (int i = 0; i < 3; ++i) {
        static_cast<void>(
            it.send_request("GET /a HTTP/1.1\r\nHost: shop\r\nRequest-Name: r1\r\n\r\n"));
    }
    it.decisions.wait_finished(3);
    LONGS_EQUAL(1, it.target.connections());
    CHECK(answer_kind::shed == it.decisions.attempts.at(1).kind);
    CHECK(answer_kind::malformed == it.decisions.attempts.at(2).kind);
}

// Guards against streaming a body to a reused connection that the target has just closed. The body
// could not be sent again.
TEST(connection_reuse, streams_bodies_on_new_connections) {
    proxy_fixture it(answer_ok);
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("\r\n\r\nok",
                    it.send_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n" +
                                    std::string(600'000, 'x'))
                        .c_str());
    LONGS_EQUAL(2, it.target.connections());
}

// Guards against reusing a connection after the target announced that it closes it.
TEST(connection_reuse, respects_connection_close) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{make_answer(200, "Connection: close\r\n", "ok"), false, false};
    });
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    LONGS_EQUAL(2, it.target.connections());
}

TEST_GROUP(target_pool) {
    manual_clock_source clock;
    traffic::detail::target_pool pool{clock};
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1", 0)};

    endpoint address() {
        return {"127.0.0.1", listener.address().port()};
    }
    Poco::Net::StreamSocket put_connection() {
        auto connection = pool.connect(address(), seconds{10});
        auto other_side = listener.acceptConnection();
        pool.put(address(), std::move(connection));
        return other_side;
    }
};

// Guards against using connections whose state a middlebox dropped without notice.
TEST(target_pool, gives_out_only_recently_used_connections) {
    const auto other_side = put_connection();
    clock.advance(milliseconds{1'001});
    CHECK_FALSE(pool.take(address(), milliseconds{1'000}));
    auto taken = pool.take(address(), milliseconds{5'000});
    CHECK(taken != nullptr);
    pool.put(address(), std::move(taken));
    clock.advance(milliseconds{5'001});
    CHECK_FALSE(pool.take(address(), milliseconds{60'000}));
}

// Guards against passing an unexpected answer to the next request on the connection.
TEST(target_pool, does_not_give_out_connections_with_input) {
    auto other_side = put_connection();
    other_side.sendBytes("x", 1);
    CHECK_FALSE(pool.take(address(), milliseconds{5'000}));
    auto closed = put_connection();
    closed.close();
    CHECK_FALSE(pool.take(address(), milliseconds{5'000}));
}

// Guards against using the other idle connections to a target that became silent.
TEST(target_pool, forgets_the_connections_of_an_address) {
    const auto other_side = put_connection();
    pool.close_idle(address());
    CHECK_FALSE(pool.take(address(), milliseconds{5'000}));
}
