/**
 * @file answer.h
 * The text that emulated engines generate. It depends on every message of the
 * prompt, so that a lost, mixed or doubled turn changes the answer, and anyone
 * can compute what the answer to a conversation must be.
 */
#ifndef BANKBANK_EMULATOR_ANSWER_H
#define BANKBANK_EMULATOR_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/buffer.h"

enum { ANSWER_BYTES_PER_TOKEN = 4, ANSWER_MESSAGE_TOKENS = 4 };

/** Hash of the prompt up to and with `message`, given the hash before it. */
uint64_t answer_chain(uint64_t before, const json_t *message);

/** Tokens that a message costs. */
uint64_t answer_message_tokens(const json_t *message);

/** Number of tokens of the answer to a prompt; `exact`: max_tokens of them. */
uint64_t answer_length(uint64_t prompt_hash, uint64_t max_tokens, bool exact);

/** Appends token number `index` (from 0) of the answer. */
void answer_token(uint64_t prompt_hash, uint64_t index, struct buffer *out);

/** Appends the whole answer to a list of messages. */
void answer_whole(const json_t *messages, uint64_t max_tokens, bool exact, struct buffer *out);

/**
 * Checks that every assistant message is the answer to the messages before it,
 * each generated with `max_tokens`. Counts the answers looked at; returns 0, or
 * the number (from 1) of the first wrong message.
 */
size_t answer_verify(const json_t *messages, uint64_t max_tokens, uint64_t *answers);

#endif
