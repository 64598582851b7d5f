// Case: an order that an endpoint has run and then failed with 503 is refused to the client with
// 503.

#include "site.hh"

#include <random>

using namespace site;

namespace {

constexpr int endpoints = 7;
constexpr int grey_endpoints = 1;
constexpr int nodes = 2;
constexpr int clients = 12;
constexpr double grey_share = 0.75;
constexpr double load_s = 6.5;
constexpr int deadline_ms = 5'000;
constexpr int work_ms = 100;

// Orders that were run, by attempt and by order.
struct ledger {
    std::mutex mutex;
    std::set<std::string> attempts;
    std::map<std::string, int> charges;
};

// An endpoint of service "press". A grey one fails a share of its requests: it does the work and
// then answers 503. It doesn't state that it has not run the request.
class endpoint {
public:
    endpoint(int number, bool is_grey, ledger& book, record_file& record)
        : number_(number), grey_(is_grey), book_(book), record_(record),
          acceptor_([this](int fd) { serve(fd); }) {}
    [[nodiscard]] int port() const { return acceptor_.port(); }

private:
    void serve(int fd) {
        reader in(fd);
        message request;
        const auto limit = [] { return clock_type::now() + std::chrono::seconds(30); };
        while (in.read_head(request, limit()) == reader::result::whole &&
               in.read_body(request, false, limit()) == reader::result::whole) {
            const auto id = request.field("X-Wigeonrill-Request-Id");
            sleep_ms(work_ms);
            {
                const std::lock_guard lock(book_.mutex);
                book_.attempts.insert(id);
                ++book_.charges[request.target()];
            }
            const bool fails = grey_ && fails_now();
            record_.line("endpoint " + std::to_string(number_) + " has run " + id + " of order " +
                         request.target() + " and answers " + (fails ? "503" : "200"));
            if (!send_all(fd, answer_text(fails ? 503 : 200,
                                          "X-Wigeonrill-Request-Id: " + id +
                                              "\r\nX-Wigeonrill-Response-Signature: s\r\n",
                                          fails ? "the receipt can't be stored\n" : "printed\n"))) {
                return;
            }
        }
    }
    bool fails_now() {
        const std::lock_guard lock(mutex_);
        return std::uniform_real_distribution<>(0, 1)(random_) < grey_share;
    }

    int number_;
    bool grey_;
    ledger& book_;
    record_file& record_;
    std::mutex mutex_;
    std::mt19937 random_{std::random_device{}()};
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
    ledger book;
    std::vector<std::unique_ptr<endpoint>> all;
    for (int i = 0; i < endpoints; ++i) {
        all.push_back(std::make_unique<endpoint>(i, trouble && i < grey_endpoints, book, record));
        registry.put("servers/i-" + std::to_string(i),
                     endpoint_entry("press", all.back()->port(), 6, wall_ms() - 60'000));
    }
    registry.put(
        "op/config",
        "{\"version\":7,\"routes\":{\"order\":{\"host\":\"h.example\",\"prefix\":\"/order/\","
        "\"kind\":\"unsafe\",\"timeout_s\":4.0,\"target_latency_s\":2.0,\"priority\":1,"
        "\"service\":\"press\",\"attempts\":2}},\"services\":{\"press\":{\"health_path\":"
        "\"/health\",\"max_conns\":330}},\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
    fleet system(nodes, registry.port(), {0, 1});
    if (!system.start_all()) {
        record.line("the nodes didn't become ready");
        return could_not_run;
    }
    record.line(std::string("the nodes are ready; ") +
                (trouble ? "endpoint 0 fails 75 of 100 requests with 503" : "no endpoint is grey"));

    std::atomic<int> orders{0};
    std::atomic<int> attempts{0};
    std::atomic<int> refused_but_run{0};
    std::vector<std::thread> threads;
    const double until = seconds_since_start() + load_s;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            while (seconds_since_start() < until) {
                const auto order = "/order/" + std::to_string(orders++);
                // A client repeats an unsafe request after a promise only, as a new attempt.
                for (int attempt = 0; attempt < 3; ++attempt) {
                    client_request request;
                    request.method = "POST";
                    request.path = order;
                    request.id = "a" + std::to_string(attempts++);
                    request.deadline_ms = deadline_ms;
                    request.body = std::make_shared<const std::string>("one print run");
                    const auto result = call(system.front(i % nodes), request);
                    const int status =
                        result.how == reader::result::whole ? result.answer.status() : 0;
                    const bool promised =
                        status == 503 || status == 429 || status == 408 || status == 421;
                    bool has_run = false;
                    {
                        const std::lock_guard lock(book.mutex);
                        has_run = book.attempts.count(request.id) > 0;
                    }
                    if (promised) {
                        record.line("client: attempt " + request.id + " of order " + order +
                                    " got " + std::to_string(status) + ", signature \"" +
                                    result.answer.field("X-Wigeonrill-Response-Signature") +
                                    "\"; it has " + (has_run ? "run" : "not run"));
                        refused_but_run += has_run ? 1 : 0;
                        sleep_ms(20);
                        continue;
                    }
                    break;
                }
                sleep_ms(60);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    const std::lock_guard lock(book.mutex);
    const auto twice = std::count_if(book.charges.begin(), book.charges.end(),
                                     [](const auto& it) { return it.second > 1; });
    record.line("orders: " + std::to_string(orders) +
                "; attempts answered 429, 503, 408 or 421 that have run: " +
                std::to_string(refused_but_run) +
                "; orders charged more than once: " + std::to_string(twice));
    record.line(refused_but_run > 0 ? "REFUSED is broken" : "REFUSED held");
    return refused_but_run > 0 ? rule_broken : rule_held;
}
