#ifndef WIGEONRILL_OBSERVE_LOG_SINK_H
#define WIGEONRILL_OBSERVE_LOG_SINK_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Destination of log lines. Implementations are thread-safe and don't block on output.
class log_sink {
public:
    log_sink() = default;
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    virtual ~log_sink() = default;

    /// \brief Writes one line: time, level, "part:" and the text.
    virtual void write(log_level level, log_part part, const log_line& line) = 0;
    /// \returns whether lines of this level are written, to skip building them
    [[nodiscard]] virtual bool enabled(log_level level) const = 0;
    /// \returns how many lines were dropped because output was slower than the program
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

/// \brief Sink that writes to standard output from a thread of its own (spdlog).
///
/// Its queue is bounded; when it is full the oldest lines are dropped and counted, since a slow
/// reader of the log must not stall requests.
/// \param lowest least important level to write
[[nodiscard]] std::unique_ptr<log_sink> make_stdout_sink(log_level lowest);

/// \brief Sink that keeps lines in memory, for tests.
class memory_sink final : public log_sink {
public:
    void write(log_level level, log_part part, const log_line& line) override;
    [[nodiscard]] bool enabled(log_level /*level*/) const override { return true; }
    [[nodiscard]] std::uint64_t dropped() const override { return 0; }
    /// \returns the lines written so far, as "part: text"
    [[nodiscard]] std::vector<std::string> lines() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> lines_;
};

} // namespace wigeonrill::observe

#endif
