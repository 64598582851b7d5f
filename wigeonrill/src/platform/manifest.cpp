#include "wigeonrill/platform.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace wigeonrill::platform {

namespace {

// Largest format or version number that is accepted.
constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();

bool is_digest(const std::string& text) {
    constexpr std::size_t sha1_digits = 40;
    return text.size() == sha1_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Only characters that need no escaping in a URL path, because shard names are part of one.
bool is_shard_name(const std::string& text) {
    constexpr std::size_t max_length = 128;
    return !text.empty() && text.size() <= max_length &&
           std::ranges::all_of(text, [](unsigned char it) {
               return std::isalnum(it) != 0 || it == '.' || it == '_' || it == '-' || it == '/';
           });
}

std::string read_digest(config::checked_object& object) {
    auto text = object.text("digest");
    if (!is_digest(text)) {
        object.fail("digest", "is not a SHA-1 in lower-case hexadecimal",
                    "publish the digest as 40 digits");
    }
    return text;
}

config::shard_entry read_entry(config::checked_object& object) {
    config::shard_entry it{object.text("name"), object.number("version", 1, max_number),
                           read_digest(object)};
    if (!is_shard_name(it.name)) {
        object.fail("name", "\"" + it.name + "\" is not the name of a shard",
                    "use letters, digits, '.', '_', '-' and '/'");
    }
    return it;
}

// Checks that the shards are sorted by name and none is newer than the manifest.
void check_entries(const manifest& all, config::checked_object& root) {
    for (std::size_t i = 0; i < all.shards.size(); ++i) {
        if (i > 0 && all.shards[i - 1].name >= all.shards[i].name) {
            root.fail("shards", "\"" + all.shards[i].name + "\" is a duplicate or out of order",
                      "list each shard once, sorted by name");
        }
        if (all.shards[i].version > all.version) {
            root.fail("shards", "\"" + all.shards[i].name + "\" is newer than the manifest",
                      "publish the manifest after its shards");
        }
    }
}

} // namespace

result<manifest> parse_manifest(std::string_view text) {
    const auto document = config::json_document::parse(text, "manifest");
    if (!document) {
        return tl::unexpected(document.error());
    }
    config::parse_context context{"manifest", std::nullopt};
    config::checked_object root(document->root(), "", context);
    manifest all;
    all.format = root.number("format", 1, max_number);
    all.version = root.number("version", 1, max_number);
    all.published = root.time("published");
    all.digest = read_digest(root);
    root.for_each_element("shards", [&all](config::checked_object& object) {
        all.shards.push_back(read_entry(object));
    });
    // A newer format may add keys, so unknown keys are an error in this build's format only. The
    // keys read above exist in every format.
    if (all.format == config::format_version) {
        root.reject_unread_keys();
    }
    check_entries(all, root);
    if (context.first_error) {
        return tl::unexpected(*context.first_error);
    }
    return all;
}

std::string write_manifest(const config::change_set& whole) {
    nlohmann::json root{{"format", whole.format},
                        {"version", whole.version},
                        {"published", config::format_time(whole.published)},
                        {"digest", whole.digest},
                        {"shards", nlohmann::json::array()}};
    for (const auto& it : whole.changed) {
        root["shards"].push_back(
            {{"name", it.name}, {"version", it.version}, {"digest", it.digest}});
    }
    return root.dump();
}

std::string shard_key(const config::shard_entry& entry) {
    return "shard/" + entry.name + "/" + entry.digest;
}

} // namespace wigeonrill::platform
