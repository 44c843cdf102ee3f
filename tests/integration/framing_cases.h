/**
 * @file framing_cases.h
 * Requests with ambiguous framing. Every listener must answer 400, close the
 * connection and not serve the bytes that follow.
 */
#ifndef BANKBANK_TESTS_FRAMING_CASES_H
#define BANKBANK_TESTS_FRAMING_CASES_H

struct framing_case {
    const char *name;
    const char *lines; /**< Header lines, each with CRLF. */
    const char *body;
};

static const struct framing_case framing_cases[] = {
    {"two lengths", "Host: x\r\nContent-Length: 2\r\nContent-Length: 4\r\n", "{}{}"},
    {"two equal lengths", "Host: x\r\nContent-Length: 2\r\nContent-Length: 2\r\n", "{}"},
    {"length and chunks", "Host: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"length with a sign", "Host: x\r\nContent-Length: +2\r\n", "{}"},
    {"negative length", "Host: x\r\nContent-Length: -2\r\n", "{}"},
    {"length with a letter", "Host: x\r\nContent-Length: 2a\r\n", "{}"},
    {"list of lengths", "Host: x\r\nContent-Length: 2, 2\r\n", "{}"},
    {"empty length", "Host: x\r\nContent-Length:\r\n", ""},
    {"space before the colon", "Host: x\r\nContent-Length : 2\r\n", "{}"},
    {"folded header line", "Host: x\r\nX-One: a\r\n b\r\nContent-Length: 2\r\n", "{}"},
    {"header line without a colon", "Host: x\r\nContent-Length\r\n", ""},
    {"unknown transfer encoding", "Host: x\r\nTransfer-Encoding: gzip\r\n", "0\r\n\r\n"},
    {"chunked twice", "Host: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
    {"no host", "Content-Length: 2\r\n", "{}"},
    {"two hosts", "Host: x\r\nHost: y\r\nContent-Length: 2\r\n", "{}"},
};

enum { FRAMING_CASES = (int)(sizeof(framing_cases) / sizeof(framing_cases[0])) };

#endif
