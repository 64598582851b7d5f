#include "wigeonrill/platform.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;
using namespace std::chrono_literals;
using platform::http_value_source;

namespace {

// Server that accepts one connection, records the request, sends fixed bytes and closes the
// connection. With hold it sends nothing and waits until the client closes.
class one_answer_server {
public:
    explicit one_answer_server(std::string answer, bool hold = false)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          request_(std::async(std::launch::async, [this, answer = std::move(answer), hold] {
              auto peer = socket_.acceptConnection();
              std::string text;
              std::array<char, 4096> buf{};
              while (text.find("\r\n\r\n") == std::string::npos) {
                  const int n = peer.receiveBytes(buf.data(), buf.size());
                  if (n <= 0) {
                      break;
                  }
                  text.append(buf.data(), static_cast<std::size_t>(n));
              }
              request_received.set_value();
              if (hold) {
                  // Returns when the client closes the connection.
                  (void)peer.receiveBytes(buf.data(), buf.size());
              } else {
                  peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
                  peer.shutdown();
              }
              return text;
          })) {}
    [[nodiscard]] endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }
    std::string request() { return request_.get(); }

    std::promise<void> request_received;

private:
    Poco::Net::ServerSocket socket_;
    std::future<std::string> request_;
};

std::string http(const std::string& status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Connection: close\r\n\r\n" + body;
}

result<platform::stored_value> get_from(const std::string& answer) {
    one_answer_server server(answer);
    http_value_source source({server.address()});
    return source.get("manifest");
}

} // namespace

TEST_GROUP(http_value_source){};

// Guards against a request line that differs from the published protocol.
TEST(http_value_source, get_returns_the_value_and_its_index) {
    one_answer_server server(http("200 OK", "ETag: \"17\"\r\nContent-Length: 5\r\n", "hello"));
    http_value_source source({server.address()});
    const auto value = source.get("shard/rules/00");
    CHECK(value && value->content == "hello" && value->index == 17);
    STRCMP_CONTAINS("GET /v1/values/shard/rules/00 HTTP/1.1\r\n", server.request().c_str());
}

// Guards against a wait parameter in a format that the service doesn't accept, and against treating
// status 304 as an error.
TEST(http_value_source, watch_sends_the_known_index) {
    one_answer_server server(http("304 Not Modified", "", ""));
    http_value_source source({server.address()});
    const auto value = source.watch("manifest", 17, 55s);
    CHECK(value.has_value() && !value->has_value());
    STRCMP_CONTAINS("GET /v1/watch?key=manifest&after=17&wait=55000ms HTTP/1.1\r\n",
                    server.request().c_str());
}

// Guards against accepting a truncated body, whose end POCO reports like that of a complete one.
TEST(http_value_source, rejects_a_truncated_value) {
    const auto value = get_from(http("200 OK", "ETag: \"1\"\r\nContent-Length: 10\r\n", "hello"));
    CHECK(!value && value.error().kind == error_kind::unavailable);
    STRCMP_CONTAINS("truncated", value.error().message.c_str());
}

// Guards against using the answers of a server that is not the configuration service, and against
// unbounded memory for a large value.
TEST(http_value_source, rejects_answers_that_violate_the_protocol) {
    const auto refused = [](const std::string& reason, const std::string& answer) {
        const auto value = get_from(answer);
        CHECK(!value && value.error().kind == error_kind::invalid_input);
        STRCMP_CONTAINS(reason.c_str(), value.error().message.c_str());
    };
    const std::string length = "Content-Length: 5\r\n";
    refused("no valid index", http("200 OK", length, "hello"));
    refused("no valid index", http("200 OK", "ETag: \"x\"\r\n" + length, "hello"));
    refused("without a length", http("200 OK", "ETag: \"1\"\r\n", "hello"));
    refused("above 1 MB", http("200 OK", "ETag: \"1\"\r\nContent-Length: 1000001\r\n", "hello"));
    refused("304", http("304 Not Modified", "", ""));
    CHECK(!get_from("what\r\n\r\n"));
    CHECK(get_from(http("404 Not Found", "", "")).error().kind == error_kind::not_found);
    CHECK(get_from(http("503 Busy", "", "")).error().kind == error_kind::unavailable);
}

// Guards against calling a server that is down again and again.
TEST(http_value_source, uses_the_next_server_after_a_failure) {
    one_answer_server bad(http("503 Busy", "", ""));
    one_answer_server good(http("200 OK", "ETag: \"2\"\r\nContent-Length: 2\r\n", "ok"));
    http_value_source source({bad.address(), good.address()});
    CHECK(!source.get("manifest"));
    CHECK(source.get("manifest").has_value());
}

// Guards against a shutdown that lasts until the end of a watch call.
TEST(http_value_source, interrupt_ends_a_watch) {
    one_answer_server server("", true);
    http_value_source source({server.address()});
    auto watch = std::async(std::launch::async,
                            [&source] { return source.watch("manifest", 1, 1h).has_value(); });
    server.request_received.get_future().wait();
    source.interrupt();
    CHECK_FALSE(watch.get());
    CHECK(!source.get("manifest"));
}

// Guards against a reader thread that loses a change set or doesn't stop.
TEST(http_value_source, reader_thread_delivers_a_version_and_stops) {
    const auto all = *config::split_document(
        R"({"format": 1, "version": 3, "published": "2026-03-01T08:30:00Z"})", "sample.json");
    struct memory_source final : platform::value_source {
        std::map<std::string, std::string> values;
        std::promise<void> stopped;
        result<platform::stored_value> get(const std::string& key) override {
            return platform::stored_value{values.at(key), 1};
        }
        result<std::optional<platform::stored_value>> watch(const std::string&, std::uint64_t,
                                                            milliseconds) override {
            return std::optional<platform::stored_value>{};
        }
        void interrupt() override { stopped.set_value(); }
    } source;
    source.values["manifest"] = platform::write_manifest(all);
    const auto& rules = all.changed.front();
    source.values[platform::shard_key({rules.name, rules.version, rules.digest})] = rules.content;
    const system_clock_source clock;
    seeded_random_source random(1);
    platform::manifest_reader_settings settings{{"192.0.2.1", 7000}};
    settings.start_delay = 0ms;
    std::promise<config::change_set> delivered;
    {
        platform::manifest_reader_thread subject(
            settings, source, clock, random, [&](const auto& event) {
                if (event.what == platform::manifest_reader_event::kind::changes) {
                    delivered.set_value(event.changes);
                }
            });
        auto expected = all;
        expected.content_digest.clear(); // Manifests have none.
        CHECK(delivered.get_future().get() == expected);
    }
    source.stopped.get_future().wait();
}

// Guards against taking an answer without a valid status for a value, or for the statement that the
// value is unchanged or missing.
TEST(http_value_source, rejects_an_answer_without_a_valid_status) {
    const std::string fields = "ETag: \"1\"\r\nContent-Length: 2\r\n";
    for (const std::string status :
         {"000 Zero", "000 ", "099 Low", "600 High", "999 High", "2 OK", "20 OK", "2000 OK",
          "0200 OK", "+20 OK", "2e2 OK", "-01 OK", " OK", "OK", "", "103 Early Hints"}) {
        for (const std::string interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
            const auto value = get_from(interim + http(status, fields, "ok"));
            CHECK_TEXT(!value && value.error().kind == error_kind::unavailable, status.c_str());
        }
    }
}

// Guards against a call that never ends, because POCO skips any number of interim answers.
TEST(http_value_source, limits_the_interim_answers) {
    const auto value = http("200 OK", "ETag: \"1\"\r\nContent-Length: 2\r\n", "ok");
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(get_from(interim + value).has_value());
    std::string many;
    for (int i = 0; i < 20; ++i) {
        many += interim;
    }
    const auto refused = get_from(many + value);
    CHECK(!refused && refused.error().kind == error_kind::unavailable);
}
