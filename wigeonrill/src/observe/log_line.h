#ifndef WIGEONRILL_OBSERVE_LOG_LINE_H
#define WIGEONRILL_OBSERVE_LOG_LINE_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Builder of one log line: a short sentence followed by fields as key=value (logfmt).
class log_line {
public:
    /// \param sentence what happened, such as "Request placed."
    explicit log_line(std::string_view sentence) : text_(sentence) {}

    /// \brief Appends a field; a value with spaces, quotes or control characters is quoted.
    log_line& with(std::string_view key, std::string_view value);
    /// \brief Appends a whole number.
    log_line& with(std::string_view key, std::int64_t value);
    /// \brief Appends a duration in milliseconds with microsecond digits.
    log_line& with(std::string_view key, nanoseconds value);

    /// \returns the line without time, level and prefix
    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

} // namespace wigeonrill::observe

#endif
