#ifndef WIGEONRILL_PLATFORM_MANIFEST_H
#define WIGEONRILL_PLATFORM_MANIFEST_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Key of the manifest in the configuration service.
inline constexpr const char* manifest_key = "manifest";

/// \brief List of the shards of one configuration version.
struct manifest {
    std::uint64_t format{0};
    std::uint64_t version{0};
    wall_time published{};
    std::string digest; ///< see config::change_set
    std::vector<config::shard_entry> shards;
};

/// \brief Parses the value of the key "manifest" and checks its names, digests and order.
[[nodiscard]] result<manifest> parse_manifest(std::string_view text);

/// \returns the manifest of a change set that holds every shard, as JSON text
[[nodiscard]] std::string write_manifest(const config::change_set& whole);

/// \returns the key of a shard's value: "shard/<name>/<digest>"
[[nodiscard]] std::string shard_key(const config::shard_entry& entry);

} // namespace wigeonrill::platform

#endif
