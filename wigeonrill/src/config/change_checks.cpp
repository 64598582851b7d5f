#include "wigeonrill/config.h"

#include "wigeonrill/src/config/change_checks.h"

#include <algorithm>

namespace wigeonrill::config {

bool shard_digests::match(const change_set& changes) const {
    return changes.content_digest.empty() ? changes.digest == labelled
                                          : changes.content_digest == content;
}

std::optional<error> check_shards(const change_set& changes) {
    const auto make_invalid_input = [](const std::string& problem, std::string remedy) {
        return error{error_kind::invalid_input, problem, std::move(remedy)};
    };
    for (std::size_t i = 0; i < changes.changed.size(); ++i) {
        const auto& it = changes.changed[i];
        if (it.content.size() > max_shard_bytes) {
            return make_invalid_input("shard " + it.name + " is larger than 1 MB",
                                      "publish smaller shards");
        }
        if (i > 0 && changes.changed[i - 1].name >= it.name) {
            return make_invalid_input("shard " + it.name + " is a duplicate or out of order",
                                      "send each shard once, sorted by name");
        }
        if (it.version == 0 || it.version > changes.version) {
            return make_invalid_input(
                "shard " + it.name +
                    " has a shard version that is 0 or above the configuration version",
                "state the version in which its content last changed");
        }
        if (digest_of(it.content) != it.digest) {
            return make_invalid_input("the content of shard " + it.name +
                                          " does not match its digest",
                                      "read the shard again");
        }
    }
    for (const auto& name : changes.removed) {
        if (std::ranges::binary_search(changes.changed, name, {}, &shard::name)) {
            return make_invalid_input("shard " + name + " is both changed and removed",
                                      "send it only as what it is in the version");
        }
    }
    return std::nullopt;
}

std::optional<error> check_digests(const change_set& changes, const shard_digests& next) {
    if (!next.has_rules) {
        return error{error_kind::invalid_input, "the shard \"rules\" is missing",
                     "publish all shards of the version"};
    }
    if (next.match(changes)) {
        return std::nullopt;
    }
    return error{error_kind::invalid_input,
                 "the shards do not match the digest of the version; one is missing or stale",
                 "read all shards of the version again"};
}

bool has_other_records(const change_set& changes, const shard& changed, const shard& stored) {
    const bool may_lack_registrations =
        changed.registrations.empty() && changes.content_digest.empty();
    return changed.digest != stored.digest ||
           (!may_lack_registrations && changed.registrations != stored.registrations);
}

} // namespace wigeonrill::config
