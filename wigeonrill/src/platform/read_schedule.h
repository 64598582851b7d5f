#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead."
#endif

#ifndef WIGEONRILL_PLATFORM_READ_SCHEDULE_H
#define WIGEONRILL_PLATFORM_READ_SCHEDULE_H

namespace wigeonrill::platform {

/// \brief Times that decide when a node reads the platform's store itself.
///
/// The age of a node's data is the time since the data was last known to equal the store's content.
struct read_schedule_settings {
    milliseconds watch_wait{400}; ///< how long a call of rank 0 waits for a change in the store
    /// Pause after a successful call, so that changes in quick succession are read by one call.
    milliseconds pause_between_calls{60};
    milliseconds takeover_age{650}; ///< age of the data at which rank 1 reads
    milliseconds stagger{60};       ///< added to takeover_age for each further rank
    milliseconds max_age{1'000};    ///< age at which a node of any rank reads
    milliseconds first_backoff{200};
    milliseconds max_backoff{900};
};

/// \brief Decides when a node reads the platform's store. Pure: performs no calls and reads no
///        clock.
///
/// The nodes of a read-sharing group send each other what they read. Rank 0 watches the store all
/// the time. A node of another rank reads when its data reaches an age that grows with the rank. If
/// rank 0 can't read, rank 1 takes over at takeover_age, and each further rank one stagger later. A
/// node that receives nothing from its peers reads the store itself. The nodes need no agreement on
/// which of them reads.
class read_schedule {
public:
    /// \param random must outlive this object
    /// \param now time of the first call
    read_schedule(read_schedule_settings settings, random_source& random, instant now)
        : settings_(settings), random_(&random),
          backoff_(settings.first_backoff, settings.max_backoff), earliest_call_at_(now) {}

    /// \brief Sets the position of this node among the live nodes of its group, starting at 0.
    void set_rank(std::size_t rank) { rank_ = rank; }
    /// \brief Records that this node's data equals the store's content at a time. Resets the
    ///        backoff if the time is later than those recorded before.
    void mark_up_to_date(instant when);
    /// \brief Records that a call failed, and backs off.
    void call_failed(instant now);
    /// \brief Records that a call succeeded.
    void call_succeeded(instant now) { earliest_call_at_ = now + settings_.pause_between_calls; }

    /// \returns the latest time at which this node's data is known to equal the store's content, or
    ///          nothing before the first successful read
    [[nodiscard]] std::optional<instant> up_to_date_at() const { return up_to_date_at_; }
    /// \returns the time at which the next call is due; may be in the past
    /// \param requested time by which a call is wanted, even if the data isn't old then; it doesn't
    ///        shorten the pause or the backoff after the last call
    [[nodiscard]] instant next_call_at(instant requested = instant::max()) const;
    /// \returns how long the next call may wait for a change
    [[nodiscard]] milliseconds max_wait() const;

private:
    read_schedule_settings settings_;
    random_source* random_;
    backoff backoff_;
    std::size_t rank_{0};
    std::optional<instant> up_to_date_at_;
    instant earliest_call_at_; ///< end of the pause or the backoff after the last call
};

} // namespace wigeonrill::platform

#endif
