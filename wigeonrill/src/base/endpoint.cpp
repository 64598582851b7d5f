#include "wigeonrill/base.h"

#include <algorithm>
#include <charconv>

namespace wigeonrill {

namespace {

// Checks only the characters of an address. Other errors in it are reported when it is used.
bool is_numeric_ip(std::string_view text, bool v6) {
    const std::string_view allowed = v6 ? "0123456789abcdefABCDEF:." : "0123456789.";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos &&
           (v6 ? text.find(':') != std::string_view::npos
               : std::count(text.begin(), text.end(), '.') == 3);
}

} // namespace

result<endpoint> parse_endpoint(std::string_view text) {
    const auto refuse = [&] {
        return failed(error_kind::invalid_input, "\"" + std::string(text) + "\" is not an address",
                      "write a numeric IP and a port, such as 10.0.0.7:8080");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return refuse();
    }
    auto ip = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    const bool v6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (v6) {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const auto* last = port_text.data() + port_text.size();
    const auto [end, ec] = std::from_chars(port_text.data(), last, port);
    if (ec != std::errc{} || end != last || port == 0 || !is_numeric_ip(ip, v6)) {
        return refuse();
    }
    return endpoint{std::string(ip), port};
}

std::string to_string(const endpoint& address) {
    const bool v6 = address.ip.find(':') != std::string::npos;
    const auto host = v6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace wigeonrill
