#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

traffic::server_options custom_header_options() {
    traffic::server_options options;
    options.names.request_id = "Request-Name";
    options.names.deadline = "Patience-Ms";
    options.names.expected_target = "Meant-For";
    options.names.load = "Load";
    options.names.not_run = "Not-Run";
    options.names.draining = "";
    options.names.signature = "Signed";
    options.names.retry_after_means_not_run = false;
    return options;
}

const std::string get_with_custom_headers =
    "GET /a HTTP/1.1\r\nHost: shop\r\nRequest-Name: r1\r\nPatience-Ms: 5000\r\n\r\n";

scripted_answer answer(int status, const std::string& lines, const std::string& body) {
    return {make_answer(status, lines, body), false, false};
}

scripted_answer signed_answer(const std::string& /*request*/, int /*number*/) {
    return answer(200, "Request-Name: r1\r\nSigned: s\r\nLoad: 3,2,6\r\n", "ok");
}

} // namespace

TEST_GROUP(named_headers){};

// Guards against omitting the deadline or the identifier of the target in a request to it.
TEST(named_headers, are_sent_to_the_target) {
    proxy_fixture it(signed_answer, custom_header_options());
    it.decisions.default_step.target = target_id("i-1");
    it.decisions.default_step.deadline = instant{}; // leaves only the deadline of the request
    STRCMP_CONTAINS("\r\n\r\nok", it.send_request(get_with_custom_headers).c_str());
    const auto request = it.target.requests().at(0);
    STRCMP_CONTAINS("Meant-For: i-1\r\n", request.c_str());
    STRCMP_CONTAINS("Request-Name: r1\r\n", request.c_str());
    const auto left = std::atoi(request.c_str() + request.find("Patience-Ms: ") + 13);
    CHECK(left > 4'000 && left <= 5'000);
    STRCMP_EQUAL("r1", it.decisions.started_requests.at(0).name.c_str());
    LONGS_EQUAL(5, it.decisions.attempts.at(0).reported_load);
}

// Guards against a pause that is misread: only a 503 names one, in seconds with or without a
// fraction; of several fields the longest counts. It must not read as a refusal.
TEST(named_headers, read_the_pause_of_a_target) {
    struct example {
        int status;
        std::string fields;
        milliseconds expected;
    };
    const std::vector<example> examples{
        {503, "Retry-After: 2\r\n", milliseconds(2'000)},
        {503, "Retry-After: 0.25\r\n", milliseconds(250)},
        {503, "Retry-After: 1\r\nRetry-After: 3\r\n", milliseconds(3'000)},
        {503, "Retry-After: x\r\nRetry-After: 1.5\r\n", milliseconds(1'500)},
        {503, "Retry-After: 1e300\r\n", milliseconds(0)},
        {503, "Retry-After: 99999999999999999999999\r\n", std::chrono::hours(24)},
        {503, "Retry-After: 0\r\n", milliseconds(0)},
        {503, "Retry-After: -1\r\n", milliseconds(0)},
        {503, "Retry-After: nan\r\n", milliseconds(0)},
        {503, "Retry-After:\r\n", milliseconds(0)},
        {503, "Retry-After: Sat, 05 Dec 2026 08:00:00 GMT\r\n", milliseconds(0)},
        {503, "", milliseconds(0)},
        {500, "Retry-After: 2\r\n", milliseconds(0)},
        {421, "Retry-After: 2\r\n", milliseconds(0)},
    };
    auto options = custom_header_options();
    options.names.retry_after_is_pause = true;
    proxy_fixture it(
        [&examples](const std::string& /*request*/, int number) {
            const auto& one = examples.at(static_cast<std::size_t>(number) - 1);
            return answer(one.status, "Request-Name: r1\r\nSigned: s\r\n" + one.fields, "no");
        },
        options);
    for (const auto& one : examples) {
        static_cast<void>(it.send_request(get_with_custom_headers));
        const auto& seen = it.decisions.attempts.back();
        CHECK_EQUAL(nanoseconds(one.expected).count(), seen.pause.count());
        CHECK(one.status == 421 || seen.kind == answer_kind::server_error);
    }
}

// Guards against believing that a request didn't run without a statement of the target, against not
// believing a statement because of its spelling or status, and against counting a status that
// promises it as a good answer.
TEST(named_headers, only_a_stated_refusal_was_not_run) {
    struct example {
        int status;
        std::string field;
        answer_kind expected;
    };
    std::vector<example> examples;
    for (const int status : {408, 429, 500, 503, 504}) {
        for (const char* value : {"1", "true", "yes"}) {
            examples.push_back(
                {status, "Not-Run: " + std::string(value) + "\r\n", answer_kind::shed});
        }
        for (const char* field : {"", "Not-Run: 0\r\n", "Not-Run: False\r\n", "Not-Run:\r\n"}) {
            examples.push_back({status, field, answer_kind::server_error});
        }
    }
    examples.push_back({400, "Not-Run: 1\r\n", answer_kind::ok});
    examples.push_back({404, "", answer_kind::ok});
    auto options = custom_header_options();
    options.names.not_run = "Not-Run";
    options.names.retry_after_means_not_run = false;
    proxy_fixture it(
        [&examples](const std::string& /*request*/, int number) {
            const auto& one = examples.at(static_cast<std::size_t>(number) - 1);
            return answer(one.status, "Request-Name: r1\r\n" + one.field, "no");
        },
        options);
    for (const auto& one : examples) {
        static_cast<void>(it.send_request(get_with_custom_headers));
        CHECK_TEXT(it.decisions.attempts.back().kind == one.expected,
                   (std::to_string(one.status) + " " + one.field).c_str());
    }
}

// Guards against a limit that is misread: a text, a negative or an endless number, or the limit of
// another target that now has the address, must not count, and of two limits the lower one does.
TEST(named_headers, read_the_rate_limit_of_a_target) {
    const std::vector<std::pair<std::string, std::optional<double>>> fields{
        {"Limit: 1.5\r\n", 1.5},
        {"Limit: 0\r\n", 0.0},
        {"Limit: 4\r\nLimit: 0.2\r\n", 0.2},
        {"Limit: 2\r\nLimit: x\r\n", 2.0},
        {"", std::nullopt},
        {"Limit: -1\r\n", std::nullopt},
        {"Limit: many\r\n", std::nullopt},
        {"Limit: inf\r\n", std::nullopt},
        {"Limit: 1e3\r\n", std::nullopt},
        {"Limit:\r\n", std::nullopt},
    };
    auto options = custom_header_options();
    options.names.rate_limit = "Limit";
    proxy_fixture it(
        [&fields](const std::string& /*request*/, int number) {
            const auto n = static_cast<std::size_t>(number) - 1;
            return n < fields.size()
                       ? answer(200, "Request-Name: r1\r\nSigned: s\r\n" + fields.at(n).first, "ok")
                       : answer(421, "Limit: 1\r\n", "");
        },
        options);
    for (const auto& [field, expected] : fields) {
        static_cast<void>(it.send_request(get_with_custom_headers));
        const auto& read = it.decisions.attempts.back().rate_limit;
        CHECK_TEXT(read.per_second == expected, field.c_str());
        CHECK_TEXT(read.is_unreadable == (!expected && !field.empty()), field.c_str());
    }
    static_cast<void>(it.send_request(get_with_custom_headers));
    CHECK(it.decisions.attempts.back().rate_limit == health::rate_limit_statement{});
}

// Guards against passing a late second answer to an earlier request to the next caller.
TEST(named_headers, skip_an_answer_to_another_request) {
    proxy_fixture it(
        [](const std::string& request, int number) {
            auto mine = signed_answer(request, number);
            mine.bytes = make_answer(200, "Request-Name: r0\r\nSigned: s\r\n", "late") + mine.bytes;
            return mine;
        },
        custom_header_options());
    const auto passed = it.send_request(get_with_custom_headers);
    STRCMP_CONTAINS("\r\n\r\nok", passed.c_str());
    CHECK(passed.find("late") == std::string::npos);
}

// Guards against passing on an unsigned success, and against rejecting an unsigned error answer.
TEST(named_headers, refuse_an_unsigned_success) {
    proxy_fixture it(
        [](const std::string& /*request*/, int number) {
            return number == 1 ? answer(200, "Request-Name: r1\r\n", "ok") : answer(500, "", "no");
        },
        custom_header_options());
    STRCMP_CONTAINS("HTTP/1.1 502 ", it.send_request(get_with_custom_headers).c_str());
    CHECK(answer_kind::malformed == it.decisions.attempts.at(0).kind);
    STRCMP_CONTAINS("HTTP/1.1 500 ", it.send_request(get_with_custom_headers).c_str());
}

// Guards against taking a 503 for "not run" although the target did not state it, and against
// counting a 421 from another target at the address as a failure.
TEST(named_headers, report_requests_that_were_not_run) {
    proxy_fixture it(
        [](const std::string& /*request*/, int number) {
            return number == 1   ? answer(503, "Not-Run: 1\r\n", "")
                   : number == 2 ? answer(421, "", "")
                                 : answer(503, "Retry-After: 1\r\n", "");
        },
        custom_header_options());
    for (int i = 0; i < 3; ++i) {
        static_cast<void>(it.send_request(get_with_custom_headers));
    }
    it.decisions.wait_finished(3);
    const auto& attempts = it.decisions.attempts;
    CHECK(attempts.at(0).kind == answer_kind::shed && !attempts.at(0).misdirected);
    CHECK(attempts.at(1).kind == answer_kind::shed && attempts.at(1).misdirected);
    CHECK(attempts.at(2).kind == answer_kind::server_error);
}

// Guards against a status code that implies "not run" when a target may have run the request.
TEST(named_headers, status_matches_the_known_outcome) {
    LONGS_EQUAL(502, traffic::status_for_outcome(503, traffic::outcome::unknown));
    LONGS_EQUAL(502, traffic::status_for_outcome(429, traffic::outcome::unknown));
    LONGS_EQUAL(504, traffic::status_for_outcome(504, traffic::outcome::unknown));
    LONGS_EQUAL(503, traffic::status_for_outcome(504, traffic::outcome::not_run));
    LONGS_EQUAL(503, traffic::status_for_outcome(502, traffic::outcome::not_run));
    LONGS_EQUAL(404, traffic::status_for_outcome(404, traffic::outcome::not_run));
}

// Guards against abandoning a silent target while no other target can take the request.
TEST(named_headers, silent_target_keeps_the_request_without_an_alternative) {
    proxy_fixture it([](const std::string& /*request*/, int /*number*/) {
        std::this_thread::sleep_for(milliseconds{120});
        return answer(200, "", "slow");
    });
    it.decisions.default_step.route.limits.first_byte = milliseconds{30};
    it.decisions.retry_elsewhere_allowed = false;
    STRCMP_CONTAINS("\r\n\r\nslow", it.send_request(plain_get).c_str());
}

TEST_GROUP(http_get_client) {
    system_clock_source clock;
};

// Guards against opening a new connection for each call.
TEST(http_get_client, keeps_its_connection) {
    scripted_target target([](const std::string& /*request*/, int number) {
        return answer(200 + number, "", "body");
    });
    traffic::http_get_client it(target.address(), clock);
    LONGS_EQUAL(201, it.get("/x?a=1", {seconds{5}, seconds{5}})->status);
    LONGS_EQUAL(202, it.get("/y", {seconds{5}, seconds{5}})->status);
    LONGS_EQUAL(1, target.connections());
    STRCMP_CONTAINS("GET /x?a=1 HTTP/1.1\r\n", target.requests().at(0).c_str());
}

// Guards against waiting forever for a store that never answers, and against reusing the connection
// of a call that timed out.
TEST(http_get_client, times_out_and_reconnects) {
    scripted_target target([](const std::string& /*request*/, int number) {
        return number == 1 ? scripted_answer{"", false, true} : answer(200, "", "body");
    });
    traffic::http_get_client it(target.address(), clock);
    const auto lost = it.get("/x", {milliseconds{50}, milliseconds{50}});
    CHECK(!lost && lost.error().kind == error_kind::timed_out);
    STRCMP_EQUAL("body", it.get("/x", {seconds{5}, seconds{5}})->body.c_str());
    LONGS_EQUAL(2, target.connections());
}

// Guards against accepting a truncated answer as complete.
TEST(http_get_client, refuses_a_truncated_answer) {
    scripted_target target([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", true, false};
    });
    traffic::http_get_client it(target.address(), clock);
    const auto cut = it.get("/x", {seconds{5}, seconds{5}});
    CHECK(!cut && cut.error().kind == error_kind::unavailable);
}

// Guards against a shutdown of the program that waits for the end of a call.
TEST(http_get_client, interrupt_ends_a_call) {
    scripted_target target([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"", false, true};
    });
    traffic::http_get_client it(target.address(), clock);
    std::thread stopper([&] {
        while (target.requests().empty()) {
            std::this_thread::yield();
        }
        it.interrupt();
    });
    CHECK(!it.get("/x", {std::chrono::hours{1}, std::chrono::hours{1}}).has_value());
    stopper.join();
    CHECK(!it.get("/x", {std::chrono::hours{1}, std::chrono::hours{1}}).has_value());
}

// Guards against giving up an answer that is on its way over a slow link, and against one without
// end.
TEST(http_get_client, limits_silence_and_the_whole_call) {
    scripted_target target([](const std::string& /*request*/, int number) {
        const std::string length = number == 1 ? "20" : "2000000";
        return scripted_answer{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + length +
                                   "\r\n\r\n",
                               false, false, "x", milliseconds{20}};
    });
    traffic::http_get_client it(target.address(), clock);
    const auto slow = it.get("/x", {milliseconds{250}, seconds{20}});
    CHECK(slow && slow->body.size() == 20); // takes at least 400 ms
    const auto endless = it.get("/x", {milliseconds{250}, milliseconds{500}});
    CHECK(!endless && endless.error().kind == error_kind::overloaded);
}

// Guards against passing on the head of an answer that ends in the middle as a whole answer, with
// and without a length.
TEST(named_headers, answer_that_ends_in_its_head_is_never_a_success) {
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Name: r1\r\nSigned: s\r\n";
    for (const std::string& head :
         {start + "Content-Length: 2\r\n\r\n", start + "Connection: close\r\n\r\n"}) {
        proxy_fixture it(
            [&head](const std::string& /*request*/, int number) {
                return scripted_answer{head.substr(0, static_cast<std::size_t>(number)), true,
                                       false};
            },
            custom_header_options());
        it.decisions.default_step = it.send_step(config::repeat_policy::at_most_once);
        for (std::size_t n = 1; n < head.size(); ++n) {
            const auto got = it.send_request(get_with_custom_headers);
            STRCMP_CONTAINS("HTTP/1.1 502 ", got.substr(0, 13).c_str());
        }
    }
}

// Guards against an API key or a made-up workspace that reaches a target, under any spelling of the
// fields.
TEST(named_headers, replace_the_credentials_of_an_authenticated_caller) {
    auto options = custom_header_options();
    options.names.workspace = "Customer";
    proxy_fixture it(signed_answer, options);
    it.decisions.default_step = it.send_step();
    it.decisions.default_step.verified_workspace = "w1";
    const std::string head = "GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Name: r1\r\n";
    static_cast<void>(it.send_request(
        head + "authorization: bearer secret\r\nCUSTOMER: other\r\nCustomer: w9\r\n\r\n"));
    const auto sent = it.target.requests().back();
    CHECK(sent.find("secret") == std::string::npos);
    CHECK(sent.find("other") == std::string::npos && sent.find("w9") == std::string::npos);
    STRCMP_CONTAINS("\r\nCustomer: w1\r\n", sent.c_str());
    CHECK(it.decisions.started_requests.back().api_key == config::digest_of_key("secret"));
}
