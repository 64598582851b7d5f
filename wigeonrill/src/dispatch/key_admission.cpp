#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

using action = key_decision::action;
using traffic::outcome;

// 48 MB of stored answers and about 300 bytes per key fit into the node's memory limit of 256 MB.
constexpr std::size_t max_keys = 131'072;
constexpr std::size_t max_answer_bytes = 50'331'648;

key_decision refusal_decision(refusal_kind kind, outcome result,
                              std::optional<milliseconds> retry_after = std::nullopt) {
    key_decision decision;
    decision.kind = kind;
    decision.result = result;
    decision.retry_after = retry_after;
    return decision;
}

key_decision refusal_decision(once::key_problem problem) {
    using once::key_problem;
    switch (problem) {
    case key_problem::never_issued:
        // Only this process may run the key, and it knows all keys that it has issued.
        return refusal_decision(refusal_kind::key_never_issued, outcome::not_run);
    case key_problem::process_gone:
        return refusal_decision(refusal_kind::key_process_gone, outcome::unknown);
    case key_problem::too_old:
        return refusal_decision(refusal_kind::key_too_old, outcome::unknown);
    case key_problem::from_future:
        return refusal_decision(refusal_kind::key_from_future, outcome::unknown);
    case key_problem::before_start:
        return refusal_decision(refusal_kind::key_before_start, outcome::unknown);
    case key_problem::owner_changed:
        return refusal_decision(refusal_kind::key_owner_changed, outcome::unknown);
    case key_problem::not_confirmed:
        return refusal_decision(refusal_kind::key_owner_unconfirmed, outcome::unknown, seconds(5));
    case key_problem::owner_disputed:
        return refusal_decision(refusal_kind::key_owner_disputed, outcome::unknown, seconds(5));
    default:
        return refusal_decision(refusal_kind::key_no_owner, outcome::unknown);
    }
}

} // namespace

key_admission::key_admission(endpoint own_address, std::uint64_t incarnation, clock_reading started)
    : own_address_(std::move(own_address)), incarnation_(incarnation), started_(started),
      issuer_(own_address_, incarnation, started.now), table_(max_keys, max_answer_bytes) {}

key_decision key_admission::admit(const traffic::request_info& info,
                                  const config::snapshot& configuration, clock_reading at) {
    const auto key = once::parse_key(info.idempotency_key);
    if (!key) {
        // No node runs a request whose key can't be parsed.
        return refusal_decision(refusal_kind::key_invalid, outcome::not_run);
    }
    table_.set_retention(once::key_owner_policy::retention(configuration));
    const once::dedup_key entry{once::key_scope(*key, info.workspace, info.caller), key->text};
    const auto state = table_.state(entry, at.now);
    // A table entry takes precedence over the owner rules. The rules are needed only if there is no
    // entry, or if the entry allows the key to run again.
    if (!state || *state == once::key_state::not_run) {
        auto decision = decide_by_owner(*key, info.is_passed_on(), configuration, at);
        if (decision.chosen_action != action::run) {
            return decision;
        }
    }
    return decide_by_table(entry, request_fingerprint(info, {}), info.id, at.now);
}

key_decision key_admission::decide_by_owner(const once::idempotency_key& key, bool passed_on,
                                            const config::snapshot& configuration,
                                            clock_reading at) const {
    once::owner_context context;
    context.self = own_address_;
    context.incarnation = incarnation_;
    context.started = started_.wall;
    context.uptime = at.now - started_.now;
    context.known_history = table_.known_history(at.now);
    context.now = at.wall;
    context.confirmed = confirmed_;
    context.from_node = passed_on;
    const auto decision =
        once::key_owner_policy::decide(configuration, key, issuer_, context, at.now);
    key_decision result;
    switch (decision.chosen_action) {
    case once::owner_decision::action::run:
        result.chosen_action = action::run;
        return result;
    case once::owner_decision::action::forward:
        result.chosen_action = action::forward;
        result.owner = decision.owner;
        return result;
    default:
        return refusal_decision(decision.problem);
    }
}

key_decision key_admission::decide_by_table(const once::dedup_key& key, std::uint64_t fingerprint,
                                            std::uint64_t id, instant now) {
    key_decision decision;
    decision.key = key;
    switch (table_.begin(key, fingerprint, now)) {
    case once::begin_outcome::run:
        decision.chosen_action = action::run;
        return decision;
    case once::begin_outcome::wait:
        waiters_[key].push_back(id);
        decision.chosen_action = action::wait;
        return decision;
    case once::begin_outcome::replay:
        decision.chosen_action = action::replay;
        decision.answer = find_answer(key);
        return decision;
    case once::begin_outcome::answer_not_kept:
        return refusal_decision(refusal_kind::answer_not_kept, outcome::unknown);
    case once::begin_outcome::unknown:
        return refusal_decision(refusal_kind::key_unknown, outcome::unknown);
    case once::begin_outcome::fingerprint_mismatch:
        return refusal_decision(refusal_kind::key_reused, outcome::unknown);
    case once::begin_outcome::table_full:
        break;
    }
    // The owner rules allow a run and there is no entry, so no target has received this key.
    return refusal_decision(refusal_kind::dedup_full, outcome::not_run, seconds(10));
}

std::vector<std::uint64_t>
key_admission::finish(const once::dedup_key& key, once::key_state state,
                      std::shared_ptr<const traffic::stored_answer> answer, instant now) {
    once::stored_answer kept;
    kept.bytes = answer ? answer->body.size() : 0;
    kept.content = std::move(answer);
    table_.finish(key, state, std::move(kept), now);
    const auto it = waiters_.find(key);
    if (it == waiters_.end()) {
        return {};
    }
    auto waiting = std::move(it->second);
    waiters_.erase(it);
    return waiting;
}

void key_admission::remove_waiter(const once::dedup_key& key, std::uint64_t id) {
    const auto it = waiters_.find(key);
    if (it == waiters_.end()) {
        return;
    }
    std::erase(it->second, id);
    if (it->second.empty()) {
        waiters_.erase(it);
    }
}

std::shared_ptr<const traffic::stored_answer>
key_admission::find_answer(const once::dedup_key& key) const {
    return std::static_pointer_cast<const traffic::stored_answer>(table_.answer(key).content);
}

std::vector<std::uint64_t> key_admission::waiters() const {
    std::vector<std::uint64_t> all;
    for (const auto& [key, waiting] : waiters_) {
        all.insert(all.end(), waiting.begin(), waiting.end());
    }
    return all;
}

} // namespace wigeonrill::dispatch
