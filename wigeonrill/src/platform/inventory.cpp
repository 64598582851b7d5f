#include "wigeonrill/platform.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::platform {

namespace {

// An older process of the same target, or an older report of one process.
bool is_older(const target_entry& candidate, const target_entry& known) {
    return std::tie(candidate.started_ms, candidate.heartbeat) <
           std::tie(known.started_ms, known.heartbeat);
}

// Reports differ in their heartbeat at least; only what changes the configuration counts.
bool same_for_configuration(const target_entry& a, const target_entry& b) {
    return a.target == b.target && a.service == b.service && a.leaving == b.leaving;
}

std::uint32_t floor_of(const config::service& service, double share) {
    std::uint32_t slots = 0;
    for (const auto& it : service.targets) {
        slots += it.slots;
    }
    return static_cast<std::uint32_t>(std::floor(static_cast<double>(slots) * share));
}

// A repeatable request to a silent target is sent to another one while its answer can still come
// within the target latency; the last attempt may use all the time.
config::route with_first_byte(config::route it) {
    constexpr double share_of_latency = 0.75;
    const auto limit = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(it.target_latency) * share_of_latency);
    const bool repeatable = it.repeat == config::repeat_policy::idempotent && it.attempts != 1;
    it.limits.first_byte =
        repeatable && limit.count() > 0 ? std::min(limit, it.limits.total) : it.limits.total;
    return it;
}

} // namespace

void inventory::replace(const feed_page& all, instant now) {
    apply({as_of_, {}}, now);
    std::set<std::string_view> present;
    for (const auto& it : all.records) {
        present.insert(it.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, known] : targets_) {
        if (!present.contains(key) && !known.lapsed) {
            missing.push_back(key);
        }
    }
    for (const auto& key : missing) {
        remove({key, 0, deleted_record{}}, now);
    }
    apply(all, now);
}

void inventory::apply(const feed_page& changes, instant now) {
    if (std::exchange(out_, false)) {
        returned_ = now;
    }
    for (const auto& it : changes.records) {
        take(it, now);
    }
    as_of_ = std::max(as_of_, changes.as_of);
    expire(now);
}

void inventory::read_failed(instant known, instant now) {
    out_ = out_ || now - known >= options_.outage_time;
}

bool inventory::may_come_back(instant now) const {
    return out_ || (returned_ && now - *returned_ < options_.return_time);
}

bool inventory::is_in_force(const target_entry& target) const {
    const auto* service = in_force_ ? config::find_service(*in_force_, target.service) : nullptr;
    return service != nullptr &&
           std::ranges::any_of(service->targets, [&target](const config::target& it) {
               return it.id == target.target.id;
           });
}

std::optional<instant> inventory::next_expiry() const {
    const bool any =
        std::ranges::any_of(targets_, [](const auto& it) { return it.second.lapsed.has_value(); });
    return any && returned_ ? std::optional(*returned_ + options_.return_time) : std::nullopt;
}

void inventory::expire(instant now) {
    if (may_come_back(now)) {
        return;
    }
    const auto n = std::erase_if(targets_, [this](const auto& it) {
        if (it.second.lapsed) {
            note("Target did not come back after the outage.", it.second, it.first, 0);
        }
        return it.second.lapsed.has_value();
    });
    changed_ = changed_ || n > 0;
}

void inventory::note(const char* what, const entry& about, const std::string& key,
                     std::uint64_t revision) {
    notes_.push_back(
        {false, what, key,
         about.content.service.value + " at " + to_string(about.content.target.address), revision});
}

void inventory::take(const feed_record& record, instant now) {
    if (std::holds_alternative<deleted_record>(record.content)) {
        remove(record, now);
    } else if (const auto* rules = std::get_if<operator_rules>(&record.content)) {
        take_rules(record, *rules);
    } else if (const auto* target = std::get_if<target_entry>(&record.content)) {
        take_target(record.key, record.revision, *target);
    } else {
        const auto& reason = std::get<unreadable_record>(record.content).reason;
        notes_.push_back(
            {true, "Record is not used.", record.key, to_string(reason), record.revision});
        // Whatever was there before has been overwritten, so it names no target any more.
        remove(record, now);
    }
}

void inventory::take_rules(const feed_record& record, const operator_rules& rules) {
    if (rules_ == rules) {
        return;
    }
    notes_.push_back({false, "Rules read.", record.key,
                      "the operator's version " + std::to_string(rules.version), record.revision});
    rules_ = rules;
    changed_ = true;
}

void inventory::take_target(const std::string& key, std::uint64_t revision,
                            const target_entry& content) {
    const auto it = targets_.find(key);
    if (it == targets_.end()) {
        const auto added = targets_.emplace(key, entry{content, revision, std::nullopt}).first;
        note(content.leaving ? "Target is leaving." : "Target is new.", added->second, key,
             revision);
        changed_ = true;
        return;
    }
    auto& known = it->second;
    if (is_older(content, known.content)) {
        notes_.push_back(
            {true, "Record is not used.", key, "an older process wrote it last", revision});
        return;
    }
    if (!same_for_configuration(content, known.content)) {
        note(content.leaving ? "Target is leaving." : "Target has changed.",
             entry{content, revision, std::nullopt}, key, revision);
        changed_ = true;
    }
    known = {content, revision, std::nullopt};
}

void inventory::remove(const feed_record& record, instant now) {
    const auto it = targets_.find(record.key);
    if (it == targets_.end()) {
        return;
    }
    const auto& target = it->second.content;
    if (may_come_back(now) && !target.leaving && is_in_force(target)) {
        note("Target has lapsed in an outage of the store.", it->second, record.key,
             record.revision);
        it->second.lapsed = now;
        return;
    }
    note("Target is gone.", it->second, record.key, record.revision);
    targets_.erase(it);
    changed_ = true;
}

// Of several registrations with one address only the newest can be alive.
std::vector<const inventory::entry*> inventory::usable() const {
    std::map<endpoint, const entry*> by_address;
    for (const auto& [key, it] : targets_) {
        auto& holder = by_address[it.content.target.address];
        const bool newer =
            holder == nullptr || std::tie(it.content.started_ms, it.revision) >
                                     std::tie(holder->content.started_ms, holder->revision);
        holder = newer ? &it : holder;
    }
    std::vector<const entry*> all;
    for (const auto& [address, it] : by_address) {
        if (!it->content.leaving) {
            all.push_back(it);
        }
    }
    return all;
}

config::snapshot inventory::build() const {
    config::snapshot made;
    made.version = as_of_;
    std::map<service_name, config::service> services;
    for (const auto& name : rules_->services) {
        services[name].name = name;
        services[name].weight = options_.weight;
    }
    for (const auto* it : usable()) {
        const auto found = services.find(it->content.service);
        if (found != services.end()) {
            found->second.targets.push_back(it->content.target);
            found->second.targets.back().cold_start = options_.cold_start;
        }
    }
    for (auto& [name, it] : services) {
        std::ranges::sort(it.targets, {}, &config::target::id);
        it.floor_slots = floor_of(it, options_.floor_share);
        made.services.push_back(std::move(it));
    }
    for (const auto& it : rules_->routes) {
        made.routes.push_back(with_first_byte(it));
    }
    std::ranges::sort(made.routes, {}, &config::route::name);
    return made;
}

config::snapshot_ptr inventory::configuration() {
    if (rules_ && (changed_ || !built_)) {
        built_ = std::make_shared<const config::snapshot>(build());
        changed_ = false;
    }
    return built_;
}

std::vector<inventory_note> inventory::take_notes() {
    return std::exchange(notes_, {});
}

} // namespace wigeonrill::platform
