#ifndef WIGEONRILL_DISPATCH_TARGET_RECORD_H
#define WIGEONRILL_DISPATCH_TARGET_RECORD_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief State that this node keeps for one process of a target, independent of views.
struct target_record {
    target_id id;
    endpoint address;
    config::registration registered; ///< of the process
    std::uint32_t slots{1};
    /// Limit on the requests of this process, at most `slots`.
    routing::concurrency_limiter limiter{1};
    /// Load that the target last reported.
    routing::load_hint hint;
    health::failure_burst_estimate failure_burst; ///< probability that it is failing now
    routing::peer_load peer_outstanding;          ///< requests of other nodes
    domain_name domain;
    /// Own requests in the target, as last published to other nodes.
    std::uint32_t published_outstanding{0};
    instant published_at{instant::min()};
    /// The target announced that it is draining. It gets no new requests for as long as the
    /// configuration contains it with this address.
    bool is_draining{false};
    /// No new requests before this time, because another target has the address.
    instant misdirected_until{instant::min()};
    /// No new requests before this time, because the target asked this node for a pause.
    instant paused_until{instant::min()};
    /// False from when the configuration lacks the target until it contains it again.
    bool is_configured{true};
    bool is_replaced{false}; ///< a later process of the target has a record of its own

    /// \returns false when the target is draining or another one has its address
    [[nodiscard]] bool is_usable(instant now) const {
        return !is_draining && now >= misdirected_until;
    }
    /// \returns true when the target is usable and not in a pause
    [[nodiscard]] bool takes_requests(instant now) const {
        return is_usable(now) && now >= paused_until;
    }
    /// \brief Forgets what an earlier process of the target announced.
    void forget_announcements() {
        is_draining = false;
        misdirected_until = instant::min();
        paused_until = instant::min();
    }

    /// While the target is suspected of failing, this node doesn't try it before this time.
    instant next_trial_at{instant::min()};
};

/// \brief Shared by the service and by the requests in the target.
using target_record_ptr = std::shared_ptr<target_record>;

} // namespace wigeonrill::dispatch

#endif
