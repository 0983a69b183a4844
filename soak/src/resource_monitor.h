/* Measures how close the soak itself came to its limits, because an overloaded
 * soak can cause failures that look like those of the programs. */
#ifndef GALENAGW_SOAK_RESOURCE_MONITOR_H
#define GALENAGW_SOAK_RESOURCE_MONITOR_H

#include <string>

#include "galenagw/net/loop.h"

class ResourceMonitor {
  public:
    /* The limit of open files of this process, bounded for the soak. */
    static int MaxDescriptors();
    /* @p descriptor_limit: maximum number of descriptors of @p loop. */
    ResourceMonitor(GwLoop *loop, size_t descriptor_limit);
    ~ResourceMonitor();
    /* Whether the soak used all descriptors, except kDescriptorMargin. */
    bool
    IsOutOfDescriptors() const
    {
        return max_descriptors_ + kDescriptorMargin >= descriptor_limit_;
    }
    /* The measurements, for the report. */
    std::string Describe() const;

    /* Connections of the soak that could not be opened. */
    static int unopened_connections;

  private:
    static constexpr size_t kDescriptorMargin = 8;

    /* Measure the delay of the event loop, and count the descriptors. */
    static void OnTick(void *user);

    GwTimer timer_;
    GwTime next_tick_due_ = 0, next_count_at_ = 0, max_lag_ = 0;
    size_t descriptor_limit_, max_descriptors_ = 0; /* most open at a time */
};

#endif
