#ifndef WIGEONRILL_BASE_ENUM_NAMES_H
#define WIGEONRILL_BASE_ENUM_NAMES_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Table from the values of an enumeration to their names.
template <typename Enum, std::size_t Size>
using enum_name_table = std::array<std::pair<Enum, std::string_view>, Size>;

/// \brief Looks up the name of an enumeration value.
/// \returns the name, or "?" for a value that isn't in the table
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view enum_name(const enum_name_table<Enum, Size>& table,
                                                   Enum value) {
    for (const auto& [it, name] : table) {
        if (it == value) {
            return name;
        }
    }
    return "?";
}

/// \brief Looks up the enumeration value of a name.
/// \returns a pointer into the table, or null if the name isn't in the table
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr const Enum* enum_value(const enum_name_table<Enum, Size>& table,
                                               std::string_view name) {
    for (const auto& [it, candidate] : table) {
        if (candidate == name) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace wigeonrill

#endif
