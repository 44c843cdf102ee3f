/**
 * @file front_memory.h
 * What a gateway's requests and cached turns hold, against their shares of
 * the memory (core/memory_budget.h). A request counts with its body from its
 * begin on; what it comes to hold besides is added up each FRONT_REVIEW_MS, and
 * before a request is refused: until then those that have ended are in the sum.
 * Bodies that still arrive are bounded where they are read
 * (http_limits.max_arriving_bytes).
 */
#ifndef BANKBANK_PROXY_FRONT_MEMORY_H
#define BANKBANK_PROXY_FRONT_MEMORY_H

#include "proxy/front.h"

/** Adds up what requests hold, and drops what the cache holds above its share. */
void front_memory_review(struct front *front);

/** Counts a request that begins; false: there is no memory for it, and it is to be refused. */
bool front_memory_admit(struct front *front, const struct forward *forward);

/** Writes its metrics. */
void front_memory_write_metrics(const struct front *front, struct buffer *out);

#endif
