#ifndef WIGEONRILL_CONFIG_VM_RECORD_H
#define WIGEONRILL_CONFIG_VM_RECORD_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief State of a VM in the platform's list. The list lags behind the actual state.
enum class vm_state : std::uint8_t { live, leaving };

/// \brief Names of the VM states in the platform's list.
inline constexpr enum_name_table<vm_state, 2> vm_state_names{{
    {vm_state::live, "live"},
    {vm_state::leaving, "leaving"},
}};

/// \brief What runs on a VM.
enum class vm_role : std::uint8_t { node, target };

/// \brief Names of the VM roles in the platform's list.
inline constexpr enum_name_table<vm_role, 2> vm_role_names{{
    {vm_role::node, "node"},
    {vm_role::target, "target"},
}};

/// \brief One entry of the platform's list of VMs.
struct vm_record {
    endpoint address; ///< address for peer traffic of a node, or the address of a target
    domain_name domain;
    vm_role role{vm_role::node};
    vm_state state{vm_state::live};

    friend bool operator==(const vm_record&, const vm_record&) = default;
};

} // namespace wigeonrill::config

#endif
