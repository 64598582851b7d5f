#ifndef WIGEONRILL_TOOL_ADMIN_CLIENT_H
#define WIGEONRILL_TOOL_ADMIN_CLIENT_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief HTTP client for the administration port of a running daemon.
class admin_client {
public:
    /// \param address administration address of the daemon
    /// \param timeout time limit for connecting, for sending and for each read
    explicit admin_client(endpoint address, milliseconds timeout = seconds(5));

    /// \brief Requests a page with the method GET.
    /// \param path path and query, such as "/status"
    /// \returns the JSON text of the page; an unavailable error if the daemon does not answer, or a
    ///          conflict error that contains the daemon's message if it rejects the request
    [[nodiscard]] result<std::string> get(const std::string& path) const;
    /// \brief Sends a command with the method POST and without a body.
    /// \returns the same as get()
    [[nodiscard]] result<std::string> post(const std::string& path) const;

private:
    [[nodiscard]] result<std::string> send_request(const std::string& method,
                                                   const std::string& path) const;

    endpoint address_;
    milliseconds timeout_;
};

} // namespace wigeonrill::tool

#endif
