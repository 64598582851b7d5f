#ifndef WIGEONRILL_DISPATCH_TARGET_EXPLANATION_H
#define WIGEONRILL_DISPATCH_TARGET_EXPLANATION_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief Reasons why a target gets no new request of this node now.
enum class target_obstacle : std::uint8_t {
    none,         ///< it can take a request
    not_eligible, ///< the view leaves it out, because of its state or for the floor
    draining,     ///< it announced that it is draining
    misdirected,  ///< another target answered at its address
    paused,       ///< it asked this node for a pause
    backoff,      ///< it refused requests, and the time until the next one isn't over
    at_limit,     ///< this node has as many requests in it as its concurrency limit allows
    rate_limit    ///< this node's share of its rate limit is used up, or there is no share
};

/// \brief Names of the obstacles in the explanation of a request.
inline constexpr enum_name_table<target_obstacle, 8> target_obstacle_names{{
    {target_obstacle::none, "none"},
    {target_obstacle::not_eligible, "not eligible"},
    {target_obstacle::draining, "draining"},
    {target_obstacle::misdirected, "another target has its address"},
    {target_obstacle::paused, "asked for a pause"},
    {target_obstacle::backoff, "in a backoff after refusals"},
    {target_obstacle::at_limit, "at its concurrency limit"},
    {target_obstacle::rate_limit, "rate limit"},
}};

/// \brief State of a target as the next placement would see it.
struct target_explanation {
    target_id id;
    target_obstacle obstacle{target_obstacle::none};
    routing::placement_candidate state; ///< load and health that policies compare
    std::uint32_t limit{1};             ///< concurrency limit of this node
    double expected_cost{0.0};          ///< see routing::expected_cost()
    bool awaits_probe{false}; ///< the next request goes to it, to learn whether it has recovered
    bool is_choice{false};    ///< the next request goes to it, or to another choice
};

} // namespace wigeonrill::dispatch

#endif
