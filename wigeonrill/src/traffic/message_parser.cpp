#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/message_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <cstring>
#include <limits>

namespace wigeonrill::traffic::detail {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::system::error_code;
using boost_view = boost::beast::string_view;

constexpr int http_1_0 = 10;
constexpr int http_1_1 = 11;

bool is_number(boost_view text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char it) { return it >= '0' && it <= '9'; });
}

/// Parser of Boost.Beast with additional checks. It writes the decoded body to a buffer that the
/// user of this class provides.
template <bool IsRequest>
class strict_parser final : public http::basic_parser<IsRequest> {
public:
    explicit strict_parser(message_head& head) : head_(&head) {}

    void set_output(char* out, std::size_t capacity) {
        out_ = out;
        capacity_ = capacity;
        produced_ = 0;
    }
    [[nodiscard]] std::size_t produced() const { return produced_; }
    [[nodiscard]] const std::optional<framing_fault>& fault() const { return fault_; }

private:
    void refuse(int status, const char* type, std::string text, error_code& ec) {
        fault_ = framing_fault{status, type, std::move(text)};
        ec = http::error::bad_value;
    }

    void on_request_impl(http::verb method, boost_view name, boost_view target, int version,
                         error_code& ec) override {
        head_->method.assign(name.data(), name.size());
        head_->target.assign(target.data(), target.size());
        set_version(version);
        if (method == http::verb::connect) {
            refuse(501, "connect", "CONNECT is not served.", ec);
        }
    }

    void on_response_impl(int code, boost_view reason, int version, error_code& ec) override {
        head_->status = code;
        head_->reason.assign(reason.data(), reason.size());
        set_version(version);
        if (code < 100 || code > 599) {
            refuse(502, "bad-answer", "The status line is invalid.", ec);
        }
    }

    void on_field_impl(http::field name, boost_view text, boost_view value,
                       error_code& ec) override {
        if (in_body_) {
            return; // RFC 9110 section 6.5.1 permits dropping trailers.
        }
        head_->add(std::string(text), std::string(value));
        if (name == http::field::host) {
            ++host_count_;
        } else if (name == http::field::content_length) {
            // Beast accepts a list of equal numbers, which other recipients interpret differently.
            if (++length_count_ > 1 || !is_number(value)) {
                refuse(400, "bad-framing", "Content-Length must be one number, once.", ec);
            }
        } else if (name == http::field::transfer_encoding) {
            has_transfer_encoding_ = true;
            if (!iequals(value, "chunked")) {
                refuse(501, "transfer-coding", "The only known transfer coding is chunked.", ec);
            }
        }
    }

    void on_header_impl(error_code& ec) override {
        in_body_ = true;
        // Beast itself rejects Content-Length together with chunked, in either order.
        if (has_transfer_encoding_ && version_ == http_1_0) {
            refuse(400, "bad-framing", "HTTP/1.0 has no Transfer-Encoding.", ec);
        } else if (IsRequest && (host_count_ > 1 || (host_count_ == 0 && version_ == http_1_1))) {
            refuse(400, "bad-host", "Exactly one Host header is needed.", ec);
        }
    }

    std::size_t on_body_impl(boost_view body, error_code& /*ec*/) override {
        return copy_body(body);
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, boost_view body,
                                   error_code& /*ec*/) override {
        return copy_body(body);
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*ec*/) override {}
    void on_chunk_header_impl(std::uint64_t /*size*/, boost_view /*extensions*/,
                              error_code& /*ec*/) override {}
    void on_finish_impl(error_code& /*ec*/) override {}

    std::size_t copy_body(boost_view body) {
        const auto n = std::min(body.size(), capacity_ - produced_);
        if (n > 0) {
            std::memcpy(out_ + produced_, body.data(), n);
        }
        produced_ += n;
        return n;
    }

    void set_version(int version) {
        version_ = version;
        head_->minor_version = version % 10;
    }

    message_head* head_;
    char* out_{nullptr};
    std::size_t capacity_{0};
    std::size_t produced_{0};
    int version_{0};
    int host_count_{0};
    int length_count_{0};
    bool has_transfer_encoding_{false};
    bool in_body_{false};
    std::optional<framing_fault> fault_;
};

template <bool IsRequest>
class beast_message_parser final : public message_parser {
public:
    beast_message_parser(const framing_limits& limits, bool skip_body)
        : parser_(mutable_head()), head_limit_(limits.head_bytes) {
        parser_.header_limit(limits.head_bytes);
        // Beast 1.74 reports a body without a limit as exceeding the limit.
        parser_.body_limit(limits.body_bytes.value_or(std::numeric_limits<std::uint64_t>::max()));
        if (skip_body) {
            parser_.skip(true);
        }
    }

    progress feed(std::string_view in, char* out, std::size_t capacity) override {
        parser_.set_output(out, capacity);
        progress total;
        while (!in.empty() && !done() && !fault()) {
            const bool had_head = head_done();
            error_code ec;
            const auto n = parser_.put(boost::asio::const_buffer(in.data(), in.size()), ec);
            total.consumed += n;
            if (!had_head) {
                append_to_head(in.substr(0, n));
            }
            in.remove_prefix(n);
            record_parse_result(ec, in.size());
            if (!had_head && head_done() && !fault()) {
                reject_folded_fields();
                break;
            }
            if (n == 0) {
                break;
            }
        }
        total.produced = parser_.produced();
        return total;
    }

    void end_of_stream() override {
        error_code ec;
        if (parser_.got_some() && !done()) {
            parser_.put_eof(ec);
        }
        if (ec || !done()) {
            set_fault(400, "truncated", "The connection ended inside the message.");
        }
    }

    [[nodiscard]] bool head_done() const override { return parser_.is_header_done(); }
    [[nodiscard]] bool done() const override { return parser_.is_done(); }
    [[nodiscard]] bool chunked() const override { return parser_.chunked(); }
    [[nodiscard]] bool keep_alive() const override { return parser_.keep_alive(); }
    [[nodiscard]] std::optional<std::uint64_t> content_length() const override {
        const auto n = parser_.content_length();
        return n ? std::optional<std::uint64_t>(*n) : std::nullopt;
    }

private:
    void record_parse_result(const error_code& ec, std::size_t unread) {
        const auto pending = unread + (head_done() ? 0 : raw_head_bytes());
        if (parser_.fault()) {
            set_fault(parser_.fault()->status, parser_.fault()->type, parser_.fault()->detail);
        } else if (ec == http::error::header_limit ||
                   (ec == http::error::need_more && pending >= head_limit_)) {
            // Beast restarts the count of its own limit after each complete field.
            set_fault(431, "head-too-large", "The header fields exceed the limit.");
        } else if (ec == http::error::body_limit) {
            set_fault(413, "body-too-large", "The body exceeds the limit.");
        } else if (ec == http::error::bad_version) {
            set_fault(505, "http-version", "Only HTTP/1.0 and HTTP/1.1 are served.");
        } else if (ec && ec != http::error::need_more) {
            set_fault(400, "bad-framing", "The message is malformed: " + ec.message() + ".");
        }
    }

    strict_parser<IsRequest> parser_;
    std::size_t head_limit_;
};

} // namespace

void message_parser::set_fault(int status, std::string type, std::string text) {
    if (!fault_) {
        fault_ = framing_fault{status, std::move(type), std::move(text)};
    }
}

void message_parser::reject_folded_fields() {
    // Beast joins folded lines, but other recipients take the second line for a separate field.
    if (raw_head_.find("\r\n ") != std::string::npos ||
        raw_head_.find("\r\n\t") != std::string::npos) {
        set_fault(400, "bad-framing", "Folded header lines are not accepted.");
    }
}

std::unique_ptr<message_parser> make_request_parser(const framing_limits& limits) {
    return std::make_unique<beast_message_parser<true>>(limits, false);
}

std::unique_ptr<message_parser> make_answer_parser(const framing_limits& limits,
                                                   bool is_head_request) {
    return std::make_unique<beast_message_parser<false>>(limits, is_head_request);
}

} // namespace wigeonrill::traffic::detail
