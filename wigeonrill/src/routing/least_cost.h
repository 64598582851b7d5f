#ifndef WIGEONRILL_ROUTING_LEAST_COST_H
#define WIGEONRILL_ROUTING_LEAST_COST_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \returns what a request is expected to lose at a target, in service times: its wait for a slot,
///          the risk of a failure, a cold start and the way to another failure domain
[[nodiscard]] double expected_cost(const placement_candidate& it);

/// \brief Takes the candidate of least expected cost, at random among equals.
///
/// It answers the load pattern of small targets that are nearly full while a part of them fails
/// what it gets: a free target that works is worth a search among all of them. It needs counts of
/// other nodes; without these most candidates are equal and the choice is random.
class least_cost final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
};

} // namespace wigeonrill::routing

#endif
