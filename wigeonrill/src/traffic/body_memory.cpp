#include "wigeonrill/traffic.h"

#include "wigeonrill/src/traffic/body_memory.h"

namespace wigeonrill::traffic::detail {

bool body_memory::reserve(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    if (bytes > free_) {
        return false;
    }
    free_ -= bytes;
    return true;
}

void body_memory::release(std::uint64_t bytes) {
    const std::lock_guard lock(mutex_);
    free_ += bytes;
}

body_reservation& body_reservation::operator=(body_reservation&& other) noexcept {
    std::swap(memory_, other.memory_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

body_reservation::~body_reservation() {
    if (memory_ != nullptr) {
        memory_->release(bytes_);
    }
}

bool body_reservation::grow(std::uint64_t bytes) {
    if (memory_ == nullptr || !memory_->reserve(bytes)) {
        return false;
    }
    bytes_ += bytes;
    return true;
}

} // namespace wigeonrill::traffic::detail
