#include "main/entry/answerdelivery.h"

#include <algorithm>
#include <utility>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MinCountedBytes = std::size_t(4) << 10U;
constexpr Duration RefreshInterval { 200 };
// An answer that ends at its deadline still has to leave the node.
constexpr Duration MinDeliveryTime { 1000 };

} // namespace

std::size_t countedUnreadBytes(const HttpExchange &exchange)
{
    const std::size_t bytes = exchange.unreadBytes();
    return bytes >= MinCountedBytes ? bytes : 0;
}

void reportSlowReader(EventLog &log, EntryMetrics &metrics, const std::string &request, const std::string &reason, std::size_t bytes)
{
    metrics.slowReader("ended");
    log.write(EventLog::Severity::Important, "request", "slow_reader",
        { { "request", request }, { "reason", reason }, { "unreadBytes", static_cast<std::int64_t>(bytes) } });
}

AnswerDelivery::AnswerDelivery(IoLoop &loop, EventLog &log, EntryMetrics &metrics, AnswerMemory &memory)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_memory(memory)
{
}

AnswerDelivery::~AnswerDelivery()
{
    m_loop.cancel(m_timer);
}

void AnswerDelivery::add(std::uint64_t number, Answer answer)
{
    const std::size_t bytes = countedUnreadBytes(*answer.exchange);
    m_memory.setUnread(number, bytes);
    if (bytes == 0) {
        return;
    }
    answer.deadline = std::max(answer.deadline, m_loop.now() + MinDeliveryTime);
    m_answers.insert_or_assign(number, std::move(answer));
    startTimer();
}

void AnswerDelivery::startTimer()
{
    if (m_timer != 0 || m_answers.empty()) {
        return;
    }
    m_timer = m_loop.after(RefreshInterval, [this] {
        m_timer = 0;
        refresh();
        startTimer();
    });
}

void AnswerDelivery::refresh()
{
    for (auto at = m_answers.begin(); at != m_answers.end();) {
        const std::size_t bytes = countedUnreadBytes(*at->second.exchange);
        m_memory.setUnread(at->first, bytes);
        if (bytes == 0) {
            at = m_answers.erase(at);
        } else if (m_loop.now() >= at->second.deadline) {
            at = breakOff(at, "deadline");
        } else {
            ++at;
        }
    }
}

bool AnswerDelivery::end(std::uint64_t number)
{
    const auto at = m_answers.find(number);
    if (at == m_answers.end()) {
        return false;
    }
    breakOff(at, "memory");
    return true;
}

AnswerDelivery::Answers::iterator AnswerDelivery::breakOff(Answers::iterator at, const std::string &reason)
{
    reportSlowReader(m_log, m_metrics, at->second.request, reason, m_memory.unreadBytes(at->first));
    at->second.exchange->abortNow();
    m_memory.setUnread(at->first, 0);
    return m_answers.erase(at);
}

} // namespace ApricotStep
