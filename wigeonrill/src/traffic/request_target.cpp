#include "wigeonrill/routing.h"
#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/request_target.h"

#include <algorithm>

namespace wigeonrill::traffic::detail {

namespace {

using parts = tl::expected<request_target, framing_fault>;

parts refuse(const char* type, std::string text) {
    return tl::unexpected<framing_fault>(framing_fault{400, type, std::move(text)});
}

bool is_authority(std::string_view text) {
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~%:[]";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string_view without_port(std::string_view authority) {
    const auto colon = authority.rfind(':');
    const auto bracket = authority.rfind(']');
    const bool has_port =
        colon != std::string_view::npos && (bracket == std::string_view::npos || bracket < colon);
    return has_port ? authority.substr(0, colon) : authority;
}

/// Removes the scheme and authority from an absolute target. Returns false when the scheme is not
/// http or https, or the authority differs from the Host field.
bool strip_authority(std::string_view& target, std::string_view host) {
    const auto scheme = target.find("://");
    if (target.empty() || target.front() == '/' || scheme == std::string_view::npos) {
        return true;
    }
    const auto name = target.substr(0, scheme);
    const bool is_http = equal_ignoring_case(name, "http") || equal_ignoring_case(name, "https");
    const auto rest = target.substr(scheme + 3);
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    if (!is_http || !equal_ignoring_case(rest.substr(0, end), host)) {
        return false;
    }
    target = rest.substr(end);
    return true;
}

/// Decodes %2e to "." and %2f to "/". Some targets do this before they split the path.
std::string decode_dots_and_slashes(std::string_view path) {
    std::string plain;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const auto code = path.substr(i, 3);
        const bool dot = equal_ignoring_case(code, "%2e");
        const bool slash = equal_ignoring_case(code, "%2f");
        plain += dot ? '.' : slash ? '/' : path[i];
        i += dot || slash ? 2 : 0;
    }
    return plain;
}

} // namespace

bool escapes_root(std::string_view encoded) {
    const auto decoded = decode_dots_and_slashes(encoded);
    std::string_view path = decoded;
    int depth = 0;
    while (!path.empty()) {
        const auto end = std::min(path.find('/'), path.size());
        const auto segment = path.substr(0, end);
        path.remove_prefix(std::min(end + 1, path.size()));
        if (segment == "..") {
            if (--depth < 0) {
                return true;
            }
        } else if (!segment.empty() && segment != ".") {
            ++depth;
        }
    }
    return false;
}

tl::expected<request_target, framing_fault> parse_request_target(const message_head& head) {
    const auto host = head.value("Host");
    const bool host_optional = head.minor_version == 0 && head.count("Host") == 0;
    if (!host_optional && !is_authority(host)) {
        return refuse("bad-host", "The Host header is not a host name or address.");
    }
    std::string_view target = head.target;
    if (!strip_authority(target, host)) {
        return refuse("bad-target", "The request target names another host than the Host header.");
    }
    const auto question = std::min(target.find('?'), target.size());
    request_target result{routing::normalize_host(without_port(host)),
                          std::string(target.substr(0, question)),
                          std::string(target.substr(std::min(question + 1, target.size())))};
    if (result.path.empty() && head.target.find("://") != std::string::npos) {
        result.path.push_back('/');
    }
    const bool asterisk = result.path == "*" && head.method == "OPTIONS" && result.query.empty();
    if (!asterisk && (result.path.empty() || result.path.front() != '/')) {
        return refuse("bad-target", "The request target must be a path.");
    }
    if (head.target.find_first_of("#\\") != std::string::npos) {
        return refuse("bad-target", "The request target has a character that must be encoded.");
    }
    if (escapes_root(result.path)) {
        return refuse("bad-target", "The path climbs above its root.");
    }
    return result;
}

} // namespace wigeonrill::traffic::detail
