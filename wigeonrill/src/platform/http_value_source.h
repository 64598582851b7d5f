#ifndef WIGEONRILL_PLATFORM_HTTP_VALUE_SOURCE_H
#define WIGEONRILL_PLATFORM_HTTP_VALUE_SOURCE_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Value source over HTTP/1.1; docs/reference/platform.md describes the protocol.
///
/// For one calling thread; only interrupt() may be called from another. After a failed call the
/// next one goes to the next server.
class http_value_source final : public value_source {
public:
    /// \param servers addresses of the platform's service, at least one
    /// \param timeout limit for connecting and for silence beyond the time a watch may wait
    explicit http_value_source(std::vector<endpoint> servers, milliseconds timeout = seconds{5});
    ~http_value_source() override;

    [[nodiscard]] result<stored_value> get(const std::string& key) override;
    [[nodiscard]] result<std::optional<stored_value>>
    watch(const std::string& key, std::uint64_t after, milliseconds wait) override;
    void interrupt() override;

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace wigeonrill::platform

#endif
