#ifndef WIGEONRILL_ONCE_KEY_OWNER_POLICY_H
#define WIGEONRILL_ONCE_KEY_OWNER_POLICY_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Why a key can't be run here although this node is asked to.
enum class key_problem : std::uint8_t {
    none,
    process_gone,  ///< the process that issued the key is gone
    never_issued,  ///< the key names this process, which did not issue it
    too_old,       ///< older than the window; its entry may be gone
    from_future,   ///< created later than the clocks allow
    before_start,  ///< a predecessor of this process may have run it
    owner_changed, ///< another owner may have run it within the window
    not_confirmed, ///< the configuration may name another owner by now
    no_owner,      ///< no key owners are configured for the time of the key
    owner_disputed ///< a node forwarded it here, but the owner is another node
};

/// \brief Names of the problems in refusals and log lines.
inline constexpr enum_name_table<key_problem, 10> key_problem_names{{
    {key_problem::none, "none"},
    {key_problem::process_gone, "process_gone"},
    {key_problem::never_issued, "never_issued"},
    {key_problem::too_old, "too_old"},
    {key_problem::from_future, "from_future"},
    {key_problem::before_start, "before_start"},
    {key_problem::owner_changed, "owner_changed"},
    {key_problem::not_confirmed, "not_confirmed"},
    {key_problem::no_owner, "no_owner"},
    {key_problem::owner_disputed, "owner_disputed"},
}};

/// \brief What a node knows when it decides on a key.
struct owner_context {
    endpoint self;                              ///< own traffic address
    std::uint64_t incarnation{0};               ///< of this process
    wall_time started{};                        ///< start of this process
    nanoseconds uptime{0};                      ///< since the start on the monotonic clock
    nanoseconds remembered{nanoseconds::max()}; ///< see dedup_table::remembered()
    wall_time now{};
    wall_time confirmed{}; ///< last confirmation of the configuration in force
    bool from_node{false}; ///< another node forwarded the request
};

/// \brief Decision on a key that has no entry in this node's table.
struct owner_decision {
    enum class action : std::uint8_t { run, forward, refuse };
    action what{action::refuse};
    endpoint owner;                         ///< for forward
    key_problem problem{key_problem::none}; ///< for refuse
};

/// \brief Decides which process may run a key. Pure: equal inputs give equal decisions.
class key_owner_policy {
public:
    /// \param configuration snapshot with key_owners, resend_window and owner_lease
    /// \param issuer issuer of this process
    /// \param now monotonic time, for the age of issued keys
    [[nodiscard]] static owner_decision decide(const config::snapshot& configuration,
                                               const idempotency_key& key, const key_issuer& issuer,
                                               const owner_context& context, instant now);

    /// \returns the node with the highest rendezvous score of the key, or nothing without owners
    [[nodiscard]] static std::optional<endpoint> owner_in(const config::key_owner_set& set,
                                                          const idempotency_key& key);

    /// \returns how long a table keeps an entry: the window, and the clock error at both ends
    [[nodiscard]] static nanoseconds retention(const config::snapshot& configuration) {
        return configuration.resend_window + 2 * clock_error;
    }
};

} // namespace wigeonrill::once

#endif
