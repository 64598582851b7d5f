#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/message_head.h"

#include <algorithm>
#include <charconv>

namespace wigeonrill::traffic::detail {

namespace {

char lower(char it) {
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

/// Calls the function with each element of a comma-separated list, without surrounding blanks.
template <typename Function>
void for_each_token(std::string_view list, Function function) {
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto token = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        const auto first = token.find_first_not_of(" \t");
        if (first != std::string_view::npos) {
            token = token.substr(first, token.find_last_not_of(" \t") - first + 1);
            function(token);
        }
    }
}

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate",  "TE",         "Trailer",
    "Proxy-Authorization", "Upgrade",    "Expect"};

/// Fields that are kept even if the Connection field names them. Otherwise a caller could make a
/// proxy drop them.
constexpr std::array<std::string_view, 7> end_to_end_fields{"Host",
                                                            "Content-Length",
                                                            "Transfer-Encoding",
                                                            "Idempotency-Key",
                                                            "Workspace",
                                                            "Request-Timeout-Ms",
                                                            "Via"};

void append_fields(std::string& text, const message_head& head) {
    for (const auto& [name, value] : head.fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("\r\n");
}

} // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view field_value(const std::vector<std::pair<std::string, std::string>>& fields,
                             std::string_view name) {
    for (const auto& it : fields) {
        if (equal_ignoring_case(it.first, name)) {
            return it.second;
        }
    }
    return {};
}

std::string_view message_head::value(std::string_view name) const {
    return field_value(fields, name);
}

std::size_t message_head::count(std::string_view name) const {
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(),
                      [&](const auto& it) { return equal_ignoring_case(it.first, name); }));
}

void message_head::add(std::string name, std::string value) {
    fields.emplace_back(std::move(name), std::move(value));
}

void message_head::remove(std::string_view name) {
    std::erase_if(fields, [&](const auto& it) { return equal_ignoring_case(it.first, name); });
}

void message_head::set(std::string name, std::string value) {
    remove(name);
    add(std::move(name), std::move(value));
}

bool message_head::has_token(std::string_view name, std::string_view token) const {
    bool found = false;
    for (const auto& it : fields) {
        if (equal_ignoring_case(it.first, name)) {
            for_each_token(it.second, [&](std::string_view candidate) {
                found = found || equal_ignoring_case(candidate, token);
            });
        }
    }
    return found;
}

void message_head::remove_hop_by_hop() {
    std::vector<std::string> named;
    for (const auto& it : fields) {
        if (equal_ignoring_case(it.first, "Connection")) {
            for_each_token(it.second, [&](std::string_view token) { named.emplace_back(token); });
        }
    }
    for (const auto& name : named) {
        const bool kept =
            std::any_of(end_to_end_fields.begin(), end_to_end_fields.end(),
                        [&](std::string_view it) { return equal_ignoring_case(it, name); });
        if (!kept) {
            remove(name);
        }
    }
    for (const auto name : hop_by_hop_fields) {
        remove(name);
    }
}

void message_head::add_via(const std::string& name) {
    add("Via", std::string(minor_version == 0 ? "1.0 " : "1.1 ").append(name));
}

std::string serialize_request(const message_head& head) {
    std::string text;
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    append_fields(text, head);
    return text;
}

std::string serialize_answer(const message_head& head) {
    std::string text = "HTTP/1.1 ";
    text.append(std::to_string(head.status)).append(" ").append(head.reason).append("\r\n");
    append_fields(text, head);
    return text;
}

void append_chunk(std::string& text, std::string_view body) {
    std::array<char, 16> digits{};
    const auto [end, ec] =
        std::to_chars(digits.data(), digits.data() + digits.size(), body.size(), 16);
    text.append(digits.data(), end).append("\r\n").append(body).append("\r\n");
}

} // namespace wigeonrill::traffic::detail
