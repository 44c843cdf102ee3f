/**
 * @file line.h
 * A caller's connection to a gateway, which may carry many requests: it is kept
 * until the gateway says that it closes it or its process is gone.
 */
#ifndef BANKBANK_TESTS_LINE_H
#define BANKBANK_TESTS_LINE_H

#include <stdbool.h>

#include "../integration/site.h"

/** A connection; all zero: closed. */
typedef struct line_t {
    bool open;
    int file;
} line_t;

/** Opens it, unless it is open still; false: nobody takes it. */
bool line_open(line_t *line, int gateway);

/** Sends a request and reads its answer, then closes it unless both sides keep it. */
void line_exchange(line_t *line, struct view request, bool kept, struct site_answer *answer);

/** Closes it. */
void line_close(line_t *line);

#endif
