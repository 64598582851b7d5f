#include "wigeonrill/tool.h"

#include "commands.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace wigeonrill::tool {

exit_code check_files(const std::vector<std::string>& files, bool json) {
    auto code = exit_code::success;
    auto rows = nlohmann::ordered_json::array();
    for (const auto& it : config::check_files(files)) {
        nlohmann::ordered_json row;
        row["file"] = it.path;
        row["valid"] = !it.first_error;
        if (it.first_error) {
            row["message"] = it.first_error->message;
            row["remedy"] = it.first_error->remedy;
            code = exit_code::negative_result;
        } else {
            row["summary"] = it.summary;
        }
        if (!json) {
            std::cout << (it.first_error ? to_string(*it.first_error)
                                         : it.path + ": valid, " + it.summary)
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
