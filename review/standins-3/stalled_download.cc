// Case: a download whose endpoint stalls in the body is not ended at its route's timeout.

#include "site.hh"

#include <random>

using namespace site;

namespace {

constexpr int endpoints = 7;
constexpr int grey_endpoints = 3;
constexpr int nodes = 2;
constexpr int clients = 24;
constexpr double grey_share = 0.45;
constexpr double grey_until_s = 6.5;
constexpr double load_s = 6.0;
constexpr double timeout_s = 3.0;
constexpr int deadline_ms = 9'000;
constexpr int work_ms = 100;
constexpr std::size_t body_bytes = 3U << 20U;
constexpr std::size_t sent_before_stall = 1U << 19U;

std::string body_of(const std::string& id) {
    std::string text;
    while (text.size() < body_bytes) {
        text += id + ".";
    }
    text.resize(body_bytes);
    return text;
}

// An endpoint of service "files". A grey one stalls in a share of its answers: it sends the head
// and a part of the body, and then nothing until the connection is closed.
class endpoint {
public:
    endpoint(int number, bool is_grey, record_file& record)
        : number_(number), grey_(is_grey), record_(record),
          acceptor_([this](int fd) { serve(fd); }) {}
    [[nodiscard]] int port() const { return acceptor_.port(); }
    void stop() { stopping_ = true; }

private:
    void serve(int fd) {
        reader in(fd);
        message request;
        while (!stopping_ && in.read_head(request, clock_type::now() + std::chrono::seconds(30)) ==
                                 reader::result::whole) {
            const auto id = request.field("X-Wigeonrill-Request-Id");
            record_.line("endpoint " + std::to_string(number_) + " runs " + id + ", deadline " +
                         request.field("X-Wigeonrill-Deadline-Ms") + " ms");
            sleep_ms(work_ms);
            const auto text = answer_text(200,
                                          "X-Wigeonrill-Request-Id: " + id +
                                              "\r\nX-Wigeonrill-Response-Signature: s\r\n",
                                          body_of(id));
            if (stalls()) {
                record_.line("endpoint " + std::to_string(number_) + " stalls in the answer to " +
                             id);
                send_all(fd, text.substr(0, sent_before_stall));
                char byte = 0;
                const auto ended = ::recv(fd, &byte, 1, 0) <= 0;
                record_.line("endpoint " + std::to_string(number_) + ": the connection of " + id +
                             (ended ? " was closed" : " has further bytes"));
                return;
            }
            if (!send_all(fd, text)) {
                return;
            }
        }
    }
    bool stalls() {
        const std::lock_guard lock(mutex_);
        return grey_ && seconds_since_start() - begun_s() < grey_until_s &&
               std::uniform_real_distribution<>(0, 1)(random_) < grey_share;
    }
    static double& begun_s_storage() {
        static double it = 1e9;
        return it;
    }

public:
    static void begin_trouble() { begun_s_storage() = seconds_since_start(); }
    static double begun_s() { return begun_s_storage(); }

private:
    int number_;
    bool grey_;
    record_file& record_;
    std::mutex mutex_;
    std::mt19937 random_{std::random_device{}()};
    std::atomic<bool> stopping_{false};
    acceptor acceptor_;
};

} // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    start_time();
    record_file record(argv[1]);
    const bool trouble = with_trouble();
    store registry;
    std::vector<std::unique_ptr<endpoint>> all;
    for (int i = 0; i < endpoints; ++i) {
        all.push_back(std::make_unique<endpoint>(i, trouble && i < grey_endpoints, record));
        registry.put("servers/i-" + std::to_string(i),
                     endpoint_entry("files", all.back()->port(), 6, wall_ms() - 60'000));
    }
    registry.put(
        "op/config",
        "{\"version\":7,\"routes\":{\"files\":{\"host\":\"h.example\",\"prefix\":\"/files/\","
        "\"kind\":\"download\",\"timeout_s\":3.0,\"target_latency_s\":1.0,\"priority\":1,"
        "\"service\":\"files\",\"attempts\":2}},\"services\":{\"files\":{\"health_path\":"
        "\"/health\",\"max_conns\":330}},\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    fleet system(nodes, registry.port(), {0, 1});
    if (!system.start_all()) {
        record.line("the nodes didn't become ready");
        return could_not_run;
    }
    endpoint::begin_trouble();
    record.line(std::string("the nodes are ready; ") +
                (trouble ? "endpoints 0 to 2 stall in 45 of 100 answers for 6.5 s"
                         : "no endpoint is grey"));

    std::mutex mutex;
    std::vector<client_result> results;
    std::vector<std::thread> threads;
    std::atomic<int> number{0};
    const double until = seconds_since_start() + load_s;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            while (seconds_since_start() < until) {
                client_request request;
                request.id = "d" + std::to_string(number++);
                request.path = "/files/" + request.id;
                request.deadline_ms = deadline_ms;
                auto result = call(system.front(i % nodes), request);
                record.line("client " + request.id + ": " +
                            (result.how == reader::result::whole
                                 ? result_text(result)
                                 : result_text(result) + ", head " +
                                       (result.answer.first_line.empty()
                                            ? "none"
                                            : result.answer.first_line.substr(9, 3))) +
                            " after " + std::to_string(result.ended_s - result.sent_s) + " s");
                result.answer.body.clear();
                const std::lock_guard lock(mutex);
                results.push_back(result);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    int past = 0;
    int without_end = 0;
    for (const auto& it : results) {
        const double took = it.ended_s - it.sent_s;
        past += took > timeout_s ? 1 : 0;
        without_end += took > timeout_s + 0.5 ? 1 : 0;
    }
    record.line("downloads: " + std::to_string(results.size()) +
                "; longer than the route's timeout_s (3 s): " + std::to_string(past) +
                "; of these without a final answer 0.5 s later: " + std::to_string(without_end));
    const bool broken = without_end >= 8 && 4 * without_end > past;
    record.line(broken ? "CONFIG is broken" : "CONFIG held");
    for (auto& it : all) {
        it->stop();
    }
    return broken ? rule_broken : rule_held;
}
