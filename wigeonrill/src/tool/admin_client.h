#ifndef WIGEONRILL_TOOL_ADMIN_CLIENT_H
#define WIGEONRILL_TOOL_ADMIN_CLIENT_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Reads from the administration port of a running daemon.
class admin_client {
public:
    /// \param address administration address of the daemon
    /// \param timeout limit for connecting, sending and each read
    explicit admin_client(endpoint address, milliseconds timeout = seconds(5));

    /// \param path path and query, such as "/status"
    /// \returns the JSON text; unavailable if the daemon can't be reached, and invalid_input or
    ///          conflict with the daemon's own words if it refused
    [[nodiscard]] result<std::string> get(const std::string& path) const;
    /// \brief Sends a command without a body.
    [[nodiscard]] result<std::string> post(const std::string& path) const;

private:
    [[nodiscard]] result<std::string> call(const std::string& method,
                                           const std::string& path) const;

    endpoint address_;
    milliseconds timeout_;
};

} // namespace wigeonrill::tool

#endif
