#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

constexpr std::size_t task_capacity = 1024;
// Datagrams are collected for this long and handled together, since a wake-up for each costs more
// processor time than its content.
constexpr milliseconds datagram_pause{10};

std::size_t content_bytes(const config::change_set& changes) {
    std::size_t bytes = 0;
    for (const auto& it : changes.changed) {
        bytes += it.content.size();
    }
    return bytes;
}

} // namespace

control_thread::control_thread(control_loop& loop, peers::peer_link* link,
                               peers::gossip_node* gossip, const clock_source& clock)
    : loop_(loop), link_(link), gossip_(gossip), clock_(clock), tasks_(task_capacity) {}

control_thread::~control_thread() {
    stop();
}

void control_thread::stop() {
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    fetches_.clear(); // the destructors of the futures wait for the calls to peers
}

void control_thread::start() {
    thread_ = std::thread([this] { run(); });
}

void control_thread::post(task work) {
    tasks_.push(std::move(work));
}

void control_thread::run() {
    instant next_tick = clock_.now();
    instant next_gossip = next_tick;
    while (!stopping_) {
        run_tasks();
        loop_.run_once();
        next_tick += control_loop::tick_period;
        const auto now = clock_.now();
        if (next_tick < now) {
            // Ticks that were missed during a pause are skipped.
            next_tick = now + control_loop::tick_period;
        }
        if (link_ != nullptr) {
            if (now >= next_gossip) {
                link_->tick();
                next_gossip = now + peers::gossip_node::tick_interval;
            }
            link_->flush();
            fetch_if_due();
        }
        wait_for_datagrams(next_tick);
    }
}

void control_thread::run_tasks() {
    for (const auto& it : tasks_.take_all()) {
        it();
    }
}

void control_thread::wait_for_datagrams(instant until) {
    for (auto now = clock_.now(); now < until && !stopping_; now = clock_.now()) {
        const auto remaining = std::chrono::ceil<milliseconds>(until - now);
        if (link_ == nullptr) {
            std::this_thread::sleep_for(remaining);
        } else {
            link_->receive(remaining);
            loop_.exchange_events();
            link_->flush();
            std::this_thread::sleep_for(std::min(remaining, datagram_pause));
        }
    }
}

void control_thread::fetch_if_due() {
    if (const auto request = gossip_->take_fetch_request()) {
        // Removes finished calls. The fetch scheduler allows at most two at a time.
        std::erase_if(fetches_, [](const std::future<void>& it) {
            return it.wait_for(seconds(0)) == std::future_status::ready;
        });
        fetches_.push_back(std::async(std::launch::async, [this, it = *request] { fetch(it); }));
    }
}

void control_thread::apply_fetched_changes(const peers::fetch_request& request,
                                           const config::change_set& changes) {
    const auto outcome = loop_.apply_changes(changes, request.from.value);
    if (outcome == config::apply_outcome::base_mismatch && request.since != 0) {
        // Both nodes have read the platform, so that the peer's changes refer to another base
        // version than the one in force here. Fetches the whole configuration instead.
        fetches_.push_back(std::async(std::launch::async, [this, from = request.from] {
            fetch({from, 0});
        }));
    }
}

void control_thread::fetch(const peers::fetch_request& request) {
    const auto address = parse_endpoint(request.from.value);
    const auto started = clock_.now();
    peers::transfer_progress progress;
    auto changes = address ? peers::fetch_changes(*address, request.since, {}, &progress)
                           : result<config::change_set>(tl::unexpected<error>(address.error()));
    const auto duration = std::chrono::duration_cast<milliseconds>(clock_.now() - started);
    post([this, ended = finished_fetch{request, std::move(changes), progress.bytes(),
                                       progress.wait(), duration}] { end_fetch(ended); });
}

void control_thread::end_fetch(const finished_fetch& ended) {
    const auto& answer = ended.answer;
    gossip_->fetch_finished(ended.request.from, answer.has_value());
    gossip_->count_transfer(0, answer ? content_bytes(*answer) : 0);
    loop_.log_fetch(ended);
    if (answer && answer->version > ended.request.since) {
        apply_fetched_changes(ended.request, *answer);
    }
}

} // namespace wigeonrill::daemon
