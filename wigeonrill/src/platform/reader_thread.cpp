#include "wigeonrill/platform.h"

namespace wigeonrill::platform {

reader_thread::reader_thread(reader_settings settings, value_source& source,
                             const clock_source& clock, random_source& random, listener listen)
    : source_(&source), clock_(&clock), listen_(std::move(listen)),
      reader_(std::move(settings), random, clock.now()), thread_([this] { run(); }) {}

reader_thread::~reader_thread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    source_->interrupt();
    thread_.join();
}

void reader_thread::set_held(held_version held) {
    const std::lock_guard lock(mutex_);
    reader_.set_held(std::move(held));
    changed_.notify_all();
}

void reader_thread::set_vms(const std::vector<config::vm_record>& vms) {
    const std::lock_guard lock(mutex_);
    reader_.set_vms(vms);
    changed_.notify_all();
}

void reader_thread::skip(std::uint64_t version, const std::string& digest) {
    const std::lock_guard lock(mutex_);
    reader_.skip(version, digest);
}

result<std::optional<stored_value>> reader_thread::make(const reader_call& call) {
    if (call.what == reader_call::kind::watch) {
        return source_->watch(call.key, call.after, call.wait);
    }
    auto value = source_->get(call.key);
    if (!value) {
        return tl::unexpected(value.error());
    }
    return std::optional(std::move(*value));
}

void reader_thread::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto call = reader_.next(clock_->now());
        if (call.what == reader_call::kind::wait) {
            changed_.wait_for(lock, call.until - clock_->now());
        } else {
            lock.unlock();
            const auto answer = make(call);
            lock.lock();
            if (stopping_) {
                return;
            }
            reader_.answered(call, answer, clock_->now());
        }
        // Also without a call: a version from a peer can complete a read.
        const auto events = reader_.take_events();
        lock.unlock();
        for (const auto& it : events) {
            listen_(it);
        }
        lock.lock();
    }
}

} // namespace wigeonrill::platform
