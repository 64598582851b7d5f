#ifndef WIGEONRILL_CONFIG_CHANGE_SET_H
#define WIGEONRILL_CONFIG_CHANGE_SET_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Version of the format that this build reads and writes.
inline constexpr std::uint64_t format_version = 1;

/// \brief One part of the configuration, stored as one value of the platform's service.
struct shard {
    std::string name;         ///< such as "rules", "service/stock", "routes/3-of-16"
    std::uint64_t version{0}; ///< configuration version in which its content last changed
    std::string digest;       ///< SHA-1 of the content, lower-case hexadecimal
    std::string content;      ///< JSON text, at most 1 MB

    friend bool operator==(const shard&, const shard&) = default;
};

/// \brief What a manifest says about a shard.
struct shard_entry {
    std::string name;
    std::uint64_t version{0};
    std::string digest;

    friend bool operator==(const shard_entry&, const shard_entry&) = default;
};

/// \brief Difference between two versions of the configuration; the unit of transfer.
struct change_set {
    std::uint64_t format{format_version};
    std::uint64_t base_version{0}; ///< version it applies to; 0: it holds every shard
    std::uint64_t version{0};      ///< version after it
    wall_time published{};
    std::string digest;         ///< SHA-1 over all "name version digest\n" lines, sorted by name
    std::vector<shard> changed; ///< sorted by name
    std::vector<std::string> removed;

    friend bool operator==(const change_set&, const change_set&) = default;
};

} // namespace wigeonrill::config

#endif
