#ifndef WIGEONRILL_CONFIG_JSON_DOCUMENT_H
#define WIGEONRILL_CONFIG_JSON_DOCUMENT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Parsed JSON text with comments; refuses duplicate keys and deep nesting.
class json_document {
public:
    /// \param text JSON with // and /* */ comments
    /// \param source origin of the text, for messages
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

/// \brief Reads a whole file.
/// \param most largest accepted size in bytes
[[nodiscard]] result<std::string> read_file(const std::string& path, std::uint64_t most);

} // namespace wigeonrill::config

#endif
