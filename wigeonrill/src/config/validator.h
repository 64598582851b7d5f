#ifndef WIGEONRILL_CONFIG_VALIDATOR_H
#define WIGEONRILL_CONFIG_VALIDATOR_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Parts of a snapshot, as bits, that a check is to look at.
enum class section : std::uint8_t {
    rules = 1,
    services = 2,
    routes = 4,
    workspaces = 8,
    vms = 16,
    all = 31
};

/// \brief Checks what no single record shows: references, duplicates, floors and owner sets.
///
/// Pure, and depends on the snapshot alone, so that every node comes to the same verdict.
/// \param changed sections that differ from a snapshot that passed; a check is left out when
///                none of the sections it reads differ
/// \returns nothing, or the first fault with its key path
[[nodiscard]] result<void> validate(const snapshot& configuration, section changed = section::all);

} // namespace wigeonrill::config

#endif
