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

/// \brief Chooses the candidate with the least expected cost among a random sample, at random among
///        equals.
///
/// It suits services with small targets that are nearly full while some of them fail: then
/// comparing many targets is worthwhile, to find one that is free and healthy. It relies on the
/// request counts that nodes publish. Without them most candidates have equal costs and the choice
/// is random.
///
/// The counts are some milliseconds old. Nodes that all looked at every target would choose the
/// same few free ones at the same time and fill them, so each looks at a sample of every kind: of
/// the own and of other failure domains, of the own slice and of other ones. This load pattern is
/// that of many nodes whose requests come in bursts that nearly fill the targets.
class least_cost final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;
    [[nodiscard]] bool excludes_worse_candidates() const override { return true; }

private:
    /// \brief Fills sample_ with the positions of the candidates to compare.
    void draw_sample(std::span<const placement_candidate> candidates, random_source& random);

    std::array<std::vector<std::size_t>, 4> kinds_; ///< positions; kept, to avoid reallocation
    std::vector<std::size_t> sample_;               ///< positions; kept, to avoid reallocation
};

} // namespace wigeonrill::routing

#endif
