#ifndef WIGEONRILL_ROUTING_TWO_RANDOM_CHOICES_H
#define WIGEONRILL_ROUTING_TWO_RANDOM_CHOICES_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Draws two candidates at random and chooses the one with the lower relative load.
///
/// Candidates are drawn in proportion to their capacity. Thus a target with a weight of 10% gets
/// about 10% of a full share, also when all targets are idle and have equal relative loads.
class two_random_choices final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
};

} // namespace wigeonrill::routing

#endif
