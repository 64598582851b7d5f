#ifndef STANDINS_STANDIN_PLATFORM_HTTP_SERVICE_H
#define STANDINS_STANDIN_PLATFORM_HTTP_SERVICE_H

#include "publication.h"

namespace standin_platform {

/// \brief HTTP server of the stand-in; docs/reference/platform.md describes the protocol.
class http_service {
public:
    /// \brief Binds and starts.
    /// \param address address to listen on; port 0 chooses a free port
    http_service(publication& values, const std::string& address);
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    /// \brief Ends waiting watches and stops.
    ~http_service();

    /// \returns the address in use
    [[nodiscard]] std::string address() const;

private:
    struct server;
    publication* values_;
    std::unique_ptr<server> server_;
};

} // namespace standin_platform

#endif
