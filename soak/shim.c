/* A library for LD_PRELOAD that injects faults into a router process: system calls fail as their man pages
 * document, and the wall clock steps. The soak test selects the faults in a control file, which it may
 * rewrite while the process runs. Each wrapper calls the C library's function, or fails without a call. Some
 * wrappers shorten the buffer of the call or change its result. A wrapper that injects a broken connection
 * shuts the connection down, and then fails. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 65536
#define MAX_SHORT_BYTES 512 /* maximum length of a short transfer */
#define CONTROL_VARIABLE "SOAK_SHIM_CONTROL"
#define CONFIGURATION_FILE "config.json" /* the end of the path of a router's configuration file */

/* The content of the control file: a step of the wall clock, and the shares of calls that fail, from 0 to 1.
 * soak/shim.py writes the same fields in the same order. The offsets are truncated to whole seconds. */
struct control {
    double offset_before_s;    /* offset of the wall clock before the step */
    double offset_after_s;     /* offset of the wall clock from the step on */
    double step_at_unix_s;     /* time of the step, by the machine's wall clock */
    double accept_failures;    /* calls of accept4 */
    double socket_failures;    /* calls of socket for IPv4 */
    double connect_failures;   /* calls of connect */
    double interrupted_calls;  /* calls of epoll_wait, reads, writes and connects, which return EINTR */
    double short_transfers;    /* reads and writes of messages, which transfer only a part */
    double buffer_failures;    /* reads and writes, which fail for lack of memory */
    double broken_connections; /* reads and writes that break an outgoing connection */
    double register_failures;  /* additions to an epoll instance */
    double open_failures;      /* attempts to open the configuration file */
};

static struct control *control; /* NULL without a control file, in which case nothing is injected */
static uint64_t random_state;
/* By file descriptor: whether the process opened the connection. */
static unsigned char is_outgoing[MAX_DESCRIPTORS];

__attribute__((constructor)) static void load_control(void) {
    const char *path = getenv(CONTROL_VARIABLE);
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open64");
    int fd = path ? real_open(path, O_RDONLY) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        control = mapped;
    /* The odd constant, 2^64 divided by the golden ratio, spreads the process ids over all bits. A process id
     * plus 1 is never 0, so the state isn't either; a xorshift generator with the state 0 returns only 0. */
    random_state = 0x9E3779B97F4A7C15ULL * (uint64_t)(getpid() + 1);
}

/* A xorshift generator; the C library's generator would share its state with the process. */
static uint64_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Decide at random whether a call belongs to the given share of calls. */
static int is_sampled(double share) {
    return share > 0 && (double)(next_random() >> 11) / 9007199254740992.0 < share; /* 2^53 */
}

/* Whether to inject the fault of a field of `struct control` into this call. */
#define INJECTS(field) (control && is_sampled(control->field))

/* Set errno to a random one of the errors; return -1. */
static int fail_with(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}

#define FAIL_WITH(...) fail_with((const int[]){__VA_ARGS__}, sizeof((int[]){__VA_ARGS__}) / sizeof(int))

/* Declare `real`, the C library's function of this name, for the wrapper to call. */
#define REAL(name)                                                                                           \
    static __typeof__(name) *real;                                                                           \
    if (!real)                                                                                               \
    real = dlsym(RTLD_NEXT, #name)

static void set_outgoing(int fd, int outgoing) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = (unsigned char)outgoing;
}

/* --- sockets */

/* socket(2) fails with the system-wide limit on open files (ENFILE), or for lack of memory. Unix sockets
 * never fail. */
int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && INJECTS(socket_failures))
        return FAIL_WITH(ENFILE, ENOBUFS, ENOMEM);
    int fd = real(domain, type, protocol);
    set_outgoing(fd, 0);
    return fd;
}

/* accept(2) fails with a connection that the client has closed (ECONNABORTED), the limit on open files, lack
 * of memory, a signal, or a protocol error. The connection stays in the queue of the listener. */
int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (INJECTS(accept_failures))
        return FAIL_WITH(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO);
    int accepted = real(fd, address, length, flags);
    set_outgoing(accepted, 0);
    return accepted;
}

/* connect(2) fails without a free local port (EADDRNOTAVAIL, EAGAIN) or a route, or is interrupted by a
 * signal, after which the connection is still established asynchronously, as POSIX requires. */
int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    set_outgoing(fd, 1);
    if (INJECTS(connect_failures))
        return FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, EAGAIN);
    int result = real(fd, address, length);
    if (result < 0 && errno == EINPROGRESS && INJECTS(interrupted_calls))
        errno = EINTR;
    return result;
}

/* --- epoll */

/* epoll_wait(2) is interrupted by a signal. */
int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout) {
    REAL(epoll_wait);
    if (INJECTS(interrupted_calls))
        return FAIL_WITH(EINTR);
    return real(epoll, events, count, timeout);
}

/* epoll_ctl(2) can't add a descriptor for lack of memory, or with the user's limit on watches (ENOSPC). */
int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && INJECTS(register_failures))
        return FAIL_WITH(ENOMEM, ENOSPC);
    return real(epoll, operation, fd, event);
}

/* --- reads and writes */

/* Fail a transfer as recv(2), send(2) and tcp(7) document: with a signal, lack of memory, or a broken
 * connection, which is shut down so that it stays broken. Return 0 for no failure, or -1 with errno set. */
static int inject_transfer_failure(int fd) {
    if (INJECTS(interrupted_calls))
        return FAIL_WITH(EINTR);
    if (INJECTS(buffer_failures))
        return FAIL_WITH(ENOBUFS, ENOMEM);
    if (fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] && INJECTS(broken_connections)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
    }
    return 0;
}

/* A message for recvmsg or sendmsg; `short_buffer` is its only buffer if the transfer is short. */
struct transfer {
    struct msghdr message;
    struct iovec short_buffer;
};

/* Prepare the message of a recvmsg or sendmsg call: fail as `inject_transfer_failure` does, or shorten the
 * transfer to a part of the first buffer. Return 0, or -1 with errno set. */
static int inject_into_transfer(int fd, const struct msghdr *message, struct transfer *transfer) {
    transfer->message = *message;
    if (inject_transfer_failure(fd) < 0)
        return -1;
    if (message->msg_iovlen && INJECTS(short_transfers)) {
        transfer->short_buffer = message->msg_iov[0];
        size_t length = transfer->short_buffer.iov_len;
        if (length > 1)
            transfer->short_buffer.iov_len =
                1 + next_random() % (length < MAX_SHORT_BYTES ? length : MAX_SHORT_BYTES);
        transfer->message.msg_iov = &transfer->short_buffer;
        transfer->message.msg_iovlen = 1;
    }
    return 0;
}

/* Convert a time of the machine's wall clock to the stepped clock of the process. */
static void shift_wall_clock(struct timespec *time) {
    double at_s = (double)time->tv_sec + (double)time->tv_nsec / 1e9;
    time->tv_sec +=
        (time_t)(at_s < control->step_at_unix_s ? control->offset_before_s : control->offset_after_s);
}

/* Step the kernel's receive timestamps (SO_TIMESTAMPNS in socket(7)), which are times of the wall clock. */
static void shift_timestamps(struct msghdr *message) {
    for (struct cmsghdr *part = CMSG_FIRSTHDR(message); part; part = CMSG_NXTHDR(message, part)) {
        if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS) {
            struct timespec stamp;
            memcpy(&stamp, CMSG_DATA(part), sizeof stamp);
            shift_wall_clock(&stamp);
            memcpy(CMSG_DATA(part), &stamp, sizeof stamp);
        }
    }
}

/* recvmsg(2) fails or is short as `inject_into_transfer` decides. Its timestamps are of the stepped clock. */
ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    struct transfer transfer;
    if (!control)
        return real(fd, message, flags);
    if (inject_into_transfer(fd, message, &transfer) < 0)
        return -1;
    ssize_t count = real(fd, &transfer.message, flags);
    message->msg_controllen = transfer.message.msg_controllen;
    message->msg_flags = transfer.message.msg_flags;
    if (count > 0)
        shift_timestamps(message);
    return count;
}

/* sendmsg(2) fails or is short as `inject_into_transfer` decides. */
ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    struct transfer transfer;
    if (inject_into_transfer(fd, message, &transfer) < 0)
        return -1;
    return real(fd, &transfer.message, flags);
}

/* recv(2) fails as `inject_transfer_failure` decides. The router calls it to peek at connections, and
 * to read its wakeup socket. */
ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (inject_transfer_failure(fd) < 0)
        return -1;
    return real(fd, buffer, length, flags);
}

/* --- files */

static int is_configuration(const char *path) {
    const char *end = strstr(path, CONFIGURATION_FILE);
    return end && strlen(end) == strlen(CONFIGURATION_FILE);
}

/* open(2) fails with a limit on open files or for lack of memory, but only for the configuration file. */
#define DEFINE_OPEN(name)                                                                                    \
    int name(const char *path, int flags, ...) {                                                             \
        static int (*real)(const char *, int, ...);                                                          \
        if (!real)                                                                                           \
            real = dlsym(RTLD_NEXT, #name);                                                                  \
        va_list arguments;                                                                                   \
        va_start(arguments, flags);                                                                          \
        int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, int) : 0;                               \
        va_end(arguments);                                                                                   \
        if (is_configuration(path) && INJECTS(open_failures))                                                \
            return FAIL_WITH(ENFILE, EMFILE, ENOMEM);                                                        \
        return real(path, flags, mode);                                                                      \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

/* --- the wall clock */

/* clock_gettime(2) returns the stepped time of CLOCK_REALTIME, which may be set forward or back. The
 * monotonic clock can't be set, so it does not step. */
int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (control && result == 0 && clock == CLOCK_REALTIME)
        shift_wall_clock(now);
    return result;
}
