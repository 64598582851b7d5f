#include "wigeonrill/config.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

std::string duration_text(milliseconds duration) {
    return std::to_string(duration.count()) + "ms";
}

json to_json(const target& it) {
    return {{"address", to_string(it.address)},
            {"domain", it.domain.value},
            {"slots", it.slots},
            {"cold_start", duration_text(it.cold_start)}};
}

json to_json(const service& it) {
    json targets = json::object();
    for (const auto& one : it.targets) {
        targets[one.id.value] = to_json(one);
    }
    return {{"floor_slots", it.floor_slots},
            {"weight", enum_name(health_weight_names, it.weight)},
            {"queue_limit", it.queue_limit},
            {"targets", std::move(targets)}};
}

void write_destination(const route& it, json& into) {
    if (it.split.empty()) {
        into["service"] = it.service.value;
    }
    for (const auto& part : it.split) {
        into["split"][part.service.value] = {{"weight", part.weight}};
    }
}

json to_json(const route& it) {
    json fields = {{"path_prefix", it.path_prefix},
                   {"repeat", enum_name(repeat_policy_names, it.repeat)},
                   {"hedge", it.hedge},
                   {"max_body", it.max_body_bytes},
                   {"limits",
                    {{"total", duration_text(it.limits.total)},
                     {"first_byte", duration_text(it.limits.first_byte)},
                     {"body_idle", duration_text(it.limits.body_idle)}}},
                   {"attempts", it.attempts},
                   {"priority", it.priority},
                   {"target_latency", duration_text(it.target_latency)}};
    if (!it.needs_api_key) {
        fields["needs_api_key"] = false;
    }
    write_destination(it, fields);
    if (!it.host.empty()) {
        fields["host"] = it.host;
    }
    if (!it.methods.empty()) {
        fields["methods"] = it.methods;
    }
    if (it.repeat == repeat_policy::at_most_once) {
        fields["key"] = enum_name(key_policy_names, it.key);
    }
    return fields;
}

// Earlier builds read whole numbers only.
json to_json(double number) {
    const bool is_whole = number == std::floor(number);
    return is_whole ? json(static_cast<std::uint64_t>(number)) : json(number);
}

// Members with default values are left out, because earlier builds don't know them.
json to_json(const workspace& it) {
    json fields = {{"requests_per_second", to_json(it.requests_per_second)}};
    if (it.burst > 0.0) {
        fields["burst"] = to_json(it.burst);
    }
    if (it.priority) {
        fields["priority"] = *it.priority;
    }
    for (const auto& key : it.keys) {
        fields["api_key_digests"].push_back(to_string(key));
    }
    return fields;
}

json to_json(const key_owner_set& it) {
    json owners = json::array();
    for (const auto& owner : it.owners) {
        owners.push_back(to_string(owner));
    }
    json fields = {{"effective_from", format_time(it.effective_from)},
                   {"owners", std::move(owners)}};
    if (it.announced != wall_time{}) {
        fields["announced"] = format_time(it.announced);
    }
    return fields;
}

json to_json(const vm_record& it) {
    return {{"address", to_string(it.address)},
            {"domain", it.domain.value},
            {"role", enum_name(vm_role_names, it.role)},
            {"state", enum_name(vm_state_names, it.state)}};
}

} // namespace

std::string write_document(const snapshot& configuration) {
    json root = {{"format", format_version},
                 {"version", configuration.version},
                 {"published", format_time(configuration.published)},
                 {"rules",
                  {{"resend_window", duration_text(configuration.resend_window)},
                   {"owner_lease", duration_text(configuration.owner_lease)}}},
                 {"services", json::object()},
                 {"routes", json::object()}};
    if (configuration.authentication != caller_authentication::none) {
        root["rules"]["authentication"] =
            enum_name(caller_authentication_names, configuration.authentication);
    }
    for (const auto& it : configuration.services) {
        root["services"][it.name.value] = to_json(it);
    }
    for (const auto& it : configuration.routes) {
        root["routes"][it.name.value] = to_json(it);
    }
    for (const auto& it : configuration.workspaces) {
        root["workspaces"][it.name.value] = to_json(it);
    }
    for (const auto& it : configuration.key_owners) {
        root["key_owners"].push_back(to_json(it));
    }
    for (const auto& it : configuration.vms) {
        root["vms"].push_back(to_json(it));
    }
    return root.dump();
}

} // namespace wigeonrill::config
