#ifndef WIGEONRILL_CONFIG_READING_CONTEXT_H
#define WIGEONRILL_CONFIG_READING_CONTEXT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief What the checked objects of one document share: its name and the first fault found.
///
/// Reading goes on after a fault with default values, so that parsers need no branch per key. The
/// result of a parser is valid only when failure is empty.
struct reading_context {
    std::string source;           ///< file name or other origin, for messages
    std::optional<error> failure; ///< first fault
    /// Receives every key that the parser asks for, as "services.*.weight"; null: not collected.
    std::set<std::string>* known_keys{nullptr};
    /// Page that describes the document, for remedies.
    std::string reference{"docs/reference/configuration.md"};

    /// \brief Records a fault unless one was found before.
    /// \param path key path, such as "routes.charge.limits.total"
    void fail(const std::string& path, const std::string& what, std::string remedy);
};

} // namespace wigeonrill::config

#endif
