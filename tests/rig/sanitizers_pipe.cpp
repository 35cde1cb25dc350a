// Loaded into the sanitized program where a test takes all of its descriptors away. Ahead of each virtual
// call whose type it has not met, the undefined-behaviour sanitizer opens a pipe to look at memory, and takes
// a good object for a bad one where it gets none. That pipe (the program itself opens one as it starts, for
// signals) is let through beyond the limit; it is closed again at once.
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" int pipe(int ends[2]) noexcept {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    rlimit room = limit;
    room.rlim_cur = room.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &room);
    const long failed = ::syscall(SYS_pipe2, ends, 0);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(failed);
}
