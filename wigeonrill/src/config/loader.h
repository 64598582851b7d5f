#ifndef WIGEONRILL_CONFIG_LOADER_H
#define WIGEONRILL_CONFIG_LOADER_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Reads a configuration from one JSON document and validates it.
/// \param text the document; see docs/reference/configuration.md
/// \param source_name origin of the text, for messages
/// \param known_keys receives the keys that the parser knows, as "services.*.weight"; null: none
/// \returns the snapshot, or the first fault with its line or key path
/// \sa validate
[[nodiscard]] result<snapshot> parse_document(std::string_view text, const std::string& source_name,
                                              std::set<std::string>* known_keys = nullptr);

/// \brief Reads a configuration from a file.
/// \sa parse_document
[[nodiscard]] result<snapshot> load_file(const std::string& path);

} // namespace wigeonrill::config

#endif
