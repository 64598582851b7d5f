#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/caller_connection.h"
#include "wigeonrill/src/traffic/tcp_server_stop.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

namespace wigeonrill::traffic {

namespace {

/// Length of the queue of connections to accept. With the usual length of 64, a burst of 330
/// connections overflows the queue, and callers wait 1 s until their SYN is retransmitted.
constexpr int listen_backlog = 1024;

/// Number of threads beyond the connection limit. They read one request each and refuse it.
constexpr std::uint32_t refusal_threads = 64;

class connection final : public Poco::Net::TCPServerConnection {
public:
    connection(const Poco::Net::StreamSocket& socket, detail::server_context& context)
        : TCPServerConnection(socket), context_(&context) {}

    void run() override {
        const auto caller = socket().peerAddress().host().toString();
        detail::caller_connection(socket().impl()->sockfd(), caller, *context_).run();
    }

private:
    detail::server_context* context_;
};

class connection_factory final : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit connection_factory(detail::server_context& context) : context_(&context) {}

    Poco::Net::TCPServerConnection*
    createConnection(const Poco::Net::StreamSocket& socket) override {
        return new connection(socket, *context_);
    }

private:
    detail::server_context* context_;
};

/// Rejects connections for which no thread is left, so that they do not wait in a queue.
class connection_filter final : public Poco::Net::TCPServerConnectionFilter {
public:
    explicit connection_filter(detail::server_context& context) : context_(&context) {}

    bool accept(const Poco::Net::StreamSocket& /*socket*/) override {
        return context_->connections.size() <
               context_->options.max_connections + std::size_t{refusal_threads};
    }

private:
    detail::server_context* context_;
};

} // namespace

class server::implementation {
public:
    implementation(server_options options, dispatcher& decisions, const clock_source& clock)
        : context(std::move(options), decisions, clock),
          threads(2, static_cast<int>(context.options.max_connections + 2 * refusal_threads)) {}

    [[nodiscard]] result<void> start();
    void stop();

    detail::server_context context;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> listener;
    std::uint16_t port{0};
};

result<void> server::implementation::start() {
    const auto& address = context.options.listen;
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address.ip, address.port), true);
        socket.listen(listen_backlog);
        port = socket.address().port();
        auto* params = new Poco::Net::TCPServerParams;
        params->setMaxThreads(threads.capacity());
        params->setMaxQueued(listen_backlog);
        shorten_idle_time(*params);
        listener = std::make_unique<Poco::Net::TCPServer>(new connection_factory(context), threads,
                                                          socket, params);
        listener->setConnectionFilter(new connection_filter(context));
        listener->start();
        return {};
    } catch (const Poco::Exception& failure) {
        return failed(error_kind::unavailable,
                      "can't listen on " + to_string(address) + ": " + failure.displayText(),
                      "choose an address of this VM and a free port");
    }
}

void server::implementation::stop() {
    if (listener) {
        listener->stop();
        // Destroying the listener closes its socket, so that the system refuses new connections.
        listener.reset();
    }
    context.connections.close_waiting();
}

server::server(server_options options, dispatcher& decisions, const clock_source& clock)
    : impl_(std::make_unique<implementation>(std::move(options), decisions, clock)) {}

server::~server() {
    if (impl_->listener) {
        wake_acceptor(*impl_->listener);
    }
    impl_->stop();
    impl_->context.connections.abort_all();
    impl_->threads.joinAll();
}

result<void> server::start() {
    return impl_->start();
}
void server::close_unusable_connections() {
    impl_->context.pool.close_unusable();
}
void server::begin_drain(instant answer_by) {
    impl_->context.answer_by = answer_by;
    impl_->context.draining = true;
}
void server::stop_listening() {
    impl_->stop();
}

bool server::wait_idle(instant deadline) {
    return impl_->context.connections.wait_empty(deadline, *impl_->context.clock);
}

std::uint16_t server::port() const {
    return impl_->port;
}
std::size_t server::connections() const {
    return impl_->context.connections.size();
}

} // namespace wigeonrill::traffic
