#include "wigeonrill/peers.h"

#include "PeerService.h"

#include <algorithm>
#include <poll.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace wigeonrill::peers {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

// A cancelled call ends within this time.
constexpr milliseconds cancel_interval{50};

// Socket with one deadline for the whole call and a limit on silence. The receive timeout of
// TSocket restarts with every read, so a peer that sends single bytes at intervals could block the
// calling thread forever.
class deadline_socket : public TSocket {
public:
    deadline_socket(const endpoint& peer, const change_client_limits& limits,
                    transfer_progress* progress)
        : TSocket(peer.ip, peer.port), started_(std::chrono::steady_clock::now()),
          deadline_(started_ + limits.total), silence_(limits.silence), last_read_(started_),
          progress_(progress) {
        setConnTimeout(static_cast<int>(limits.connect_timeout.count()));
        setSendTimeout(static_cast<int>(limits.total.count()));
    }

    std::uint32_t read(std::uint8_t* buf, std::uint32_t len) override {
        wait_for_bytes();
        const auto count = TSocket::read(buf, len);
        last_read_ = std::chrono::steady_clock::now();
        if (progress_ != nullptr) {
            progress_->add_bytes(count,
                                 std::chrono::duration_cast<milliseconds>(last_read_ - started_));
        }
        return count;
    }

private:
    void wait_for_bytes() {
        const auto silent_until = last_read_ + silence_;
        for (;;) {
            const auto now = std::chrono::steady_clock::now();
            if (now >= std::min(deadline_, silent_until)) {
                throw TTransportException(TTransportException::TIMED_OUT,
                                          deadline_ <= silent_until
                                              ? "the call exceeded its time limit"
                                              : "no byte came within the limit on silence");
            }
            if (progress_ != nullptr && progress_->is_cancelled()) {
                throw TTransportException(TTransportException::INTERRUPTED,
                                          "the call was cancelled");
            }
            const auto left =
                std::chrono::ceil<milliseconds>(std::min(deadline_, silent_until) - now);
            pollfd readable{getSocketFD(), POLLIN, 0};
            // An end or error of the connection counts as readable, too.
            if (::poll(&readable, 1, static_cast<int>(std::min(left, cancel_interval).count())) >
                0) {
                return;
            }
        }
    }

    std::chrono::steady_clock::time_point started_;
    std::chrono::steady_clock::time_point deadline_;
    milliseconds silence_;
    std::chrono::steady_clock::time_point last_read_; // or the start
    transfer_progress* progress_;
};

template <typename Call>
auto call_peer(const endpoint& peer, const change_client_limits& limits,
               transfer_progress* progress, const Call& call)
    -> result<decltype(call(std::declval<wire::PeerServiceClient&>()))> {
    detail::disable_thrift_output();
    const auto error_prefix = "peers: " + to_string(peer);
    try {
        const auto max_bytes = static_cast<int>(limits.answer_bytes);
        const auto size_limits = std::make_shared<TConfiguration>(max_bytes, max_bytes);
        const auto socket = std::make_shared<deadline_socket>(peer, limits, progress);
        const auto framed = std::make_shared<TFramedTransport>(socket, size_limits);
        wire::PeerServiceClient client(std::make_shared<TCompactProtocol>(framed));
        framed->open();
        auto answer = call(client);
        framed->close();
        return answer;
    } catch (const wire::Refusal& refusal) {
        const bool busy = refusal.__isset.busy && refusal.busy;
        return failed(busy ? error_kind::overloaded : error_kind::unavailable,
                      error_prefix + " refused: " + refusal.message, refusal.remedy);
    } catch (const TTransportException& ex) {
        const bool late = ex.getType() == TTransportException::TIMED_OUT;
        return failed(late ? error_kind::timed_out : error_kind::unavailable,
                      error_prefix + " did not answer: " + ex.what(), "ask another peer");
    } catch (const std::exception& ex) {
        return failed(error_kind::invalid_input,
                      error_prefix + " sent an invalid answer: " + ex.what(), "ask another peer");
    }
}

// Leaves out those that name no target or no process.
std::vector<config::registered_target> from_wire(std::vector<wire::Registration>&& in) {
    std::vector<config::registered_target> out;
    for (auto& it : in) {
        if (!it.target_name.empty() && it.started_ms > 0 && it.created >= 0) {
            out.push_back({target_id(std::move(it.target_name)),
                           {static_cast<std::uint64_t>(it.started_ms),
                            static_cast<std::uint64_t>(it.created)}});
        }
    }
    std::ranges::sort(out, {}, &config::registered_target::target);
    return out;
}

config::change_set from_wire(wire::ChangeSet&& in) {
    config::change_set out;
    out.format = static_cast<std::uint64_t>(in.format);
    out.base_version = static_cast<std::uint64_t>(in.base_version);
    out.version = static_cast<std::uint64_t>(in.version);
    out.published = wall_time(milliseconds(in.published_ms));
    out.rules_version = in.__isset.rules_version ? static_cast<std::uint64_t>(in.rules_version) : 0;
    out.digest = std::move(in.digest);
    out.content_digest = std::move(in.content_digest);
    out.changed.reserve(in.changed.size());
    for (auto& it : in.changed) {
        out.changed.push_back({std::move(it.name), static_cast<std::uint64_t>(it.version),
                               std::move(it.digest), std::move(it.content),
                               from_wire(std::move(it.registrations))});
    }
    out.removed = std::move(in.removed);
    return out;
}

// Builds that don't know the marks close connections with larger requests than 4,096 bytes. The
// rest is left for the call itself.
constexpr std::size_t max_mark_bytes = 3'840;

// Returns no marks if they are too many.
std::vector<wire::ShardMark> to_marks(const std::vector<config::shard_mark>& shards) {
    // Bytes of an encoded mark beside the name.
    constexpr std::size_t mark_bytes = 16;
    std::vector<wire::ShardMark> marks;
    std::size_t bytes = 0;
    for (const auto& it : shards) {
        bytes += mark_bytes + it.name.size();
        if (bytes > max_mark_bytes) {
            return {};
        }
        wire::ShardMark mark;
        mark.name = it.name;
        mark.content = static_cast<std::int64_t>(it.content);
        marks.push_back(std::move(mark));
    }
    return marks;
}

bool has_valid_numbers(const wire::ChangeSet& in) {
    // The wall clock's type counts nanoseconds in 64 bits, which covers about 292 years.
    constexpr std::int64_t latest = std::int64_t{9'000'000'000'000};
    return in.format >= 0 && in.base_version >= 0 && in.version >= 0 && in.published_ms >= 0 &&
           in.published_ms < latest && (!in.__isset.rules_version || in.rules_version >= 0);
}

} // namespace

result<config::change_set> fetch_changes(const endpoint& peer, const config::change_base& base,
                                         change_client_limits limits, transfer_progress* progress) {
    auto answer = call_peer(peer, limits, progress, [&](wire::PeerServiceClient& client) {
        wire::ChangeSet changes;
        client.changes_since(changes, static_cast<std::int64_t>(base.version), protocol_number,
                             limits.may_refuse, to_marks(base.shards));
        return changes;
    });
    if (!answer) {
        return tl::unexpected<error>(answer.error());
    }
    if (!has_valid_numbers(*answer)) {
        return failed(error_kind::invalid_input,
                      "peers: " + to_string(peer) + " sent a change set with negative numbers",
                      "ask another peer");
    }
    return from_wire(std::move(*answer));
}

result<std::string> fetch_status(const endpoint& peer, change_client_limits limits) {
    return call_peer(peer, limits, nullptr, [](wire::PeerServiceClient& client) {
        wire::Status status;
        client.status(status, protocol_number);
        return status.json;
    });
}

} // namespace wigeonrill::peers
