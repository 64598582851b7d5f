#include "wigeonrill/once.h"

#include <algorithm>

namespace wigeonrill::once {

namespace {

using action = owner_decision::action;

owner_decision refused(key_problem problem) {
    return {action::refuse, {}, problem};
}

owner_decision forward_to_owner(const endpoint& owner, const owner_context& context) {
    // Two nodes that disagree on the owner would forward the request to each other forever.
    return context.from_node ? refused(key_problem::owner_disputed)
                             : owner_decision{action::forward, owner, key_problem::none};
}

// Returns the age up to which a missing entry proves that a key was not run here. The second term
// is the smaller one after the resend window was raised, because entries were dropped by the
// shorter window before.
nanoseconds max_provable_age(const config::snapshot& configuration, const owner_context& context) {
    return std::min<nanoseconds>(configuration.resend_window,
                                 context.known_history - max_clock_skew);
}

owner_decision decide_issued(const config::snapshot& configuration, const idempotency_key& key,
                             const key_issuer& issuer, const owner_context& context, instant now) {
    if (key.owner != context.self) {
        return forward_to_owner(key.owner, context);
    }
    if (key.incarnation != context.incarnation) {
        return refused(key_problem::process_gone);
    }
    if (!issuer.has_issued(key)) {
        return refused(key_problem::never_issued);
    }
    if (now - issuer.issue_time(key) > max_provable_age(configuration, context)) {
        return refused(key_problem::too_old);
    }
    return {action::run, {}, key_problem::none};
}

// Returns the owner set that was in force at a time, or null.
const config::key_owner_set* owner_set_at(const config::snapshot& configuration, wall_time when) {
    const config::key_owner_set* found = nullptr;
    for (const auto& it : configuration.key_owners) {
        if (it.effective_from <= when) {
            found = &it;
        }
    }
    return found;
}

// Returns whether an owner set that was in force within the resend window names another owner.
bool owner_changed(const config::snapshot& configuration, const idempotency_key& key,
                   const endpoint& owner, wall_time now) {
    const auto since = now - configuration.resend_window - max_clock_skew;
    const auto* first = owner_set_at(configuration, since);
    return std::ranges::any_of(configuration.key_owners, [&](const config::key_owner_set& it) {
        const bool in_force =
            &it == first || (it.effective_from > since && it.effective_from <= now);
        return in_force && key_owner_policy::choose_owner(it, key) != owner;
    });
}

// Returns why the age of the key doesn't allow to run it, or none.
key_problem age_problem(const config::snapshot& configuration, const idempotency_key& key,
                        const owner_context& context) {
    if (key.kind == key_kind::other) {
        const auto known = std::min(context.uptime, context.known_history);
        const bool covers_window = known > configuration.resend_window + max_clock_skew;
        return covers_window ? key_problem::none : key_problem::before_start;
    }
    if (key.created > context.now + max_clock_skew) {
        return key_problem::from_future;
    }
    if (context.now - key.created > max_provable_age(configuration, context)) {
        return key_problem::too_old;
    }
    // The earlier process of this node accepted keys created up to one clock skew ahead of its
    // clock, which may itself differ by one clock skew from the clock of this process.
    return key.created > context.started + 2 * max_clock_skew ? key_problem::none
                                                              : key_problem::before_start;
}

// Returns whether this configuration's owner set is certainly in force. A set that replaces it may
// own keys created from confirmed + owner_lease on.
bool is_confirmed(const config::snapshot& configuration, const owner_context& context) {
    return context.now + 2 * max_clock_skew - context.confirmed <= configuration.owner_lease;
}

} // namespace

std::optional<endpoint> key_owner_policy::choose_owner(const config::key_owner_set& set,
                                                       const idempotency_key& key) {
    std::optional<endpoint> best;
    std::uint64_t best_score = 0;
    const auto key_hash = stable_hash(key.text);
    for (const auto& it : set.owners) {
        const auto score = rendezvous_score(key_hash, stable_hash(to_string(it)));
        if (!best || score > best_score || (score == best_score && it < *best)) {
            best = it;
            best_score = score;
        }
    }
    return best;
}

owner_decision key_owner_policy::decide(const config::snapshot& configuration,
                                        const idempotency_key& key, const key_issuer& issuer,
                                        const owner_context& context, instant now) {
    if (key.kind == key_kind::issued) {
        return decide_issued(configuration, key, issuer, context, now);
    }
    const auto creation_time = key.kind == key_kind::uuid_v7 ? key.created : context.now;
    const auto* set = owner_set_at(configuration, creation_time);
    const auto owner = set != nullptr ? choose_owner(*set, key) : std::nullopt;
    if (!owner) {
        return refused(key_problem::no_owner);
    }
    if (*owner != context.self) {
        return forward_to_owner(*owner, context);
    }
    if (!is_confirmed(configuration, context)) {
        return refused(key_problem::not_confirmed);
    }
    if (const auto problem = age_problem(configuration, key, context);
        problem != key_problem::none) {
        return refused(problem);
    }
    if (key.kind == key_kind::other && owner_changed(configuration, key, *owner, context.now)) {
        return refused(key_problem::owner_changed);
    }
    return {action::run, {}, key_problem::none};
}

} // namespace wigeonrill::once
