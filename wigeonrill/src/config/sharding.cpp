#include "wigeonrill/config.h"

#include <Poco/SHA1Engine.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

// A changed record re-sends its part to every node. At 11,000 changes a day, 16 KiB are about
// 2 KB/s of the control budget of 8 KB/s; smaller parts would make the manifest longer.
constexpr std::size_t part_size = 16'384;
constexpr std::size_t least_part_size = 4'096;
constexpr std::size_t most_part_size = 32'768;

struct record {
    std::string key; ///< decides the part
    std::string text;
};

std::size_t total_size(const std::vector<record>& records) {
    std::size_t total = 0;
    for (const auto& it : records) {
        total += it.text.size() + 1;
    }
    return total;
}

// Reads 16 from "routes/3-of-16"; 0 when the list had no parts.
std::size_t previous_parts(const std::string& list, const change_set* previous) {
    if (previous == nullptr) {
        return 0;
    }
    for (const auto& it : previous->changed) {
        const auto of = it.name.rfind("-of-");
        if (it.name.rfind(list + "/", 0) == 0 && of != std::string::npos) {
            return std::strtoul(it.name.c_str() + of + 4, nullptr, 10);
        }
    }
    return 0;
}

std::size_t number_of_parts(std::size_t size, std::size_t before) {
    const bool fits = before > 0 && size <= before * most_part_size &&
                      (before == 1 || size >= before * least_part_size);
    if (fits) {
        return before;
    }
    std::size_t parts = 1;
    while (parts * part_size < size) {
        parts *= 2;
    }
    return parts;
}

class splitter {
public:
    explicit splitter(const change_set* previous) : previous_(previous) {
        if (previous != nullptr) {
            for (const auto& it : previous->changed) {
                known_.emplace(it.name, &it);
            }
        }
    }

    void add(const std::string& name, std::string content, std::uint64_t version) {
        shard it{name, version, digest_of(content), std::move(content)};
        const auto found = known_.find(name);
        if (found != known_.end() && found->second->digest == it.digest) {
            it.version = found->second->version;
        }
        shards_.push_back(std::move(it));
    }

    void add_parts(const std::string& list, const std::vector<record>& records,
                   std::uint64_t version, std::string_view brackets) {
        const auto count = number_of_parts(total_size(records), previous_parts(list, previous_));
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
                add(name, std::move(contents[i]), version);
            }
        }
    }

    [[nodiscard]] std::vector<shard> take() {
        std::ranges::sort(shards_, {}, &shard::name);
        return std::move(shards_);
    }

private:
    const change_set* previous_;
    std::unordered_map<std::string, const shard*> known_;
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

std::optional<error> find_large_shard(const std::vector<shard>& shards, const std::string& source) {
    for (const auto& it : shards) {
        if (it.content.size() > largest_shard) {
            return error{error_kind::invalid_input,
                         source + ": shard " + it.name + " has " +
                             std::to_string(it.content.size()) + " bytes, the limit is " +
                             std::to_string(largest_shard),
                         "divide the service into several services"};
        }
    }
    return std::nullopt;
}

std::vector<shard> split(const json& root, std::uint64_t version, const change_set* previous) {
    splitter parts(previous);
    parts.add("rules", rules_text(root), version);
    const auto services = root.value("services", json::object());
    for (const auto& [name, value] : services.items()) {
        parts.add("service/" + name, value.dump(), version);
    }
    parts.add_parts("routes", member_records(root, "routes"), version, "{}");
    parts.add_parts("workspaces", member_records(root, "workspaces"), version, "{}");
    parts.add_parts("vms", vm_records(root), version, "[]");
    return parts.take();
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

result<change_set> split_document(std::string_view text, const std::string& source,
                                  const change_set* previous) {
    const auto document = json_document::parse(text, source);
    if (!document) {
        return tl::unexpected(document.error());
    }
    reading_context context{source, std::nullopt};
    checked_object root(document->root(), "", context);
    constexpr std::uint64_t most = std::numeric_limits<std::int64_t>::max();
    change_set all;
    all.format = root.number("format", 1, most);
    all.version = root.number("version", 1, most);
    all.published = root.time("published");
    if (context.failure) {
        return tl::unexpected(*context.failure);
    }
    all.changed = split(document->root(), all.version, previous);
    all.digest = digest_of(all.changed);
    if (auto large = find_large_shard(all.changed, source)) {
        return tl::unexpected(std::move(*large));
    }
    return all;
}

} // namespace wigeonrill::config
