#include "wigeonrill/config.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace wigeonrill::config {

workspace_directory::workspace_directory(shared_list<workspace> workspaces)
    : workspaces_(std::move(workspaces)) {
    std::size_t keys = 0;
    for (const auto& it : workspaces_) {
        keys += it.keys.size();
    }
    // At most half of the slots are used, so that searches end after few steps.
    slots_.resize(std::bit_ceil(2 * keys + 1));
    std::uint32_t position = 0;
    for (const auto& it : workspaces_) {
        ++position;
        for (const auto& key : it.keys) {
            insert(key, position);
        }
    }
}

std::size_t workspace_directory::first_slot_of(const key_digest& key) const {
    std::uint64_t head = 0;
    std::memcpy(&head, key.bytes.data(), sizeof(head));
    return static_cast<std::size_t>(head) & (slots_.size() - 1);
}

void workspace_directory::insert(const key_digest& key, std::uint32_t position) {
    auto i = first_slot_of(key);
    while (slots_[i].position != 0) {
        i = (i + 1) & (slots_.size() - 1);
    }
    slots_[i] = {key, position};
}

const workspace* workspace_directory::find(const key_digest& key) const {
    for (auto i = first_slot_of(key); slots_[i].position != 0; i = (i + 1) & (slots_.size() - 1)) {
        if (equal_in_constant_time(slots_[i].key, key)) {
            return &workspaces_[slots_[i].position - 1];
        }
    }
    return nullptr;
}

const workspace* workspace_directory::find(std::string_view name) const {
    const auto it = std::ranges::lower_bound(workspaces_, name, {}, [](const workspace& one) {
        return std::string_view(one.name.value);
    });
    return it != workspaces_.end() && it->name.value == name ? &*it : nullptr;
}

} // namespace wigeonrill::config
