#include "wigeonrill/platform.h"

namespace wigeonrill::platform {

namespace {

// Everything is read again after so many calls, so that no loss of a change stays unnoticed.
constexpr int most_changes_read = 20;

} // namespace

feed_thread::feed_thread(read_schedule_settings schedule, inventory_options options,
                         record_feed& feed, const clock_source& clock, random_source& random,
                         listener listen)
    : feed_(&feed), clock_(&clock), listen_(std::move(listen)), inventory_(options),
      schedule_(schedule, random, clock.now()), thread_([this] { run(); }) {}

feed_thread::~feed_thread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    feed_->interrupt();
    thread_.join();
}

void feed_thread::set_rank(std::size_t rank) {
    const std::lock_guard lock(mutex_);
    schedule_.set_rank(rank);
}

void feed_thread::known_as_of(instant when) {
    const std::lock_guard lock(mutex_);
    schedule_.known_as_of(when);
}

void feed_thread::set_in_force(config::snapshot_ptr configuration) {
    const std::lock_guard lock(mutex_);
    in_force_ = std::move(configuration);
}

reading feed_thread::read_once(instant known, milliseconds wait) {
    reading made;
    read_whole_ = read_whole_ || ++changes_read_ > most_changes_read;
    made.when = clock_->now();
    const auto page = read_whole_ ? feed_->list() : feed_->changes_since(inventory_.as_of(), wait);
    // A watch that ends without a change says that there was none while it waited.
    if (page && !read_whole_ && page->records.empty()) {
        made.when = std::max(made.when, std::min(made.when + wait, clock_->now()));
    }
    const auto now = clock_->now();
    if (!page) {
        made.failure = page.error();
        if (page.error().kind == error_kind::not_found) {
            read_whole_ = true;
        } else {
            inventory_.read_failed(known, now);
        }
    } else if (read_whole_) {
        inventory_.replace(*page, now);
        read_whole_ = false;
        changes_read_ = 0;
    } else {
        inventory_.apply(*page, now);
    }
    if (!made.failure) {
        made.configuration = inventory_.configuration();
    }
    made.as_of = inventory_.as_of();
    made.notes = inventory_.take_notes();
    return made;
}

void feed_thread::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        // Later knowledge only moves the time of the next call back, so no wake-up is needed for
        // it.
        const auto due = inventory_.next_expiry().value_or(instant::max());
        const auto rest = std::min(schedule_.next(), due) - clock_->now();
        if (rest > nanoseconds(0)) {
            changed_.wait_for(lock, rest);
            continue;
        }
        const auto known = schedule_.known().value_or(clock_->now());
        const auto wait = schedule_.wait();
        inventory_.set_in_force(in_force_);
        lock.unlock();
        const auto made = read_once(known, wait);
        lock.lock();
        if (stopping_) {
            return;
        }
        const bool again = made.failure && made.failure->kind == error_kind::not_found;
        if (!made.failure) {
            schedule_.known_as_of(made.when);
            schedule_.succeeded(clock_->now());
        } else if (!again) {
            schedule_.failed(clock_->now());
        }
        lock.unlock();
        listen_(made);
        lock.lock();
    }
}

} // namespace wigeonrill::platform
