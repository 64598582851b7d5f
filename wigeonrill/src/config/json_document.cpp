#include "wigeonrill/config.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_set>

namespace wigeonrill::config {

namespace {

using nlohmann::json;

// Valid documents have a depth of 6. The limit bounds the work that malicious input can cause.
constexpr std::size_t max_depth = 16;
constexpr std::uint64_t max_file_bytes = 256ULL * 1024 * 1024;

struct structure_error {
    std::string what;
    std::string remedy;
};

// Rejects duplicate keys, of which the parser would silently keep the last one, and deep nesting.
// This is a separate pass because a parser callback would be too slow: after each inner object, the
// parser searches the enclosing object again, which is quadratic in the number of workspaces.
class structure_checker final : public json::json_sax_t {
public:
    std::optional<structure_error> first_error;

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return begin_container(true); }
    bool start_array(std::size_t) override { return begin_container(false); }
    bool end_object() override { return end_container(); }
    bool end_array() override { return end_container(); }
    bool key(string_t& text) override {
        open_containers_.back().last_key = text;
        if (open_containers_.back().keys.insert(text).second) {
            return true;
        }
        first_error = {path() + ": duplicate key", "keep one of the two entries"};
        return false;
    }
    // Syntax errors are reported by the second pass, in json_document::parse().
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false;
    }

private:
    struct container {
        bool is_object; ///< false: an array
        std::unordered_set<std::string> keys;
        std::string last_key;
    };

    bool begin_container(bool is_object) {
        if (open_containers_.size() >= max_depth) {
            first_error = {path() + ": values are nested more than 16 deep",
                           "remove the nesting; no key of this format needs it"};
            return false;
        }
        open_containers_.push_back({is_object, {}, {}});
        return true;
    }

    bool end_container() {
        open_containers_.pop_back();
        return true;
    }

    [[nodiscard]] std::string path() const {
        std::string text;
        for (const auto& it : open_containers_) {
            const auto part = it.is_object ? it.last_key : std::string("[]");
            text += text.empty() ? part : "." + part;
        }
        return text;
    }

    std::vector<container> open_containers_;
};

std::size_t line_number(std::string_view text, std::size_t byte) {
    const auto preceding = text.substr(0, std::min(byte, text.size()));
    return 1 + static_cast<std::size_t>(std::count(preceding.begin(), preceding.end(), '\n'));
}

} // namespace

json_document::json_document(std::unique_ptr<json> root) : root_(std::move(root)) {}
json_document::json_document(json_document&& other) noexcept = default;
json_document& json_document::operator=(json_document&& other) noexcept = default;
json_document::~json_document() = default;

result<json_document> json_document::parse(std::string_view text, const std::string& source) {
    try {
        structure_checker check;
        json::sax_parse(text, &check, json::input_format_t::json, true, true);
        if (check.first_error) {
            return failed(error_kind::invalid_input, source + ": " + check.first_error->what,
                          check.first_error->remedy);
        }
        auto root = std::make_unique<json>(json::parse(text, nullptr, true, true));
        return json_document(std::move(root));
    } catch (const json::parse_error& failure) {
        const auto line = std::to_string(line_number(text, failure.byte));
        return failed(error_kind::invalid_input,
                      source + ":" + line + ": not valid JSON: " + failure.what(),
                      "correct the syntax at this line");
    } catch (const json::exception& failure) {
        return failed(error_kind::invalid_input, source + ": " + failure.what(),
                      "write numbers within the range of 64-bit integers");
    }
}

result<json_document> json_document::load(const std::string& path) {
    const auto text = read_file(path, max_file_bytes);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parse(*text, path);
}

result<std::string> read_file(const std::string& path, std::uint64_t max_bytes) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failed(error_kind::not_found, path + ": the file can't be opened",
                      "check the path and the read permission");
    }
    std::string content;
    std::array<char, 65536> buf{};
    while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
        content.append(buf.data(), static_cast<std::size_t>(in.gcount()));
        if (content.size() > max_bytes) {
            return failed(error_kind::invalid_input,
                          path + ": the file is larger than " + std::to_string(max_bytes) +
                              " bytes",
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
