#ifndef WIGEONRILL_ROUTING_LEAST_OUTSTANDING_H
#define WIGEONRILL_ROUTING_LEAST_OUTSTANDING_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Chooses the candidate with the fewest outstanding requests of this process, at random
///        among equals. A baseline for comparison in benchmarks.
class least_outstanding final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
};

} // namespace wigeonrill::routing

#endif
