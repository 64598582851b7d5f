#ifndef WIGEONRILL_CONFIG_SHARED_LIST_H
#define WIGEONRILL_CONFIG_SHARED_LIST_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief List that is shared between copies until one of them is changed (copy on write).
///
/// Consecutive snapshots share their 310,000 workspaces when only a route changed. Const access is
/// safe from several threads; a list that is being changed belongs to one thread.
template <typename Value>
class shared_list {
public:
    using value_type = Value;
    using const_iterator = typename std::vector<Value>::const_iterator;

    shared_list() = default;
    // Implicit, so that a list can be set from a vector or braces like a vector member.
    shared_list(std::vector<Value> values)
        : values_(std::make_shared<std::vector<Value>>(std::move(values))) {}
    shared_list(std::initializer_list<Value> values) : shared_list(std::vector<Value>(values)) {}

    [[nodiscard]] const std::vector<Value>& values() const {
        static const std::vector<Value> none;
        return values_ ? *values_ : none;
    }
    [[nodiscard]] const_iterator begin() const { return values().begin(); }
    [[nodiscard]] const_iterator end() const { return values().end(); }
    [[nodiscard]] std::size_t size() const { return values().size(); }
    [[nodiscard]] bool empty() const { return values().empty(); }
    [[nodiscard]] const Value& operator[](std::size_t index) const { return values()[index]; }
    [[nodiscard]] const Value& at(std::size_t index) const { return values().at(index); }
    [[nodiscard]] const Value& front() const { return values().front(); }
    [[nodiscard]] const Value& back() const { return values().back(); }

    /// \brief Appends a value; copies the list first when it is shared.
    void push_back(Value value) { own().push_back(std::move(value)); }
    /// \returns the list for changes; copied first when it is shared
    [[nodiscard]] std::vector<Value>& own() {
        if (!values_ || values_.use_count() > 1) {
            values_ = std::make_shared<std::vector<Value>>(values());
        }
        return *values_;
    }

    friend bool operator==(const shared_list& left, const shared_list& right) {
        return left.values_ == right.values_ || left.values() == right.values();
    }

private:
    std::shared_ptr<std::vector<Value>> values_;
};

} // namespace wigeonrill::config

#endif
