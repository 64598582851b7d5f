#ifndef WIGEONRILL_CONFIG_SNAPSHOT_H
#define WIGEONRILL_CONFIG_SNAPSHOT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief One accepted version of the configuration. Immutable once it is shared between threads.
struct snapshot {
    std::uint64_t version{0};
    wall_time published{};                ///< when this version was published
    std::uint64_t rules_version{0};       ///< see change_set::rules_version
    milliseconds resend_window{600'000};  ///< how long a caller may send an idempotency key again
    milliseconds owner_lease{21'600'000}; ///< longest time that a key owner may run keys without
                                          ///< confirmation of its configuration
    caller_authentication authentication{caller_authentication::none};
    std::vector<service> services;         ///< sorted by name
    std::vector<route> routes;             ///< sorted by name
    shared_list<workspace> workspaces;     ///< sorted by name
    std::vector<key_owner_set> key_owners; ///< sorted by effective_from, newest last
    std::vector<vm_record> vms; ///< platform's list of VMs as of this version, sorted by address

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// \brief Shared ownership of an immutable snapshot.
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// \brief Finds a service by binary search.
/// \returns the service, or null if there is none with this name
[[nodiscard]] const service* find_service(const snapshot& configuration, const service_name& name);

} // namespace wigeonrill::config

#endif
