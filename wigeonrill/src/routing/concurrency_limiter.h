#ifndef WIGEONRILL_ROUTING_CONCURRENCY_LIMITER_H
#define WIGEONRILL_ROUTING_CONCURRENCY_LIMITER_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Adaptive limit on the requests that this process has in one target.
///
/// Nobody can be asked who holds a target's slots, so the limit is learned: it starts at 1, grows
/// by 1 per limit answered without a shed, and halves at a shed. Not thread-safe.
class concurrency_limiter {
public:
    /// \param slots slots of the target; the limit never passes them
    explicit concurrency_limiter(std::uint32_t slots);

    /// \brief Adjusts the upper bound after a configuration change.
    void set_slots(std::uint32_t slots);
    /// \brief Takes a place. Call only while has_place().
    void acquire();
    /// \brief Gives a place back.
    void release();
    /// \brief Records an answer without a shed.
    void on_answer();
    /// \brief Records a shed or a refused connection of a request sent at a time.
    ///
    /// Sheds of requests sent before the last halving belong to the same overload and don't halve
    /// again. At a limit of 1 the target is left alone for a time that doubles up to 640 ms,
    /// because 36 nodes with one request each can still exceed the slots of a target. \param sent
    /// when the request was sent \param now time of the answer \param jitter in [0, 1), spreads the
    /// nodes' next attempts
    void on_shed(instant sent, instant now, double jitter);

    /// \returns true when a request may be sent now
    [[nodiscard]] bool has_place(instant now) const;
    /// \returns the end of the time in which the target is left alone
    [[nodiscard]] instant held_until() const { return held_until_; }
    [[nodiscard]] std::uint32_t limit() const { return limit_; }
    [[nodiscard]] std::uint32_t outstanding() const { return outstanding_; }

private:
    std::uint32_t slots_;
    std::uint32_t limit_{1};
    std::uint32_t outstanding_{0};
    std::uint32_t answered_{0}; ///< since the limit last changed
    bool filled_{false};        ///< the limit was reached since it last changed
    instant halved_{instant::min()};
    instant held_until_{instant::min()};
    milliseconds hold_{0};
};

} // namespace wigeonrill::routing

#endif
