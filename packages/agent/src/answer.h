/* A job's chunks, kept until their entry has acknowledged them. */
#ifndef GALENAGW_AGENT_ANSWER_H
#define GALENAGW_AGENT_ANSWER_H

#include "job_private.h"

void Answer_AddHead(Job *job, int status, const char *type);
void Answer_AddChunk(Job *job, GBytes *data);
/* Drop what is acknowledged, below `next_seq`. */
void Answer_Acknowledge(Job *job, uint32_t next_seq);
/* Send what the window allows; the final frame after the last chunk. */
void Answer_Flush(Job *job);
/* Go on at `next_seq` on another session. */
void Answer_Attach(Job *job, GwSession *session, uint32_t attempt,
                   uint32_t next_seq);

#endif
