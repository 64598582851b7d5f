#ifndef BENCH_CONFIG_APPLY_GENERATED_DOCUMENT_H
#define BENCH_CONFIG_APPLY_GENERATED_DOCUMENT_H

#include "wigeonrill/config.h"

namespace config_apply {

/// \brief Numbers of records in a generated document.
struct document_size {
    std::size_t routes{100};
    std::size_t workspaces{100};
    std::size_t targets{100};
};

/// \brief Section of the document in which version 2 has one changed record.
enum class changed_record : std::uint8_t { route, workspace, target };

/// \returns the number of services for a number of targets, in the ratio of the target size: 770
///          services for 42,000 targets
[[nodiscard]] std::size_t services_for(std::size_t targets);

/// \brief Writes a valid configuration document; version 2 differs from version 1 in one record.
/// \param version 1 or 2
/// \param changed section of the record that differs
/// \returns the document as JSON
[[nodiscard]] std::string write_document(const document_size& size, int version,
                                         changed_record changed);

} // namespace config_apply

#endif
