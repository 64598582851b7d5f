#ifndef WIGEONRILL_BASE_STABLE_HASH_H
#define WIGEONRILL_BASE_STABLE_HASH_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Mixes the bits of a value with the finalizer of SplitMix64: changing one input bit
/// changes about half of the output bits.
[[nodiscard]] constexpr std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// \brief Computes an FNV-1a hash, finalized by mix_bits(). Its values are the same on every node
/// and in every build.
/// \param text bytes to hash
/// \param seed start value; different seeds give independent hashes of the same text
[[nodiscard]] constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) {
    std::uint64_t hash = 0xcbf29ce484222325U ^ mix_bits(seed);
    for (const char it : text) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3U;
    }
    return mix_bits(hash);
}

} // namespace wigeonrill

#endif
