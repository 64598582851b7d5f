#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead."
#endif

#ifndef WIGEONRILL_CONFIG_DOCUMENT_WRITER_H
#define WIGEONRILL_CONFIG_DOCUMENT_WRITER_H

namespace wigeonrill::config {

/// \brief Writes a snapshot as the JSON document that parse_document() reads.
///
/// Key owners and workspaces are left out when there are none.
/// \returns the document; equal snapshots give equal text
[[nodiscard]] std::string write_document(const snapshot& configuration);

} // namespace wigeonrill::config

#endif
