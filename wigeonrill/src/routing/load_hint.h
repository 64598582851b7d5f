#ifndef WIGEONRILL_ROUTING_LOAD_HINT_H
#define WIGEONRILL_ROUTING_LOAD_HINT_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Load that a target reported with its last answer. It may be late or wrong.
///
/// The reported load decays linearly to 0 within 1 s and is limited to twice the slots. Thus a
/// stale or wrong report can't exclude a target, and can't outweigh this process's own request
/// count.
class load_hint {
public:
    /// \brief Records a reported load.
    /// \param load number of requests in the target; ignored when negative
    /// \param slots slots of the target
    void report(std::int32_t load, std::uint32_t slots, instant now);
    /// \returns the decayed load at a time; 0 without a recent report
    [[nodiscard]] double at(instant now) const;

private:
    double load_{0.0};                 ///< load at the time of the report
    instant reported_{instant::min()}; ///< time of the report; instant::min(): none
};

} // namespace wigeonrill::routing

#endif
