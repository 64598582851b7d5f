#ifndef WIGEONRILL_CONFIG_PARSE_CONTEXT_H
#define WIGEONRILL_CONFIG_PARSE_CONTEXT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief State shared by all checked objects of one document: its origin and the first error.
///
/// After an error, reads continue and return default values, so that parsers need no error check
/// per key. The result of a parser may be used only if no error was recorded.
struct parse_context {
    std::string source;               ///< file name or other origin of the document, for messages
    std::optional<error> first_error; ///< first error found; empty if there was none
    /// If not null, receives the path of every key that the parser reads, as "services.*.weight".
    std::set<std::string>* known_keys{nullptr};
    /// Documentation page of this kind of document, named in the remedies of errors.
    std::string reference{"docs/reference/configuration.md"};
    name_rule names{name_rule::own}; ///< rule for names, hosts and path prefixes

    /// \brief Records an error, unless one was recorded before.
    /// \param path key path, such as "routes.charge.limits.total"
    /// \param problem what is wrong with the value
    /// \param remedy what the author of the document should do
    void fail(const std::string& path, const std::string& problem, std::string remedy);
};

} // namespace wigeonrill::config

#endif
