#ifndef WIGEONRILL_ONCE_KEY_OWNER_POLICY_H
#define WIGEONRILL_ONCE_KEY_OWNER_POLICY_H

#ifndef WIGEONRILL_ONCE_MODULE
#error "Include wigeonrill/once.h instead of this file."
#endif

namespace wigeonrill::once {

/// \brief Why this node refuses to run a request with a key.
enum class key_problem : std::uint8_t {
    none,
    process_gone,  ///< the process that issued the key has ended
    never_issued,  ///< the key names this process as issuer, but it did not issue the key
    too_old,       ///< older than the resend window, so its entry may have been dropped
    from_future,   ///< created in the future by more than the allowed clock skew
    before_start,  ///< an earlier process of this node may have run it
    owner_changed, ///< another owner may have run it within the resend window
    not_confirmed, ///< this node's configuration may be out of date
    no_owner,      ///< no key owners are configured for the creation time of the key
    owner_disputed ///< a node forwarded it here, but by this node's configuration the owner
                   ///< is another one
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

/// \brief State of the node that decides on a key.
struct owner_context {
    endpoint self;                                 ///< traffic address of this node
    std::uint64_t incarnation{0};                  ///< incarnation of this process
    wall_time started{};                           ///< start of this process on the wall clock
    nanoseconds uptime{0};                         ///< time since the start, on the monotonic clock
    nanoseconds known_history{nanoseconds::max()}; ///< see dedup_table::known_history()
    wall_time now{};                               ///< wall clock of this node
    wall_time confirmed{}; ///< when the configuration in force was last confirmed as current
    bool from_node{false}; ///< whether the request is marked as forwarded by another node
};

/// \brief Decision on a key that has no entry in this node's deduplication table.
struct owner_decision {
    enum class action : std::uint8_t { run, forward, refuse };
    action chosen_action{action::refuse};
    endpoint owner;                         ///< set for forward
    key_problem problem{key_problem::none}; ///< set for refuse
};

/// \brief Decides which process may run a request with a key.
///
/// The decision depends on the arguments only.
class key_owner_policy {
public:
    /// \param configuration snapshot with key_owners, resend_window and owner_lease
    /// \param issuer key issuer of this process
    /// \param now time on the monotonic clock, for the age of issued keys
    /// \returns whether to run the request here, to forward it to the owner, or to refuse it
    [[nodiscard]] static owner_decision decide(const config::snapshot& configuration,
                                               const idempotency_key& key, const key_issuer& issuer,
                                               const owner_context& context, instant now);

    /// \returns the owner with the highest rendezvous score, or nothing if the set is empty
    [[nodiscard]] static std::optional<endpoint> choose_owner(const config::key_owner_set& set,
                                                              const idempotency_key& key);

    /// \returns how long an entry must be kept: the resend window, plus the allowed clock skew at
    ///          both ends
    [[nodiscard]] static nanoseconds retention(const config::snapshot& configuration) {
        return configuration.resend_window + 2 * max_clock_skew;
    }
};

} // namespace wigeonrill::once

#endif
