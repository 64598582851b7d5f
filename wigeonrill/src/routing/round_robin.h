#ifndef WIGEONRILL_ROUTING_ROUND_ROBIN_H
#define WIGEONRILL_ROUTING_ROUND_ROBIN_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Chooses the candidates in turn. A baseline for comparison in benchmarks.
class round_robin final : public placement_policy {
public:
    [[nodiscard]] std::size_t choose(std::span<const placement_candidate> candidates,
                                     random_source& random) override;

private:
    std::size_t next_{0};
};

} // namespace wigeonrill::routing

#endif
