#ifndef WIGEONRILL_TRAFFIC_DISPATCHER_H
#define WIGEONRILL_TRAFFIC_DISPATCHER_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic {

/// \brief What the decisions need to know about a request. Bodies are not part of it.
struct request_info {
    std::uint64_t id{0}; ///< unique in this process
    std::string name;    ///< the caller's name of the request, for logs; empty: none
    std::string method;
    std::string host; ///< Host header without the port
    std::string path; ///< path without the query, percent-encoding as received
    std::string query;
    std::string workspace;        ///< header Workspace; empty: none
    std::string idempotency_key;  ///< header Idempotency-Key; empty: none
    std::string caller;           ///< numeric IP address of the caller
    std::uint64_t body_bytes{0};  ///< Content-Length, 0 when unknown
    std::uint64_t body_digest{0}; ///< stable hash of a body that is held in memory, else 0
    bool body_replayable{false};  ///< the body is empty or held in memory, so it can be sent again
    bool from_node{false};        ///< forwarded by another node of the fleet
    instant arrived{};
    instant deadline{}; ///< the earlier of the caller's and, once known, the route's limit
};

/// \brief What to do next with a request.
enum class step_kind : std::uint8_t {
    send,    ///< send it to a target
    forward, ///< forward it to another node, which owns its idempotency key
    replay,  ///< answer with a stored answer
    refuse   ///< answer with a refusal
};

/// \brief Answer kept for a repeated idempotency key.
struct stored_answer {
    int status{200};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// \brief Next step of a request with all that carrying it out needs.
struct step {
    step_kind kind{step_kind::refuse};
    endpoint address;    ///< of the target or the node
    target_id target;    ///< for send
    config::route route; ///< rules of the request; meaningless for a refusal without a route
    instant deadline{};  ///< for the head of the answer
    bool fresh_connection{false}; ///< only a new connection or one used within 1 s will do
    bool store_answer{false};     ///< pass up to 64 KB of the answer to finish_request()
    refusal reason;               ///< for refuse
    std::shared_ptr<const stored_answer> answer; ///< for replay
};

/// \brief How one attempt ended, as the connection code saw it.
struct attempt_result {
    health::answer_kind kind{health::answer_kind::ok};
    bool request_bytes_sent{false};  ///< at least one byte was written to the connection
    bool answer_bytes_passed{false}; ///< the caller already got a part of the answer
    int status{0};                   ///< status of the answer's head, 0: none
    bool draining{false};
    bool misdirected{false}; ///< another target has the address
    std::int32_t reported_load{-1};
    instant sent{};
    instant ended{}; ///< head of the answer, or the failure
};

/// \brief Decisions on requests. Traffic threads call it; implementations are thread-safe.
///
/// Calls for one request: first_step(), then for each attempt on_attempt_ended(), and at the end
/// finish_request().
class dispatcher {
public:
    dispatcher() = default;
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    virtual ~dispatcher() = default;

    /// \brief Decides the first step; may block in the queue until the request's deadline.
    [[nodiscard]] virtual step first_step(const request_info& request) = 0;

    /// \brief Called directly before the first byte goes out to a target.
    /// \returns false when the request must not be sent any more (deadline passed, pause)
    [[nodiscard]] virtual bool may_send(const request_info& request) = 0;

    /// \brief Called when a target has been silent for the route's `first_byte`.
    /// \returns true when another target can get the request at once; false to go on waiting
    [[nodiscard]] virtual bool may_retry_elsewhere(const request_info& request) = 0;

    /// \brief Reports the head of an answer or a failed attempt and asks what to do next.
    ///
    /// An answer of at most 64 KB is reported once it was read whole. A larger one is reported at
    /// its head; when it breaks off later, it is reported a second time with answer_bytes_passed
    /// set, and the step returned then is ignored. An attempt that may_send() forbade is reported
    /// as cancelled with no byte sent. When nothing is returned for an attempt without an answer,
    /// the caller gets a refusal that fits the attempt's kind.
    /// \returns nothing when the answer is to be passed on to the caller; else the next step
    [[nodiscard]] virtual std::optional<step> on_attempt_ended(const request_info& request,
                                                               const attempt_result& attempt) = 0;

    /// \brief Ends the request and frees its slot. Called exactly once after first_step().
    /// \param whole true when the caller was sent a complete answer
    /// \param answer the answer, when the step asked to store it and it was small enough
    virtual void finish_request(const request_info& request, bool whole,
                                std::shared_ptr<const stored_answer> answer) = 0;
};

} // namespace wigeonrill::traffic

#endif
