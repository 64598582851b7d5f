#include "wigeonrill/quota.h"

#include <algorithm>

namespace wigeonrill::quota {

namespace {

// A granter that hasn't answered by then counts as silent; the usual answer takes one round trip
// and the time in which two nodes read their messages.
constexpr milliseconds answer_time{80};
// Longest time for which granters that have refused aren't asked again.
constexpr milliseconds max_refusal_memory{500};
// Requests of a workspace that may wait while it is over its limit.
constexpr std::size_t max_waiting = 4;
constexpr milliseconds silence_retry_after{150};
constexpr seconds account_lifetime{10};
constexpr seconds removal_interval{2};

} // namespace

void credit_client::set_nodes(node_id self, const std::vector<node_id>& live,
                              const fleet_size& size, instant now) {
    self_ = std::move(self);
    known_nodes_ = static_cast<std::uint32_t>(std::max(size.known, live.size()));
    voter_.set_nodes(self_, live, size, now);
}

credit_result credit_client::request(std::uint64_t request, const config::workspace& limited,
                                     instant now) {
    const auto& workspace = limited.name;
    auto& it = accounts_[workspace];
    it.used = now;
    if (it.waiting.empty() && take_credit(it, now)) {
        return {credit_state::granted, {}};
    }
    if (now >= voter_.lent_until(workspace)) {
        if (take_own_part(it, limited, now)) {
            return {credit_state::granted, {}};
        }
        return {credit_state::unknown, spread(silence_retry_after)};
    }
    const bool is_refusing = now < it.refused_until;
    if (is_refusing && (it.waiting.size() >= max_waiting || it.refused_until >= now + max_wait)) {
        const auto rest = std::chrono::ceil<milliseconds>(it.refused_until - now);
        return {credit_state::refused, spread(std::max(rest, it.retry_after.value_or(rest)))};
    }
    it.waiting.push_back({request, now + max_wait});
    if (is_refusing) {
        it.ask_at = it.refused_until;
    } else if (it.open_question == 0) {
        ask_first_seat(workspace, it, now);
    }
    return {};
}

bool credit_client::take_own_part(account& it, const config::workspace& limited, instant now) {
    // A process that has just started doesn't know what the one before it has used.
    constexpr double initial_share = 0.5;
    const double part = (1.0 + spare_share) / static_cast<double>(voter_.parts());
    const double depth = part * burst_of(limited);
    const auto unlent_since = voter_.lent_until(limited.name);
    const bool was_lent = unlent_since != instant::min();
    if (!it.own_part) {
        const double level = was_lent ? 0.0 : initial_share * depth;
        it.own_part = part_allowance(level, random_->uniform(), was_lent ? unlent_since : now);
    } else if (was_lent && it.own_part->filled_until() < unlent_since) {
        it.own_part->restart(unlent_since); // A granter may have granted the part.
    }
    return it.own_part->take(part * limited.requests_per_second, depth, now);
}

bool credit_client::take_credit(account& it, instant now) {
    for (auto& one : it.credits) {
        if (one.count > 0 && now < one.expires) {
            --one.count;
            return true;
        }
    }
    return false;
}

void credit_client::ask_first_seat(const workspace_name& workspace, account& it, instant now) {
    it.first_seat = random_->next_below(seats_per_workspace);
    it.asked_seats = 0;
    it.retry_after.reset();
    ask_next_seat(workspace, it, now);
}

void credit_client::ask_next_seat(const workspace_name& workspace, account& it, instant now) {
    while (it.asked_seats < seats_per_workspace) {
        const auto index = (it.first_seat + it.asked_seats) % seats_per_workspace;
        ++it.asked_seats;
        const auto of = seat_of(workspace, index);
        // A silent granter is asked only if it is the last one, so that its return is noticed.
        if (it.asked_seats == seats_per_workspace || !voter_.is_silent(of, now)) {
            send_question(workspace, it, of, now);
            return;
        }
    }
    refuse_waiting(it, now);
}

void credit_client::send_question(const workspace_name& workspace, account& it, seat of,
                                  instant now) {
    const auto number = ++last_number_;
    const auto wanted = static_cast<std::uint32_t>(it.waiting.size());
    const auto& granter = voter_.granter_of(of);
    it.open_question = number;
    questions_[number] = {workspace, granter, of, now, wanted};
    message_to(granter).requests.push_back({of, workspace, number, wanted, 0});
}

void credit_client::on_grant(const node_id& from, const credit_grant& grant, instant now) {
    voter_.on_answer(from);
    for (const auto& answer : grant.answers) {
        const auto found = questions_.find(answer.number);
        if (found == questions_.end() || found->second.granter != from) {
            continue;
        }
        const auto asked = found->second;
        questions_.erase(found);
        auto& it = accounts_[asked.workspace];
        const bool is_current =
            asked.granter == voter_.granter_of(asked.of) && now < asked.sent + credit_lifetime;
        if (is_current && answer.granted > 0) {
            const auto count = std::min(answer.granted, asked.wanted);
            it.credits.push_back({count, asked.sent + credit_lifetime, asked.of, from});
            serve_waiting(it, now);
        }
        const bool is_refused = answer.granted < asked.wanted;
        if (is_refused) {
            it.retry_after =
                std::min(it.retry_after.value_or(answer.retry_after), answer.retry_after);
        }
        if (it.open_question != answer.number) {
            continue; // The next granter was asked meanwhile.
        }
        it.open_question = 0;
        if (it.waiting.empty()) {
            continue;
        }
        if (is_refused) {
            ask_next_seat(asked.workspace, it, now);
        } else {
            ask_first_seat(asked.workspace, it, now); // requests that came after the question
        }
    }
}

void credit_client::serve_waiting(account& it, instant now) {
    while (!it.waiting.empty() && take_credit(it, now)) {
        resolved_.push_back({it.waiting.front().request, {credit_state::granted, {}}});
        it.waiting.pop_front();
    }
}

void credit_client::refuse_waiting(account& it, instant now) {
    const bool was_answered = it.retry_after.has_value();
    const auto state = was_answered ? credit_state::refused : credit_state::unknown;
    const auto retry_after = it.retry_after.value_or(silence_retry_after);
    std::erase_if(it.waiting, [&](const waiting_request& one) {
        const bool may_wait = was_answered && now + retry_after < one.until;
        if (!may_wait) {
            resolved_.push_back({one.request, {state, spread(retry_after)}});
        }
        return !may_wait;
    });
    it.open_question = 0;
    if (was_answered) {
        it.refused_until = now + std::min(retry_after, max_refusal_memory);
        it.ask_at = now + retry_after;
    }
}

milliseconds credit_client::spread(milliseconds least) {
    const auto range = static_cast<std::uint64_t>(least.count() / 2 + 1);
    return least + milliseconds(random_->next_below(range));
}

void credit_client::cancel(std::uint64_t request, const workspace_name& workspace, instant now) {
    if (const auto it = accounts_.find(workspace); it != accounts_.end()) {
        std::erase_if(it->second.waiting,
                      [&](const waiting_request& one) { return one.request == request; });
    }
    const auto resolved = std::ranges::find(resolved_, request, &resolved_request::request);
    if (resolved != resolved_.end()) {
        const bool was_granted = resolved->result.state == credit_state::granted;
        resolved_.erase(resolved);
        if (was_granted) {
            refund(workspace, now);
        }
    }
}

void credit_client::refund(const workspace_name& workspace, instant now) {
    const auto found = accounts_.find(workspace);
    if (found == accounts_.end()) {
        return;
    }
    auto& it = found->second;
    const auto usable =
        std::ranges::find_if(it.credits, [&](const credit& one) { return now < one.expires; });
    if (usable != it.credits.end()) {
        ++usable->count;
        serve_waiting(it, now);
    }
}

void credit_client::return_expired_credit(const workspace_name& workspace, account& it,
                                          instant now) {
    for (const auto& one : it.credits) {
        const bool is_granter = one.granter == voter_.granter_of(one.of);
        if (now >= one.expires && one.count > 0 && is_granter) {
            message_to(one.granter).requests.push_back({one.of, workspace, 0, 0, one.count});
        }
    }
    std::erase_if(it.credits, [&](const credit& one) { return now >= one.expires; });
}

void credit_client::expire_waiting(account& it, instant now) {
    const bool was_answered = it.retry_after.has_value();
    while (!it.waiting.empty() && now >= it.waiting.front().until) {
        const auto state = was_answered ? credit_state::refused : credit_state::unknown;
        resolved_.push_back({it.waiting.front().request,
                             {state, spread(it.retry_after.value_or(silence_retry_after))}});
        it.waiting.pop_front();
    }
}

void credit_client::tick(instant now) {
    if (!has_granters()) {
        return;
    }
    for (auto& [workspace, it] : accounts_) {
        return_expired_credit(workspace, it, now);
        expire_waiting(it, now);
        if (it.open_question == 0 && !it.waiting.empty() && now >= it.ask_at) {
            const auto refused_before = it.retry_after;
            ask_first_seat(workspace, it, now);
            it.retry_after = refused_before;
        }
        const auto open = questions_.find(it.open_question);
        if (it.open_question != 0 && open != questions_.end() &&
            now >= open->second.sent + answer_time) {
            voter_.on_silence(open->second.granter, now);
            it.open_question = 0;
            if (!it.waiting.empty()) {
                ask_next_seat(workspace, it, now);
            }
        }
    }
    std::erase_if(questions_,
                  [&](const auto& it) { return now >= it.second.sent + credit_lifetime; });
    if (now >= next_removal_) {
        next_removal_ = now + removal_interval;
        std::erase_if(accounts_, [&](const auto& it) {
            return it.second.waiting.empty() && now >= it.second.used + account_lifetime;
        });
    }
    send_votes(now);
}

void credit_client::send_votes(instant now) {
    if (now < next_votes_) {
        return;
    }
    next_votes_ = now + seat_voter::vote_interval;
    for (const auto& it : voter_.granters()) {
        message_to(it);
    }
}

credit_ask& credit_client::message_to(const node_id& granter) {
    return messages_[granter];
}

std::vector<outgoing_ask> credit_client::take_asks(instant now) {
    std::vector<outgoing_ask> all;
    for (auto& [granter, content] : std::exchange(messages_, {})) {
        auto& requests = content.requests;
        do {
            outgoing_ask next{granter, {}};
            next.content.known_nodes = known_nodes_;
            voter_.add_votes(granter, next.content, now);
            const auto count = requests.empty() ? 0 : requests_of_one_ask(requests);
            const auto last = requests.begin() + static_cast<std::ptrdiff_t>(count);
            next.content.requests.assign(requests.begin(), last);
            requests.erase(requests.begin(), last);
            all.push_back(std::move(next));
        } while (!requests.empty());
    }
    return all;
}

std::size_t credit_client::waiting() const {
    std::size_t n = 0;
    for (const auto& [workspace, it] : accounts_) {
        n += it.waiting.size();
    }
    return n;
}

} // namespace wigeonrill::quota
