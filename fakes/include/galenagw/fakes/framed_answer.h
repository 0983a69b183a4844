// Answers of endpoints in each framing that HTTP allows.
#ifndef GALENAGW_FAKES_FRAMED_ANSWER_H
#define GALENAGW_FAKES_FRAMED_ANSWER_H

#include <string>

// What shows the end of an answer.
enum class Framing { kUnframed, kChunked, kLength };

struct FramingCase {
    const char *name;
    Framing framing;
};

const FramingCase kFramings[] = {
    {"neither length nor chunks", Framing::kUnframed},
    {"chunks, and the final one", Framing::kChunked},
    {"a length that is reached", Framing::kLength},
};

// Returns an answer with status 200, the header lines `headers`, which each
// end with CRLF, and `body`. If `is_cut`, the final chunk is missing, or the
// last byte of the length. Without framing, the sender has to close the
// connection.
std::string FrameAnswer(Framing framing, const std::string &headers,
                        const std::string &body, bool is_cut = false);

#endif
