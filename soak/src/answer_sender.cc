#include "answer_sender.h"

#include <algorithm>

/* Larger bodies are never unframed: GwTcp_Finish drops what a peer has not
 * read for 2 s, and the peer cannot detect that. This size fits into the
 * buffers of the sockets. */
static const size_t kMaxUnframedSize = 16384;

void
AnswerPlan::DrawFraming(std::mt19937_64 *random)
{
    framing = (Framing)((*random)() % 3);
    if (framing == Framing::kUnframed && body.size() > kMaxUnframedSize)
        framing = Framing::kChunked;
    if (framing == Framing::kUnframed && (*random)() % 2 == 0)
        head += "Connection: close\r\n";
}

void
AnswerPlan::MovePieceEnds(std::mt19937_64 *random)
{
    size_t begin = 0;

    for (size_t i = 0; i + 1 < piece_ends.size(); i++) {
        if ((*random)() % 3 == 0)
            piece_ends[i] -= (*random)() % (piece_ends[i] - begin);
        begin = piece_ends[i];
    }
}

// The body is a stream, whose events end with an empty line. Behind a whole
// event, and behind the head, the end of the framing or of the connection
// would be the end of a complete answer.
void
AnswerPlan::DrawBreakOff(std::mt19937_64 *random)
{
    size_t at =
        (*random)() % 4 == 0 ? (*random)() % 2 : (*random)() % body.size();
    bool between_events =
        at == 0 ||
        (body[at - 1] == '\n' && (body.compare(at - 2, 2, "\n\n") == 0 ||
                                  body.compare(at - 3, 3, "\n\r\n") == 0));

    end = (*random)() % 3 == 0 ? AnswerEnd::kReset : AnswerEnd::kClosed;
    if (between_events && framing == Framing::kUnframed)
        end = AnswerEnd::kReset;
    if (!between_events && framing != Framing::kUnframed &&
        (*random)() % 2 == 0)
        end = AnswerEnd::kTruncatedBody;
    piece_ends.erase(
        std::upper_bound(piece_ends.begin(), piece_ends.end(), at),
        piece_ends.end());
    piece_ends.push_back(at);
}

void
AnswerSender::Start(GwLoop *loop, FakeExchange *exchange,
                    const AnswerPlan &plan, std::function<void()> on_piece)
{
    AnswerSender *sender = new AnswerSender();

    sender->exchange_ = exchange;
    sender->plan_ = plan;
    sender->on_piece_ = std::move(on_piece);
    exchange->user = sender;
    GwTimer_Init(&sender->timer_, loop, OnTimer, sender);
    if (!plan.is_head_sent)
        sender->SendHead();
    if (plan.interval > 0) {
        sender->next_piece_at_ = GwTime_Now() + plan.interval;
        sender->WaitOrEnd();
        return;
    }
    for (size_t end : plan.piece_ends)
        sender->SendPiece(end);
    sender->SendEnd();
}

// With a length, the peer may send its next request right after the last
// piece.
void
AnswerSender::WaitOrEnd()
{
    if (next_piece_ == plan_.piece_ends.size() &&
        plan_.framing == Framing::kLength)
        SendEnd();
    else
        GwTimer_Start(&timer_, MAX(next_piece_at_ - GwTime_Now(), 0));
}

void
AnswerSender::Delete(AnswerSender *sender)
{
    if (sender == nullptr)
        return;
    GwTimer_Stop(&sender->timer_);
    delete sender;
}

// Sends all pieces that are due. Otherwise a late event loop would delay each
// of them, and long streams would not end before their deadline.
void
AnswerSender::OnTimer(void *user)
{
    AnswerSender *sender = static_cast<AnswerSender *>(user);
    const std::vector<size_t> &ends = sender->plan_.piece_ends;
    GwTime now = GwTime_Now();

    sender->on_piece_();
    do {
        if (sender->next_piece_ == ends.size()) {
            sender->SendEnd();
            return;
        }
        sender->SendPiece(ends[sender->next_piece_++]);
        sender->next_piece_at_ += sender->plan_.interval;
    } while (sender->next_piece_at_ <= now);
    sender->WaitOrEnd();
}

void
AnswerSender::SendHead()
{
    size_t length = plan_.end == AnswerEnd::kTruncatedBody
                        ? plan_.piece_ends.back()
                        : plan_.body.size();
    std::string head = plan_.head;

    if (plan_.framing == Framing::kChunked)
        head += "Transfer-Encoding: chunked\r\n";
    if (plan_.framing == Framing::kLength)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    head += "\r\n";
    FakeExchange_Write(exchange_, head.data(), head.size());
}

void
AnswerSender::SendPiece(size_t end)
{
    std::string piece = plan_.body.substr(sent_size_, end - sent_size_);
    char size[32];

    sent_size_ = end;
    if (piece.empty())
        return;
    if (plan_.framing == Framing::kChunked) {
        snprintf(size, sizeof(size), "%zx\r\n", piece.size());
        piece = size + piece + "\r\n";
    }
    FakeExchange_Write(exchange_, piece.data(), piece.size());
}

void
AnswerSender::SendEnd()
{
    FakeExchange *exchange = exchange_;
    AnswerEnd end = plan_.end;
    Framing framing = plan_.framing;

    exchange->user = nullptr;
    Delete(this);
    if (end == AnswerEnd::kReset || end == AnswerEnd::kClosed)
        FakeExchange_Close(exchange, end == AnswerEnd::kReset);
    else if (framing == Framing::kUnframed)
        FakeExchange_Close(exchange, false);
    else if (framing == Framing::kChunked)
        FakeExchange_Write(exchange, "0\r\n\r\n", 5);
}
