// For what everything else hangs on, such as the next wait of a timer: memory that is wanting for it may be
// there a moment later, when what was thrown has freed some.
#pragma once

#include <new>

namespace whinledge {

// `what` has to be without effect where it throws.
template <class What>
void insist(What what) {
    try {
        what();
    } catch (const std::bad_alloc&) {
        what();
    }
}

}  // namespace whinledge
