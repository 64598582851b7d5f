#include "wigeonrill/platform.h"

namespace wigeonrill::platform {

namespace {

// Number of incremental reads after which all records are listed again. This corrects the state if
// the store has failed to report a change.
constexpr int max_calls_between_full_lists = 20;

} // namespace

feed_reader_thread::feed_reader_thread(read_schedule_settings schedule, inventory_options options,
                                       record_feed& feed, const clock_source& clock,
                                       random_source& random, listener listen)
    : feed_(&feed), clock_(&clock), listen_(std::move(listen)), inventory_(options),
      schedule_(schedule, random, clock.now()), thread_([this] { run(); }) {}

feed_reader_thread::~feed_reader_thread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_up_.notify_all();
    feed_->interrupt();
    thread_.join();
}

void feed_reader_thread::set_rank(std::size_t rank) {
    const std::lock_guard lock(mutex_);
    schedule_.set_rank(rank);
}

void feed_reader_thread::mark_up_to_date(instant when) {
    const std::lock_guard lock(mutex_);
    schedule_.mark_up_to_date(when);
    first_peer_reading_ = first_peer_reading_.value_or(when);
}

void feed_reader_thread::set_configuration_in_force(config::snapshot_ptr configuration) {
    const std::lock_guard lock(mutex_);
    const auto era = era_of(configuration->version);
    if (!era_in_force_ || era_in_force_->era < era) {
        era_in_force_ = {era, clock_->now()};
    }
    configuration_in_force_ = std::move(configuration);
}

result<feed_page> feed_reader_thread::read_page(milliseconds wait) {
    auto page = full_list_due_ ? feed_->list() : feed_->changes_since(inventory_.as_of(), wait);
    if (!page || page->era == inventory_.era()) {
        return page;
    }
    if (page->era < inventory_.era()) {
        return failed(error_kind::unavailable,
                      "the store answered in era " + std::to_string(page->era) +
                          ", before in era " + std::to_string(inventory_.era()),
                      "check that all nodes read the same store");
    }
    if (!full_list_due_) {
        return failed(error_kind::not_found, "the store came back from an older copy",
                      "no action needed; all records are read again");
    }
    return page;
}

instant feed_reader_thread::last_read_at(instant otherwise) {
    const std::lock_guard lock(mutex_);
    return schedule_.up_to_date_at().value_or(otherwise);
}

store_reading feed_reader_thread::read_store(milliseconds wait) {
    store_reading outcome;
    full_list_due_ = full_list_due_ || ++calls_since_full_list_ > max_calls_between_full_lists;
    outcome.when = clock_->now();
    outcome.call.lists_all = full_list_due_;
    outcome.call.since = full_list_due_ ? 0 : inventory_.as_of();
    const auto page = read_page(wait);
    outcome.call.duration = clock_->now() - outcome.when;
    if (page) {
        outcome.call.records = page->records.size();
        outcome.call.bytes = page->bytes;
    }
    // A watch that ends without a change confirms that there was none while it waited.
    if (page && !full_list_due_ && page->records.empty()) {
        outcome.when = std::max(outcome.when, std::min(outcome.when + wait, clock_->now()));
    }
    const auto now = clock_->now();
    if (!page) {
        outcome.failure = page.error();
        const auto kind = page.error().kind;
        const bool too_large = kind == error_kind::timed_out || kind == error_kind::overloaded;
        // The changes contain each version of a record, so the same call would have more to bring
        // the next time. A list contains each record once.
        full_list_due_ = full_list_due_ || too_large || kind == error_kind::not_found;
        // A store whose answer is still arriving is in no outage.
        if (kind != error_kind::not_found && kind != error_kind::overloaded) {
            // Peers may have read the store during this call.
            inventory_.record_read_failure(last_read_at(outcome.when), now);
        }
    } else if (full_list_due_) {
        inventory_.replace(*page, now);
        full_list_due_ = false;
        calls_since_full_list_ = 0;
    } else {
        inventory_.apply(*page, now);
    }
    if (!outcome.failure) {
        outcome.configuration = inventory_.configuration();
        outcome.version = inventory_.version();
        outcome.withdrawn = inventory_.take_withdrawn_targets();
    }
    outcome.as_of = inventory_.as_of();
    outcome.notes = inventory_.take_notes();
    return outcome;
}

void feed_reader_thread::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        // Knowledge received from peers only delays the next call, so mark_up_to_date() doesn't
        // wake this thread.
        const auto expiry = inventory_.next_expiry().value_or(instant::max());
        const auto delay = schedule_.next_call_at(expiry) - clock_->now();
        if (delay > nanoseconds(0)) {
            wake_up_.wait_for(lock, delay);
            continue;
        }
        const auto wait = schedule_.max_wait();
        inventory_.set_configuration_in_force(configuration_in_force_);
        if (era_in_force_) {
            inventory_.record_era(era_in_force_->era, era_in_force_->since);
        }
        // The changes would contain all versions of the rules since, and a list only the latest.
        full_list_due_ = full_list_due_ || inventory_.has_older_rules_than_in_force();
        if (const auto when = std::exchange(first_peer_reading_, std::nullopt)) {
            inventory_.record_answer_to_peer(*when);
        }
        lock.unlock();
        const auto outcome = read_store(wait);
        lock.lock();
        if (stopping_) {
            return;
        }
        const bool history_lost = outcome.failure && outcome.failure->kind == error_kind::not_found;
        if (!outcome.failure) {
            schedule_.mark_up_to_date(outcome.when);
            schedule_.call_succeeded(clock_->now());
        } else if (!history_lost) {
            schedule_.call_failed(clock_->now());
        }
        lock.unlock();
        listen_(outcome);
        lock.lock();
    }
}

} // namespace wigeonrill::platform
