#ifndef WIGEONRILL_OBSERVE_LOG_LINE_H
#define WIGEONRILL_OBSERVE_LOG_LINE_H

#ifndef WIGEONRILL_OBSERVE_MODULE
#error "Include wigeonrill/observe.h instead of this file."
#endif

namespace wigeonrill::observe {

/// \brief Builds one log line: a short sentence followed by fields as key=value (logfmt).
class log_line {
public:
    /// \param sentence what happened, for example "Request placed."
    explicit log_line(std::string_view sentence) : text_(sentence) {}

    /// \brief Appends a field. The value is quoted if it is empty or has spaces, quotes, equals
    ///        signs, backslashes or control characters.
    /// \returns this object
    log_line& with(std::string_view key, std::string_view value);
    /// \brief Appends a field with an integer.
    /// \returns this object
    log_line& with(std::string_view key, std::int64_t value);
    /// \brief Appends a field with a duration in milliseconds, with three decimal places.
    /// \returns this object
    log_line& with(std::string_view key, nanoseconds value);

    /// \returns sentence and fields, without the time, level and prefix that the sink adds
    [[nodiscard]] const std::string& text() const { return text_; }

private:
    std::string text_;
};

} // namespace wigeonrill::observe

#endif
