#include "wigeonrill/config.h"

#include "wigeonrill/src/config/section_parsers.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace wigeonrill::config {

snapshot parse_sections(checked_object& root) {
    snapshot it;
    const auto format = root.number("format", 1, std::numeric_limits<std::int64_t>::max());
    if (format != format_version) {
        root.fail("format", std::to_string(format) + " is not a format that this build reads",
                  "write 1, or upgrade this program");
    }
    it.version = root.number("version", 1, std::numeric_limits<std::int64_t>::max());
    it.published = root.time("published");
    auto rules = root.object("rules");
    parse_rules(rules, it);
    rules.reject_unread_keys();
    auto services = root.object("services", true);
    services.for_each_member([&it](const std::string& name, checked_object& member) {
        it.services.push_back(parse_service(name, member));
    });
    auto routes = root.object("routes");
    parse_routes(routes, it.routes);
    auto workspaces = root.object("workspaces");
    parse_workspaces(workspaces, it.workspaces.mutable_values());
    parse_key_owners(root, it);
    parse_vms(root, it.vms);
    std::ranges::sort(it.vms, {}, &vm_record::address);
    root.reject_unread_keys();
    return it;
}

result<snapshot> parse_document(std::string_view text, const std::string& source_name,
                                std::set<std::string>* known_keys) {
    const auto document = json_document::parse(text, source_name);
    if (!document) {
        return tl::unexpected(document.error());
    }
    parse_context context{source_name, std::nullopt, known_keys};
    checked_object root(document->root(), "", context);
    auto parsed = parse_sections(root);
    if (context.first_error) {
        return tl::unexpected(*context.first_error);
    }
    if (auto valid = validate(parsed); !valid) {
        auto validation_error = valid.error();
        validation_error.message = source_name + ": " + validation_error.message;
        return tl::unexpected(std::move(validation_error));
    }
    return parsed;
}

result<snapshot> load_file(const std::string& path) {
    constexpr std::uint64_t max_file_bytes = 256ULL * 1024 * 1024;
    const auto text = read_file(path, max_file_bytes);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse_document(*text, path);
}

} // namespace wigeonrill::config
