#ifndef STANDINS_STANDIN_PLATFORM_HTTP_SERVICE_H
#define STANDINS_STANDIN_PLATFORM_HTTP_SERVICE_H

#include "publication.h"

namespace standin_platform {

/// \brief HTTP server of the stand-in for the platform's configuration service.
///
/// docs/reference/platform.md describes the protocol.
class http_service {
public:
    /// \brief Binds the address and starts to serve requests.
    /// \param values values to serve; must outlive the server
    /// \param address address to listen on; with port 0 the system chooses a free port
    /// \throws Poco::Exception when the address can't be bound
    http_service(publication& values, const std::string& address);
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    /// \brief Ends all waiting watches and stops the server.
    ~http_service();

    /// \returns the address on which the server listens, with the port that was chosen
    [[nodiscard]] std::string address() const;

private:
    struct server;
    publication* values_;
    std::unique_ptr<server> server_;
};

} // namespace standin_platform

#endif
