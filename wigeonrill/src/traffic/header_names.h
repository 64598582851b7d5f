#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead."
#endif

#ifndef WIGEONRILL_TRAFFIC_HEADER_NAMES_H
#define WIGEONRILL_TRAFFIC_HEADER_NAMES_H

namespace wigeonrill::traffic {

/// \brief Names of the header fields beyond standard HTTP that callers, nodes and targets exchange.
///
/// An empty name means that the field is not used. docs/reference/headers.md describes them.
struct header_names {
    /// Identifier of the request, set by the caller. A target repeats it in its answer, so that a
    /// late answer to another request is recognized.
    std::string request_id;
    /// Time in milliseconds that the sender of the request waits for the answer.
    std::string deadline{"Request-Timeout-Ms"};
    /// Identifier of the target for which a request is intended. A different target that now has
    /// the same address answers 421.
    std::string expected_target;
    /// Load of a target: either its number of requests, or the numbers of running requests, waiting
    /// requests and slots, separated by commas.
    std::string load{"Target-Load"};
    /// Requests per second, a decimal number, that a target takes from all nodes together for as
    /// long as its answers say so.
    std::string rate_limit{"Target-Rate-Limit"};
    /// In an answer with a status of 500 or more, 408, 421 or 429: states that the target did not
    /// run the request, unless the value is 0 or false.
    std::string not_run{"Target-Shed"};
    /// The value 1 in an answer states that the target is draining.
    std::string draining{"Target-Draining"};
    /// Workspace of the request. Nodes set it when callers authenticate with API keys; otherwise
    /// callers do.
    std::string workspace{"Workspace"};
    /// Signature of a target in its answers. An answer with status 2xx that lacks this field is
    /// rejected.
    std::string signature;
    /// True if a 503 answer with Retry-After means that the target did not run the request.
    bool retry_after_means_not_run{true};
    /// True if a 503 answer with Retry-After states for how long, in seconds, the target takes no
    /// requests of this node.
    bool retry_after_is_pause{false};
    /// True if callers understand a Retry-After with decimals. The standard has whole seconds only.
    bool retry_after_has_decimals{false};
};

} // namespace wigeonrill::traffic

#endif
