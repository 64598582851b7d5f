#include "wigeonrill/dispatch.h"

// Members of decision_core for the workspace of a request: authentication and rate limit.

namespace wigeonrill::dispatch {

namespace {

using traffic::request_sender;

// Returns whether the sender claims that it has checked the API key. It may be a node of an older
// build that this one has not heard yet, so the claim isn't false for certain.
bool claims_checked_key(const traffic::request_info& info, const config::route& route) {
    return info.sender == request_sender::unknown_node && !info.api_key &&
           (route.needs_api_key || !info.workspace.empty());
}

// Returns whether the idempotency key belongs to a caller that only the sender knows.
bool has_key_of_unknown_caller(const traffic::request_info& info) {
    return info.sender == request_sender::unknown_node && info.workspace.empty() &&
           !info.idempotency_key.empty();
}

} // namespace

bool decision_core::authenticate(request_record& record, instant now) {
    const auto& info = record.info;
    const bool checks_key =
        view_->configuration->authentication == config::caller_authentication::api_key;
    record.is_authenticated = checks_key;
    if (checks_key && claims_checked_key(info, *record.route)) {
        refuse(record, refusal_kind::sender_unknown, outcome_of(record), now, seconds(1));
        return false;
    }
    const bool is_checked = info.sender == request_sender::vouching_node && !info.api_key;
    if (checks_key && !is_checked) {
        record.workspace = info.api_key ? workspaces_->find(*info.api_key) : nullptr;
        record.info.workspace = record.workspace != nullptr ? record.workspace->name.value : "";
        if (record.workspace == nullptr && record.route->needs_api_key) {
            refuse(record, refusal_kind::unauthenticated, outcome_of(record), now);
            return false;
        }
    } else {
        record.workspace = info.workspace.empty() ? nullptr : workspaces_->find(info.workspace);
    }
    if (has_key_of_unknown_caller(info)) {
        refuse(record, refusal_kind::sender_unknown, outcome_of(record), now, seconds(1));
        return false;
    }
    record.fingerprint = request_fingerprint(info, info.idempotency_key);
    return true;
}

bool decision_core::take_credit(request_record& record, instant now) {
    const bool is_taken = record.info.sender == request_sender::vouching_node;
    const bool is_limited =
        !is_taken && record.workspace != nullptr && record.workspace->requests_per_second > 0.0;
    if (!is_limited) {
        return true;
    }
    if (!credit_.has_granters()) {
        if (allowance_.take(*record.workspace, now)) {
            return true;
        }
        refuse_credit(record, {quota::credit_state::refused, seconds(1)}, now);
        return false;
    }
    const auto result = credit_.request(record.info.id, *record.workspace, now);
    record.waits_for_credit = result.state == quota::credit_state::waiting;
    record.has_credit = result.state == quota::credit_state::granted;
    if (!record.waits_for_credit && !record.has_credit) {
        refuse_credit(record, result, now);
    }
    return record.has_credit;
}

void decision_core::refund_credit(request_record& record, instant now) {
    if (record.has_credit) {
        record.has_credit = false;
        credit_.refund(record.workspace->name, now);
    }
}

void decision_core::refuse_credit(request_record& record, const quota::credit_result& result,
                                  instant now) {
    const bool is_known = result.state == quota::credit_state::refused;
    refuse(record, is_known ? refusal_kind::workspace_limit : refusal_kind::limit_unknown,
           outcome_of(record), now, result.retry_after);
}

void decision_core::abandon_credit(request_record& record, refusal_kind kind, instant now) {
    credit_.cancel(record.info.id, record.workspace->name, now);
    record.waits_for_credit = false;
    refuse(record, kind, outcome_of(record), now);
}

void decision_core::continue_request(request_record& record, clock_reading at) {
    if (check_key(record, at) && find_service(record, at) &&
        !handle_while_cut_off(record, at.now)) {
        record.service->on_request(at.now);
        if (!turn_away(record, at.now)) {
            place_or_queue(record, at);
        }
    }
}

void decision_core::on_credit_grant(const node_id& from, const quota::credit_grant& grant,
                                    clock_reading at) {
    credit_.on_grant(from, grant, at.now);
    resolve_credit(at);
    add_credit_asks(at.now);
}

void decision_core::tick_credit(clock_reading at) {
    credit_.tick(at.now);
    resolve_credit(at);
    add_credit_asks(at.now);
}

void decision_core::resolve_credit(clock_reading at) {
    for (const auto& it : credit_.take_resolved()) {
        const auto found = records_.find(it.request);
        if (found == records_.end() || !found->second.waits_for_credit) {
            continue;
        }
        auto& record = found->second;
        record.waits_for_credit = false;
        record.has_credit = it.result.state == quota::credit_state::granted;
        if (!record.has_credit) {
            refuse_credit(record, it.result, at.now);
        } else if (!refuse_when_stopping(record, at.now)) {
            continue_request(record, at);
        }
        ready_ids_.push_back(it.request);
    }
}

void decision_core::add_credit_asks(instant now) {
    for (auto& it : credit_.take_asks(now)) {
        events_.emplace_back(std::move(it));
    }
}

} // namespace wigeonrill::dispatch
