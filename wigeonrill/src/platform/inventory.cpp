#include "wigeonrill/platform.h"

#include <algorithm>
#include <cmath>

namespace wigeonrill::platform {

namespace {

// The content of a revision without lapsed targets, and the one with some of them.
constexpr std::uint64_t versions_per_rules = 2;
// How far the rules in the content may be ahead of those in the store; more counts as this.
constexpr std::uint64_t max_rules_lead = 1'023;
constexpr std::uint64_t versions_per_revision = versions_per_rules * (max_rules_lead + 1);
// Versions of one era. They must fit into 63 bits together with the era.
constexpr std::uint64_t versions_per_era = std::uint64_t{1} << 48U;
constexpr std::uint64_t max_era = (std::uint64_t{1} << 15U) - 1;
constexpr std::uint64_t max_revision = versions_per_era / versions_per_revision - 1;

// Whether the candidate was written by an earlier process of the target, or earlier by the same
// process.
bool is_older(const target_registration& candidate, const target_registration& known) {
    return std::tie(candidate.started_ms, candidate.heartbeat) <
           std::tie(known.started_ms, known.heartbeat);
}

// Whether two registrations lead to the same configuration. Their heartbeats always differ and are
// not part of it.
bool same_configuration(const target_registration& a, const target_registration& b) {
    return a.target == b.target && a.service == b.service && a.leaving == b.leaving &&
           a.started_ms == b.started_ms && a.created == b.created;
}

// Number of slots that must stay in use: a share of all slots of the service, rounded down.
std::uint32_t floor_slots_of(const config::service& service, double share) {
    std::uint32_t slots = 0;
    for (const auto& it : service.targets) {
        slots += it.slots;
    }
    return static_cast<std::uint32_t>(std::floor(static_cast<double>(slots) * share));
}

// Sets the limit for the first byte of an answer. An idempotent request that a target doesn't
// answer is sent to another target early enough to be answered within the route's target latency.
// Other requests may use the total time.
config::route with_first_byte_limit(config::route it) {
    constexpr double share_of_latency = 0.75;
    const auto limit = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(it.target_latency) * share_of_latency);
    const bool repeatable = it.repeat == config::repeat_policy::idempotent && it.attempts != 1;
    it.limits.first_byte =
        repeatable && limit.count() > 0 ? std::min(limit, it.limits.total) : it.limits.total;
    return it;
}

} // namespace

std::uint64_t era_of(std::uint64_t version) {
    return version / versions_per_era;
}

void inventory::replace(const feed_page& all, instant now) {
    record_era(all.era, now);
    std::vector<std::string> unconfirmed;
    if (era_ != all.era) {
        unconfirmed = find_unconfirmed(all, now);
        era_ = all.era;
        as_of_ = 0;
        stored_rules_version_ = 0;
    }
    apply({as_of_, {}, era_}, now);
    std::set<std::string_view> present;
    for (const auto& it : all.records) {
        present.insert(it.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, known] : targets_) {
        if (!present.contains(key) && !known.lapsed_at) {
            missing.push_back(key);
        }
    }
    for (const auto& key : missing) {
        remove_target({key, all.as_of, deleted_record{}}, now);
    }
    apply(all, now);
    for (const auto& key : unconfirmed) {
        if (const auto it = targets_.find(key); it != targets_.end()) {
            it->second.is_unconfirmed = true;
            changed_since_build_ = true;
            add_note("Target is not used until it is written again.", it->second, key,
                     it->second.revision);
        }
    }
}

void inventory::apply(const feed_page& changes, instant now) {
    end_outage(now);
    for (const auto& it : changes.records) {
        apply_record(it, now);
    }
    as_of_ = std::max(as_of_, changes.as_of);
    expire(now);
}

std::uint64_t inventory::version() const {
    const auto rules_lead = rules_ ? rules_->version - stored_rules_version_ : 0;
    return std::min(era_, max_era) * versions_per_era +
           std::min(as_of_, max_revision) * versions_per_revision +
           std::min(rules_lead, max_rules_lead) * versions_per_rules +
           (has_lapsed_targets() || has_unconfirmed_targets() ? 0 : 1);
}

bool inventory::has_older_rules_than_in_force() const {
    if (!configuration_in_force_) {
        return false;
    }
    const auto version = configuration_in_force_->version;
    const auto revision = version % versions_per_era / versions_per_revision;
    return era_of(version) == std::min(era_, max_era) && revision > as_of_ &&
           configuration_in_force_->rules_version > stored_rules_version_;
}

bool inventory::is_in_force(const target_registration& target) const {
    const auto* service = configuration_in_force_
                              ? config::find_service(*configuration_in_force_, target.service)
                              : nullptr;
    return service != nullptr &&
           std::ranges::any_of(service->targets, [&target](const config::target& it) {
               return it.id == target.target.id;
           });
}

bool inventory::names_target(const target_registration& record) const {
    return !rules_ || std::ranges::find(rules_->services, record.service) != rules_->services.end();
}

void inventory::add_note(const char* what, const known_target& about, const std::string& key,
                         std::uint64_t revision) {
    notes_.push_back(
        {false, what, key,
         about.content.service.value + " at " + to_string(about.content.target.address), revision});
}

const char* inventory::describe(const target_registration& record, const char* otherwise) const {
    if (!names_target(record)) {
        return "Record names no service of the operator; not used.";
    }
    return record.leaving ? "Target is leaving." : otherwise;
}

void inventory::add_withdrawn_target(const target_registration& target, target_change change,
                                     std::uint64_t revision) {
    const bool is_ordered = change != target_change::gone || target.created != 0;
    if (target.started_ms != 0 && is_ordered && names_target(target)) {
        const auto order =
            std::min(era_, max_era) * versions_per_era + std::min(revision, versions_per_era - 1);
        withdrawn_.push_back(
            {target.service, target.target.id, {target.started_ms, target.created}, change, order});
    }
}

void inventory::apply_record(const feed_record& record, instant now) {
    if (std::holds_alternative<deleted_record>(record.content)) {
        remove_target(record, now);
    } else if (const auto* rules = std::get_if<operator_rules>(&record.content)) {
        apply_rules(record, *rules);
    } else if (const auto* target = std::get_if<target_registration>(&record.content)) {
        // One target with a wrong value would make the whole configuration invalid.
        if (const auto found = config::find_error(target->target)) {
            reject_record(record, *found, now);
        } else {
            auto content = *target;
            content.target.address.ip = *config::canonical_ip(content.target.address.ip);
            apply_target(record.key, record.revision, content);
        }
    } else {
        reject_record(record, std::get<unreadable_record>(record.content).reason, now);
    }
}

// The record has replaced the target's registration, so the target is removed.
void inventory::reject_record(const feed_record& record, const error& reason, instant now) {
    notes_.push_back({true, "Record is not used.", record.key, to_string(reason), record.revision});
    remove_target(record, now);
}

void inventory::apply_rules(const feed_record& record, const operator_rules& rules) {
    if (const auto found = config::find_shared_key(rules.workspaces)) {
        notes_.push_back(
            {true, "Rules are not used.", record.key, to_string(*found), record.revision});
        return;
    }
    stored_rules_version_ = rules.version;
    if (rules_ == rules) {
        return;
    }
    const auto detail = "the operator's version " + std::to_string(rules.version) +
                        ", known version " + std::to_string(rules_ ? rules_->version : 0);
    if (rules_ && rules.version < rules_->version) {
        notes_.push_back(
            {true, "Rules are older than known; not used.", record.key, detail, record.revision});
        return;
    }
    notes_.push_back({false, "Rules read.", record.key, detail, record.revision});
    for (const auto& it : rules.remarks) {
        notes_.push_back(
            {true, "Part of the rules is not used as written.", record.key, it, record.revision});
    }
    rules_ = rules;
    changed_since_build_ = true;
}

void inventory::set_configuration_in_force(config::snapshot_ptr configuration) {
    configuration_in_force_ = std::move(configuration);
    if (!configuration_in_force_ || !rules_ ||
        configuration_in_force_->rules_version <= rules_->version) {
        return;
    }
    rules_->version = configuration_in_force_->rules_version;
    rules_->routes = configuration_in_force_->routes;
    rules_->authentication = configuration_in_force_->authentication;
    rules_->workspaces = configuration_in_force_->workspaces;
    rules_->services.clear();
    for (const auto& it : configuration_in_force_->services) {
        rules_->services.push_back(it.name);
    }
    changed_since_build_ = true;
}

void inventory::apply_target(const std::string& key, std::uint64_t revision,
                             const target_registration& content) {
    const auto it = targets_.find(key);
    if (it == targets_.end() && is_from_before_removal(key, revision, content)) {
        notes_.push_back(
            {true, "Record is not used.", key, "the target was removed after it", revision});
        return;
    }
    if (it == targets_.end()) {
        if (names_target(content)) {
            removed_.erase(key);
        }
        const auto added =
            targets_.emplace(key, known_target{content, revision, std::nullopt, false}).first;
        add_note(describe(content, "Target is new."), added->second, key, revision);
        changed_since_build_ = true;
        if (content.leaving) {
            add_withdrawn_target(content, target_change::leaving, revision);
        }
        return;
    }
    auto& known = it->second;
    // What another writer has left under the key says nothing about the age of the target's
    // records.
    if (names_target(known.content) && is_older(content, known.content)) {
        notes_.push_back({true, "Record is not used.", key,
                          "it was last written by an older process of the target", revision});
        return;
    }
    if (known.is_unconfirmed || !same_configuration(content, known.content)) {
        add_note(describe(content, "Target has changed."),
                 known_target{content, revision, std::nullopt, false}, key, revision);
        changed_since_build_ = true;
    }
    if (content.leaving && !known.content.leaving) {
        add_withdrawn_target(content, target_change::leaving, revision);
    } else if (known.content.leaving && !content.leaving && names_target(known.content) &&
               content.started_ms == known.content.started_ms) {
        add_withdrawn_target(content, target_change::ready_again, revision);
    }
    known = {content, revision, std::nullopt, false};
}

void inventory::remove_target(const feed_record& record, instant now) {
    const auto it = targets_.find(record.key);
    if (it == targets_.end()) {
        return;
    }
    const auto& target = it->second.content;
    if (in_return_window(now) && !target.leaving && is_in_force(target)) {
        add_note("Target has lapsed in an outage of the store.", it->second, record.key,
                 record.revision);
        it->second.lapsed_at = now;
        return;
    }
    add_note("Target is gone.", it->second, record.key, record.revision);
    // An unreadable record may be followed by a readable one of the same creation.
    if (!target.leaving && std::holds_alternative<deleted_record>(record.content)) {
        add_withdrawn_target(target, target_change::gone, record.revision);
    }
    if (names_target(target)) {
        record_removal(record.key, it->second, now);
    }
    targets_.erase(it);
    changed_since_build_ = true;
}

// If several registrations have the same address, only the process that started last can be alive.
// Records that name no target have no say in that.
std::vector<const inventory::known_target*>
inventory::usable_targets(const std::map<service_name, config::service>& services) const {
    std::map<endpoint, const known_target*> by_address;
    for (const auto& [key, it] : targets_) {
        if (!services.contains(it.content.service)) {
            continue;
        }
        auto& holder = by_address[it.content.target.address];
        const bool newer =
            holder == nullptr || std::tie(it.content.started_ms, it.revision) >
                                     std::tie(holder->content.started_ms, holder->revision);
        holder = newer ? &it : holder;
    }
    std::vector<const known_target*> all;
    for (const auto& [address, it] : by_address) {
        if (!it->content.leaving && !it->is_unconfirmed) {
            all.push_back(it);
        }
    }
    return all;
}

config::snapshot inventory::build() const {
    config::snapshot built;
    built.version = version();
    built.rules_version = rules_->version;
    built.authentication = rules_->authentication;
    built.workspaces = rules_->workspaces;
    std::map<service_name, config::service> services;
    for (const auto& name : rules_->services) {
        services[name].name = name;
        services[name].weight = options_.weight;
    }
    for (const auto* it : usable_targets(services)) {
        auto& targets = services.at(it->content.service).targets;
        targets.push_back(it->content.target);
        targets.back().cold_start = options_.cold_start;
        targets.back().registered = {it->content.started_ms, it->content.created};
    }
    for (auto& [name, it] : services) {
        std::ranges::sort(it.targets, {}, &config::target::id);
        it.floor_slots = floor_slots_of(it, options_.floor_share);
        built.services.push_back(std::move(it));
    }
    for (const auto& it : rules_->routes) {
        built.routes.push_back(with_first_byte_limit(it));
    }
    std::ranges::sort(built.routes, {}, &config::route::name);
    return built;
}

config::snapshot_ptr inventory::configuration() {
    if (rules_ && (changed_since_build_ || !configuration_)) {
        configuration_ = std::make_shared<const config::snapshot>(build());
        changed_since_build_ = false;
    }
    return configuration_;
}

std::vector<withdrawn_target> inventory::take_withdrawn_targets() {
    return std::exchange(withdrawn_, {});
}

std::vector<inventory_note> inventory::take_notes() {
    return std::exchange(notes_, {});
}

} // namespace wigeonrill::platform
