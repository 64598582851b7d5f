#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

namespace {

// Limits the memory for rejected versions; the oldest is dropped first.
constexpr std::size_t max_skipped_versions = 64;

milliseconds scale(milliseconds duration, double factor) {
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

} // namespace

manifest_reader::manifest_reader(manifest_reader_settings settings, random_source& random,
                                 instant now)
    : settings_(std::move(settings)), random_(&random),
      budget_(settings_.calls_per_second, settings_.call_burst),
      backoff_(settings_.first_backoff, settings_.max_backoff),
      next_poll_at_(now + scale(settings_.start_delay, random.uniform())), backoff_until_(now) {}

void manifest_reader::set_version_in_force(version_in_force held) {
    version_in_force_ = std::move(held);
    if (manifest_in_progress_) {
        plan_shard_reads();
    }
}

void manifest_reader::set_vms(const std::vector<config::vm_record>& vms) {
    watching_ = is_watcher(settings_.self, vms);
}

void manifest_reader::skip(std::uint64_t version, const std::string& digest) {
    skipped_versions_.emplace_back(version, digest);
    if (skipped_versions_.size() > max_skipped_versions) {
        skipped_versions_.erase(skipped_versions_.begin());
    }
}

void manifest_reader::schedule_poll(instant now) {
    next_poll_at_ = now + scale(settings_.poll_mean, 0.5 + random_->uniform());
}

manifest_reader_call manifest_reader::next_call(instant now) {
    auto ready = std::max(backoff_until_, budget_.available_at(now));
    // A watcher doesn't wait for the time of the next poll, except for its first read after the
    // start.
    if (!manifest_in_progress_ && !(watching_ && manifest_index_ != 0)) {
        ready = std::max(ready, next_poll_at_);
    }
    manifest_reader_call call;
    if (ready > now) {
        call.until = ready;
        return call;
    }
    budget_.take(now);
    last_call_at_ = now;
    call.what = manifest_reader_call::kind::get;
    if (manifest_in_progress_) {
        call.key = shard_key(missing_shards_.front());
        return call;
    }
    call.key = manifest_key;
    if (watching_ && manifest_index_ != 0) {
        call.what = manifest_reader_call::kind::watch;
        call.after = manifest_index_;
        call.wait = settings_.watch_wait;
    }
    return call;
}

void manifest_reader::handle_answer(const manifest_reader_call& call,
                                    const result<std::optional<stored_value>>& answer,
                                    instant now) {
    if (!answer) {
        schedule_retry(now, answer.error());
        return;
    }
    const bool repeated =
        call.what == manifest_reader_call::kind::watch && *answer && (*answer)->index == call.after;
    if (!*answer || repeated) {
        handle_unchanged(call, now);
    } else if (call.key == manifest_key) {
        handle_manifest(**answer, now);
    } else {
        handle_shard(call, **answer, now);
    }
}

// Handles an answer that says that the last manifest is still the newest one.
void manifest_reader::handle_unchanged(const manifest_reader_call& call, instant now) {
    if (last_manifest_version_ == version_in_force_.version &&
        last_manifest_digest_ == version_in_force_.digest) {
        events_.push_back(
            {manifest_reader_event::kind::confirmed, {}, version_in_force_.version, {}});
    }
    // Without the backoff, a service that answers watches at once would be called in a loop.
    if (now - last_call_at_ < call.wait / 2) {
        backoff_until_ = now + backoff_.next_delay(*random_);
    } else {
        backoff_.reset();
    }
}

void manifest_reader::handle_manifest(const stored_value& value, instant now) {
    schedule_poll(now);
    auto parsed = parse_manifest(value.content);
    if (!parsed) {
        schedule_retry(now, parsed.error());
        return;
    }
    manifest_index_ = value.index;
    last_manifest_version_ = parsed->version;
    last_manifest_digest_ = parsed->digest;
    evaluate_manifest(std::move(*parsed));
    // While shards are to be read, the backoff stays: if a shard is missing, each retry reads the
    // manifest again, and after a reset that would happen every second.
    if (!manifest_in_progress_) {
        backoff_.reset();
    }
}

// Compares a manifest with the version in force. Starts to read its shards if it is newer and was
// not rejected before.
void manifest_reader::evaluate_manifest(manifest next) {
    const auto version = "version " + std::to_string(next.version);
    if (next.version < version_in_force_.version) {
        report_problem({error_kind::conflict,
                        "platform: serves " + version + ", older than version " +
                            std::to_string(version_in_force_.version) + " in force",
                        "check the platform's replicas; the version in force stays"});
        return;
    }
    if (next.version == version_in_force_.version) {
        if (next.digest == version_in_force_.digest) {
            events_.push_back(
                {manifest_reader_event::kind::confirmed, {}, version_in_force_.version, {}});
            return;
        }
        report_problem({error_kind::conflict,
                        "platform: serves another content for " + version + " in force",
                        "publish the content under a new version"});
        return;
    }
    const std::pair identity{next.version, next.digest};
    if (std::ranges::find(skipped_versions_, identity) != skipped_versions_.end()) {
        return;
    }
    if (collected_manifest_digest_ != next.digest) {
        collected_shards_.clear();
        collected_manifest_digest_ = next.digest;
    }
    manifest_in_progress_ = std::move(next);
    plan_shard_reads();
}

// Lists the shards that are neither part of the version in force nor collected yet. Emits the
// change set if there are none, and drops the manifest if it is no longer newer than the version in
// force.
void manifest_reader::plan_shard_reads() {
    if (manifest_in_progress_->version <= version_in_force_.version) {
        drop_read_state();
        return;
    }
    missing_shards_.clear();
    for (const auto& it : manifest_in_progress_->shards) {
        const bool held = std::ranges::binary_search(version_in_force_.shards, it.name, {},
                                                     &config::shard_entry::name) &&
                          *std::ranges::lower_bound(version_in_force_.shards, it.name, {},
                                                    &config::shard_entry::name) == it;
        if (!held && !collected_shards_.contains(it.name)) {
            missing_shards_.push_back(it);
        }
    }
    if (missing_shards_.empty()) {
        emit_change_set();
    }
}

void manifest_reader::handle_shard(const manifest_reader_call& call, const stored_value& value,
                                   instant now) {
    // The read may have ended during the call, because a peer delivered the version.
    if (!manifest_in_progress_ || missing_shards_.empty() ||
        call.key != shard_key(missing_shards_.front())) {
        return;
    }
    const auto entry = missing_shards_.front();
    if (value.content.size() > max_value_bytes ||
        config::digest_of(value.content) != entry.digest) {
        schedule_retry(now, {error_kind::invalid_input,
                             "platform: " + call.key + " does not match its digest",
                             "publish the shard again; the version in force stays"});
        return;
    }
    backoff_.reset();
    collected_shards_[entry.name] = {entry.name, entry.version, entry.digest, value.content, {}};
    missing_shards_.pop_front();
    if (missing_shards_.empty()) {
        emit_change_set();
    }
}

// Emits the change set from the version in force to the manifest, and ends the read.
void manifest_reader::emit_change_set() {
    manifest_reader_event event;
    event.what = manifest_reader_event::kind::changes;
    auto& changes = event.changes;
    changes.format = manifest_in_progress_->format;
    changes.base_version = version_in_force_.version;
    changes.version = event.version = manifest_in_progress_->version;
    changes.published = manifest_in_progress_->published;
    changes.digest = manifest_in_progress_->digest;
    for (const auto& it : manifest_in_progress_->shards) {
        const auto found = collected_shards_.find(it.name);
        if (found != collected_shards_.end()) {
            changes.changed.push_back(std::move(found->second));
        }
    }
    for (const auto& it : version_in_force_.shards) {
        if (!std::ranges::binary_search(manifest_in_progress_->shards, it.name, {},
                                        &config::shard_entry::name)) {
            changes.removed.push_back(it.name);
        }
    }
    events_.push_back(std::move(event));
    drop_read_state();
}

void manifest_reader::drop_read_state() {
    manifest_in_progress_.reset();
    missing_shards_.clear();
    collected_shards_.clear();
}

// Reads the manifest again after a delay, because its shards may have been replaced. The shards
// collected so far are kept, and are used if the manifest is unchanged.
void manifest_reader::schedule_retry(instant now, const error& reason) {
    report_problem(reason);
    backoff_until_ = now + backoff_.next_delay(*random_);
    next_poll_at_ = backoff_until_;
    manifest_index_ = 0;
    manifest_in_progress_.reset();
    missing_shards_.clear();
}

void manifest_reader::report_problem(error reason) {
    events_.push_back({manifest_reader_event::kind::problem, {}, 0, std::move(reason)});
}

std::vector<manifest_reader_event> manifest_reader::take_events() {
    return std::exchange(events_, {});
}

} // namespace wigeonrill::platform
