#include "wigeonrill/config.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_set>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

// The document's own depth is 6; the limit bounds the work for hostile input.
constexpr std::size_t deepest = 16;
constexpr std::uint64_t largest_file = 256ULL * 1024 * 1024;

struct structure_fault {
    std::string what;
    std::string remedy;
};

// Refuses duplicate keys, which the parser would otherwise resolve silently to the last one.
// A pass of its own: the parser with a callback searches the enclosing object again after each
// inner one, which is quadratic in the number of workspaces.
class structure_check final : public json::json_sax_t {
public:
    std::optional<structure_fault> found;

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(true); }
    bool start_array(std::size_t) override { return enter(false); }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    bool key(string_t& text) override {
        open_.back().last_key = text;
        if (open_.back().keys.insert(text).second) {
            return true;
        }
        found = {path() + ": duplicate key", "keep one of the two entries"};
        return false;
    }
    // The second pass reports syntax errors.
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false;
    }

private:
    struct scope {
        bool object;
        std::unordered_set<std::string> keys;
        std::string last_key;
    };

    bool enter(bool object) {
        if (open_.size() >= deepest) {
            found = {path() + ": values are nested more than 16 deep",
                     "remove the nesting; no key of this format needs it"};
            return false;
        }
        open_.push_back({object, {}, {}});
        return true;
    }

    bool leave() {
        open_.pop_back();
        return true;
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
        json::sax_parse(text, &check, json::input_format_t::json, true, true);
        if (check.found) {
            return failed(error_kind::invalid_input, source + ": " + check.found->what,
                          check.found->remedy);
        }
        auto root = std::make_unique<json>(json::parse(text, nullptr, true, true));
        return json_document(std::move(root));
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
