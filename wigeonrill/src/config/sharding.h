#ifndef WIGEONRILL_CONFIG_SHARDING_H
#define WIGEONRILL_CONFIG_SHARDING_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Largest content of a shard in bytes, which is the platform's limit for one value.
inline constexpr std::size_t max_shard_bytes = 1'000'000;

/// \returns the SHA-1 of a text, in lower-case hexadecimal
[[nodiscard]] std::string digest_of(std::string_view text);

/// \returns the digest of a version: SHA-1 over its "name version digest\n" lines
/// \param shards all shards of the version, sorted by name
[[nodiscard]] std::string digest_of(const std::vector<shard>& shards);

/// \returns the digest of the content of a version: SHA-1 over its "name digest registrations\n"
///          lines, where registrations is empty or the SHA-1 over "target started_ms created\n"
///          lines. It is equal on all nodes that have the same content, whichever versions they
///          have read before.
/// \param shards all shards of the version, sorted by name
[[nodiscard]] std::string content_digest_of(const std::vector<shard>& shards);

/// \brief Splits a document into shards, as the publisher of the configuration does.
///
/// There is one shard "rules" and one shard "service/<name>" per service. Routes, workspaces and
/// VMs are distributed by the hash of their name or address over shards such as "routes/3-of-16",
/// so that a change of one record changes one shard. Their number depends on the size of the list
/// only, so that their mean size is at most 16 KiB. Only the structure of the document is checked,
/// not the rules of validate().
/// \param source file name or other origin of the text, shown in error messages
/// \param previous the version published before; a shard whose content did not change keeps the
///                 version that it has there. Null if there is none.
/// \returns a change set from version 0 that holds every shard
[[nodiscard]] result<change_set> split_document(std::string_view text, const std::string& source,
                                                const change_set* previous = nullptr);

/// \brief Splits a configuration into shards, with the registrations of its targets.
/// \copydetails split_document
[[nodiscard]] result<change_set> split_snapshot(const snapshot& configuration,
                                                const std::string& source,
                                                const change_set* previous = nullptr);

} // namespace wigeonrill::config

#endif
