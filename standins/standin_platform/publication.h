#ifndef STANDINS_STANDIN_PLATFORM_PUBLICATION_H
#define STANDINS_STANDIN_PLATFORM_PUBLICATION_H

#include "wigeonrill/platform.h"

#include <condition_variable>
#include <mutex>

namespace standin_platform {

/// \brief What is served in place of a correct value.
enum class invalid_value : std::uint8_t { none, manifest, shard };

/// \brief Names of the invalid values in control requests.
inline constexpr wigeonrill::enum_name_table<invalid_value, 3> invalid_value_names{{
    {invalid_value::none, "none"},
    {invalid_value::manifest, "manifest"},
    {invalid_value::shard, "shard"},
}};

/// \brief Faults that a control request sets.
struct faults {
    bool down{false};         ///< every call is answered with 503
    std::uint64_t version{0}; ///< serve this older version, 0: the newest
    invalid_value invalid{invalid_value::none};
    wigeonrill::milliseconds lag{0}; ///< delay of every answer
    std::vector<std::string> cut;    ///< prefixes of shard names that are not found
};

/// \brief Calls since the start or the last reset; a waiting watch is one call.
struct call_counts {
    std::uint64_t get{0};
    std::uint64_t watch{0};
    std::uint64_t refused{0}; ///< calls of both kinds answered with an error
    std::uint64_t waiting{0}; ///< watches that wait now
};

/// \brief Values that the stand-in serves, with its faults and counts. Thread-safe.
class publication {
public:
    using value = wigeonrill::result<std::optional<wigeonrill::platform::stored_value>>;

    explicit publication(std::string path) : path_(std::move(path)) {}

    /// \brief Publishes the file's present content when it differs from the newest version.
    wigeonrill::result<void> reload();
    /// \brief Applies a control request; see docs/reference/platform.md.
    wigeonrill::result<void> control(const std::string& text);

    [[nodiscard]] value get(const std::string& key);
    [[nodiscard]] value watch(const std::string& key, std::uint64_t after,
                              wigeonrill::milliseconds wait);
    /// \returns the counts as JSON text
    [[nodiscard]] std::string counts() const;
    /// \brief Ends all waiting watches.
    void stop();

private:
    [[nodiscard]] value find(const std::string& key);
    [[nodiscard]] std::string manifest() const;
    [[nodiscard]] bool is_cut(const std::string& key) const;
    void delay(std::unique_lock<std::mutex>& lock);
    void set(faults next);

    std::string path_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<wigeonrill::config::change_set> versions_; ///< oldest first
    std::map<std::string, std::string> shards_;            ///< by key
    std::uint64_t index_{0};
    faults faults_;
    call_counts counts_;
    bool stopping_{false};
};

} // namespace standin_platform

#endif
