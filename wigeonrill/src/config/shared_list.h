#ifndef WIGEONRILL_CONFIG_SHARED_LIST_H
#define WIGEONRILL_CONFIG_SHARED_LIST_H

#ifndef WIGEONRILL_CONFIG_MODULE
#error "Include wigeonrill/config.h instead of this file."
#endif

namespace wigeonrill::config {

/// \brief A list whose copies share their elements until one copy is modified (copy on write).
///
/// When a new snapshot changes only a route, it shares the 310,000 workspaces of the previous
/// snapshot. Several threads may read a list at the same time. Only one thread may use a list while
/// it is being modified.
template <typename Value>
class shared_list {
public:
    using value_type = Value;
    using const_iterator = typename std::vector<Value>::const_iterator;

    shared_list() = default;
    // Implicit, so that a member of this type can be assigned a vector or a braced list.
    shared_list(std::vector<Value> values)
        : values_(std::make_shared<std::vector<Value>>(std::move(values))) {}
    shared_list(std::initializer_list<Value> values) : shared_list(std::vector<Value>(values)) {}

    [[nodiscard]] const std::vector<Value>& values() const {
        static const std::vector<Value> empty_values;
        return values_ ? *values_ : empty_values;
    }
    [[nodiscard]] const_iterator begin() const { return values().begin(); }
    [[nodiscard]] const_iterator end() const { return values().end(); }
    [[nodiscard]] std::size_t size() const { return values().size(); }
    [[nodiscard]] bool empty() const { return values().empty(); }
    [[nodiscard]] const Value& operator[](std::size_t index) const { return values()[index]; }
    [[nodiscard]] const Value& at(std::size_t index) const { return values().at(index); }
    [[nodiscard]] const Value& front() const { return values().front(); }
    [[nodiscard]] const Value& back() const { return values().back(); }

    /// \brief Appends a value. Copies the elements first if another list shares them.
    void push_back(Value value) { mutable_values().push_back(std::move(value)); }
    /// \brief Gives write access. Copies the elements first if another list shares them.
    /// \returns the elements, which only this list refers to
    [[nodiscard]] std::vector<Value>& mutable_values() {
        if (!values_ || values_.use_count() > 1) {
            values_ = std::make_shared<std::vector<Value>>(values());
        }
        return *values_;
    }

    /// \returns whether both lists have the same elements in memory; two empty lists do
    [[nodiscard]] bool shares_elements_with(const shared_list& other) const {
        return values_ == other.values_;
    }

    friend bool operator==(const shared_list& left, const shared_list& right) {
        return left.values_ == right.values_ || left.values() == right.values();
    }

private:
    std::shared_ptr<std::vector<Value>> values_;
};

} // namespace wigeonrill::config

#endif
