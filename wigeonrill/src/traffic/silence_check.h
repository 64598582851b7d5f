#ifndef WIGEONRILL_TRAFFIC_SILENCE_CHECK_H
#define WIGEONRILL_TRAFFIC_SILENCE_CHECK_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Tries connections to a target while a request waits for the first byte of its answer.
///
/// The system of a target that is only slow accepts connections; a machine without power or a
/// broken link doesn't. Nothing blocks: update() starts a connection or looks how the last one is
/// doing.
class silence_check {
public:
    /// \param since when the request had been sent
    silence_check(endpoint address, instant since);
    silence_check(const silence_check&) = delete;
    silence_check& operator=(const silence_check&) = delete;
    ~silence_check();

    /// \brief To be called at next_update(), or later.
    void update(instant now);
    [[nodiscard]] instant next_update() const;
    /// \returns the latest span in which several connections in a row were tried and all failed
    [[nodiscard]] const std::optional<silence>& found() const { return found_; }
    /// \returns true when the last connection failed or has not been established yet
    [[nodiscard]] bool seems_silent() const { return fd_ >= 0 || failures_ > 0; }

private:
    void try_connection(instant now);
    void on_failure(instant now);
    void close_connection();

    endpoint address_;
    instant since_;
    instant next_;         ///< when the next connection is tried; not used while one is
    int fd_{-1};           ///< connection that is being tried
    instant tried_{};      ///< when the latest connection was tried
    int failures_{0};      ///< failed connections since the last one that was established
    instant first_failed_; ///< when the first of them was tried
    std::optional<silence> found_;
};

} // namespace wigeonrill::traffic::detail

#endif
