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

/// \returns true for a status by which callers understand that the request did not and won't run
[[nodiscard]] constexpr bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// \brief Status that says no more than is known: 502 in place of a promise when a target may have
///        run the request, and 503 in place of 502 or 504 when none has.
[[nodiscard]] constexpr int truthful_status(int status, outcome result) {
    if (result == outcome::unknown) {
        return promises_not_run(status) ? 502 : status;
    }
    return status == 502 || status == 504 ? 503 : status;
}

} // namespace wigeonrill::traffic

#endif
