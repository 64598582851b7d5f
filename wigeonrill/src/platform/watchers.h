#ifndef WIGEONRILL_PLATFORM_WATCHERS_H
#define WIGEONRILL_PLATFORM_WATCHERS_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Watching nodes per failure domain: two can fail before the others rely on polls.
inline constexpr std::size_t watchers_per_domain = 3;

/// \brief Chooses the nodes that hold a watch: the highest rendezvous scores of their domain.
/// \param vms the platform's list; nodes that are leaving are not chosen
/// \returns whether the node at this peer address is one of them
[[nodiscard]] bool may_watch(const endpoint& self, const std::vector<config::vm_record>& vms);

} // namespace wigeonrill::platform

#endif
