#ifndef WIGEONRILL_CONFIG_ASSEMBLY_H
#define WIGEONRILL_CONFIG_ASSEMBLY_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

// Functions that build a snapshot from the records in shards.

/// \brief Records parsed from one or more shards.
struct shard_records {
    unsigned sections{0}; ///< sections of the shards that were read, as bits of `section`
    std::optional<snapshot> rules;
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<workspace> workspaces;
    std::vector<vm_record> vms;
};

/// \brief Parses the content of a shard and appends its records.
/// \param names rule for the names in it
[[nodiscard]] result<void> read_shard(const shard& from, name_rule names, shard_records& into);

/// \brief Sorts each list in the order of the snapshot. Call it after the last read_shard().
void sort_records(shard_records& records);

/// \brief Builds the next snapshot from the one in force and the shards that changed.
/// \param base snapshot in force, or an empty one
/// \param dropped sorted records of the shards that were replaced or removed
/// \param added sorted records of the new shards
/// \returns base without the dropped records and with the added ones; version and
///          published are not set
[[nodiscard]] snapshot merge_records(const snapshot& base, const shard_records& dropped,
                                     shard_records&& added);

} // namespace wigeonrill::config

#endif
