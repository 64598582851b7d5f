#ifndef WIGEONRILL_OBSERVE_LOG_SINK_H
#define WIGEONRILL_OBSERVE_LOG_SINK_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Destination of log lines. Implementations are thread-safe and don't wait for output.
class log_sink {
public:
    log_sink() = default;
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    virtual ~log_sink() = default;

    /// \brief Writes one line: time, level, name of the subsystem with a colon, and the text.
    virtual void write(log_level level, log_subsystem subsystem, const log_line& line) = 0;
    /// \returns whether lines of this level are written; callers need not build others
    [[nodiscard]] virtual bool enabled(log_level level) const = 0;
    /// \returns how many lines were dropped because output was too slow
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

/// \brief Creates a sink that writes to standard output from its own thread, using spdlog.
///
/// The queue of the sink is bounded. When it is full, the oldest lines are dropped and counted, so
/// that a slow reader of the log does not delay requests.
/// \param min_level lowest level that is written
[[nodiscard]] std::unique_ptr<log_sink> make_stdout_sink(log_level min_level);

/// \brief Sink that stores lines in memory, for tests.
class memory_sink final : public log_sink {
public:
    void write(log_level level, log_subsystem subsystem, const log_line& line) override;
    [[nodiscard]] bool enabled(log_level /*level*/) const override { return true; }
    [[nodiscard]] std::uint64_t dropped() const override { return 0; }
    /// \returns the lines written so far, each as "subsystem: text"
    [[nodiscard]] std::vector<std::string> lines() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> lines_;
};

} // namespace wigeonrill::observe

#endif
