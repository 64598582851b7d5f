#ifndef WIGEONRILL_DAEMON_FINISHED_FETCH_H
#define WIGEONRILL_DAEMON_FINISHED_FETCH_H

#ifndef WIGEONRILL_DAEMON_MODULE
#error "Include wigeonrill/daemon.h instead of this file."
#endif

namespace wigeonrill::daemon {

/// \brief How a call to a peer for configuration changes ended.
enum class fetch_outcome : std::uint8_t {
    answered,  ///< the peer sent its changes
    busy,      ///< the peer refused the call, as it has too many
    failed,    ///< no valid answer came
    cancelled, ///< this node ended the call, as it was no longer needed
};

inline constexpr enum_name_table<fetch_outcome, 4> fetch_outcome_names{{
    {fetch_outcome::answered, "answered"},
    {fetch_outcome::busy, "busy"},
    {fetch_outcome::failed, "failed"},
    {fetch_outcome::cancelled, "cancelled"},
}};

/// \brief Call to a peer for configuration changes that has ended.
struct finished_fetch {
    peers::fetch_request request;
    result<config::change_set> answer;
    std::size_t bytes{0};             ///< bytes of the answer that were received
    std::optional<milliseconds> wait; ///< time until the first byte; nothing if none came
    milliseconds duration{0};         ///< time from the start to the end of the call
    bool cancelled{false};            ///< this node ended the call, as it was no longer needed

    /// \returns how it ended; a call that was cancelled too late counts as answered
    [[nodiscard]] fetch_outcome outcome() const;
};

} // namespace wigeonrill::daemon

#endif
