#include "wigeonrill/peers.h"

#include "PeerService.h"

#include <future>
#include <thread>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadPoolServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

namespace wigeonrill::peers {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::concurrency::ThreadFactory;
using apache::thrift::concurrency::ThreadManager;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadPoolServer;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportException;
using apache::thrift::transport::TTransportFactory;

// Passes the address check on to the transport of an accepted connection and bounds its requests.
// Thrift's own factory takes no limit; its default would let a client reserve 16 MB.
class framed_factory : public TTransportFactory {
public:
    framed_factory(std::size_t request_bytes, std::function<bool(const std::string&)> admits)
        : bounds_(std::make_shared<TConfiguration>(static_cast<int>(request_bytes),
                                                   static_cast<int>(request_bytes))),
          admits_(std::move(admits)) {}

    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> inner) override {
        const auto socket = std::dynamic_pointer_cast<TSocket>(inner);
        if (admits_ && socket && !admits_(socket->getPeerAddress())) {
            throw TTransportException(TTransportException::CLIENT_DISCONNECT,
                                      "the address is not a member");
        }
        return std::make_shared<TFramedTransport>(inner, bounds_);
    }

private:
    std::shared_ptr<TConfiguration> bounds_;
    std::function<bool(const std::string&)> admits_;
};

wire::Refusal refusal(const error& failure) {
    wire::Refusal out;
    out.message = failure.message;
    out.remedy = failure.remedy;
    return out;
}

void check_protocol(std::int16_t protocol) {
    if (protocol != protocol_number) {
        throw refusal({error_kind::invalid_input,
                       "protocol " + std::to_string(protocol) + " is not supported",
                       "ask a peer of the same release"});
    }
}

std::size_t to_wire(const config::change_set& in, wire::ChangeSet& out) {
    out.protocol = protocol_number;
    out.format = static_cast<std::int64_t>(in.format);
    out.base_version = static_cast<std::int64_t>(in.base_version);
    out.version = static_cast<std::int64_t>(in.version);
    out.published_ms =
        std::chrono::duration_cast<milliseconds>(in.published.time_since_epoch()).count();
    out.digest = in.digest;
    out.removed = in.removed;
    out.changed.resize(in.changed.size());
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < in.changed.size(); ++i) {
        out.changed[i].name = in.changed[i].name;
        out.changed[i].version = static_cast<std::int64_t>(in.changed[i].version);
        out.changed[i].digest = in.changed[i].digest;
        out.changed[i].content = in.changed[i].content;
        bytes += in.changed[i].content.size();
    }
    return bytes;
}

class handler : public wire::PeerServiceIf {
public:
    explicit handler(change_source source) : source_(std::move(source)) {}

    void changes_since(wire::ChangeSet& out, const std::int64_t version,
                       const std::int16_t protocol) override {
        check_protocol(protocol);
        const auto changes =
            source_.changes(static_cast<std::uint64_t>(std::max<std::int64_t>(0, version)));
        if (!changes) {
            throw refusal(changes.error());
        }
        const auto bytes = to_wire(*changes, out);
        if (source_.sent) {
            source_.sent(bytes);
        }
    }

    void status(wire::Status& out, const std::int16_t protocol) override {
        check_protocol(protocol);
        out.protocol = protocol_number;
        out.json = source_.status();
    }

private:
    change_source source_;
};

// Reports that the server listens.
class listen_signal : public TServerEventHandler {
public:
    void preServe() override { // NOLINT(readability-identifier-naming)
        told_ = true;
        listening.set_value();
    }
    void fail(const std::exception_ptr& cause) {
        if (!told_) {
            listening.set_exception(cause);
        }
    }

    std::promise<void> listening;

private:
    bool told_{false}; // of the server's thread
};

} // namespace

struct change_server::state {
    std::shared_ptr<TServerSocket> socket;
    std::shared_ptr<ThreadManager> workers;
    std::unique_ptr<TThreadPoolServer> server;
    std::shared_ptr<listen_signal> signal;
    std::string ip;
    std::thread thread;
};

change_server::change_server(std::unique_ptr<state> running) : state_(std::move(running)) {}

result<std::unique_ptr<change_server>>
change_server::start(const endpoint& address, change_source source, change_server_limits limits) {
    detail::silence_thrift();
    const auto timeout = static_cast<int>(limits.io_timeout.count());
    auto it = std::make_unique<state>();
    it->ip = address.ip;
    it->socket = std::make_shared<TServerSocket>(address.ip, address.port);
    it->socket->setRecvTimeout(timeout);
    it->socket->setSendTimeout(timeout);
    it->workers = ThreadManager::newSimpleThreadManager(limits.threads, limits.connections);
    it->workers->threadFactory(std::make_shared<ThreadFactory>(false));
    it->signal = std::make_shared<listen_signal>();
    auto admits = source.admits;
    it->server = std::make_unique<TThreadPoolServer>(
        std::make_shared<wire::PeerServiceProcessor>(std::make_shared<handler>(std::move(source))),
        it->socket, std::make_shared<framed_factory>(limits.request_bytes, std::move(admits)),
        std::make_shared<TCompactProtocolFactory>(), it->workers);
    it->server->setConcurrentClientLimit(static_cast<std::int64_t>(limits.connections));
    it->server->setServerEventHandler(it->signal);
    auto listening = it->signal->listening.get_future();
    try {
        it->workers->start();
        it->thread = std::thread([raw = it.get()] {
            try {
                raw->server->serve();
            } catch (const std::exception&) {
                raw->signal->fail(std::current_exception());
            }
        });
        listening.get();
    } catch (const std::exception& ex) {
        if (it->thread.joinable()) {
            it->thread.join();
        }
        return failed(error_kind::unavailable,
                      "peers: can't listen on TCP " + to_string(address) + ": " + ex.what(),
                      "choose an address of this VM and a free port");
    }
    return std::unique_ptr<change_server>(new change_server(std::move(it)));
}

change_server::~change_server() {
    state_->server->stop();
    state_->thread.join();
    state_->workers->stop();
}

endpoint change_server::local() const {
    return {state_->ip, static_cast<std::uint16_t>(state_->socket->getPort())};
}

} // namespace wigeonrill::peers
