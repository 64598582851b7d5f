#ifndef WIGEONRILL_HEALTH_RECOVERY_H
#define WIGEONRILL_HEALTH_RECOVERY_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Way of one ejected target back into use.
///
/// The hold time doubles with each ejection that follows soon after a return, up to 5 minutes.
class recovery {
public:
    static constexpr seconds first_hold{10};
    static constexpr seconds longest_hold{300};
    static constexpr seconds probe_interval{5};
    /// \brief Good probes in a row that a return needs.
    static constexpr int probes_needed = 3;
    /// \brief A return that lasted this long makes the next hold time short again.
    static constexpr seconds forgiven_after{600};

    /// \brief Starts a hold time.
    void eject(instant now);
    /// \brief Ends the ejection.
    void end(instant now);
    /// \brief Adds the result of a probe.
    void add_probe(bool good);
    /// \brief Records that a probe was sent.
    void probe_sent(instant now) { last_probe_ = now; }

    /// \returns whether the target is ejected
    [[nodiscard]] bool is_ejected() const { return ejected_; }
    /// \returns whether a probe may be sent
    [[nodiscard]] bool is_probe_due(instant now) const;
    /// \returns whether the hold time is over
    [[nodiscard]] bool is_hold_over(instant now) const { return now >= hold_until_; }
    /// \returns whether the last probes were good
    [[nodiscard]] bool is_probed_well() const { return good_probes_ >= probes_needed; }
    /// \returns length of the last hold time
    [[nodiscard]] seconds hold() const { return hold_; }

private:
    bool ejected_{false};
    bool returned_before_{false};
    int good_probes_{0};
    seconds hold_{first_hold};
    instant hold_until_{};
    instant returned_{};
    instant last_probe_{};
};

/// \brief Share of a returning target: 10%, doubled every 2 s.
/// \param since_return time since its return
/// \returns weight in (0, 1]
[[nodiscard]] double ramp_weight(nanoseconds since_return);

} // namespace wigeonrill::health

#endif
