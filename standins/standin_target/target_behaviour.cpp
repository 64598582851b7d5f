#include "target_behaviour.h"

#include "wigeonrill/base.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <numbers>

namespace wigeonrill::standins {

target_settings target_behaviour::settings() const {
    const std::lock_guard lock(mutex_);
    return settings_;
}

void target_behaviour::apply_changes(const nlohmann::json& changes) {
    const std::lock_guard lock(mutex_);
    auto next = settings_;
    next.latency_ms = changes.value("latency_ms", next.latency_ms);
    next.spread = changes.value("spread", next.spread);
    next.slots = changes.value("slots", next.slots);
    next.body_bytes = changes.value("body_bytes", next.body_bytes);
    next.error_rate = changes.value("error_rate", next.error_rate);
    next.hang = changes.value("hang", next.hang);
    next.drain = changes.value("drain", next.drain);
    next.truncate = changes.value("truncate", next.truncate);
    next.report_load = changes.value("report_load", next.report_load);
    next.crash_path = changes.value("crash_path", next.crash_path);
    settings_ = next;
}

nlohmann::json target_behaviour::settings_json() const {
    const auto it = settings();
    return {{"latency_ms", it.latency_ms},
            {"spread", it.spread},
            {"slots", it.slots},
            {"body_bytes", it.body_bytes},
            {"error_rate", it.error_rate},
            {"hang", it.hang},
            {"drain", it.drain},
            {"truncate", it.truncate},
            {"report_load", it.report_load},
            {"crash_path", it.crash_path}};
}

nlohmann::json target_behaviour::counts_json() const {
    const std::lock_guard lock(mutex_);
    return {{"executions", executions_},
            {"sheds", sheds_},
            {"in_service", in_service_},
            {"executions_per_key", executions_per_key_}};
}

bool target_behaviour::try_take_slot() {
    const std::lock_guard lock(mutex_);
    if (settings_.slots > 0 && in_service_ >= settings_.slots) {
        ++sheds_;
        return false;
    }
    ++in_service_;
    return true;
}

void target_behaviour::release_slot() {
    const std::lock_guard lock(mutex_);
    --in_service_;
}

std::uint32_t target_behaviour::load() const {
    const std::lock_guard lock(mutex_);
    return in_service_;
}

void target_behaviour::count_execution(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++executions_;
    if (!key.empty()) {
        ++executions_per_key_[key];
    }
}

double target_behaviour::draw_uniform() {
    seeded_random_source random(random_state_);
    random_state_ = random.next();
    return random.uniform();
}

double target_behaviour::draw_latency_ms() {
    const std::lock_guard lock(mutex_);
    if (settings_.spread <= 0) {
        return settings_.latency_ms;
    }
    // Box-Muller transform. The uniform number u is below 1, so 1 - u keeps the logarithm's
    // argument above 0.
    const double radius = std::sqrt(-2.0 * std::log(1.0 - draw_uniform()));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * draw_uniform());
    return settings_.latency_ms * std::exp(settings_.spread * normal);
}

bool target_behaviour::draw_error() {
    const std::lock_guard lock(mutex_);
    return settings_.error_rate > 0 && draw_uniform() < settings_.error_rate;
}

} // namespace wigeonrill::standins
