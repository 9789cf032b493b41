/* Preloaded into one relay process: adds the nanoseconds in the file named by SOAK_CLOCK_FILE to the time of day.
   Monotonic clocks and waits are the system's own. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const volatile int64_t *shared;

__attribute__((constructor)) static void open_offset(void)
{
    const char *name = getenv("SOAK_CLOCK_FILE");
    const int file = name != NULL ? open(name, O_RDONLY | O_CLOEXEC) : -1;
    void *mapped = file >= 0 ? mmap(NULL, sizeof *shared, PROT_READ, MAP_SHARED, file, 0) : MAP_FAILED;
    if (mapped == MAP_FAILED)
        abort();
    close(file);
    shared = mapped;
}

int clock_gettime(clockid_t clock, struct timespec *out)
{
    const long failed = syscall(SYS_clock_gettime, clock, out);
    if (failed == 0 && shared != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        const int64_t total = out->tv_sec * INT64_C(1000000000) + out->tv_nsec + *shared;
        out->tv_sec = total / 1000000000;
        out->tv_nsec = total % 1000000000;
    }
    return (int)failed;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out != NULL)
        *out = now.tv_sec;
    return now.tv_sec;
}
