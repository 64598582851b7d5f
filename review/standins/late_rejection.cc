// Case: an endpoint that is full rejects a request, and later sends that rejection a second time on
// the same connection, at the point where the answer to the next request there is due. Sometimes
// the next request is the next attempt of the rejected one, which has the same id.
#include "standins.hh"

using namespace review;

namespace {

constexpr int node_count = 12;
constexpr int clients_per_node = 4;
constexpr auto traffic_time = std::chrono::seconds(90);
constexpr milliseconds deadline{12'000};

// The disruption: garble, how = "extra late", at one endpoint, 0.03 of its answers, for 5 s,
// several times with a pause of 1 s.
constexpr double copied_share = 0.03;
constexpr double trouble_s = 5;
constexpr double pause_s = 1;

std::string request_id(int number) {
    char text[32];
    std::snprintf(text, sizeof text, "%016x", 0x10000 + number);
    return text;
}

/// Sends orders one after the other on a kept connection, each with its own id.
void send_orders(const node& entry, int seed, const std::atomic<bool>& stop, std::atomic<int>& next,
                 std::mutex& mutex, std::map<std::string, int>& answers, recorder& record) {
    client caller(entry.front);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    while (!stop) {
        const auto id = request_id(next++);
        const auto in =
            caller.send("POST", "shop.example", "/order/" + id, id, deadline, "a print");
        const bool is_signed = !in.field("x-wigeonrill-response-signature").empty();
        record.write("client of " + entry.name() + " got " + std::to_string(in.status()) + " for " +
                     id + (is_signed ? " signed" : ""));
        {
            const std::lock_guard lock(mutex);
            answers[id] = in.status();
        }
        std::this_thread::sleep_for(milliseconds(20 + random() % 60));
    }
}

/// Objects are never destroyed, since threads of the stand-ins use them until the process ends.
int play(const std::string& folder, const std::string& repository, const std::string& record_path) {
    const bool trouble = environment("TROUBLE", "1") != "0";
    auto& record = *new recorder(record_path);
    record.say(std::string("disruption: ") + (trouble ? "late copies of answers" : "none"));

    auto& platform = *new store;
    const int store_port = platform.open(std::make_shared<std::atomic<bool>>(false));
    endpoint::behaviour sound;
    sound.capacity = 2;
    sound.queue = 2;
    sound.work = milliseconds(20);
    auto faulty = sound;
    faulty.copies = [trouble, &record] {
        const double phase = std::fmod(record.seconds(), trouble_s + pause_s);
        return trouble && phase < trouble_s ? copied_share : 0.0;
    };
    auto& press = *new endpoint("i-press", "press", faulty, record, 1);
    auto& desk = *new endpoint("i-desk", "desk", sound, record, 2);
    platform.put("op/config", operator_configuration(1, "press", "desk"));
    platform.put("servers/i-press", press.registration("ready", 1));
    platform.put("servers/i-desk", desk.registration("ready", 1));

    std::vector<std::unique_ptr<node>> nodes;
    std::vector<int> seeds;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>("node-" + std::to_string(i), folder, repository));
        if (i < 3) {
            seeds.push_back(nodes.back()->control);
        }
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
    std::this_thread::sleep_for(milliseconds(2'000)); // the nodes get to know each other
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::atomic<int> next{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < node_count * clients_per_node; ++i) {
        const auto& entry = *nodes[static_cast<std::size_t>(i % node_count)];
        clients.emplace_back(
            [&, i] { send_orders(entry, 100 + i, stop, next, mutex, answers, record); });
    }
    std::this_thread::sleep_for(traffic_time);
    stop = true;
    for (auto& it : clients) {
        it.join();
    }
    std::this_thread::sleep_for(milliseconds(1'000));
    bool all_run = true;
    for (auto& it : nodes) {
        all_run = it->runs() && all_run;
        it->signal(SIGKILL);
    }

    const auto runs = press.runs();
    int twice = 0;
    int refused = 0;
    std::map<int, int> statuses;
    for (const auto& [id, status] : answers) {
        ++statuses[status];
        const int n = runs.contains(id) ? runs.at(id) : 0;
        const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
        if (n > 1 || (promise && n > 0)) {
            twice += n > 1 ? 1 : 0;
            refused += promise ? 1 : 0;
            record.say(std::string(promise ? "REFUSED: " : "TWICE: ") + id + " was answered " +
                       std::to_string(status) + " and ran " + std::to_string(n) + " time(s)");
            for (const auto& it : nodes) {
                it->copy_log("id=" + id, record);
            }
        }
    }
    std::string text = "answers by status:";
    for (const auto& [status, n] : statuses) {
        text += " " + std::to_string(status) + ": " + std::to_string(n);
    }
    record.say(text);
    record.say("orders that ran more than once: " + std::to_string(twice) +
               "; orders refused as not run, though they ran: " + std::to_string(refused));
    if (!all_run || statuses[200] < 100) {
        record.say("a node ended, or too little was served: the case says nothing");
        return 2;
    }
    return twice + refused > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        std::fprintf(stderr, "usage: late_rejection FOLDER REPOSITORY RECORD\n");
        return 2;
    }
    finish(play(arguments[1], arguments[2], arguments[3]));
}
