/* Injects results of system calls into a process that is started with this library preloaded.
 *
 * The file that FAULTS names is mapped: one record a call, of four 32-bit numbers. A test writes a record, and reads
 * how often the fault was injected.
 *
 *   error  0: none; above 0: the call fails with this errno; -1: it moves at most one byte; for the clock, an offset of
 *          the wall clock in seconds
 *   every  of the calls, each n-th is faulty
 *   left   how often the fault is still injected; below 0: without end
 *   count  how often it was injected
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
    _Atomic int error, every, left, count;
};

static struct record none[CALLS];
static struct record *records = none;
static _Atomic unsigned turns[CALLS];

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *map = mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (map != MAP_FAILED) records = map;
}

/* The error that this call is to have, or 0. */
static int fault(int call) {
    struct record *record = &records[call];
    int error = atomic_load(&record->error), every = atomic_load(&record->every);
    if (!error || (every > 1 && atomic_fetch_add(&turns[call], 1) % every)) return 0;
    int left = atomic_load(&record->left);
    while (left > 0 && !atomic_compare_exchange_weak(&record->left, &left, left - 1)) {
    }
    if (!left) return 0;
    atomic_fetch_add(&record->count, 1);
    return error;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL(call)                      \
    do {                                \
        int error = fault(call);        \
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

/* Whether a call on this socket is to move one byte; below 0 where it fails, with its error set. */
static int moves_one(int call, int fd) {
    int error = is_tcp(fd) ? fault(call) : 0;
    if (error > 0) errno = error;
    return error > 0 ? -1 : error < 0;
}

ssize_t recv(int fd, void *bytes, size_t size, int flags) {
    int one = size && !(flags & MSG_PEEK) ? moves_one(RECV, fd) : 0;
    return one < 0 ? -1 : REAL(recv)(fd, bytes, one ? 1 : size, flags);
}

ssize_t send(int fd, const void *bytes, size_t size, int flags) {
    int one = size ? moves_one(SEND, fd) : 0;
    return one < 0 ? -1 : REAL(send)(fd, bytes, one ? 1 : size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    int one = moves_one(SEND, fd);
    if (one < 0) return -1;
    for (int i = 0; one && i < count; i++)
        if (parts[i].iov_len) return REAL(send)(fd, parts[i].iov_base, 1, MSG_NOSIGNAL);
    return REAL(writev)(fd, parts, count);
}

/* Files that are created; others are opened as ever. */
int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    if (flags & O_CREAT) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
        FAIL(CREATE);
    }
    return REAL(open64)(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int told = REAL(clock_gettime)(clock, now);
    if (!told && clock == CLOCK_REALTIME) now->tv_sec += atomic_load(&records[CLOCK].error);
    return told;
}
