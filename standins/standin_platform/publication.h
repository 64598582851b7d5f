#ifndef STANDINS_STANDIN_PLATFORM_PUBLICATION_H
#define STANDINS_STANDIN_PLATFORM_PUBLICATION_H

#include "wigeonrill/platform.h"

#include <condition_variable>
#include <mutex>

namespace standin_platform {

/// \brief Kind of value that the stand-in corrupts before it serves it.
enum class invalid_value : std::uint8_t {
    none,     ///< all values are correct
    manifest, ///< the manifest is cut off after half of its length
    shard     ///< a space is appended to each shard, so that its digest is wrong
};

/// \brief Names of the kinds of invalid values in control requests.
inline constexpr wigeonrill::enum_name_table<invalid_value, 3> invalid_value_names{{
    {invalid_value::none, "none"},
    {invalid_value::manifest, "manifest"},
    {invalid_value::shard, "shard"},
}};

/// \brief Simulated faults; each member is set by the control request's key of the same name.
struct faults {
    bool down{false};         ///< answer every call with 503; set by the key "state"
    std::uint64_t version{0}; ///< version to serve in place of the newest; 0: the newest
    invalid_value invalid{invalid_value::none};
    wigeonrill::milliseconds lag{0}; ///< delay before each answer
    std::vector<std::string> cut;    ///< prefixes of the shard names answered with 404
};

/// \brief Numbers of calls since the start or the last reset.
///
/// A watch counts as one call, however long it waits.
struct call_counts {
    std::uint64_t get{0};     ///< calls that read a value
    std::uint64_t watch{0};   ///< calls that wait for a change of a value
    std::uint64_t refused{0}; ///< calls of both kinds that got an error
    std::uint64_t waiting{0}; ///< watches that are waiting now; not reset
};

/// \brief Published versions of a configuration document, as values that clients read.
///
/// Also holds the simulated faults and the counts of calls. Thread-safe.
class publication {
public:
    /// Value, or an empty optional when a watch ended without a change, or an error.
    using value = wigeonrill::result<std::optional<wigeonrill::platform::stored_value>>;

    /// \param path file that holds the configuration document; reload() reads it
    explicit publication(std::string path) : path_(std::move(path)) {}

    /// \brief Reads the file and publishes its content when its digest or version number changed.
    /// \returns an error when the file can't be read or published; the newest version then stays
    wigeonrill::result<void> reload();
    /// \brief Applies a control request, which docs/reference/platform.md describes.
    /// \param text the request's body, a JSON object
    wigeonrill::result<void> control(const std::string& text);

    /// \returns the value now stored under the key, after the simulated delay
    [[nodiscard]] value get(const std::string& key);
    /// \brief Waits until the index differs from one that the client knows.
    /// \param after index of the value that the client has
    /// \param wait longest time to wait for a change
    [[nodiscard]] value watch(const std::string& key, std::uint64_t after,
                              wigeonrill::milliseconds wait);
    /// \returns the counts of calls and the index as a JSON object
    [[nodiscard]] std::string counts() const;
    /// \brief Ends all waiting watches and delays, and those that begin later.
    void stop();

private:
    /// \brief Looks up a key and applies the faults that change values.
    [[nodiscard]] value find(const std::string& key);
    /// \returns the manifest of the version that is served
    [[nodiscard]] std::string manifest() const;
    /// \returns whether the fault "cut" hides the key
    [[nodiscard]] bool is_cut(const std::string& key) const;
    /// \brief Waits for the simulated delay, or until stop().
    void wait_for_lag(std::unique_lock<std::mutex>& lock);
    /// \brief Replaces the faults and wakes waiting watches.
    void set_faults(faults next);

    std::string path_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<wigeonrill::config::change_set> versions_; ///< latest versions, oldest first
    std::map<std::string, std::string> shards_; ///< content by key, of all versions ever published
    std::uint64_t index_{0}; ///< index of all values; increases when any of them changes
    faults faults_;
    call_counts counts_;
    bool stopping_{false};
};

} // namespace standin_platform

#endif
