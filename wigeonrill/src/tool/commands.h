#ifndef WIGEONRILL_TOOL_COMMANDS_H
#define WIGEONRILL_TOOL_COMMANDS_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Checks configuration files and prints the result of each.
/// \param json print JSON instead of text
/// \returns negative_result if at least one file is invalid
[[nodiscard]] exit_code check_files(const std::vector<std::string>& files, bool json);

/// \brief Replays a recorded trace with the detector and with the baseline policies, and prints a
/// table of the results.
/// \param path trace file
/// \param json print JSON instead of a table
/// \returns negative_result if the trace can't be read
[[nodiscard]] exit_code replay_trace(const std::string& path, bool json);

/// \brief Prints what logs say of one request, in the order of time: the lines about it, marked
/// with
///        an asterisk, and those about its targets and the configuration from around that time.
/// \param request_id the caller's name of the request, which is the field id of the log lines
/// \param files logs of one or more nodes; "-" is standard input
/// \param json print JSON instead of text
/// \returns negative_result if a file can't be read or no line is about the request
[[nodiscard]] exit_code trace_request(const std::string& request_id,
                                      const std::vector<std::string>& files, bool json);

/// \brief Prints an administration page of one or more daemons.
/// \param page status, targets or config
/// \param nodes administration addresses of the daemons
/// \param json print JSON instead of a table
/// \returns unreachable if a daemon did not answer, else negative_result if one rejected the
///          request. The pages of the other daemons are printed in any case.
[[nodiscard]] exit_code show_page(const std::string& page, const std::vector<endpoint>& nodes,
                                  bool json);

/// \brief Request whose handling is to be explained.
struct explain_query {
    std::string method{"GET"};
    std::string host;
    std::string path{"/"};
    std::string workspace;
    std::uint64_t body_bytes{0};
    std::optional<std::uint64_t> deadline_ms; ///< time until the caller's deadline
};

/// \brief Prints where a request would go now, and why, without sending it.
/// \param nodes administration addresses of daemons
/// \param json print JSON instead of text
/// \returns the same as show_page(); a daemon rejects the request if no route matches
[[nodiscard]] exit_code explain_request(const std::vector<endpoint>& nodes,
                                        const explain_query& query, bool json);

/// \brief Starts the graceful shutdown of daemons.
/// \param nodes administration addresses of the daemons
/// \param json print JSON instead of a table
/// \returns the same as show_page()
[[nodiscard]] exit_code drain_nodes(const std::vector<endpoint>& nodes, bool json);

} // namespace wigeonrill::tool

#endif
