#include "wigeonrill/config.h"

#include "wigeonrill/src/config/assembly.h"

#include <algorithm>

namespace wigeonrill::config {

namespace {

// Rejected versions and removed shards that are remembered; the oldest are forgotten first.
constexpr std::size_t most_rejections = 64;
constexpr std::size_t most_removals = 4096;

std::optional<error> check_envelope(const change_set& changes) {
    const auto refuse = [](const std::string& what, std::string remedy) {
        return error{error_kind::invalid_input, what, std::move(remedy)};
    };
    for (std::size_t i = 0; i < changes.changed.size(); ++i) {
        const auto& it = changes.changed[i];
        if (it.content.size() > largest_shard) {
            return refuse("shard " + it.name + " is larger than 1 MB", "publish smaller shards");
        }
        if (i > 0 && changes.changed[i - 1].name >= it.name) {
            return refuse("shard " + it.name + " is duplicate or out of order",
                          "send each shard once, sorted by name");
        }
        if (it.version == 0 || it.version > changes.version) {
            return refuse("shard " + it.name + " has a version of its own that is out of range",
                          "state the version in which its content last changed");
        }
        if (digest_of(it.content) != it.digest) {
            return refuse("the content of shard " + it.name + " does not match its digest",
                          "read the shard again");
        }
    }
    return std::nullopt;
}

} // namespace

struct store::state {
    struct rejection {
        std::uint64_t version{0};
        std::string digest;
        error reason;
    };

    snapshot_ptr current;
    wall_time confirmed{};
    std::string digest;
    std::map<std::string, shard> shards;
    std::map<std::string, std::uint64_t> removals; ///< shard name to version that removed it
    std::uint64_t history_start{0}; ///< oldest version whose later removals are all known
    std::vector<rejection> rejections;
    std::optional<error> last_rejection;
    std::optional<change_set> newer_format;
    bool mismatched{false}; ///< the last offer applies to another content of its base version

    [[nodiscard]] std::uint64_t version() const { return current ? current->version : 0; }
    [[nodiscard]] const rejection* find_rejection(const change_set& changes) const;
    apply_outcome reject(const change_set& changes, error reason);
    [[nodiscard]] std::optional<error> offer(const change_set& changes);
    [[nodiscard]] std::vector<shard> changed_shards(const change_set& changes) const;
    [[nodiscard]] std::vector<std::string> removed_shards(const change_set& changes) const;
    [[nodiscard]] std::optional<error> check_digest(const change_set& changes,
                                                    const std::vector<std::string>& removed) const;
    [[nodiscard]] result<snapshot_ptr> build(const change_set& changes,
                                             const std::vector<shard>& changed,
                                             const std::vector<std::string>& removed) const;
    void commit(const change_set& changes, std::vector<shard> changed,
                const std::vector<std::string>& removed);
    void forget_old_removals();
    void keep_newer_format(const change_set& changes);
};

const store::state::rejection* store::state::find_rejection(const change_set& changes) const {
    const auto it = std::ranges::find_if(rejections, [&changes](const rejection& one) {
        return one.version == changes.version && one.digest == changes.digest;
    });
    return it != rejections.end() ? &*it : nullptr;
}

apply_outcome store::state::reject(const change_set& changes, error reason) {
    reason.message = "version " + std::to_string(changes.version) + ": " + reason.message;
    last_rejection = std::move(reason);
    return apply_outcome::rejected;
}

// Returns the shards whose content differs from the one held; the others are not parsed again.
std::vector<shard> store::state::changed_shards(const change_set& changes) const {
    std::vector<shard> changed;
    for (const auto& it : changes.changed) {
        const auto found = shards.find(it.name);
        if (found == shards.end() || found->second.digest != it.digest) {
            changed.push_back(it);
        }
    }
    return changed;
}

std::vector<std::string> store::state::removed_shards(const change_set& changes) const {
    std::vector<std::string> removed;
    if (changes.base_version == 0) {
        for (const auto& [name, held] : shards) {
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

// Compares the digest over all shards as they would be after the change.
std::optional<error> store::state::check_digest(const change_set& changes,
                                                const std::vector<std::string>& removed) const {
    std::map<std::string_view, const shard*> next;
    for (const auto& [name, held] : shards) {
        next.emplace(name, &held);
    }
    for (const auto& name : removed) {
        next.erase(name);
    }
    for (const auto& it : changes.changed) {
        next[it.name] = &it;
    }
    std::vector<shard> lines;
    lines.reserve(next.size());
    for (const auto& [name, it] : next) {
        lines.push_back({it->name, it->version, it->digest, {}});
    }
    if (!next.contains("rules")) {
        return error{error_kind::invalid_input, "the shard \"rules\" is missing",
                     "publish all shards of the version"};
    }
    if (digest_of(lines) == changes.digest) {
        return std::nullopt;
    }
    return error{error_kind::invalid_input,
                 "the shards do not match the digest of the version; one is missing or stale",
                 "read all shards of the version again"};
}

result<snapshot_ptr> store::state::build(const change_set& changes,
                                         const std::vector<shard>& changed,
                                         const std::vector<std::string>& removed) const {
    shard_records dropped;
    shard_records added;
    for (const auto& it : changed) {
        if (auto read = read_shard(it, added); !read) {
            return tl::unexpected(read.error());
        }
        if (const auto held = shards.find(it.name); held != shards.end()) {
            (void)read_shard(held->second, dropped);
        }
    }
    for (const auto& name : removed) {
        (void)read_shard(shards.at(name), dropped);
    }
    sort_records(dropped);
    sort_records(added);
    const auto touched = static_cast<section>(dropped.sections | added.sections);
    auto next = std::make_shared<snapshot>(
        merge_records(current ? *current : snapshot{}, dropped, std::move(added)));
    next->version = changes.version;
    next->published = changes.published;
    if (auto valid = validate(*next, touched); !valid) {
        return tl::unexpected(valid.error());
    }
    return snapshot_ptr(std::move(next));
}

void store::state::commit(const change_set& changes, std::vector<shard> changed,
                          const std::vector<std::string>& removed) {
    if (history_start == 0) {
        history_start = changes.version;
    }
    for (const auto& name : removed) {
        shards.erase(name);
        removals[name] = changes.version;
    }
    for (auto& it : changed) {
        removals.erase(it.name);
        shards[it.name] = std::move(it);
    }
    for (const auto& it : changes.changed) {
        shards[it.name].version = it.version;
    }
    digest = changes.digest;
    forget_old_removals();
}

void store::state::forget_old_removals() {
    while (removals.size() > most_removals) {
        const auto oldest =
            std::ranges::min_element(removals, {}, [](const auto& entry) { return entry.second; });
        history_start = std::max(history_start, oldest->second);
        removals.erase(oldest);
    }
}

// Every build computes shard digests alike, so damaged bytes are not passed on.
void store::state::keep_newer_format(const change_set& changes) {
    const bool newest = !newer_format || newer_format->version <= changes.version;
    if (newest && changes.version > version() && !check_envelope(changes)) {
        newer_format = changes;
    }
}

// Returns why the change set can't come into force, or nothing once it has.
std::optional<error> store::state::offer(const change_set& changes) {
    if (changes.format != format_version) {
        keep_newer_format(changes);
        return error{error_kind::invalid_input,
                     "format " + std::to_string(changes.format) + " is not known to this build",
                     "upgrade this program; the version in force stays"};
    }
    if (auto found = check_envelope(changes)) {
        return found;
    }
    const auto removed = removed_shards(changes);
    if (auto found = check_digest(changes, removed)) {
        mismatched = changes.base_version != 0;
        return found;
    }
    auto changed = changed_shards(changes);
    auto next = build(changes, changed, removed);
    if (!next) {
        // Only a verdict on undamaged content is remembered: damaged bytes may be read again.
        rejections.push_back({changes.version, changes.digest, next.error()});
        if (rejections.size() > most_rejections) {
            rejections.erase(rejections.begin());
        }
        return next.error();
    }
    commit(changes, std::move(changed), removed);
    current = std::move(*next);
    return std::nullopt;
}

store::store() : state_(std::make_unique<state>()) {}
store::~store() = default;

apply_outcome store::apply(const change_set& changes, wall_time now) {
    if (changes.version == version() && version() > 0 && changes.digest != state_->digest) {
        return state_->reject(changes,
                              {error_kind::conflict, "another content has the version in force",
                               "publish the content under a new version"});
    }
    if (changes.version <= version()) {
        return apply_outcome::not_newer;
    }
    if (const auto* known = state_->find_rejection(changes)) {
        return state_->reject(changes, known->reason);
    }
    if (changes.base_version != 0 && changes.base_version != version() &&
        changes.format == format_version) {
        return apply_outcome::base_mismatch;
    }
    state_->mismatched = false;
    if (auto reason = state_->offer(changes)) {
        const auto outcome = state_->reject(changes, std::move(*reason));
        return state_->mismatched ? apply_outcome::base_mismatch : outcome;
    }
    state_->confirmed = now;
    if (state_->newer_format && state_->newer_format->version <= version()) {
        state_->newer_format.reset();
    }
    return apply_outcome::accepted;
}

void store::confirm(std::uint64_t version, wall_time when) {
    if (version == this->version() && version > 0) {
        state_->confirmed = std::max(state_->confirmed, when);
    }
}

snapshot_ptr store::current() const {
    return state_->current;
}
std::uint64_t store::version() const {
    return state_->version();
}
wall_time store::confirmed() const {
    return state_->confirmed;
}
const std::optional<change_set>& store::newer_format() const {
    return state_->newer_format;
}
const std::optional<error>& store::last_rejection() const {
    return state_->last_rejection;
}

const std::string& store::digest() const {
    return state_->digest;
}

std::vector<shard_entry> store::entries() const {
    std::vector<shard_entry> all;
    all.reserve(state_->shards.size());
    for (const auto& [name, held] : state_->shards) {
        all.push_back({name, held.version, held.digest});
    }
    return all;
}

change_set store::changes_since(std::uint64_t base) const {
    change_set changes;
    if (!state_->current) {
        return changes;
    }
    const bool known = base >= state_->history_start;
    changes.base_version = known ? std::min(base, version()) : 0;
    changes.version = version();
    changes.published = state_->current->published;
    changes.digest = state_->digest;
    for (const auto& [name, held] : state_->shards) {
        if (held.version > changes.base_version) {
            changes.changed.push_back(held);
        }
    }
    for (const auto& [name, removed_in] : state_->removals) {
        if (known && removed_in > base) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

} // namespace wigeonrill::config
