#include "wigeonrill/platform.h"

#include <algorithm>

namespace wigeonrill::platform {

namespace {

constexpr std::size_t most_skipped = 64;

milliseconds scaled(milliseconds duration, double factor) {
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

} // namespace

reader::reader(reader_settings settings, random_source& random, instant now)
    : settings_(std::move(settings)), random_(&random),
      budget_(settings_.calls_per_second, settings_.call_burst),
      backoff_(settings_.first_backoff, settings_.most_backoff),
      next_manifest_(now + scaled(settings_.start_delay, random.uniform())), not_before_(now) {}

void reader::set_held(held_version held) {
    held_ = std::move(held);
    if (reading_) {
        plan();
    }
}

void reader::set_vms(const std::vector<config::vm_record>& vms) {
    watching_ = may_watch(settings_.self, vms);
}

void reader::skip(std::uint64_t version, const std::string& digest) {
    skipped_.emplace_back(version, digest);
    if (skipped_.size() > most_skipped) {
        skipped_.erase(skipped_.begin());
    }
}

void reader::schedule_poll(instant now) {
    next_manifest_ = now + scaled(settings_.poll_mean, 0.5 + random_->uniform());
}

reader_call reader::next(instant now) {
    auto ready = std::max(not_before_, budget_.available_at(now));
    // A watch replaces the poll, but not the random delay after the start.
    if (!reading_ && !(watching_ && index_ != 0)) {
        ready = std::max(ready, next_manifest_);
    }
    reader_call call;
    if (ready > now) {
        call.until = ready;
        return call;
    }
    budget_.take(now);
    called_ = now;
    call.what = reader_call::kind::get;
    if (reading_) {
        call.key = shard_key(missing_.front());
        return call;
    }
    call.key = manifest_key;
    if (watching_ && index_ != 0) {
        call.what = reader_call::kind::watch;
        call.after = index_;
        call.wait = settings_.watch_wait;
    }
    return call;
}

void reader::answered(const reader_call& call, const result<std::optional<stored_value>>& answer,
                      instant now) {
    if (!answer) {
        retry(now, answer.error());
        return;
    }
    const bool repeated =
        call.what == reader_call::kind::watch && *answer && (*answer)->index == call.after;
    if (!*answer || repeated) {
        unchanged(call, now);
    } else if (call.key == manifest_key) {
        manifest_answered(**answer, now);
    } else {
        shard_answered(call, **answer, now);
    }
}

// The manifest seen last is still the platform's newest.
void reader::unchanged(const reader_call& call, instant now) {
    if (seen_version_ == held_.version && seen_digest_ == held_.digest) {
        events_.push_back({reader_event::kind::confirmed, {}, held_.version, {}});
    }
    // A service that doesn't hold the watch open would otherwise be called in a loop.
    if (now - called_ < call.wait / 2) {
        not_before_ = now + backoff_.failed(*random_);
    } else {
        backoff_.reset();
    }
}

void reader::manifest_answered(const stored_value& value, instant now) {
    schedule_poll(now);
    auto parsed = parse_manifest(value.content);
    if (!parsed) {
        retry(now, parsed.error());
        return;
    }
    index_ = value.index;
    seen_version_ = parsed->version;
    seen_digest_ = parsed->digest;
    consider(std::move(*parsed));
    // Not while a shard may be missing, or a manifest without it would be read again every second.
    if (!reading_) {
        backoff_.reset();
    }
}

// Decides what a manifest means for the version in force.
void reader::consider(manifest next) {
    const auto version = "version " + std::to_string(next.version);
    if (next.version < held_.version) {
        report({error_kind::conflict,
                "platform: serves " + version + ", older than version " +
                    std::to_string(held_.version) + " in force",
                "check the platform's replicas; the version in force stays"});
        return;
    }
    if (next.version == held_.version) {
        if (next.digest == held_.digest) {
            events_.push_back({reader_event::kind::confirmed, {}, held_.version, {}});
            return;
        }
        report({error_kind::conflict,
                "platform: serves another content for " + version + " in force",
                "publish the content under a new version"});
        return;
    }
    const std::pair identity{next.version, next.digest};
    if (std::ranges::find(skipped_, identity) != skipped_.end()) {
        return;
    }
    if (collected_digest_ != next.digest) {
        collected_.clear();
        collected_digest_ = next.digest;
    }
    reading_ = std::move(next);
    plan();
}

// Lists the shards of the manifest that neither the node nor this read holds.
void reader::plan() {
    if (reading_->version <= held_.version) {
        abandon();
        return;
    }
    missing_.clear();
    for (const auto& it : reading_->shards) {
        const bool held =
            std::ranges::binary_search(held_.shards, it.name, {}, &config::shard_entry::name) &&
            *std::ranges::lower_bound(held_.shards, it.name, {}, &config::shard_entry::name) == it;
        if (!held && !collected_.contains(it.name)) {
            missing_.push_back(it);
        }
    }
    if (missing_.empty()) {
        complete();
    }
}

void reader::shard_answered(const reader_call& call, const stored_value& value, instant now) {
    // Meanwhile a peer may have delivered the version.
    if (!reading_ || missing_.empty() || call.key != shard_key(missing_.front())) {
        return;
    }
    const auto entry = missing_.front();
    if (value.content.size() > largest_value || config::digest_of(value.content) != entry.digest) {
        retry(now,
              {error_kind::invalid_input, "platform: " + call.key + " does not match its digest",
               "publish the shard again; the version in force stays"});
        return;
    }
    backoff_.reset();
    collected_[entry.name] = {entry.name, entry.version, entry.digest, value.content};
    missing_.pop_front();
    if (missing_.empty()) {
        complete();
    }
}

void reader::complete() {
    reader_event event;
    event.what = reader_event::kind::changes;
    auto& changes = event.changes;
    changes.format = reading_->format;
    changes.base_version = held_.version;
    changes.version = event.version = reading_->version;
    changes.published = reading_->published;
    changes.digest = reading_->digest;
    for (const auto& it : reading_->shards) {
        const auto found = collected_.find(it.name);
        if (found != collected_.end()) {
            changes.changed.push_back(std::move(found->second));
        }
    }
    for (const auto& it : held_.shards) {
        if (!std::ranges::binary_search(reading_->shards, it.name, {},
                                        &config::shard_entry::name)) {
            changes.removed.push_back(it.name);
        }
    }
    events_.push_back(std::move(event));
    abandon();
}

void reader::abandon() {
    reading_.reset();
    missing_.clear();
    collected_.clear();
}

// After a failure the manifest is read again, because its shards may have been replaced. Shards
// that were read already are kept while the manifest stays the same.
void reader::retry(instant now, const error& reason) {
    report(reason);
    not_before_ = now + backoff_.failed(*random_);
    next_manifest_ = not_before_;
    index_ = 0;
    reading_.reset();
    missing_.clear();
}

void reader::report(error reason) {
    events_.push_back({reader_event::kind::problem, {}, 0, std::move(reason)});
}

std::vector<reader_event> reader::take_events() {
    return std::exchange(events_, {});
}

} // namespace wigeonrill::platform
