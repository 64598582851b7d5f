// Case: a node that was just restarted refuses with 401 what another node passes on to it.

#include "site.hh"

using namespace site;

namespace {

constexpr int endpoints = 4;
constexpr int clients = 30;
constexpr double per_s = 60.0;
constexpr double load_s = 10.0;
constexpr double down_from_s = 2.0; // after the load began
constexpr double down_s = 4.5;
constexpr double kill_at_s[] = {3.0};
constexpr int deadline_ms = 3'000;
constexpr int work_ms = 50;

// An endpoint of service "registry". It can be down: its port then refuses connections.
class endpoint {
public:
    endpoint(int number, record_file& record) : number_(number), record_(record) { start(); }
    void start() {
        acceptor_ = std::make_unique<acceptor>([this](int fd) { serve(fd); }, 0, port_);
        port_ = acceptor_->port();
    }
    void crash() { acceptor_.reset(); }
    [[nodiscard]] int port() const { return port_; }

private:
    void serve(int fd) {
        reader in(fd);
        message request;
        const auto limit = [] { return clock_type::now() + std::chrono::seconds(30); };
        while (in.read_head(request, limit()) == reader::result::whole &&
               in.read_body(request, false, limit()) == reader::result::whole) {
            const auto id = request.field("X-Wigeonrill-Request-Id");
            record_.line("endpoint " + std::to_string(number_) + " runs " + id + " of tenant " +
                         request.field("X-Wigeonrill-Tenant-Name"));
            sleep_ms(work_ms);
            if (!send_all(fd, answer_text(200,
                                          "X-Wigeonrill-Request-Id: " + id +
                                              "\r\nX-Wigeonrill-Response-Signature: s\r\n",
                                          "registered\n"))) {
                return;
            }
        }
    }

    int number_;
    record_file& record_;
    int port_{0};
    std::unique_ptr<acceptor> acceptor_;
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
        all.push_back(std::make_unique<endpoint>(i, record));
        registry.put("servers/i-" + std::to_string(i),
                     endpoint_entry("registry", all.back()->port(), 4, wall_ms() - 60'000));
    }
    registry.put(
        "op/config",
        "{\"version\":7,\"routes\":{\"claims\":{\"host\":\"h.example\",\"prefix\":\"/claims/\","
        "\"kind\":\"unsafe\",\"timeout_s\":3.0,\"target_latency_s\":1.5,\"priority\":1,"
        "\"service\":\"registry\",\"attempts\":2}},\"services\":{\"registry\":{\"health_path\":"
        "\"/health\",\"max_conns\":330}},\"tenants\":{\"casamance\":{\"api_keys\":[\"key-1\"]}},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
        "\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    // The second node is the only seed.
    fleet system(2, registry.port(), {1});
    if (!system.start_all()) {
        record.line("the nodes didn't become ready");
        return could_not_run;
    }
    sleep_ms(4'000); // until the nodes know each other
    record.line("the nodes are ready; all clients send to node 0 with a key that is valid");

    std::mutex mutex;
    std::map<std::string, int> ends;
    std::atomic<int> number{0};
    std::vector<std::thread> threads;
    const double from = seconds_since_start();
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            for (int k = 0; k < static_cast<int>(load_s * per_s / clients); ++k) {
                const double at = from + (k * clients + i) / per_s;
                sleep_ms(std::max(0, static_cast<int>((at - seconds_since_start()) * 1e3)));
                client_request request;
                request.method = "POST";
                request.id = "c" + std::to_string(number++);
                request.path = "/claims/" + request.id;
                request.deadline_ms = deadline_ms;
                request.fields = "Authorization: Bearer key-1\r\n";
                request.body = std::make_shared<const std::string>("one claim");
                const auto result = call(system.front(0), request);
                record.line("client " + request.id + ": " + result_text(result));
                const std::lock_guard lock(mutex);
                ++ends[result_text(result)];
            }
        });
    }
    if (trouble) {
        const auto wait_until = [from](double at) {
            sleep_ms(std::max(0, static_cast<int>((from + at - seconds_since_start()) * 1e3)));
        };
        wait_until(down_from_s);
        record.line("all endpoints of the service crash");
        for (auto& it : all) {
            it->crash();
        }
        for (const double at : kill_at_s) {
            wait_until(at);
            record.line("node 1 is killed and started again");
            system.kill(1, SIGKILL);
            system.start(1);
        }
        wait_until(down_from_s + down_s);
        for (auto& it : all) {
            it->start();
        }
        record.line("the endpoints are back");
    }
    for (auto& it : threads) {
        it.join();
    }
    int requests = 0;
    std::string text;
    for (const auto& [end, n] : ends) {
        requests += n;
        text += (text.empty() ? "" : ", ") + end + ": " + std::to_string(n);
    }
    const int denied = ends["401"];
    record.line("requests: " + std::to_string(requests) + " (" + text + ")");
    record.line("401 to a valid key: " + std::to_string(denied) +
                "; the rule allows 5 + 1 in 500: " + std::to_string(5 + requests / 500));
    const bool broken = denied > 5.0 + requests / 500.0;
    record.line(broken ? "DENIED is broken" : "DENIED held");
    return broken ? rule_broken : rule_held;
}
