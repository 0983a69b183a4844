#include "streams.h"

#include <cstring>

#include <cstdio>
#include <functional>

/* Long streams last 2 s, so that they are still running when a draining
 * endpoint closes its port. */
static const int kLongStreamEvents = 250;
/* Streams of a run that may have events of several versions of software. */
static const size_t kMaxMixedStreams = 2;
/* Number of streams from which the share of those that go on is judged, and
 * the least ratio of this share to the share of new streams that begin. */
static const size_t kMinJudgedStreams = 12;
static const double kMinContinuedRatio = 0.5;
/* Number of streams that a broken promise names. */
static const size_t kNamedStreams = 6;

static size_t
HashOf(const std::string &id)
{
    return std::hash<std::string>()(id);
}

std::string
StreamOf(const std::string &request)
{
    return request.substr(0, request.find('.'));
}

int
EventCountOf(const std::string &stream)
{
    return HashOf(stream) % 20 == 0 ? kLongStreamEvents
                                    : 2 + (int)(HashOf(stream) % 12);
}

std::string
EventTextOf(const std::string &stream, int n, const std::string &software)
{
    const char *line_end = HashOf(stream) % 3 == 0 ? "\r\n" : "\n";

    return "id: " + std::to_string(n) + line_end + "data: " + stream +
           " piece " + std::to_string(n) + " of " + software + line_end +
           line_end;
}

StreamPart::StreamPart(const std::string &stream, int first,
                       const std::string &body)
    : last(first - 1)
{
    static const char kWriterMark[] = " of ";
    size_t at = 0;

    while (at < body.size()) {
        if (body.compare(at, strlen(kStreamComment), kStreamComment) == 0) {
            at += strlen(kStreamComment);
            continue;
        }
        size_t mark = body.find(kWriterMark, at);
        size_t begin = mark + sizeof(kWriterMark) - 1;
        size_t end = body.find_first_of("\r\n", begin);

        if (mark == std::string::npos || end == std::string::npos)
            break;
        std::string software = body.substr(begin, end - begin);
        std::string event = EventTextOf(stream, last + 1, software);
        if (body.size() - at < event.size())
            break;
        is_in_order = body.compare(at, event.size(), event) == 0;
        if (!is_in_order)
            return;
        at += event.size();
        last++;
        writer.push_back(software);
    }
    has_rest = at < body.size();
}

void
StreamJudge::RecordBrokenOff(const std::string &request)
{
    broken_off_.insert(request);
}

bool
StreamJudge::WasBrokenOff(const std::string &request) const
{
    return broken_off_.count(request) != 0;
}

void
StreamJudge::RecordWriters(const std::string &stream,
                           const std::vector<std::string> &writers)
{
    writers_[stream].insert(writers.begin(), writers.end());
}

void
StreamJudge::RecordFirstTry(bool has_begun)
{
    first_tries_++;
    begun_ += has_begun;
}

void
StreamJudge::RecordTakeUp(const std::string &stream, StreamName name,
                          bool must_go_on, bool has_gone_on)
{
    if (name != StreamName::kKnown) {
        (name == StreamName::kUnknown ? unknown_ : unnamed_).insert(stream);
        return;
    }
    taken_up_.insert(stream);
    if (must_go_on)
        must_go_on_.insert(stream);
    if (has_gone_on)
        gone_on_.insert(stream);
}

// Returns the number of streams and the first of them.
static std::string
Describe(const std::vector<std::string> &streams)
{
    std::string text = std::to_string(streams.size()) + " streams:";

    for (size_t i = 0; i < streams.size() && i < kNamedStreams; i++)
        text += " " + streams[i];
    return text;
}

void
StreamJudge::Judge(Ledger *ledger) const
{
    std::vector<std::string> mixed, lost;
    double begun_share = begun_ / (first_tries_ > 0 ? first_tries_ : 1.0);

    for (auto &s : writers_)
        if (s.second.size() > 1)
            mixed.push_back(s.first);
    for (const std::string &s : must_go_on_)
        if (gone_on_.count(s) == 0)
            lost.push_back(s);
    size_t judged = must_go_on_.size();
    printf("streams: %d new, %d begun, %zu broken off by endpoints, %zu taken "
           "up again, %zu gone on; %zu judged, %zu of them gone on; %zu with "
           "an unknown id, %zu without an id, %zu mixed\n",
           first_tries_, begun_, broken_off_.size(), taken_up_.size(),
           gone_on_.size(), judged, judged - lost.size(), unknown_.size(),
           unnamed_.size(), mixed.size());
    if (mixed.size() > kMaxMixedStreams)
        ledger->RecordViolation("a stream has one version of software",
                                Describe(mixed));
    if (judged >= kMinJudgedStreams &&
        (double)(judged - lost.size()) <
            kMinContinuedRatio * begun_share * (double)judged)
        ledger->RecordViolation("streams that are taken up go on",
                                std::to_string(judged) + " must go on, lost " +
                                    Describe(lost));
}
