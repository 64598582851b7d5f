#include "wigeonrill/once.h"

#include <algorithm>
#include <charconv>

namespace wigeonrill::once {

namespace {

constexpr std::size_t max_key_length = 255;
constexpr std::string_view issued_prefix = "wr1-";
constexpr std::size_t uuid_length = 36;

bool is_hex(char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f') || (it >= 'A' && it <= 'F');
}

bool is_uuid_v7(std::string_view text) {
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : !is_hex(text[i])) {
            return false;
        }
    }
    constexpr std::string_view variants = "89abAB";
    return text[14] == '7' && variants.find(text[19]) != std::string_view::npos;
}

template <typename Number>
bool parse_number(std::string_view text, Number& value, int base = 10) {
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value, base);
    return ec == std::errc{} && end == last && !text.empty();
}

// Removes the last "-<part>" from the text and returns the part.
std::string_view remove_last_part(std::string_view& text) {
    const auto dash = text.rfind('-');
    if (dash == std::string_view::npos) {
        return {};
    }
    const auto part = text.substr(dash + 1);
    text = text.substr(0, dash);
    return part;
}

std::string_view without_quotes(std::string_view text) {
    const bool quoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    return quoted ? text.substr(1, text.size() - 2) : text;
}

bool is_valid_key(std::string_view text) {
    return !text.empty() && text.size() <= max_key_length && std::ranges::all_of(text, [](char it) {
        return it > ' ' && it <= '~' && it != '"' && it != '\\';
    });
}

bool parse_issued(idempotency_key& key) {
    auto rest = std::string_view(key.text).substr(issued_prefix.size());
    const auto sequence = remove_last_part(rest);
    const auto incarnation = remove_last_part(rest);
    const auto port = remove_last_part(rest);
    const bool v6 = rest.find(':') != std::string_view::npos;
    std::string address;
    address.append(v6 ? "[" : "").append(rest).append(v6 ? "]:" : ":").append(port);
    const auto owner = parse_endpoint(address);
    if (!owner || !parse_number(sequence, key.sequence) ||
        !parse_number(incarnation, key.incarnation)) {
        return false;
    }
    key.kind = key_kind::issued;
    key.owner = *owner;
    // Rejects leading zeros, with which the same key would have a second text.
    return format_issued_key(key.owner, key.incarnation, key.sequence) == key.text;
}

void read_uuid(idempotency_key& key) {
    key.kind = key_kind::uuid_v7;
    for (auto& it : key.text) {
        it = it >= 'A' && it <= 'F' ? static_cast<char>(it - 'A' + 'a') : it;
    }
    std::int64_t created = 0;
    parse_number(key.text.substr(0, 8) + key.text.substr(9, 4), created, 16);
    key.created = wall_time(milliseconds(created));
}

} // namespace

result<idempotency_key> parse_key(std::string_view header) {
    idempotency_key key;
    key.text = std::string(without_quotes(header));
    if (!is_valid_key(key.text)) {
        return failed(error_kind::invalid_input,
                      "the idempotency key is empty, too long or has characters outside ASCII",
                      "send 1 to 255 visible ASCII characters, for example a UUID version 7");
    }
    if (key.text.starts_with(issued_prefix)) {
        if (!parse_issued(key)) {
            return failed(error_kind::invalid_input, "the issued idempotency key is damaged",
                          "send the key exactly as it was issued");
        }
    } else if (is_uuid_v7(key.text)) {
        read_uuid(key);
    }
    return key;
}

std::string format_issued_key(const endpoint& owner, std::uint64_t incarnation,
                              std::uint64_t sequence) {
    std::string text(issued_prefix);
    text.append(owner.ip).append("-").append(std::to_string(owner.port)).append("-");
    return text.append(std::to_string(incarnation)).append("-").append(std::to_string(sequence));
}

std::string key_scope(const idempotency_key& key, std::string_view workspace,
                      std::string_view caller) {
    if (!workspace.empty()) {
        return "workspace " + std::string(workspace);
    }
    return key.kind == key_kind::other ? "caller " + std::string(caller) : std::string();
}

} // namespace wigeonrill::once
