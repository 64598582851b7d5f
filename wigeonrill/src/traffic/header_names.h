#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead."
#endif

#ifndef WIGEONRILL_TRAFFIC_HEADER_NAMES_H
#define WIGEONRILL_TRAFFIC_HEADER_NAMES_H

namespace wigeonrill::traffic {

/// \brief Names of the header fields by which callers, nodes and targets tell more than HTTP does.
///
/// An empty name means that the field is not used. docs/reference/headers.md describes them.
struct header_names {
    /// Caller's name of the request; a target repeats it, so that a late answer is recognized.
    std::string request_id;
    /// Milliseconds that the sender will wait for the answer.
    std::string deadline{"Request-Timeout-Ms"};
    /// Target that a request is meant for; another one at its address answers 421.
    std::string expected_target;
    /// Requests in a target: one number, or running, waiting and slots with commas.
    std::string load{"Target-Load"};
    /// The target did not run the request.
    std::string not_run{"Target-Shed"};
    /// The target is leaving.
    std::string draining{"Target-Draining"};
    /// Proof that a target made the answer; a success without it is not passed on.
    std::string signature;
    /// A 503 with Retry-After means that the target did not run the request.
    bool retry_after_means_not_run{true};
};

} // namespace wigeonrill::traffic

#endif
