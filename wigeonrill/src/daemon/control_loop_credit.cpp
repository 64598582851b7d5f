#include "wigeonrill/daemon.h"

// Members of control_loop for the rate limits of workspaces.

namespace wigeonrill::daemon {

namespace {

// Time between two log lines about the limit of one workspace.
constexpr seconds limit_log_interval{5};

} // namespace

void control_loop::handle(const quota::outgoing_ask& ask) {
    if (dependencies_.gossip == nullptr) {
        return;
    }
    if (ask.to == dependencies_.gossip->id()) {
        answer_credit_ask(ask.to, ask.content);
    } else {
        dependencies_.gossip->send(ask.to, ask.content);
    }
}

void control_loop::detect_pause(instant now) {
    if (dependencies_.gossip != nullptr &&
        dependencies_.gossip->pause_count() >
            std::exchange(pauses_, dependencies_.gossip->pause_count())) {
        granter_.on_pause(now);
    }
}

void control_loop::answer_credit_ask(const node_id& from, const quota::credit_ask& ask) {
    const auto configuration = store_.current();
    if (!configuration) {
        return; // The node that asks goes on to another granter.
    }
    if (!workspaces_ || !workspaces_->is_of(configuration->workspaces)) {
        workspaces_ =
            std::make_shared<const config::workspace_directory>(configuration->workspaces);
    }
    const auto grant = granter_.on_ask(from, ask, *workspaces_, dependencies_.clock.now());
    log_credit_refusals(from, ask, grant);
    if (grant.answers.empty()) {
        return; // The message had votes only.
    }
    if (from == dependencies_.gossip->id()) {
        dependencies_.dispatcher.on_credit_grant(from, grant);
    } else {
        dependencies_.gossip->send(from, grant);
    }
}

void control_loop::log_credit_refusals(const node_id& from, const quota::credit_ask& ask,
                                       const quota::credit_grant& grant) {
    const auto now = dependencies_.clock.now();
    for (const auto& it : grant.answers) {
        const bool is_refused = it.retry_after.count() > 0;
        dependencies_.metrics.increment_counter(
            "wigeonrill_credit_answers_total",
            "Answers to questions about credit; refused: at least one "
            "request got none.",
            {{"answer", is_refused ? "refused" : "granted"}});
        const auto asked =
            std::ranges::find(ask.requests, it.number, &quota::credit_request::number);
        if (!is_refused || asked == ask.requests.end()) {
            continue;
        }
        auto& logged =
            limited_workspaces_.try_emplace(asked->workspace, instant::min()).first->second;
        if (logged != instant::min() && now < logged + limit_log_interval) {
            continue;
        }
        logged = now;
        write_log(observe::log_level::info, observe::log_subsystem::route,
                  observe::log_line("Workspace is over its rate limit.")
                      .with("workspace", asked->workspace.value)
                      .with("node", from.value)
                      .with("wanted", static_cast<std::int64_t>(asked->wanted))
                      .with("granted", static_cast<std::int64_t>(it.granted))
                      .with("share", std::to_string(granter_.share_of(asked->of, now)))
                      .with("retry_after_ms", it.retry_after.count()));
    }
    std::erase_if(limited_workspaces_,
                  [&](const auto& it) { return now >= it.second + limit_log_interval; });
}

} // namespace wigeonrill::daemon
