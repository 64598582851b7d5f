#include "wigeonrill/config.h"

#include "wigeonrill/src/config/change_checks.h"

#include <Poco/SHA1Engine.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

// When a record changes, the whole part that holds it is sent to every node. At 11,000 changes a
// day, parts of 16 KiB cause about 2 KB/s, of a budget for control traffic of 8 KB/s. Smaller parts
// would make the manifest longer.
constexpr std::size_t target_part_bytes = 16'384;

struct record {
    std::string key; ///< its hash selects the part that holds the record
    std::string text;
};

std::size_t total_size(const std::vector<record>& records) {
    std::size_t total = 0;
    for (const auto& it : records) {
        total += it.text.size() + 1;
    }
    return total;
}

// Returns a power of 2. It depends on the size alone, so that all nodes divide equal lists in the
// same way, whichever versions they have read before.
std::size_t choose_part_count(std::size_t size) {
    std::size_t part_count = 1;
    while (part_count * target_part_bytes < size) {
        part_count *= 2;
    }
    return part_count;
}

class shard_builder {
public:
    explicit shard_builder(const change_set* previous) {
        if (previous != nullptr) {
            for (const auto& it : previous->changed) {
                previous_shards_.emplace(it.name, &it);
            }
        }
    }

    void add_shard(const std::string& name, std::string content, std::uint64_t version) {
        shard it{name, version, digest_of(content), std::move(content), {}};
        const auto found = previous_shards_.find(name);
        if (found != previous_shards_.end() && found->second->digest == it.digest) {
            it.version = found->second->version;
        }
        shards_.push_back(std::move(it));
    }

    void add_parts(const std::string& list, const std::vector<record>& records,
                   std::uint64_t version, std::string_view brackets) {
        const auto count = choose_part_count(total_size(records));
        std::vector<std::string> contents(count);
        for (const auto& it : records) {
            auto& content = contents[stable_hash(it.key) % count];
            content += (content.empty() ? brackets.substr(0, 1) : ",");
            content += it.text;
        }
        for (std::size_t i = 0; i < count; ++i) {
            if (!contents[i].empty()) {
                contents[i] += brackets.substr(1);
                const auto name = list + "/" + std::to_string(i) + "-of-" + std::to_string(count);
                add_shard(name, std::move(contents[i]), version);
            }
        }
    }

    [[nodiscard]] std::vector<shard> take_shards() {
        std::ranges::sort(shards_, {}, &shard::name);
        return std::move(shards_);
    }

private:
    std::unordered_map<std::string, const shard*> previous_shards_;
    std::vector<shard> shards_;
};

std::vector<record> member_records(const json& root, const char* list) {
    std::vector<record> all;
    const auto found = root.find(list);
    if (found != root.end() && found->is_object()) {
        for (const auto& [name, value] : found->items()) {
            all.push_back({name, json(name).dump() + ":" + value.dump()});
        }
    }
    return all;
}

std::vector<record> vm_records(const json& root) {
    std::vector<record> all;
    const auto found = root.find("vms");
    if (found != root.end() && found->is_array()) {
        for (const auto& value : *found) {
            const auto key = value.is_object() ? value.value("address", json()) : json();
            all.push_back({key.dump(), value.dump()});
        }
    }
    return all;
}

std::string rules_text(const json& root) {
    auto rules = root.value("rules", json::object());
    if (rules.is_object() && root.contains("key_owners")) {
        rules["key_owners"] = root["key_owners"];
    }
    return rules.dump();
}

std::optional<error> find_oversized_shard(const std::vector<shard>& shards,
                                          const std::string& source) {
    for (const auto& it : shards) {
        if (it.content.size() > max_shard_bytes) {
            return error{error_kind::invalid_input,
                         source + ": shard " + it.name + " has " +
                             std::to_string(it.content.size()) + " bytes, the limit is " +
                             std::to_string(max_shard_bytes),
                         "divide the service into several services"};
        }
    }
    return std::nullopt;
}

std::vector<shard> split_into_shards(const json& root, std::uint64_t version,
                                     const change_set* previous) {
    shard_builder builder(previous);
    builder.add_shard("rules", rules_text(root), version);
    const auto services = root.value("services", json::object());
    for (const auto& [name, value] : services.items()) {
        builder.add_shard("service/" + name, value.dump(), version);
    }
    builder.add_parts("routes", member_records(root, "routes"), version, "{}");
    builder.add_parts("workspaces", member_records(root, "workspaces"), version, "{}");
    builder.add_parts("vms", vm_records(root), version, "[]");
    return builder.take_shards();
}

std::vector<registered_target> registrations_of(const service& from) {
    std::vector<registered_target> known;
    for (const auto& it : from.targets) {
        if (it.registered != registration{}) {
            known.push_back({it.id, it.registered});
        }
    }
    std::ranges::sort(known, {}, &registered_target::target);
    return known;
}

// Returns whether the previous version has the shard with this content and other registrations.
bool differs_in_registrations(const shard& current, const change_set* previous) {
    if (previous == nullptr) {
        return false;
    }
    const auto it = std::ranges::find(previous->changed, current.name, &shard::name);
    return it != previous->changed.end() && it->digest == current.digest &&
           it->registrations != current.registrations;
}

} // namespace

std::string digest_of(std::string_view text) {
    Poco::SHA1Engine engine;
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string digest_of(const std::vector<shard>& shards) {
    Poco::SHA1Engine engine;
    for (const auto& it : shards) {
        engine.update(it.name + " " + std::to_string(it.version) + " " + it.digest + "\n");
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

// Registrations that name no process are left out, because they are not sent to other nodes.
std::string digest_of_registrations(const shard& from) {
    std::string lines;
    for (const auto& it : from.registrations) {
        if (it.registered.started_ms != 0) {
            lines += it.target.value + " " + std::to_string(it.registered.started_ms) + " " +
                     std::to_string(it.registered.created) + "\n";
        }
    }
    return lines.empty() ? "" : digest_of(lines);
}

std::string content_digest_of(const std::vector<shard_identity>& shards) {
    Poco::SHA1Engine engine;
    for (const auto& it : shards) {
        std::string line(it.name);
        line.append(" ").append(it.digest).append(" ").append(it.registrations).append("\n");
        engine.update(line);
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string content_digest_of(const std::vector<shard>& shards) {
    std::vector<shard_identity> all;
    all.reserve(shards.size());
    for (const auto& it : shards) {
        all.push_back({it.name, it.digest, digest_of_registrations(it)});
    }
    return content_digest_of(all);
}

result<change_set> split_document(std::string_view text, const std::string& source,
                                  const change_set* previous) {
    const auto document = json_document::parse(text, source);
    if (!document) {
        return tl::unexpected(document.error());
    }
    parse_context context{source, std::nullopt};
    checked_object root(document->root(), "", context);
    constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();
    change_set all;
    all.format = root.number("format", 1, max_number);
    all.version = root.number("version", 1, max_number);
    all.published = root.time("published");
    if (context.first_error) {
        return tl::unexpected(*context.first_error);
    }
    all.changed = split_into_shards(document->root(), all.version, previous);
    all.digest = digest_of(all.changed);
    all.content_digest = content_digest_of(all.changed);
    if (auto oversized = find_oversized_shard(all.changed, source)) {
        return tl::unexpected(std::move(*oversized));
    }
    return all;
}

result<change_set> split_snapshot(const snapshot& configuration, const std::string& source,
                                  const change_set* previous) {
    auto all = split_document(write_document(configuration), source, previous);
    if (!all) {
        return all;
    }
    for (const auto& from : configuration.services) {
        const auto name = "service/" + from.name.value;
        const auto it = std::ranges::find(all->changed, name, &shard::name);
        if (it == all->changed.end()) {
            continue;
        }
        it->registrations = registrations_of(from);
        if (differs_in_registrations(*it, previous)) {
            it->version = all->version;
        }
    }
    all->digest = digest_of(all->changed);
    all->content_digest = content_digest_of(all->changed);
    all->rules_version = configuration.rules_version;
    return all;
}

} // namespace wigeonrill::config
