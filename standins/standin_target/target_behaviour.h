#ifndef WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_BEHAVIOUR_H
#define WIGEONRILL_STANDINS_STANDIN_TARGET_TARGET_BEHAVIOUR_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace wigeonrill::standins {

/// \brief Settings of the target's answers.
///
/// POST /standin/control changes each member under its name.
struct target_settings {
    double latency_ms{0};        ///< median time from receiving a request to answering it
    double spread{0};            ///< standard deviation of the natural logarithm of the latency
    std::uint32_t slots{0};      ///< requests in service at once; 0: unlimited
    std::uint64_t body_bytes{2}; ///< size of each answer's body
    double error_rate{0};        ///< share of requests that are answered with 500
    bool hang{false};            ///< requests get no answer until this is set to false
    bool drain{false};           ///< answers carry Target-Draining: 1
    bool truncate{false};        ///< answers end after half of the announced body
    bool report_load{true};      ///< answers carry Target-Load
    std::string crash_path;      ///< a request of this path ends the process
};

/// \brief Settings, slots and counts of the stand-in for a target. Thread-safe.
class target_behaviour {
public:
    /// \param seed seed of the random latencies and errors
    target_behaviour(const target_settings& initial, std::uint64_t seed)
        : settings_(initial), random_state_(seed) {}

    [[nodiscard]] target_settings settings() const;
    /// \brief Changes the settings that the JSON object names.
    /// \throws nlohmann::json::exception when a value has the wrong type
    void apply_changes(const nlohmann::json& changes);
    /// \returns all settings as a JSON object
    [[nodiscard]] nlohmann::json settings_json() const;
    /// \returns the counts of executions, sheds and requests in service as a JSON object
    [[nodiscard]] nlohmann::json counts_json() const;

    /// \brief Takes a slot for a request, if one is free.
    /// \returns false when all slots are taken; the request then counts as shed
    [[nodiscard]] bool try_take_slot();
    /// \brief Releases the slot of a request that was answered.
    void release_slot();
    /// \returns the number of requests in service
    [[nodiscard]] std::uint32_t load() const;
    /// \brief Counts an execution of a request, in total and by idempotency key.
    /// \param key idempotency key; empty: the request has none
    void count_execution(const std::string& key);
    /// \returns a random latency in milliseconds, with a lognormal distribution
    [[nodiscard]] double draw_latency_ms();
    /// \returns true with the probability error_rate
    [[nodiscard]] bool draw_error();

private:
    /// \returns a random number, uniformly distributed in [0, 1)
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
