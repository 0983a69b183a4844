/* Sends the answer of an endpoint in pieces, in any framing, and can break it
 * off. */
#ifndef GALENAGW_SOAK_ANSWER_SENDER_H
#define GALENAGW_SOAK_ANSWER_SENDER_H

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_httpd.h"

/* How the end of a body is found; kUnframed: it ends with its connection. */
enum class Framing { kLength, kChunked, kUnframed };

/* How an answer ends. */
enum class AnswerEnd {
    kComplete,
    kTruncatedBody, /* the framing is complete, but the body is not */
    kClosed,        /* orderly close before the end of the framing */
    kReset
};

struct AnswerPlan {
    std::string head; /* status line and headers, without those of the
                         framing and without the empty line */
    std::string body;
    /* Ends of the pieces, ascending; the last one is the end of the body. */
    std::vector<size_t> piece_ends;
    GwTime interval = 0; /* of the pieces; 0: all are written at once */
    Framing framing = Framing::kLength;
    AnswerEnd end = AnswerEnd::kComplete;
    bool is_head_sent = false; /* and framed as chunked */

    /* Draw the framing. */
    void DrawFraming(std::mt19937_64 *random);
    /* Move some ends of pieces backwards. */
    void MovePieceEnds(std::mt19937_64 *random);
    /* Break the answer off at a random byte before the end of its body, but
     * only at a byte at which the endpoint's peer can detect it. */
    void DrawBreakOff(std::mt19937_64 *random);
};

/* Owned by its connection, as FakeExchange.user. */
class AnswerSender {
  public:
    /* Start to send. @p on_piece is called before each piece. */
    static void Start(GwLoop *loop, FakeExchange *exchange,
                      const AnswerPlan &plan, std::function<void()> on_piece);
    /* The connection closed. @p sender may be null. */
    static void Delete(AnswerSender *sender);

  private:
    static void OnTimer(void *user);
    void SendHead();
    void SendPiece(size_t end);
    void SendEnd();
    /* Wait for the next piece, or end the answer. */
    void WaitOrEnd();

    FakeExchange *exchange_ = nullptr;
    AnswerPlan plan_;
    std::function<void()> on_piece_;
    GwTimer timer_;
    size_t sent_size_ = 0, next_piece_ = 0;
    GwTime next_piece_at_ = 0;
};

#endif
