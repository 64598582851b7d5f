#ifndef WIGEONRILL_ADMISSION_EXPECTED_WORK_H
#define WIGEONRILL_ADMISSION_EXPECTED_WORK_H

#ifndef WIGEONRILL_ADMISSION_MODULE
#error "Include wigeonrill/admission.h instead of this file."
#endif

namespace wigeonrill::admission {

/// \brief Time that a target probably needs for a request, measured on its route.
struct expected_work {
    nanoseconds mean{0};   ///< 0: not measured
    nanoseconds spread{0}; ///< mean absolute deviation from the mean
};

} // namespace wigeonrill::admission

#endif
