#include "wigeonrill/tool.h"

#include "wigeonrill/src/tool/admin_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

namespace {

namespace net = Poco::Net;

/// Server that answers one request with fixed bytes and closes the connection.
class one_answer_server {
public:
    explicit one_answer_server(std::string answer)
        : socket_(net::SocketAddress("127.0.0.1", 0)),
          served_(std::async(std::launch::async, [this, answer = std::move(answer)] {
              auto peer = socket_.acceptConnection();
              std::array<char, 4096> buf{};
              static_cast<void>(peer.receiveBytes(buf.data(), static_cast<int>(buf.size())));
              peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
              peer.shutdownSend();
          })) {}
    [[nodiscard]] endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }

private:
    net::ServerSocket socket_;
    std::future<void> served_;
};

result<std::string> get_page(const std::string& status) {
    const one_answer_server server("HTTP/1.1 " + status +
                                   "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    return tool::admin_client(server.address(), seconds{5}).get("/status");
}

} // namespace

TEST_GROUP(admin_client){};

// Guards against showing a page that is none as the state of a node, because its status is not that
// of an error.
TEST(admin_client, page_without_a_success_status_is_no_answer) {
    for (const std::string status :
         {"000 Zero", "000 ", "099 Low", "600 High", "999 High", "20 OK", "2000 OK", "+20 OK",
          "2e2 OK", "-01 OK", " OK", "103 Early Hints", "304 Not Modified"}) {
        const auto page = get_page(status);
        CHECK_TEXT(!page && page.error().kind == error_kind::unavailable, status.c_str());
    }
}

TEST(admin_client, returns_pages_and_rejections) {
    STRCMP_EQUAL("{}", get_page("200 OK")->c_str());
    STRCMP_EQUAL("{}", get_page("202 Accepted")->c_str());
    CHECK(get_page("409 Conflict").error().kind == error_kind::conflict);
    CHECK(get_page("503 Busy").error().kind == error_kind::conflict);
}
