#include "wigeonrill/platform.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;

namespace {

std::string document(int version, const std::string& host) {
    return R"({"format": 1, "version": )" + std::to_string(version) +
           R"(, "published": "2026-03-01T08:30:00Z", "services": {
             "print": {"floor_slots": 0, "weight": "detection", "targets": {}}}, "routes": {
             "proof": {"service": "print", "host": ")" +
           host + R"(", "repeat": "idempotent"}}})";
}

// Runs the program standin_platform with a temporary configuration file. Ends it in the destructor.
class standin_process {
public:
    explicit standin_process(const std::string& text) {
        write(text);
        const char* folder = std::getenv("WIGEONRILL_BIN");
        const std::string program = folder != nullptr ? folder : "build/bin";
        Poco::Pipe out;
        process_.emplace(
            Poco::Process::launch(program + "/standin_platform", {path_}, nullptr, &out, nullptr));
        Poco::PipeInputStream lines(out);
        std::string line;
        std::getline(lines, line);
        const std::string prefix = "listening on ";
        address_ = parse_endpoint(line.substr(std::min(prefix.size(), line.size()))).value();
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;
    ~standin_process() {
        kill(process_->id(), SIGTERM);
        process_->wait();
        std::filesystem::remove(path_);
    }

    void write(const std::string& text) const { std::ofstream(path_) << text; }
    void request_reload() const { kill(process_->id(), SIGHUP); }
    [[nodiscard]] const endpoint& address() const { return address_; }

    // Sends a GET request, or a POST if there is a body. Returns the body of the answer.
    [[nodiscard]] std::string send(const std::string& path, const std::string& body = "") const {
        Poco::Net::HTTPClientSession session(address_.ip, address_.port);
        Poco::Net::HTTPRequest request(body.empty() ? "GET" : "POST", path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        return answer;
    }
    void control(const std::string& body) const {
        STRCMP_CONTAINS("\"calls\"", send("/standin/control", body).c_str());
    }

private:
    std::string path_{(std::filesystem::temp_directory_path() /
                       ("standin-test-" + std::to_string(getpid()) + ".json"))
                          .string()};
    std::optional<Poco::ProcessHandle> process_;
    endpoint address_;
};

} // namespace

TEST_GROUP(standin_platform) {
    standin_process service{document(1, "a.example")};
    platform::http_value_source source{{service.address()}};
    config::configuration_store store;

    // Reads the configuration as the daemon does and applies it to the store. The clock jumps to
    // the time of each call. Returns the message of a problem, or an empty text after a change.
    std::string read() {
        seeded_random_source random(1);
        instant now{};
        platform::manifest_reader reader({{"192.0.2.1", 7000}}, random, now);
        reader.set_version_in_force({store.version(), store.digest(), store.shard_entries()});
        for (int i = 0; i < 20; ++i) {
            const auto call = reader.next_call(now);
            if (call.what == platform::manifest_reader_call::kind::wait) {
                now = call.until;
                continue;
            }
            auto value = source.get(call.key);
            reader.handle_answer(call,
                                 value ? result<std::optional<platform::stored_value>>(*value)
                                       : tl::unexpected(value.error()),
                                 now);
            for (const auto& it : reader.take_events()) {
                if (it.what != platform::manifest_reader_event::kind::changes) {
                    return it.reason.message;
                }
                (void)store.apply(it.changes, wall_time{});
                return "";
            }
        }
        return "no event";
    }
};

// Guards against incompatibilities between the reader, the store and the protocol.
TEST(standin_platform, published_file_is_put_in_force) {
    STRCMP_EQUAL("", read().c_str());
    CHECK(*store.current() == *config::parse_document(document(1, "a.example"), "sample.json"));
    service.write(document(2, "b.example"));
    service.request_reload();
    const auto changed = source.watch("manifest", 1, 30s);
    CHECK(changed && *changed && (*changed)->index == 2);
    STRCMP_EQUAL("", read().c_str());
    CHECK(*store.current() == *config::parse_document(document(2, "b.example"), "sample.json"));
    service.control(R"({"version": 1})");
    STRCMP_CONTAINS("older than version 2", read().c_str());
    LONGS_EQUAL(2, store.version());
}

// Guards against a stand-in that simulates the faults of the platform in another way than they
// occur in a real one.
TEST(standin_platform, simulates_faults_on_request) {
    service.control(R"({"invalid": "manifest"})");
    STRCMP_CONTAINS("not valid JSON", read().c_str());
    service.control(R"({"invalid": "shard"})");
    STRCMP_CONTAINS("does not match its digest", read().c_str());
    service.control(R"({"invalid": "none", "cut": ["routes/"]})");
    STRCMP_CONTAINS("has no /v1/values/shard/routes/", read().c_str());
    service.control(R"({"cut": [], "state": "down"})");
    STRCMP_CONTAINS("answered 503", read().c_str());
    service.control(R"({"state": "up", "lag": "10ms"})");
    STRCMP_EQUAL("", read().c_str());
    STRCMP_CONTAINS("unknown key", service.send("/standin/control", R"({"stat": 1})").c_str());
}

// Guards against calls that the stand-in doesn't count, and against a watch that goes on when the
// service is switched off.
TEST(standin_platform, counts_a_waiting_watch_as_one_call) {
    auto watch = std::async(std::launch::async,
                            [this] { return source.watch("manifest", 1, 60s).has_value(); });
    std::string counts;
    for (int i = 0; i < 10'000 && counts.find("\"waiting\":1") == std::string::npos; ++i) {
        counts = service.send("/standin/counts");
    }
    STRCMP_CONTAINS(R"({"calls":1,"get":0,"watch":1,"refused":0,"waiting":1,)", counts.c_str());
    service.control(R"({"state": "down"})");
    CHECK_FALSE(watch.get());
    STRCMP_CONTAINS(R"("refused":1,"waiting":0)", service.send("/standin/counts").c_str());
    service.control(R"({"reset_counts": true})");
    STRCMP_CONTAINS(R"({"calls":0,)", service.send("/standin/counts").c_str());
}

// Guards against replacing the published version by a file that can't be parsed.
TEST(standin_platform, keeps_the_published_version_when_the_file_is_invalid) {
    service.write("{");
    STRCMP_CONTAINS("not valid JSON",
                    service.send("/standin/control", R"({"reload": true})").c_str());
    STRCMP_EQUAL("", read().c_str());
    LONGS_EQUAL(1, store.version());
}
