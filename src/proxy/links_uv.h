/**
 * @file links_uv.h
 * Runs the links between daemons (net/links.h) on a libuv loop.
 */
#ifndef BANKBANK_PROXY_LINKS_UV_H
#define BANKBANK_PROXY_LINKS_UV_H

#include <uv.h>

#include "net/links.h"

struct links_event_loop links_uv_event_loop(uv_loop_t *loop);

#endif
