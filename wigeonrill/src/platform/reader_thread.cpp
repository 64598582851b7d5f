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
    wake_up_.notify_all();
    source_->interrupt();
    thread_.join();
}

void reader_thread::set_held(held_version held) {
    const std::lock_guard lock(mutex_);
    reader_.set_held(std::move(held));
    wake_up_.notify_all();
}

void reader_thread::set_vms(const std::vector<config::vm_record>& vms) {
    const std::lock_guard lock(mutex_);
    reader_.set_vms(vms);
    wake_up_.notify_all();
}

void reader_thread::skip(std::uint64_t version, const std::string& digest) {
    const std::lock_guard lock(mutex_);
    reader_.skip(version, digest);
}

result<std::optional<stored_value>> reader_thread::execute(const manifest_reader_call& call) {
    if (call.what == manifest_reader_call::kind::watch) {
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
        const auto call = reader_.next_call(clock_->now());
        if (call.what == manifest_reader_call::kind::wait) {
            wake_up_.wait_for(lock, call.until - clock_->now());
        } else {
            lock.unlock();
            const auto answer = execute(call);
            lock.lock();
            if (stopping_) {
                return;
            }
            reader_.handle_answer(call, answer, clock_->now());
        }
        // There may be events even without a call: set_held() can complete a read.
        const auto events = reader_.take_events();
        lock.unlock();
        for (const auto& it : events) {
            listen_(it);
        }
        lock.lock();
    }
}

} // namespace wigeonrill::platform
