#ifndef WIGEONRILL_CONFIG_CHECKED_OBJECT_H
#define WIGEONRILL_CONFIG_CHECKED_OBJECT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief Typed and checked access to the members of one JSON object.
///
/// Parsers read each key that they know and then call reject_unread_keys(), which reports any other
/// key as an error. Errors are recorded in the parse context with the key path; the read then
/// returns a default value. A key that is read without a fallback value is mandatory.
class checked_object {
public:
    /// \param value JSON value, which should be an object (an error is recorded if it is not); must
    ///              outlive this object
    /// \param path key path of the value, for error messages; empty for the root
    /// \param context receives the errors; must outlive this object
    checked_object(const nlohmann::json& value, std::string path, parse_context& context);

    /// \returns whether the key is present; reject_unread_keys() accepts the key from then on
    [[nodiscard]] bool has(std::string_view key);
    /// \returns a string
    [[nodiscard]] std::string text(std::string_view key,
                                   const std::optional<std::string>& fallback = std::nullopt);
    /// \returns a boolean
    [[nodiscard]] bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// \returns an integer in [minimum, maximum]
    [[nodiscard]] std::uint64_t number(std::string_view key, std::uint64_t minimum,
                                       std::uint64_t maximum,
                                       std::optional<std::uint64_t> fallback = std::nullopt);
    /// \returns a number in [0, maximum], which may have decimals
    [[nodiscard]] double fraction(std::string_view key, double maximum, double fallback);
    /// \returns a duration in [minimum, maximum], written as a string with a unit
    [[nodiscard]] milliseconds duration(std::string_view key, milliseconds minimum,
                                        milliseconds maximum,
                                        std::optional<milliseconds> fallback = std::nullopt);
    /// \returns a number of bytes in [0, maximum], written as an integer or as a string with a unit
    [[nodiscard]] std::uint64_t size(std::string_view key, std::uint64_t maximum,
                                     std::optional<std::uint64_t> fallback = std::nullopt);
    /// \returns a time, written in the format of RFC 3339
    [[nodiscard]] wall_time time(std::string_view key);
    /// \returns a numeric IP address with a port
    [[nodiscard]] endpoint address(std::string_view key);
    /// \returns a list of numeric IP addresses with ports
    [[nodiscard]] std::vector<endpoint> addresses(std::string_view key);
    /// \returns a list of strings
    [[nodiscard]] std::vector<std::string> texts(std::string_view key, bool mandatory = true);
    /// \returns a name, see parse_context::names
    [[nodiscard]] std::string name(std::string_view key);
    /// \returns the enumerator that has the written name in the table
    template <typename Enum, std::size_t Size>
    [[nodiscard]] Enum choice(std::string_view key, const enum_name_table<Enum, Size>& table,
                              std::optional<Enum> fallback = std::nullopt) {
        const auto written = has(key) || !fallback ? text(key) : std::string{};
        if (written.empty() && fallback) {
            return *fallback;
        }
        if (const auto* found = enum_value(table, written)) {
            return *found;
        }
        std::string names;
        for (const auto& entry : table) {
            names += (names.empty() ? "\"" : ", \"") + std::string(entry.second) + "\"";
        }
        fail(key, "\"" + written + "\" is not a known value", "use one of " + names);
        return table.front().first;
    }
    /// \returns the object under the key, or an empty object if the key is absent; if the key is
    ///          mandatory, its absence is an error
    [[nodiscard]] checked_object object(std::string_view key, bool mandatory = false);

    using visitor = std::function<void(const std::string& name, checked_object& member)>;
    /// \brief Calls visit for each member of this object. All members must be objects, and their
    /// keys are names chosen by the author of the document.
    void for_each_member(const visitor& visit);
    /// \brief Calls visit for each element of the list of objects under the key. An absent list
    /// counts as empty.
    void for_each_element(std::string_view key, const std::function<void(checked_object&)>& visit);

    /// \brief Records an error for the first key that was not read.
    void reject_unread_keys();
    /// \brief Records an error at a key of this object, or at the object itself if the key is
    /// empty.
    void fail(std::string_view key, const std::string& problem, std::string remedy);
    /// \returns the rule for names in the document
    [[nodiscard]] name_rule names() const { return context_->names; }
    /// \returns the key path of this object, empty for the root
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view key, bool mandatory);
    [[nodiscard]] endpoint parse_address(std::string_view key, const std::string& written);
    [[nodiscard]] std::string key_path(std::string_view key) const;
    void fail_wrong_type(std::string_view key, std::string_view expected);
    void visit_member(const std::string& name, const nlohmann::json& value, std::string path,
                      const visitor& visit);

    const nlohmann::json* value_;
    std::string path_;
    /// The path with "*" in place of names chosen by the author; set only while keys are collected.
    std::string key_pattern_;
    parse_context* context_;
    std::vector<std::string_view> read_keys_; ///< keys asked for so far, whether present or not
    bool all_members_visited_{false}; ///< for_each_member() was called, so that no key is unknown
};

} // namespace wigeonrill::config

#endif
