#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_READ_SCHEDULE_H
#define WIGEONRILL_PLATFORM_READ_SCHEDULE_H

namespace wigeonrill::platform {

/// \brief How old a node's knowledge of the platform may get before the node reads for itself.
struct read_schedule_settings {
    milliseconds watch{400}; ///< how long the first node of a group waits for a change
    milliseconds pause{60};  ///< between its calls, so that changes in quick succession share one
    milliseconds takeover{650}; ///< age at which the next node reads, and so much later each other
    milliseconds stagger{60};
    milliseconds longest{1'000}; ///< age at which every node reads, whatever its rank
    milliseconds first_backoff{200};
    milliseconds most_backoff{900};
};

/// \brief Decides when a node reads the platform's store. Pure.
///
/// The nodes of a group tell each other what they read. The first one watches the store all the
/// time. Each other one reads when its knowledge has reached an age that grows with its rank, so
/// the next one takes over within a stagger when the first can't read, and a node that nobody tells
/// anything reads for itself. No agreement on who reads is needed.
class read_schedule {
public:
    read_schedule(read_schedule_settings settings, random_source& random, instant now)
        : settings_(settings), random_(&random),
          backoff_(settings.first_backoff, settings.most_backoff), not_before_(now) {}

    /// \brief Sets the position of this node among the live nodes of its group, 0: first.
    void set_rank(std::size_t rank) { rank_ = rank; }
    /// \brief Records that this node's knowledge equals the store's content at a time.
    void known_as_of(instant when);
    /// \brief Records that a call failed.
    void failed(instant now);
    /// \brief Records that a call succeeded.
    void succeeded(instant now) { not_before_ = now + settings_.pause; }

    /// \returns the latest time as of which this node knows the store's content, if any
    [[nodiscard]] std::optional<instant> known() const { return known_; }
    /// \returns when the next call is due
    [[nodiscard]] instant next() const;
    /// \returns how long the next call may wait for a change
    [[nodiscard]] milliseconds wait() const;

private:
    read_schedule_settings settings_;
    random_source* random_;
    backoff backoff_;
    std::size_t rank_{0};
    std::optional<instant> known_;
    instant not_before_;
};

} // namespace wigeonrill::platform

#endif
