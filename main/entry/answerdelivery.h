#pragma once

#include "coordination/answermemory.h"
#include "main/entry/entrymetrics.h"
#include "main/entry/eventlog.h"
#include "transport/httpserver.h"
#include "transport/ioloop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ApricotStep
{

/** Returns what counts as unread of an answer. A caller that reads at once leaves a few events until the next round of work. */
std::size_t countedUnreadBytes(const HttpExchange &exchange);

/** Records that an answer ends because its caller reads too slowly. */
void reportSlowReader(EventLog &log, EntryMetrics &metrics, const std::string &request, const std::string &reason, std::size_t bytes);

/**
 * The answers that are complete or broken off while their callers still read them. Their upstreams are free for other requests. Without a
 * limit a caller that stops reading would hold its part of the memory for as long as its connection lasts.
 */
class AnswerDelivery
{
public:
    struct Answer
    {
        /** Id of the request. */
        std::string request;
        std::shared_ptr<HttpExchange> exchange;
        /** When the delivery is broken off. */
        Time deadline;
    };

    AnswerDelivery(IoLoop &loop, EventLog &log, EntryMetrics &metrics, AnswerMemory &memory);
    ~AnswerDelivery();
    AnswerDelivery(const AnswerDelivery &) = delete;
    AnswerDelivery &operator=(const AnswerDelivery &) = delete;

    /** Follows the delivery of @p answer, unless its caller has read almost all of it. */
    void add(std::uint64_t number, Answer answer);
    /** Updates what callers have not read, and breaks off what is past its deadline. */
    void refresh();
    /** Breaks the delivery off for lack of memory. Returns false if there is none with this number. */
    bool end(std::uint64_t number);

private:
    using Answers = std::map<std::uint64_t, Answer>;
    Answers::iterator breakOff(Answers::iterator at, const std::string &reason);
    void startTimer();

    IoLoop &m_loop;
    EventLog &m_log;
    EntryMetrics &m_metrics;
    AnswerMemory &m_memory;
    Answers m_answers;
    TimerId m_timer = 0;
};

} // namespace ApricotStep
