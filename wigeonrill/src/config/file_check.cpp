#include "wigeonrill/config.h"

#include <algorithm>

namespace wigeonrill::config {

namespace {

constexpr std::uint64_t max_file_bytes = 256ULL * 1024 * 1024;

std::string format_count(std::size_t n, const std::string& noun) {
    return std::to_string(n) + " " + noun + (n == 1 ? "" : "s");
}

std::string summarize(const snapshot& all, const change_set& shards) {
    std::size_t targets = 0;
    std::size_t slots = 0;
    for (const auto& it : all.services) {
        targets += it.targets.size();
        for (const auto& one : it.targets) {
            slots += one.slots;
        }
    }
    return "version " + std::to_string(all.version) + ": " +
           format_count(all.services.size(), "service") + ", " + format_count(targets, "target") +
           " with " + format_count(slots, "slot") + ", " +
           format_count(all.routes.size(), "route") + ", " +
           format_count(all.workspaces.size(), "workspace") + ", " +
           format_count(all.key_owners.size(), "key owner set") + ", " +
           format_count(all.vms.size(), "VM") + ", " + format_count(shards.changed.size(), "shard");
}

file_check check_file(const std::string& path) {
    const auto text = read_file(path, max_file_bytes);
    if (!text) {
        return {path, text.error(), {}};
    }
    const auto parsed = parse_document(*text, path);
    if (!parsed) {
        return {path, parsed.error(), {}};
    }
    const auto shards = split_document(*text, path);
    if (!shards) {
        return {path, shards.error(), {}};
    }
    return {path, std::nullopt, summarize(*parsed, *shards)};
}

} // namespace

std::vector<file_check> check_files(const std::vector<std::string>& paths) {
    std::vector<file_check> all;
    all.reserve(paths.size());
    std::ranges::transform(paths, std::back_inserter(all), check_file);
    return all;
}

} // namespace wigeonrill::config
