#ifndef WIGEONRILL_BASE_ENDPOINT_H
#define WIGEONRILL_BASE_ENDPOINT_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Address of a socket: numeric IP address and port.
struct endpoint {
    std::string ip; ///< IPv4 address, or IPv6 address without brackets
    std::uint16_t port{0};

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// \brief Parses "ip:port" or "[ipv6]:port"; host names are rejected.
/// \returns the endpoint, or an invalid_input error that quotes the text
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// \returns "ip:port" for IPv4 or "[ipv6]:port" for IPv6
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace wigeonrill

#endif
