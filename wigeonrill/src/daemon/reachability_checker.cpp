#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

namespace {

// Time between two questions to the dispatcher whether connections should be tried.
constexpr milliseconds pause{50};

} // namespace

reachability_checker::reachability_checker(dispatch::request_dispatcher& dispatcher,
                                           milliseconds connect_time)
    : dispatcher_(dispatcher), connect_time_(connect_time), thread_([this] { run(); }) {}

reachability_checker::~reachability_checker() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stop_requested_.notify_one();
    thread_.join();
}

void reachability_checker::run() {
    std::unique_lock lock(mutex_);
    while (!stop_requested_.wait_for(lock, pause, [this] { return stopping_; })) {
        lock.unlock();
        for (const auto& it : dispatcher_.connection_checks()) {
            dispatcher_.on_connection_check(it,
                                            traffic::accepts_connection(it.address, connect_time_));
        }
        lock.lock();
    }
}

} // namespace wigeonrill::daemon
