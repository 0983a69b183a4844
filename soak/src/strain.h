/* How near the soak itself came to its limits: what callers miss then may be
 * its own doing. */
#ifndef GALENAGW_SOAK_STRAIN_H
#define GALENAGW_SOAK_STRAIN_H

#include <string>

#include "galenagw/net/loop.h"

class Strain {
  public:
    /* @p room: descriptors that @p loop has place for. */
    Strain(GwLoop *loop, size_t room);
    ~Strain();
    /* Whether it ran out of descriptors. */
    bool
    IsFull() const
    {
        return most_ + kMargin >= room_;
    }
    std::string Text() const;

    /* Of all connections that the soak began: those that never opened. */
    static int unopened;

  private:
    static constexpr size_t kMargin = 8;

    static void OnTick(void *user);

    GwTimer timer_;
    GwTime due_ = 0, next_count_ = 0, lag_ = 0;
    size_t room_, most_ = 0;
};

#endif
