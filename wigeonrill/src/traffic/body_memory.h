#ifndef WIGEONRILL_TRAFFIC_BODY_MEMORY_H
#define WIGEONRILL_TRAFFIC_BODY_MEMORY_H

#ifndef WIGEONRILL_TRAFFIC_MODULE
#error "Include wigeonrill/traffic.h instead of this file."
#endif

namespace wigeonrill::traffic::detail {

/// \brief Memory that all requests of a server share for large bodies. Thread-safe.
class body_memory {
public:
    /// \param limit bytes that may be reserved at the same time
    explicit body_memory(std::uint64_t limit) : free_(limit) {}

    /// \brief Reserves bytes.
    /// \returns false when fewer are free; then none are reserved
    [[nodiscard]] bool reserve(std::uint64_t bytes);
    /// \brief Returns reserved bytes.
    void release(std::uint64_t bytes);

private:
    std::mutex mutex_;
    std::uint64_t free_;
};

/// \brief Bytes that one request has reserved in a body_memory. They are released at its end.
class body_reservation {
public:
    body_reservation() = default;
    /// \param memory must outlive this object
    explicit body_reservation(body_memory& memory) : memory_(&memory) {}
    body_reservation(body_reservation&& other) noexcept
        : memory_(std::exchange(other.memory_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    body_reservation& operator=(body_reservation&& other) noexcept;
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;
    ~body_reservation();

    /// \brief Reserves further bytes.
    /// \returns false when the memory has fewer left
    [[nodiscard]] bool grow(std::uint64_t bytes);
    /// \returns the number of reserved bytes
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    body_memory* memory_{nullptr};
    std::uint64_t bytes_{0};
};

} // namespace wigeonrill::traffic::detail

#endif
