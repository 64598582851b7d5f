#include "wigeonrill/dispatch.h"

namespace wigeonrill::dispatch {

namespace {

constexpr std::string_view key_path = "/.wigeonrill/keys";

// Time between two checks whether the caller of a waiting request has left.
constexpr milliseconds caller_check_interval{100};

bool asks_for_key(const traffic::request_info& request) {
    return request.method == "POST" && request.path == key_path;
}

} // namespace

request_dispatcher::request_dispatcher(dispatcher_options options, const clock_source& clock,
                                       random_source& random, event_sink& sink)
    : options_(std::move(options)), clock_(clock), sink_(sink),
      core_(options_.own_address, options_.incarnation, read_clocks(clock), options_.core, random) {
}

void request_dispatcher::set_view(routing::view_ptr view) {
    WIGEONRILL_ASSERT(view != nullptr && view->configuration != nullptr,
                      "a view needs a configuration");
    std::shared_ptr<const routing::route_table> table;
    std::shared_ptr<const config::workspace_directory> workspaces;
    {
        const std::lock_guard guard(mutex_);
        table = table_;
        workspaces = workspaces_;
    }
    // Building a table of 30,000 routes or a directory of 310,000 workspaces takes milliseconds, so
    // build them without the lock.
    if (!table || table->configuration() != view->configuration) {
        table = std::make_shared<const routing::route_table>(view->configuration,
                                                             options_.core.path_matching);
    }
    if (!workspaces || !workspaces->is_of(view->configuration->workspaces)) {
        workspaces =
            std::make_shared<const config::workspace_directory>(view->configuration->workspaces);
    }
    std::unique_lock lock(mutex_);
    table_ = table;
    workspaces_ = workspaces;
    core_.set_view(std::move(view), std::move(table), clock_.now(), std::move(workspaces));
    unlock_and_notify_sink(lock);
}

void request_dispatcher::request_probe(const service_name& service, const target_id& target,
                                       milliseconds wait) {
    const std::lock_guard guard(mutex_);
    core_.request_probe(service, target, clock_.now() + wait);
}

void request_dispatcher::begin_stop(milliseconds take_for, milliseconds time_left) {
    std::unique_lock lock(mutex_);
    const auto now = clock_.now();
    core_.begin_stop({now + take_for, now + time_left}, now);
    unlock_and_notify_sink(lock);
}

void request_dispatcher::stop() {
    std::unique_lock lock(mutex_);
    core_.stop(clock_.now());
    unlock_and_notify_sink(lock);
}

void request_dispatcher::tick() {
    std::unique_lock lock(mutex_);
    core_.tick(clock_.now());
    core_.tick_credit(read_clocks(clock_));
    unlock_and_notify_sink(lock);
}

std::string request_dispatcher::issue_key() {
    const std::lock_guard guard(mutex_);
    return core_.issue_key(clock_.now());
}

void request_dispatcher::set_config_confirmed_at(wall_time when) {
    const std::lock_guard guard(mutex_);
    core_.set_config_confirmed_at(when);
}

void request_dispatcher::add_crash_mark(const once::crash_mark& mark) {
    std::unique_lock lock(mutex_);
    core_.add_crash_mark(mark, read_clocks(clock_));
    unlock_and_notify_sink(lock);
}

void request_dispatcher::set_relays(std::vector<health::relay_node> relays) {
    const std::lock_guard guard(mutex_);
    core_.set_relays(std::move(relays));
}

bool request_dispatcher::is_cut_off() const {
    const std::lock_guard guard(mutex_);
    return core_.is_cut_off();
}

std::vector<connection_check> request_dispatcher::connection_checks() {
    const std::lock_guard guard(mutex_);
    return core_.connection_checks(clock_.now());
}

void request_dispatcher::on_connection_check(const connection_check& check, bool connected) {
    const std::lock_guard guard(mutex_);
    core_.on_connection_check(check, connected, clock_.now());
}

void request_dispatcher::set_group(const routing::group_position& group) {
    const std::lock_guard guard(mutex_);
    core_.set_group(group);
}

void request_dispatcher::on_peer_observation(const health::observation& seen) {
    const std::lock_guard guard(mutex_);
    core_.on_peer_observation(seen, clock_.now());
}

void request_dispatcher::set_nodes(node_id self, const std::vector<node_id>& others) {
    const std::lock_guard guard(mutex_);
    core_.set_nodes(std::move(self), others, clock_.now());
}

bool request_dispatcher::on_peer_rate_limit(const health::rate_limit& notice) {
    const std::lock_guard guard(mutex_);
    return core_.on_peer_rate_limit(notice, clock_.now());
}

void request_dispatcher::set_credit_nodes(node_id self, const std::vector<node_id>& live,
                                          const quota::fleet_size& size) {
    const std::lock_guard guard(mutex_);
    core_.set_credit_nodes(std::move(self), live, size, clock_.now());
}

void request_dispatcher::on_credit_grant(const node_id& from, const quota::credit_grant& grant) {
    std::unique_lock lock(mutex_);
    core_.on_credit_grant(from, grant, read_clocks(clock_));
    unlock_and_notify_sink(lock);
}

std::size_t request_dispatcher::keys() const {
    const std::lock_guard guard(mutex_);
    return core_.keys();
}

explanation request_dispatcher::explain(const explained_request& request) const {
    const std::lock_guard guard(mutex_);
    return core_.explain(request, clock_.now());
}

traffic::step request_dispatcher::first_step(const traffic::request_info& request) {
    if (asks_for_key(request)) {
        return make_key_answer();
    }
    std::unique_lock lock(mutex_);
    core_.begin_request(request, read_clocks(clock_));
    return wait_for_step(request, lock);
}

traffic::step request_dispatcher::make_key_answer() {
    constexpr int created = 201;
    auto answer = std::make_shared<traffic::stored_answer>();
    answer->status = created;
    answer->headers = {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}};
    answer->body = "{\"idempotency_key\":\"" + issue_key() + "\"}\n";
    traffic::step step;
    step.kind = traffic::step_kind::replay;
    step.answer = std::move(answer);
    return step;
}

bool request_dispatcher::may_send(const traffic::request_info& request) {
    const std::lock_guard guard(mutex_);
    return core_.may_send(request.id, read_clocks(clock_));
}

bool request_dispatcher::may_retry_elsewhere(const traffic::request_info& request) {
    const std::lock_guard guard(mutex_);
    return core_.may_retry_elsewhere(request.id, clock_.now());
}

std::optional<traffic::step>
request_dispatcher::on_attempt_ended(const traffic::request_info& request,
                                     const traffic::attempt_result& attempt) {
    std::unique_lock lock(mutex_);
    if (core_.on_attempt_ended(request.id, attempt, read_clocks(clock_))) {
        return wait_for_step(request, lock);
    }
    unlock_and_notify_sink(lock);
    return std::nullopt;
}

void request_dispatcher::on_abandoned_connection_lost(const traffic::request_info& request,
                                                      const target_id& target,
                                                      const traffic::silence& silent) {
    std::unique_lock lock(mutex_);
    core_.on_abandoned_connection_lost(request, target, silent, read_clocks(clock_));
    unlock_and_notify_sink(lock);
}

void request_dispatcher::finish_request(const traffic::request_info& request, bool whole,
                                        std::shared_ptr<const traffic::stored_answer> answer) {
    if (asks_for_key(request)) {
        return;
    }
    std::unique_lock lock(mutex_);
    core_.finish_request(request.id, whole, std::move(answer), read_clocks(clock_));
    unlock_and_notify_sink(lock);
}

std::vector<outstanding_request> request_dispatcher::outstanding() const {
    const std::lock_guard guard(mutex_);
    return core_.outstanding();
}

std::size_t request_dispatcher::active() const {
    const std::lock_guard guard(mutex_);
    return core_.active();
}

std::size_t request_dispatcher::waiting() const {
    const std::lock_guard guard(mutex_);
    return core_.waiting();
}

traffic::step request_dispatcher::wait_for_step(const traffic::request_info& request,
                                                std::unique_lock<std::mutex>& lock) {
    const auto id = request.id;
    std::condition_variable condition;
    for (;;) {
        const auto at = read_clocks(clock_);
        if (auto step = core_.poll(id, at)) {
            waiters_.erase(id);
            unlock_and_notify_sink(lock);
            return std::move(*step);
        }
        waiters_[id] = &condition;
        notify_waiters();
        // The request may wait for the answer to a message that is among the events.
        if (pass_events_to_sink(lock)) {
            continue;
        }
        const nanoseconds wait =
            std::max<nanoseconds>(core_.wake_at(id, at.now) - at.now, nanoseconds(0)) +
            milliseconds(1);
        if (request.watch == nullptr) {
            condition.wait_for(lock, wait);
        } else if (condition.wait_for(lock, std::min<nanoseconds>(wait, caller_check_interval)) ==
                       std::cv_status::timeout &&
                   request.watch->has_left()) {
            core_.abandon(id, clock_.now());
        }
    }
}

void request_dispatcher::notify_waiters() {
    for (const auto id : core_.take_ready()) {
        if (const auto it = waiters_.find(id); it != waiters_.end()) {
            it->second->notify_one();
        }
    }
}

void request_dispatcher::unlock_and_notify_sink(std::unique_lock<std::mutex>& lock) {
    notify_waiters();
    const auto events = core_.take_events();
    lock.unlock();
    pass_to_sink(events);
}

bool request_dispatcher::pass_events_to_sink(std::unique_lock<std::mutex>& lock) {
    const auto events = core_.take_events();
    if (events.empty()) {
        return false;
    }
    lock.unlock();
    pass_to_sink(events);
    lock.lock();
    return true;
}

void request_dispatcher::pass_to_sink(const std::vector<event>& events) {
    for (const auto& it : events) {
        if (const auto* answer = std::get_if<health::answer>(&it)) {
            sink_.on_answer(*answer);
        } else if (const auto* decision = std::get_if<decision_record>(&it)) {
            sink_.on_decision(*decision);
        } else if (const auto* seen = std::get_if<health::observation>(&it)) {
            sink_.on_observation(*seen);
        } else if (const auto* notice = std::get_if<health::rate_limit>(&it)) {
            sink_.on_rate_limit(*notice);
        } else if (const auto* ask = std::get_if<quota::outgoing_ask>(&it)) {
            sink_.on_credit_ask(*ask);
        } else {
            sink_.on_crash_mark(std::get<once::crash_mark>(it));
        }
    }
}

} // namespace wigeonrill::dispatch
