#ifndef WIGEONRILL_CONFIG_CHANGE_SET_H
#define WIGEONRILL_CONFIG_CHANGE_SET_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Version of the configuration format that this build reads and writes.
inline constexpr std::uint64_t format_version = 1;

/// \brief Registration of one target of a shard.
struct registered_target {
    target_id target;
    registration registered;

    friend bool operator==(const registered_target&, const registered_target&) = default;
};

/// \brief One part of the configuration, stored under one key in the platform's store.
struct shard {
    std::string name;         ///< such as "rules", "service/stock", "routes/3-of-16"
    std::uint64_t version{0}; ///< configuration version in which the content last changed
    std::string digest;       ///< SHA-1 of the content, lower-case hexadecimal
    std::string content;      ///< JSON text, at most 1 MB
    /// Registrations of its targets as far as they are known, sorted by target. The content and the
    /// digest don't include them, because earlier builds reject keys that they don't know.
    std::vector<registered_target> registrations;

    friend bool operator==(const shard&, const shard&) = default;
};

/// \brief Entry of a manifest: identifies a shard without its content.
struct shard_entry {
    std::string name;
    std::uint64_t version{0};
    std::string digest;

    friend bool operator==(const shard_entry&, const shard_entry&) = default;
};

/// \brief Identifies the content of a shard, in a request for changes.
struct shard_mark {
    std::string name;
    std::uint64_t content{0}; ///< hash of the content and the registrations

    friend bool operator==(const shard_mark&, const shard_mark&) = default;
};

/// \brief What the receiver of a change set has.
struct change_base {
    std::uint64_t version{0}; ///< version in force; 0: all shards are asked for
    /// All its shards, sorted by name. Empty: they are not known, and the version stands for them.
    std::vector<shard_mark> shards{};

    friend bool operator==(const change_base&, const change_base&) = default;
};

/// \brief Difference between two versions of the configuration, as sent from node to node.
struct change_set {
    std::uint64_t format{format_version};
    std::uint64_t base_version{0}; ///< version that it applies to; 0: it holds every shard
    std::uint64_t version{0};      ///< version that results when it is applied
    wall_time published{};         ///< when the version was published
    /// Number that the operator gave the rules in it; a later version may hold older rules when its
    /// source has lost the newer ones. 0: the operator gives rules no numbers of their own.
    std::uint64_t rules_version{0};
    /// SHA-1 over the "name version digest\n" lines of all shards, sorted by name.
    std::string digest;
    /// Digest of the names, contents and registrations of all shards, without their versions, which
    /// depend on the versions that the sender has read; see content_digest_of(). Empty: the
    /// sender's build doesn't know it.
    std::string content_digest;
    std::vector<shard> changed;       ///< shards that are new or differ, sorted by name
    std::vector<std::string> removed; ///< names of shards that no longer exist

    friend bool operator==(const change_set&, const change_set&) = default;
};

} // namespace wigeonrill::config

#endif
