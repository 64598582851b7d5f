#ifndef WIGEONRILL_CONFIG_SECTION_PARSERS_H
#define WIGEONRILL_CONFIG_SECTION_PARSERS_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

// Parsers of the document's sections. The whole document and the shards use the same ones.

/// \brief Reads the whole document below its root object.
[[nodiscard]] snapshot parse_sections(checked_object& root);
/// \brief Reads "resend_window" and "owner_lease".
void parse_rules(checked_object& object, snapshot& into);
/// \brief Reads the list of key owner sets under a key of an object.
void parse_key_owners(checked_object& parent, snapshot& into);
[[nodiscard]] service parse_service(const std::string& name, checked_object& object);
/// \brief Reads routes from an object whose members are routes.
void parse_routes(checked_object& object, std::vector<route>& into);
/// \brief Reads workspaces from an object whose members are workspaces.
void parse_workspaces(checked_object& object, std::vector<workspace>& into);
/// \brief Reads VM records from the list under the key "vms".
void parse_vms(checked_object& parent, std::vector<vm_record>& into);

} // namespace wigeonrill::config

#endif
