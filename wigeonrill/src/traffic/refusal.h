#ifndef WIGEONRILL_TRAFFIC_REFUSAL_H
#define WIGEONRILL_TRAFFIC_REFUSAL_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief What is known about a request that got no answer from a target.
enum class outcome : std::uint8_t {
    not_run, ///< no target received any byte of it under its key
    unknown  ///< a target may have run it
};

/// \brief Values of the header Wigeonrill-Outcome.
inline constexpr enum_name_table<outcome, 2> outcome_names{{
    {outcome::not_run, "not-run"},
    {outcome::unknown, "unknown"},
}};

/// \brief Content of a refusal, sent as problem details (RFC 9457).
struct refusal {
    int status{503};    ///< HTTP status code
    std::string type;   ///< last path segment of the problem type, such as "queue-full"
    std::string title;  ///< short text that is the same for every refusal of the type
    std::string detail; ///< what happened to this request and what the caller can do
    outcome result{outcome::not_run};
    std::optional<seconds> retry_after; ///< only where a later attempt can succeed
};

} // namespace wigeonrill::traffic

#endif
