#include "wigeonrill/config.h"

#include <algorithm>
#include <unordered_set>

namespace wigeonrill::config {

namespace {

using fault = std::optional<error>;

bool includes(section changed, section one) {
    return (static_cast<unsigned>(changed) & static_cast<unsigned>(one)) != 0;
}

fault refuse(const std::string& path, const std::string& what, std::string remedy) {
    return error{error_kind::invalid_input, path + ": " + what, std::move(remedy)};
}

// Records come sorted by name; equal neighbours are duplicates, for example in two shards.
template <typename Records>
fault find_duplicate_name(const std::string& list, const Records& records) {
    for (std::size_t i = 1; i < records.size(); ++i) {
        const auto& name = records[i].name.value;
        if (!(records[i - 1].name < records[i].name)) {
            return refuse(std::string(list).append(".").append(name), "duplicate or unsorted name",
                          "give each entry a name of its own");
        }
    }
    return std::nullopt;
}

// Building the texts for an exact comparison of 42,000 addresses takes longer than the rest of an
// apply, so it is left out when no two hashes are equal.
bool may_repeat(std::vector<std::uint64_t>& hashes) {
    std::ranges::sort(hashes);
    return std::ranges::adjacent_find(hashes) != hashes.end();
}

fault check_floor(const service& it) {
    std::uint64_t slots = 0;
    for (const auto& one : it.targets) {
        slots += one.slots;
    }
    if (it.floor_slots <= slots) {
        return std::nullopt;
    }
    return refuse("services." + it.name.value + ".floor_slots",
                  std::to_string(it.floor_slots) + " is above the " + std::to_string(slots) +
                      " slots of the service's targets",
                  "lower the floor or add targets");
}

fault check_target_names(const service& it) {
    // The parser delivers them sorted.
    if (std::ranges::is_sorted(it.targets, std::less_equal<>{}, &target::id)) {
        return std::nullopt;
    }
    std::unordered_set<std::string_view> ids;
    for (const auto& one : it.targets) {
        if (!ids.insert(one.id.value).second) {
            return refuse("services." + it.name.value + ".targets." + one.id.value,
                          "duplicate name", "give each target a name of its own");
        }
    }
    return std::nullopt;
}

// Two targets with one address would count its slots twice.
fault find_duplicate_address(const std::vector<service>& services) {
    std::unordered_map<std::string, std::string> seen;
    for (const auto& it : services) {
        for (const auto& one : it.targets) {
            const auto path = "services." + it.name.value + ".targets." + one.id.value;
            const auto [first, added] = seen.emplace(to_string(one.address), path);
            if (!added) {
                return refuse(path + ".address",
                              "\"" + first->first + "\" is also the address of " + first->second,
                              "give each target an address of its own");
            }
        }
    }
    return std::nullopt;
}

bool may_repeat_addresses(const std::vector<service>& services) {
    std::vector<std::uint64_t> hashes;
    for (const auto& it : services) {
        for (const auto& one : it.targets) {
            hashes.push_back(stable_hash(one.address.ip, one.address.port));
        }
    }
    return may_repeat(hashes);
}

fault check_services(const snapshot& all) {
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
    return may_repeat_addresses(all.services) ? find_duplicate_address(all.services) : std::nullopt;
}

// Calls visit(method) for each method of a route; "*" stands for any.
template <typename Visit>
void each_method(const route& it, Visit visit) {
    if (it.methods.empty()) {
        visit("*");
    }
    for (const auto& method : it.methods) {
        visit(method);
    }
}

bool may_match_alike(const std::vector<route>& routes) {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(routes.size());
    for (const auto& it : routes) {
        const auto place = stable_hash(it.path_prefix, stable_hash(it.host));
        each_method(it,
                    [&](std::string_view method) { hashes.push_back(stable_hash(method, place)); });
    }
    return may_repeat(hashes);
}

// Two routes that match the same requests would make the choice, and its policy, arbitrary.
fault find_equal_match(const std::vector<route>& routes) {
    std::unordered_map<std::string, const route*> seen;
    fault found;
    for (const auto& it : routes) {
        each_method(it, [&](const std::string& method) {
            const auto [first, added] = seen.emplace(method + " " + it.host + it.path_prefix, &it);
            if (!added && !found) {
                found = refuse("routes." + it.name.value,
                               "matches the same requests as routes." + first->second->name.value,
                               "change the host, methods or path_prefix of one of them");
            }
        });
    }
    return found;
}

fault check_references(const snapshot& all) {
    std::unordered_set<std::string_view> services;
    for (const auto& it : all.services) {
        services.insert(it.name.value);
    }
    const auto missing = [&services](const route& it, const service_name& name) -> fault {
        if (services.contains(name.value)) {
            return std::nullopt;
        }
        return refuse("routes." + it.name.value + ".service",
                      "there is no service \"" + name.value + "\"",
                      "define the service or correct its name");
    };
    for (const auto& it : all.routes) {
        if (auto found = missing(it, it.service)) {
            return found;
        }
        for (const auto& part : it.split) {
            if (auto found = missing(it, part.service)) {
                return found;
            }
        }
    }
    return std::nullopt;
}

fault check_routes(const snapshot& all) {
    if (auto found = find_duplicate_name("routes", all.routes)) {
        return found;
    }
    return may_match_alike(all.routes) ? find_equal_match(all.routes) : std::nullopt;
}

fault check_owners(const std::string& path, const key_owner_set& it) {
    if (it.owners.empty()) {
        return refuse(path + ".owners", "the list is empty", "name at least one node");
    }
    std::set<endpoint> seen;
    for (const auto& owner : it.owners) {
        if (!seen.insert(owner).second) {
            return refuse(path + ".owners", "duplicate address " + to_string(owner),
                          "name each node once");
        }
    }
    return std::nullopt;
}

// A set that replaces another must be announced a lease before it takes effect: a node that did
// not hear of the change refuses by then, so that no key has two owners.
fault check_announcement(const std::string& path, const snapshot& all, std::size_t index) {
    const auto& it = all.key_owners[index];
    if (it.announced > all.published) {
        return refuse(path + ".announced", "is later than the publication of this version",
                      "write the time at which the set was first published");
    }
    if (index == 0) {
        return std::nullopt;
    }
    if (it.effective_from <= all.key_owners[index - 1].effective_from) {
        return refuse(path + ".effective_from", "is not later than that of the set before it",
                      "sort the sets by effective_from, the newest last");
    }
    if (it.announced == wall_time{} || it.effective_from - it.announced < all.owner_lease) {
        return refuse(path + ".effective_from",
                      "is less than owner_lease after \"announced\" of the set",
                      "add \"announced\" and let the set take effect owner_lease or more later");
    }
    return std::nullopt;
}

fault check_key_owners(const snapshot& all) {
    for (std::size_t i = 0; i < all.key_owners.size(); ++i) {
        const auto path = "key_owners[" + std::to_string(i) + "]";
        if (auto found = check_owners(path, all.key_owners[i])) {
            return found;
        }
        if (auto found = check_announcement(path, all, i)) {
            return found;
        }
    }
    return std::nullopt;
}

fault check_vms(const snapshot& all) {
    std::unordered_set<std::string> seen;
    for (const auto& it : all.vms) {
        const auto text = to_string(it.address);
        if (!seen.insert(text).second) {
            return refuse("vms", "duplicate address " + text, "list each VM once");
        }
    }
    return std::nullopt;
}

fault find_fault(const snapshot& all, section changed) {
    if (includes(changed, section::services)) {
        if (auto found = check_services(all)) {
            return found;
        }
    }
    if (includes(changed, section::services) || includes(changed, section::routes)) {
        if (auto found = check_references(all)) {
            return found;
        }
    }
    if (includes(changed, section::routes)) {
        if (auto found = check_routes(all)) {
            return found;
        }
    }
    if (includes(changed, section::workspaces)) {
        if (auto found = find_duplicate_name("workspaces", all.workspaces)) {
            return found;
        }
    }
    // The rules are few, and depend on the time of publication, which every version changes.
    if (auto found = check_key_owners(all)) {
        return found;
    }
    return includes(changed, section::vms) ? check_vms(all) : std::nullopt;
}

} // namespace

result<void> validate(const snapshot& configuration, section changed) {
    if (auto found = find_fault(configuration, changed)) {
        return tl::unexpected(std::move(*found));
    }
    return {};
}

} // namespace wigeonrill::config
