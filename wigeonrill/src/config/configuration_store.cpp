#include "wigeonrill/config.h"

#include "wigeonrill/src/config/assembly.h"
#include "wigeonrill/src/config/change_checks.h"

#include <algorithm>

namespace wigeonrill::config {

namespace {

// Limits on the rejected versions and removed shards that are remembered. The oldest are forgotten
// first.
constexpr std::size_t max_remembered_rejections = 64;
constexpr std::size_t max_remembered_removals = 4096;

} // namespace

struct configuration_store::state {
    struct rejection {
        std::uint64_t version{0};
        shard_digests digests;
        error reason;
    };

    snapshot_ptr current;
    wall_time confirmed{};
    shard_digests digests;
    std::map<std::string, shard> shards;
    /// Digests of the registrations of each shard. Computing all of them takes 19 ms for 42,000
    /// targets, and a change concerns few shards.
    std::map<std::string, std::string> registrations_digests;
    /// Names of removed shards, with the version that removed them.
    std::map<std::string, std::uint64_t> removals;
    /// Oldest version since which all removals are known; 0 before the first version.
    std::uint64_t history_start{0};
    std::vector<rejection> rejections;
    std::optional<error> last_rejection;
    std::optional<change_set> unsupported_change_set;
    /// Set if the last change set is a difference, and its digest shows that it was made from other
    /// shards.
    bool base_content_differs{false};

    [[nodiscard]] std::uint64_t version() const { return current ? current->version : 0; }
    [[nodiscard]] const rejection* find_rejection(const change_set& changes) const;
    apply_outcome record_rejection(const change_set& changes, error reason);
    [[nodiscard]] std::optional<error> try_apply(const change_set& changes);
    [[nodiscard]] std::vector<shard> shards_with_new_content(const change_set& changes) const;
    [[nodiscard]] std::vector<std::string> shards_to_remove(const change_set& changes) const;
    [[nodiscard]] shard_digests digests_after(const change_set& changes,
                                              const std::vector<std::string>& removed) const;
    [[nodiscard]] result<snapshot_ptr>
    build_snapshot(const change_set& changes, const std::vector<shard>& changed,
                   const std::vector<std::string>& removed) const;
    void commit_shards(const change_set& changes, std::vector<shard> changed,
                       const std::vector<std::string>& removed, shard_digests next);
    void forget_old_removals();
    /// Returns a change set of the version in force without shards.
    [[nodiscard]] change_set describe_version() const;
    [[nodiscard]] shard_mark mark_of(const shard& stored) const;
    void keep_unsupported_change_set(const change_set& changes);
};

const configuration_store::state::rejection*
configuration_store::state::find_rejection(const change_set& changes) const {
    const auto it = std::ranges::find_if(rejections, [&changes](const rejection& candidate) {
        return candidate.version == changes.version && candidate.digests.match(changes);
    });
    return it != rejections.end() ? &*it : nullptr;
}

apply_outcome configuration_store::state::record_rejection(const change_set& changes,
                                                           error reason) {
    reason.message = "version " + std::to_string(changes.version) + ": " + reason.message;
    last_rejection = std::move(reason);
    return apply_outcome::rejected;
}

// Returns the shards whose records differ from the stored ones. Only these have to be parsed.
std::vector<shard>
configuration_store::state::shards_with_new_content(const change_set& changes) const {
    std::vector<shard> changed;
    for (const auto& it : changes.changed) {
        const auto found = shards.find(it.name);
        if (found == shards.end() || has_other_records(changes, it, found->second)) {
            changed.push_back(it);
        }
    }
    return changed;
}

// Returns the names of stored shards that the change set removes. A change set that holds every
// shard removes those that it does not contain.
std::vector<std::string>
configuration_store::state::shards_to_remove(const change_set& changes) const {
    std::vector<std::string> removed;
    if (changes.base_version == 0) {
        for (const auto& [name, stored] : shards) {
            if (!std::ranges::binary_search(changes.changed, name, {}, &shard::name)) {
                removed.push_back(name);
            }
        }
        return removed;
    }
    for (const auto& name : changes.removed) {
        if (shards.contains(name)) {
            removed.push_back(name);
        }
    }
    return removed;
}

// Computes the digests of all shards as they would be after the change set.
shard_digests
configuration_store::state::digests_after(const change_set& changes,
                                          const std::vector<std::string>& removed) const {
    std::map<std::string_view, const shard*> next;
    for (const auto& [name, stored] : shards) {
        next.emplace(name, &stored);
    }
    for (const auto& name : removed) {
        next.erase(name);
    }
    for (const auto& it : changes.changed) {
        next[it.name] = &it;
    }
    std::vector<shard> labels;
    std::vector<shard_identity> identities;
    for (const auto& [name, it] : next) {
        const auto stored = shards.find(it->name);
        const bool keeps_records =
            stored != shards.end() && !has_other_records(changes, *it, stored->second);
        labels.push_back({it->name, it->version, it->digest, {}, {}});
        identities.push_back(
            {name, it->digest,
             keeps_records ? registrations_digests.at(it->name) : digest_of_registrations(*it)});
    }
    return {digest_of(labels), content_digest_of(identities), next.contains("rules")};
}

// Builds and validates the snapshot that results from the change set. The stored shards stay as
// they are.
result<snapshot_ptr>
configuration_store::state::build_snapshot(const change_set& changes,
                                           const std::vector<shard>& changed,
                                           const std::vector<std::string>& removed) const {
    // Only content that was made from the records of a platform's store has a version of its rules.
    const auto names = changes.rules_version != 0 ? name_rule::foreign : name_rule::own;
    shard_records dropped;
    shard_records added;
    for (const auto& it : changed) {
        if (auto read = read_shard(it, names, added); !read) {
            return tl::unexpected(read.error());
        }
        if (const auto stored = shards.find(it.name); stored != shards.end()) {
            (void)read_shard(stored->second, names, dropped);
        }
    }
    for (const auto& name : removed) {
        (void)read_shard(shards.at(name), names, dropped);
    }
    sort_records(dropped);
    sort_records(added);
    const auto changed_sections = static_cast<section>(dropped.sections | added.sections);
    auto next = std::make_shared<snapshot>(
        merge_records(current ? *current : snapshot{}, dropped, std::move(added)));
    next->version = changes.version;
    next->published = changes.published;
    next->rules_version = changes.rules_version;
    if (auto valid = validate(*next, changed_sections); !valid) {
        return tl::unexpected(valid.error());
    }
    return snapshot_ptr(std::move(next));
}

// Updates the stored shards, their removals and the digests.
void configuration_store::state::commit_shards(const change_set& changes,
                                               std::vector<shard> changed,
                                               const std::vector<std::string>& removed,
                                               shard_digests next) {
    if (history_start == 0) {
        history_start = changes.version;
    }
    for (const auto& name : removed) {
        shards.erase(name);
        registrations_digests.erase(name);
        removals[name] = changes.version;
    }
    for (auto& it : changed) {
        // The sender had this content before and did not see the one that this node has now, so the
        // shard's version hides a change from receivers that have the latter.
        if (it.version <= version()) {
            history_start = changes.version;
        }
        removals.erase(it.name);
        registrations_digests[it.name] = digest_of_registrations(it);
        shards[it.name] = std::move(it);
    }
    for (const auto& it : changes.changed) {
        shards[it.name].version = it.version;
    }
    digests = std::move(next);
    forget_old_removals();
}

void configuration_store::state::forget_old_removals() {
    while (removals.size() > max_remembered_removals) {
        const auto oldest =
            std::ranges::min_element(removals, {}, [](const auto& entry) { return entry.second; });
        history_start = std::max(history_start, oldest->second);
        removals.erase(oldest);
    }
}

change_set configuration_store::state::describe_version() const {
    change_set changes;
    if (!current) {
        return changes;
    }
    changes.version = version();
    changes.published = current->published;
    changes.rules_version = current->rules_version;
    changes.digest = digests.labelled;
    changes.content_digest = digests.content;
    return changes;
}

shard_mark configuration_store::state::mark_of(const shard& stored) const {
    return {stored.name, stable_hash(stored.digest + " " + registrations_digests.at(stored.name))};
}

// Keeps a change set in a format that this build can't read, to be passed on to other nodes. Shard
// digests are the same in every format, so damaged change sets can be recognized and are not kept.
void configuration_store::state::keep_unsupported_change_set(const change_set& changes) {
    const bool newest =
        !unsupported_change_set || unsupported_change_set->version <= changes.version;
    if (newest && changes.version > version() && !check_shards(changes)) {
        unsupported_change_set = changes;
    }
}

// Puts the change set into force. Returns the reason if that is not possible.
std::optional<error> configuration_store::state::try_apply(const change_set& changes) {
    if (changes.format != format_version) {
        keep_unsupported_change_set(changes);
        return error{error_kind::invalid_input,
                     "format " + std::to_string(changes.format) + " is not known to this build",
                     "upgrade this program; the version in force stays"};
    }
    if (auto found = check_shards(changes)) {
        return found;
    }
    const auto removed = shards_to_remove(changes);
    auto next_digests = digests_after(changes, removed);
    if (auto found = check_digests(changes, next_digests)) {
        base_content_differs = changes.base_version != 0;
        return found;
    }
    auto changed = shards_with_new_content(changes);
    auto next = build_snapshot(changes, changed, removed);
    if (!next) {
        // The rejection is remembered only because all digests matched. A damaged copy is not
        // remembered, since the next copy of the same version may be intact.
        rejections.push_back({changes.version, std::move(next_digests), next.error()});
        if (rejections.size() > max_remembered_rejections) {
            rejections.erase(rejections.begin());
        }
        return next.error();
    }
    commit_shards(changes, std::move(changed), removed, std::move(next_digests));
    current = std::move(*next);
    return std::nullopt;
}

configuration_store::configuration_store() : state_(std::make_unique<state>()) {}
configuration_store::~configuration_store() = default;

apply_outcome configuration_store::apply(const change_set& changes, wall_time now) {
    if (changes.version == version() && version() > 0 && !state_->digests.match(changes)) {
        const std::string detail = changes.content_digest.empty() ? " or other shard versions" : "";
        return state_->record_rejection(
            changes, {error_kind::conflict, "the version in force has different content" + detail,
                      "publish the content under a new version"});
    }
    if (changes.version <= version()) {
        return apply_outcome::not_newer;
    }
    const auto rules_in_force = state_->current ? state_->current->rules_version : 0;
    if (changes.rules_version != 0 && changes.rules_version < rules_in_force) {
        return apply_outcome::older_rules;
    }
    if (const auto* known = state_->find_rejection(changes)) {
        return state_->record_rejection(changes, known->reason);
    }
    // The content digest shows whether changes to another base lead to the content of the version.
    if (changes.base_version != 0 && changes.base_version != version() &&
        changes.format == format_version && changes.content_digest.empty()) {
        return apply_outcome::base_mismatch;
    }
    state_->base_content_differs = false;
    if (auto reason = state_->try_apply(changes)) {
        const auto outcome = state_->record_rejection(changes, std::move(*reason));
        return state_->base_content_differs ? apply_outcome::base_mismatch : outcome;
    }
    state_->confirmed = now;
    if (state_->unsupported_change_set && state_->unsupported_change_set->version <= version()) {
        state_->unsupported_change_set.reset();
    }
    return apply_outcome::accepted;
}

void configuration_store::confirm(std::uint64_t version, wall_time when) {
    if (version == this->version() && version > 0) {
        state_->confirmed = std::max(state_->confirmed, when);
    }
}

snapshot_ptr configuration_store::current() const {
    return state_->current;
}
std::uint64_t configuration_store::version() const {
    return state_->version();
}
wall_time configuration_store::confirmed_at() const {
    return state_->confirmed;
}
const std::optional<change_set>& configuration_store::unsupported_change_set() const {
    return state_->unsupported_change_set;
}
const std::optional<error>& configuration_store::last_rejection() const {
    return state_->last_rejection;
}

const std::string& configuration_store::digest() const {
    return state_->digests.labelled;
}

const std::string& configuration_store::content_digest() const {
    return state_->digests.content;
}

std::vector<shard_entry> configuration_store::shard_entries() const {
    std::vector<shard_entry> all;
    all.reserve(state_->shards.size());
    for (const auto& [name, stored] : state_->shards) {
        all.push_back({name, stored.version, stored.digest});
    }
    return all;
}

change_set configuration_store::changes_since(std::uint64_t base) const {
    auto changes = state_->describe_version();
    if (!state_->current) {
        return changes;
    }
    const bool known = base >= state_->history_start;
    changes.base_version = known ? std::min(base, version()) : 0;
    for (const auto& [name, stored] : state_->shards) {
        if (stored.version > changes.base_version) {
            changes.changed.push_back(stored);
        }
    }
    for (const auto& [name, removed_in] : state_->removals) {
        if (known && removed_in > base) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

change_set configuration_store::changes_for(const change_base& base) const {
    if (base.shards.empty() || base.version == 0 || base.version >= version()) {
        return changes_since(base.version);
    }
    auto changes = state_->describe_version();
    changes.base_version = base.version;
    for (const auto& [name, stored] : state_->shards) {
        const auto it = std::ranges::lower_bound(base.shards, name, {}, &shard_mark::name);
        if (it == base.shards.end() || *it != state_->mark_of(stored)) {
            changes.changed.push_back(stored);
        }
    }
    for (const auto& it : base.shards) {
        if (!state_->shards.contains(it.name)) {
            changes.removed.push_back(it.name);
        }
    }
    return changes;
}

change_base configuration_store::base() const {
    change_base held{version(), {}};
    held.shards.reserve(state_->shards.size());
    for (const auto& [name, stored] : state_->shards) {
        held.shards.push_back(state_->mark_of(stored));
    }
    return held;
}

} // namespace wigeonrill::config
