#include "wigeonrill/peers.h"

#include "PeerService.h"
#include "wigeonrill/src/peers/transfer_slots.h"

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
using apache::thrift::TConnectionInfo;
using apache::thrift::TProcessor;
using apache::thrift::TProcessorFactory;
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

// Creates the framed transport of an accepted connection: rejects addresses that may not connect
// and limits the size of requests. The factory of Thrift takes no limit, and its default would let
// a client make the server reserve 16 MB.
class limiting_transport_factory : public TTransportFactory {
public:
    limiting_transport_factory(std::size_t request_bytes,
                               std::function<bool(const std::string&)> accepts_address)
        : limits_(std::make_shared<TConfiguration>(static_cast<int>(request_bytes),
                                                   static_cast<int>(request_bytes))),
          accepts_address_(std::move(accepts_address)) {}

    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> inner) override {
        const auto socket = std::dynamic_pointer_cast<TSocket>(inner);
        if (accepts_address_ && socket && !accepts_address_(socket->getPeerAddress())) {
            throw TTransportException(TTransportException::CLIENT_DISCONNECT,
                                      "the address is not a member");
        }
        return std::make_shared<TFramedTransport>(inner, limits_);
    }

private:
    std::shared_ptr<TConfiguration> limits_;
    std::function<bool(const std::string&)> accepts_address_;
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

// Converts what the caller has. Marks out of order are sorted, as they come from outside.
config::change_base to_base(std::int64_t version, const std::vector<wire::ShardMark>& marks) {
    config::change_base base{static_cast<std::uint64_t>(std::max<std::int64_t>(0, version)), {}};
    base.shards.reserve(marks.size());
    for (const auto& it : marks) {
        base.shards.push_back({it.name, static_cast<std::uint64_t>(it.content)});
    }
    std::ranges::sort(base.shards, {}, &config::shard_mark::name);
    return base;
}

// Converts a shard and returns its number of content bytes.
std::size_t to_wire(const config::shard& in, wire::Shard& out) {
    // Bytes of an encoded registration beside the name of its target.
    constexpr std::size_t registration_bytes = 16;
    out.name = in.name;
    out.version = static_cast<std::int64_t>(in.version);
    out.digest = in.digest;
    out.content = in.content;
    auto bytes = in.content.size();
    for (const auto& it : in.registrations) {
        wire::Registration registered;
        registered.target_name = it.target.value;
        registered.started_ms = static_cast<std::int64_t>(it.registered.started_ms);
        registered.created = static_cast<std::int64_t>(it.registered.created);
        out.registrations.push_back(std::move(registered));
        bytes += registration_bytes + it.target.value.size();
    }
    out.__isset.registrations = !out.registrations.empty();
    return bytes;
}

// Converts a change set and returns its number of content bytes.
std::size_t to_wire(const config::change_set& in, wire::ChangeSet& out) {
    out.protocol = protocol_number;
    out.format = static_cast<std::int64_t>(in.format);
    out.base_version = static_cast<std::int64_t>(in.base_version);
    out.version = static_cast<std::int64_t>(in.version);
    out.published_ms =
        std::chrono::duration_cast<milliseconds>(in.published.time_since_epoch()).count();
    if (in.rules_version != 0) {
        out.__set_rules_version(static_cast<std::int64_t>(in.rules_version));
    }
    out.digest = in.digest;
    if (!in.content_digest.empty()) {
        out.__set_content_digest(in.content_digest);
    }
    out.removed = in.removed;
    out.changed.resize(in.changed.size());
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < in.changed.size(); ++i) {
        bytes += to_wire(in.changed[i], out.changed[i]);
    }
    return bytes;
}

// Serves one connection. It holds its slot until the connection ends, because the end of the answer
// may still be in the socket's buffer when the call has returned.
class service_handler : public wire::PeerServiceIf {
public:
    service_handler(const change_server_callbacks& source, std::shared_ptr<transfer_slots> slots)
        : source_(source), slots_(std::move(slots)) {}
    service_handler(const service_handler&) = delete;
    service_handler& operator=(const service_handler&) = delete;
    ~service_handler() override {
        if (has_slot_) {
            slots_->release();
        }
    }

    void changes_since(wire::ChangeSet& out, const std::int64_t version,
                       const std::int16_t protocol, const bool may_refuse,
                       const std::vector<wire::ShardMark>& base) override {
        check_protocol(protocol);
        take_slot(may_refuse);
        const auto changes = source_.changes(to_base(version, base));
        if (!changes) {
            throw refusal(changes.error());
        }
        const auto bytes = to_wire(*changes, out);
        if (source_.on_answer_sent) {
            source_.on_answer_sent(bytes);
        }
    }

    void status(wire::Status& out, const std::int16_t protocol) override {
        check_protocol(protocol);
        out.protocol = protocol_number;
        out.json = source_.status();
    }

private:
    void take_slot(bool may_refuse) {
        has_slot_ = has_slot_ || slots_->take(may_refuse);
        if (has_slot_) {
            return;
        }
        if (source_.on_busy) {
            source_.on_busy();
        }
        auto busy =
            refusal({error_kind::overloaded, "too many calls are under way", "ask another peer"});
        busy.__set_busy(true);
        throw busy;
    }

    const change_server_callbacks& source_;
    std::shared_ptr<transfer_slots> slots_;
    bool has_slot_{false};
};

// Creates the handler of each connection.
class handler_factory : public TProcessorFactory {
public:
    handler_factory(change_server_callbacks source, std::shared_ptr<transfer_slots> slots)
        : source_(std::move(source)), slots_(std::move(slots)) {}

    std::shared_ptr<TProcessor> getProcessor(const TConnectionInfo& /*connection*/) override {
        return std::make_shared<wire::PeerServiceProcessor>(
            std::make_shared<service_handler>(source_, slots_));
    }

private:
    change_server_callbacks source_;
    std::shared_ptr<transfer_slots> slots_;
};

// Tells the thread that starts the server whether listening succeeded or failed.
class startup_signal : public TServerEventHandler {
public:
    void preServe() override { // NOLINT(readability-identifier-naming)
        reported_ = true;
        listening.set_value();
    }
    void report_failure(const std::exception_ptr& cause) {
        if (!reported_) {
            listening.set_exception(cause);
        }
    }

    std::promise<void> listening;

private:
    bool reported_{false}; // listening has its value; used by the server's thread only
};

} // namespace

struct change_server::state {
    std::shared_ptr<TServerSocket> socket;
    std::shared_ptr<ThreadManager> workers;
    std::unique_ptr<TThreadPoolServer> server;
    std::shared_ptr<startup_signal> signal;
    std::shared_ptr<transfer_slots> slots;
    std::string ip;
    std::thread thread;
};

change_server::change_server(std::unique_ptr<state> running) : state_(std::move(running)) {}

result<std::unique_ptr<change_server>> change_server::start(const endpoint& address,
                                                            change_server_callbacks source,
                                                            change_server_limits limits) {
    detail::disable_thrift_output();
    const auto timeout = static_cast<int>(limits.io_timeout.count());
    auto it = std::make_unique<state>();
    it->ip = address.ip;
    it->socket = std::make_shared<TServerSocket>(address.ip, address.port);
    it->socket->setRecvTimeout(timeout);
    it->socket->setSendTimeout(timeout);
    it->workers = ThreadManager::newSimpleThreadManager(limits.threads, limits.connections);
    it->workers->threadFactory(std::make_shared<ThreadFactory>(false));
    it->signal = std::make_shared<startup_signal>();
    it->slots = std::make_shared<transfer_slots>(limits);
    auto accepts_address = source.accepts_address;
    it->server = std::make_unique<TThreadPoolServer>(
        std::make_shared<handler_factory>(std::move(source), it->slots), it->socket,
        std::make_shared<limiting_transport_factory>(limits.request_bytes,
                                                     std::move(accepts_address)),
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
                raw->signal->report_failure(std::current_exception());
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
    state_->slots->close();
    state_->server->stop();
    state_->thread.join();
    state_->workers->stop();
}

endpoint change_server::local() const {
    return {state_->ip, static_cast<std::uint16_t>(state_->socket->getPort())};
}

} // namespace wigeonrill::peers
