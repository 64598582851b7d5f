// Case: a request crashes each endpoint that begins to run it. The endpoint falls silent and is
// back some seconds later. The client sends the request again and again, and no machine holds it
// back.
#include "standins.hh"

using namespace review;

namespace {

constexpr int node_count = 3;
constexpr int endpoint_count = 6;
constexpr int repetitions = 24;
constexpr milliseconds repetition_interval{1'500};
constexpr milliseconds poison_deadline{6'000};
constexpr milliseconds crash_time{3'000};
constexpr int order_clients = 18;
constexpr milliseconds order_interval{600};
constexpr milliseconds order_deadline{8'000};
constexpr double stability_window_s = 3;
constexpr int most_retries = 3;

std::string request_id(int number) {
    char text[32];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
}

/// Objects are never destroyed, since threads of the stand-ins use them until the process ends.
int play(const std::string& folder, const std::string& repository, const std::string& record_path) {
    const bool trouble = environment("TROUBLE", "1") != "0";
    auto& record = *new recorder(record_path);
    record.say(std::string("disruption: ") +
               (trouble ? "a request crashes the endpoints that run it" : "none"));

    auto& platform = *new store;
    const int store_port = platform.open(std::make_shared<std::atomic<bool>>(false));
    endpoint::behaviour how;
    how.work = milliseconds(200);
    how.crash_time = trouble ? crash_time : milliseconds(0);
    auto& mutex = *new std::mutex;
    auto& crashes = *new std::vector<double>;
    platform.put("op/config", operator_configuration(1, "press", "press"));
    std::vector<endpoint*> endpoints;
    for (int i = 0; i < endpoint_count; ++i) {
        endpoints.push_back(new endpoint("i-" + std::to_string(i), "press", how, record,
                                         static_cast<std::uint64_t>(i)));
        endpoints.back()->on_run = [&](const std::string& id) {
            if (id.rfind("0000000000f", 0) == 0) {
                const std::lock_guard lock(mutex);
                crashes.push_back(record.seconds());
            }
        };
        platform.put("servers/" + endpoints.back()->id(),
                     endpoints.back()->registration("ready", 1));
    }
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<int> seeds;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>("node-" + std::to_string(i), folder, repository));
        seeds.push_back(nodes.back()->control);
    }
    for (auto& it : nodes) {
        it->write_settings(store_port, seeds, "glas-a");
        it->start();
    }
    for (auto& it : nodes) {
        if (!it->wait_ready(milliseconds(15'000))) {
            record.say(it->name() + " didn't become ready");
            return 2;
        }
    }
    std::atomic<int> next{0};
    std::atomic<bool> stop{false};
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    for (int i = 0; i < order_clients; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i % node_count)];
        clients.emplace_back([&, i] {
            client caller(entry.front);
            std::this_thread::sleep_for(order_interval * i / order_clients);
            while (!stop) {
                const auto id = request_id(0x10000 + next++);
                const auto in = caller.send("POST", "shop.example", "/order/" + id, id,
                                            order_deadline, "a print");
                record.write("order " + id + " got " + std::to_string(in.status()));
                {
                    const std::lock_guard lock(mutex);
                    ++statuses[in.status()];
                }
                std::this_thread::sleep_for(order_interval);
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(3'000));
    std::vector<std::thread> callers;
    for (int i = 0; i < repetitions; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i % node_count)];
        callers.emplace_back([&, i] {
            client caller(entry.front);
            const auto id = request_id(0xf00000 + i);
            record.write("the client sends the poisonous request to " + entry.name() + " as " + id);
            const auto in = caller.send("GET", "shop.example", "/look/poison", id, poison_deadline);
            record.write("the client got " + std::to_string(in.status()) + " for " + id);
        });
        std::this_thread::sleep_for(repetition_interval);
    }
    for (auto& it : callers) {
        it.join();
    }
    stop = true;
    for (auto& it : clients) {
        it.join();
    }
    bool all_run = true;
    for (auto& it : nodes) {
        all_run = it->runs() && all_run;
        it->signal(SIGKILL);
    }

    const std::lock_guard lock(mutex);
    int late = 0;
    for (const double at : crashes) {
        late += crashes.size() >= 3 && at > crashes[2] + stability_window_s ? 1 : 0;
    }
    std::string text = "orders by status:";
    for (const auto& [status, n] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(n);
    }
    record.say(text);
    record.say("the request reached endpoints " + std::to_string(crashes.size()) + " times, " +
               std::to_string(late) + " of them later than 3 s after the third crash");
    if (!all_run || statuses[200] < 100) {
        record.say("a node ended, or too little was served: the case says nothing");
        return 2;
    }
    return trouble && late > most_retries ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        std::fprintf(stderr, "usage: poison FOLDER REPOSITORY RECORD\n");
        return 2;
    }
    finish(play(arguments[1], arguments[2], arguments[3]));
}
