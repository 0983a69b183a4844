/* A job's answer, stored in chunks until the entry has acknowledged them. */
#ifndef GALENAGW_AGENT_ANSWER_H
#define GALENAGW_AGENT_ANSWER_H

#include "job_private.h"

void Answer_AddHead(Job *job, int status, const char *type);
void Answer_AddChunk(Job *job, GBytes *data);
/* Free the chunks below `next_seq`, which the entry has received. */
void Answer_Acknowledge(Job *job, uint32_t next_seq);
/* Send the chunks that the window allows, and the Final frame after the last
 * one. */
void Answer_Flush(Job *job);
/* Continue on another session, from `next_seq` on. */
void Answer_Attach(Job *job, GwSession *session, uint32_t attempt,
                   uint32_t next_seq);

#endif
