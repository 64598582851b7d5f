#include "wigeonrill/peers.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace wigeonrill::peers {

namespace {

// Holds the datagrams that arrive while the control thread is busy: about 3,700 reports of 100
// bytes.
constexpr int receive_buffer_bytes = 1 << 20;

Poco::Net::SocketAddress to_poco(const endpoint& address) {
    return {Poco::Net::IPAddress(address.ip), address.port};
}

endpoint from_poco(const Poco::Net::SocketAddress& address) {
    return {address.host().toString(), address.port()};
}

} // namespace

struct udp_transport::socket {
    Poco::Net::DatagramSocket handle;
    Poco::Net::SocketAddress address; ///< bound address of this socket
    std::array<char, max_datagram_bytes + 1> buffer{};
};

udp_transport::udp_transport(std::unique_ptr<socket> bound) : socket_(std::move(bound)) {}

udp_transport::~udp_transport() = default;

result<std::unique_ptr<udp_transport>> udp_transport::open(const endpoint& address) {
    try {
        auto bound = std::make_unique<socket>();
        bound->handle.bind(to_poco(address), false);
        bound->handle.setBlocking(false);
        bound->address = bound->handle.address();
        bound->handle.setReceiveBufferSize(receive_buffer_bytes);
        return std::unique_ptr<udp_transport>(new udp_transport(std::move(bound)));
    } catch (const Poco::Exception& ex) {
        return failed(error_kind::unavailable,
                      "peers: can't bind UDP " + to_string(address) + ": " + ex.displayText(),
                      "choose an address of this VM and a free port");
    }
}

bool udp_transport::send(const endpoint& to, std::string_view bytes) {
    try {
        const auto size = static_cast<int>(bytes.size());
        return socket_->handle.sendTo(bytes.data(), size, to_poco(to)) == size;
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::optional<datagram> udp_transport::receive(milliseconds wait) {
    try {
        const Poco::Timespan span(wait.count() * 1'000);
        if (wait.count() > 0 && !socket_->handle.poll(span, Poco::Net::Socket::SELECT_READ)) {
            return std::nullopt;
        }
        Poco::Net::SocketAddress from;
        auto& buffer = socket_->buffer;
        const int size =
            socket_->handle.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
        if (size < 0) {
            return std::nullopt; // No datagram is waiting.
        }
        if (from == socket_->address) {
            wake_pending_ = false; // wake() sent this datagram.
            return receive(milliseconds{0});
        }
        return datagram{from_poco(from),
                        std::string(buffer.data(), static_cast<std::size_t>(size))};
    } catch (const Poco::Exception&) {
        // The error of an earlier datagram that was sent to a closed port is reported here. The
        // next call works again.
        return std::nullopt;
    }
}

void udp_transport::wake() {
    if (wake_pending_.exchange(true)) {
        return;
    }
    try {
        const char nothing = 0;
        socket_->handle.sendTo(&nothing, 0, socket_->address);
    } catch (const Poco::Exception&) {
        wake_pending_ = false; // receive() then returns at its timeout, at most one tick later.
    }
}

endpoint udp_transport::local() const {
    return from_poco(socket_->handle.address());
}

} // namespace wigeonrill::peers
