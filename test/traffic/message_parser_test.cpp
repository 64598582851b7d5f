#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/message_parser.h"
#include "wigeonrill/src/traffic/request_target.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace wigeonrill;
using namespace wigeonrill::traffic::detail;

namespace {

struct parse_result {
    int fault{0}; ///< status code of the fault; 0: none
    bool done{false};
    std::string body;
    std::size_t consumed{0};
    std::size_t fields{0};
};

/// Passes the bytes to the parser in pieces of the given size.
parse_result parse_in_pieces(message_parser& parser, const std::string& bytes, std::size_t piece) {
    parse_result result;
    std::array<char, 7> out{}; // small, so that several calls are needed for a body
    for (std::size_t end = std::min(piece, bytes.size()); !parser.done() && !parser.fault();) {
        const auto unread = std::string_view(bytes).substr(result.consumed, end - result.consumed);
        const auto [consumed, produced] = parser.feed(unread, out.data(), out.size());
        result.consumed += consumed;
        result.body.append(out.data(), produced);
        if (consumed == 0 && produced == 0) {
            if (end == bytes.size()) {
                break;
            }
            end = std::min(end + piece, bytes.size());
        }
    }
    result.fault = parser.fault() ? parser.fault()->status : 0;
    result.done = parser.done();
    result.fields = parser.head().fields.size();
    return result;
}

parse_result read_request(const std::string& bytes, std::size_t piece = 100'000) {
    const auto parser = make_request_parser({2048, 1000});
    return parse_in_pieces(*parser, bytes, piece);
}

parse_result read_answer(const std::string& bytes, std::size_t piece = 100'000,
                         bool is_head_request = false) {
    const auto parser = make_answer_parser({2048, std::nullopt}, is_head_request);
    return parse_in_pieces(*parser, bytes, piece);
}

struct malformed_message {
    const char* name;
    int status;
    std::string bytes;
};

const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";

std::string many_fields() {
    std::string lines;
    for (int i = 0; i < 300; ++i) {
        lines += "X: small\r\n";
    }
    return lines;
}

std::vector<malformed_message> malformed_requests() {
    return {
        {"two lengths", 400, post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
        {"two equal lengths", 400, post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
        {"list of lengths", 400, post + "Content-Length: 1, 1\r\n\r\na"},
        {"length, then chunked", 400,
         post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"chunked, then length", 400,
         post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n"},
        {"negative length", 400, post + "Content-Length: -1\r\n\r\n"},
        {"signed length", 400, post + "Content-Length: +1\r\n\r\na"},
        {"length in hexadecimal", 400, post + "Content-Length: 0x1\r\n\r\na"},
        {"empty length", 400, post + "Content-Length:\r\n\r\n"},
        {"length beyond 64 bits", 400, post + "Content-Length: 18446744073709551617\r\n\r\na"},
        {"unknown coding", 501, post + "Transfer-Encoding: gzip\r\n\r\n"},
        {"coding before chunked", 501, post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        {"coding behind chunked", 501, post + "Transfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n"},
        {"unknown coding with a length", 501,
         post + "Transfer-Encoding: xchunked\r\nContent-Length: 1\r\n\r\na"},
        {"chunked in HTTP/1.0", 400,
         "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"space before colon", 400, post + "Content-Length : 1\r\n\r\na"},
        {"folded line", 400, post + "X: a\r\n b\r\n\r\n"},
        {"line folded by a tab", 400, post + "X: a\r\n\tContent-Length: 1\r\n\r\n"},
        {"line feed alone", 400, post + "X: a\nY: b\r\n\r\n"},
        {"carriage return alone", 400, post + "X: a\rY: b\r\n\r\n"},
        {"NUL in a value", 400, post + "X: a" + std::string(1, '\0') + "b\r\n\r\n"},
        {"NUL in the target", 400, "GET /" + std::string(1, '\0') + " HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"no colon", 400, post + "Content-Length 1\r\n\r\n"},
        {"bad chunk size", 400, post + "Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n"},
        {"signed chunk size", 400, post + "Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n"},
        {"chunk size with prefix", 400,
         post + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n"},
        {"chunk size beyond 64 bits", 400,
         post + "Transfer-Encoding: chunked\r\n\r\n10000000000000001\r\na\r\n0\r\n\r\n"},
        {"chunk without end", 400, post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n"},
        {"missing Host", 400, "GET / HTTP/1.1\r\n\r\n"},
        {"two Hosts", 400, post + "Host: b\r\n\r\n"},
        {"CONNECT", 501, "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n"},
        {"HTTP/2.0", 505, "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
        {"large head", 431, post + "X: " + std::string(3000, 'x') + "\r\n\r\n"},
        {"large head of small fields", 431, post + many_fields() + "\r\n"},
        {"large head without an end", 431, post + "X: " + std::string(3000, 'x')},
        {"large body", 413, post + "Content-Length: 1001\r\n\r\n"},
        {"large chunked body", 413,
         post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x') + "\r\n"},
        {"large chunk extension", 431,
         post + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(3000, 'x')},
    };
}

std::string label(const malformed_message& it, std::size_t piece) {
    return std::string(it.name) + " in pieces of " + std::to_string(piece);
}

} // namespace

TEST_GROUP(message_parser){};

// Guards against request smuggling, in which two recipients disagree about the end of a request.
// The result must not depend on how the input is split.
TEST(message_parser, refuses_malformed_requests) {
    for (const auto& it : malformed_requests()) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{13}, std::size_t{100'000}}) {
            const auto result = read_request(it.bytes, piece);
            LONGS_EQUAL_TEXT(it.status, result.fault, label(it, piece).c_str());
        }
    }
}

// Guards against accepting an answer whose end another recipient would see elsewhere.
TEST(message_parser, refuses_malformed_answers) {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<malformed_message> answers{
        {"two lengths", 0, ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
        {"length and chunked", 0,
         ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"unknown coding", 0, ok + "Transfer-Encoding: gzip\r\n\r\n"},
        {"negative length", 0, ok + "Content-Length: -5\r\n\r\n"},
        {"bad chunk size", 0, ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
        {"folded line", 0, ok + "X: a\r\n b\r\n\r\n"},
        {"no status line", 0, "hello\r\n\r\n"},
        {"status of 4 digits", 0, "HTTP/1.1 2000 OK\r\n\r\n"},
        {"status below 100", 0, "HTTP/1.1 099 OK\r\n\r\n"},
    };
    for (const auto& it : answers) {
        CHECK_TEXT(read_answer(it.bytes).fault != 0, it.name);
        CHECK_TEXT(read_answer(it.bytes, 1).fault != 0, it.name);
    }
}

// Guards against losing or adding bytes of the body, and against consuming bytes of the next
// message.
TEST(message_parser, decodes_bodies_and_stops_at_their_end) {
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
                                       "a;x=y\r\n0123456789\r\n1\r\nz\r\n0\r\nTrailer: t\r\n\r\n";
    const std::string counted = post + "Content-Length: 11\r\n\r\n0123456789z";
    for (const auto& message : {chunked, counted}) {
        for (const std::size_t piece : {std::size_t{1}, std::size_t{100'000}}) {
            const auto result = read_request(message + "GET / HTTP/1.1\r\n", piece);
            LONGS_EQUAL(0, result.fault);
            CHECK(result.done);
            STRCMP_EQUAL("0123456789z", result.body.c_str());
            UNSIGNED_LONGS_EQUAL(2, result.fields); // the trailer is dropped
            UNSIGNED_LONGS_EQUAL(message.size(), result.consumed);
        }
    }
}

// Guards against waiting for a body, which HEAD, 204 and 304 answers don't have.
TEST(message_parser, recognizes_answers_without_body) {
    CHECK(read_answer("HTTP/1.1 204 No Content\r\n\r\n").done);
    CHECK(read_answer("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n").done);
    CHECK(read_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 100, true).done);
    CHECK_FALSE(read_answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").done);
}

// Guards against taking an early end of the connection for the end of the answer.
TEST(message_parser, reports_truncation) {
    const std::vector<std::string> cut{
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n7 bytes",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le"};
    for (const auto& it : cut) {
        const auto parser = make_answer_parser({2048, std::nullopt}, false);
        static_cast<void>(parse_in_pieces(*parser, it, it.size()));
        parser->end_of_stream();
        CHECK_TEXT(parser->fault().has_value(), it.c_str());
    }
    const auto until_end = make_answer_parser({2048, std::nullopt}, false);
    static_cast<void>(parse_in_pieces(*until_end, "HTTP/1.1 200 OK\r\n\r\nhello", 100));
    until_end->end_of_stream();
    CHECK(until_end->done());
    CHECK_FALSE(until_end->fault().has_value());
}

TEST_GROUP(request_target){
    static bool accepted(const std::string& target,
                         const std::string& host = "shop:80"){message_head head;
head.method = target == "*" ? "OPTIONS" : "GET";
head.target = target;
head.add("Host", host);
return parse_request_target(head).has_value();
}
}
;

// Guards against paths that lead out of the route's prefix at the target, encoded or not.
TEST(request_target, refuses_paths_above_the_root) {
    for (const char* it : {"/..", "/a/../..", "/%2e%2E/a", "/a/.%2e/%2e./b", "/./../a",
                           "/a/%2e%2e%2f%2e%2e", "//../..", "/a/..%2F..%2Fb"}) {
        CHECK_FALSE_TEXT(accepted(it), it);
    }
    for (const char* it : {"/", "/a/..", "/a/b/../c", "/...", "/..a", "/a?b=/../..", "*"}) {
        CHECK_TEXT(accepted(it), it);
    }
}

// Guards against routing a request by one host while the target serves it for another.
TEST(request_target, refuses_other_hosts) {
    CHECK(accepted("http://shop:80/a"));
    CHECK(accepted("HTTP://SHOP:80?q"));
    CHECK_FALSE(accepted("http://other/a"));
    CHECK_FALSE(accepted("http://shop:80@other/a"));
    CHECK_FALSE(accepted("ftp://shop:80/a"));
    CHECK_FALSE(accepted("shop:80/a"));
    CHECK_FALSE(accepted("/a", ""));
    CHECK_FALSE(accepted("/a", "shop, other"));
    CHECK_FALSE(accepted("/a", "shop/x"));
    CHECK_FALSE(accepted("/a#b"));
}
