#include "transport/curlevents.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace ApricotStep
{

namespace
{

// Further events are read in the next round.
constexpr int MaxEventsPerRound = 64;

std::uint32_t eventsOf(int what)
{
    std::uint32_t events = 0;
    events |= what == CURL_POLL_IN || what == CURL_POLL_INOUT ? std::uint32_t(EPOLLIN) : 0;
    events |= what == CURL_POLL_OUT || what == CURL_POLL_INOUT ? std::uint32_t(EPOLLOUT) : 0;
    return events;
}

int actionOf(std::uint32_t events)
{
    int action = 0;
    action |= (events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    action |= (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    // By reading, libcurl gets the data that arrived before the error and then the error itself.
    action |= (events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_IN | CURL_CSELECT_ERR : 0;
    return action;
}

} // namespace

CurlEvents::CurlEvents(CURLM *multi)
    : m_multi(multi)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &CurlEvents::onSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
}

CurlEvents::~CurlEvents()
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    close(m_epoll);
}

// NOLINTNEXTLINE(bugprone-easily-swappable-parameters): libcurl's own signature.
int CurlEvents::onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *self, void *known)
{
    auto *events = static_cast<CurlEvents *>(self);
    if (what == CURL_POLL_REMOVE) {
        // Fails when libcurl has already closed the socket, which removed it from the epoll set.
        epoll_ctl(events->m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.events = eventsOf(what);
    event.data.fd = socket;
    const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    // After a socket was closed and its number was reused, libcurl and the epoll set may disagree on whether it is registered.
    if (epoll_ctl(events->m_epoll, operation, socket, &event) != 0) {
        epoll_ctl(events->m_epoll, operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    }
    curl_multi_assign(events->m_multi, socket, events);
    return 0;
}

int CurlEvents::descriptor() const
{
    return m_epoll;
}

Duration CurlEvents::untilTimeout(Duration longest) const
{
    long milliseconds = -1;
    curl_multi_timeout(m_multi, &milliseconds);
    return milliseconds < 0 ? longest : std::min(longest, Duration(milliseconds));
}

void CurlEvents::runTimeouts()
{
    if (untilTimeout(Duration(1)) <= Duration(0)) {
        int running = 0;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

int CurlEvents::runReady()
{
    std::array<epoll_event, MaxEventsPerRound> ready;
    const int count = epoll_wait(m_epoll, ready.data(), MaxEventsPerRound, 0);
    for (int i = 0; i < count; ++i) {
        const epoll_event &event = ready[static_cast<std::size_t>(i)];
        int running = 0;
        curl_multi_socket_action(m_multi, event.data.fd, actionOf(event.events), &running);
    }
    return count;
}

} // namespace ApricotStep
