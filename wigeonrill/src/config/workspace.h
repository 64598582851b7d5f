#ifndef WIGEONRILL_CONFIG_WORKSPACE_H
#define WIGEONRILL_CONFIG_WORKSPACE_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief A group of callers that share one request rate limit.
struct workspace {
    workspace_name name;
    std::uint32_t requests_per_second{0}; ///< rate limit on each node; 0: no limit

    friend bool operator==(const workspace&, const workspace&) = default;
};

} // namespace wigeonrill::config

#endif
