#include "wigeonrill/dispatch.h"

#include <algorithm>

namespace wigeonrill::dispatch {

namespace {

// Callers choose host and path; longer ones are cut in log lines.
constexpr std::size_t max_logged_name = 200;

} // namespace

service_name choose_service(const config::route& route, double draw) {
    std::uint64_t total = 0;
    for (const auto& it : route.split) {
        total += it.weight;
    }
    auto rest = draw * static_cast<double>(total);
    for (const auto& it : route.split) {
        rest -= static_cast<double>(it.weight);
        if (rest < 0.0) {
            return it.service;
        }
    }
    return route.service;
}

decision_core::decision_core(endpoint own_address, std::uint64_t incarnation, clock_reading started,
                             core_options options, random_source& random)
    : options_(std::move(options)), random_(random), rate_limits_(random), credit_(random),
      key_admission_(std::move(own_address), incarnation, started) {}

void decision_core::set_view(routing::view_ptr view,
                             std::shared_ptr<const routing::route_table> table, instant now,
                             std::shared_ptr<const config::workspace_directory> workspaces) {
    view_ = std::move(view);
    table_ = std::move(table);
    if (!workspaces) {
        workspaces =
            std::make_shared<const config::workspace_directory>(view_->configuration->workspaces);
    }
    workspaces_ = std::move(workspaces);
    ++generation_;
    update_reachability_size();
    // Other services take over the view when they are next used. Those with draining targets must
    // not miss a view without these.
    for (auto& [name, service] : services_) {
        if (service->waiting.size() > 0 || service->has_draining_targets()) {
            sync_service(name, *service);
            serve_queue(*service, now);
        }
    }
}

void decision_core::set_group(const routing::group_position& group) {
    if (group_ != group) {
        group_ = group;
        ++generation_; // Services take over the slices of the group when they are next used.
    }
}

void decision_core::sync_service(const service_name& name, service_state& service) {
    if (service_of(name) == nullptr) {
        service.clear();
    }
}

void decision_core::refuse_queued(service_state& service, std::uint64_t id, refusal_kind kind,
                                  instant now, std::optional<milliseconds> retry_after) {
    auto& record = record_of(id);
    service.waiting.remove(id);
    refuse(record, kind, outcome_of(record), now, retry_after);
    record.queued_since.reset();
    ready_ids_.push_back(id);
}

void decision_core::refuse_all_queued(service_state& service, refusal_kind kind, instant now) {
    for (const auto id : service.waiting.in_order(now)) {
        refuse_queued(service, id, kind, now, seconds(1));
    }
}

void decision_core::tick(instant now) {
    observe_overdue(now);
    rate_limits_.expire(now);
    for (auto& [name, service] : services_) {
        if (publishes_counts()) {
            for (const auto& it : service->unpublished_targets(now)) {
                publish_outstanding_count(name, *it, now);
            }
        }
        if (service->waiting.is_restricted()) {
            update_level(*service, now);
        }
        serve_queue(*service, now);
    }
    for (const auto id : key_admission_.waiters()) {
        expire_key_waiter(record_of(id), now);
    }
}

service_state* decision_core::service_of(const service_name& name) {
    const auto& all = view_->services;
    const auto it = std::ranges::lower_bound(
        all, name, {},
        [](const routing::service_view& one) -> const service_name& { return one.service->name; });
    if (it == all.end() || it->service->name != name) {
        return nullptr;
    }
    auto& service = services_[name];
    if (!service) {
        service = std::make_unique<service_state>(options_.make_policy(), rate_limits_,
                                                  options_.own_domain);
        service->retries = options_.retries;
    }
    service->set_group(group_);
    service->sync(generation_, *it);
    return service.get();
}

request_record& decision_core::record_of(std::uint64_t id) {
    const auto it = records_.find(id);
    WIGEONRILL_ASSERT(it != records_.end(), "the request was not started or has already ended");
    return it->second;
}

void decision_core::begin_request(const traffic::request_info& info, clock_reading at) {
    const auto [it, inserted] = records_.try_emplace(info.id);
    WIGEONRILL_ASSERT(inserted, "the request id is already in use");
    auto& record = it->second;
    record.info = info;
    record.deadline = info.deadline;
    if (find_route(record, at.now) && authenticate(record, at.now) && admit(record, at) &&
        !refuse_when_stopping(record, at.now) && take_credit(record, at.now)) {
        continue_request(record, at);
    }
    add_credit_asks(at.now);
}

bool decision_core::find_route(request_record& record, instant now) {
    const auto result = outcome_of(record);
    if (stopping_ || !view_) {
        refuse(record, stopping_ ? refusal_kind::stopping : refusal_kind::not_ready, result, now,
               seconds(1));
        return false;
    }
    record.view = view_;
    const auto match = table_->find(record.info.host, record.info.method, record.info.path);
    if (match.route == nullptr) {
        const auto missing =
            match.path_matched ? refusal_kind::method_not_allowed : refusal_kind::no_route;
        refuse(record, match.path_valid ? missing : refusal_kind::bad_path, result, now);
        return false;
    }
    record.route = match.route;
    record.chosen_service = choose_service(*match.route, random_.uniform());
    record.deadline = std::min(record.deadline, record.info.arrived + record.route->limits.total);
    return true;
}

bool decision_core::admit(request_record& record, clock_reading at) {
    if (containment_.is_blocked(record.fingerprint, at.wall)) {
        refuse(record, refusal_kind::contained, outcome_of(record), at.now);
        return false;
    }
    return true;
}

bool decision_core::find_service(request_record& record, clock_reading at) {
    record.service = service_of(record.chosen_service);
    if (record.service == nullptr || !record.service->any_eligible(at.now)) {
        refuse(record, refusal_kind::no_target, outcome_of(record), at.now, seconds(2));
        return false;
    }
    return true;
}

void decision_core::place_or_queue(request_record& record, clock_reading at) {
    if (at.now >= record.deadline) {
        refuse(record, refusal_kind::deadline_passed, outcome_of(record), at.now);
        return;
    }
    if (refuse_when_stopping(record, at.now) || try_as_probe(record, at.now)) {
        return;
    }
    // Requests that are already waiting take precedence.
    serve_queue(*record.service, at.now);
    if (record.service->waiting.size() == 0) {
        auto placed =
            record.service->place(record.tried_targets, record.route->repeat, at.now, random_);
        if (placed.chosen_target) {
            assign_target(record, std::move(placed), at.now, at.now);
            return;
        }
    }
    enqueue(record, at.now);
}

void decision_core::request_probe(const service_name& service, const target_id& target,
                                  instant until) {
    auto* state = view_ ? service_of(service) : nullptr;
    const auto* configured = view_ ? config::find_service(*view_->configuration, service) : nullptr;
    if (state == nullptr || configured == nullptr) {
        return;
    }
    for (const auto& it : configured->targets) {
        if (it.id == target) {
            state->request_probe(it, until);
        }
    }
}

// Probes are requests of callers, because a target with a partial failure may still answer health
// checks. The request must be repeatable, so that another target can answer it if the probe fails.
bool decision_core::try_as_probe(request_record& record, instant now) {
    if (at_most_once(record) || !record.info.body_replayable || record.attempts > 0) {
        return false;
    }
    placement placed{record.service->acquire_probe_target(now), 1};
    if (!placed.chosen_target) {
        return false;
    }
    record.reason = "probe of an ejected target";
    assign_target(record, std::move(placed), now, now);
    return true;
}

void decision_core::assign_target(request_record& record, placement placed, instant now,
                                  instant waited_since) {
    record.assigned_target = std::move(placed.chosen_target);
    publish_outstanding_count(record.chosen_service, *record.assigned_target, now);
    ++record.attempts;
    if (record.attempts == 1) {
        record.service->waiting.count_served(priority_of(record), now);
    }
    traffic::step step;
    step.kind = traffic::step_kind::send;
    step.address = record.assigned_target->address;
    step.target = record.assigned_target->id;
    step.needs_fresh_connection = at_most_once(record);
    step.store_answer = record.holds_key;
    decision_record decision;
    decision.candidates = placed.candidates;
    decision.waited = now - waited_since;
    set_next_step(record, std::move(step), std::move(decision));
}

void decision_core::refuse(request_record& record, refusal_kind kind, traffic::outcome result,
                           instant now, std::optional<milliseconds> retry_after) {
    if (result == traffic::outcome::not_run) {
        refund_credit(record, now);
    }
    if (record.holds_key) {
        finish_key(record,
                   result == traffic::outcome::not_run ? once::key_state::not_run
                                                       : once::key_state::unknown,
                   nullptr, now);
    }
    if (record.service != nullptr && is_for_lack_of_room(kind)) {
        record.service->waiting.count_refused(priority_of(record), now);
    }
    traffic::step step;
    step.kind = traffic::step_kind::refuse;
    step.reason = make_refusal(kind, result, retry_after);
    decision_record decision;
    decision.waited = record.queued_since ? now - *record.queued_since : nanoseconds(0);
    if (kind == refusal_kind::contained) {
        decision.contained_fingerprint = record.fingerprint;
    }
    set_next_step(record, std::move(step), std::move(decision));
}

void decision_core::set_next_step(request_record& record, traffic::step step,
                                  decision_record decision) {
    decision.request = record.info.id;
    decision.name = record.info.name;
    decision.kind = step.kind;
    decision.address = step.address;
    decision.target = step.target;
    decision.refusal = step.reason.type;
    decision.result = step.reason.result;
    decision.reason = record.reason;
    decision.attempt = record.attempts;
    if (record.route != nullptr) {
        decision.route = record.route->name;
        decision.priority = priority_of(record);
        decision.service = record.chosen_service;
        decision.workspace = workspace_name(record.info.workspace.substr(0, max_logged_name));
        step.route = *record.route;
    } else {
        decision.host = record.info.host.substr(0, max_logged_name);
        decision.path = record.info.path.substr(0, max_logged_name);
    }
    if (record.view) {
        decision.configuration_version = record.view->configuration->version;
    }
    step.deadline = std::min(record.deadline, last_answer_at());
    if (record.is_authenticated) {
        step.verified_workspace = record.info.workspace;
    }
    record.decided_at.reset();
    record.sent.reset();
    record.ready_step = std::move(step);
    events_.emplace_back(std::move(decision));
}

std::optional<traffic::step> decision_core::poll(std::uint64_t id, clock_reading at) {
    auto& record = record_of(id);
    if (!record.ready_step && record.queued_since) {
        serve_queue(*record.service, at.now);
    }
    if (!record.ready_step && record.waits_for_credit && at.now >= record.deadline) {
        abandon_credit(record, refusal_kind::deadline_passed, at.now);
    }
    if (!record.ready_step && record.waits_for_key) {
        expire_key_waiter(record, at.now);
    }
    if (!record.ready_step) {
        return std::nullopt;
    }
    record.decided_at = at;
    return std::exchange(record.ready_step, std::nullopt);
}

instant decision_core::wake_at(std::uint64_t id, instant now) const {
    const auto it = records_.find(id);
    WIGEONRILL_ASSERT(it != records_.end(), "the request was not started or has already ended");
    const auto& record = it->second;
    if (!record.queued_since) {
        return record.deadline;
    }
    const auto retry = record.not_before > now ? record.not_before : record.deadline;
    return record.service->next_chance(now, std::min(retry, record.deadline));
}

std::vector<outstanding_request> decision_core::outstanding() const {
    std::vector<outstanding_request> found;
    for (const auto& [id, record] : records_) {
        if (record.assigned_target && !record.assigned_target->is_replaced && record.sent &&
            !record.answer_started) {
            found.push_back({record.chosen_service, record.assigned_target->id, record.route->name,
                             *record.sent, record.fingerprint, id});
        }
    }
    return found;
}

std::size_t decision_core::waiting() const {
    std::size_t n = 0;
    for (const auto& [name, service] : services_) {
        n += service->waiting.size();
    }
    return n;
}

} // namespace wigeonrill::dispatch
