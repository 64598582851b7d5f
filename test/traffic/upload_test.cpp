#include "proxy_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace wigeonrill;
using namespace wigeonrill::test;
using config::repeat_policy;
using health::answer_kind;

namespace {

constexpr std::size_t plan_bytes = 300'000;    // larger than what each request may hold in memory
constexpr std::size_t archive_bytes = 900'000; // larger than any body that is held in memory

std::string upload_head(const std::string& framing) {
    return "POST /plans HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n";
}

std::string upload_head(std::size_t bytes) {
    return upload_head("Content-Length: " + std::to_string(bytes) + "\r\n");
}

std::string body_of(std::size_t bytes) {
    std::string body(bytes, 'x');
    for (std::size_t i = 0; i < bytes; i += 97) {
        body[i] = static_cast<char>('a' + i % 26);
    }
    return body;
}

std::string as_chunks(const std::string& body, std::size_t size) {
    std::string text;
    for (std::size_t i = 0; i < body.size(); i += size) {
        const auto piece = body.substr(i, size);
        std::ostringstream length;
        length << std::hex << piece.size();
        text += length.str() + "\r\n" + piece + "\r\n";
    }
    return text + "0\r\n\r\n";
}

std::string body_in(const std::string& request) {
    return request.substr(request.find("\r\n\r\n") + 4);
}

// Returns the body of a request without the framing of chunks.
std::string decoded_body(const std::string& request) {
    auto text = body_in(request);
    if (request.find("Transfer-Encoding: chunked") == std::string::npos) {
        return text;
    }
    std::string body;
    for (std::size_t at = 0;;) {
        const auto line_end = text.find("\r\n", at);
        const auto size = std::stoul(text.substr(at, line_end - at), nullptr, 16);
        if (size == 0) {
            return body;
        }
        body += text.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
}

// Reads until the other side closes or resets the connection, and returns the number of bytes.
std::size_t receive_rest(Poco::Net::StreamSocket& socket) {
    std::array<char, 4096> rest{};
    std::size_t received = 0;
    try {
        for (int n = 1; n > 0;) {
            n = socket.receiveBytes(rest.data(), static_cast<int>(rest.size()));
            received += static_cast<std::size_t>(std::max(n, 0));
        }
    } catch (const Poco::Exception&) {
        return received; // a reset
    }
    return received;
}

scripted_answer shed(const std::string& /*request*/, int /*number*/) {
    return {make_answer(503, "Target-Shed: 1\r\n", ""), true, false};
}

} // namespace

TEST_GROUP(upload) {
    std::string plan{body_of(plan_bytes)};

    // Serves one connection with a function, beside a proxy that sends its requests there.
    template <typename Serve>
    std::thread serve_one(proxy_fixture & it, Serve serve) {
        auto listener =
            std::make_shared<Poco::Net::ServerSocket>(Poco::Net::SocketAddress("127.0.0.1", 0));
        it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
        it.decisions.default_step.address.port = listener->address().port();
        return std::thread([listener, serve] {
            auto socket = listener->acceptConnection();
            serve(socket);
        });
    }
};

// Guards against a refusal of an upload whose first target had no room, although the caller's body
// could be sent to another one.
TEST(upload, is_sent_to_another_target_after_a_shed) {
    proxy_fixture it(answer_ok);
    scripted_target full(shed);
    auto first = it.send_step(repeat_policy::at_most_once);
    first.address = full.address();
    it.decisions.add_step(first);
    it.decisions.add_step(it.send_step(repeat_policy::at_most_once));
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(upload_head(plan_bytes) + plan).c_str());
    CHECK(it.decisions.started_requests.at(0).body_replayable);
    LONGS_EQUAL(1, it.target.requests().size());
    CHECK(body_in(it.target.requests().at(0)) == plan);
}

// Guards against a caller on a slow link that occupies a target while its body arrives.
TEST(upload, occupies_no_target_while_its_body_arrives) {
    proxy_fixture it(answer_ok);
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    auto caller = it.connect();
    caller.send(upload_head(plan_bytes) + plan.substr(0, plan_bytes / 2));
    std::this_thread::sleep_for(milliseconds(200));
    LONGS_EQUAL(0, it.target.connections());
    caller.send(plan.substr(plan_bytes / 2));
    STRCMP_CONTAINS("\r\n\r\nok", caller.receive_answer().c_str());
    CHECK(body_in(it.target.requests().at(0)) == plan);
}

// Guards against a body of unknown length that is damaged where the memory of its request grows,
// and where the rest of it is streamed.
TEST(upload, chunked_body_arrives_whole) {
    for (const std::size_t bytes : {plan_bytes, archive_bytes}) {
        proxy_fixture it(answer_ok);
        it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
        const auto body = body_of(bytes);
        STRCMP_CONTAINS(
            "\r\n\r\nok",
            it.send_request(upload_head("Transfer-Encoding: chunked\r\n") + as_chunks(body, 7'001))
                .c_str());
        CHECK(decoded_body(it.target.requests().at(0)) == body);
    }
}

// Guards against uploads that take more memory together than the server allows: those without room
// are streamed, and so are held by no node as a whole.
TEST(upload, is_streamed_when_the_memory_for_bodies_is_used_up) {
    traffic::server_options options;
    options.body_memory_bytes = plan_bytes;
    proxy_fixture it(answer_ok, options);
    std::optional<raw_caller> holder(it.connect());
    holder->send(upload_head(plan_bytes) + plan.substr(0, plan_bytes / 2));
    std::this_thread::sleep_for(milliseconds(100)); // until the first one has its memory
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(upload_head(plan_bytes) + plan).c_str());
    CHECK_FALSE(it.decisions.started_requests.at(0).body_replayable);
    CHECK(body_in(it.target.requests().at(0)) == plan);
    holder->send(plan.substr(plan_bytes / 2));
    STRCMP_CONTAINS("\r\n\r\nok", holder->receive_answer().c_str());
    CHECK(it.decisions.started_requests.at(1).body_replayable);
    // There is room again once the server has ended both, which it does after their answers.
    holder.reset();
    CHECK(it.proxy.wait_idle(it.clock.now() + seconds{30}));
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(upload_head(plan_bytes) + plan).c_str());
    CHECK(it.decisions.started_requests.at(2).body_replayable);
}

// Guards against a wrong statement about an upload of which a target has read a part before it
// refused: nothing of the body is held any more, so it can't be sent again, and it did not run.
TEST(upload, streamed_one_is_refused_as_not_run_after_a_shed) {
    proxy_fixture it(answer_ok);
    auto serving = serve_one(it, [](Poco::Net::StreamSocket& socket) {
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        std::array<char, 1> part{};
        if (buffered.empty()) { // The refusal must not overtake the first part of the body.
            static_cast<void>(socket.receiveBytes(part.data(), part.size()));
        }
        const auto refusal = make_answer(503, "Target-Shed: 1\r\n", "");
        socket.sendBytes(refusal.data(), static_cast<int>(refusal.size()));
        static_cast<void>(receive_rest(socket));
    });
    it.decisions.add_step(it.decisions.default_step);
    it.decisions.add_step(it.send_step(repeat_policy::at_most_once));
    auto caller = it.connect();
    caller.send(upload_head(archive_bytes) + body_of(archive_bytes / 2));
    const auto answer = caller.receive_answer();
    serving.join();
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", answer.c_str());
    STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    LONGS_EQUAL(0, it.target.connections());
}

// Guards against an answer that waits until a caller that pauses in its body sends more of it.
TEST(upload, early_answer_reaches_a_caller_that_pauses) {
    proxy_fixture it(answer_ok);
    auto serving = serve_one(it, [](Poco::Net::StreamSocket& socket) {
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        std::this_thread::sleep_for(milliseconds(200)); // the caller has paused by now
        const auto early = make_answer(200, "", "early");
        socket.sendBytes(early.data(), static_cast<int>(early.size()));
        static_cast<void>(receive_rest(socket));
    });
    auto caller = it.connect();
    caller.send(upload_head(archive_bytes) + std::string(1'000, 'x'));
    constexpr int longest_wait_us = 3'000'000;
    CHECK(caller.socket().poll(Poco::Timespan(longest_wait_us), Poco::Net::Socket::SELECT_READ));
    STRCMP_CONTAINS("\r\n\r\nearly", caller.receive_answer().c_str());
    caller.close();
    serving.join();
}

// Guards against a next request that is read as the rest of a body: a target that answers early
// reads on, so its connection must not be used again before the rest went over.
TEST(upload, connection_with_an_unfinished_body_is_not_used_again) {
    std::atomic<std::size_t> received{0};
    proxy_fixture it(answer_ok);
    auto serving = serve_one(it, [&received](Poco::Net::StreamSocket& socket) {
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        received += buffered.size();
        const auto early = make_answer(200, "Connection: keep-alive\r\n", "early");
        socket.sendBytes(early.data(), static_cast<int>(early.size()));
        received += receive_rest(socket);
    });
    auto caller = it.connect();
    caller.send(upload_head(archive_bytes) + std::string(1'000, 'x'));
    const auto answer = caller.receive_answer();
    STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
    it.decisions.default_step = it.send_step();
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(plain_get).c_str());
    caller.close();
    serving.join();
    CHECK(received <= 1'000);
}

// Guards against work for a caller that left in the middle of its body, and against a body cut
// short that reaches a target as a whole one.
TEST(upload, of_a_caller_that_leaves_reaches_no_target_as_a_whole) {
    for (const std::size_t bytes : {plan_bytes, archive_bytes}) {
        proxy_fixture it(answer_ok);
        it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
        {
            auto caller = it.connect();
            caller.send(upload_head(bytes) + body_of(bytes / 2));
        }
        if (bytes == archive_bytes) {
            it.target.wait_closed(1);
            it.decisions.wait_finished(1);
            CHECK(answer_kind::cancelled == it.decisions.attempts.at(0).kind);
            CHECK(it.target.requests().size() == 1 &&
                  body_in(it.target.requests().at(0)).size() < bytes);
        } else {
            CHECK(it.proxy.wait_idle(it.clock.now() + seconds(30)));
            LONGS_EQUAL(0, it.target.connections());
        }
    }
}

// Guards against a status that promises that a request didn't run, when its caller stopped sending
// after a part of the body had reached a target.
TEST(upload, that_stops_on_the_way_is_not_reported_as_not_run) {
    traffic::server_options options;
    options.body_idle = milliseconds(200);
    proxy_fixture it(answer_ok, options);
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    auto caller = it.connect();
    caller.send(upload_head(archive_bytes) + body_of(archive_bytes / 2));
    const auto answer = caller.receive_answer();
    STRCMP_CONTAINS("HTTP/1.1 502 ", answer.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", answer.c_str());
    // Nothing was sent of a body that was still being read into memory.
    auto other = it.connect();
    other.send(upload_head(plan_bytes) + "x");
    STRCMP_CONTAINS("HTTP/1.1 408 ", other.receive_answer().c_str());
}

// Guards against a lost connection that is reported as a request that didn't run.
TEST(upload, reset_by_its_target_has_an_unknown_outcome) {
    proxy_fixture it(answer_ok);
    auto serving = serve_one(it, [](Poco::Net::StreamSocket& socket) {
        std::string buffered;
        static_cast<void>(read_message(socket, buffered, false));
        socket.setLinger(true, 0); // closing the socket resets the connection
        socket.close();
    });
    auto caller = it.connect();
    caller.send(upload_head(archive_bytes) + body_of(archive_bytes / 2));
    const auto answer = caller.receive_answer();
    serving.join();
    STRCMP_CONTAINS("HTTP/1.1 502 ", answer.c_str());
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", answer.c_str());
}

// Guards against a caller that waits for a 100 answer before it sends its body, and gets it only
// when the wait for the body has ended (review/12, CONFIG).
TEST(upload, is_invited_when_the_caller_asks) {
    proxy_fixture it(answer_ok);
    it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
    auto caller = it.connect();
    caller.send(upload_head(
        "Expect: 100-continue\r\nContent-Length: " + std::to_string(plan_bytes) + "\r\n"));
    const auto begin = it.clock.now();
    STRCMP_CONTAINS("HTTP/1.1 100 ", caller.receive_answer(false).c_str());
    CHECK(it.clock.now() - begin < seconds(2));
    caller.send(plan);
    STRCMP_CONTAINS("\r\n\r\nok", caller.receive_answer().c_str());
    CHECK(body_in(it.target.requests().at(0)) == plan);
}

// Guards against a planned stop that cuts a body on its way.
TEST(upload, that_arrives_during_a_planned_stop_is_answered) {
    for (const std::size_t bytes : {plan_bytes, archive_bytes}) {
        proxy_fixture it(answer_ok);
        it.decisions.default_step = it.send_step(repeat_policy::at_most_once);
        const auto body = body_of(bytes);
        auto caller = it.connect();
        caller.send(upload_head(bytes) + body.substr(0, bytes / 2));
        std::this_thread::sleep_for(milliseconds(100));
        it.proxy.begin_drain();
        it.proxy.stop_listening();
        caller.send(body.substr(bytes / 2));
        const auto answer = caller.receive_answer();
        STRCMP_CONTAINS("\r\n\r\nok", answer.c_str());
        STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
        CHECK(body_in(it.target.requests().at(0)) == body);
    }
}
