#include "proxy_fixture.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace wigeonrill::test;
using health::answer_kind;

namespace {

std::string standin_target_path() {
    const char* folder = std::getenv("WIGEONRILL_BIN"); // NOLINT(concurrency-mt-unsafe)
    return std::string(folder == nullptr ? "build/bin" : folder) + "/standin_target";
}

/// Process of the stand-in target, which listens on a free port.
class standin_process {
public:
    explicit standin_process(const std::vector<std::string>& arguments)
        : handle_(
              Poco::Process::launch(standin_target_path(), arguments, nullptr, &output_, nullptr)) {
        Poco::PipeInputStream lines(output_);
        std::string line;
        std::getline(lines, line);
        const auto colon = line.rfind(':');
        WIGEONRILL_ASSERT(colon != std::string::npos, "the stand-in must name its port");
        port_ = static_cast<std::uint16_t>(std::atoi(line.c_str() + colon + 1));
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;
    ~standin_process() {
        if (!exited_) {
            Poco::Process::requestTermination(handle_.id());
            handle_.wait();
        }
    }

    /// Waits until the process has exited by itself.
    void wait_end() {
        handle_.wait();
        exited_ = true;
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    /// Sends a request directly, without the proxy.
    [[nodiscard]] std::string send_request(const std::string& request) const {
        raw_caller caller(port_);
        caller.send(request);
        return caller.receive_answer();
    }
    /// Changes the behaviour of the stand-in.
    void control(const std::string& json) const {
        STRCMP_CONTAINS("200 OK", send_request("POST /standin/control HTTP/1.1\r\nHost: a\r\n"
                                               "Content-Length: " +
                                               std::to_string(json.size()) + "\r\n\r\n" + json)
                                      .c_str());
    }

private:
    Poco::Pipe output_;
    Poco::ProcessHandle handle_;
    std::uint16_t port_{0};
    bool exited_{false};
};

const std::string print_with_key = "POST /print HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k-1\r\n"
                                   "Content-Length: 1\r\n\r\nx";
const std::string get_counts = "GET /standin/counts HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_GROUP(standin_target) {
    proxy_fixture it{answer_ok};
};

// Guards against a stand-in that fails to count a second execution. Other tests rely on these
// counts.
TEST(standin_target, counts_executions_and_sheds) {
    const standin_process target({"--slots", "1", "--body-bytes", "9"});
    it.decisions.default_step.address = target.address();
    STRCMP_CONTAINS("xxxxxxxxx", it.send_request(print_with_key).c_str());
    static_cast<void>(it.send_request(print_with_key));
    target.control(R"({"hang": true, "drain": true})");
    auto waiting = it.connect();
    waiting.send(plain_get);
    while (target.send_request(get_counts).find(R"("in_service":1)") == std::string::npos) {
        std::this_thread::yield();
    }
    STRCMP_CONTAINS("Target-Shed: 1\r\n", it.send_request(print_with_key).c_str());
    target.control(R"({"hang": false})");
    STRCMP_CONTAINS("Target-Draining: 1\r\n", waiting.receive_answer().c_str());
    const auto counted = target.send_request(get_counts);
    STRCMP_CONTAINS(R"("executions_per_key":{"k-1":2})", counted.c_str());
    STRCMP_CONTAINS(R"("sheds":1)", counted.c_str());
    it.decisions.wait_finished(4);
    CHECK(answer_kind::shed == it.decisions.attempts.at(2).kind);
}

// Guards against mishandling truncated answers and crashes of a real HTTP server, which the
// scripted target does not reproduce.
TEST(standin_target, truncates_answers_and_exits_on_the_crash_path) {
    standin_process target({"--truncate", "--crash-path", "/crash"});
    it.decisions.default_step.address = target.address();
    it.decisions.default_step.route.repeat = config::repeat_policy::at_most_once;
    target.control(R"({"body_bytes": 1000})");
    STRCMP_CONTAINS("HTTP/1.1 502 ", it.send_request(plain_get).c_str());
    const auto refused = it.send_request("GET /crash HTTP/1.1\r\nHost: a\r\n\r\n");
    STRCMP_CONTAINS("Wigeonrill-Outcome: unknown\r\n", refused.c_str());
    target.wait_end(); // Before that, its port may still accept a connection.
    STRCMP_CONTAINS("Wigeonrill-Outcome: not-run\r\n", it.send_request(plain_get).c_str());
    it.decisions.wait_finished(3);
    CHECK(answer_kind::malformed == it.decisions.attempts.at(0).kind);
    CHECK(answer_kind::connection_lost == it.decisions.attempts.at(1).kind);
    CHECK(answer_kind::connect_failed == it.decisions.attempts.at(2).kind);
}
