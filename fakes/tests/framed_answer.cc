#include "galenagw/fakes/framed_answer.h"

#include <cstdio>

std::string
FrameAnswer(Framing framing, const std::string &headers,
            const std::string &body, bool is_cut)
{
    std::string out = "HTTP/1.1 200 OK\r\n" + headers;
    char size[32];

    switch (framing) {
    case Framing::kUnframed:
        out += "\r\n" + body;
        break;
    case Framing::kChunked:
        snprintf(size, sizeof(size), "%zx\r\n", body.size());
        out += "Transfer-Encoding: chunked\r\n\r\n";
        if (!body.empty())
            out += size + body + "\r\n";
        if (!is_cut)
            out += "0\r\n\r\n";
        break;
    case Framing::kLength:
        out += "Content-Length: " + std::to_string(body.size() + is_cut) +
               "\r\n\r\n" + body;
        break;
    }
    return out;
}
