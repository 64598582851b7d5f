#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

using action = key_decision::action;
using traffic::outcome;

// 48 MB of answers and about 300 bytes per key stay inside the node's 256 MB.
constexpr std::size_t most_keys = 131'072;
constexpr std::size_t most_answer_bytes = 50'331'648;

key_decision refused(refusal_kind kind, outcome result,
                     std::optional<seconds> retry_after = std::nullopt) {
    key_decision decision;
    decision.kind = kind;
    decision.result = result;
    decision.retry_after = retry_after;
    return decision;
}

key_decision refused(once::key_problem problem) {
    using once::key_problem;
    switch (problem) {
    case key_problem::never_issued:
        // Only this process could run the key, and it knows all that it issued.
        return refused(refusal_kind::key_never_issued, outcome::not_run);
    case key_problem::process_gone:
        return refused(refusal_kind::key_process_gone, outcome::unknown);
    case key_problem::too_old:
        return refused(refusal_kind::key_too_old, outcome::unknown);
    case key_problem::from_future:
        return refused(refusal_kind::key_from_future, outcome::unknown);
    case key_problem::before_start:
        return refused(refusal_kind::key_before_start, outcome::unknown);
    case key_problem::owner_changed:
        return refused(refusal_kind::key_owner_changed, outcome::unknown);
    case key_problem::not_confirmed:
        return refused(refusal_kind::key_owner_unconfirmed, outcome::unknown, seconds(5));
    case key_problem::owner_disputed:
        return refused(refusal_kind::key_owner_disputed, outcome::unknown, seconds(5));
    default:
        return refused(refusal_kind::key_no_owner, outcome::unknown);
    }
}

} // namespace

key_gate::key_gate(endpoint own, std::uint64_t incarnation, moment started)
    : own_(std::move(own)), incarnation_(incarnation), started_(started),
      issuer_(own_, incarnation, started.now), table_(most_keys, most_answer_bytes) {}

key_decision key_gate::admit(const traffic::request_info& info,
                             const config::snapshot& configuration, moment at) {
    const auto key = once::parse_key(info.idempotency_key);
    if (!key) {
        // No node ever runs a key that can't be parsed.
        return refused(refusal_kind::key_invalid, outcome::not_run);
    }
    table_.set_retention(once::key_owner_policy::retention(configuration));
    const once::dedup_key entry{once::key_scope(*key, info.workspace, info.caller), key->text};
    const auto state = table_.state(entry, at.now);
    // An entry says more than the rules for keys without one. Only a run needs the rules again.
    if (!state || *state == once::key_state::not_run) {
        auto decision = by_owner(*key, info.from_node, configuration, at);
        if (decision.what != action::run) {
            return decision;
        }
    }
    return by_table(entry, request_fingerprint(info, {}), info.id, at.now);
}

key_decision key_gate::by_owner(const once::idempotency_key& key, bool from_node,
                                const config::snapshot& configuration, moment at) const {
    once::owner_context context;
    context.self = own_;
    context.incarnation = incarnation_;
    context.started = started_.wall;
    context.uptime = at.now - started_.now;
    context.remembered = table_.remembered(at.now);
    context.now = at.wall;
    context.confirmed = confirmed_;
    context.from_node = from_node;
    const auto decision =
        once::key_owner_policy::decide(configuration, key, issuer_, context, at.now);
    key_decision result;
    switch (decision.what) {
    case once::owner_decision::action::run:
        result.what = action::run;
        return result;
    case once::owner_decision::action::forward:
        result.what = action::forward;
        result.owner = decision.owner;
        return result;
    default:
        return refused(decision.problem);
    }
}

key_decision key_gate::by_table(const once::dedup_key& key, std::uint64_t fingerprint,
                                std::uint64_t id, instant now) {
    key_decision decision;
    decision.key = key;
    switch (table_.begin(key, fingerprint, now)) {
    case once::begin_outcome::run:
        decision.what = action::run;
        return decision;
    case once::begin_outcome::wait:
        waiters_[key].push_back(id);
        decision.what = action::wait;
        return decision;
    case once::begin_outcome::replay:
        decision.what = action::replay;
        decision.answer = answer(key);
        return decision;
    case once::begin_outcome::answer_not_kept:
        return refused(refusal_kind::answer_not_kept, outcome::unknown);
    case once::begin_outcome::unknown:
        return refused(refusal_kind::key_unknown, outcome::unknown);
    case once::begin_outcome::other_request:
        return refused(refusal_kind::key_reused, outcome::unknown);
    case once::begin_outcome::full:
        break;
    }
    // The owner rules passed and there is no entry, so no target ever got the key.
    return refused(refusal_kind::dedup_full, outcome::not_run, seconds(10));
}

std::vector<std::uint64_t> key_gate::finish(const once::dedup_key& key, once::key_state state,
                                            std::shared_ptr<const traffic::stored_answer> answer,
                                            instant now) {
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

void key_gate::leave(const once::dedup_key& key, std::uint64_t id) {
    const auto it = waiters_.find(key);
    if (it == waiters_.end()) {
        return;
    }
    std::erase(it->second, id);
    if (it->second.empty()) {
        waiters_.erase(it);
    }
}

std::shared_ptr<const traffic::stored_answer> key_gate::answer(const once::dedup_key& key) const {
    return std::static_pointer_cast<const traffic::stored_answer>(table_.answer(key).content);
}

std::vector<std::uint64_t> key_gate::waiters() const {
    std::vector<std::uint64_t> all;
    for (const auto& [key, waiting] : waiters_) {
        all.insert(all.end(), waiting.begin(), waiting.end());
    }
    return all;
}

} // namespace wigeonrill::dispatch
