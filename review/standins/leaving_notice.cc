// Case: an endpoint restarts under its id, and then the machines are stopped and started in turn.
// Each machine that starts hears from the others that the endpoint leaves, which its old process
// said, and doesn't use the new process.
#include "standins.hh"

using namespace review;

namespace {

constexpr int node_count = 3;
constexpr int clients_per_node = 24;
constexpr milliseconds request_interval{2'400};
constexpr milliseconds deadline{3'000};

// Planned work: one of two endpoints restarts. The store accepts its report at once; it serves for
// drain_s and a little longer, ends, and is back 0.4 s later.
constexpr double restart_at_s = 6.0;
constexpr double served_after_report_s = 2.3;
constexpr double down_s = 0.4;
// The disruption: roll_term, all machines, one at a time, from 2 s after that.
constexpr double pause_before_roll_s = 2.0;

// FLOOR: windows of 2 s; endpoints are sound after twice stability_window_s without a disruption.
constexpr double floor_share = 0.7;
constexpr double window_s = 2.0;
constexpr double sound_after_s = 6.0;
constexpr double watched_s = 16.0;

struct request {
    double sent_s{0};
    int status{0};
};

struct run {
    double at_s{0};
    int endpoint{0};
};

void sleep_until(const recorder& record, double at_s) {
    while (record.seconds() < at_s) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

/// Objects are never destroyed, since threads of the stand-ins use them until the process ends.
int play(const std::string& folder, const std::string& repository, const std::string& record_path) {
    const bool trouble = environment("TROUBLE", "1") != "0";
    auto& record = *new recorder(record_path);
    record.say(std::string("disruption: ") +
               (trouble ? "the machines are stopped and started in turn" : "none"));

    auto& platform = *new store;
    const int store_port = platform.open(std::make_shared<std::atomic<bool>>(false));
    endpoint::behaviour how;
    how.capacity = 6;
    how.queue = 4;
    how.work = milliseconds(300);
    auto& mutex = *new std::mutex;
    auto& runs = *new std::vector<run>;
    const auto note = [&](int number) {
        return [&, number](const std::string&) {
            const std::lock_guard lock(mutex);
            runs.push_back({record.seconds(), number});
        };
    };
    auto* first = new endpoint("i-first", "press", how, record, 1);
    auto* second = new endpoint("i-second", "press", how, record, 2);
    first->on_run = note(0);
    second->on_run = note(1);
    platform.put("op/config", operator_configuration(1, "press", "press"));
    platform.put("servers/i-first", first->registration("ready", 1));
    platform.put("servers/i-second", second->registration("ready", 1));

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

    auto& requests = *new std::map<std::string, request>;
    std::atomic<int> next{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < node_count * clients_per_node; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i % node_count)];
        clients.emplace_back([&, i] {
            client caller(entry.front);
            std::this_thread::sleep_for(request_interval * i / (node_count * clients_per_node));
            auto due = clock_type::now();
            while (!stop) {
                char id[32];
                std::snprintf(id, sizeof id, "%016x", 0x10000 + next++);
                const double sent_s = record.seconds();
                const auto in = caller.send("POST", "shop.example", std::string("/order/") + id, id,
                                            deadline, "a print");
                record.write("client of " + entry.name() + " got " + std::to_string(in.status()) +
                             " for " + id);
                {
                    const std::lock_guard lock(mutex);
                    requests[id] = {sent_s, in.status()};
                }
                due = std::max(due + request_interval, clock_type::now());
                std::this_thread::sleep_until(due);
            }
        });
    }
    const double start_s = record.seconds() + restart_at_s;
    sleep_until(record, start_s);
    record.say("i-first reports that it is draining; its answers say that it leaves");
    first->leave();
    platform.put("servers/i-first", first->registration("draining", 2));
    sleep_until(record, start_s + served_after_report_s);
    platform.remove("servers/i-first");
    first->end();
    record.say("i-first has ended");
    sleep_until(record, start_s + served_after_report_s + down_s);
    auto* again =
        new endpoint("i-first", "press", how, record, 3, first->port(), 1'790'000'600'000);
    again->on_run = note(0);
    platform.put("servers/i-first", again->registration("ready", 1));
    const double ready_s = record.seconds();
    record.say("i-first is ready again, as a new process at the same address");
    sleep_until(record, ready_s + pause_before_roll_s);
    for (auto& it : nodes) {
        if (trouble) {
            it->signal(SIGTERM);
            while (it->runs()) {
                std::this_thread::sleep_for(milliseconds(20));
            }
            it->start();
            if (!it->wait_ready(milliseconds(8'000))) {
                record.say(it->name() + " didn't become ready again");
                return 2;
            }
            record.say(it->name() + " has been stopped and started");
        } else {
            std::this_thread::sleep_for(milliseconds(3'700));
        }
    }
    const double from_s = record.seconds() + sound_after_s;
    const double to_s = from_s + watched_s;
    sleep_until(record, to_s + 1);
    stop = true;
    for (auto& it : clients) {
        it.join();
    }
    bool all_run = true;
    for (auto& it : nodes) {
        all_run = it->runs() && all_run;
        it->signal(SIGKILL);
    }

    int broken = 0;
    const std::lock_guard lock(mutex);
    for (double at = from_s; at + window_s <= to_s; at += 0.5) {
        std::set<int> used;
        for (const auto& it : runs) {
            if (it.at_s >= at && it.at_s < at + window_s) {
                used.insert(it.endpoint);
            }
        }
        int asked = 0;
        int unserved = 0;
        for (const auto& [id, it] : requests) {
            if (it.sent_s >= at && it.sent_s < at + window_s) {
                ++asked;
                unserved += it.status == 200 ? 0 : 1;
            }
        }
        const double share = static_cast<double>(used.size()) / 2;
        const bool breaks =
            !used.empty() && share < floor_share && unserved * 10 > asked && unserved * 2 < asked;
        broken += breaks ? 1 : 0;
        char text[160];
        std::snprintf(text, sizeof text,
                      "%s%.1f to %.1f s: %d of 2 sound endpoints get requests, %d of %d requests "
                      "aren't served",
                      breaks ? "FLOOR: " : "", at, at + window_s, static_cast<int>(used.size()),
                      unserved, asked);
        record.say(text);
    }
    for (const auto& it : nodes) {
        it->copy_log("i-first is ", record);
    }
    record.say("windows that break the rule: " + std::to_string(broken));
    if (!all_run || requests.size() < 200) {
        record.say("a node ended, or too little was sent: the case says nothing");
        return 2;
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        std::fprintf(stderr, "usage: leaving_notice FOLDER REPOSITORY RECORD\n");
        return 2;
    }
    finish(play(arguments[1], arguments[2], arguments[3]));
}
