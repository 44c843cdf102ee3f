/**
 * @file peer_loop.h
 * Lets a libuv loop drive the links between daemons.
 */
#ifndef BANKBANK_PROXY_PEER_LOOP_H
#define BANKBANK_PROXY_PEER_LOOP_H

#include <uv.h>

#include "net/links.h"

/** A watcher of links on `loop`. */
struct links_watcher peer_loop_watcher(uv_loop_t *loop);

#endif
