#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

namespace {

// Number of sends of one request to the owner of its key. A second send is safe, because the owner
// deduplicates by the key.
constexpr std::uint32_t max_forwards = 2;

// Returns whether a status means that a node's rules don't allow a request.
bool denies_access(int status) {
    return status == 401 || status == 403 || status == 404 || status == 405;
}

} // namespace

bool decision_core::check_key(request_record& record, clock_reading at) {
    if (!at_most_once(record)) {
        return true;
    }
    if (record.info.idempotency_key.empty()) {
        if (record.route->key == config::key_policy::optional) {
            return true;
        }
        refuse(record, refusal_kind::key_required, traffic::outcome::not_run, at.now);
        return false;
    }
    auto decision = key_admission_.admit(record.info, *record.view->configuration, at);
    switch (decision.chosen_action) {
    case key_decision::action::run:
        record.key = std::move(decision.key);
        record.holds_key = true;
        return true;
    case key_decision::action::wait:
        record.key = std::move(decision.key);
        record.waits_for_key = true;
        return false;
    case key_decision::action::forward:
        record.key_owner = std::move(decision.owner);
        forward(record, "another node owns the key");
        return false;
    case key_decision::action::replay:
        replay(record, std::move(decision.answer));
        return false;
    case key_decision::action::refuse:
        break;
    }
    refuse(record, decision.kind, decision.result, at.now, decision.retry_after);
    return false;
}

void decision_core::forward(request_record& record, std::string reason) {
    record.forwarding = true;
    record.reason = std::move(reason);
    ++record.attempts;
    traffic::step step;
    step.kind = traffic::step_kind::forward;
    step.address = record.key_owner;
    set_next_step(record, std::move(step), {});
}

void decision_core::replay(request_record& record,
                           std::shared_ptr<const traffic::stored_answer> answer) {
    record.reason = "the key was answered before";
    traffic::step step;
    step.kind = traffic::step_kind::replay;
    step.answer = std::move(answer);
    set_next_step(record, std::move(step), {});
}

bool decision_core::handle_forward_result(request_record& record,
                                          const traffic::attempt_result& attempt, instant now) {
    if (is_shed(attempt.kind)) {
        return false;
    }
    if (is_answer(attempt.kind) && has_unproven_status(record, attempt)) {
        refuse_unproven_status(record, attempt, now);
        return true;
    }
    if (is_answer(attempt.kind)) {
        // A refusal of the owner about the key states the outcome; it is passed on.
        if (!attempt.node_refusal || !denies_access(attempt.status)) {
            return false;
        }
        // This node has allowed the request, so one of the two has other rules in force.
        refuse(record, refusal_kind::key_owner_disputed, outcome_of(record), now, seconds(2));
        return true;
    }
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted = attempt.kind != health::answer_kind::cancelled &&
                        !attempt.answer_partly_sent && now < record.deadline;
    if (sendable && wanted && record.attempts < max_forwards) {
        forward(record, "the connection to the owner of the key failed");
        return true;
    }
    refuse(record, refusal_kind::key_owner_unreachable, traffic::outcome::unknown, now, seconds(2));
    return true;
}

void decision_core::finish_key(request_record& record, once::key_state state,
                               std::shared_ptr<const traffic::stored_answer> answer, instant now) {
    record.holds_key = false;
    for (const auto id : key_admission_.finish(*record.key, state, std::move(answer), now)) {
        resolve_key_waiter(record_of(id), state, now);
        ready_ids_.push_back(id);
    }
}

void decision_core::resolve_key_waiter(request_record& record, once::key_state state, instant now) {
    record.waits_for_key = false;
    if (state == once::key_state::not_run) {
        // The holder's caller was told that the request was not run. Requests that arrived before
        // that answer must not run it afterwards, so refuse them too.
        refuse(record, refusal_kind::key_refused, traffic::outcome::not_run, now, seconds(1));
    } else if (state == once::key_state::unknown) {
        refuse(record, refusal_kind::key_unknown, traffic::outcome::unknown, now);
    } else if (auto answer = key_admission_.find_answer(*record.key)) {
        replay(record, std::move(answer));
    } else {
        refuse(record, refusal_kind::answer_not_kept, traffic::outcome::unknown, now);
    }
}

void decision_core::expire_key_waiter(request_record& record, instant now) {
    if (now < record.deadline) {
        return;
    }
    key_admission_.remove_waiter(*record.key, record.info.id);
    record.waits_for_key = false;
    // The request that holds the key may still run.
    refuse(record, refusal_kind::key_in_progress, traffic::outcome::unknown, now, seconds(1));
    ready_ids_.push_back(record.info.id);
}

} // namespace wigeonrill::dispatch
