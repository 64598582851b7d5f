#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/forwarded_head.h"

#include <algorithm>

namespace wigeonrill::traffic::detail {

namespace {

/// Adds the field that frames the body: a body in memory gets its length, a streamed one keeps the
/// caller's framing.
void add_framing(message_head& head, const caller_request& request) {
    if (request.body_complete && !request.body_streamed) {
        if (request.length || request.chunked) {
            head.add("Content-Length", std::to_string(request.buffered_body.size()));
        }
    } else if (request.chunked) {
        head.add("Transfer-Encoding", "chunked");
    } else {
        head.add("Content-Length", std::to_string(request.length.value_or(0)));
    }
}

} // namespace

std::string make_forwarded_head(const caller_request& request, const step& plan,
                                const server_options& options, milliseconds time_left) {
    message_head head = request.head;
    const auto& info = request.info;
    head.target = info.query.empty() ? info.path : info.path + "?" + info.query;
    head.remove_hop_by_hop();
    head.remove("Content-Length");
    head.remove("Transfer-Encoding");
    add_framing(head, request);
    if (head.count("Host") == 0) {
        head.add("Host", to_string(plan.address));
    }
    const auto& names = options.names;
    if (plan.verified_workspace) {
        if (plan.kind == step_kind::send) {
            head.remove("Authorization");
        }
        head.remove(names.workspace);
        if (!plan.verified_workspace->empty() && !names.workspace.empty()) {
            head.add(names.workspace, *plan.verified_workspace);
        }
    }
    head.set(names.deadline, std::to_string(std::max<std::int64_t>(time_left.count(), 0)));
    if (plan.kind == step_kind::send && !names.expected_target.empty()) {
        head.set(names.expected_target, plan.target.value);
    }
    if (plan.kind == step_kind::forward) {
        head.set(std::string(from_node_field), "1");
        head.set(std::string(caller_field), info.caller);
    }
    head.add_via(options.via);
    return serialize_request(head);
}

} // namespace wigeonrill::traffic::detail
