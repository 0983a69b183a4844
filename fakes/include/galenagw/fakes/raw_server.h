// A server that sends bytes of the test's choice, whether they are an answer
// or not.
#ifndef GALENAGW_FAKES_RAW_SERVER_H
#define GALENAGW_FAKES_RAW_SERVER_H

#include <list>
#include <string>

#include "galenagw/base/clock.h"
#include "galenagw/net/loop.h"
#include "galenagw/net/tcp.h"

class RawServer {
  public:
    struct Script {
        // Sent when the first bytes of a call arrive; {ID} is replaced by the
        // value of its X-Request-Id.
        std::string start;
        std::string repeated;   // sent after it, over and over
        bool resets = false;    // the connection is reset after `start`,
        GwTime reset_delay = 0; // so much later, and until then
        bool reads_on = false;  // the rest of the call is read
    };

    RawServer(GwLoop *loop, const GwAddress &address, Script script)
        : loop_(loop), script_(std::move(script)),
          server_(GwTcpServer_New(loop, &address, OnAccept, this, nullptr))
    {
    }
    ~RawServer()
    {
        for (Connection &c : connections_) {
            StopTimers(&c);
            GwTcp_Close(c.tcp);
        }
        GwTcpServer_Delete(server_);
    }
    int
    Port() const
    {
        return GwTcpServer_Port(server_);
    }

    int accepted = 0; // connections
    int answered = 0; // connections on which `start` was sent
    int closed = 0;   // connections that were closed by the other side
    size_t sent = 0;  // bytes, of all connections

  private:
    struct Connection {
        RawServer *owner;
        GwTcp *tcp;
        GwTimer reset_timer, write_timer;
        bool is_answered = false;
    };
    static void
    OnAccept(void *user, GwTcp *tcp)
    {
        static const GwTcpOps ops = {nullptr, OnData, OnClosed, nullptr};
        RawServer *s = static_cast<RawServer *>(user);

        s->accepted++;
        s->connections_.push_back({s, tcp, {}, {}, false});
        Connection *c = &s->connections_.back();
        GwTimer_Init(&c->reset_timer, s->loop_, OnResetTimer, c);
        GwTimer_Init(&c->write_timer, s->loop_, OnWriteTimer, c);
        GwTcp_SetOps(tcp, &ops, c);
    }
    static void
    OnData(void *user, const uint8_t *data, size_t len)
    {
        Connection *c = static_cast<Connection *>(user);
        RawServer *s = c->owner;

        if (c->is_answered)
            return;
        c->is_answered = true;
        s->answered++;
        Write(c, s->StartOf({reinterpret_cast<const char *>(data), len}));
        if (s->script_.resets && !s->script_.reads_on)
            GwTcp_Pause(c->tcp, true);
        if (s->script_.resets)
            GwTimer_Start(&c->reset_timer, s->script_.reset_delay);
        if (!s->script_.repeated.empty())
            OnWriteTimer(c);
    }
    std::string
    StartOf(const std::string &call) const
    {
        const std::string name = "X-Request-Id: ", placeholder = "{ID}";
        std::string text = script_.start;
        size_t at = call.find(name), to = text.find(placeholder);

        if (at != std::string::npos && to != std::string::npos)
            text.replace(to, placeholder.size(), call, at + name.size(),
                         call.find("\r\n", at) - at - name.size());
        return text;
    }
    static void
    OnWriteTimer(void *user)
    {
        const size_t piece = 64 * 1024;
        Connection *c = static_cast<Connection *>(user);
        std::string text;

        while (text.size() < piece)
            text += c->owner->script_.repeated;
        if (GwTcp_Pending(c->tcp) < piece)
            Write(c, text);
        GwTimer_Start(&c->write_timer, GW_MILLISECOND);
    }
    static void
    OnClosed(void *user, GwTcpEnd)
    {
        Connection *c = static_cast<Connection *>(user);
        RawServer *s = c->owner;

        s->closed++;
        StopTimers(c);
        s->connections_.remove_if(
            [&](const Connection &other) { return &other == c; });
    }
    static void
    OnResetTimer(void *user)
    {
        Connection *c = static_cast<Connection *>(user);

        StopTimers(c);
        GwTcp_Reset(c->tcp);
        c->owner->connections_.remove_if(
            [&](const Connection &other) { return &other == c; });
    }
    static void
    StopTimers(Connection *c)
    {
        GwTimer_Stop(&c->reset_timer);
        GwTimer_Stop(&c->write_timer);
    }
    static void
    Write(Connection *c, const std::string &text)
    {
        c->owner->sent += text.size();
        GwTcp_Write(c->tcp, reinterpret_cast<const uint8_t *>(text.data()),
                    text.size());
    }

    GwLoop *loop_;
    Script script_;
    std::list<Connection> connections_;
    GwTcpServer *server_;
};

#endif
