#include "wigeonrill/config.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace wigeonrill::config {

bool is_valid_name(const std::string& text) {
    constexpr std::string_view allowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    constexpr std::size_t max_length = 64;
    return !text.empty() && text.size() <= max_length &&
           text.find_first_not_of(allowed) == std::string::npos;
}

bool is_foreign_name(const std::string& text) {
    const auto is_control = [](char it) {
        return static_cast<unsigned char>(it) < ' ' || it == '\x7f';
    };
    return !text.empty() && text.size() <= max_foreign_name_bytes && text.front() != ' ' &&
           text.back() != ' ' && std::ranges::none_of(text, is_control);
}

bool is_name(const std::string& text, name_rule rule) {
    return rule == name_rule::own ? is_valid_name(text) : is_foreign_name(text);
}

std::optional<std::string> canonical_ip(const std::string& ip) {
    const int family = ip.find(':') == std::string::npos ? AF_INET : AF_INET6;
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (inet_pton(family, ip.c_str(), binary.data()) != 1 ||
        inet_ntop(family, binary.data(), buf.data(), buf.size()) == nullptr) {
        return std::nullopt;
    }
    return std::string(buf.data());
}

std::optional<error> find_error(const target& it) {
    const auto make_error = [](const std::string& what, const char* remedy) {
        return error{error_kind::invalid_input, what, remedy};
    };
    if (!is_foreign_name(it.id.value)) {
        return make_error("the target's name is not valid", foreign_name_remedy);
    }
    if (!is_foreign_name(it.domain.value)) {
        return make_error("the name of the target's failure domain is not valid",
                          foreign_name_remedy);
    }
    if (!canonical_ip(it.address.ip) || it.address.port == 0) {
        return make_error("the target's address is not valid", "correct the address");
    }
    if (it.slots < 1 || it.slots > max_slots) {
        return make_error("the target's number of slots is out of range", "correct the number");
    }
    return std::nullopt;
}

} // namespace wigeonrill::config
