#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/caller_connection.h"

namespace wigeonrill::traffic::detail {

using status = message_reader::status;

caller_connection::caller_connection(int fd, std::string caller, server_context& context)
    : context_(&context), caller_(std::move(caller)), stream_(fd, context),
      over_connection_limit_(context.connections.add(fd) > context.options.max_connections) {}

caller_connection::~caller_connection() {
    context_->connections.remove(stream_.fd());
}

void caller_connection::run() {
    while (wait_for_request() && serve_request()) {
    }
}

bool caller_connection::wait_for_request() {
    const framing_limits limits{context_->options.max_head_bytes, context_->options.max_body_bytes};
    stream_.reader().begin(make_request_parser(limits));
    const auto deadline = context_->clock->now() + context_->options.idle;
    return stream_.reader().wait_first_byte(deadline, context_->connections.close_signal()) ==
           status::ok;
}

bool caller_connection::serve_request() {
    const auto deadline = context_->clock->now() + context_->options.head_time;
    switch (stream_.reader().read_head(deadline)) {
    case status::ok:
        break;
    case status::faulty:
        return refuse(*stream_.reader().parser().fault(), nullptr);
    case status::timed_out:
        return refuse({408, "request-timeout", "The header fields did not arrive in time."},
                      nullptr);
    default:
        return false;
    }
    if (over_connection_limit_) {
        return refuse_too_many_connections();
    }
    auto request = make_caller_request(stream_.reader().parser(), caller_, *context_);
    if (!request) {
        return refuse(request.error(), nullptr);
    }
    if (const auto fault = stream_.buffer_body(*request)) {
        return refuse(*fault, &*request);
    }
    const bool keep = exchange(*context_, stream_, *request).run();
    if (!keep) {
        stream_.shutdown_output();
    }
    return keep;
}

bool caller_connection::refuse(const framing_fault& fault, const caller_request* request) {
    context_->log("refused a request of " + caller_ + ": " + fault.detail);
    stream_.send_refusal(make_refusal(fault, outcome::not_run), request, false);
    stream_.shutdown_output();
    return false;
}

bool caller_connection::refuse_too_many_connections() {
    refusal reason{503,
                   "too-many-connections",
                   "The node has too many connections",
                   "Try again on a new connection.",
                   outcome::not_run,
                   seconds{1}};
    stream_.send_refusal(reason, nullptr, false);
    stream_.shutdown_output();
    return false;
}

} // namespace wigeonrill::traffic::detail
