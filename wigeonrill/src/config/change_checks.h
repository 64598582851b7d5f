#ifndef WIGEONRILL_CONFIG_CHANGE_CHECKS_H
#define WIGEONRILL_CONFIG_CHANGE_CHECKS_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

// Checks of change sets before configuration_store applies them.

/// \brief What the content digest covers of one shard.
struct shard_identity {
    std::string_view name;
    std::string_view digest;   ///< of the content
    std::string registrations; ///< see digest_of_registrations()
};

/// \returns the digest of a shard's registrations that are sent to other nodes; empty if there are
///          none
[[nodiscard]] std::string digest_of_registrations(const shard& from);

/// \sa content_digest_of(const std::vector<shard>&)
[[nodiscard]] std::string content_digest_of(const std::vector<shard_identity>& shards);

/// \brief Digests of all shards as they are after a change set.
struct shard_digests {
    std::string labelled; ///< with the versions of the shards, see change_set::digest
    std::string content;  ///< see change_set::content_digest
    bool has_rules{false};

    /// \brief Returns whether the change set leads to this content.
    ///
    /// Nodes that have read different versions give the shards of one content different versions.
    /// The change sets of builds that know no content digest are compared including these.
    [[nodiscard]] bool match(const change_set& changes) const;
};

/// \brief Checks size, order, version and digest of each shard, but does not parse its content.
/// \returns the first problem; empty if there is none
[[nodiscard]] std::optional<error> check_shards(const change_set& changes);

/// \brief Compares the digests of a change set with those of all shards as they are after it.
/// \returns the problem; empty if there is none
[[nodiscard]] std::optional<error> check_digests(const change_set& changes,
                                                 const shard_digests& next);

/// \brief Returns whether a shard of the change set leads to other records than the stored one.
///
/// A build that knows no registrations sends none, and no content digest. The registrations of the
/// same content stay then.
[[nodiscard]] bool has_other_records(const change_set& changes, const shard& changed,
                                     const shard& stored);

} // namespace wigeonrill::config

#endif
