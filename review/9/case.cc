// Case: a request crashes every server that begins to run it. Another host has a path of the same
// name, whose requests succeed. The first must be held back all the same. Rule BUDGET.
#include "../standins-2/site.hh"

using namespace site;

namespace {
constexpr double stability_window_s = 3.0;
constexpr double load_s = 36.0;
} // namespace

int main(int, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    rec.open(argv[1]);
    deployment all(3);
    std::mutex mutex;
    std::vector<double> arrivals; // of the request that crashes servers
    std::vector<double> crashes;
    std::set<std::string> bad_ids;
    for (int i = 0; i < 12; ++i) {
        server::options how;
        how.id = "i-" + std::to_string(i);
        how.service = i < 8 ? "reports" : "catalogue";
        how.work_s = 0.1;
        auto& it = all.add_server(how);
        it.crashes = [](const message& one) { return one.field("Host") == "reports.example"; };
        it.on_crash = [&] {
            const std::lock_guard lock(mutex);
            crashes.push_back(seconds_since(started));
        };
        it.on_arrival = [&](const std::string& id) {
            const std::lock_guard lock(mutex);
            if (bad_ids.contains(id)) {
                arrivals.push_back(seconds_since(started));
            }
        };
        it.write_record();
    }
    const auto route = [](const std::string& host, const std::string& service) {
        return "\"" + service + R"(":{"host":")" + host +
               R"(","prefix":"/list/","kind":"safe","timeout_s":5.0,"target_latency_s":2.0,)"
               R"("priority":1,"service":")" +
               service + R"(","attempts":2})";
    };
    all.records.put("op/config",
                    R"({"version":7,"routes":{)" + route("reports.example", "reports") + "," +
                        route("catalogue.example", "catalogue") +
                        R"(},"services":{"reports":{},"catalogue":{}},)"
                        R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
                        R"("header_timeout_s":5,"idle_timeout_s":30}})");
    all.start_all();
    if (!is_ready_twice(all)) {
        finish(all, 2, "the nodes were not ready");
    }
    sleep_s(3.0);
    const double until = seconds_since(started) + load_s;
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < all.size(); ++i) {
        clients.emplace_back([&, i] {
            // TWIN=0 gives the requests of the other host another path, to show the difference.
            const char* twin = std::getenv("TWIN");
            const bool same = twin == nullptr || std::string(twin) != "0";
            while (seconds_since(started) < until) {
                request one;
                one.host = "catalogue.example";
                one.path = same ? "/list/all" : "/list/other";
                one.id = new_id();
                served += send_request(all.at(i).front, one).status == 200 ? 1 : 0;
                sleep_s(0.2);
            }
        });
    }
    for (std::size_t n = 0; trouble() && seconds_since(started) < until; ++n) {
        request one;
        one.host = "reports.example";
        one.path = "/list/all";
        one.id = new_id();
        {
            const std::lock_guard lock(mutex);
            bad_ids.insert(one.id);
        }
        send_request(all.at(n % all.size()).front, one);
        sleep_s(2.0);
    }
    for (auto& it : clients) {
        it.join();
    }
    const std::lock_guard lock(mutex);
    int late = 0;
    for (const double it : arrivals) {
        late += crashes.size() >= 3 && it > crashes[2] + stability_window_s ? 1 : 0;
    }
    std::ostringstream why;
    why << "BUDGET: the request reached servers " << arrivals.size() << " times and crashed "
        << crashes.size() << "; later than " << stability_window_s
        << " s after the third crash it reached " << late << " (3 are allowed); " << served
        << " requests of the other host were served";
    if (served == 0) {
        finish(all, 2, why.str());
    }
    finish(all, late > 3 ? 1 : 0, why.str());
}
