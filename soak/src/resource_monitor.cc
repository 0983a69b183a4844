#include "resource_monitor.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>

/* Maximum number of descriptors of the soak. Each gateway keeps several
 * connections to each engine, and each of these needs three descriptors in the
 * soak: two in the proxy and one in the engine. */
static const rlim_t kMaxSoakDescriptors = 16384;
static const GwTime kLagCheckInterval = 20 * GW_MILLISECOND;
static const GwTime kDescriptorCountInterval = 250 * GW_MILLISECOND;

int ResourceMonitor::unopened_connections;

static size_t
CountOpenDescriptors()
{
    g_autoptr(GDir) dir = g_dir_open("/proc/self/fd", 0, nullptr);
    size_t n = 0;

    while (dir != nullptr && g_dir_read_name(dir) != nullptr)
        n++;
    return n;
}

int
ResourceMonitor::MaxDescriptors()
{
    rlimit limit = {};

    getrlimit(RLIMIT_NOFILE, &limit);
    return (int)std::min(limit.rlim_cur, kMaxSoakDescriptors);
}

ResourceMonitor::ResourceMonitor(GwLoop *loop, size_t descriptor_limit)
    : descriptor_limit_(descriptor_limit)
{
    GwTimer_Init(&timer_, loop, OnTick, this);
    next_tick_due_ = GwTime_Now();
    unopened_connections = 0;
    OnTick(this);
}

ResourceMonitor::~ResourceMonitor()
{
    GwTimer_Stop(&timer_);
}

void
ResourceMonitor::OnTick(void *user)
{
    ResourceMonitor *m = static_cast<ResourceMonitor *>(user);
    GwTime now = GwTime_Now();

    m->max_lag_ = std::max(m->max_lag_, now - m->next_tick_due_);
    if (now >= m->next_count_at_) {
        m->max_descriptors_ =
            std::max(m->max_descriptors_, CountOpenDescriptors());
        m->next_count_at_ = now + kDescriptorCountInterval;
    }
    m->next_tick_due_ = GwTime_Now() + kLagCheckInterval;
    GwTimer_Start(&m->timer_, kLagCheckInterval);
}

std::string
ResourceMonitor::Describe() const
{
    char text[128];

    snprintf(text, sizeof(text),
             "%zu of %zu descriptors, event loop late by up to %ld ms, %d "
             "connections could not be opened",
             max_descriptors_, descriptor_limit_,
             (long)(max_lag_ / GW_MILLISECOND), unopened_connections);
    return text;
}
