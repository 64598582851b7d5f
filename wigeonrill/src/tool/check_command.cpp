#include "wigeonrill/tool.h"

#include "remote_commands.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace wigeonrill::tool {

exit_code check_files(const std::vector<std::string>& files, bool json) {
    auto code = exit_code::success;
    auto rows = nlohmann::ordered_json::array();
    for (const auto& it : files) {
        const auto checked = config::load_file(it);
        nlohmann::ordered_json row;
        row["file"] = it;
        row["valid"] = checked.has_value();
        if (checked) {
            row["version"] = checked->version;
        } else {
            row["message"] = checked.error().message;
            row["remedy"] = checked.error().remedy;
            code = exit_code::negative;
        }
        if (!json) {
            std::cout << (checked ? it + ": valid, version " + std::to_string(checked->version)
                                  : to_string(checked.error()))
                      << '\n';
        }
        rows.push_back(std::move(row));
    }
    if (json) {
        std::cout << rows.dump(2) << '\n';
    }
    return code;
}

} // namespace wigeonrill::tool
