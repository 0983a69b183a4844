/* The events of the streams, and the judge of what callers receive of them. */
#ifndef GALENAGW_SOAK_STREAMS_H
#define GALENAGW_SOAK_STREAMS_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger.h"

/* A comment that an engine may send before the first event. */
constexpr char kStreamComment[] = ": wait\n\n";

/* The stream that a request is about. A caller's further requests for a stream
 * have its id, a dot and a number. */
std::string StreamOf(const std::string &request);

/* The number of events of a stream and their text are functions of the stream,
 * and the text also of the software that wrote it, so that callers can check
 * whether an answer is complete. */
int EventCountOf(const std::string &stream);
std::string EventTextOf(const std::string &stream, int n,
                        const std::string &software);

/* The events of a part of a stream. */
struct StreamPart {
    int last = 0;                    /* number of the last whole event */
    std::vector<std::string> writer; /* software that wrote each event */
    bool is_in_order = true;
    bool has_rest = false; /* bytes behind the last whole event */

    /* Read @p body, which begins with event @p first of @p stream. */
    StreamPart(const std::string &stream, int first, const std::string &body);
};

/* A stream over its caller's requests. */
struct StreamState {
    std::string stream;       /* see StreamOf; empty: none */
    std::string first_answer; /* id of the request that brought the first
                                 event */
    std::string software;     /* that wrote the first event */
    int last_event = 0;       /* number of the last event received; 0: none */
    int tries = 0;
    GwTime next_try_at = 0;
};

/* How a caller names its stream. */
enum class StreamName { kKnown, kUnknown, kAbsent };

/* Counts the streams of a run that are taken up again by their callers. */
class StreamJudge {
  public:
    /* The endpoint breaks off its answer to @p request inside an event, or at
     * another place at which its peer detects it. */
    void RecordBrokenOff(const std::string &request);
    bool WasBrokenOff(const std::string &request) const;
    /* The caller received these events. */
    void RecordWriters(const std::string &stream,
                       const std::vector<std::string> &writers);
    /* An answer to the first request of a stream ended. */
    void RecordFirstTry(bool has_begun);
    /* An answer to a caller that takes its stream up ended. @p must_go_on: the
     * gateway was undisturbed and endpoints of the stream's software served.
     */
    void RecordTakeUp(const std::string &stream, StreamName name,
                      bool must_go_on, bool has_gone_on);
    /* Print the counts and record broken promises. */
    void Judge(Ledger *ledger) const;

  private:
    std::set<std::string> broken_off_;
    std::map<std::string, std::set<std::string>> writers_; /* by stream */
    int first_tries_ = 0, begun_ = 0;
    std::set<std::string> taken_up_, unknown_, unnamed_;
    std::set<std::string> must_go_on_, gone_on_;
};

#endif
