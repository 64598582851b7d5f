#include "wigeonrill/tool.h"

#include "wigeonrill/src/tool/commands.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <future>
#include <iostream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using tool::exit_code;

namespace {

namespace net = Poco::Net;

/// Administration port that records one request and answers it with a page.
class one_page_daemon {
public:
    one_page_daemon(const std::string& status, const std::string& page)
        : socket_(net::SocketAddress("127.0.0.1", 0)),
          request_(std::async(std::launch::async, [this, status, page] {
              auto peer = socket_.acceptConnection();
              std::array<char, 4096> buf{};
              const int n = peer.receiveBytes(buf.data(), static_cast<int>(buf.size()));
              const std::string answer = "HTTP/1.1 " + status + "\r\nConnection: close\r\n" +
                                         "Content-Length: " + std::to_string(page.size()) +
                                         "\r\n\r\n" + page;
              peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
              peer.shutdownSend();
              return std::string(buf.data(), static_cast<std::size_t>(std::max(n, 0)));
          })) {}
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(socket_.address().port());
    }
    std::string request() { return request_.get(); }

private:
    net::ServerSocket socket_;
    std::future<std::string> request_;
};

/// Text that the program prints during the life of this object.
class captured_output {
public:
    captured_output() : before_(std::cout.rdbuf(text_.rdbuf())) {}
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;
    ~captured_output() { std::cout.rdbuf(before_); }
    [[nodiscard]] std::string text() const { return text_.str(); }

private:
    std::ostringstream text_;
    std::streambuf* before_;
};

int run_tool(const std::vector<const char*>& arguments) {
    return tool::run(static_cast<int>(arguments.size()), arguments.data());
}

constexpr const char* page =
    R"({"route":"read","repeat":"idempotent","workspace":{"name":"w1","known":true},"refusal":null,)"
    R"("services":[{"service":"print","share":0.75,"decision":"sent"}],)"
    R"("targets":[{"target":"t0","expected_cost":1.5,"obstacle":null,"choice":"yes"},)"
    R"({"target":"t1","expected_cost":1.75,"obstacle":"draining","choice":"no"}]})";

} // namespace

TEST_GROUP(explain_command){};

// Guards against arguments that don't reach the node, and a text without the choice or its reasons.
TEST(explain_command, passes_the_request_and_prints_the_page) {
    one_page_daemon daemon("200 OK", page);
    const auto address = daemon.address();
    const captured_output output;
    LONGS_EQUAL(0, run_tool({"wigeonrill", "explain", "PUT", "/stock/1", "--node", address.c_str(),
                             "--host", "api.example", "--workspace", "w1", "--size", "700",
                             "--deadline", "1500"}));
    STRCMP_CONTAINS("GET /explain?method=PUT&host=api.example&path=%2Fstock%2F1&workspace=w1&"
                    "size=700&deadline_ms=1500 HTTP/1.1\r\n",
                    daemon.request().c_str());
    const auto text = output.text();
    for (const char* part : {"route: read\n", "workspace: name w1, known true\n", "refusal: -\n",
                             "0.75", "1.50", "draining", "yes"}) {
        STRCMP_CONTAINS(part, text.c_str());
    }
}

// Guards against JSON that a script can't read, and against a deadline of 0 where none was given.
TEST(explain_command, prints_json) {
    one_page_daemon daemon("200 OK", page);
    const auto address = daemon.address();
    const captured_output output;
    LONGS_EQUAL(0, run_tool({"wigeonrill", "explain", "--path", "/stock", "--admin",
                             address.c_str(), "--json"}));
    CHECK(daemon.request().find("deadline") == std::string::npos);
    STRCMP_CONTAINS("\"choice\": \"yes\"", output.text().c_str());
}

// Guards against success for a request that no route matches, or a node that can't be asked.
TEST(explain_command, exit_code_tells_the_result) {
    const auto code_of = [](const std::string& status) {
        one_page_daemon daemon(status, "no route matches /x");
        const auto address = daemon.address();
        return run_tool({"wigeonrill", "explain", "GET", "/x", "--node", address.c_str()});
    };
    LONGS_EQUAL(static_cast<int>(exit_code::negative_result), code_of("404 Not Found"));
    LONGS_EQUAL(static_cast<int>(exit_code::unreachable), code_of("000 Zero"));
    LONGS_EQUAL(static_cast<int>(exit_code::usage), run_tool({"wigeonrill", "explain", "GET"}));
}
