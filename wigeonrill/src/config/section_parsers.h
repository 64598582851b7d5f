#ifndef WIGEONRILL_CONFIG_SECTION_PARSERS_H
#define WIGEONRILL_CONFIG_SECTION_PARSERS_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

// Parsers of the sections of a configuration, used for whole documents and for shards.

/// \brief Parses a whole document.
[[nodiscard]] snapshot parse_sections(checked_object& root);
/// \brief Parses "resend_window" and "owner_lease" from the object of rules.
void parse_rules(checked_object& object, snapshot& into);
/// \brief Parses the list of key owner sets under the key "key_owners" of parent.
void parse_key_owners(checked_object& parent, snapshot& into);
/// \brief Parses one service; the caller passes its name, which stands outside the object.
[[nodiscard]] service parse_service(const std::string& name, checked_object& object);
/// \brief Parses an object whose members are routes.
void parse_routes(checked_object& object, std::vector<route>& into);
/// \brief Parses an object whose members are workspaces.
void parse_workspaces(checked_object& object, std::vector<workspace>& into);
/// \brief Parses the list of VM records under the key "vms" of parent.
void parse_vms(checked_object& parent, std::vector<vm_record>& into);

} // namespace wigeonrill::config

#endif
