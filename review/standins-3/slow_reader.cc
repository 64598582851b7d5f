// Case: uploads to an endpoint that reads slowly get no answer at their route's timeout.

#include "site.hh"

using namespace site;

namespace {

constexpr int endpoints = 10;
constexpr int nodes = 2;
constexpr int rounds = 1;
constexpr int uploads_per_round = 16;
constexpr int work_ms = 500;
constexpr int timeout_ms = 3'000;
constexpr int deadline_ms = 9'000;
constexpr std::size_t body_bytes = 32U << 20U;

// An endpoint of service "press". It answers an upload when it has read the whole body.
class endpoint {
public:
    endpoint(int number, bool reads_slowly, record_file& record)
        : number_(number), slow_(reads_slowly), record_(record),
          acceptor_([this](int fd) { serve(fd); }, reads_slowly ? 16'384 : 0) {}
    [[nodiscard]] int port() const { return acceptor_.port(); }
    [[nodiscard]] int begun() const { return begun_; }
    [[nodiscard]] bool slow() const { return slow_; }
    void stop() { stopping_ = true; }

private:
    void serve(int fd) {
        reader in(fd);
        message request;
        while (!stopping_ && in.read_head(request, clock_type::now() + std::chrono::seconds(30)) ==
                                 reader::result::whole) {
            const auto id = request.field("X-Wigeonrill-Request-Id");
            ++begun_;
            record_.line("endpoint " + std::to_string(number_) + " begins to read " + id +
                         ", deadline " + request.field("X-Wigeonrill-Deadline-Ms") + " ms");
            if (!read_all(fd, in, request)) {
                record_.line("endpoint " + std::to_string(number_) + ": the connection of " + id +
                             " ended before its body was whole; it didn't run");
                return;
            }
            record_.line("endpoint " + std::to_string(number_) + " runs " + id);
            sleep_ms(work_ms);
            if (!send_all(fd, answer_text(200,
                                          "X-Wigeonrill-Request-Id: " + id +
                                              "\r\nX-Wigeonrill-Response-Signature: s\r\n",
                                          "kept\n"))) {
                return;
            }
        }
    }
    bool read_all(int fd, reader& in, message& request) {
        if (!slow_) {
            return in.read_body(request, false, clock_type::now() + std::chrono::seconds(30)) ==
                   reader::result::whole;
        }
        auto left = std::stoull(request.field("content-length")) - in.unread().size();
        char piece[4096];
        while (left > 0 && !stopping_) {
            sleep_ms(100);
            const auto n = ::recv(fd, piece, sizeof piece, 0);
            if (n <= 0) {
                return false;
            }
            left -= static_cast<unsigned long long>(n);
        }
        return left == 0;
    }

    int number_;
    bool slow_;
    record_file& record_;
    std::atomic<int> begun_{0};
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
        all.push_back(std::make_unique<endpoint>(i, trouble, record));
        registry.put("servers/i-" + std::to_string(i),
                     endpoint_entry("press", all.back()->port(), 6, wall_ms() - 60'000));
    }
    registry.put(
        "op/config",
        "{\"version\":7,\"routes\":{\"logs\":{\"host\":\"h.example\",\"prefix\":\"/logs/\","
        "\"kind\":\"upload\",\"timeout_s\":3.0,\"target_latency_s\":2.0,\"priority\":1,"
        "\"service\":\"press\",\"attempts\":2}},\"services\":{\"press\":{\"health_path\":"
        "\"/health\",\"max_conns\":330}},\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    fleet system(nodes, registry.port(), {0, 1});
    if (!system.start_all()) {
        record.line("the nodes didn't become ready");
        return could_not_run;
    }
    record.line(std::string("the nodes are ready; the endpoints read ") +
                (trouble ? "slowly (40 KB/s on each connection)" : "fast"));

    const auto body = std::make_shared<const std::string>(body_bytes, 'x');
    std::mutex mutex;
    std::vector<client_result> results;
    std::vector<std::thread> clients;
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < uploads_per_round; ++i) {
            clients.emplace_back([&, round, i] {
                client_request request;
                request.method = "POST";
                request.id = "u" + std::to_string(round) + "-" + std::to_string(i);
                request.path = "/logs/" + request.id;
                request.deadline_ms = deadline_ms;
                request.body = body;
                const auto result = call(system.front(i % nodes), request);
                record.line("client " + request.id + ": " + result_text(result) + " after " +
                            std::to_string(result.ended_s - result.sent_s) + " s");
                const std::lock_guard lock(mutex);
                results.push_back(result);
            });
        }
        sleep_ms(700);
    }
    for (auto& it : clients) {
        it.join();
    }
    int past = 0;
    int unanswered = 0;
    for (const auto& it : results) {
        const double took = it.ended_s - it.sent_s;
        const bool is_past = took > timeout_ms / 1e3;
        past += is_past ? 1 : 0;
        unanswered += is_past && took > timeout_ms / 1e3 + 0.5 ? 1 : 0;
    }
    record.line("uploads: " + std::to_string(results.size()) +
                "; unanswered at the route's timeout_s (3 s): " + std::to_string(past) +
                "; of these still without an answer 0.5 s later: " + std::to_string(unanswered));
    const bool broken = unanswered >= 8 && 2 * unanswered > past;
    record.line(broken ? "CONFIG is broken" : "CONFIG held");
    for (auto& it : all) {
        it->stop();
    }
    return broken ? rule_broken : rule_held;
}
