#ifndef WIGEONRILL_PLATFORM_VALUE_SOURCE_H
#define WIGEONRILL_PLATFORM_VALUE_SOURCE_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Size limit of a value in the configuration service, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// \brief A value stored in the platform's configuration service.
struct stored_value {
    std::string content;
    std::uint64_t index{0}; ///< increases with each change of the value, never 0 when stored
};

/// \brief Read access to the platform's configuration service, a key-value store.
class value_source {
public:
    value_source() = default;
    value_source(const value_source&) = delete;
    value_source& operator=(const value_source&) = delete;
    virtual ~value_source() = default;

    /// \returns the value, or the error not_found, unavailable, timed_out or invalid_input
    [[nodiscard]] virtual result<stored_value> get(const std::string& key) = 0;

    /// \brief Waits until the index of a value differs from a known one.
    /// \param after known index, 0 if none
    /// \param wait longest time to wait
    /// \returns the value, nothing if it did not change in time, or an error as from get()
    [[nodiscard]] virtual result<std::optional<stored_value>>
    watch(const std::string& key, std::uint64_t after, milliseconds wait) = 0;

    /// \brief Ends a call in progress and makes later calls fail. Thread-safe.
    virtual void interrupt() = 0;
};

} // namespace wigeonrill::platform

#endif
