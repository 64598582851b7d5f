#ifndef WIGEONRILL_BASE_IDENTIFIER_H
#define WIGEONRILL_BASE_IDENTIFIER_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Strongly typed name. Names of different kinds have different types, so the compiler
/// rejects mixing them up.
/// \tparam Tag distinguishes the kinds of names
template <typename Tag>
struct identifier {
    std::string value;

    identifier() = default;
    explicit identifier(std::string text) : value(std::move(text)) {}

    friend auto operator<=>(const identifier&, const identifier&) = default;
};

using service_name = identifier<struct service_name_tag>; ///< name of a service
using target_id = identifier<struct target_id_tag>;       ///< name of a target
using domain_name = identifier<struct domain_name_tag>;   ///< name of a failure domain
using node_id = identifier<struct node_id_tag>;           ///< "ip:port" of the peer port of a node
using route_name = identifier<struct route_name_tag>;     ///< name of a route
using workspace_name = identifier<struct workspace_name_tag>; ///< name of a workspace

} // namespace wigeonrill

/// \brief Hash of an identifier for unordered containers.
template <typename Tag>
struct std::hash<wigeonrill::identifier<Tag>> {
    std::size_t operator()(const wigeonrill::identifier<Tag>& name) const noexcept {
        return std::hash<std::string>{}(name.value);
    }
};

#endif
