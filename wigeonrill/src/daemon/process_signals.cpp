#include "wigeonrill/daemon.h"

#include <csignal>
#include <ctime>

namespace wigeonrill::daemon {

namespace {

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

timespec to_timespec(milliseconds wait) {
    const auto whole = std::chrono::duration_cast<seconds>(wait);
    return {whole.count(), nanoseconds(wait - whole).count()};
}

} // namespace

process_signals::process_signals() {
    const auto signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the other side has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

process_request process_signals::wait_for_request(milliseconds wait) {
    const auto signals = handled_signals();
    const auto limit = to_timespec(wait);
    const int caught = sigtimedwait(&signals, nullptr, &limit);
    if (caught == SIGHUP) {
        return process_request::reload;
    }
    if (caught == SIGINT && interrupted_) {
        return process_request::force;
    }
    interrupted_ = interrupted_ || caught == SIGINT;
    const bool stop_requested = caught == SIGTERM || caught == SIGINT || stop_requested_;
    if (stop_requested && !stop_reported_) {
        stop_reported_ = true;
        return process_request::stop;
    }
    return process_request::none;
}

} // namespace wigeonrill::daemon
