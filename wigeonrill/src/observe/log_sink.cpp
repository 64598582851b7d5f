#include "wigeonrill/observe.h"

#include <cstdio>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace wigeonrill::observe {

namespace {

// About 10 s of decision lines at 124 requests/s, the load of one node in a fleet of the intended
// size.
constexpr std::size_t queue_capacity = 8192;

spdlog::level::level_enum to_spdlog(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

class stdout_sink final : public log_sink {
public:
    explicit stdout_sink(log_level min_level)
        : pool_(std::make_shared<spdlog::details::thread_pool>(queue_capacity, 1)),
          logger_(std::make_shared<spdlog::async_logger>(
              "wigeonrill", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool_,
              spdlog::async_overflow_policy::overrun_oldest)) {
        // Writes each line to a pipe at once, so that the last decisions are in the log even when
        // the process is killed.
        std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
        logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%f%z %l %v");
        logger_->set_level(to_spdlog(min_level));
        logger_->flush_on(spdlog::level::warn);
    }

    void write(log_level level, log_subsystem subsystem, const log_line& line) override {
        logger_->log(to_spdlog(level), "{}: {}", enum_name(log_subsystem_names, subsystem),
                     line.text());
    }

    [[nodiscard]] bool enabled(log_level level) const override {
        return logger_->should_log(to_spdlog(level));
    }

    [[nodiscard]] std::uint64_t dropped() const override { return pool_->overrun_counter(); }

private:
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::async_logger> logger_;
};

} // namespace

std::unique_ptr<log_sink> make_stdout_sink(log_level min_level) {
    return std::make_unique<stdout_sink>(min_level);
}

void memory_sink::write(log_level /*level*/, log_subsystem subsystem, const log_line& line) {
    const std::lock_guard lock(mutex_);
    lines_.push_back(std::string(enum_name(log_subsystem_names, subsystem)) + ": " + line.text());
}

std::vector<std::string> memory_sink::lines() const {
    const std::lock_guard lock(mutex_);
    return lines_;
}

} // namespace wigeonrill::observe
