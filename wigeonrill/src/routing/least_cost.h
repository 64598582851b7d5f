#ifndef WIGEONRILL_ROUTING_LEAST_COST_H
#define WIGEONRILL_ROUTING_LEAST_COST_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \returns the expected cost of sending a request to a target, in units of the service time: wait
///          for a slot, utilization, risk of failure, cold start, and transfer to another failure
///          domain
[[nodiscard]] double expected_cost(const placement_candidate& it);

/// \brief Chooses the candidate with the least expected cost, at random among equals.
///
/// It suits services with small targets that are nearly full while some of them fail: then
/// comparing all targets is worthwhile, to find one that is free and healthy. It relies on the
/// request counts that nodes publish. Without them most candidates have equal costs and the choice
/// is random.
class least_cost final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
    [[nodiscard]] bool excludes_worse_candidates() const override { return true; }
};

} // namespace wigeonrill::routing

#endif
