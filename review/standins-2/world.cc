#include "world.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace world {

namespace {

constexpr size_t kReadBytes = 64 * 1024;

std::string
BigEndian(uint64_t n, int bytes)
{
    std::string out;

    for (int i = bytes - 1; i >= 0; i--)
        out += static_cast<char>(n >> (8 * i));
    return out;
}

std::string
Base64(const std::string &in)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;

    for (size_t i = 0; i < in.size(); i += 3) {
        uint32_t n = 0;

        for (size_t k = 0; k < 3; k++)
            n = n << 8 |
                (i + k < in.size() ? static_cast<uint8_t>(in[i + k]) : 0);
        for (size_t k = 0; k < 4; k++)
            out += i + k <= in.size() ? digits[n >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

sockaddr_in
SocketAddress(const std::string &host, int port)
{
    sockaddr_in in = {};

    in.sin_family = AF_INET;
    in.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &in.sin_addr);
    return in;
}

void
SetNoDelay(int fd)
{
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

int64_t
NowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void
SleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

const std::string *
Message::Find(const char *name) const
{
    for (const auto &h : headers) {
        if (strcasecmp(h.first.c_str(), name) == 0)
            return &h.second;
    }
    return nullptr;
}

std::string
Message::Get(const char *name) const
{
    const std::string *value = Find(name);

    return value != nullptr ? *value : "";
}

std::string
Message::Method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string
Message::Target() const
{
    size_t from = start_line.find(' ');
    size_t to = start_line.rfind(' ');

    return from == std::string::npos || to <= from
               ? ""
               : start_line.substr(from + 1, to - from - 1);
}

int
Message::Status() const
{
    size_t at = start_line.find(' ');

    return at == std::string::npos ? 0 : atoi(start_line.c_str() + at + 1);
}

std::string
QueryField(const std::string &target, const char *name)
{
    std::string wanted = std::string(name) + "=";
    size_t at = target.find('?');

    while (at != std::string::npos) {
        size_t end = target.find('&', at + 1);

        if (target.compare(at + 1, wanted.size(), wanted) == 0)
            return target.substr(
                at + 1 + wanted.size(),
                end == std::string::npos ? end : end - at - 1 - wanted.size());
        at = end;
    }
    return "";
}

Connection::~Connection()
{
    Close();
}

std::unique_ptr<Connection>
Connection::Open(const std::string &host, int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in in = SocketAddress(host, port);

    SetNoDelay(fd);
    if (connect(fd, reinterpret_cast<sockaddr *>(&in), sizeof(in)) != 0) {
        close(fd);
        fd = -1;
    }
    return std::make_unique<Connection>(fd);
}

bool
Connection::Send(const std::string &bytes)
{
    size_t at = 0;

    while (fd_ >= 0 && at < bytes.size()) {
        ssize_t n =
            send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);

        if (n <= 0)
            return false;
        at += static_cast<size_t>(n);
    }
    return fd_ >= 0;
}

bool
Connection::ReadMore(int64_t until)
{
    char bytes[kReadBytes];
    pollfd p = {fd_, POLLIN, 0};
    int64_t left = until - NowMs();
    ssize_t n;

    if (fd_ < 0 || left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
        return false;
    n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0)
        return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
}

bool
Connection::ReadHead(Message *m, int64_t until)
{
    size_t end;
    size_t at;

    *m = Message();
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!ReadMore(until))
            return false;
    }
    at = buffer_.find("\r\n");
    m->start_line = buffer_.substr(0, at);
    while (at < end) {
        size_t next = buffer_.find("\r\n", at + 2);
        std::string line = buffer_.substr(at + 2, next - at - 2);
        size_t colon = line.find(':');

        if (colon != std::string::npos) {
            size_t from = line.find_first_not_of(' ', colon + 1);

            m->headers.emplace_back(
                line.substr(0, colon),
                from == std::string::npos ? "" : line.substr(from));
        }
        at = next;
    }
    buffer_.erase(0, end + 4);
    return true;
}

bool
Connection::ReadRequest(Message *request)
{
    int64_t until = NowMs() + 120000;
    size_t length;

    if (!ReadHead(request, until))
        return false;
    length = strtoul(request->Get("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!ReadMore(until))
            return false;
    }
    request->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

bool
Connection::ReadAnswer(Message *answer, int64_t timeout_ms)
{
    int64_t until = NowMs() + timeout_ms;
    const std::string *length;

    if (!ReadHead(answer, until))
        return false;
    length = answer->Find("Content-Length");
    if (length != nullptr) {
        size_t n = strtoul(length->c_str(), nullptr, 10);

        while (buffer_.size() < n && ReadMore(until))
            ;
        answer->is_complete = buffer_.size() >= n;
        answer->body = buffer_.substr(0, n);
        buffer_.erase(0, n);
        return true;
    }
    for (;;) {
        size_t end;
        size_t n;

        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!ReadMore(until))
                return true;
        }
        n = strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + n + 2) {
            if (!ReadMore(until))
                return true;
        }
        answer->body += buffer_.substr(end + 2, n);
        buffer_.erase(0, end + 2 + n + 2);
        if (n == 0) {
            answer->is_complete = true;
            return true;
        }
    }
}

bool
Connection::ReadSome(std::string *bytes)
{
    char chunk[kReadBytes];
    ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);

    if (n <= 0)
        return false;
    bytes->assign(chunk, static_cast<size_t>(n));
    return true;
}

void
Connection::ShutDown()
{
    if (fd_ >= 0)
        shutdown(fd_, SHUT_RDWR);
}

void
Connection::Reset()
{
    linger on = {1, 0};

    if (fd_ >= 0)
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &on, sizeof(on));
    Close();
}

void
Connection::Close()
{
    if (fd_ >= 0)
        close(fd_);
    fd_ = -1;
}

Listener::Listener(const std::string &host, int port, Handler handler)
    : host_(host), port_(port), handler_(std::move(handler))
{
    sockaddr_in in = SocketAddress(host, port);
    socklen_t len = sizeof(in);
    int on = 1;

    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd_, reinterpret_cast<sockaddr *>(&in), sizeof(in)) != 0 ||
        listen(fd_, 256) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr *>(&in), &len) != 0) {
        fprintf(stderr, "cannot listen on %s\n", host.c_str());
        exit(2);
    }
    port_ = ntohs(in.sin_port);
    std::thread([this] {
        for (;;) {
            int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);

            if (fd < 0)
                continue;
            SetNoDelay(fd);
            std::thread([this, fd] {
                Connection c(fd);

                handler_(&c);
            }).detach();
        }
    }).detach();
}

std::string
Listener::Address() const
{
    return host_ + ":" + std::to_string(port_);
}

Store::Store()
{
    listener_ = std::make_unique<Listener>(
        "127.0.0.1", 0, [this](Connection *c) { Serve(c); });
}

std::string
Store::Address() const
{
    return listener_->Address();
}

void
Store::Put(const std::string &topic, const std::string &key,
           const std::string &value)
{
    std::lock_guard<std::mutex> lock(mutex_);
    Record r;

    r.key = key;
    r.value = value;
    r.content = BigEndian(key.size(), 1) + key + value;
    topics_[topic].push_back(r);
    appended_.notify_all();
}

std::string
Store::Newest(const std::string &topic, const std::string &key)
{
    std::lock_guard<std::mutex> lock(mutex_);
    std::string value;

    for (const Record &r : topics_[topic]) {
        if (r.key == key)
            value = r.value;
    }
    return value;
}

void
Store::Serve(Connection *c)
{
    Message call;

    while (c->ReadRequest(&call) && ServeCall(c, call))
        ;
}

bool
Store::ServeCall(Connection *c, const Message &call)
{
    std::string target = call.Target();

    if (target.find("/galenagw/log-read?") == 0)
        return ServeRead(c, call);
    if (target.find("/galenagw/log-newest?") == 0)
        return ServeNewest(c, call);
    if (target.find("/galenagw/log-append?") == 0)
        return ServeAppend(c, call);
    return c->Send(Answer(404, "", "{}"));
}

bool
Store::ServeRead(Connection *c, const Message &call)
{
    std::string topic = QueryField(call.Target(), "topic");
    size_t from = strtoul(QueryField(call.Target(), "from").c_str(), 0, 10);
    int64_t wait = atoll(QueryField(call.Target(), "wait_ms").c_str());
    std::string body;

    {
        std::unique_lock<std::mutex> lock(mutex_);
        std::vector<Record> &records = topics_[topic];

        appended_.wait_for(lock, std::chrono::milliseconds(wait),
                           [&] { return records.size() > from; });
        body = BigEndian(records.size(), 8) + BigEndian(0, 8);
        for (size_t i = from; i < records.size(); i++)
            body +=
                BigEndian(records[i].content.size(), 4) + records[i].content;
    }
    return c->Send(Answer(200, "", body));
}

bool
Store::ServeNewest(Connection *c, const Message &call)
{
    std::string topic = QueryField(call.Target(), "topic");
    std::string body;

    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<Record> &records = topics_[topic];
        std::map<std::string, size_t> newest;

        for (size_t i = 0; i < records.size(); i++)
            newest[records[i].key] = i;
        body = "{\"items\":[";
        for (const auto &n : newest) {
            if (records[n.second].value.empty())
                continue;
            body += (body.back() == '[' ? "" : ",") +
                    std::string("{\"key\":\"") + n.first + "\",\"value\":\"" +
                    Base64(records[n.second].value) +
                    "\",\"offset\":" + std::to_string(n.second) + "}";
        }
        body +=
            "],\"more\":false,\"end\":" + std::to_string(records.size()) + "}";
    }
    return c->Send(Answer(200, "Content-Type: application/json\r\n", body));
}

bool
Store::ServeAppend(Connection *c, const Message &call)
{
    std::string topic = QueryField(call.Target(), "topic");
    std::string at = QueryField(call.Target(), "at");
    const std::string &in = call.body;
    std::string body;
    int status = 200;

    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<Record> &records = topics_[topic];
        size_t first = records.size();
        size_t p = 0;

        if (!at.empty() && strtoul(at.c_str(), nullptr, 10) != first)
            status = 412;
        while (status == 200 && p + 4 <= in.size()) {
            size_t n = 0;
            Record r;

            for (int i = 0; i < 4; i++)
                n = n << 8 | static_cast<uint8_t>(in[p + i]);
            r.content = in.substr(p + 4, n);
            p += 4 + n;
            if (topic.find("keyed.") == 0 && !r.content.empty()) {
                size_t key = static_cast<uint8_t>(r.content[0]);

                r.key = r.content.substr(1, key);
                r.value = r.content.substr(1 + key);
            }
            records.push_back(r);
        }
        body = "{\"offset\":" + std::to_string(first) +
               ",\"end\":" + std::to_string(records.size()) + "}";
        appended_.notify_all();
    }
    return c->Send(Answer(status, "Content-Type: application/json\r\n", body));
}

std::string
Answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

Record::Record(const std::string &path)
    : file_(fopen(path.c_str(), "w")), started_at_(NowMs())
{
    if (file_ == nullptr) {
        fprintf(stderr, "cannot write %s\n", path.c_str());
        exit(2);
    }
}

void
Record::Line(const char *format, ...)
{
    std::lock_guard<std::mutex> lock(mutex_);
    va_list args;

    fprintf(file_, "%8.3f s  ",
            static_cast<double>(NowMs() - started_at_) / 1000);
    va_start(args, format);
    vfprintf(file_, format, args);
    va_end(args);
    fputc('\n', file_);
    fflush(file_);
}

void
History::Sent(const std::string &id)
{
    std::lock_guard<std::mutex> lock(mutex_);

    requests_[id].sent_at = NowMs() - started_at_;
}

void
History::Run(const std::string &id, const std::string &worker)
{
    std::lock_guard<std::mutex> lock(mutex_);

    requests_[id].runs +=
        " run by " + worker + " at " + std::to_string(NowMs() - started_at_);
}

void
History::Answered(const std::string &id, int status)
{
    std::lock_guard<std::mutex> lock(mutex_);

    requests_[id].answered_at = NowMs() - started_at_;
    requests_[id].status = status;
}

void
History::Write(Record *record)
{
    std::lock_guard<std::mutex> lock(mutex_);

    record->Line("All requests, times in ms since the start:");
    for (const auto &r : requests_)
        record->Line(
            "%s sent at %lld%s, answered at %lld with %d", r.first.c_str(),
            static_cast<long long>(r.second.sent_at), r.second.runs.c_str(),
            static_cast<long long>(r.second.answered_at), r.second.status);
}

void
Steps::Wait(const std::string &name, int64_t timeout_ms) const
{
    int64_t until = NowMs() + timeout_ms;

    while (access((folder_ + "/" + name).c_str(), F_OK) != 0) {
        if (NowMs() > until) {
            fprintf(stderr, "step %s was not reached\n", name.c_str());
            exit(2);
        }
        SleepMs(10);
    }
}

void
Steps::Reached(const std::string &name, const std::string &content) const
{
    std::string path = folder_ + "/" + name;
    FILE *file = fopen((path + ".new").c_str(), "w");

    if (file == nullptr)
        exit(2);
    fputs(content.c_str(), file);
    fclose(file);
    rename((path + ".new").c_str(), path.c_str());
}

} // namespace world
