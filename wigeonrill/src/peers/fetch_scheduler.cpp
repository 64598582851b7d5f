#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

constexpr std::size_t max_holders = 4;
constexpr std::uint32_t peers_at_start = 2;
// A node that can't reach 8 peers stops waiting for peers; the platform is the other source.
constexpr std::size_t max_asked_at_start = 8;
// Spreads the nodes that hear of a version at once from the node that read it.
constexpr milliseconds news_delay{150};
// Spreads the first requests of a mass restart.
constexpr milliseconds start_delay{1'000};
constexpr milliseconds first_backoff{500};
constexpr std::uint32_t max_backoff_doublings = 5;

} // namespace

fetch_scheduler::fetch_scheduler(random_source& random, instant now) : random_(random) {
    delay(now, start_delay);
}

void fetch_scheduler::set_version(std::uint64_t version) {
    version_ = std::max(version_, version);
    std::erase_if(holders_, [&](const holder& it) { return !behind(it.version); });
}

void fetch_scheduler::skip(std::uint64_t version) {
    skipped_ = std::max(skipped_, version);
    std::erase_if(holders_, [&](const holder& it) { return !behind(it.version); });
}

bool fetch_scheduler::behind(std::uint64_t version) const {
    return version > std::max(version_, skipped_);
}

void fetch_scheduler::heard(const node_id& peer, std::uint64_t version, instant now) {
    if (!behind(version)) {
        return;
    }
    if (holders_.empty() && failures_ == 0) {
        delay(now, news_delay);
    }
    std::erase_if(holders_, [&](const holder& it) { return it.peer == peer; });
    if (holders_.size() == max_holders) {
        holders_.erase(holders_.begin());
    }
    holders_.push_back({peer, version});
}

std::optional<fetch_request> fetch_scheduler::next(instant now, const peer_choice& any_peer) {
    const bool starting = !started_;
    if (now < not_before_ || in_flight_.size() >= (starting ? peers_at_start : 1)) {
        return std::nullopt;
    }
    auto peer = choose_holder();
    if (!peer && starting && asked_at_start_.size() < max_asked_at_start) {
        peer = choose_for_start(any_peer);
    }
    if (!peer) {
        check_start();
        return std::nullopt;
    }
    if (starting) {
        asked_at_start_.insert(*peer);
    }
    in_flight_.insert(*peer);
    return fetch_request{*peer, version_};
}

std::optional<node_id> fetch_scheduler::choose_holder() const {
    const holder* newest = nullptr;
    for (const auto& it : holders_) {
        const bool newer = newest == nullptr || it.version >= newest->version;
        // At the start the second answer must come from another peer.
        const bool asked =
            in_flight_.contains(it.peer) || (!started_ && asked_at_start_.contains(it.peer));
        if (newer && !asked) {
            newest = &it;
        }
    }
    return newest == nullptr ? std::nullopt : std::optional(newest->peer);
}

std::optional<node_id> fetch_scheduler::choose_for_start(const peer_choice& any_peer) {
    auto peer = any_peer(asked_at_start_);
    no_peer_left_ = !peer;
    return peer;
}

void fetch_scheduler::finished(const node_id& peer, bool answered, instant now) {
    if (in_flight_.erase(peer) == 0) {
        return;
    }
    // The holder is asked again only after it sends its version again.
    std::erase_if(holders_, [&](const holder& it) { return it.peer == peer; });
    if (answered) {
        answers_ = std::min(answers_ + 1, peers_at_start);
        failures_ = 0;
        check_start();
        return;
    }
    check_start();
    failures_ = std::min(failures_ + 1, max_backoff_doublings + 1);
    delay(now, first_backoff * (1U << (failures_ - 1)));
}

void fetch_scheduler::delay(instant now, milliseconds longest) {
    const auto span = std::chrono::duration<double, std::milli>(longest) * random_.uniform();
    not_before_ = now + std::chrono::duration_cast<instant::duration>(span);
}

void fetch_scheduler::check_start() {
    const bool exhausted = no_peer_left_ || asked_at_start_.size() >= max_asked_at_start;
    started_ = started_ || answers_ >= peers_at_start || (exhausted && in_flight_.empty());
}

} // namespace wigeonrill::peers
