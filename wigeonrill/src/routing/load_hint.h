#ifndef WIGEONRILL_ROUTING_LOAD_HINT_H
#define WIGEONRILL_ROUTING_LOAD_HINT_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Load that a target reported with an answer. It may lag or be wrong.
///
/// The hint fades within 1 s and counts for at most twice the slots, so that neither a stale nor a
/// false report can keep a target out of use or replace the count of this process's own requests.
class load_hint {
public:
    /// \param load requests in the target as reported; below 0: none
    void report(std::int32_t load, std::uint32_t slots, instant now);
    /// \returns the load to count at a time, 0 without a current report
    [[nodiscard]] double at(instant now) const;

private:
    double load_{0.0};
    instant reported_{instant::min()};
};

} // namespace wigeonrill::routing

#endif
