#include "wigeonrill/config.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

namespace {

const nlohmann::json& empty_object() {
    static const nlohmann::json empty_value = nlohmann::json::object();
    return empty_value;
}

std::string range_remedy(const std::string& minimum, const std::string& maximum) {
    return "use a value from " + minimum + " to " + maximum;
}

const char* remedy_of(name_rule rule) {
    return rule == name_rule::own ? name_remedy : foreign_name_remedy;
}

} // namespace

checked_object::checked_object(const nlohmann::json& value, std::string path,
                               parse_context& context)
    : value_(&value), path_(std::move(path)), context_(&context) {
    if (!value.is_object()) {
        context_->fail(path_, "is not an object", "write an object in braces: { \"key\": value }");
        value_ = &empty_object();
    }
}

std::string checked_object::key_path(std::string_view key) const {
    if (path_.empty() || key.empty()) {
        return path_ + std::string(key);
    }
    return path_ + "." + std::string(key);
}

void checked_object::fail(std::string_view key, const std::string& problem, std::string remedy) {
    context_->fail(key_path(key), problem, std::move(remedy));
}

void checked_object::fail_wrong_type(std::string_view key, std::string_view expected) {
    fail(key, "is not " + std::string(expected), "write " + std::string(expected));
}

const nlohmann::json* checked_object::find(std::string_view key, bool mandatory) {
    read_keys_.push_back(key);
    if (context_->known_keys != nullptr) {
        context_->known_keys->insert(key_pattern_.empty() ? std::string(key)
                                                          : key_pattern_ + "." + std::string(key));
    }
    const auto it = value_->find(key);
    if (it != value_->end()) {
        return &*it;
    }
    if (mandatory) {
        fail(key, "the key is missing", "add it; " + context_->reference + " describes it");
    }
    return nullptr;
}

bool checked_object::has(std::string_view key) {
    return find(key, false) != nullptr;
}

std::string checked_object::text(std::string_view key, const std::optional<std::string>& fallback) {
    const auto* value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or("");
    }
    if (!value->is_string()) {
        fail_wrong_type(key, "a string");
        return {};
    }
    return value->get<std::string>();
}

bool checked_object::flag(std::string_view key, std::optional<bool> fallback) {
    const auto* value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (!value->is_boolean()) {
        fail_wrong_type(key, "true or false");
        return false;
    }
    return value->get<bool>();
}

std::uint64_t checked_object::number(std::string_view key, std::uint64_t minimum,
                                     std::uint64_t maximum, std::optional<std::uint64_t> fallback) {
    const auto* value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    if (!value->is_number()) {
        fail_wrong_type(key, "a whole number");
        return minimum;
    }
    // The JSON parser turns an integer that does not fit into 64 bits into a floating-point number.
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < minimum ||
        value->get<std::uint64_t>() > maximum) {
        fail(key, value->dump() + " is not a whole number in the allowed range",
             range_remedy(std::to_string(minimum), std::to_string(maximum)));
        return minimum;
    }
    return value->get<std::uint64_t>();
}

double checked_object::fraction(std::string_view key, double maximum, double fallback) {
    const auto* value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number()) {
        fail_wrong_type(key, "a number");
        return fallback;
    }
    const auto number = value->get<double>();
    if (number < 0.0 || number > maximum) {
        fail(key, value->dump() + " is not in the allowed range",
             range_remedy("0", nlohmann::json(maximum).dump()));
        return fallback;
    }
    return number;
}

milliseconds checked_object::duration(std::string_view key, milliseconds minimum,
                                      milliseconds maximum, std::optional<milliseconds> fallback) {
    const auto* value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(minimum);
    }
    if (!value->is_string()) {
        fail_wrong_type(key, "a string with a unit, such as \"250ms\", \"5s\", \"10m\" or \"6h\"");
        return minimum;
    }
    const auto parsed = parse_duration(value->get_ref<const std::string&>());
    if (!parsed) {
        fail(key, parsed.error().message, parsed.error().remedy);
        return minimum;
    }
    if (*parsed < minimum || *parsed > maximum) {
        fail(key, value->dump() + " is out of range",
             range_remedy(std::to_string(minimum.count()) + "ms",
                          std::to_string(maximum.count()) + "ms"));
        return minimum;
    }
    return *parsed;
}

std::uint64_t checked_object::size(std::string_view key, std::uint64_t maximum,
                                   std::optional<std::uint64_t> fallback) {
    const auto* value = find(key, !fallback);
    if (value == nullptr || !value->is_string()) {
        return number(key, 0, maximum, fallback);
    }
    const auto parsed = parse_size(value->get_ref<const std::string&>());
    if (!parsed) {
        fail(key, parsed.error().message, parsed.error().remedy);
        return 0;
    }
    if (*parsed > maximum) {
        fail(key, value->dump() + " is out of range",
             range_remedy("0", std::to_string(maximum) + " bytes"));
        return 0;
    }
    return *parsed;
}

wall_time checked_object::time(std::string_view key) {
    const auto written = text(key);
    const auto parsed = parse_time(written);
    if (!parsed) {
        fail(key, parsed.error().message, parsed.error().remedy);
        return {};
    }
    return *parsed;
}

endpoint checked_object::address(std::string_view key) {
    return parse_address(key, text(key));
}

std::vector<endpoint> checked_object::addresses(std::string_view key) {
    std::vector<endpoint> all;
    for (const auto& written : texts(key)) {
        all.push_back(parse_address(key, written));
    }
    return all;
}

endpoint checked_object::parse_address(std::string_view key, const std::string& written) {
    const auto parsed = parse_endpoint(written);
    if (!parsed) {
        fail(key, parsed.error().message, parsed.error().remedy);
        return {};
    }
    const auto ip = canonical_ip(parsed->ip);
    if (!ip) {
        fail(key, "\"" + parsed->ip + "\" is not a valid IP address", "correct the address");
        return {};
    }
    return {*ip, parsed->port};
}

std::vector<std::string> checked_object::texts(std::string_view key, bool mandatory) {
    std::vector<std::string> all;
    const auto* value = find(key, mandatory);
    if (value == nullptr) {
        return all;
    }
    const bool is_list =
        value->is_array() && std::all_of(value->begin(), value->end(),
                                         [](const auto& element) { return element.is_string(); });
    if (!is_list) {
        fail_wrong_type(key, "a list of strings");
        return all;
    }
    for (const auto& element : *value) {
        all.push_back(element.get<std::string>());
    }
    return all;
}

std::string checked_object::name(std::string_view key) {
    auto written = text(key);
    if (!is_name(written, names())) {
        fail(key, "\"" + written + "\" is not a valid name", remedy_of(names()));
    }
    return written;
}

checked_object checked_object::object(std::string_view key, bool mandatory) {
    const auto* value = find(key, mandatory);
    checked_object inner(value != nullptr ? *value : empty_object(), key_path(key), *context_);
    if (context_->known_keys != nullptr) {
        inner.key_pattern_ =
            key_pattern_.empty() ? std::string(key) : key_pattern_ + "." + std::string(key);
    }
    return inner;
}

void checked_object::visit_member(const std::string& name, const nlohmann::json& value,
                                  std::string path, const visitor& visit) {
    checked_object member(value, std::move(path), *context_);
    if (context_->known_keys != nullptr) {
        member.key_pattern_ = key_pattern_.empty() ? "*" : key_pattern_ + ".*";
    }
    visit(name, member);
    member.reject_unread_keys();
}

void checked_object::for_each_member(const visitor& visit) {
    for (const auto& [member_name, value] : value_->items()) {
        if (!is_name(member_name, names())) {
            fail(member_name, "is not a valid name", remedy_of(names()));
        }
        visit_member(member_name, value, key_path(member_name), visit);
    }
    all_members_visited_ = true;
}

void checked_object::for_each_element(std::string_view key,
                                      const std::function<void(checked_object&)>& visit) {
    const auto* value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fail_wrong_type(key, "a list of objects");
        return;
    }
    auto list = checked_object(empty_object(), key_path(key), *context_);
    list.key_pattern_ =
        key_pattern_.empty() ? std::string(key) : key_pattern_ + "." + std::string(key);
    for (std::size_t i = 0; i < value->size(); ++i) {
        list.visit_member(
            {}, (*value)[i], key_path(key) + "[" + std::to_string(i) + "]",
            [&visit](const std::string&, checked_object& element) { visit(element); });
    }
}

void checked_object::reject_unread_keys() {
    if (all_members_visited_) {
        return;
    }
    for (const auto& [key, value] : value_->items()) {
        if (std::find(read_keys_.begin(), read_keys_.end(), key) == read_keys_.end()) {
            fail(key, "unknown key", "remove it or correct its spelling");
            return;
        }
    }
}

} // namespace wigeonrill::config
