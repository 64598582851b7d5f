#ifndef WIGEONRILL_CONFIG_CHECKED_OBJECT_H
#define WIGEONRILL_CONFIG_CHECKED_OBJECT_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief One JSON object with typed, checked access.
///
/// Each read names the key it expects; finish() then refuses every key that was not read. Faults
/// are recorded in the reading context with the key path. A read without a fallback value makes
/// the key mandatory.
class checked_object {
public:
    /// \param value JSON value that must be an object; must outlive this
    /// \param path key path of the value, empty for the root
    /// \param context receives faults; must outlive this
    checked_object(const nlohmann::json& value, std::string path, reading_context& context);

    /// \returns whether the key is there; the key counts as known from then on
    [[nodiscard]] bool has(std::string_view key);
    [[nodiscard]] std::string text(std::string_view key,
                                   const std::optional<std::string>& fallback = std::nullopt);
    [[nodiscard]] bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// \returns an integer in [least, most]
    [[nodiscard]] std::uint64_t number(std::string_view key, std::uint64_t least,
                                       std::uint64_t most,
                                       std::optional<std::uint64_t> fallback = std::nullopt);
    /// \returns a number in [0, most] that may have a fraction
    [[nodiscard]] double fraction(std::string_view key, double most, double fallback);
    /// \returns a duration in [least, most], written with its unit
    [[nodiscard]] milliseconds duration(std::string_view key, milliseconds least, milliseconds most,
                                        std::optional<milliseconds> fallback = std::nullopt);
    /// \returns a number of bytes up to most, written as an integer or with its unit
    [[nodiscard]] std::uint64_t size(std::string_view key, std::uint64_t most,
                                     std::optional<std::uint64_t> fallback = std::nullopt);
    /// \returns a time written as RFC 3339
    [[nodiscard]] wall_time time(std::string_view key);
    /// \returns a numeric address with its port
    [[nodiscard]] endpoint address(std::string_view key);
    /// \returns a list of numeric addresses with their ports
    [[nodiscard]] std::vector<endpoint> addresses(std::string_view key);
    /// \returns a list of texts
    [[nodiscard]] std::vector<std::string> texts(std::string_view key, bool mandatory = true);
    /// \returns a name: 1 to 64 letters, digits, '.', '_' or '-'
    [[nodiscard]] std::string name(std::string_view key);
    /// \returns the value of an enumeration by its name
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
    /// \returns the object under the key; an empty one when it is absent and not mandatory
    [[nodiscard]] checked_object object(std::string_view key, bool mandatory = false);

    using visitor = std::function<void(const std::string& name, checked_object& member)>;
    /// \brief Visits this object's members, which are objects under free names.
    void each_member(const visitor& visit);
    /// \brief Visits the elements of a list of objects; an absent list is empty.
    void each_element(std::string_view key, const std::function<void(checked_object&)>& visit);

    /// \brief Refuses the first key that no read asked for.
    void finish();
    /// \brief Records a fault at a key of this object; an empty key means the object itself.
    void fail(std::string_view key, const std::string& what, std::string remedy);
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    [[nodiscard]] const nlohmann::json* find(std::string_view key, bool mandatory);
    [[nodiscard]] endpoint to_endpoint(std::string_view key, const std::string& written);
    [[nodiscard]] std::string path_of(std::string_view key) const;
    void wrong_type(std::string_view key, std::string_view expected);
    void visit_member(const std::string& name, const nlohmann::json& value, std::string path,
                      const visitor& visit);

    const nlohmann::json* value_;
    std::string path_;
    std::string pattern_; ///< path with "*" for free names; set only while keys are collected
    reading_context* context_;
    std::vector<std::string_view> read_;
    bool free_names_{false}; ///< each_member() visited every key
};

} // namespace wigeonrill::config

#endif
