#ifndef WIGEONRILL_BASE_ENDPOINT_H
#define WIGEONRILL_BASE_ENDPOINT_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Address of a listening socket: numeric IP and port.
struct endpoint {
    std::string ip;
    std::uint16_t port{0};

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// \brief Parses "ip:port" or "[ipv6]:port"; host names are refused.
/// \returns the endpoint, or an invalid_input error that names the text
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// \returns "ip:port", or "[ipv6]:port"
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace wigeonrill

#endif
