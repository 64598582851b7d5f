#ifndef WIGEONRILL_CONFIG_KEY_OWNER_SET_H
#define WIGEONRILL_CONFIG_KEY_OWNER_SET_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief The nodes that own the idempotency keys chosen by callers, from a point in time on.
struct key_owner_set {
    wall_time effective_from{};   ///< keys created earlier belong to the previous set
    std::vector<endpoint> owners; ///< addresses of the nodes for caller traffic
    wall_time announced{};        ///< when the set was first published, owner_lease or more before
                                  ///< effective_from

    friend bool operator==(const key_owner_set&, const key_owner_set&) = default;
};

} // namespace wigeonrill::config

#endif
