#ifndef WIGEONRILL_ADMISSION_SERVING_TURNS_H
#define WIGEONRILL_ADMISSION_SERVING_TURNS_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Gives a share of the places that become free to less urgent requests. Not thread-safe.
///
/// Load pattern: requests of a more urgent priority need all the room for long, and those of a less
/// urgent one would wait until their deadlines pass.
class serving_turns {
public:
    /// Of this many places one goes past the most urgent waiting priority. The same share of these
    /// goes past the second, and so on, so that no priority gets more places than one before it.
    static constexpr std::uint64_t places_per_turn = 5;

    /// \param waiting number of priorities with waiting requests
    /// \returns the index of the priority that gets the next place, 0 for the most urgent
    [[nodiscard]] std::size_t next(std::size_t waiting) const;
    /// \brief Records that a waiting request got a place. A turn that could not be used, because
    ///        the target with room can't take that request, stays due.
    /// \param due index of the priority whose turn it was
    /// \param served index of the priority that got the place
    /// \param waiting number of priorities with waiting requests, before it
    void on_served(std::size_t due, std::size_t served, std::size_t waiting);

private:
    std::uint64_t places_{0}; ///< given away while several priorities waited
};

} // namespace wigeonrill::admission

#endif
