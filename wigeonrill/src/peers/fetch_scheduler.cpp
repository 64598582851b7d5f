#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

constexpr std::size_t max_version_sources = 4;
constexpr std::uint32_t peers_at_start = 2;
// A starting node that asked 8 peers without two answers stops waiting for peers and relies on the
// platform as the source of the configuration.
constexpr std::size_t max_asked_at_start = 8;
// Longest delay after the announcement of a new version. Many nodes learn of it at the same time
// from the node that read it; the random delay spreads their requests.
constexpr milliseconds new_version_delay{150};
// Longest delay of the first request; spreads the requests after a mass restart.
constexpr milliseconds start_delay{1'000};
constexpr milliseconds first_backoff{500};
constexpr std::uint32_t max_backoff_doublings = 5;

} // namespace

fetch_scheduler::fetch_scheduler(random_source& random, instant now) : random_(random) {
    delay_requests(now, start_delay);
}

void fetch_scheduler::set_version(std::uint64_t version) {
    version_ = std::max(version_, version);
    std::erase_if(version_sources_,
                  [&](const version_source& it) { return !is_wanted(it.version); });
}

void fetch_scheduler::reject_version(std::uint64_t version) {
    rejected_version_ = std::max(rejected_version_, version);
    std::erase_if(version_sources_,
                  [&](const version_source& it) { return !is_wanted(it.version); });
}

bool fetch_scheduler::is_wanted(std::uint64_t version) const {
    return version > std::max(version_, rejected_version_);
}

void fetch_scheduler::record_peer_version(const node_id& peer, std::uint64_t version, instant now) {
    if (!is_wanted(version)) {
        return;
    }
    if (version_sources_.empty() && consecutive_failures_ == 0) {
        delay_requests(now, new_version_delay);
    }
    std::erase_if(version_sources_, [&](const version_source& it) { return it.peer == peer; });
    if (version_sources_.size() == max_version_sources) {
        version_sources_.erase(version_sources_.begin());
    }
    version_sources_.push_back({peer, version});
}

std::optional<fetch_request> fetch_scheduler::next_request(instant now,
                                                           const peer_selector& choose_peer) {
    const bool starting = !start_completed_;
    if (now < not_before_ || in_flight_.size() >= (starting ? peers_at_start : 1)) {
        return std::nullopt;
    }
    auto peer = choose_version_source();
    if (!peer && starting && asked_at_start_.size() < max_asked_at_start) {
        peer = choose_for_start(choose_peer);
    }
    if (!peer) {
        update_start_completed();
        return std::nullopt;
    }
    if (starting) {
        asked_at_start_.insert(*peer);
    }
    in_flight_.insert(*peer);
    return fetch_request{*peer, version_};
}

std::optional<node_id> fetch_scheduler::choose_version_source() const {
    const version_source* newest = nullptr;
    for (const auto& it : version_sources_) {
        const bool newer = newest == nullptr || it.version >= newest->version;
        // During the start the second answer must come from another peer than the first.
        const bool asked = in_flight_.contains(it.peer) ||
                           (!start_completed_ && asked_at_start_.contains(it.peer));
        if (newer && !asked) {
            newest = &it;
        }
    }
    return newest == nullptr ? std::nullopt : std::optional(newest->peer);
}

std::optional<node_id> fetch_scheduler::choose_for_start(const peer_selector& choose_peer) {
    auto peer = choose_peer(asked_at_start_);
    no_peer_left_ = !peer;
    return peer;
}

void fetch_scheduler::request_finished(const node_id& peer, bool answered, instant now) {
    if (in_flight_.erase(peer) == 0) {
        return;
    }
    // This peer is asked again only after it announces its version again.
    std::erase_if(version_sources_, [&](const version_source& it) { return it.peer == peer; });
    if (answered) {
        start_answers_ = std::min(start_answers_ + 1, peers_at_start);
        consecutive_failures_ = 0;
        update_start_completed();
        return;
    }
    update_start_completed();
    consecutive_failures_ = std::min(consecutive_failures_ + 1, max_backoff_doublings + 1);
    delay_requests(now, first_backoff * (1U << (consecutive_failures_ - 1)));
}

void fetch_scheduler::delay_requests(instant now, milliseconds longest) {
    const auto span = std::chrono::duration<double, std::milli>(longest) * random_.uniform();
    not_before_ = now + std::chrono::duration_cast<instant::duration>(span);
}

void fetch_scheduler::update_start_completed() {
    const bool exhausted = no_peer_left_ || asked_at_start_.size() >= max_asked_at_start;
    start_completed_ =
        start_completed_ || start_answers_ >= peers_at_start || (exhausted && in_flight_.empty());
}

} // namespace wigeonrill::peers
