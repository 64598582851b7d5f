#include "wigeonrill/tool.h"

#include "log_record.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>

namespace wigeonrill::tool {

namespace {

constexpr std::string_view time_format = "%Y-%m-%dT%H:%M:%s%z"; // %s: seconds with a fraction
constexpr std::string_view time_shape = "dddd-dd-ddTdd:dd:dd.dddddd";
constexpr std::string_view zone_shape = "+dd:dd";

bool is_digit(char it) {
    return it >= '0' && it <= '9';
}

bool is_word_character(char it) {
    return is_digit(it) || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || it == '-' ||
           it == '_' || it == '.';
}

// In a shape, d stands for a digit and + for either sign.
bool has_shape(std::string_view text, std::string_view shape) {
    if (text.size() < shape.size()) {
        return false;
    }
    for (std::size_t i = 0; i < shape.size(); ++i) {
        const bool fits = shape[i] == 'd'   ? is_digit(text[i])
                          : shape[i] == '+' ? text[i] == '+' || text[i] == '-'
                                            : text[i] == shape[i];
        if (!fits) {
            return false;
        }
    }
    return true;
}

bool begins_with_time(std::string_view text) {
    return has_shape(text, time_shape) && has_shape(text.substr(time_shape.size()), zone_shape);
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, last - first + 1);
}

// Returns the text between quotes, without the escapes of log_line.
std::string unquote(std::string_view text) {
    std::string value;
    for (std::size_t i = 1; i < text.size() && text[i] != '"'; ++i) {
        i += text[i] == '\\' && i + 1 < text.size() ? 1 : 0;
        value += text[i];
    }
    return value;
}

} // namespace

std::optional<std::string> log_record::field(std::string_view name) const {
    const auto key = " " + std::string(name) + "=";
    const auto at = text.find(key);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto value = std::string_view(text).substr(at + key.size());
    if (!value.empty() && value.front() == '"') {
        return unquote(value);
    }
    // In sentences, a colon ends a value.
    auto plain = value.substr(0, value.find(' '));
    plain.remove_suffix(!plain.empty() && plain.back() == ':' ? 1 : 0);
    return std::string(plain);
}

bool log_record::mentions(std::string_view word) const {
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        const auto end = at + word.size();
        if ((at == 0 || !is_word_character(text[at - 1])) &&
            (end == text.size() || !is_word_character(text[end]))) {
            return true;
        }
    }
    return false;
}

std::optional<log_record> parse_log_line(std::string_view line) {
    std::size_t at = 0;
    while (at < line.size() && !begins_with_time(line.substr(at))) {
        ++at;
    }
    const auto time_length = time_shape.size() + zone_shape.size();
    if (at >= line.size()) {
        return std::nullopt;
    }
    const auto rest = trim(line.substr(at + time_length));
    const auto level_end = rest.find(' ');
    Poco::DateTime parsed;
    int zone_offset_s = 0;
    if (level_end == std::string_view::npos ||
        !Poco::DateTimeParser::tryParse(std::string(time_format),
                                        std::string(line.substr(at, time_length)), parsed,
                                        zone_offset_s)) {
        return std::nullopt;
    }
    parsed.makeUTC(zone_offset_s);
    log_record record;
    record.when = wall_time{} + std::chrono::microseconds(parsed.timestamp().epochMicroseconds());
    record.origin = trim(line.substr(0, at));
    record.level = rest.substr(0, level_end);
    record.text = trim(rest.substr(level_end));
    return record;
}

std::string format_log_time(wall_time when) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch());
    return Poco::DateTimeFormatter::format(Poco::Timestamp(micros.count()),
                                           "%Y-%m-%dT%H:%M:%S.%F") +
           "Z";
}

} // namespace wigeonrill::tool
