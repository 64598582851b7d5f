#ifndef WIGEONRILL_CONFIG_ASSEMBLY_H
#define WIGEONRILL_CONFIG_ASSEMBLY_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

// Records of one or more shards, each list sorted like the snapshot's.

/// \brief Records that shards hold.
struct shard_records {
    unsigned sections{0}; ///< bits of the sections that any of the shards belongs to
    std::optional<snapshot> rules;
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<workspace> workspaces;
    std::vector<vm_record> vms;
};

/// \brief Parses a shard's content and adds its records.
[[nodiscard]] result<void> read_shard(const shard& from, shard_records& into);

/// \brief Sorts the lists, after the last shard was read.
void sort_records(shard_records& records);

/// \brief Builds the next snapshot from the one in force.
/// \param base snapshot in force, or an empty one
/// \param dropped records of the shards that were replaced or removed
/// \param added records of the new shards
[[nodiscard]] snapshot merge_records(const snapshot& base, const shard_records& dropped,
                                     shard_records&& added);

} // namespace wigeonrill::config

#endif
