#ifndef WIGEONRILL_HEALTH_RELAY_NODE_H
#define WIGEONRILL_HEALTH_RELAY_NODE_H

#ifndef WIGEONRILL_HEALTH_MODULE
#error "Include wigeonrill/health.h instead of this file."
#endif

namespace wigeonrill::health {

/// \brief Other node that reaches targets, to which a node that doesn't passes requests on.
struct relay_node {
    endpoint address;        ///< at which it serves callers
    bool checks_keys{false}; ///< it checks the API key of a passed on request, and takes its credit
};

} // namespace wigeonrill::health

#endif
