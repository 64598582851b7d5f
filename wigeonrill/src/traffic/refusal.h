#ifndef WIGEONRILL_TRAFFIC_REFUSAL_H
#define WIGEONRILL_TRAFFIC_REFUSAL_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Whether a request that got no answer from a target may have been run.
enum class outcome : std::uint8_t {
    not_run, ///< no target received any byte of the request or of an earlier one with its key
    unknown  ///< a target may have run the request
};

/// \brief Texts of the outcomes in the header Wigeonrill-Outcome.
inline constexpr enum_name_table<outcome, 2> outcome_names{{
    {outcome::not_run, "not-run"},
    {outcome::unknown, "unknown"},
}};

/// \brief Refusal of a request, sent to the caller as problem details (RFC 9457).
struct refusal {
    int status{503};    ///< HTTP status code
    std::string type;   ///< last path segment of the problem type, such as "queue-full"
    std::string title;  ///< short text, the same for every refusal of a type
    std::string detail; ///< what happened to this request and what the caller can do
    outcome result{outcome::not_run};
    std::optional<milliseconds> retry_after; ///< set only if a later attempt can succeed
};

/// \returns true for a status code that tells callers that the request did not and will not run
[[nodiscard]] constexpr bool implies_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// \brief Adapts a status code to the outcome of the request.
///
/// A status code that implies that the request did not run is replaced by 502 if a target may have
/// run it, and 502 or 504 is replaced by 503 if no target has run it.
[[nodiscard]] constexpr int status_for_outcome(int status, outcome result) {
    if (result == outcome::unknown) {
        return implies_not_run(status) ? 502 : status;
    }
    return status == 502 || status == 504 ? 503 : status;
}

} // namespace wigeonrill::traffic

#endif
