#include "wigeonrill/routing.h"

#include <algorithm>

namespace wigeonrill::routing {

namespace {

bool allows(const config::route& route, std::string_view method) {
    return route.methods.empty() || std::ranges::find(route.methods, method) != route.methods.end();
}

// A line feed occurs neither in host names nor in request paths, so it can separate the two.
std::string bucket_key(std::string_view host, std::string_view path) {
    std::string key;
    key.reserve(host.size() + 1 + path.size());
    key.append(host).append("\n").append(path);
    return key;
}

} // namespace

route_table::route_table(config::snapshot_ptr configuration, path_match match)
    : configuration_(std::move(configuration)), match_(match) {
    WIGEONRILL_ASSERT(configuration_ != nullptr, "a route table needs a snapshot");
    buckets_.reserve(configuration_->routes.size());
    for (const auto& it : configuration_->routes) {
        const auto prefix = comparable_path(it.path_prefix);
        if (prefix && (match_ == path_match::segments || it.path_prefix.ends_with('/'))) {
            buckets_[bucket_key(normalize_host(it.host), *prefix)].push_back(&it);
            longest_prefix_ = std::max(longest_prefix_, prefix->size());
        }
    }
    // Routes for specific methods take precedence over routes for any method.
    for (auto& [key, routes] : buckets_) {
        std::stable_partition(routes.begin(), routes.end(),
                              [](const config::route* route) { return !route->methods.empty(); });
    }
}

std::optional<std::string> route_table::comparable_path(std::string_view path) const {
    if (match_ == path_match::segments) {
        return normalize_path(path);
    }
    if (path.empty() || path.front() != '/') {
        return std::nullopt;
    }
    return std::string(path.substr(0, path.rfind('/') + 1));
}

std::string_view route_table::next_shorter(std::string_view prefix) const {
    if (match_ == path_match::segments) {
        return prefix.substr(0, prefix.rfind('/'));
    }
    prefix.remove_suffix(1); // the slash at its end
    return prefix.substr(0, prefix.rfind('/') + 1);
}

route_match route_table::find(std::string_view host, std::string_view method,
                              std::string_view path) const {
    route_match match;
    const auto comparable = comparable_path(path);
    if (!comparable) {
        match.path_valid = false;
        return match;
    }
    const auto lower = normalize_host(host);
    if (!lower.empty()) {
        find_for_host(lower, method, *comparable, match);
    }
    if (match.route == nullptr) {
        find_for_host({}, method, *comparable, match);
    }
    return match;
}

void route_table::find_for_host(std::string_view host, std::string_view method,
                                std::string_view path, route_match& match) const {
    const auto key = bucket_key(host, path);
    // Of the prefixes, segments leave out the slash at the end, so that of the root is empty.
    const auto shortest = host.size() + (match_ == path_match::literal ? 2 : 1);
    auto prefix = std::string_view(key);
    for (;;) {
        // Skip prefixes that are longer than any route's, so that a path with thousands of segments
        // doesn't need as many hash lookups.
        const bool may_match = prefix.size() <= shortest + longest_prefix_;
        if (const auto it = may_match ? buckets_.find(prefix) : buckets_.end();
            it != buckets_.end()) {
            match.path_matched = true;
            const auto& routes = it->second;
            const auto found = std::ranges::find_if(
                routes, [&](const config::route* route) { return allows(*route, method); });
            if (found != routes.end()) {
                match.route = *found;
                return;
            }
        }
        if (prefix.size() <= shortest) {
            return;
        }
        prefix = next_shorter(prefix);
    }
}

} // namespace wigeonrill::routing
