#ifndef WIGEONRILL_PLATFORM_WATCHERS_H
#define WIGEONRILL_PLATFORM_WATCHERS_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Number of nodes per failure domain that watch the configuration service. When 2 of them
///        fail, the third still sees each change at once; when all fail, the domain depends on
///        polls.
inline constexpr std::size_t watchers_per_domain = 3;

/// \brief Determines whether a node watches the configuration service; the others poll it.
///
/// The watchers of a failure domain are its live nodes with the highest rendezvous scores.
/// \param self peer address of the node
/// \param vms the platform's VM list; nodes that are leaving are not chosen
/// \returns whether the node is a watcher; false if it is not a live node of the list
[[nodiscard]] bool is_watcher(const endpoint& self, const std::vector<config::vm_record>& vms);

} // namespace wigeonrill::platform

#endif
