#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/target_attempt.h"

#include <algorithm>

// Members of target_attempt that choose its connection, and that judge how it ended.

namespace wigeonrill::traffic::detail {

namespace {

using health::answer_kind;

/// Longest time for the connection that shows whether a target is up after one was lost.
constexpr milliseconds max_check_time{250};
/// Time after which the new connection would have been reset by a process that ends.
constexpr milliseconds process_end_time{5};

/// Longest idle time of a connection for requests that must not be sent twice. A connection used
/// more recently is assumed to be open still.
constexpr milliseconds fresh_connection_max_idle{1'000};
/// Longest idle time of a connection for all other requests.
constexpr milliseconds reused_connection_max_idle{5'000};

} // namespace

connection_ptr target_attempt::take_idle_connection() {
    const bool fresh =
        plan_->needs_fresh_connection || plan_->route.repeat == config::repeat_policy::at_most_once;
    auto taken = context_->pool.take(plan_->address, fresh ? fresh_connection_max_idle
                                                           : reused_connection_max_idle);
    const bool carried_it =
        taken && std::ranges::find(request_->used_connections, taken->serial()) !=
                     request_->used_connections.end();
    return carried_it ? nullptr : std::move(taken);
}

bool target_attempt::open_connection(bool force_new) {
    connection_.reset();
    if (!force_new) {
        connection_ = take_idle_connection();
    }
    if (!connection_) {
        const auto left = std::chrono::ceil<milliseconds>(deadline_ - context_->clock->now());
        const auto limit = std::min(context_->options.connect_time, left);
        connection_ = limit.count() > 0 ? context_->pool.connect(plan_->address, limit) : nullptr;
        new_connection_opened_ = new_connection_opened_ || connection_ != nullptr;
    }
    if (connection_) {
        request_->used_connections.push_back(connection_->serial());
    }
    return connection_ != nullptr;
}

bool target_attempt::may_retry_on_new_connection() const {
    return result_.kind == answer_kind::connection_lost && !answer_started_ && !result_.silent &&
           plan_->route.repeat == config::repeat_policy::idempotent &&
           !plan_->needs_fresh_connection && request_->body_complete && !request_->body_streamed;
}

void target_attempt::check_whether_target_is_up() {
    const bool lost = result_.kind == answer_kind::connection_lost && result_.request_bytes_sent;
    const auto left = std::chrono::floor<milliseconds>(deadline_ - context_->clock->now());
    const auto limit = std::min({context_->options.connect_time, max_check_time, left});
    if (answered_ || !lost || plan_->kind != step_kind::send || limit.count() <= 0) {
        return;
    }
    auto connection = context_->pool.connect(plan_->address, limit);
    if (!connection) {
        return;
    }
    // A process that ends closes its sockets one after the other.
    const auto end = context_->clock->now() + process_end_time;
    if (wait_readable(connection->fd(), end, *context_->clock) == io_status::timed_out) {
        result_.target_is_up = true;
        context_->pool.put(plan_->address, std::move(connection));
    }
}

void target_attempt::give_up_connection() {
    const bool given_up =
        result_.kind == answer_kind::silent || result_.kind == answer_kind::cancelled;
    if (given_up && connection_ && silence_ && silence_->seems_silent()) {
        context_->abandoned.add(
            {std::move(connection_), std::move(silence_), request_->info, plan_->target});
    }
    silence_.reset();
    connection_.reset();
}

void target_attempt::release() {
    if (connection_ && may_reuse_connection_ && request_fully_sent_ &&
        connection_->reader().parser().done() && connection_->reader().parser().keep_alive()) {
        context_->pool.put(plan_->address, std::move(connection_));
    }
    connection_.reset();
}

} // namespace wigeonrill::traffic::detail
