/* Injects faults into the system calls of a process that runs with this library preloaded.
 *
 * The environment variable FAULTS names a file, which is mapped into memory. It has one record of four 32-bit numbers for each
 * call. A test writes the records, and reads the number of injected faults.
 *
 *   error      0: no fault; above 0: the call fails with this errno; -1: it transfers at most one byte; for the clock: the
 *              offset of the wall clock in seconds
 *   every      every n-th call is faulty
 *   remaining  the number of faults still to inject; below 0: no bound
 *   count      the number of faults injected so far
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { SOCKET, BIND, LISTEN, ACCEPT, CONNECT, SETSOCKOPT, RECV, SEND, CLOCK, CREATE, CALLS };

struct record {
    _Atomic int error, every, remaining, count;
};

static struct record no_faults[CALLS];
static struct record *records = no_faults;
static _Atomic unsigned call_counts[CALLS];

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *map = mmap(NULL, sizeof no_faults, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (map != MAP_FAILED) records = map;
}

/* Returns the error value to inject into this call, or 0. */
static int next_fault(int call) {
    struct record *record = &records[call];
    int error = atomic_load(&record->error), every = atomic_load(&record->every);
    if (!error || (every > 1 && atomic_fetch_add(&call_counts[call], 1) % every)) return 0;
    int remaining = atomic_load(&record->remaining);
    while (remaining > 0 && !atomic_compare_exchange_weak(&record->remaining, &remaining, remaining - 1)) {
    }
    if (!remaining) return 0;
    atomic_fetch_add(&record->count, 1);
    return error;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL(call)                      \
    do {                                \
        int error = next_fault(call);   \
        if (error > 0) {                \
            errno = error;              \
            return -1;                  \
        }                               \
    } while (0)

static int is_tcp(int fd) {
    int type;
    socklen_t size = sizeof type;
    return !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &type, &size) && type == AF_INET;
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET) FAIL(SOCKET);
    return REAL(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    FAIL(BIND);
    return REAL(bind)(fd, address, size);
}

int listen(int fd, int backlog) {
    FAIL(LISTEN);
    return REAL(listen)(fd, backlog);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    FAIL(ACCEPT);
    return REAL(accept4)(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    FAIL(CONNECT);
    return REAL(connect)(fd, address, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    FAIL(SETSOCKOPT);
    return REAL(setsockopt)(fd, level, name, value, size);
}

/* Returns 1 where a call on this socket must transfer one byte only, -1 with errno set where it must fail, 0 otherwise. */
static int transfers_one_byte(int call, int fd) {
    int error = is_tcp(fd) ? next_fault(call) : 0;
    if (error > 0) errno = error;
    return error > 0 ? -1 : error < 0;
}

ssize_t recv(int fd, void *bytes, size_t size, int flags) {
    int one = size && !(flags & MSG_PEEK) ? transfers_one_byte(RECV, fd) : 0;
    return one < 0 ? -1 : REAL(recv)(fd, bytes, one ? 1 : size, flags);
}

ssize_t send(int fd, const void *bytes, size_t size, int flags) {
    int one = size ? transfers_one_byte(SEND, fd) : 0;
    return one < 0 ? -1 : REAL(send)(fd, bytes, one ? 1 : size, flags);
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    int one = transfers_one_byte(SEND, fd);
    if (one < 0) return -1;
    for (int i = 0; one && i < count; i++)
        if (buffers[i].iov_len) return REAL(send)(fd, buffers[i].iov_base, 1, MSG_NOSIGNAL);
    return REAL(writev)(fd, buffers, count);
}

/* Faults apply only to files opened with O_CREAT. */
int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if (flags & O_CREAT) {
        va_list arguments;
        va_start(arguments, flags);
        mode = va_arg(arguments, mode_t);
        va_end(arguments);
        FAIL(CREATE);
    }
    return REAL(open64)(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (!result && clock == CLOCK_REALTIME) now->tv_sec += atomic_load(&records[CLOCK].error);
    return result;
}
