#ifndef WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_BEHAVIOUR_H
#define WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_BEHAVIOUR_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace wigeonrill::standins {

/// \brief How the target answers. Every member can be changed through POST /standin/control.
struct target_settings {
    double latency_ms{0};        ///< median time in service
    double spread{0};            ///< standard deviation of the natural logarithm of the latency
    std::uint32_t slots{0};      ///< requests in service at once; 0: unlimited
    std::uint64_t body_bytes{2}; ///< size of the answers' bodies
    double error_rate{0};        ///< share of requests that are answered with 500
    bool hang{false};            ///< requests get no answer until it is turned off
    bool drain{false};           ///< answers carry Target-Draining: 1
    bool truncate{false};        ///< answers end after half of the announced body
    bool report_load{true};      ///< answers carry Target-Load
    std::string crash_path;      ///< a request of this path ends the process
};

/// \brief Settings and counts of the stand-in. Thread-safe.
class target_behaviour {
public:
    target_behaviour(const target_settings& initial, std::uint64_t seed)
        : settings_(initial), random_state_(seed) {}

    [[nodiscard]] target_settings settings() const;
    /// \brief Changes the settings that the JSON object names.
    /// \throws nlohmann::json::exception when a value has the wrong type
    void change(const nlohmann::json& changes);
    [[nodiscard]] nlohmann::json settings_json() const;
    [[nodiscard]] nlohmann::json counts_json() const;

    /// \brief Takes a slot.
    /// \returns false when all slots are taken, which counts as a shed
    [[nodiscard]] bool take_slot();
    void free_slot();
    /// \returns the number of requests in service
    [[nodiscard]] std::uint32_t load() const;
    /// \brief Counts an execution under its idempotency key.
    void count_execution(const std::string& key);
    /// \returns a log-normally distributed time in service, in milliseconds
    [[nodiscard]] double draw_latency_ms();
    /// \returns true with the probability of an error
    [[nodiscard]] bool draw_error();

private:
    [[nodiscard]] double draw_uniform();

    mutable std::mutex mutex_;
    target_settings settings_;
    std::uint64_t random_state_;
    std::uint32_t in_service_{0};
    std::uint64_t executions_{0};
    std::uint64_t sheds_{0};
    std::map<std::string, std::uint64_t> executions_per_key_;
};

} // namespace wigeonrill::standins

#endif
