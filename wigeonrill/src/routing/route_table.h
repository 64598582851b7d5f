#ifndef WIGEONRILL_ROUTING_ROUTE_TABLE_H
#define WIGEONRILL_ROUTING_ROUTE_TABLE_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Result of a route lookup.
struct route_match {
    const config::route* route{nullptr}; ///< owned by the table's snapshot; null: no match
    bool path_matched{false};            ///< a route matches host and path, with any method
    bool path_valid{true};               ///< false: the path can't be normalized
};

/// \brief Finds the route of a request by host, method and longest path prefix. Immutable.
///
/// Routes for the request's host take precedence over routes for any host. Among them, the route
/// with the longest matching prefix that allows the method is chosen. A lookup costs one hash
/// lookup per path segment, independent of the number of routes.
class route_table {
public:
    /// \param configuration snapshot with the routes; the table shares its ownership
    /// \param match how path prefixes are compared; with path_match::literal, a prefix that doesn't
    ///              end with a slash matches nothing
    explicit route_table(config::snapshot_ptr configuration,
                         path_match match = path_match::segments);

    /// \brief Looks up the route of a request.
    /// \param host Host header without the port; compared case-insensitively
    /// \param path path without the query, percent-encoding as received
    [[nodiscard]] route_match find(std::string_view host, std::string_view method,
                                   std::string_view path) const;
    /// \returns the snapshot from which the table was built
    [[nodiscard]] const config::snapshot_ptr& configuration() const { return configuration_; }

private:
    using bucket = std::vector<const config::route*>;
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return stable_hash(text); }
    };
    using bucket_map = std::unordered_map<std::string, bucket, text_hash, std::equal_to<>>;

    /// \returns the longest text that a prefix which matches the path can be; nothing if no prefix
    ///          can match
    [[nodiscard]] std::optional<std::string> comparable_path(std::string_view path) const;
    /// \returns the next shorter text that a matching prefix can be
    [[nodiscard]] std::string_view next_shorter(std::string_view prefix) const;
    /// \brief Searches the routes of one host, or of any host if `host` is empty, and sets `match`.
    /// \param path part of the path that prefixes are compared with, see comparable_path()
    void find_for_host(std::string_view host, std::string_view method, std::string_view path,
                       route_match& match) const;

    config::snapshot_ptr configuration_;
    path_match match_;
    bucket_map buckets_;            ///< key: host, line feed and comparable path prefix
    std::size_t longest_prefix_{0}; ///< length of the longest prefix of any route
};

} // namespace wigeonrill::routing

#endif
