/**
 * @file memory_history.h
 * In-memory history store for tests of the ledger.
 */
#ifndef BANKBANK_TESTS_MEMORY_HISTORY_H
#define BANKBANK_TESTS_MEMORY_HISTORY_H

#include "base/buffer.h"
#include "core/history.h"

/** All stored texts; close the buffer after the ledger. */
static struct buffer texts;

static void texts_append(void *context, struct view text, struct history_ref *ref)
{
    (void)context;
    ref->segment = 1;
    ref->offset = texts.length;
    ref->length = (uint32_t)text.length;
    buffer_append(&texts, text.data, text.length);
}

static bool texts_read(void *context, const struct history_ref *ref, struct buffer *out)
{
    (void)context;
    buffer_append(out, texts.data + ref->offset, ref->length);
    return true;
}

static void texts_ignore(void *context, const struct history_ref *ref)
{
    (void)context;
    (void)ref;
}

static const struct history_io texts_history = {NULL, texts_append, texts_read, texts_ignore, texts_ignore, NULL};

#endif
