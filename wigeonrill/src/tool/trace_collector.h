#ifndef WIGEONRILL_TOOL_TRACE_COLLECTOR_H
#define WIGEONRILL_TOOL_TRACE_COLLECTOR_H

#ifndef WIGEONRILL_TOOL_MODULE
#error "Include wigeonrill/tool.h instead of this file."
#endif

namespace wigeonrill::tool {

/// \brief Selects from logs what concerns one request: the lines about it, and what its node
/// learned
///        of the targets and the configuration around that time. Performs no input or output.
///
/// All lines are to be given to find_request() first, then all to find_context().
class trace_collector {
public:
    /// Time before the request from which lines about its targets are selected.
    static constexpr seconds context_before{10};
    /// Time after the last line about the request until which they are selected.
    static constexpr seconds context_after{1};

    struct line {
        std::string node;
        log_record record;
        bool is_context{false}; ///< not about the request itself
    };

    /// \param request_id the caller's name of the request
    explicit trace_collector(std::string request_id) : request_id_(std::move(request_id)) {}

    /// \brief Selects the record if it is about the request.
    /// \param node name of the node that wrote it
    void find_request(const std::string& node, const log_record& record);
    /// \brief Selects the record if it shows what the request's node knew.
    void find_context(const std::string& node, const log_record& record);
    /// \returns the selected lines in the order of their times
    [[nodiscard]] std::vector<line> lines() const;

private:
    /// What one node wrote about the request.
    struct span {
        wall_time first{};
        wall_time last{};
        std::set<std::string> targets; ///< to which the node sent the request
    };

    std::string request_id_;
    std::map<std::string, span> spans_; ///< by node
    std::vector<line> lines_;
};

} // namespace wigeonrill::tool

#endif
