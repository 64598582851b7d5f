#ifndef WIGEONRILL_CONFIG_VALIDATOR_H
#define WIGEONRILL_CONFIG_VALIDATOR_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Sections of a snapshot, as bits that can be combined.
enum class section : std::uint8_t {
    rules = 1,
    services = 2,
    routes = 4,
    workspaces = 8,
    vms = 16,
    all = 31
};

/// \brief Checks the rules that involve several records: references, duplicates, floors and key
/// owner sets.
///
/// The result depends on the snapshot alone, so that every node comes to the same result.
/// \param changed sections that differ from a snapshot that was valid; a check is skipped if none
///                of the sections that it reads differ
/// \returns nothing, or the first error with its key path
[[nodiscard]] result<void> validate(const snapshot& configuration, section changed = section::all);

/// \returns an error if two workspaces hold the same API key, or one holds it twice
[[nodiscard]] std::optional<error> find_shared_key(const shared_list<workspace>& workspaces);

} // namespace wigeonrill::config

#endif
