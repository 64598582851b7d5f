// Case: all nodes are killed at the same time, those that the seeds name stay down. The others come
// back and each of them grants a quarter of every tenant's limit. Rule QUOTA.
#include "../standins-2/site.hh"

using namespace site;

namespace {
constexpr int nodes = 12;
constexpr int seeds = 3;
constexpr double rate = 40.0;
constexpr double burst = 10.0;
constexpr double window_s = 5.0; // quota_window_s
constexpr double overage = 0.25; // quota_overage
constexpr double slack = 20.0;   // quota_slack
constexpr double load_s = 14.0;
constexpr double per_node_per_s = 20.0;
} // namespace

int main(int, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    rec.open(argv[1]);
    deployment all(nodes, 6, seeds);
    for (int i = 0; i < 24; ++i) {
        server::options how;
        how.id = "i-" + std::to_string(i);
        how.service = "desk";
        how.slots = 8;
        how.work_s = 0.05;
        all.add_server(how).write_record();
    }
    std::ostringstream config;
    config << R"({"version":7,"routes":{"look":{"host":"h.example","prefix":"/look/",)"
           << R"("kind":"safe","timeout_s":5.0,"target_latency_s":2.0,"priority":2,)"
           << R"("service":"desk","attempts":2}},"services":{"desk":{}},)"
           << R"("tenants":{"t-one":{"api_keys":["key-one"],"rate_per_s":)" << rate
           << R"(,"burst":)" << burst << R"(,"priority":1},"t-two":{"api_keys":["key-two"],)"
           << R"("rate_per_s":)" << rate << R"(,"burst":)" << burst << R"(,"priority":1}},)"
           << R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
           << R"("header_timeout_s":5,"idle_timeout_s":30}})";
    all.records.put("op/config", config.str());
    all.start_all();
    if (!is_ready_twice(all)) {
        finish(all, 2, "the nodes were not ready at the start");
    }
    sleep_s(4.0);
    if (trouble()) {
        rec.line("all nodes are killed at the same time; the %d that the seeds name stay down",
                 seeds);
        for (std::size_t i = 0; i < all.size(); ++i) {
            ::kill(all.at(i).pid, SIGKILL);
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            all.at(i).kill();
        }
        sleep_s(0.5);
        for (std::size_t i = seeds; i < all.size(); ++i) {
            all.at(i).start();
        }
        if (!all.wait_ready()) {
            finish(all, 2, "the nodes were not ready again");
        }
    }
    sleep_s(4.0); // past stability_window_s
    const double began = seconds_since(started);
    std::mutex mutex;
    std::vector<double> served; // times at which requests that ran were sent
    std::atomic<int> refused{0};
    std::vector<std::thread> clients;
    for (std::size_t i = seeds; i < all.size(); ++i) {
        for (int lane = 0; lane < 4; ++lane) {
            clients.emplace_back([&, i, lane] {
                sleep_s(0.01 * static_cast<double>(i) + 0.05 * lane);
                while (seconds_since(started) < began + load_s) {
                    const double sent = seconds_since(started);
                    request one;
                    one.path = "/look/a";
                    one.id = new_id();
                    one.extra_fields = "Authorization: Bearer key-one\r\n";
                    const auto got = send_request(all.at(i).front, one);
                    if (got.status == 200) {
                        const std::lock_guard lock(mutex);
                        served.push_back(sent);
                    } else {
                        ++refused;
                    }
                    sleep_s(4.0 / per_node_per_s - (seconds_since(started) - sent));
                }
            });
        }
    }
    for (auto& it : clients) {
        it.join();
    }
    std::sort(served.begin(), served.end());
    std::size_t most = 0;
    for (std::size_t i = 0, first = 0; i < served.size(); ++i) {
        while (served[i] - served[first] > window_s) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    const double bound = (rate * window_s + burst) * (1 + overage) + slack;
    std::ostringstream why;
    why << "QUOTA: in some " << window_s << " s, " << most << " requests of the tenant ran; "
        << bound << " are allowed (" << served.size() << " ran in " << load_s << " s, " << refused
        << " did not)";
    if (served.empty()) {
        finish(all, 2, why.str());
    }
    finish(all, static_cast<double>(most) > bound ? 1 : 0, why.str());
}
