#include "wigeonrill/once.h"

#include <algorithm>

namespace wigeonrill::once {

namespace {

constexpr std::size_t max_stored_answer = 65'536;

bool in_progress(key_state state) {
    return state == key_state::queued || state == key_state::sent;
}

} // namespace

bool dedup_table::is_expired(const entry& it, instant now) const {
    return !in_progress(it.state) && now - it.changed > retention_;
}

void dedup_table::drop_expired(instant now) {
    while (!finish_order_.empty() && now - finish_order_.front().first > retention_) {
        const auto it = entries_.find(finish_order_.front().second);
        // An entry that was run again has a later element in the queue.
        if (it != entries_.end() && is_expired(it->second, now)) {
            answer_bytes_ -= it->second.answer.bytes;
            newest_dropped_ =
                std::max(newest_dropped_.value_or(it->second.changed), it->second.changed);
            entries_.erase(it);
        }
        finish_order_.pop_front();
    }
}

begin_outcome dedup_table::begin(const dedup_key& key, std::uint64_t fingerprint, instant now) {
    drop_expired(now);
    const auto it = entries_.find(key);
    if (it == entries_.end()) {
        if (entries_.size() >= max_entries_) {
            return begin_outcome::table_full;
        }
        entries_.emplace(key, entry{fingerprint, key_state::queued, {}, now});
        return begin_outcome::run;
    }
    auto& found = it->second;
    if (found.fingerprint != fingerprint) {
        return begin_outcome::fingerprint_mismatch;
    }
    switch (found.state) {
    case key_state::queued:
    case key_state::sent:
        return begin_outcome::wait;
    case key_state::done:
        return found.answer.content ? begin_outcome::replay : begin_outcome::answer_not_kept;
    case key_state::unknown:
        return begin_outcome::unknown;
    case key_state::not_run:
        break;
    }
    found.state = key_state::queued;
    return begin_outcome::run;
}

dedup_table::entry& dedup_table::entry_in_progress(const dedup_key& key) {
    const auto it = entries_.find(key);
    WIGEONRILL_ASSERT(it != entries_.end() && in_progress(it->second.state),
                      "only the request that holds a key may change its state");
    return it->second;
}

void dedup_table::on_send(const dedup_key& key) {
    entry_in_progress(key).state = key_state::sent;
}

void dedup_table::on_not_sent(const dedup_key& key) {
    entry_in_progress(key).state = key_state::queued;
}

void dedup_table::finish(const dedup_key& key, key_state state, stored_answer answer, instant now) {
    WIGEONRILL_ASSERT(!in_progress(state), "finish needs a final state");
    auto& it = entry_in_progress(key);
    it.state = state;
    it.changed = now;
    finish_order_.emplace_back(now, key);
    if (state == key_state::done && answer.bytes <= max_stored_answer &&
        answer_bytes_ + answer.bytes <= max_answer_bytes_) {
        answer_bytes_ += answer.bytes;
        it.answer = std::move(answer);
    }
}

nanoseconds dedup_table::known_history(instant now) const {
    return newest_dropped_ ? now - *newest_dropped_ : nanoseconds::max();
}

std::optional<key_state> dedup_table::state(const dedup_key& key, instant now) const {
    const auto it = entries_.find(key);
    if (it == entries_.end() || is_expired(it->second, now)) {
        return std::nullopt;
    }
    return it->second.state;
}

stored_answer dedup_table::answer(const dedup_key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? stored_answer{} : it->second.answer;
}

} // namespace wigeonrill::once
