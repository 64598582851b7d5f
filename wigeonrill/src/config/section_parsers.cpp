#include "wigeonrill/config.h"

#include "wigeonrill/src/config/section_parsers.h"

#include <algorithm>

namespace wigeonrill::config {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t max_floor_slots = 100'000'000;
constexpr std::uint64_t max_queue_limit = 1'000'000;

target parse_target(const std::string& name, checked_object& object) {
    target it;
    it.id = target_id(name);
    it.address = object.address("address");
    it.domain = domain_name(object.name("domain"));
    it.slots = static_cast<std::uint32_t>(object.number("slots", 1, max_slots));
    it.cold_start = object.duration("cold_start", 0ms, max_duration, it.cold_start);
    return it;
}

time_limits parse_limits(checked_object object) {
    time_limits it;
    it.total = object.duration("total", 1ms, max_duration, it.total);
    it.first_byte = object.duration("first_byte", 1ms, max_duration, it.first_byte);
    it.body_idle = object.duration("body_idle", 1ms, max_duration, it.body_idle);
    object.reject_unread_keys();
    return it;
}

void parse_key_policy(checked_object& object, route& into) {
    const bool written = object.has("key");
    into.key = object.choice("key", key_policy_names, std::optional(into.key));
    if (written && into.repeat == repeat_policy::idempotent) {
        object.fail("key", "has no effect on an idempotent route",
                    "remove it, or set \"repeat\" to \"at_most_once\"");
    }
}

// Parses the destination of a route, which is either "service" or "split".
void parse_destination(checked_object& object, route& into) {
    if (!object.has("split")) {
        into.service = service_name(object.name("service"));
        return;
    }
    auto parts = object.object("split", true);
    parts.for_each_member([&into](const std::string& name, checked_object& part) {
        const auto weight = part.number("weight", 0, max_weight);
        into.split.push_back({service_name(name), static_cast<std::uint32_t>(weight)});
    });
    const bool has_positive_weight =
        std::any_of(into.split.begin(), into.split.end(),
                    [](const weighted_service& it) { return it.weight > 0; });
    if (!has_positive_weight) {
        object.fail("split", "no service has a weight above 0",
                    "give one service a weight above 0");
        return;
    }
    into.service = into.split.front().service;
}

bool is_method(const std::string& text) {
    return !text.empty() &&
           text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == std::string::npos;
}

// Hosts and prefixes of another system are compared as they are; one that no request has harms
// none.
bool is_host(const std::string& text, name_rule rule) {
    if (rule == name_rule::foreign) {
        return text.empty() || is_foreign_name(text);
    }
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") == std::string::npos;
}

bool is_path(const std::string& text, name_rule rule) {
    const auto is_allowed = [](char it) {
        return it > ' ' && it < '\x7f' && it != '?' && it != '#';
    };
    return !text.empty() && text.front() == '/' &&
           (rule == name_rule::foreign || std::ranges::all_of(text, is_allowed));
}

void check_match_rules(checked_object& object, const route& it) {
    if (!is_host(it.host, object.names())) {
        object.fail("host", "\"" + it.host + "\" is not a lower-case host name",
                    "write the host in lower case without a port");
    }
    if (!is_path(it.path_prefix, object.names())) {
        object.fail("path_prefix", "\"" + it.path_prefix + "\" is not a path",
                    "begin with '/' and leave out query, fragment and spaces");
    }
    if (!std::all_of(it.methods.begin(), it.methods.end(), is_method)) {
        object.fail("methods", "a method is not in upper case",
                    "write methods such as \"GET\" or \"POST\"");
    }
}

void check_policies(checked_object& object, const route& it) {
    if (it.hedge && it.repeat == repeat_policy::at_most_once) {
        object.fail("hedge", "a hedged request can run twice, but the route is at most once",
                    "remove \"hedge\" from this route");
    }
    if (it.limits.first_byte > it.limits.total) {
        object.fail("limits.first_byte", "is above the total limit",
                    "lower \"first_byte\" or raise \"total\"");
    }
}

route parse_route(const std::string& name, checked_object& object) {
    route it;
    it.name = route_name(name);
    parse_destination(object, it);
    it.host = object.text("host", "");
    it.methods = object.texts("methods", false);
    it.path_prefix = object.text("path_prefix", it.path_prefix);
    // Mandatory, because with a default value a forgotten policy could let a charge run twice.
    it.repeat = object.choice("repeat", repeat_policy_names);
    parse_key_policy(object, it);
    it.hedge = object.flag("hedge", it.hedge);
    it.max_body_bytes = object.size("max_body", max_body_limit, it.max_body_bytes);
    it.limits = parse_limits(object.object("limits"));
    it.attempts = static_cast<std::uint32_t>(object.number("attempts", 0, max_attempts, 0));
    it.priority = static_cast<std::uint32_t>(object.number("priority", 0, max_priority, 0));
    it.target_latency = object.duration("target_latency", 0ms, max_duration, 0ms);
    it.needs_api_key = object.flag("needs_api_key", it.needs_api_key);
    check_match_rules(object, it);
    check_policies(object, it);
    return it;
}

vm_record parse_vm(checked_object& object) {
    vm_record it;
    it.address = object.address("address");
    it.domain = domain_name(object.name("domain"));
    it.role = object.choice("role", vm_role_names);
    it.state = object.choice("state", vm_state_names, std::optional(it.state));
    return it;
}

std::vector<key_digest> parse_api_keys(checked_object& object) {
    std::vector<key_digest> all;
    for (const auto& written : object.texts("api_key_digests", false)) {
        const auto digest = parse_key_digest(written);
        if (!digest) {
            object.fail("api_key_digests", "an entry is not a digest of 32 hexadecimal digits",
                        "write the first 32 hexadecimal digits of the key's SHA-256");
            return all;
        }
        all.push_back(*digest);
    }
    std::ranges::sort(all);
    return all;
}

workspace parse_workspace(const std::string& name, checked_object& object) {
    workspace it;
    it.name = workspace_name(name);
    it.keys = parse_api_keys(object);
    if (object.has("priority")) {
        it.priority = static_cast<std::uint32_t>(object.number("priority", 0, max_priority));
    }
    it.requests_per_second = object.fraction("requests_per_second", max_requests_per_second, 0.0);
    it.burst = object.fraction("burst", max_requests_per_second, 0.0);
    if (it.burst > 0.0 && it.requests_per_second <= 0.0) {
        object.fail("burst", "has no effect without a rate limit",
                    "add \"requests_per_second\" or remove it");
    }
    return it;
}

key_owner_set parse_key_owner_set(checked_object& object) {
    key_owner_set it;
    it.effective_from = object.time("effective_from");
    it.announced = object.has("announced") ? object.time("announced") : wall_time{};
    it.owners = object.addresses("owners");
    return it;
}

} // namespace

void parse_rules(checked_object& object, snapshot& into) {
    into.resend_window = object.duration("resend_window", 1s, 24h, into.resend_window);
    into.authentication = object.choice("authentication", caller_authentication_names,
                                        std::optional(into.authentication));
    into.owner_lease = object.duration("owner_lease", 1min, 7 * 24h, into.owner_lease);
}

void parse_key_owners(checked_object& parent, snapshot& into) {
    parent.for_each_element("key_owners", [&into](checked_object& object) {
        into.key_owners.push_back(parse_key_owner_set(object));
    });
}

service parse_service(const std::string& name, checked_object& object) {
    service it;
    it.name = service_name(name);
    it.floor_slots = static_cast<std::uint32_t>(object.number("floor_slots", 0, max_floor_slots));
    it.weight = object.choice("weight", health_weight_names);
    it.queue_limit = static_cast<std::uint32_t>(
        object.number("queue_limit", 0, max_queue_limit, it.queue_limit));
    auto targets = object.object("targets", true);
    targets.for_each_member([&it](const std::string& id, checked_object& member) {
        it.targets.push_back(parse_target(id, member));
    });
    return it;
}

void parse_routes(checked_object& object, std::vector<route>& into) {
    object.for_each_member([&into](const std::string& name, checked_object& member) {
        into.push_back(parse_route(name, member));
    });
}

void parse_workspaces(checked_object& object, std::vector<workspace>& into) {
    object.for_each_member([&into](const std::string& name, checked_object& member) {
        into.push_back(parse_workspace(name, member));
    });
}

void parse_vms(checked_object& parent, std::vector<vm_record>& into) {
    parent.for_each_element("vms",
                            [&into](checked_object& object) { into.push_back(parse_vm(object)); });
}

} // namespace wigeonrill::config
