#ifndef WIGEONRILL_ROUTING_TWO_RANDOM_CHOICES_H
#define WIGEONRILL_ROUTING_TWO_RANDOM_CHOICES_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Draws two candidates in proportion to their capacity and takes the less loaded one.
///
/// The draw is weighted so that a target at 10% weight gets about 10% of a share also while all
/// targets are idle and equal in relative load.
class two_random_choices final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
};

} // namespace wigeonrill::routing

#endif
