#ifndef WIGEONRILL_BASE_RENDEZVOUS_H
#define WIGEONRILL_BASE_RENDEZVOUS_H

#ifndef WIGEONRILL_BASE_MODULE
#error "Include wigeonrill/base.h instead of this file."
#endif

namespace wigeonrill {

/// \brief Score of a candidate for a key in rendezvous hashing (Thaler and Ravishankar 1998).
///
/// The candidate with the highest score is chosen. Removing a candidate reassigns only the keys
/// that were assigned to it.
/// \param key_hash stable hash of the key
/// \param candidate_hash stable hash of the candidate
/// \returns the score of the candidate
[[nodiscard]] constexpr std::uint64_t rendezvous_score(std::uint64_t key_hash,
                                                       std::uint64_t candidate_hash) {
    return mix_bits(key_hash ^ mix_bits(candidate_hash));
}

} // namespace wigeonrill

#endif
