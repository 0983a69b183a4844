#include "job_private.h"

const char *const JobState_Names[JOB_STATES] = {
    "claiming", "queued", "running", "following", "finished",
};
