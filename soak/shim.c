/* A library for LD_PRELOAD that makes system calls of one router process fail as Linux documents, and steps its
 * wall clock. What it does is set in a control file that the soak test writes, and may change while it runs. */

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
#define CONTROL_VARIABLE "SOAK_SHIM_CONTROL"

/* The shares of calls that fail, and the step of the wall clock. soak/shim.py writes the same fields. */
struct control {
    double offset_before_s; /* added to the wall clock before the step */
    double offset_after_s;
    double step_at_unix_s; /* of the machine's wall clock */
    double accept_failures;
    double socket_failures;
    double connect_failures;
    double interrupted_calls;
    double short_transfers;
    double buffer_failures; /* reads and writes that find no memory */
    double broken_connections; /* reads and writes to workers after which the connection is dead */
    double register_failures;
    double open_failures; /* of the configuration file */
};

static struct control *control;
static uint64_t random_state;
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
    random_state = 0x9E3779B97F4A7C15ULL * (uint64_t)(getpid() + 1);
}

static uint64_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int happens(double share) {
    return control && share > 0 && (double)(next_random() >> 11) / 9007199254740992.0 < share;
}

static int fail_with(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}

#define FAIL_WITH(...)                                                                                             \
    do {                                                                                                           \
        const int errors[] = {__VA_ARGS__};                                                                        \
        return fail_with(errors, sizeof errors / sizeof errors[0]);                                                \
    } while (0)

#define REAL(name)                                                                                                 \
    static __typeof__(name) *real;                                                                                 \
    if (!real)                                                                                                     \
    real = dlsym(RTLD_NEXT, #name)

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if ((domain == AF_INET) && happens(control ? control->socket_failures : 0))
        FAIL_WITH(ENFILE, ENOBUFS, ENOMEM);
    int fd = real(domain, type, protocol);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 0;
    return fd;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (happens(control ? control->accept_failures : 0))
        FAIL_WITH(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO);
    int accepted = real(fd, address, length, flags);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS)
        is_outgoing[accepted] = 0;
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        is_outgoing[fd] = 1;
    if (happens(control ? control->connect_failures : 0))
        FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, EAGAIN);
    int result = real(fd, address, length);
    if (result < 0 && errno == EINPROGRESS && happens(control ? control->interrupted_calls : 0))
        errno = EINTR; /* the connection goes on coming up, as POSIX says */
    return result;
}

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout) {
    REAL(epoll_wait);
    if (happens(control ? control->interrupted_calls : 0))
        FAIL_WITH(EINTR);
    return real(epoll, events, count, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && happens(control ? control->register_failures : 0))
        FAIL_WITH(ENOMEM, ENOSPC);
    return real(epoll, operation, fd, event);
}

/* Whether a read or write fails; errno is set then. */
static int transfer_fails(int fd) {
    if (happens(control ? control->interrupted_calls : 0)) {
        errno = EINTR;
        return 1;
    }
    if (happens(control ? control->buffer_failures : 0)) {
        errno = next_random() % 2 ? ENOMEM : ENOBUFS;
        return 1;
    }
    if (fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] &&
        happens(control ? control->broken_connections : 0)) {
        const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
        shutdown(fd, SHUT_RDWR);
        fail_with(errors, 3);
        return 1;
    }
    return 0;
}

/* Cut a message down to a part of its first buffer. */
static struct msghdr cut_short(const struct msghdr *message, struct iovec *first) {
    struct msghdr cut = *message;
    if (message->msg_iovlen && happens(control ? control->short_transfers : 0)) {
        *first = message->msg_iov[0];
        if (first->iov_len > 1)
            first->iov_len = 1 + next_random() % (first->iov_len < 512 ? first->iov_len : 512);
        cut.msg_iov = first;
        cut.msg_iovlen = 1;
    }
    return cut;
}

static void shift_timestamp(struct msghdr *message) {
    for (struct cmsghdr *part = CMSG_FIRSTHDR(message); part; part = CMSG_NXTHDR(message, part)) {
        if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS) {
            struct timespec stamp;
            memcpy(&stamp, CMSG_DATA(part), sizeof stamp);
            double at_s = (double)stamp.tv_sec + (double)stamp.tv_nsec / 1e9;
            double offset_s = at_s < control->step_at_unix_s ? control->offset_before_s : control->offset_after_s;
            stamp.tv_sec += (time_t)offset_s;
            memcpy(CMSG_DATA(part), &stamp, sizeof stamp);
        }
    }
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    if (!control)
        return real(fd, message, flags);
    if (transfer_fails(fd))
        return -1;
    struct iovec first;
    struct msghdr cut = cut_short(message, &first);
    ssize_t count = real(fd, &cut, flags);
    message->msg_controllen = cut.msg_controllen;
    message->msg_flags = cut.msg_flags;
    if (count > 0)
        shift_timestamp(message);
    return count;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (control && transfer_fails(fd))
        return -1;
    return real(fd, buffer, length, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (!control)
        return real(fd, message, flags);
    if (transfer_fails(fd))
        return -1;
    struct iovec first;
    struct msghdr cut = cut_short(message, &first);
    return real(fd, &cut, flags);
}

static int is_configuration(const char *path) {
    const char *end = strstr(path, "config.json");
    return end && strlen(end) == strlen("config.json");
}

#define DEFINE_OPEN(name)                                                                                          \
    int name(const char *path, int flags, ...) {                                                                   \
        static int (*real)(const char *, int, ...);                                                                \
        if (!real)                                                                                                 \
            real = dlsym(RTLD_NEXT, #name);                                                                        \
        va_list arguments;                                                                                         \
        va_start(arguments, flags);                                                                                \
        int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, int) : 0;                                     \
        va_end(arguments);                                                                                         \
        if (control && is_configuration(path) && happens(control->open_failures))                                  \
            FAIL_WITH(ENFILE, EMFILE, ENOMEM);                                                                     \
        return real(path, flags, mode);                                                                            \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (control && result == 0 && clock == CLOCK_REALTIME) {
        double at_s = (double)now->tv_sec + (double)now->tv_nsec / 1e9;
        now->tv_sec += (time_t)(at_s < control->step_at_unix_s ? control->offset_before_s : control->offset_after_s);
    }
    return result;
}
