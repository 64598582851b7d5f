#ifndef WIGEONRILL_CONFIG_LOADER_H
#define WIGEONRILL_CONFIG_LOADER_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Parses a configuration from one JSON document and validates it.
/// \param text the document; docs/reference/configuration.md describes its format
/// \param source_name file name or other origin of the text, shown in error messages
/// \param known_keys if not null, receives the path of every key that the parser reads, such as
///                   "services.*.weight"
/// \returns the snapshot, or the first error with its line number or key path
/// \sa validate
[[nodiscard]] result<snapshot> parse_document(std::string_view text, const std::string& source_name,
                                              std::set<std::string>* known_keys = nullptr);

/// \brief Parses and validates the configuration in a file.
/// \sa parse_document
[[nodiscard]] result<snapshot> load_file(const std::string& path);

} // namespace wigeonrill::config

#endif
