#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

namespace {

// Sends of one request to the owner of its key. The owner's table makes a second send harmless.
constexpr std::uint32_t most_forwards = 2;

} // namespace

bool decision_core::pass_key(request_record& record, moment at) {
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
    auto decision = gate_.admit(record.info, *record.view->configuration, at);
    switch (decision.what) {
    case key_decision::action::run:
        record.key = std::move(decision.key);
        record.holds_key = true;
        return true;
    case key_decision::action::wait:
        record.key = std::move(decision.key);
        record.waits_for_key = true;
        return false;
    case key_decision::action::forward:
        record.owner = std::move(decision.owner);
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
    step.address = record.owner;
    decide(record, std::move(step), {});
}

void decision_core::replay(request_record& record,
                           std::shared_ptr<const traffic::stored_answer> answer) {
    record.reason = "the key was answered before";
    traffic::step step;
    step.kind = traffic::step_kind::replay;
    step.answer = std::move(answer);
    decide(record, std::move(step), {});
}

void decision_core::after_forward(request_record& record, const traffic::attempt_result& attempt,
                                  instant now) {
    const bool sendable = record.info.body_replayable || !attempt.request_bytes_sent;
    const bool wanted = attempt.kind != health::answer_kind::cancelled &&
                        !attempt.answer_bytes_passed && now < record.deadline;
    if (sendable && wanted && record.attempts < most_forwards) {
        forward(record, "the connection to the owner of the key failed");
        return;
    }
    refuse(record, refusal_kind::key_owner_unreachable, traffic::outcome::unknown, now, seconds(2));
}

void decision_core::end_key(request_record& record, once::key_state state,
                            std::shared_ptr<const traffic::stored_answer> answer, instant now) {
    record.holds_key = false;
    for (const auto id : gate_.finish(*record.key, state, std::move(answer), now)) {
        answer_waiter(record_of(id), state, now);
        ready_.push_back(id);
    }
}

void decision_core::answer_waiter(request_record& record, once::key_state state, instant now) {
    record.waits_for_key = false;
    if (state == once::key_state::not_run) {
        // The holder's caller was told that the key was not run, so no request that came before
        // that runs it.
        refuse(record, refusal_kind::key_refused, traffic::outcome::not_run, now, seconds(1));
    } else if (state == once::key_state::unknown) {
        refuse(record, refusal_kind::key_unknown, traffic::outcome::unknown, now);
    } else if (auto answer = gate_.answer(*record.key)) {
        replay(record, std::move(answer));
    } else {
        refuse(record, refusal_kind::answer_not_kept, traffic::outcome::unknown, now);
    }
}

void decision_core::expire_key_waiter(request_record& record, instant now) {
    if (now < record.deadline) {
        return;
    }
    gate_.leave(*record.key, record.info.id);
    record.waits_for_key = false;
    // The holder may still run it.
    refuse(record, refusal_kind::key_in_progress, traffic::outcome::unknown, now, seconds(1));
    ready_.push_back(record.info.id);
}

} // namespace wigeonrill::dispatch
