// Case: uploads of clients that wait for 100 (Continue) get neither it nor an answer.

#include "site.hh"

using namespace site;

namespace {

constexpr int endpoints = 8;
constexpr int nodes = 2;
constexpr int uploads = 14;
constexpr double timeout_s = 3.0;
constexpr int deadline_ms = 9'000;
constexpr int work_ms = 100;
constexpr std::size_t body_bytes = 120'000;

// An endpoint of service "intake". It answers an upload when it has read and run the whole body.
class endpoint {
public:
    endpoint(int number, record_file& record)
        : number_(number), record_(record), acceptor_([this](int fd) { serve(fd); }) {}
    [[nodiscard]] int port() const { return acceptor_.port(); }

private:
    void serve(int fd) {
        reader in(fd);
        message request;
        const auto limit = [] { return clock_type::now() + std::chrono::seconds(30); };
        while (in.read_head(request, limit()) == reader::result::whole) {
            const auto id = request.field("X-Wigeonrill-Request-Id");
            record_.line("endpoint " + std::to_string(number_) + " has the head of " + id);
            if (in.read_body(request, false, limit()) != reader::result::whole) {
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

    int number_;
    record_file& record_;
    acceptor acceptor_;
};

// Sends an upload and waits for its answer until the client's deadline. With an expectation, the
// body follows the answer 100 (Continue).
client_result upload(int port, const client_request& request, bool expects) {
    client_result result;
    const int fd = connect_to(port);
    result.sent_s = seconds_since_start();
    const auto until = clock_type::now() + milliseconds(request.deadline_ms);
    reader in(fd);
    auto with_field = request;
    with_field.fields = expects ? "Expect: 100-continue\r\n" : "";
    send_all(fd, request_head(with_field));
    if (expects) {
        result.how = in.read_head(result.answer, until);
    }
    const bool may_send =
        !expects || (result.how == reader::result::whole && result.answer.status() == 100);
    if (may_send) {
        send_all(fd, *request.body);
        result.how = in.read_head(result.answer, until);
    }
    if (result.how == reader::result::whole) {
        result.how = in.read_body(result.answer, true, until);
    }
    result.ended_s = seconds_since_start();
    ::close(fd);
    return result;
}

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
        all.push_back(std::make_unique<endpoint>(i, record));
        registry.put("servers/i-" + std::to_string(i),
                     endpoint_entry("intake", all.back()->port(), 4, wall_ms() - 60'000));
    }
    registry.put(
        "op/config",
        "{\"version\":7,\"routes\":{\"logs\":{\"host\":\"h.example\",\"prefix\":\"/logs/\","
        "\"kind\":\"upload\",\"timeout_s\":3.0,\"target_latency_s\":2.0,\"priority\":1,"
        "\"service\":\"intake\",\"attempts\":2}},\"services\":{\"intake\":{\"health_path\":"
        "\"/health\",\"max_conns\":330}},\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    fleet system(nodes, registry.port(), {0, 1});
    if (!system.start_all()) {
        record.line("the nodes didn't become ready");
        return could_not_run;
    }
    record.line(
        std::string("the nodes are ready; the clients ") +
        (trouble ? "send Expect: 100-continue and wait for 100" : "send their bodies at once"));

    const auto body = std::make_shared<const std::string>(body_bytes, 'x');
    std::mutex mutex;
    std::vector<client_result> results;
    std::vector<std::thread> clients;
    for (int i = 0; i < uploads; ++i) {
        clients.emplace_back([&, i] {
            client_request request;
            request.method = "POST";
            request.id = "u" + std::to_string(i);
            request.path = "/logs/" + request.id;
            request.deadline_ms = deadline_ms;
            request.body = body;
            const auto result = upload(system.front(i % nodes), request, trouble);
            record.line("client " + request.id + ": " + result_text(result) + " after " +
                        std::to_string(result.ended_s - result.sent_s) + " s");
            const std::lock_guard lock(mutex);
            results.push_back(result);
        });
    }
    for (auto& it : clients) {
        it.join();
    }
    int past = 0;
    int unanswered = 0;
    for (const auto& it : results) {
        const double took = it.ended_s - it.sent_s;
        past += took > timeout_s ? 1 : 0;
        unanswered += took > timeout_s + 0.5 ? 1 : 0;
    }
    record.line("uploads: " + std::to_string(results.size()) +
                "; unanswered at the route's timeout_s (3 s): " + std::to_string(past) +
                "; of these still without an answer 0.5 s later: " + std::to_string(unanswered));
    const bool broken = unanswered >= 8 && 2 * unanswered > past;
    record.line(broken ? "CONFIG is broken" : "CONFIG held");
    return broken ? rule_broken : rule_held;
}
