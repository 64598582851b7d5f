#ifndef WIGEONRILL_CONFIG_JSON_DOCUMENT_H
#define WIGEONRILL_CONFIG_JSON_DOCUMENT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief A parsed JSON document. Comments are allowed; duplicate keys and deep nesting are not.
class json_document {
public:
    /// \brief Parses a text.
    /// \param text JSON, in which // and /* */ comments are allowed
    /// \param source file name or other origin of the text, shown in error messages
    /// \returns the document, or an invalid_input error that names the line or the key
    [[nodiscard]] static result<json_document> parse(std::string_view text,
                                                     const std::string& source);
    /// \brief Reads and parses a file of at most 256 MB.
    [[nodiscard]] static result<json_document> load(const std::string& path);

    json_document(json_document&& other) noexcept;
    json_document& operator=(json_document&& other) noexcept;
    json_document(const json_document&) = delete;
    json_document& operator=(const json_document&) = delete;
    ~json_document();

    [[nodiscard]] const nlohmann::json& root() const { return *root_; }

private:
    explicit json_document(std::unique_ptr<nlohmann::json> root);

    std::unique_ptr<nlohmann::json> root_;
};

/// \brief Reads a whole file into memory.
/// \param max_bytes size limit; a larger file is an error
[[nodiscard]] result<std::string> read_file(const std::string& path, std::uint64_t max_bytes);

} // namespace wigeonrill::config

#endif
