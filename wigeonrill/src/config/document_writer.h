#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead."
#endif

#ifndef WIGEONRILL_CONFIG_DOCUMENT_WRITER_H
#define WIGEONRILL_CONFIG_DOCUMENT_WRITER_H

namespace wigeonrill::config {

/// \brief Writes a snapshot as a JSON document that parse_document() accepts.
///
/// The lists of key owners, workspaces and VMs are omitted when they are empty.
/// \returns the document; equal snapshots produce equal text
[[nodiscard]] std::string write_document(const snapshot& configuration);

} // namespace wigeonrill::config

#endif
