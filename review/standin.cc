// Stand-ins of the platform's store, of plain workers and of clients, for the
// scripts of the cases. One program with a mode for each; threads and blocking
// sockets only, loopback addresses only.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;

// Three workers of a plain service, then three of a model service.
static const char *kWorkerHosts[] = {"127.0.0.41", "127.0.0.42", "127.0.0.43",
                                     "127.0.0.44", "127.0.0.45", "127.0.0.46"};
static const int kWorkers = 6;
static const int kPlainWorkers = 3;

// A stream: the time between two events, and the bytes of each.
static const int kStepUs = 3880;
static const size_t kPieceBytes = 360;

// ---------------------------------------------------------------- helpers

static void
SleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Milliseconds of a clock that all processes of this machine share.
static long
NowMs()
{
    return (long)std::chrono::duration_cast<std::chrono::milliseconds>(
               Clock::now().time_since_epoch())
        .count();
}

static FILE *record_file;
static std::mutex record_mutex;

static void
Record(const char *format, ...)
{
    std::lock_guard<std::mutex> lock(record_mutex);
    va_list args;

    fprintf(record_file, "%ld ", NowMs());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
}

static sockaddr_in
Address(const std::string &host, int port)
{
    sockaddr_in in = {};

    in.sin_family = AF_INET;
    in.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host.c_str(), &in.sin_addr);
    return in;
}

static int
Listen(const std::string &host, int port, int *actual)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    sockaddr_in in = Address(host, port);
    socklen_t len = sizeof(in);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (sockaddr *)&in, sizeof(in)) != 0 || listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, (sockaddr *)&in, &len);
    *actual = ntohs(in.sin_port);
    return fd;
}

static bool
SendAll(int fd, const std::string &data)
{
    size_t at = 0;

    while (at < data.size()) {
        ssize_t n = send(fd, data.data() + at, data.size() - at, MSG_NOSIGNAL);

        if (n <= 0)
            return false;
        at += (size_t)n;
    }
    return true;
}

static std::string
Lower(std::string s)
{
    for (char &c : s)
        c = (char)tolower(c);
    return s;
}

// One message of HTTP/1.1.
struct Message {
    std::string start;
    std::map<std::string, std::string> headers; // names in lowercase
    std::string body;

    std::string
    Header(const std::string &name) const
    {
        auto it = headers.find(name);

        return it != headers.end() ? it->second : "";
    }
};

static bool
ParseHead(const std::string &head, Message *m)
{
    size_t at = head.find("\r\n");

    m->start = head.substr(0, at);
    m->headers.clear();
    while (at != std::string::npos && at + 2 < head.size()) {
        size_t end = head.find("\r\n", at + 2);
        std::string line = head.substr(at + 2, end - at - 2);
        size_t colon = line.find(':');

        if (colon != std::string::npos) {
            size_t value = line.find_first_not_of(" \t", colon + 1);

            m->headers[Lower(line.substr(0, colon))] =
                value != std::string::npos ? line.substr(value) : "";
        }
        at = end;
    }
    return !m->start.empty();
}

// Reads one request with a Content-Length, or without a body.
static bool
ReadRequest(int fd, std::string *buffer, Message *m)
{
    char chunk[65536];
    size_t end;
    size_t length;

    while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
        ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

        if (n <= 0)
            return false;
        buffer->append(chunk, (size_t)n);
    }
    if (!ParseHead(buffer->substr(0, end + 2), m))
        return false;
    buffer->erase(0, end + 4);
    length = (size_t)atol(m->Header("content-length").c_str());
    while (buffer->size() < length) {
        ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

        if (n <= 0)
            return false;
        buffer->append(chunk, (size_t)n);
    }
    m->body = buffer->substr(0, length);
    buffer->erase(0, length);
    return true;
}

static std::string
Base64(const std::string &in)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;

    for (size_t i = 0; i < in.size(); i += 3) {
        unsigned n = (unsigned char)in[i] << 16;

        if (i + 1 < in.size())
            n |= (unsigned char)in[i + 1] << 8;
        if (i + 2 < in.size())
            n |= (unsigned char)in[i + 2];
        out += digits[n >> 18 & 63];
        out += digits[n >> 12 & 63];
        out += i + 1 < in.size() ? digits[n >> 6 & 63] : '=';
        out += i + 2 < in.size() ? digits[n & 63] : '=';
    }
    return out;
}

// ------------------------------------------------------------------ links

/* A link that can be cut: a proxy. While it is cut, no byte passes. What was
 * sent on connections of before, and on those that are opened meanwhile, is
 * lost, so those connections are silent for good; new ones work afterwards. */
static std::atomic<bool> is_cut(false);
static std::atomic<int> cuts_ended(0);
/* Calls for the list of workers that were lost on a cut link. */
static std::atomic<int> lost_list_calls(0);
/* Such calls that passed. */
static std::atomic<int> list_calls(0);

static void
Pump(int from, int to, std::shared_ptr<std::atomic<bool>> is_dead)
{
    char chunk[65536];
    ssize_t n;

    while ((n = recv(from, chunk, sizeof(chunk), 0)) > 0) {
        if (is_cut)
            *is_dead = true;
        bool is_list_call =
            std::string(chunk, (size_t)n).find("topic=keyed.servers") !=
            std::string::npos;

        if (*is_dead) {
            lost_list_calls += is_list_call;
            continue;
        }
        list_calls += is_list_call;
        if (!SendAll(to, std::string(chunk, (size_t)n)))
            break;
    }
    shutdown(from, SHUT_RD);
    if (!*is_dead)
        shutdown(to, SHUT_WR);
}

static void
ServeLink(int fd, const std::string &host, int port)
{
    auto is_dead = std::make_shared<std::atomic<bool>>(is_cut.load());
    int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in in = Address(host, port);

    if (connect(to, (sockaddr *)&in, sizeof(in)) == 0) {
        std::thread back(Pump, to, fd, is_dead);

        Pump(fd, to, is_dead);
        shutdown(to, SHUT_RDWR);
        back.join();
    }
    close(to);
    close(fd);
}

// Listens at `listen_port` of a host (0: any) for connections to a port there.
static int
RunLink(const std::string &host, int listen_port, int port)
{
    int actual = 0;
    int listener = Listen(host, listen_port, &actual);

    if (listener < 0)
        return -1;
    std::thread([listener, host, port] {
        int fd;

        while ((fd = accept(listener, NULL, NULL)) >= 0)
            std::thread(ServeLink, fd, host, port).detach();
    }).detach();
    return actual;
}

// ------------------------------------------------------------------ store

struct StoreItem {
    std::string key;
    std::string value;
    bool is_removal;
};

static std::map<std::string, std::vector<StoreItem>> topics;
static std::mutex topics_mutex;

static std::string
BigEndian64(uint64_t n)
{
    std::string out;

    for (int i = 7; i >= 0; i--)
        out += (char)(n >> (8 * i) & 0xff);
    return out;
}

static std::string
QueryField(const std::string &target, const std::string &name)
{
    size_t at = target.find('?');

    while (at != std::string::npos) {
        size_t end = target.find('&', at + 1);

        if (target.compare(at + 1, name.size() + 1, name + "=") == 0)
            return target.substr(
                at + name.size() + 2,
                end == std::string::npos ? end : end - at - name.size() - 2);
        at = end;
    }
    return "";
}

static std::string
BigEndian32(size_t n)
{
    return BigEndian64(n).substr(4);
}

// The body of the answer to a full read: the newest record of each key.
static std::string
NewestRecords(const std::vector<StoreItem> &items)
{
    std::string body = "{\"items\":[";
    bool is_first = true;

    for (size_t i = 0; i < items.size(); i++) {
        bool is_newest = !items[i].is_removal;

        for (size_t k = i + 1; k < items.size(); k++)
            is_newest = is_newest && items[k].key != items[i].key;
        if (!is_newest)
            continue;
        body += std::string(is_first ? "" : ",") + "{\"key\":\"" +
                items[i].key + "\",\"value\":\"" + Base64(items[i].value) +
                "\",\"offset\":" + std::to_string(i) + "}";
        is_first = false;
    }
    return body + "],\"more\":false,\"end\":" + std::to_string(items.size()) +
           "}";
}

// The body of the answer to a read of the records from an offset on, which
// waits for one until the time is over.
static std::string
RecordsFrom(const std::string &topic, size_t from, int wait_ms)
{
    long until = NowMs() + wait_ms;
    std::unique_lock<std::mutex> lock(topics_mutex);
    std::string body;

    while (topics[topic].size() <= from && NowMs() < until) {
        lock.unlock();
        SleepMs(2);
        lock.lock();
    }
    const std::vector<StoreItem> &items = topics[topic];

    body = BigEndian64(items.size()) + BigEndian64(0);
    for (size_t i = from; i < items.size(); i++) {
        std::string record = std::string(1, (char)items[i].key.size()) +
                             items[i].key +
                             (items[i].is_removal ? "" : items[i].value);

        body += BigEndian32(record.size()) + record;
    }
    return body;
}

static std::string
StoreAnswer(const Message &m)
{
    std::string target = m.start.substr(m.start.find(' ') + 1);
    std::string topic;
    std::string body;

    target = target.substr(0, target.find(' '));
    topic = QueryField(target, "topic");
    if (target.find("/log-read?") != std::string::npos) {
        body = RecordsFrom(topic,
                           (size_t)atol(QueryField(target, "from").c_str()),
                           atoi(QueryField(target, "wait_ms").c_str()));
    }
    else {
        std::lock_guard<std::mutex> lock(topics_mutex);
        std::vector<StoreItem> &items = topics[topic];

        if (target.find("/log-newest?") != std::string::npos)
            body = NewestRecords(items);
        else {
            body = "{\"offset\":" + std::to_string(items.size()) +
                   ",\"end\":" + std::to_string(items.size() + 1) + "}";
            items.push_back({"k" + std::to_string(items.size()), "x", false});
        }
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

static void
ServeStore(int fd)
{
    std::string buffer;
    Message m;

    while (ReadRequest(fd, &buffer, &m) && SendAll(fd, StoreAnswer(m)))
        ;
    close(fd);
}

// ---------------------------------------------------------------- workers

static std::string
Answer(const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// The calls of the sidecar beside a model worker: an idle worker with nothing
// cached, which gets no orders as no version is named.
static std::string
SidecarAnswer(const Message &m, const std::string &path)
{
    if (path.find("/report") != std::string::npos)
        return Answer("Content-Type: application/json\r\n",
                      "{\"stage\":\"unified\",\"models\":[{\"name\":\"m0\","
                      "\"version\":1,\"adapters\":[]}],\"busy\":false,"
                      "\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,"
                      "\"kv_total\":195645,\"handles\":0}");
    if (path.find("/kv-list") != std::string::npos)
        return Answer("Content-Type: application/json\r\n",
                      "{\"boot_epoch\":1,\"next_token\":0,\"held\":[]}");
    SleepMs(atoi(m.Header("wait-ms").c_str()));
    return Answer("Content-Type: application/json\r\n",
                  "{\"boot_epoch\":1,\"next_token\":0,\"lost\":false,"
                  "\"events\":[]}");
}

// Sends a stream of `count` events, one each step, and its end.
static bool
SendStream(int fd, const std::string &headers, int count)
{
    Clock::time_point due = Clock::now();

    if (!SendAll(fd, "HTTP/1.1 200 OK\r\n" + headers +
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int i = 1; i <= count; i++) {
        std::string event = "id: " + std::to_string(i) + "\ndata: ";
        char size[16];

        event += std::string(kPieceBytes - event.size() - 2, 'x') + "\n\n";
        snprintf(size, sizeof(size), "%zx\r\n", event.size());
        due += std::chrono::microseconds(kStepUs);
        std::this_thread::sleep_until(due);
        if (!SendAll(fd, size + event + "\r\n"))
            return false;
    }
    return SendAll(fd, "0\r\n\r\n");
}

// Answers a request after 15 ms. The last part of its path says with how many
// bytes, or with how many events on a /digest/ path. Connections that are idle
// for 5 s are closed, as announced.
static void
ServeWorker(int fd, int number)
{
    std::string buffer;
    std::string id = "i-" + std::to_string(number);
    timeval timeout = {5, 0};
    Message m;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    while (ReadRequest(fd, &buffer, &m)) {
        std::string request = m.Header("x-request-id");
        size_t at = m.start.find(' ') + 1;
        std::string path = m.start.substr(at, m.start.rfind(' ') - at);
        int size = atoi(path.substr(path.rfind('/') + 1).c_str());
        std::string headers = "X-Request-Id: " + request +
                              "\r\nX-Response-Signature: s-" + request +
                              "\r\nKeep-Alive: timeout=5\r\n";
        bool sent;

        if (path.find("/galenagw/") == 0) {
            if (!SendAll(fd, SidecarAnswer(m, path)))
                break;
            continue;
        }
        if (m.Header("x-expect-instance") != id) {
            if (!SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n"
                             "X-Not-Executed: 1\r\nX-Instance-Id: " +
                                 id + "\r\nContent-Length: 0\r\n\r\n"))
                break;
            continue;
        }
        Record("worker %d runs %s", number, request.c_str());
        SleepMs(15);
        if (path.find("/digest/") == 0)
            sent = SendStream(fd, headers + "X-Weight-Versions: 1\r\n", size);
        else
            sent = SendAll(fd, Answer(headers + "Content-Type: text/plain\r\n",
                                      std::string((size_t)size, 'x')));
        Record("worker %d %s %s: %s", number,
               sent ? "answered" : "could not answer", request.c_str(),
               path.c_str());
        if (!sent)
            break;
    }
    close(fd);
}

static void
AcceptLoop(int fd, void (*serve)(int, int), int number)
{
    int connection;

    while ((connection = accept(fd, NULL, NULL)) >= 0) {
        int on = 1;

        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread(serve, connection, number).detach();
    }
}

static void
ServeStoreConnection(int fd, int number)
{
    (void)number;
    ServeStore(fd);
}

static const char kConfig[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"list\",\"host\":\"desk.example\",\"path_prefix\":\"/list/\","
    "\"route_type\":\"idempotent\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":15000,\"priority\":2,\"max_attempts\":2,"
    "\"public\":false,\"sticky\":false,\"resumable\":false,"
    "\"service\":\"map-api\"},"
    "{\"name\":\"hold\",\"host\":\"desk.example\",\"path_prefix\":\"/hold/\","
    "\"route_type\":\"non_idempotent\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":100,\"priority\":2,\"max_attempts\":1,"
    "\"public\":false,\"sticky\":false,\"resumable\":false,"
    "\"service\":\"map-api\"},"
    "{\"name\":\"digest\",\"host\":\"desk.example\","
    "\"path_prefix\":\"/digest/\",\"route_type\":\"streaming\","
    "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,"
    "\"max_attempts\":1,\"public\":false,\"sticky\":true,"
    "\"resumable\":false,\"gap_aim_ms\":300,\"service\":\"hawa-llm\"}],"
    "\"services\":[{\"name\":\"map-api\",\"health_path\":\"/healthz\","
    "\"max_conns\":230,\"protocol\":\"h1\",\"tls\":false},"
    "{\"name\":\"hawa-llm\",\"health_path\":\"/healthz\","
    "\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
    "\"slots\":64,\"kv_capacity\":195645,\"kv_token_bytes\":163840,"
    "\"link_mbps\":370000.0,\"max_inflight\":12,"
    "\"models\":[{\"name\":\"m0\"}]}}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"desk\",\"api_keys\":[\"key-1\"],"
    "\"priority\":0,\"isolated\":false}]}";

// The row of a worker in the store's list.
static std::string
WorkerRow(int number, int port)
{
    bool is_plain = number < kPlainWorkers;

    return std::string("{\"service\":\"") +
           (is_plain ? "map-api" : "hawa-llm") + "\",\"address\":\"" +
           kWorkerHosts[number] + ":" + std::to_string(port) +
           "\",\"zone\":\"sapporo-a\",\"version\":\"v1\",\"slots\":" +
           (is_plain ? "6" : "64") +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1" +
           (is_plain ? ""
                     : ",\"stage\":\"unified\",\"models\":[{\"name\":\"m0\","
                       "\"version\":1,\"adapters\":[]}]") +
           "}";
}

// On SIGUSR1: cuts the gateway's links for 6 s or a little more, until a call
// for the list of workers has just been lost on them. Worker 0 leaves 0.2 s
// after the gateway's first call for the list that is not lost: its entry is
// removed, without a report of draining before, and it serves on. With
// TROUBLE=0 the same without the cut.
static volatile sig_atomic_t is_cut_wanted = 0;

static void
OnCutWanted(int sig)
{
    (void)sig;
    is_cut_wanted = 1;
}

static void
RunCut()
{
    const char *trouble = getenv("TROUBLE");
    int lost;

    while (!is_cut_wanted)
        SleepMs(5);
    is_cut = trouble == NULL || strcmp(trouble, "0") != 0;
    Record("the gateway's links are %s", is_cut ? "cut" : "not cut");
    SleepMs(6000);
    lost = lost_list_calls;
    while (is_cut && lost_list_calls == lost)
        SleepMs(1);
    lost = list_calls;
    is_cut = false;
    Record("links restored");
    while (list_calls == lost)
        SleepMs(1);
    Record("the gateway reads the list of workers");
    SleepMs(200);
    std::lock_guard<std::mutex> lock(topics_mutex);

    topics["keyed.servers"].push_back({"i-0", "", true});
    Record("worker 0 left");
}

// Runs the store and the workers. Prints the addresses of the model workers
// and then, once all listen, that of the store.
static int
RunPlatform(int gateway_agent_port, int agent_port)
{
    int store_port = 0;
    int store = Listen("127.0.0.40", 0, &store_port);
    std::vector<std::thread> threads;

    if (store < 0)
        return 2;
    topics["keyed.op"].push_back({"config", kConfig, false});
    for (int i = 0; i < kWorkers; i++) {
        int port = 0;
        int fd = Listen(kWorkerHosts[i], 0, &port);

        if (fd < 0)
            return 2;
        topics["keyed.servers"].push_back(
            {"i-" + std::to_string(i), WorkerRow(i, port), false});
        threads.emplace_back(AcceptLoop, fd, ServeWorker, i);
        if (i >= kPlainWorkers)
            printf("engine %s:%d\n", kWorkerHosts[i], port);
    }
    // The gateway's links: to the store, and to the sidecars.
    for (int i = kPlainWorkers; i < kWorkers; i++) {
        if (RunLink(kWorkerHosts[i], gateway_agent_port, agent_port) < 0)
            return 2;
    }
    printf("link 127.0.0.40:%d\n", RunLink("127.0.0.40", 0, store_port));
    printf("store 127.0.0.40:%d\n", store_port);
    fflush(stdout);
    std::thread(RunCut).detach();
    AcceptLoop(store, ServeStoreConnection, 0);
    return 0;
}

// ---------------------------------------------------------------- clients

// How a client reads. One that is not fast has the segment size of a network
// and a small receive buffer, as on loopback the kernel would take whole
// answers at once.
struct Pace {
    long bytes_per_s; // at most, steadily; 0: no limit
    int pause_ms;     // once, after the head of the answer was read
    int segment;      // maximum size of its segments
    int buffer;       // size of its receive buffer
};

static const Pace kFast = {0, 0, 0, 0};

struct Outcome {
    int status;      // 0: no answer began
    size_t expected; // bytes of the body, by its Content-Length
    size_t received; // bytes of the body, with its framing
    int events;
    bool complete;
    bool closed; // the connection ended before the answer was complete
    long took_ms;
};

static int
Connect(const std::string &host, int port, const Pace &pace)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in in = Address(host, port);

    if (pace.buffer > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &pace.segment,
                   sizeof(pace.segment));
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &pace.buffer,
                   sizeof(pace.buffer));
    }
    if (connect(fd, (sockaddr *)&in, sizeof(in)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static std::string
EncodeRequest(const std::string &method, const std::string &path,
              const std::string &id, int limit_ms)
{
    std::string out =
        method + " " + path +
        " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
        "\r\nX-Key: key-1\r\nX-Deadline-Ms: " + std::to_string(limit_ms) +
        "\r\n";
    std::string body = method == "POST" ? "cabin" : "";

    if (path.find("/digest/") == 0) {
        body = std::string(12000, 'p');
        out += "X-Model: m0\r\nX-Token-Usage: 6610,170\r\n"
               "X-Prefix-Hash: 5c1e07a2:512,91bd3f06:4870,e4402b7d:1228\r\n";
    }
    if (!body.empty())
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

// How much of its answer a client has read.
static void
UpdateOutcome(const Message &head, const std::string &body, Outcome *o)
{
    static const std::string last_chunk = "\r\n0\r\n\r\n";

    o->status = atoi(head.start.substr(head.start.find(' ') + 1).c_str());
    o->expected = (size_t)atol(head.Header("content-length").c_str());
    o->received = body.size();
    o->events = 0;
    for (size_t at = body.find("\n\n"); at != std::string::npos;
         at = body.find("\n\n", at + 2))
        o->events++;
    if (head.Header("transfer-encoding").empty())
        o->complete = body.size() >= o->expected;
    else
        o->complete = body.size() > last_chunk.size() &&
                      body.compare(body.size() - last_chunk.size(),
                                   last_chunk.size(), last_chunk) == 0;
}

// Sends one request and reads its answer until it is complete, the connection
// ends, or the time is over.
static Outcome
Exchange(int fd, const std::string &method, const std::string &path,
         const std::string &id, const Pace &pace, int limit_ms)
{
    Outcome o = {};
    std::string input;
    std::string body;
    Message head;
    bool has_head = false;
    long start = NowMs();
    long begun = 0;
    std::vector<char> chunk(65536);

    Record("client sends %s %s %s", method.c_str(), path.c_str(), id.c_str());
    SendAll(fd, EncodeRequest(method, path, id, limit_ms));
    while (!o.complete && !o.closed && NowMs() - start < limit_ms) {
        pollfd p = {fd, POLLIN, 0};
        size_t most = chunk.size();
        ssize_t n;

        if (pace.bytes_per_s > 0 && has_head) {
            long due = (NowMs() - begun) * pace.bytes_per_s / 1000;

            if (due - (long)body.size() < 1024) {
                SleepMs(5);
                continue;
            }
            most = std::min(most, (size_t)(due - (long)body.size()));
        }
        if (poll(&p, 1, 20) <= 0)
            continue;
        n = recv(fd, chunk.data(), most, 0);
        if (n <= 0) {
            o.closed = true;
            break;
        }
        if (has_head)
            body.append(chunk.data(), (size_t)n);
        else {
            size_t end;

            input.append(chunk.data(), (size_t)n);
            end = input.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            ParseHead(input.substr(0, end + 2), &head);
            body = input.substr(end + 4);
            has_head = true;
            SleepMs(pace.pause_ms);
            begun = NowMs();
        }
        UpdateOutcome(head, body, &o);
    }
    o.took_ms = NowMs() - start;
    Record("client %s %s: status %d, %zu bytes, %d events, %ld ms", id.c_str(),
           o.complete ? "has its answer"
           : o.closed ? "lost its connection"
                      : "gave up",
           o.status, o.received, o.events, o.took_ms);
    return o;
}

static bool
WaitReady(const std::string &host, int port)
{
    for (int i = 0; i < 200; i++) {
        int fd = Connect(host, port, kFast);
        char answer[64] = "";

        if (fd >= 0) {
            SendAll(fd, "GET /galenagw/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            if (recv(fd, answer, sizeof(answer) - 1, 0) > 0 &&
                strstr(answer, " 200 ") != NULL) {
                close(fd);
                return true;
            }
            close(fd);
        }
        SleepMs(50);
    }
    return false;
}

// ------------------------------------------------------------------ cases

struct Target {
    std::string host;
    int port;
    pid_t pid; // of the gateway
};

// Clients read long lists. Then the gateway gets SIGTERM, and cabins are held
// while it drains. The rule: a hold that a worker has answered must not end
// with a closed connection and without its answer. All deadlines and the
// route's timeout are later than the grace time.
static int
RunPausedCase(const Target &t, bool trouble)
{
    const int kReaders = 24;
    const int kHolds = 60;
    Pace pace = trouble ? Pace{500 * 1000, 0, 1400, 64 * 1024} : kFast;
    std::vector<std::thread> threads;
    std::atomic<int> complete(0);
    std::atomic<int> cut(0);

    for (int i = 0; i < kReaders; i++)
        threads.emplace_back([&, i] {
            int fd = Connect(t.host, t.port, pace);

            Exchange(fd, "GET", "/list/" + std::to_string(600000 + i * 17000),
                     "list-" + std::to_string(i), pace, 15000);
            close(fd);
        });
    for (auto &thread : threads)
        thread.join();
    threads.clear();
    Record("SIGTERM to the gateway");
    kill(t.pid, SIGTERM);
    SleepMs(100);
    for (int i = 0; i < kHolds; i++)
        threads.emplace_back([&, i] {
            int fd = Connect(t.host, t.port, kFast);
            Outcome o = Exchange(fd, "POST", "/hold/800",
                                 "hold-" + std::to_string(i), kFast, 15000);

            complete += o.complete && o.status == 200;
            cut += o.closed;
            close(fd);
        });
    for (auto &thread : threads)
        thread.join();
    Record("%d of %d holds were answered, %d lost their connection without "
           "an answer",
           complete.load(), kHolds, cut.load());
    return cut > 0 ? 1 : complete == kHolds ? 0 : 2;
}

// Clients do not read for 3 s after the head of a stream, then read the
// rest at once. The stream is the longest of the site: 170 events of 360
// bytes. The gateway gets SIGTERM 0.1 s before the requests. The rule: all
// streams are complete, as the grace time of 8 s is not over.
static int
RunDrainCase(const Target &t, bool trouble)
{
    const int kReaders = 8;
    const int kEvents = 170;
    Pace pace = {0, 3000, 536, 2 * 1024};
    std::vector<std::thread> threads;
    std::atomic<int> complete(0);
    std::atomic<int> cut(0);

    if (trouble) {
        Record("SIGTERM to the gateway");
        kill(t.pid, SIGTERM);
    }
    SleepMs(100);
    for (int i = 0; i < kReaders; i++)
        threads.emplace_back([&, i] {
            int fd = Connect(t.host, t.port, pace);
            Outcome o =
                Exchange(fd, "POST", "/digest/" + std::to_string(kEvents),
                         "digest-" + std::to_string(i), pace, 15000);

            complete += o.complete && o.status == 200 && o.events == kEvents;
            cut += o.closed;
            close(fd);
        });
    for (auto &thread : threads)
        thread.join();
    Record("%d of %d streams were complete, %d were cut", complete.load(),
           kReaders, cut.load());
    return cut > 0 ? 1 : complete == kReaders ? 0 : 2;
}

// Clients read a stream of 170 events steadily, at 12 kB/s. The gateway gets
// SIGHUP 0.1 s before the requests. The rule: all streams are complete.
static int
RunSlowCase(const Target &t, bool trouble)
{
    const int kReaders = 8;
    const int kEvents = 170;
    Pace pace = trouble ? Pace{12 * 1000, 0, 1400, 4 * 1024} : kFast;
    std::vector<std::thread> threads;
    std::atomic<int> complete(0);
    std::atomic<int> cut(0);

    Record("SIGHUP to the gateway");
    kill(t.pid, SIGHUP);
    SleepMs(100);
    for (int i = 0; i < kReaders; i++)
        threads.emplace_back([&, i] {
            int fd = Connect(t.host, t.port, pace);
            Outcome o =
                Exchange(fd, "POST", "/digest/" + std::to_string(kEvents),
                         "digest-" + std::to_string(i), pace, 15000);

            complete += o.complete && o.status == 200 && o.events == kEvents;
            cut += o.closed;
            close(fd);
        });
    for (auto &thread : threads)
        thread.join();
    Record("%d of %d streams were complete, %d were cut", complete.load(),
           kReaders, cut.load());
    return cut > 0 ? 1 : complete == kReaders ? 0 : 2;
}

// Clients hold cabins all the time while the gateway's links are cut,
// restored, and worker 0 leaves. What reached the worker is judged by
// JudgeDrain.
static int
RunLeavingCase(const Target &t, pid_t platform)
{
    std::vector<std::thread> threads;
    std::atomic<bool> is_over(false);

    for (int i = 0; i < 12; i++)
        threads.emplace_back([&, i] {
            int fd = Connect(t.host, t.port, kFast);

            for (int k = 0; !is_over; k++) {
                std::string id =
                    "hold-" + std::to_string(i) + "-" + std::to_string(k);
                Outcome o = Exchange(fd, "POST", "/hold/800", id, kFast, 2500);

                if (!o.complete) {
                    close(fd);
                    fd = Connect(t.host, t.port, kFast);
                }
                SleepMs(20);
            }
            close(fd);
        });
    SleepMs(2000);
    kill(platform, SIGUSR1);
    SleepMs(14000);
    is_over = true;
    for (auto &thread : threads)
        thread.join();
    return 0;
}

// Reads record.txt. The rule: 2 s after worker 0 left, no request reaches it
// that the gateway got while it was in touch, which it is 3 s after its links
// were restored. 20 ms are left for the way from the client.
static int
JudgeDrain(const char *file)
{
    FILE *f = fopen(file, "r");
    char line[512];
    long restored = 0;
    long left = 0;
    long last = 0;
    int late = 0;
    int n = 0;

    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        long at = atol(line);

        if (strstr(line, "links restored") != NULL)
            restored = at;
        if (strstr(line, "worker 0 left") != NULL)
            left = at;
        if (strstr(line, "worker 0 runs") == NULL)
            continue;
        n++;
        if (left != 0 && at > left + 2000 && at > restored + 3000 + 20) {
            late++;
            last = at - left;
        }
    }
    if (f != NULL)
        fclose(f);
    printf("worker 0 ran %d requests; %d reached it too late, the last one "
           "%ld ms after it left\n",
           n, late, last);
    return left == 0 || n == 0 ? 2 : late > 0 ? 1 : 0;
}

// Prints the first of `count` successive ports that are free on all hosts.
static int
FindPorts(int count, const std::vector<std::string> &hosts)
{
    for (int i = 0; i < 200; i++) {
        int first = 20000 + (int)((NowMs() + getpid() * 37 + i * 101) % 12000);
        std::vector<int> fds;
        bool is_free = true;

        for (const std::string &host : hosts) {
            for (int k = 0; k < count; k++) {
                int actual = 0;
                int fd = Listen(host, first + k, &actual);

                is_free = is_free && fd >= 0;
                if (fd >= 0)
                    fds.push_back(fd);
            }
        }
        for (int fd : fds)
            close(fd);
        if (is_free) {
            printf("%d\n", first);
            return 0;
        }
    }
    return 2;
}

int
main(int argc, char **argv)
{
    std::string mode = argc > 1 ? argv[1] : "";
    const char *record = getenv("RECORD");
    const char *trouble = getenv("TROUBLE");
    bool has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;

    signal(SIGPIPE, SIG_IGN);
    record_file = fopen(record != NULL ? record : "/dev/null", "a");
    if (record_file == NULL)
        return 2;
    signal(SIGUSR1, OnCutWanted);
    if (mode == "platform" && argc == 4)
        return RunPlatform(atoi(argv[2]), atoi(argv[3]));
    if (mode == "ports" && argc > 3)
        return FindPorts(atoi(argv[2]),
                         std::vector<std::string>(argv + 3, argv + argc));
    if (mode == "ready" && argc == 4)
        return WaitReady(argv[2], atoi(argv[3])) ? 0 : 2;
    if (mode == "judge" && argc == 3)
        return JudgeDrain(argv[2]);
    if (mode == "leaving" && argc == 6)
        return RunLeavingCase({argv[2], atoi(argv[3]), 0},
                              (pid_t)atoi(argv[5]));
    if (argc == 6) {
        Target t = {argv[2], atoi(argv[3]), (pid_t)atoi(argv[4])};

        if (mode == "paused")
            return RunPausedCase(t, has_trouble);
        if (mode == "drain")
            return RunDrainCase(t, has_trouble);
        if (mode == "slow")
            return RunSlowCase(t, has_trouble);
    }
    fprintf(stderr, "standin: unknown mode\n");
    return 2;
}
