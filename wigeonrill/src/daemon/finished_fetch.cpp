#include "wigeonrill/daemon.h"

namespace wigeonrill::daemon {

fetch_outcome finished_fetch::outcome() const {
    if (answer) {
        return fetch_outcome::answered;
    }
    if (cancelled) {
        return fetch_outcome::cancelled;
    }
    return answer.error().kind == error_kind::overloaded ? fetch_outcome::busy
                                                         : fetch_outcome::failed;
}

} // namespace wigeonrill::daemon
