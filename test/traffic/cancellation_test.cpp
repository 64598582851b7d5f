#include "proxy_fixture.h"

#include <Poco/Net/SocketAddress.h>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

scripted_answer stay_silent(const std::string& /*request*/, int /*number*/) {
    return {"", false, true};
}

/// Blocks the threads that call pass() until the test calls open().
class gate {
public:
    void open() {
        const std::lock_guard lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }
    void pass() {
        std::unique_lock lock(mutex_);
        entered_ = true;
        changed_.notify_all();
        changed_.wait(lock, [&] { return open_; });
    }
    void wait_entered() {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return entered_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_{false};
    bool entered_{false};
};

} // namespace

TEST_GROUP(cancellation){};

// Guards against targets that continue to work for callers that have disconnected.
TEST(cancellation, closes_the_target_connection_when_the_caller_leaves) {
    proxy_fixture it(stay_silent);
    {
        auto caller = it.connect();
        caller.send(plain_get);
        while (it.target.requests().empty()) {
            std::this_thread::yield();
        }
    }
    it.target.wait_closed(1);
    it.decisions.wait_finished(1);
    CHECK(answer_kind::cancelled == it.decisions.attempts.at(0).kind);
    CHECK_FALSE(it.decisions.answers_completed.at(0));
}

// Guards against sending a request whose caller disconnected while the request was queued.
TEST(cancellation, does_not_send_for_a_caller_who_left) {
    proxy_fixture it(answer_ok);
    gate queue;
    it.decisions.on_first_step = [&] { queue.pass(); };
    {
        auto caller = it.connect();
        caller.send(plain_get);
        queue.wait_entered();
    }
    // The loopback interface delivers the end of the connection to the proxy before close()
    // returns, so the proxy sees it when the queue opens.
    queue.open();
    it.decisions.wait_finished(1);
    it.target.wait_closed(1); // By then the target has read everything that was sent to it.
    CHECK(it.target.requests().empty());
    CHECK(answer_kind::cancelled == it.decisions.attempts.at(0).kind);
}

// Guards against a request that keeps its place in the queue after its caller has left.
TEST(cancellation, a_waiting_request_shows_that_its_caller_left) {
    proxy_fixture it(answer_ok);
    gate queue;
    std::atomic<bool> left_before{true};
    std::atomic<bool> left_after{false};
    it.decisions.on_waiting = [&](const traffic::request_info& request) {
        left_before = request.watch->has_left();
        queue.pass();
        left_after = request.watch->has_left();
    };
    {
        auto caller = it.connect();
        caller.send(plain_get);
        queue.wait_entered();
    }
    queue.open();
    it.decisions.wait_finished(1);
    CHECK_FALSE(left_before);
    CHECK_TRUE(left_after);
}

// Guards against callers that stop reading and thereby occupy the connection of a target.
TEST(cancellation, gives_up_on_callers_that_stop_reading) {
    std::string body;
    body.resize(30'000'000, 'x');
    proxy_fixture it([&](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{make_answer(200, "", body), false, false};
    });
    it.decisions.default_step.route.limits.body_idle = milliseconds{50};
    auto caller = it.connect();
    caller.send(plain_get);
    it.decisions.wait_finished(1);
    CHECK_FALSE(it.decisions.answers_completed.at(0));
    it.target.wait_closed(1);
    std::string received;
    CHECK(caller.ends_by_reset(received)); // in HTTP/1.0, any other end would end the body
}

// Guards against continuing an upload after the target has answered.
TEST(cancellation, passes_an_answer_that_comes_before_the_body_ends) {
    proxy_fixture it(answer_ok);
    Poco::Net::ServerSocket target(Poco::Net::SocketAddress("127.0.0.1", 0));
    it.decisions.default_step.address.port = target.address().port();
    std::thread answering([&] {
        auto socket = target.acceptConnection();
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        const auto refusal = make_answer(413, "", "no");
        socket.sendBytes(refusal.data(), static_cast<int>(refusal.size()));
        std::array<char, 4096> rest{};
        while (socket.receiveBytes(rest.data(), static_cast<int>(rest.size())) > 0) {
        }
    });
    auto caller = it.connect();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    // The proxy checks for an answer after each part of the body, so parts are sent until it has
    // noticed the answer.
    while (!caller.socket().poll(Poco::Timespan(1'000), Poco::Net::Socket::SELECT_READ)) {
        caller.send(std::string(1'000, 'x'));
    }
    const auto answer = caller.receive_all();
    answering.join();
    STRCMP_CONTAINS("HTTP/1.1 413 ", answer.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
}

// Guards against a graceful stop that aborts a request in progress.
TEST(cancellation, drain_finishes_requests_and_closes) {
    gate target_gate;
    proxy_fixture it([&](const std::string& request, int number) {
        target_gate.pass();
        return answer_ok(request, number);
    });
    auto working = it.connect();
    working.send(plain_get);
    target_gate.wait_entered();
    it.proxy.begin_drain();
    auto late = it.connect();
    late.send(plain_get);
    while (it.proxy.connections() < 2) {
        std::this_thread::yield();
    }
    it.proxy.stop_listening();
    CHECK_FALSE(it.proxy.wait_idle(it.clock.now()));
    target_gate.open();
    for (auto* caller : {&working, &late}) {
        const auto answer = caller->receive_all();
        STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
        STRCMP_CONTAINS("\r\n\r\nok", answer.c_str());
    }
    CHECK(it.proxy.wait_idle(it.clock.now() + seconds{30}));
}

// Guards against a stop that waits until idle connections time out.
TEST(cancellation, stop_closes_idle_connections) {
    proxy_fixture it(answer_ok);
    auto idle = it.connect();
    idle.send(plain_get);
    STRCMP_CONTAINS("\r\n\r\nok", idle.receive_answer().c_str());
    it.proxy.begin_drain();
    it.proxy.stop_listening();
    STRCMP_EQUAL("", idle.receive_all().c_str());
    CHECK(it.proxy.wait_idle(it.clock.now() + seconds{30}));
}

// Guards against a graceful stop that closes a connection on which the caller's next request has
// already arrived: the caller can't know whether that request ran.
TEST(cancellation, drain_answers_requests_that_arrived_before_the_last_answer) {
    gate target_gate;
    proxy_fixture it([&](const std::string& request, int number) {
        if (number == 1) {
            target_gate.pass();
        }
        return answer_ok(request, number);
    });
    auto caller = it.connect();
    caller.send(plain_get + plain_get); // The second request is read together with the first one.
    target_gate.wait_entered();
    it.proxy.begin_drain();
    caller.send(plain_get); // This one is still in the socket when the first answer is sent.
    it.proxy.stop_listening();
    target_gate.open();
    for (int i = 0; i < 2; ++i) {
        const auto answer = caller.receive_answer();
        STRCMP_CONTAINS("\r\n\r\nok", answer.c_str());
        CHECK(answer.find("Connection: close\r\n") == std::string::npos);
    }
    const auto last = caller.receive_all();
    STRCMP_CONTAINS("\r\n\r\nok", last.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", last.c_str());
    CHECK(it.proxy.wait_idle(it.clock.now() + seconds{30}));
}

// Guards against a graceful stop that cuts the connection of a caller whose target has been silent
// since before the stop, with the requests behind it: their callers get no answer.
TEST(cancellation, drain_answers_before_its_end_while_a_target_is_silent) {
    gate target_gate;
    proxy_fixture it([&](const std::string& request, int number) {
        if (number > 1) {
            return answer_ok(request, number);
        }
        target_gate.pass();
        return scripted_answer{"", false, true};
    });
    auto patient = it.send_step();
    patient.route.limits.first_byte = seconds{12};
    it.decisions.default_step = patient;
    it.decisions.retry_elsewhere_allowed = false;
    auto caller = it.connect();
    caller.send(plain_get + plain_get);
    target_gate.wait_entered();
    target_gate.open();
    const auto begun = it.clock.now();
    it.proxy.begin_drain(begun + seconds{2});
    STRCMP_CONTAINS("HTTP/1.1 504 ", caller.receive_answer().c_str());
    CHECK(it.clock.now() >= begun + seconds{2});
    CHECK(it.clock.now() < begun + seconds{10});
    STRCMP_CONTAINS("Connection: close\r\n", caller.receive_answer().c_str());
}
