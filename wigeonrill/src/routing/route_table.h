#ifndef WIGEONRILL_ROUTING_ROUTE_TABLE_H
#define WIGEONRILL_ROUTING_ROUTE_TABLE_H

#ifndef WIGEONRILL_ROUTING_MODULE
#error "Include wigeonrill/routing.h instead of this file."
#endif

namespace wigeonrill::routing {

/// \brief Result of a lookup.
struct route_match {
    const config::route* route{nullptr}; ///< owned by the table's snapshot; null: no route
    bool path_known{false};              ///< a route has the host and path, if not the method
    bool path_valid{true};               ///< false: the path can't be compared with routes
};

/// \brief Finds the route of a request by host, method and longest path prefix.
///
/// Routes with the request's host come before routes for any host; then the longest prefix of whole
/// segments that allows the method wins. A lookup costs one hash lookup per path segment, whatever
/// the number of routes. Immutable after construction.
class route_table {
public:
    /// \param configuration snapshot whose routes the table refers to and keeps alive
    explicit route_table(config::snapshot_ptr configuration);

    /// \param host Host header without the port; compared without regard to case
    /// \param path path without the query, as received
    [[nodiscard]] route_match find(std::string_view host, std::string_view method,
                                   std::string_view path) const;
    /// \returns the snapshot that the table was built from
    [[nodiscard]] const config::snapshot_ptr& configuration() const { return configuration_; }

private:
    using bucket = std::vector<const config::route*>;
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return stable_hash(text); }
    };
    using bucket_map = std::unordered_map<std::string, bucket, text_hash, std::equal_to<>>;

    void find_for_host(std::string_view host, std::string_view method, std::string_view path,
                       route_match& match) const;

    config::snapshot_ptr configuration_;
    bucket_map buckets_; ///< by host, line feed and path prefix
    std::size_t longest_prefix_{0};
};

} // namespace wigeonrill::routing

#endif
