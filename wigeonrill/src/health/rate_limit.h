#ifndef WIGEONRILL_HEALTH_RATE_LIMIT_H
#define WIGEONRILL_HEALTH_RATE_LIMIT_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief What a target last stated about its rate limit, as nodes tell it to each other.
struct rate_limit {
    service_name service;
    target_id target;
    /// Requests per second from all nodes together; nothing: the target has no limit any more.
    std::optional<double> per_second;
    std::uint64_t sequence{0}; ///< higher for a later statement of the target
    instant expires{};         ///< the limit ends then unless the target states it again

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// \returns true when one notice replaces another about the same target: the later one, or of two
///          that nodes made at the same time the one with the lower limit
[[nodiscard]] bool supersedes(const rate_limit& one, const rate_limit& other);

} // namespace wigeonrill::health

#endif
