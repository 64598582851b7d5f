#ifndef WIGEONRILL_DISPATCH_TARGET_PLACE_H
#define WIGEONRILL_DISPATCH_TARGET_PLACE_H

#ifndef WIGEONRILL_DISPATCH_MODULE
#error "Include wigeonrill/dispatch.h instead of this file."
#endif

namespace wigeonrill::dispatch {

/// \brief What this process knows of one target of a service; outlives views.
struct target_place {
    target_id id;
    endpoint address;
    std::uint32_t slots{1};
    routing::concurrency_limiter limiter{1};
    routing::load_hint hint;
    health::spell_estimate spell;
    routing::peer_load elsewhere; ///< requests of other nodes
    domain_name domain;
    std::uint32_t told{0}; ///< own requests as last told to other nodes
    instant told_at{instant::min()};
    instant draining_until{instant::min()}; ///< the target itself said that it is leaving
};

/// \brief Shared by the service and by the requests in the target.
using place_ptr = std::shared_ptr<target_place>;

} // namespace wigeonrill::dispatch

#endif
