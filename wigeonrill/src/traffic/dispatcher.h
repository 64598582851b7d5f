#ifndef WIGEONRILL_TRAFFIC_DISPATCHER_H
#define WIGEONRILL_TRAFFIC_DISPATCHER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief Who sent a request to this node.
enum class request_sender : std::uint8_t {
    caller,       ///< no mark says that a node passed it on
    unknown_node, ///< the mark is there, but the address is none of a known node
    node,         ///< a known node, which passes the caller's API key on
    vouching_node ///< a known node of an older build: it has checked the key, taken the credit and
                  ///< removed the key
};

/// \brief Data of a request on which decisions are based. The body is not included.
struct request_info {
    std::uint64_t id{0}; ///< unique in this process
    std::string name;    ///< identifier given by the caller, for logs; empty: none
    std::string method;
    std::string host; ///< Host header without the port
    std::string path; ///< path without the query, percent-encoding as received
    std::string query;
    /// Workspace that the caller or, in a request from a node, that node states; empty: none
    std::string workspace;
    std::optional<config::key_digest> api_key; ///< digest of the caller's API key
    std::string idempotency_key;               ///< value of the header Idempotency-Key; empty: none
    std::string caller;                        ///< numeric IP address of the caller
    std::uint64_t body_bytes{0};               ///< size of the body, 0 when unknown
    std::uint64_t body_digest{0}; ///< stable hash of a body that is buffered in memory, else 0
    bool body_replayable{false};  ///< the body is empty or in memory, so it can be sent again
    request_sender sender{request_sender::caller};
    instant arrived{};  ///< when the head had been read
    instant deadline{}; ///< the caller's; once the route is known, the earlier of both
    /// Valid until finish_request(); null: it can't be seen whether the caller has left.
    const caller_watch* watch{nullptr};

    /// \returns whether the request is marked as passed on by a node. The mark may be made up, so
    ///          it may only take something from the request.
    [[nodiscard]] bool is_passed_on() const { return sender != request_sender::caller; }
};

/// \brief Kinds of steps for a request.
enum class step_kind : std::uint8_t {
    send,    ///< send it to a target
    forward, ///< forward it to another node, which owns its idempotency key
    replay,  ///< answer with the stored answer of an earlier request with the same key
    refuse   ///< answer with a refusal
};

/// \brief Answer that is kept to be sent again when its idempotency key is repeated.
struct stored_answer {
    int status{200};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// \brief Next step for a request and the data needed to perform it.
struct step {
    step_kind kind{step_kind::refuse};
    endpoint address;    ///< of the target or node to connect to; for send and forward
    target_id target;    ///< the chosen target; for send
    config::route route; ///< route of the request; not set in a refusal before routing
    instant deadline{};  ///< until when the head of the answer must be read
    bool needs_fresh_connection{
        false}; ///< use only a new connection or one used within the last 1 s
    /// Workspace of an authenticated caller, empty if it has none: a target gets this name and not
    /// the caller's credentials; a node gets both. Nothing: the caller's fields are passed on.
    std::optional<std::string> verified_workspace;
    bool store_answer{false}; ///< pass an answer of up to 64 KB to finish_request()
    refusal reason;           ///< the refusal to send; for refuse
    std::shared_ptr<const stored_answer> answer; ///< the answer to send; for replay
};

/// \brief Span in which a target that had a request took no new connection.
struct silence {
    instant from{};  ///< when the first connection that failed was tried
    instant until{}; ///< when the last one was tried
};

/// \brief Result of one attempt at a target or node, as seen on its connection.
struct attempt_result {
    health::answer_kind kind{health::answer_kind::ok};
    bool connected{false};          ///< a new connection to the target was opened
    bool request_bytes_sent{false}; ///< at least one byte of the request was written
    bool answer_partly_sent{false}; ///< a part of the answer was already sent to the caller
    /// The target accepted a new connection after the one with the request had been lost, so it
    /// didn't crash. Only for connection_lost.
    bool target_is_up{false};
    /// The target was silent while it had the request; nothing if a byte of the answer came.
    std::optional<silence> silent;
    int status{0}; ///< status code of the answer; 0 without an answer
    /// What a node states in a refusal of its own; nothing if the answer is a target's.
    std::optional<outcome> node_refusal;
    bool draining{false};           ///< the target announced that it is draining
    bool misdirected{false};        ///< status 421: another target has the address
    std::int32_t reported_load{-1}; ///< running and waiting requests of the target; -1: unknown
    health::rate_limit_statement rate_limit; ///< what the answer states; nothing without one
    nanoseconds pause{0}; ///< time from `ended` in which the target takes no requests of this node
    instant sent{};       ///< directly before the first byte of the request was written
    instant ended{};      ///< when the answer's head had been read or the attempt failed

    /// \returns whether the target seems to have crashed while it ran the request
    [[nodiscard]] bool shows_crash() const {
        return kind == health::answer_kind::connection_lost && request_bytes_sent && !target_is_up;
    }
};

/// \brief Interface that decides how requests are handled. It is called on the threads that serve
/// callers, so implementations must be thread-safe.
///
/// The calls for one request are first_step(), then on_attempt_ended() after each attempt, and
/// finish_request() at the end.
class dispatcher {
public:
    dispatcher() = default;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    virtual ~dispatcher() = default;

    /// \brief Decides the first step. May block until the deadline while the request is queued, but
    ///        not for long after its caller has left.
    [[nodiscard]] virtual step first_step(const request_info& request) = 0;

    /// \brief Called directly before the first byte of an attempt is sent.
    /// \returns false when the request must not be sent any more, because its deadline passed or
    /// the process was paused
    [[nodiscard]] virtual bool may_send(const request_info& request) = 0;

    /// \brief Called when a target has been silent for the route's `first_byte`.
    /// \returns true to end the attempt because another target can take the request at once; false
    /// to continue waiting
    [[nodiscard]] virtual bool may_retry_elsewhere(const request_info& request) = 0;

    /// \brief Reports an answer or a failed attempt, and decides the next step.
    ///
    /// An answer of at most 64 KB (1 MiB on a route with idempotent requests) is reported after it
    /// has been read completely, and a larger one when its head has been read. If the larger answer
    /// is truncated later, the attempt is reported again with answer_partly_sent set, and the
    /// returned step is ignored. An attempt that may_send() forbade is reported as cancelled with
    /// no byte sent. If nothing is returned for an attempt without an answer, the caller gets a
    /// refusal that depends on the kind of failure.
    /// \returns nothing if the answer is to be sent to the caller, else the next step
    [[nodiscard]] virtual std::optional<step> on_attempt_ended(const request_info& request,
                                                               const attempt_result& attempt) = 0;

    /// \brief Reports that the connection of an attempt ended without a byte of the answer, after
    ///        the attempt had been given up while its target was silent. The request may have
    ///        finished before.
    virtual void on_abandoned_connection_lost(const request_info& request, const target_id& target,
                                              const silence& silent) = 0;

    /// \brief Ends the request and frees its slot. Called exactly once, after first_step().
    /// \param answer_completed true when the caller was sent a complete answer
    /// \param answer the answer if the step had store_answer set and the body was small enough,
    /// else null
    virtual void finish_request(const request_info& request, bool answer_completed,
                                std::shared_ptr<const stored_answer> answer) = 0;
};

} // namespace wigeonrill::traffic

#endif
