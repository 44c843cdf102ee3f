/**
 * @file frontend_memory.h
 * Memory limits for a gateway's requests and cached turns
 * (core/memory_budget.h). The exact sum is taken every FRONTEND_REVIEW_MS, before
 * the first refusal, and before a further one if a request has ended meanwhile. In
 * between, a new request is added with its body,
 * ended requests still count, and the growth of active ones by responses. Bodies being
 * received are limited separately, by http_limits.max_receiving_bytes.
 */
#ifndef BANKBANK_PROXY_FRONTEND_MEMORY_H
#define BANKBANK_PROXY_FRONTEND_MEMORY_H

#include "proxy/frontend.h"

/** Recomputes the sum, and shrinks the cache to its share. */
void frontend_memory_review(struct frontend *frontend);

/** Counts a new request; false: the memory is full, and the caller must refuse the request. */
bool frontend_memory_admit(struct frontend *frontend, struct forward *forward);

/** Adds bytes that a server sent for a request; false: the memory is full. */
bool frontend_memory_grow(struct frontend *frontend, size_t bytes);

void frontend_memory_write_metrics(const struct frontend *frontend, struct buffer *out);

#endif
