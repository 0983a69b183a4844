#include "strain.h"

#include <algorithm>
#include <cstdio>

static const GwTime kTick = 20 * GW_MILLISECOND;
static const GwTime kCount = 250 * GW_MILLISECOND;

int Strain::unopened;

static size_t
Descriptors()
{
    g_autoptr(GDir) dir = g_dir_open("/proc/self/fd", 0, nullptr);
    size_t n = 0;

    while (dir != nullptr && g_dir_read_name(dir) != nullptr)
        n++;
    return n;
}

Strain::Strain(GwLoop *loop, size_t room) : room_(room)
{
    GwTimer_Init(&timer_, loop, OnTick, this);
    due_ = GwTime_Now();
    unopened = 0;
    OnTick(this);
}

Strain::~Strain()
{
    GwTimer_Stop(&timer_);
}

void
Strain::OnTick(void *user)
{
    Strain *s = static_cast<Strain *>(user);
    GwTime now = GwTime_Now();

    s->lag_ = std::max(s->lag_, now - s->due_);
    if (now >= s->next_count_) {
        s->most_ = std::max(s->most_, Descriptors());
        s->next_count_ = now + kCount;
    }
    s->due_ = GwTime_Now() + kTick;
    GwTimer_Start(&s->timer_, kTick);
}

std::string
Strain::Text() const
{
    char text[128];

    snprintf(text, sizeof(text),
             "%zu of %zu descriptors, loop late by %ld ms, %d connections "
             "never opened",
             most_, room_, (long)(lag_ / GW_MILLISECOND), unopened);
    return text;
}
