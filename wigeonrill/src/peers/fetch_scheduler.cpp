#include "wigeonrill/peers.h"

namespace wigeonrill::peers {

namespace {

// Enough that a node finds one that isn't busy among those that got a new version first.
constexpr std::size_t max_version_sources = 32;
// As many as the configuration_store remembers.
constexpr std::size_t max_rejected_versions = 64;
constexpr std::uint32_t peers_at_start = 2;
// A starting node that asked 8 peers without two answers stops waiting for peers and relies on the
// platform as the source of the configuration.
constexpr std::size_t max_asked_at_start = 8;
// This many refusals by busy peers don't count as asked, so that a mass restart doesn't use up the
// 8 peers within a second.
constexpr std::uint32_t max_refusals_at_start = 16;
// Longest delay after the announcement of a new version. Many nodes learn of it at the same time
// from the node that read it; the random delay spreads their requests.
constexpr milliseconds new_version_delay{150};
// Longest delay of the first request; spreads the requests after a mass restart.
constexpr milliseconds start_delay{1'000};
// Longest delay until a busy source is asked again. A node with 0.1 cores announces a version to 93
// others, each of which then asks it 7 times a second on average.
constexpr milliseconds busy_delay{300};
// Longest delay until another source is asked after a failure or a busy answer; keeps answers that
// come at once from causing a tight loop.
constexpr milliseconds next_source_delay{100};
// A change has to be in force everywhere within 2.5 s. A call without progress for an eighth of
// this time doesn't keep the node from asking another source; the rest is left for the transfer.
constexpr milliseconds silence_until_second_request{300};
// A call that makes progress for longer than this gets a second one beside it, so that a peer that
// sends single bytes doesn't hold up the node. A whole configuration of 300 KB takes 240 ms over
// 10 Mbit/s.
constexpr milliseconds duration_until_second_request{1'500};
constexpr milliseconds first_backoff{500};
constexpr std::uint32_t max_backoff_doublings = 5;

} // namespace

fetch_scheduler::fetch_scheduler(random_source& random, instant now) : random_(random) {
    delay_requests(now, start_delay);
}

void fetch_scheduler::set_version(std::uint64_t version) {
    if (version <= version_) {
        return;
    }
    version_ = version;
    asks_for_all_shards_ = false;
    forget_unwanted_sources();
}

void fetch_scheduler::reject_version(std::uint64_t version) {
    if (!is_wanted(version)) {
        return;
    }
    if (rejected_versions_.size() == max_rejected_versions) {
        rejected_versions_.pop_front();
    }
    rejected_versions_.push_back(version);
    forget_unwanted_sources();
}

void fetch_scheduler::handle_base_mismatch(const fetch_request& request, std::uint64_t version) {
    if (!is_wanted(version)) {
        return;
    }
    // Otherwise another version came into force during the request.
    asks_for_all_shards_ = asks_for_all_shards_ || request.since == version_;
    if (find_source(request.from) == nullptr) {
        add_source(request.from, version);
    }
}

void fetch_scheduler::forget_unwanted_sources() {
    std::erase_if(rejected_versions_, [&](std::uint64_t it) { return it <= version_; });
    std::erase_if(version_sources_,
                  [&](const version_source& it) { return !is_wanted(it.version); });
    if (version_sources_.empty()) {
        behind_since_.reset();
    }
}

void fetch_scheduler::add_source(const node_id& peer, std::uint64_t version) {
    version_sources_.push_back({peer, version});
    if (version_sources_.size() > max_version_sources) {
        version_sources_.erase(
            std::ranges::min_element(version_sources_, {}, &version_source::version));
    }
}

nanoseconds fetch_scheduler::behind_for(instant now) const {
    return behind_since_ ? now - *behind_since_ : nanoseconds(0);
}

bool fetch_scheduler::is_wanted(std::uint64_t version) const {
    return version > version_ &&
           std::ranges::find(rejected_versions_, version) == rejected_versions_.end();
}

const fetch_scheduler::version_source* fetch_scheduler::find_source(const node_id& peer) const {
    const auto it = std::ranges::find(version_sources_, peer, &version_source::peer);
    return it == version_sources_.end() ? nullptr : &*it;
}

fetch_scheduler::version_source* fetch_scheduler::find_source(const node_id& peer) {
    const auto it = std::ranges::find(version_sources_, peer, &version_source::peer);
    return it == version_sources_.end() ? nullptr : &*it;
}

void fetch_scheduler::record_peer_version(const node_id& peer, std::uint64_t version, instant now) {
    if (!is_wanted(version)) {
        return;
    }
    if (!behind_since_) {
        behind_since_ = now;
    }
    if (const auto it = in_flight_.find(peer); it != in_flight_.end()) {
        it->second.version = std::max(it->second.version, version);
    }
    if (auto* known = find_source(peer)) {
        known->version = version;
        return;
    }
    if (version_sources_.empty() && failed_rounds_ == 0) {
        delay_requests(now, new_version_delay);
    } else if (failed_rounds_ > 0 && !std::exchange(backoff_shortened_, true)) {
        not_before_ = std::min(not_before_, random_time(now, new_version_delay));
    }
    add_source(peer, version);
}

std::optional<fetch_request> fetch_scheduler::next_request(instant now,
                                                           const peer_selector& choose_peer) {
    const bool starting = !start_completed_;
    if (now < not_before_ || !may_start_request(now)) {
        return std::nullopt;
    }
    auto peer = choose_version_source(now);
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
    const auto* source = find_source(*peer);
    in_flight_.emplace(*peer, pending_request{now, now, source != nullptr ? source->version : 0});
    return fetch_request{*peer, asks_for_all_shards_ ? 0 : version_, failed_rounds_ > 0};
}

bool fetch_scheduler::may_start_request(instant now) const {
    constexpr std::size_t max_in_flight = 2;
    static_assert(peers_at_start <= max_in_flight);
    if (in_flight_.size() >= max_in_flight) {
        return false;
    }
    return !start_completed_ || std::ranges::all_of(in_flight_, [&](const auto& it) {
        return now >= it.second.progressed + silence_until_second_request ||
               now >= it.second.started + duration_until_second_request;
    });
}

bool fetch_scheduler::can_be_asked(const version_source& source, instant now) const {
    // During the start the second answer must come from another peer than the first.
    const bool asked = in_flight_.contains(source.peer) ||
                       (!start_completed_ && asked_at_start_.contains(source.peer));
    return !asked && !source.failed && now >= source.not_before;
}

std::optional<node_id> fetch_scheduler::choose_version_source(instant now) {
    std::vector<const version_source*> newest;
    for (const auto& it : version_sources_) {
        if (!can_be_asked(it, now)) {
            continue;
        }
        if (!newest.empty() && newest.front()->version < it.version) {
            newest.clear();
        }
        if (newest.empty() || newest.front()->version == it.version) {
            newest.push_back(&it);
        }
    }
    if (newest.empty()) {
        return std::nullopt;
    }
    return newest[random_.next_below(newest.size())]->peer;
}

std::optional<node_id> fetch_scheduler::choose_for_start(const peer_selector& choose_peer) {
    auto peer = choose_peer(asked_at_start_);
    no_peer_left_ = !peer;
    return peer;
}

// While the node starts, peers are asked that have announced nothing. Whether the peer is still
// remembered as a source says nothing, since few sources are.
bool fetch_scheduler::is_request_needed(const node_id& peer) const {
    const auto it = in_flight_.find(peer);
    return !start_completed_ || (it != in_flight_.end() && is_wanted(it->second.version));
}

void fetch_scheduler::request_cancelled(const node_id& peer) {
    in_flight_.erase(peer);
}

void fetch_scheduler::request_progressed(const node_id& peer, instant now) {
    if (const auto it = in_flight_.find(peer); it != in_flight_.end()) {
        it->second.progressed = now;
    }
}

void fetch_scheduler::request_finished(const node_id& peer, bool answered, instant now) {
    if (in_flight_.erase(peer) == 0) {
        return;
    }
    if (answered) {
        // This peer is asked again only after it announces its version again.
        std::erase_if(version_sources_, [&](const version_source& it) { return it.peer == peer; });
        start_answers_ = std::min(start_answers_ + 1, peers_at_start);
        failed_rounds_ = 0;
        update_start_completed();
        return;
    }
    update_start_completed();
    record_failure(peer, now);
}

void fetch_scheduler::record_failure(const node_id& peer, instant now) {
    if (auto* source = find_source(peer)) {
        source->failed = true;
    }
    const bool source_left =
        std::ranges::any_of(version_sources_, [](const version_source& it) { return !it.failed; });
    if (source_left) {
        delay_requests(now, next_source_delay);
        return;
    }
    for (auto& it : version_sources_) {
        it.failed = false;
    }
    backoff_shortened_ = false;
    failed_rounds_ = std::min(failed_rounds_ + 1, max_backoff_doublings + 1);
    delay_requests(now, first_backoff * (1U << (failed_rounds_ - 1)));
}

void fetch_scheduler::request_refused(const node_id& peer, instant now) {
    if (in_flight_.erase(peer) == 0) {
        return;
    }
    if (auto* source = find_source(peer)) {
        source->not_before = random_time(now, busy_delay);
    }
    delay_requests(now, next_source_delay);
    if (!start_completed_ && start_refusals_ < max_refusals_at_start) {
        ++start_refusals_;
        asked_at_start_.erase(peer);
        delay_requests(now, busy_delay);
    }
    update_start_completed();
}

instant fetch_scheduler::random_time(instant now, milliseconds longest) {
    const auto span = std::chrono::duration<double, std::milli>(longest) * random_.uniform();
    return now + std::chrono::duration_cast<instant::duration>(span);
}

void fetch_scheduler::delay_requests(instant now, milliseconds longest) {
    not_before_ = random_time(now, longest);
}

void fetch_scheduler::update_start_completed() {
    const bool exhausted = no_peer_left_ || asked_at_start_.size() >= max_asked_at_start;
    start_completed_ =
        start_completed_ || start_answers_ >= peers_at_start || (exhausted && in_flight_.empty());
}

} // namespace wigeonrill::peers
