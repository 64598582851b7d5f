#ifndef WIGEONRILL_ROUTING_CONCURRENCY_LIMITER_H
#define WIGEONRILL_ROUTING_CONCURRENCY_LIMITER_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Adaptive limit on the requests that this process has in one target. Not thread-safe.
///
/// A node can't know how many slots of a target other nodes use, so it learns its limit by additive
/// increase and multiplicative decrease: the limit starts at 1, grows by 1 after as many answers
/// without a shed as the limit, and is halved by a shed.
class concurrency_limiter {
public:
    /// \param slots slots of the target, the upper bound of the limit
    explicit concurrency_limiter(std::uint32_t slots);

    /// \brief Sets the upper bound after a configuration change.
    void set_slots(std::uint32_t slots);
    /// \brief Counts a request that is sent to the target. Call only if can_acquire().
    void acquire();
    /// \brief Ends the count of a request.
    void release();
    /// \brief Records an answer that is not a shed.
    void on_answer();
    /// \brief Records a shed or a refused connection.
    ///
    /// Sheds of requests sent before the limit was last halved belong to the same overload and
    /// don't halve it again. At a limit of 1 the target gets no request for a backoff that doubles
    /// up to 640 ms, because 36 nodes with one request each can still exceed the slots of a target.
    /// \param sent when the request was sent
    /// \param now time of the answer
    /// \param jitter random number in [0, 1) that spreads the next attempts of the nodes
    void on_shed(instant sent, instant now, double jitter);

    /// \returns true when a request may be sent now: below the limit and not in a backoff
    [[nodiscard]] bool can_acquire(instant now) const;
    /// \returns the end of the last backoff; instant::min() when there was none
    [[nodiscard]] instant backoff_until() const { return backoff_until_; }
    /// \returns the current limit, from 1 to the slots
    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    /// \returns the number of acquired requests that were not released yet
    [[nodiscard]] std::uint32_t outstanding() const { return outstanding_; }

private:
    std::uint32_t slots_; ///< upper bound of the limit
    std::uint32_t limit_{1};
    std::uint32_t outstanding_{0};
    std::uint32_t answers_since_change_{0}; ///< answers since the limit last changed
    bool limit_reached_{false};             ///< the limit was reached since it last changed
    instant last_halved_{instant::min()};   ///< when a shed last changed the limit
    instant backoff_until_{instant::min()}; ///< no request is sent before this time
    milliseconds backoff_{0};               ///< last backoff without jitter; 0 after an answer
};

} // namespace wigeonrill::routing

#endif
