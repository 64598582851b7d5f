#ifndef WIGEONRILL_HEALTH_EJECTION_TRACKER_H
#define WIGEONRILL_HEALTH_EJECTION_TRACKER_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Tracks the ejection of one target: its hold time, its probes and its return.
///
/// The hold time is the minimum length of an ejection. It doubles with each ejection that follows
/// soon after a return, up to 5 minutes.
class ejection_tracker {
public:
    static constexpr seconds initial_hold{10};
    static constexpr seconds max_hold{300};
    static constexpr seconds probe_interval{5};
    /// \brief Successful probes in a row after which the target may return.
    static constexpr int good_probes_needed = 3;
    /// \brief The hold time starts at initial_hold again after this time without an ejection.
    static constexpr seconds backoff_reset_after{600};

    /// \brief Starts an ejection and its hold time.
    void eject(instant now);
    /// \brief Ends the ejection; the target returns to use.
    void end(instant now);
    /// \brief Adds the result of a probe.
    /// \param good whether the answer was successful and fast
    void add_probe(bool good);
    /// \brief Records that a probe was sent.
    void probe_sent(instant now) { last_probe_ = now; }

    /// \returns whether the target is ejected
    [[nodiscard]] bool is_ejected() const { return ejected_; }
    /// \returns whether the target is ejected and the next probe may be sent
    [[nodiscard]] bool is_probe_due(instant now) const;
    /// \returns whether the hold time is over
    [[nodiscard]] bool is_hold_over(instant now) const { return now >= hold_until_; }
    /// \returns whether enough probes in a row were successful
    [[nodiscard]] bool has_passed_probes() const { return good_probes_ >= good_probes_needed; }
    /// \returns length of the current or last hold time
    [[nodiscard]] seconds hold_time() const { return hold_time_; }

private:
    bool ejected_{false};
    bool has_returned_{false};
    int good_probes_{0};
    seconds hold_time_{initial_hold};
    instant hold_until_{};
    instant returned_{};
    instant last_probe_{};
};

/// \brief Weight of a target after its return: 10% at first, doubled every 2 s.
/// \param since_return time since the return
/// \returns weight in (0, 1]
[[nodiscard]] double ramp_weight(nanoseconds since_return);

} // namespace wigeonrill::health

#endif
