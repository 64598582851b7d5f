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

// A change has to be in force on all nodes within 2.5 s. A peer that sends nothing for this long is
// given up, so that two such peers leave time for a third one.
constexpr milliseconds silence_limit{1'500};
// The same once all known sources have failed. A control thread that is late answers within 2 s.
constexpr milliseconds patient_silence_limit{4'000};
// Longest time of a call that makes progress. A whole configuration of 300 KB needs 80 kbit/s.
constexpr milliseconds call_limit{30'000};

finished_fetch call_peer(const peers::fetch_request& request, const config::change_base& base,
                         const std::shared_ptr<peers::transfer_progress>& progress,
                         const clock_source* clock) {
    peers::change_client_limits limits;
    limits.total = call_limit;
    limits.silence = request.patient ? patient_silence_limit : silence_limit;
    limits.may_refuse = true;
    const auto started = clock->now();
    const auto address = parse_endpoint(request.from.value);
    auto changes = address ? peers::fetch_changes(*address, base, limits, progress.get())
                           : result<config::change_set>(tl::unexpected<error>(address.error()));
    const auto duration = std::chrono::duration_cast<milliseconds>(clock->now() - started);
    return {request,          std::move(changes), progress->bytes(),
            progress->wait(), duration,           progress->is_cancelled()};
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
    for (const auto& it : fetches_) {
        it.progress->cancel();
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
            run_fetches();
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
            link_->receive(fetches_.empty() ? remaining : std::min(remaining, datagram_pause));
            loop_.exchange_events();
            run_fetches();
            link_->flush();
            std::this_thread::sleep_for(std::min(remaining, datagram_pause));
        }
    }
}

void control_thread::run_fetches() {
    std::vector<finished_fetch> ended;
    for (auto& it : fetches_) {
        if (it.progress->bytes() > std::exchange(it.bytes_seen, it.progress->bytes())) {
            gossip_->fetch_progressed(it.peer);
        }
        if (!gossip_->is_fetch_needed(it.peer)) {
            it.progress->cancel();
        }
        if (it.result.wait_for(seconds(0)) == std::future_status::ready) {
            ended.push_back(it.result.get());
        }
    }
    std::erase_if(fetches_, [](const running_fetch& it) { return !it.result.valid(); });
    for (const auto& it : ended) {
        end_fetch(it);
    }
    if (const auto request = gossip_->take_fetch_request()) {
        auto progress = std::make_shared<peers::transfer_progress>();
        // Another version may have come into force, or all shards are asked for.
        const auto held = loop_.base();
        const auto base =
            held.version == request->since ? held : config::change_base{request->since, {}};
        auto result = std::async(std::launch::async, call_peer, *request, base, progress, &clock_);
        fetches_.push_back({request->from, std::move(progress), 0, std::move(result)});
    }
}

void control_thread::end_fetch(const finished_fetch& ended) {
    const auto& answer = ended.answer;
    loop_.log_fetch(ended);
    switch (ended.outcome()) {
    case fetch_outcome::cancelled:
        gossip_->fetch_cancelled(ended.request.from);
        return;
    case fetch_outcome::busy:
        gossip_->fetch_refused(ended.request.from);
        break;
    case fetch_outcome::answered:
    case fetch_outcome::failed:
        gossip_->fetch_finished(ended.request.from, answer.has_value());
        break;
    }
    gossip_->count_transfer(0, answer ? content_bytes(*answer) : 0);
    if (!answer || answer->version <= ended.request.since) {
        return;
    }
    const auto outcome = loop_.apply_changes(*answer, ended.request.from.value);
    if (outcome == config::apply_outcome::base_mismatch && ended.request.since != 0) {
        // Both nodes have read the platform, so that the peer's changes refer to another base
        // version than the one in force here, or that one changed during the call.
        gossip_->handle_base_mismatch(ended.request, answer->version);
    }
}

} // namespace wigeonrill::daemon
