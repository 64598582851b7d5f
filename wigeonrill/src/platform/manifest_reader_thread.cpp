#include "wigeonrill/platform.h"

namespace wigeonrill::platform {

manifest_reader_thread::manifest_reader_thread(manifest_reader_settings settings,
                                               value_source& source, const clock_source& clock,
                                               random_source& random, listener listen)
    : source_(&source), clock_(&clock), listen_(std::move(listen)),
      reader_(std::move(settings), random, clock.now()), thread_([this] { run(); }) {}

manifest_reader_thread::~manifest_reader_thread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_up_.notify_all();
    source_->interrupt();
    thread_.join();
}

void manifest_reader_thread::set_version_in_force(version_in_force held) {
    const std::lock_guard lock(mutex_);
    reader_.set_version_in_force(std::move(held));
    wake_up_.notify_all();
}

void manifest_reader_thread::set_vms(const std::vector<config::vm_record>& vms) {
    const std::lock_guard lock(mutex_);
    reader_.set_vms(vms);
    wake_up_.notify_all();
}

void manifest_reader_thread::skip(std::uint64_t version, const std::string& digest) {
    const std::lock_guard lock(mutex_);
    reader_.skip(version, digest);
}

result<std::optional<stored_value>>
manifest_reader_thread::execute(const manifest_reader_call& call) {
    if (call.what == manifest_reader_call::kind::watch) {
        return source_->watch(call.key, call.after, call.wait);
    }
    auto value = source_->get(call.key);
    if (!value) {
        return tl::unexpected(value.error());
    }
    return std::optional(std::move(*value));
}

void manifest_reader_thread::run() {
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
        // There may be events even without a call: set_version_in_force() can complete a read.
        const auto events = reader_.take_events();
        lock.unlock();
        for (const auto& it : events) {
            listen_(it);
        }
        lock.lock();
    }
}

} // namespace wigeonrill::platform
