// Linked into the control and storage programs of a day that stalls disks, ahead of the C library: their
// syncs wait for as long as the file is there that WHINLEDGE_STALL names.
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>

namespace {

void wait_while_stalled() {
    constexpr timespec kLook{0, 2'000'000};
    static const char* const file = std::getenv("WHINLEDGE_STALL");
    while (file && ::access(file, F_OK) == 0) ::nanosleep(&kLook, nullptr);
}

}  // namespace

extern "C" int fsync(int descriptor) {
    wait_while_stalled();
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

extern "C" int fdatasync(int descriptor) {
    wait_while_stalled();
    return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}
