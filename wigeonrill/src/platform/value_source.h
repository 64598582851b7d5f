#ifndef WIGEONRILL_PLATFORM_VALUE_SOURCE_H
#define WIGEONRILL_PLATFORM_VALUE_SOURCE_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Largest value that the platform stores, in bytes.
inline constexpr std::size_t largest_value = 1'000'000;

/// \brief One value of the platform's configuration service.
struct stored_value {
    std::string content;
    std::uint64_t index{0}; ///< grows with each change of the value
};

/// \brief Read access to the platform's configuration service.
class value_source {
public:
    value_source() = default;
    value_source(const value_source&) = delete;
    value_source& operator=(const value_source&) = delete;
    virtual ~value_source() = default;

    /// \returns the value, or not_found, unavailable, timed_out or invalid_input
    [[nodiscard]] virtual result<stored_value> get(const std::string& key) = 0;

    /// \brief Waits for a value whose index differs from one that was seen.
    /// \param after index that was seen, 0: none
    /// \param wait longest time to wait
    /// \returns the value, nothing when it did not change in time, or an error
    [[nodiscard]] virtual result<std::optional<stored_value>>
    watch(const std::string& key, std::uint64_t after, milliseconds wait) = 0;

    /// \brief Ends a call in progress and refuses later ones. Safe from another thread.
    virtual void interrupt() = 0;
};

} // namespace wigeonrill::platform

#endif
