// Case: a registration that an endpoint wrote before it began to drain reaches the store seconds
// late, and a machine that restarts just then reads it. The machines that know better take over its
// configuration, and use the draining endpoint again.
#include "standins.hh"

using namespace review;

namespace {

constexpr int node_count = 3;
constexpr int restarted = 2; ///< index of the node that is stopped and started
constexpr int clients_per_node = 8;
constexpr milliseconds request_interval{400};
constexpr milliseconds deadline{4'000};
constexpr double drain_s = 2;

// The disruption: platform_lost, how = "late" (done 1 to 6 s later). It has an end before the
// write's delay is over; times are seconds after the write was sent.
constexpr double lost_until_s = 0.1;
constexpr double drain_reported_s = 3.2; ///< the store is stable again, stability_window_s is 3
constexpr double write_done_s = 5.8;
constexpr double next_heartbeat_s = 7.2; ///< the endpoint writes each 1.5 s: 0, 1.5, ... 5.7, 7.2
constexpr double watched_until_s = 12;
// Planned work: one machine is stopped by SIGTERM and started again.
constexpr double stopped_s = 0.2;
constexpr double started_s = 5.85;

struct run {
    double at_s{0};
    std::string id;
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
               (trouble ? "a write to the store is done 5.8 s late" : "none"));

    auto& platform = *new store;
    const int store_port = platform.open(std::make_shared<std::atomic<bool>>(false));
    endpoint::behaviour how;
    how.capacity = 6;
    how.queue = 4;
    how.work = milliseconds(200);
    std::vector<endpoint*> endpoints;
    for (int i = 0; i < 4; ++i) {
        endpoints.push_back(new endpoint("i-" + std::to_string(i), "press", how, record,
                                         static_cast<std::uint64_t>(i)));
    }
    auto& leaving = *endpoints[0];
    const std::string key = "servers/" + leaving.id();
    auto& mutex = *new std::mutex;
    auto& runs = *new std::vector<run>;
    leaving.on_run = [&](const std::string& id) {
        const std::lock_guard lock(mutex);
        runs.push_back({record.seconds(), id});
    };
    platform.put("op/config", operator_configuration(1, "press", "press"));
    for (const auto* it : endpoints) {
        platform.put("servers/" + it->id(), it->registration("ready", 1));
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

    // Clients use the machines that nothing happens to.
    auto& sent = *new std::map<std::string, double>;
    std::atomic<int> next{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < (node_count - 1) * clients_per_node; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i % (node_count - 1))];
        clients.emplace_back([&, i] {
            client caller(entry.front);
            std::this_thread::sleep_for(request_interval * i /
                                        ((node_count - 1) * clients_per_node));
            while (!stop) {
                char id[32];
                std::snprintf(id, sizeof id, "%016x", 0x10000 + next++);
                {
                    const std::lock_guard lock(mutex);
                    sent[id] = record.seconds();
                }
                const auto in = caller.send("POST", "shop.example", std::string("/order/") + id, id,
                                            deadline, "a print");
                record.write("client of " + entry.name() + " got " + std::to_string(in.status()) +
                             " for " + id);
                std::this_thread::sleep_for(request_interval);
            }
        });
    }

    const double start_s = record.seconds() + 4;
    sleep_until(record, start_s);
    const auto late = leaving.registration("ready", 5);
    if (trouble) {
        record.say(leaving.id() + " writes that it is ready, sequence 5; this is done later");
    }
    sleep_until(record, start_s + lost_until_s);
    sleep_until(record, start_s + stopped_s);
    nodes[restarted]->signal(SIGTERM);
    sleep_until(record, start_s + drain_reported_s);
    leaving.leave();
    platform.put(key, leaving.registration("draining", 8));
    const double acknowledged_s = record.seconds();
    record.say(leaving.id() + " reports that it is draining, sequence 8: acknowledged");
    sleep_until(record, start_s + write_done_s);
    if (trouble) {
        platform.put(key, late);
        record.say("the late write is done: ready, sequence 5");
    }
    sleep_until(record, start_s + started_s);
    if (nodes[restarted]->runs()) {
        record.say("the stopped node still runs");
        return 2;
    }
    nodes[restarted]->start();
    record.say(nodes[restarted]->name() + " starts again");
    sleep_until(record, start_s + next_heartbeat_s);
    if (trouble) {
        platform.put(key, leaving.registration("draining", 11));
        record.say(leaving.id() + " writes its next heartbeat: draining, sequence 11");
    }
    sleep_until(record, start_s + watched_until_s);
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
    for (const auto& it : runs) {
        if (sent.at(it.id) > acknowledged_s + drain_s) {
            ++broken;
            char text[160];
            std::snprintf(text, sizeof text,
                          "DRAIN: %s was sent %.3f s after the acknowledgement "
                          "and runs at %s",
                          it.id.c_str(), sent.at(it.id) - acknowledged_s, leaving.id().c_str());
            record.say(text);
        }
    }
    for (const auto& it : nodes) {
        it->copy_log(" config: ", record);
        it->copy_log(" platform: ", record);
    }
    record.say("requests at the draining endpoint after drain_s: " + std::to_string(broken) +
               " of " + std::to_string(sent.size()) + " requests");
    if (!all_run || runs.empty()) {
        record.say("a node ended, or the endpoint got nothing before: the case says nothing");
        return 2;
    }
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        std::fprintf(stderr, "usage: late_write FOLDER REPOSITORY RECORD\n");
        return 2;
    }
    finish(play(arguments[1], arguments[2], arguments[3]));
}
