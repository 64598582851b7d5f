#ifndef WIGEONRILL_QUOTA_CREDIT_MESSAGES_H
#define WIGEONRILL_QUOTA_CREDIT_MESSAGES_H

#ifndef WIGEONRILL_QUOTA_MODULE
#error "Include wigeonrill/quota.h instead of this file."
#endif

namespace wigeonrill::quota {

/// \brief Request of a node for credit of one workspace, or the return of unused credit.
struct credit_request {
    seat of{0};
    workspace_name workspace;
    std::uint32_t number{0};   ///< repeated in the answer; unique in the sending process
    std::uint32_t wanted{0};   ///< number of requests that wait for credit
    std::uint32_t returned{0}; ///< credit of this granter that was not used

    friend bool operator==(const credit_request&, const credit_request&) = default;
};

/// \brief Message of a node to a granter.
struct credit_ask {
    std::uint32_t known_nodes{0}; ///< nodes that the sender knows, with those that don't respond
    std::vector<seat> votes;      ///< seats for which the sender accepts the granter and no other
    std::vector<seat> withheld;   ///< seats whose vote another granter may still count
    std::vector<credit_request> requests;

    friend bool operator==(const credit_ask&, const credit_ask&) = default;
};

/// \brief Answer to one credit_request.
struct credit_answer {
    std::uint32_t number{0};
    std::uint32_t granted{0};
    milliseconds retry_after{0}; ///< time until the rest is probably available; 0: all was granted

    friend bool operator==(const credit_answer&, const credit_answer&) = default;
};

/// \brief Message of a granter to a node.
struct credit_grant {
    std::vector<credit_answer> answers;

    friend bool operator==(const credit_grant&, const credit_grant&) = default;
};

/// \brief Message with its receiver, which may be the sending node itself.
struct outgoing_ask {
    node_id to;
    credit_ask content;
};

/// \brief Returns the number of requests that one message takes, so that it fits a datagram.
/// \param all requests for one granter, not empty
/// \returns how many of the first ones; at least 1
[[nodiscard]] std::size_t requests_of_one_ask(const std::vector<credit_request>& all);

} // namespace wigeonrill::quota

#endif
