#include "wigeonrill/config.h"

#include <algorithm>
#include <unordered_set>

namespace wigeonrill::config {

namespace {

using optional_error = std::optional<error>;

bool contains_section(section changed, section tested) {
    return (static_cast<unsigned>(changed) & static_cast<unsigned>(tested)) != 0;
}

optional_error make_error_at(const std::string& path, const std::string& problem,
                             std::string remedy) {
    return error{error_kind::invalid_input, path + ": " + problem, std::move(remedy)};
}

// The records are sorted by name, so duplicates are neighbours. Two shards that define the same
// record cause a duplicate, for example.
template <typename Records>
optional_error find_duplicate_name(const std::string& list, const Records& records) {
    for (std::size_t i = 1; i < records.size(); ++i) {
        const auto& name = records[i].name.value;
        if (!(records[i - 1].name < records[i].name)) {
            return make_error_at(std::string(list).append(".").append(name),
                                 "duplicate or unsorted name", "give each entry a unique name");
        }
    }
    return std::nullopt;
}

// Returns whether two hashes are equal, which means that an exact search for duplicates is needed.
// Building the strings for an exact comparison of 42,000 addresses takes longer than all other
// steps of configuration_store::apply(), so it is skipped if all hashes differ.
bool has_equal_hashes(std::vector<std::uint64_t>& hashes) {
    std::ranges::sort(hashes);
    return std::ranges::adjacent_find(hashes) != hashes.end();
}

optional_error check_floor(const service& it) {
    std::uint64_t slots = 0;
    for (const auto& one : it.targets) {
        slots += one.slots;
    }
    if (it.floor_slots <= slots) {
        return std::nullopt;
    }
    return make_error_at("services." + it.name.value + ".floor_slots",
                         std::to_string(it.floor_slots) + " is above the " + std::to_string(slots) +
                             " slots of the service's targets",
                         "lower the floor or add targets");
}

optional_error check_target_names(const service& it) {
    // The parser returns the targets sorted by name, so normally no set is needed.
    if (std::ranges::is_sorted(it.targets, std::less_equal<>{}, &target::id)) {
        return std::nullopt;
    }
    std::unordered_set<std::string_view> ids;
    for (const auto& one : it.targets) {
        if (!ids.insert(one.id.value).second) {
            return make_error_at("services." + it.name.value + ".targets." + one.id.value,
                                 "duplicate name", "give each target a unique name");
        }
    }
    return std::nullopt;
}

// Finds targets that have the same address. The slots of one process would be counted twice.
optional_error find_duplicate_address(const std::vector<service>& services) {
    std::unordered_map<std::string, std::string> seen;
    for (const auto& it : services) {
        for (const auto& one : it.targets) {
            const auto path = "services." + it.name.value + ".targets." + one.id.value;
            const auto [first, added] = seen.emplace(to_string(one.address), path);
            if (!added) {
                return make_error_at(path + ".address",
                                     "\"" + first->first + "\" is also the address of " +
                                         first->second,
                                     "give each target a unique address");
            }
        }
    }
    return std::nullopt;
}

bool may_have_equal_addresses(const std::vector<service>& services) {
    std::vector<std::uint64_t> hashes;
    for (const auto& it : services) {
        for (const auto& one : it.targets) {
            hashes.push_back(stable_hash(one.address.ip, one.address.port));
        }
    }
    return has_equal_hashes(hashes);
}

optional_error check_services(const snapshot& all) {
    if (auto found = find_duplicate_name("services", all.services)) {
        return found;
    }
    for (const auto& it : all.services) {
        if (auto found = check_floor(it)) {
            return found;
        }
        if (auto found = check_target_names(it)) {
            return found;
        }
    }
    return may_have_equal_addresses(all.services) ? find_duplicate_address(all.services)
                                                  : std::nullopt;
}

// Calls visit(method) for each method of a route, or once with "*" if the route matches any method.
template <typename Visit>
void for_each_method(const route& it, Visit visit) {
    if (it.methods.empty()) {
        visit("*");
    }
    for (const auto& method : it.methods) {
        visit(method);
    }
}

bool may_have_equal_match(const std::vector<route>& routes) {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(routes.size());
    for (const auto& it : routes) {
        const auto host_and_path_hash = stable_hash(it.path_prefix, stable_hash(it.host));
        for_each_method(it, [&](std::string_view method) {
            hashes.push_back(stable_hash(method, host_and_path_hash));
        });
    }
    return has_equal_hashes(hashes);
}

// Finds two routes that match the same requests. The choice between them, and between their
// policies, would be arbitrary.
optional_error find_equal_match(const std::vector<route>& routes) {
    std::unordered_map<std::string, const route*> seen;
    optional_error found;
    for (const auto& it : routes) {
        for_each_method(it, [&](const std::string& method) {
            const auto [first, added] = seen.emplace(method + " " + it.host + it.path_prefix, &it);
            if (!added && !found) {
                found = make_error_at("routes." + it.name.value,
                                      "matches the same requests as routes." +
                                          first->second->name.value,
                                      "change the host, methods or path_prefix of one of them");
            }
        });
    }
    return found;
}

optional_error check_references(const snapshot& all) {
    std::unordered_set<std::string_view> services;
    for (const auto& it : all.services) {
        services.insert(it.name.value);
    }
    const auto check_service_exists = [&services](const route& it,
                                                  const service_name& name) -> optional_error {
        if (services.contains(name.value)) {
            return std::nullopt;
        }
        return make_error_at("routes." + it.name.value + ".service",
                             "there is no service \"" + name.value + "\"",
                             "define the service or correct its name");
    };
    for (const auto& it : all.routes) {
        if (auto found = check_service_exists(it, it.service)) {
            return found;
        }
        for (const auto& part : it.split) {
            if (auto found = check_service_exists(it, part.service)) {
                return found;
            }
        }
    }
    return std::nullopt;
}

optional_error check_routes(const snapshot& all) {
    if (auto found = find_duplicate_name("routes", all.routes)) {
        return found;
    }
    return may_have_equal_match(all.routes) ? find_equal_match(all.routes) : std::nullopt;
}

optional_error check_workspaces(const snapshot& all) {
    if (auto found = find_duplicate_name("workspaces", all.workspaces)) {
        return found;
    }
    return find_shared_key(all.workspaces);
}

optional_error check_owner_list(const std::string& path, const key_owner_set& it) {
    if (it.owners.empty()) {
        return make_error_at(path + ".owners", "the list is empty", "list at least one node");
    }
    std::set<endpoint> seen;
    for (const auto& owner : it.owners) {
        if (!seen.insert(owner).second) {
            return make_error_at(path + ".owners", "duplicate address " + to_string(owner),
                                 "list each node once");
        }
    }
    return std::nullopt;
}

// A set that replaces another one must be announced at least owner_lease before it takes effect. A
// node that did not receive the change has no valid lease by then and refuses keys, so a key never
// has two owners.
optional_error check_announcement(const std::string& path, const snapshot& all, std::size_t index) {
    const auto& it = all.key_owners[index];
    if (it.announced > all.published) {
        return make_error_at(path + ".announced", "is later than the publication of this version",
                             "write the time at which the set was first published");
    }
    if (index == 0) {
        return std::nullopt;
    }
    if (it.effective_from <= all.key_owners[index - 1].effective_from) {
        return make_error_at(path + ".effective_from",
                             "is not later than that of the set before it",
                             "sort the sets by effective_from, the newest last");
    }
    if (it.announced == wall_time{} || it.effective_from - it.announced < all.owner_lease) {
        return make_error_at(
            path + ".effective_from", "is less than owner_lease after \"announced\" of the set",
            "add \"announced\" and let the set take effect owner_lease or more later");
    }
    return std::nullopt;
}

optional_error check_key_owners(const snapshot& all) {
    for (std::size_t i = 0; i < all.key_owners.size(); ++i) {
        const auto path = "key_owners[" + std::to_string(i) + "]";
        if (auto found = check_owner_list(path, all.key_owners[i])) {
            return found;
        }
        if (auto found = check_announcement(path, all, i)) {
            return found;
        }
    }
    return std::nullopt;
}

optional_error check_vms(const snapshot& all) {
    std::unordered_set<std::string> seen;
    for (const auto& it : all.vms) {
        const auto text = to_string(it.address);
        if (!seen.insert(text).second) {
            return make_error_at("vms", "duplicate address " + text, "list each VM once");
        }
    }
    return std::nullopt;
}

optional_error find_error(const snapshot& all, section changed) {
    if (contains_section(changed, section::services)) {
        if (auto found = check_services(all)) {
            return found;
        }
    }
    if (contains_section(changed, section::services) ||
        contains_section(changed, section::routes)) {
        if (auto found = check_references(all)) {
            return found;
        }
    }
    if (contains_section(changed, section::routes)) {
        if (auto found = check_routes(all)) {
            return found;
        }
    }
    if (contains_section(changed, section::workspaces)) {
        if (auto found = check_workspaces(all)) {
            return found;
        }
    }
    // Checked for every version: there are only a few sets, and the check depends on the time of
    // publication, which every version changes.
    if (auto found = check_key_owners(all)) {
        return found;
    }
    return contains_section(changed, section::vms) ? check_vms(all) : std::nullopt;
}

} // namespace

// Which of the limits applied to a shared key would be arbitrary.
std::optional<error> find_shared_key(const shared_list<workspace>& workspaces) {
    std::vector<std::pair<key_digest, const workspace*>> holders;
    for (const auto& it : workspaces) {
        for (const auto& key : it.keys) {
            holders.emplace_back(key, &it);
        }
    }
    using holder = std::pair<key_digest, const workspace*>;
    std::ranges::sort(holders, {}, &holder::first);
    const auto found = std::ranges::adjacent_find(holders, {}, &holder::first);
    if (found == holders.end()) {
        return std::nullopt;
    }
    return make_error_at("workspaces." + found->second->name.value + ".api_key_digests",
                         "the key with digest " + to_string(found->first) +
                             " is also a key of workspaces." + std::next(found)->second->name.value,
                         "give each workspace keys of its own, each once");
}

result<void> validate(const snapshot& configuration, section changed) {
    if (auto found = find_error(configuration, changed)) {
        return tl::unexpected(std::move(*found));
    }
    return {};
}

} // namespace wigeonrill::config
