#include "wigeonrill/tool.h"

#include "commands.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>

namespace wigeonrill::tool {

namespace {

// Preserves the order of the keys in the pages, which is also the order of the table columns.
using json = nlohmann::ordered_json;

// Formats a value for a table: decimals with two digits, null as "-".
std::string format_cell(const json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_float()) {
        std::array<char, 32> buf{};
        const auto n = std::snprintf(buf.data(), buf.size(), "%.2f", value.get<double>());
        return {buf.data(), static_cast<std::size_t>(n)};
    }
    return value.is_null() ? "-" : value.dump();
}

// Parses the JSON text of a page. The result is a discarded value if the text is not valid.
json parse_page(const std::string& text) {
    return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Returns the columns of a table: all keys that occur in the rows, in the order of their first
// occurrence.
std::vector<std::string> collect_columns(const std::vector<json>& rows) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

std::string format_rows(const std::vector<json>& rows) {
    const auto columns = collect_columns(rows);
    if (columns.empty()) {
        return "nothing to show\n";
    }
    text_table table(columns);
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const auto& column : columns) {
            cells.push_back(row.contains(column) ? format_cell(row.at(column)) : "-");
        }
        table.add_row(std::move(cells));
    }
    return table.text();
}

// Returns the table rows of a page: each element of an array is a row, and an object is one row.
std::vector<json> to_rows(const json& page) {
    if (page.is_array()) {
        return {page.begin(), page.end()};
    }
    return {page};
}

struct fetched_page {
    endpoint node;
    json content;
};

// Calls request_page for each node and appends the pages of those that answered. Prints an error
// for each of the others.
exit_code fetch_pages(const std::vector<endpoint>& nodes,
                      const std::function<result<std::string>(const admin_client&)>& request_page,
                      std::vector<fetched_page>& pages) {
    auto code = exit_code::success;
    for (const auto& node : nodes) {
        const auto text = request_page(admin_client(node));
        if (!text) {
            std::cerr << "wigeonrill: " << to_string(text.error()) << '\n';
            const bool refused = text.error().kind == error_kind::conflict;
            code = std::max(code, refused ? exit_code::negative_result : exit_code::unreachable);
            continue;
        }
        pages.push_back({node, parse_page(*text)});
    }
    return code;
}

void print_json(const std::vector<fetched_page>& pages) {
    json all = json::object();
    for (const auto& it : pages) {
        all[to_string(it.node)] = it.content;
    }
    std::cout << all.dump(2) << '\n';
}

void print_tables(const std::vector<fetched_page>& pages) {
    std::vector<json> rows;
    for (const auto& page : pages) {
        for (auto& row : to_rows(page.content)) {
            json row_with_node = json::object({{"node", to_string(page.node)}});
            row_with_node.update(row);
            rows.push_back(std::move(row_with_node));
        }
    }
    std::cout << format_rows(rows);
}

exit_code
fetch_and_print(const std::vector<endpoint>& nodes,
                const std::function<result<std::string>(const admin_client&)>& request_page,
                bool as_json) {
    std::vector<fetched_page> pages;
    const auto code = fetch_pages(nodes, request_page, pages);
    if (as_json) {
        print_json(pages);
    } else if (!pages.empty()) {
        print_tables(pages);
    }
    return code;
}

// Formats an object on one line: "name w1, known true".
std::string format_object(const json& object) {
    std::string text;
    for (const auto& [key, value] : object.items()) {
        text += (text.empty() ? "" : ", ") + key + " " + format_cell(value);
    }
    return text;
}

void print_explanation(const json& page) {
    for (const auto& [key, value] : page.items()) {
        if (!value.is_array()) {
            std::cout << key << ": "
                      << (value.is_object() ? format_object(value) : format_cell(value)) << '\n';
        }
    }
    for (const char* table : {"services", "targets"}) {
        std::cout << '\n' << format_rows(to_rows(page.value(table, json::array())));
    }
}

std::string explain_path(const explain_query& query) {
    Poco::URI uri("/explain");
    uri.addQueryParameter("method", query.method);
    uri.addQueryParameter("host", query.host);
    uri.addQueryParameter("path", query.path);
    uri.addQueryParameter("workspace", query.workspace);
    uri.addQueryParameter("size", std::to_string(query.body_bytes));
    if (query.deadline_ms) {
        uri.addQueryParameter("deadline_ms", std::to_string(*query.deadline_ms));
    }
    return uri.toString();
}

} // namespace

exit_code show_page(const std::string& page, const std::vector<endpoint>& nodes, bool json) {
    return fetch_and_print(
        nodes, [&](const admin_client& client) { return client.get("/" + page); }, json);
}

exit_code drain_nodes(const std::vector<endpoint>& nodes, bool json) {
    return fetch_and_print(
        nodes, [](const admin_client& client) { return client.post("/drain"); }, json);
}

exit_code explain_request(const std::vector<endpoint>& nodes, const explain_query& query,
                          bool json) {
    const auto path = explain_path(query);
    std::vector<fetched_page> pages;
    const auto code = fetch_pages(
        nodes, [&](const admin_client& client) { return client.get(path); }, pages);
    if (json) {
        print_json(pages);
        return code;
    }
    for (const auto& it : pages) {
        std::cout << "node: " << to_string(it.node) << '\n';
        print_explanation(it.content);
    }
    return code;
}

} // namespace wigeonrill::tool
