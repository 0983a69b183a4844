// Stand-ins for the cases 4 to 8 of the review: a store, endpoints and clients
// on loopback addresses. All of them use blocking sockets, one thread for each
// connection.
#ifndef REVIEW_STANDINS_2_WORLD_H
#define REVIEW_STANDINS_2_WORLD_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace world {

// Milliseconds of a steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);

// A request or an answer.
struct Message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // Value of a header, or nullptr.
    const std::string *Find(const char *name) const;
    // Value of a header, or the empty string.
    std::string Get(const char *name) const;
    // Of a request.
    std::string Method() const;
    std::string Target() const;
    // Of an answer; 0: none.
    int Status() const;
    // Of an answer: how the body ended.
    bool is_complete = false;
};

// Value of a field of a query, or the empty string.
std::string QueryField(const std::string &target, const char *name);

// One connection.
class Connection {
  public:
    explicit Connection(int fd) : fd_(fd)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Connects; the result is not open if that fails.
    static std::unique_ptr<Connection> Open(const std::string &host, int port);

    bool
    IsOpen() const
    {
        return fd_ >= 0;
    }
    // Sends all bytes.
    bool Send(const std::string &bytes);
    // Reads a request. Returns false if the connection ended before it.
    bool ReadRequest(Message *request);
    // Reads an answer. Returns whether its head was received; see also
    // Message::is_complete.
    bool ReadAnswer(Message *answer, int64_t timeout_ms);
    // Reads what has arrived; waits for it. Returns false at the end.
    bool ReadSome(std::string *bytes);
    // Ends both directions, also for a thread that reads.
    void ShutDown();
    // Resets the connection.
    void Reset();
    void Close();

  private:
    bool ReadMore(int64_t until);
    bool ReadHead(Message *m, int64_t until);

    int fd_;
    std::string buffer_;
};

// Accepts connections and calls a function in a thread for each.
class Listener {
  public:
    using Handler = std::function<void(Connection *)>;

    // Port 0: any. Ends the process if the address cannot be used.
    Listener(const std::string &host, int port, Handler handler);

    const std::string &
    Host() const
    {
        return host_;
    }
    int
    Port() const
    {
        return port_;
    }
    std::string Address() const;

  private:
    std::string host_;
    int port_;
    int fd_;
    Handler handler_;
};

// The platform's store: topics with one partition each.
class Store {
  public:
    Store();

    std::string Address() const;
    // Appends a record to a keyed topic.
    void Put(const std::string &topic, const std::string &key,
             const std::string &value);
    // Newest value of a key; the empty string: none.
    std::string Newest(const std::string &topic, const std::string &key);

  private:
    struct Record {
        std::string content; // as it is in the log
        std::string key;
        std::string value;
    };

    void Serve(Connection *c);
    bool ServeCall(Connection *c, const Message &call);
    bool ServeRead(Connection *c, const Message &call);
    bool ServeNewest(Connection *c, const Message &call);
    bool ServeAppend(Connection *c, const Message &call);

    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, std::vector<Record>> topics_;
    std::unique_ptr<Listener> listener_;
};

// An answer with a length.
std::string Answer(int status, const std::string &headers,
                   const std::string &body);

// The file that shows what was sent, answered and run; thread-safe.
class Record {
  public:
    explicit Record(const std::string &path);

    // One line, with the time since the start.
    void Line(const char *format, ...) __attribute__((format(printf, 2, 3)));

  private:
    std::mutex mutex_;
    FILE *file_;
    int64_t started_at_;
};

// When each request was sent, run and answered, for the end of the record;
// thread-safe.
class History {
  public:
    void Sent(const std::string &id);
    // A worker began to work on it.
    void Run(const std::string &id, const std::string &worker);
    // Status 0: the connection ended without an answer.
    void Answered(const std::string &id, int status);
    // One line for each request, in the order of ids.
    void Write(Record *record);

  private:
    struct Request {
        int64_t sent_at = 0;
        int64_t answered_at = 0;
        int status = -1; // none yet
        std::string runs;
    };

    std::mutex mutex_;
    int64_t started_at_ = NowMs();
    std::map<std::string, Request> requests_;
};

// Steps that the shell script and the stand-in take in turn: files in a
// folder.
class Steps {
  public:
    explicit Steps(std::string folder) : folder_(std::move(folder))
    {
    }

    // Ends the process with 2 if the step is not reached in time.
    void Wait(const std::string &name, int64_t timeout_ms = 20000) const;
    void Reached(const std::string &name,
                 const std::string &content = "") const;

  private:
    std::string folder_;
};

} // namespace world

#endif
