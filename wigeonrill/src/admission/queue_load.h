#ifndef WIGEONRILL_ADMISSION_QUEUE_LOAD_H
#define WIGEONRILL_ADMISSION_QUEUE_LOAD_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Ratio of the requests that recently came to a queue to the places that requests in it
///        got, by priority. Not thread-safe.
///
/// Load pattern: more requests arrive than are served. Then a request waits not only for those that
/// are ahead of it, but also for those that come later and go before it.
class queue_load {
public:
    /// Time after which a request or place counts half.
    static constexpr seconds half_life{1};

    /// \brief Records a request that found no target.
    void on_request(std::uint32_t priority, instant now);
    /// \brief Records that a waiting request got a place.
    void on_place(instant now);
    /// \returns the requests per place, of the priorities before `end`; 0 before the first place
    [[nodiscard]] double ratio(std::uint64_t end, instant now) const;

private:
    struct tally {
        double count{0.0};
        instant updated{};
    };
    static void add(tally& it, instant now);
    /// \returns the number as it counts at a time
    [[nodiscard]] static double at(const tally& it, instant now);

    std::map<std::uint32_t, tally> requests_; ///< by priority; only of recent requests
    tally places_;
};

} // namespace wigeonrill::admission

#endif
