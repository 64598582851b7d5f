#include "silent_target.h"

#include "proxy_fixture.h"

#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

namespace wigeonrill::test {

namespace {

constexpr int backlog = 64;
constexpr int fillers = 4;

} // namespace

silent_target::silent_target() : listener_(Poco::Net::SocketAddress("127.0.0.1", 0), backlog) {}

silent_target::~silent_target() {
    for (const int fd : fillers_) {
        ::close(fd);
    }
}

endpoint silent_target::address() const {
    return {"127.0.0.1", listener_.address().port()};
}

void silent_target::receive_request(bool dark) {
    connection_ = listener_.acceptConnection();
    std::string buffered;
    static_cast<void>(read_message(*connection_, buffered, true));
    if (!dark) {
        return;
    }
    // With a full queue the system drops the packets that open connections.
    listener_.listen(0);
    for (int i = 0; i < fillers; ++i) {
        Poco::Net::StreamSocket socket;
        socket.connectNB(listener_.address());
        fillers_.push_back(::dup(socket.impl()->sockfd()));
    }
}

void silent_target::accept_again() {
    listener_.listen(backlog);
    for (const int fd : fillers_) {
        ::close(fd);
    }
    fillers_.clear();
}

void silent_target::reset() {
    connection_->setLinger(true, 0);
    connection_->close();
}

void silent_target::answer() {
    const auto text = make_answer(200, "", "ok");
    connection_->sendBytes(text.data(), static_cast<int>(text.size()));
}

} // namespace wigeonrill::test
