/**
 * @file address.h
 * IPv4 endpoints in the form IP:PORT.
 */
#ifndef BANKBANK_NET_ADDRESS_H
#define BANKBANK_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** An endpoint. */
struct address {
    struct sockaddr_in socket; /**< Form the system calls take. */
    char ip[INET_ADDRSTRLEN];  /**< IP in text form. */
    uint16_t port;             /**< Port in host order. */
};

/** Reads "IP:PORT"; false if it is malformed. */
bool address_parse(const char *text, struct address *address);

#endif
