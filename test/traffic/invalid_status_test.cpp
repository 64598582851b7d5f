#include "proxy_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

const std::string signature = "Signed: s\r\n";
const std::string early_hints = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// Status lines, each without its line end, that name no status from 100 to 599.
const std::vector<std::string>& invalid_status_lines() {
    static const std::vector<std::string> lines{"HTTP/1.1 000 Zero",
                                                "HTTP/1.1 000 ",
                                                "HTTP/1.1 099 Low",
                                                "HTTP/1.1 600 High",
                                                "HTTP/1.1 999 High",
                                                "HTTP/1.1 2 OK",
                                                "HTTP/1.1 20 OK",
                                                "HTTP/1.1 2000 OK",
                                                "HTTP/1.1 0200 OK",
                                                "HTTP/1.1 20 ",
                                                "HTTP/1.1 +20 OK",
                                                "HTTP/1.1 2e2 OK",
                                                "HTTP/1.1 -01 OK",
                                                "HTTP/1.1  OK",
                                                "HTTP/1.1 OK",
                                                "HTTP/1.1 ",
                                                "HTTP/1.1",
                                                "HTTP/1.0 000 0",
                                                "HTTP/1.1 \xB2\xB0\xB0 OK"};
    return lines;
}

/// Header fields and body of an answer, in the three ways in which its end can be stated.
const std::vector<std::string>& bodies() {
    static const std::vector<std::string> all{
        "Content-Length: 6\r\n\r\nsecret",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n\r\n", "\r\nsecret"};
    return all;
}

std::string join(std::initializer_list<std::string_view> parts) {
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

/// Answers whose final status is invalid, with and without a signature, directly and behind one
/// interim answer.
std::vector<std::string> answers_with_invalid_status() {
    std::vector<std::string> all;
    for (const auto& line : invalid_status_lines()) {
        for (const auto& body : bodies()) {
            for (const auto& fields : {std::string(), signature}) {
                all.push_back(join({line, "\r\n", fields, body}));
            }
        }
    }
    for (const auto& body : bodies()) {
        for (const std::string& interim :
             {early_hints, std::string("HTTP/1.1 100 Continue\r\n\r\n"),
              "HTTP/1.1 199 Other\r\n" + signature + "\r\n"}) {
            all.push_back(join({interim, "HTTP/1.1 000 Zero\r\n", signature, body}));
        }
        std::string endless;
        for (int i = 0; i < 20; ++i) {
            endless += early_hints;
        }
        all.push_back(join({endless, "HTTP/1.1 200 OK\r\n", signature, body}));
    }
    return all;
}

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n";
}

/// Script that answers "/broken/N" with the element N of a list, and other paths with "ok".
scripted_target::script answer_from(const std::vector<std::string>& broken) {
    return [&broken](const std::string& request, int /*number*/) {
        const std::string prefix = "/broken/";
        const auto at = request.find(prefix);
        if (at == std::string::npos) {
            return scripted_answer{make_answer(200, signature, "ok")};
        }
        const auto index = std::strtoul(request.c_str() + at + prefix.size(), nullptr, 10);
        return scripted_answer{broken.at(index)};
    };
}

traffic::server_options options_with_signature(bool is_required) {
    traffic::server_options options;
    options.names.signature = is_required ? "Signed" : "";
    return options;
}

/// Returns the next final answer, without the interim answers before it.
std::string receive_final_answer(raw_caller& caller) {
    auto answer = caller.receive_answer();
    while (answer.starts_with("HTTP/1.1 1")) {
        answer = caller.receive_answer();
    }
    return answer;
}

std::string send(proxy_fixture& it, const std::string& request) {
    auto caller = it.connect();
    caller.send(request);
    return receive_final_answer(caller);
}

void check_refused(proxy_fixture& it, std::size_t index, const std::string& broken) {
    const char* label = broken.c_str();
    const auto refused = send(it, get("/broken/" + std::to_string(index)));
    STRCMP_CONTAINS_TEXT("HTTP/1.1 502 ", refused.substr(0, 13).c_str(), label);
    STRCMP_CONTAINS_TEXT("Wigeonrill-Outcome: unknown\r\n", refused.c_str(), label);
    CHECK_TEXT(refused.find("Signed") == std::string::npos, label);
    CHECK_TEXT(refused.find("secret") == std::string::npos, label);
    it.decisions.wait_finished(it.decisions.started_requests.size());
    const auto& attempt = it.decisions.attempts.back();
    CHECK_TEXT(answer_kind::malformed == attempt.kind, label);
    CHECK_TEXT(attempt.request_bytes_sent && !attempt.answer_partly_sent, label);
    CHECK_TEXT(it.decisions.stored_answers.back() == nullptr, label);
}

} // namespace

TEST_GROUP(invalid_status) {
    const std::vector<std::string> broken = answers_with_invalid_status();

    /// Lets a target answer one request on a new connection and one on a kept connection with each
    /// of the answers. Nothing else can answer the requests.
    void check_refused_on_new_and_kept_connections(proxy_fixture & it, const traffic::step& plan) {
        it.decisions.default_step = plan;
        it.decisions.default_step.store_answer = true;
        int connections = 0;
        for (std::size_t i = 0; i < broken.size(); ++i) {
            const char* label = broken[i].c_str();
            check_refused(it, i, broken[i]);
            LONGS_EQUAL_TEXT(connections + 1, it.target.connections(), label);
            STRCMP_CONTAINS_TEXT("\r\n\r\nok", send(it, get("/")).c_str(), label);
            LONGS_EQUAL_TEXT(connections + 2, it.target.connections(), label);
            it.decisions.wait_finished(it.decisions.started_requests.size());
            check_refused(it, i, broken[i]);
            connections += 2;
            LONGS_EQUAL_TEXT(connections, it.target.connections(), label);
        }
        LONGS_EQUAL(3 * broken.size(), it.target.requests().size());
    }
};

// Guards against passing on an answer without a valid status, against promising that its request
// did not run, against no evidence on its target, and against using its connection again.
TEST(invalid_status, of_a_target_is_refused) {
    for (const auto repeat :
         {config::repeat_policy::idempotent, config::repeat_policy::at_most_once}) {
        for (const bool is_signature_required : {false, true}) {
            proxy_fixture it(answer_from(broken), options_with_signature(is_signature_required));
            check_refused_on_new_and_kept_connections(it, it.send_step(repeat));
        }
    }
}

// Guards against passing on an answer without a valid status because another node sent it.
TEST(invalid_status, of_another_node_is_refused) {
    proxy_fixture it(answer_from(broken), options_with_signature(true));
    auto plan = it.send_step(config::repeat_policy::at_most_once);
    plan.kind = traffic::step_kind::forward;
    check_refused_on_new_and_kept_connections(it, plan);
}

// Guards against a caller of an idempotent request that gets the invalid answer, or a refusal,
// although another target can answer.
TEST(invalid_status, is_replaced_by_the_answer_of_another_target) {
    proxy_fixture it(answer_from(broken), options_with_signature(true));
    scripted_target other([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{make_answer(200, signature, "other")};
    });
    for (std::size_t i = 0; i < broken.size(); ++i) {
        const char* label = broken[i].c_str();
        it.decisions.add_step(it.send_step());
        auto second = it.send_step();
        second.address = other.address();
        it.decisions.add_step(second);
        const auto passed = send(it, get("/broken/" + std::to_string(i)));
        STRCMP_CONTAINS_TEXT("HTTP/1.1 200 ", passed.substr(0, 13).c_str(), label);
        STRCMP_CONTAINS_TEXT("\r\n\r\nother", passed.c_str(), label);
        it.decisions.wait_finished(i + 1);
        CHECK_TEXT(answer_kind::malformed == it.decisions.attempts.at(2 * i).kind, label);
        CHECK_TEXT(answer_kind::ok == it.decisions.attempts.at(2 * i + 1).kind, label);
        LONGS_EQUAL_TEXT(i + 1, it.target.connections(), label);
    }
}

// Guards against believing the statement of a target, in an answer without a valid status, that it
// did not run the request.
TEST(invalid_status, states_nothing_about_its_request) {
    for (const auto& line : invalid_status_lines()) {
        const std::string refusal = line +
                                    "\r\nTarget-Shed: 1\r\nRetry-After: 1\r\n"
                                    "Wigeonrill-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
        proxy_fixture it([&refusal](const std::string& /*request*/, int /*number*/) {
            return scripted_answer{refusal};
        });
        it.decisions.default_step = it.send_step(config::repeat_policy::at_most_once);
        const auto refused = it.send_request(plain_get);
        STRCMP_CONTAINS_TEXT("HTTP/1.1 502 ", refused.substr(0, 13).c_str(), line.c_str());
        STRCMP_CONTAINS_TEXT("Wigeonrill-Outcome: unknown\r\n", refused.c_str(), line.c_str());
        CHECK_TEXT(refused.find("Retry-After") == std::string::npos, line.c_str());
    }
}

// Guards against an interim answer that says how long its body is, which no interim answer has, or
// that states an outcome, which only nodes do.
TEST(invalid_status, interim_answer_has_neither_length_nor_outcome) {
    for (const std::string field : {"Content-Length: 15\r\n", "Transfer-Encoding: chunked\r\n",
                                    "Wigeonrill-Outcome: not-run\r\n"}) {
        proxy_fixture it([&field](const std::string& /*request*/, int /*number*/) {
            return scripted_answer{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + field +
                                   "\r\nHTTP/1.1 000 Zero\r\n\r\n"};
        });
        auto caller = it.connect();
        caller.send(plain_get);
        const auto interim = caller.receive_answer(false);
        STRCMP_CONTAINS("HTTP/1.1 103 ", interim.c_str());
        STRCMP_CONTAINS("Link: </a>\r\n", interim.c_str());
        CHECK_TEXT(interim.find(field) == std::string::npos, field.c_str());
        STRCMP_CONTAINS("HTTP/1.1 502 ", caller.receive_answer().c_str());
    }
}

TEST_GROUP(http_get_client_status) {
    const std::vector<std::string> broken = answers_with_invalid_status();
    system_clock_source clock;
    const traffic::http_call_limits limits{seconds{5}, seconds{5}};
};

// Guards against a caller of a server, such as the platform's store, that gets an answer without a
// valid status, and against using its connection again.
TEST(http_get_client_status, invalid_status_is_no_answer) {
    scripted_target target(answer_from(broken));
    traffic::http_get_client it(target.address(), clock);
    int connections = 0;
    for (std::size_t i = 0; i < broken.size(); ++i) {
        const char* label = broken[i].c_str();
        const auto path = "/broken/" + std::to_string(i);
        const auto on_new = it.get(path, limits);
        CHECK_TEXT(!on_new && on_new.error().kind == error_kind::unavailable, label);
        STRCMP_EQUAL_TEXT("ok", it.get("/", limits)->body.c_str(), label);
        const auto on_kept = it.get(path, limits);
        CHECK_TEXT(!on_kept && on_kept.error().kind == error_kind::unavailable, label);
        connections += 2;
        LONGS_EQUAL_TEXT(connections, target.connections(), label);
    }
}

// Guards against taking an interim answer for the answer: the answer itself would then be taken for
// that to the next call.
TEST(http_get_client_status, interim_answers_are_skipped) {
    scripted_target target([](const std::string& request, int /*number*/) {
        const bool first = request.starts_with("GET /first ");
        return scripted_answer{early_hints + early_hints +
                               make_answer(200, "", first ? "first" : "second")};
    });
    traffic::http_get_client it(target.address(), clock);
    const auto first = it.get("/first", limits);
    CHECK(first.has_value());
    LONGS_EQUAL(200, first->status);
    STRCMP_EQUAL("first", first->body.c_str());
    STRCMP_EQUAL("second", it.get("/second", limits)->body.c_str());
    LONGS_EQUAL(1, target.connections());
}

// Guards against a call that ends later than its limit because interim answers arrive without end.
TEST(http_get_client_status, interim_answers_without_end_are_no_answer) {
    scripted_target target([](const std::string& /*request*/, int number) {
        const milliseconds interval{number == 1 ? 0 : 100};
        return scripted_answer{"", false, false, early_hints, interval};
    });
    traffic::http_get_client it(target.address(), clock);
    const auto fast = it.get("/fast", limits);
    CHECK(!fast && fast.error().kind == error_kind::unavailable);
    const auto slow = it.get("/slow", {milliseconds{400}, milliseconds{500}});
    CHECK(!slow.has_value());
}

// Guards against reading a switch to another protocol, which was not asked for, as HTTP.
TEST(http_get_client_status, switch_of_protocols_is_no_answer) {
    scripted_target target([](const std::string& /*request*/, int /*number*/) {
        return scripted_answer{"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" +
                               make_answer(200, "", "ok")};
    });
    traffic::http_get_client it(target.address(), clock);
    const auto got = it.get("/", limits);
    CHECK(!got && got.error().kind == error_kind::unavailable);
}
