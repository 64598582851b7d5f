#ifndef WIGEONRILL_PLATFORM_HTTP_VALUE_SOURCE_H
#define WIGEONRILL_PLATFORM_HTTP_VALUE_SOURCE_H

#ifndef WIGEONRILL_PLATFORM_MODULE
#error "Include wigeonrill/platform.h instead of this file."
#endif

namespace wigeonrill::platform {

/// \brief Client of the platform's configuration service over HTTP/1.1.
///
/// The protocol is described in docs/reference/platform.md. All member functions must be called
/// from one thread, except interrupt(), which any thread may call. After a failed call, the next
/// call goes to the next server in the list.
class http_value_source final : public value_source {
public:
    /// \param servers addresses of the configuration service, at least one
    /// \param timeout limit for connecting, and for receiving data beyond the requested wait time
    explicit http_value_source(std::vector<endpoint> servers, milliseconds timeout = seconds{5});
    ~http_value_source() override;

    [[nodiscard]] result<stored_value> get(const std::string& key) override;
    [[nodiscard]] result<std::optional<stored_value>>
    watch(const std::string& key, std::uint64_t after, milliseconds wait) override;
    void interrupt() override;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace wigeonrill::platform

#endif
