#include "wigeonrill/config.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_set>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

// The document's own depth is 6; the limit bounds the work for hostile input.
constexpr int deepest = 16;
constexpr std::uint64_t largest_file = 256ULL * 1024 * 1024;

struct structure_fault {
    std::string what;
    std::string remedy;
};

// Refuses duplicate keys, which the parser would otherwise resolve silently to the last one.
class structure_check {
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start ||
            event == json::parse_event_t::array_start) {
            enter(depth, event == json::parse_event_t::object_start);
        } else if (event == json::parse_event_t::key) {
            add_key(parsed.get_ref<const std::string&>());
        } else if (event == json::parse_event_t::object_end ||
                   event == json::parse_event_t::array_end) {
            open_.pop_back();
        }
        return true;
    }

private:
    struct scope {
        bool object;
        std::unordered_set<std::string> keys;
        std::string last_key;
    };

    void enter(int depth, bool object) {
        if (depth >= deepest) {
            throw structure_fault{path() + ": values are nested more than 16 deep",
                                  "remove the nesting; no key of this format needs it"};
        }
        open_.push_back({object, {}, {}});
    }

    void add_key(const std::string& key) {
        open_.back().last_key = key;
        if (!open_.back().keys.insert(key).second) {
            throw structure_fault{path() + ": duplicate key", "keep one of the two entries"};
        }
    }

    [[nodiscard]] std::string path() const {
        std::string text;
        for (const auto& it : open_) {
            const auto part = it.object ? it.last_key : std::string("[]");
            text += text.empty() ? part : "." + part;
        }
        return text;
    }

    std::vector<scope> open_;
};

std::size_t line_of(std::string_view text, std::size_t byte) {
    const auto head = text.substr(0, std::min(byte, text.size()));
    return 1 + static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
}

} // namespace

json_document::json_document(std::unique_ptr<json> root) : root_(std::move(root)) {}
json_document::json_document(json_document&& other) noexcept = default;
json_document& json_document::operator=(json_document&& other) noexcept = default;
json_document::~json_document() = default;

result<json_document> json_document::parse(std::string_view text, const std::string& source) {
    try {
        structure_check check;
        auto callback = [&check](int depth, json::parse_event_t event, json& parsed) {
            return check(depth, event, parsed);
        };
        auto root = std::make_unique<json>(json::parse(text, callback, true, true));
        return json_document(std::move(root));
    } catch (const structure_fault& fault) {
        return failed(error_kind::invalid_input, source + ": " + fault.what, fault.remedy);
    } catch (const json::parse_error& fault) {
        const auto line = std::to_string(line_of(text, fault.byte));
        return failed(error_kind::invalid_input,
                      source + ":" + line + ": not valid JSON: " + fault.what(),
                      "correct the syntax at this line");
    } catch (const json::exception& fault) {
        return failed(error_kind::invalid_input, source + ": " + fault.what(),
                      "write numbers within the range of 64-bit integers");
    }
}

result<json_document> json_document::load(const std::string& path) {
    const auto text = read_file(path, largest_file);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse(*text, path);
}

result<std::string> read_file(const std::string& path, std::uint64_t most) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failed(error_kind::not_found, path + ": the file can't be opened",
                      "check the path and the read permission");
    }
    std::string content;
    std::array<char, 65536> buf{};
    while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
        content.append(buf.data(), static_cast<std::size_t>(in.gcount()));
        if (content.size() > most) {
            return failed(error_kind::invalid_input,
                          path + ": the file is larger than " + std::to_string(most) + " bytes",
                          "split the file or remove what is not needed");
        }
    }
    if (in.bad()) {
        return failed(error_kind::unavailable, path + ": the file can't be read",
                      "check that it is a regular file");
    }
    return content;
}

} // namespace wigeonrill::config
