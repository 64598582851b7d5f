#ifndef WIGEONRILL_PLATFORM_MANIFEST_H
#define WIGEONRILL_PLATFORM_MANIFEST_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Key under which the configuration service stores the manifest.
inline constexpr const char* manifest_key = "manifest";

/// \brief List of the shards that make up one version of the configuration.
struct manifest {
    std::uint64_t format{0};  ///< version of the document format
    std::uint64_t version{0}; ///< version of the configuration
    wall_time published{};    ///< time of publication
    std::string digest;       ///< digest of the whole configuration, see config::change_set
    std::vector<config::shard_entry> shards; ///< sorted by name
};

/// \brief Parses a manifest and checks its shard names, digests and order.
/// \param text JSON text, the value of manifest_key
[[nodiscard]] result<manifest> parse_manifest(std::string_view text);

/// \brief Writes the manifest of a configuration.
/// \param whole change set that contains every shard
/// \returns JSON text
[[nodiscard]] std::string write_manifest(const config::change_set& whole);

/// \returns the key under which a shard's content is stored: "shard/<name>/<digest>"
[[nodiscard]] std::string shard_key(const config::shard_entry& entry);

} // namespace wigeonrill::platform

#endif
