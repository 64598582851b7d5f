#include "wigeonrill/config.h"

#include <charconv>
#include <cstdio>
#include <limits>

namespace wigeonrill::config {

namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<unit, 4> duration_units{
    {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<unit, 7> size_units{{{"B", 1},
                                          {"kB", 1'000},
                                          {"MB", 1'000'000},
                                          {"GB", 1'000'000'000},
                                          {"KiB", 1'024},
                                          {"MiB", 1'048'576},
                                          {"GiB", 1'073'741'824}}};

// Largest accepted quantity. Half of the range leaves room to add two times without overflow (292
// million years in ms).
constexpr std::uint64_t max_quantity = std::numeric_limits<std::int64_t>::max() / 2;

template <std::size_t Size>
std::optional<std::uint64_t> parse_quantity(std::string_view text,
                                            const std::array<unit, Size>& units) {
    std::uint64_t count = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, count);
    if (ec != std::errc{}) {
        return std::nullopt;
    }
    const auto name = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& it : units) {
        if (it.name == name) {
            return count <= max_quantity / it.factor ? std::optional(count * it.factor)
                                                     : std::nullopt;
        }
    }
    return std::nullopt;
}

// Parses count decimal digits at a position. Returns nothing if they are not all there.
std::optional<int> parse_digits(std::string_view text, std::size_t at, std::size_t count) {
    if (at + count > text.size()) {
        return std::nullopt;
    }
    int value = 0;
    for (const char it : text.substr(at, count)) {
        if (it < '0' || it > '9') {
            return std::nullopt;
        }
        value = value * 10 + (it - '0');
    }
    return value;
}

// Parses the offset from UTC at the end of a time: "Z", "+hh:mm" or "-hh:mm".
std::optional<std::chrono::minutes> parse_offset(std::string_view text) {
    if (text == "Z" || text == "z") {
        return std::chrono::minutes{0};
    }
    const auto hours = parse_digits(text, 1, 2);
    const auto minutes = parse_digits(text, 4, 2);
    const bool well_formed =
        text.size() == 6 && (text[0] == '+' || text[0] == '-') && text[3] == ':';
    if (!well_formed || !hours || !minutes || *hours > 23 || *minutes > 59) {
        return std::nullopt;
    }
    const std::chrono::minutes offset{*hours * 60 + *minutes};
    return text[0] == '-' ? -offset : offset;
}

// Removes a fraction such as ".123" from the front of the text and returns it. Digits after the
// third are ignored. Returns 0 if there is no fraction, and nothing if the point has no digits
// after it.
std::optional<milliseconds> consume_fraction(std::string_view& text) {
    if (text.empty() || text.front() != '.') {
        return milliseconds{0};
    }
    int value = 0;
    int scale = 100;
    std::size_t used = 1;
    for (; used < text.size() && text[used] >= '0' && text[used] <= '9'; ++used) {
        value += (text[used] - '0') * scale;
        scale /= 10;
    }
    if (used == 1) {
        return std::nullopt;
    }
    text.remove_prefix(used);
    return milliseconds{value};
}

// Parses seconds with decimals, such as "2.5s". A fourth decimal is an error, because it would be
// lost.
std::optional<milliseconds> parse_decimal_seconds(std::string_view text) {
    constexpr std::size_t most_decimals = 3;
    const auto point = text.find('.');
    if (point == std::string_view::npos || text.back() != 's' ||
        text.size() - point - 2 > most_decimals) {
        return std::nullopt;
    }
    auto rest = text.substr(point);
    const auto fraction = consume_fraction(rest);
    const auto whole = parse_quantity(std::string(text.substr(0, point)) + "s", duration_units);
    if (!fraction || !whole || rest != "s") {
        return std::nullopt;
    }
    return milliseconds{static_cast<std::int64_t>(*whole)} + *fraction;
}

std::optional<std::chrono::sys_days> parse_date(std::string_view text) {
    const auto year = parse_digits(text, 0, 4);
    const auto month = parse_digits(text, 5, 2);
    const auto day = parse_digits(text, 8, 2);
    if (!year || !month || !day || text[4] != '-' || text[7] != '-') {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year{*year},
                                           std::chrono::month{static_cast<unsigned>(*month)},
                                           std::chrono::day{static_cast<unsigned>(*day)}};
    return date.ok() && *year >= 1970 && *year < 2200 ? std::optional(std::chrono::sys_days{date})
                                                      : std::nullopt;
}

std::optional<wall_time> parse_rfc3339(std::string_view text) {
    constexpr std::size_t fixed_length = 19; // yyyy-mm-ddThh:mm:ss
    if (text.size() <= fixed_length || text[10] != 'T' || text[13] != ':' || text[16] != ':') {
        return std::nullopt;
    }
    const auto date = parse_date(text);
    const auto hour = parse_digits(text, 11, 2);
    const auto minute = parse_digits(text, 14, 2);
    const auto second = parse_digits(text, 17, 2);
    auto rest = text.substr(fixed_length);
    const auto fraction = consume_fraction(rest);
    const auto offset = fraction ? parse_offset(rest) : std::nullopt;
    if (!date || !hour || !minute || !second || !offset || *hour > 23 || *minute > 59 ||
        *second > 59) {
        return std::nullopt;
    }
    return wall_time{*date} + std::chrono::hours{*hour} + std::chrono::minutes{*minute} +
           seconds{*second} + *fraction - *offset;
}

} // namespace

result<milliseconds> parse_duration(std::string_view text) {
    if (const auto count = parse_quantity(text, duration_units)) {
        return milliseconds{static_cast<std::int64_t>(*count)};
    }
    if (const auto duration = parse_decimal_seconds(text)) {
        return *duration;
    }
    return failed(error_kind::invalid_input, "\"" + std::string(text) + "\" is not a duration",
                  "write a whole number with ms, s, m or h, such as \"250ms\" or \"6h\", or "
                  "seconds with up to three decimals, such as \"2.5s\"");
}

result<std::uint64_t> parse_size(std::string_view text) {
    if (const auto count = parse_quantity(text, size_units)) {
        return *count;
    }
    return failed(
        error_kind::invalid_input, "\"" + std::string(text) + "\" is not a size",
        "write a whole number with B, KiB, MiB, GiB, kB, MB or GB, such as \"64KiB\", or an "
        "integer number of bytes");
}

result<wall_time> parse_time(std::string_view text) {
    if (const auto time = parse_rfc3339(text)) {
        return *time;
    }
    return failed(error_kind::invalid_input, "\"" + std::string(text) + "\" is not a time",
                  "write a time in the format of RFC 3339, from 1970 to 2199, such as "
                  "\"2026-03-01T08:30:00Z\"");
}

std::string format_time(wall_time time) {
    const auto at = std::chrono::floor<milliseconds>(time);
    const auto day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss time_of_day{at - day};
    std::array<char, 40> buf{};
    std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(time_of_day.hours().count()),
                  static_cast<int>(time_of_day.minutes().count()),
                  static_cast<int>(time_of_day.seconds().count()),
                  static_cast<int>(time_of_day.subseconds().count()));
    return buf.data();
}

} // namespace wigeonrill::config
