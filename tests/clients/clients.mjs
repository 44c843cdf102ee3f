// Tests a daemon with public client libraries: Connect for operators, OpenAI for callers.
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createFileRegistry, fromBinary } from "@bufbuild/protobuf";
import { FileDescriptorSetSchema } from "@bufbuild/protobuf/wkt";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import OpenAI from "openai";

const { CALLERS, OPERATORS, ENGINES } = process.env;

function operatorClient() {
  const bytes = readFileSync(new URL("operator.binpb", import.meta.url));
  const registry = createFileRegistry(fromBinary(FileDescriptorSetSchema, bytes));
  const service = registry.getService("bankbank.v1.OperatorService");
  const transport = createConnectTransport({ baseUrl: OPERATORS, httpVersion: "1.1", useBinaryFormat: true });
  return createClient(service, transport);
}

async function testOperators() {
  const operators = operatorClient();
  const engines = [0, 1].map((number) => ({ name: `e-${number}`, baseUrl: `${ENGINES}/engines/${number}` }));
  const created = await operators.createPool({
    requestId: "pool-1",
    pool: { name: "agents", model: "agent-model", engines },
  });
  const again = await operators.createPool({
    requestId: "pool-1",
    pool: { name: "agents", model: "agent-model", engines },
  });
  assert.equal(again.revision, created.revision, "a retried change returns the first response");
  await operators.createPolicy({ requestId: "policy-1", policy: { name: "default", pool: "agents" } });
  const listed = await operators.listPools({});
  assert.deepEqual(listed.pools.map((pool) => pool.name), ["agents"]);
  assert.equal(listed.pools[0].engines.length, 2);
  const stale = await operators
    .createTenant({ requestId: "t-1", expectedRevision: created.revision, tenant: { name: "bank", apiKey: "bank-key" } })
    .then(() => null, (error) => ConnectError.from(error));
  assert.equal(stale?.code, Code.Aborted, "a change with an outdated expected revision is aborted");
  const missing = await operators.getService({ name: "none" }).then(() => null, (error) => ConnectError.from(error));
  assert.equal(missing?.code, Code.NotFound);
  const status = await operators.getStatus({});
  const waited = await operators.waitRevision({ revision: status.revision, timeoutMs: 5000 });
  assert.equal(waited.inForce, true);
}

async function createProgram() {
  const reply = await fetch(`${CALLERS}/v1/programs`, { method: "POST", body: JSON.stringify({ policy: "default" }) });
  assert.equal(reply.status, 201);
  return (await reply.json()).id;
}

async function testCallers() {
  const openai = new OpenAI({ baseURL: `${CALLERS}/v1`, apiKey: "any" });
  const models = await openai.models.list();
  assert.ok(models.data.some((model) => model.id === "agent-model"));

  const single = await openai.chat.completions.create({
    model: "agent-model",
    messages: [{ role: "user", content: "hello" }],
  });
  assert.ok(single.choices[0].message.content.length > 0);

  const id = await createProgram();
  const ask = (number, content, stream) =>
    openai.chat.completions.create(
      { model: "agent-model", messages: [{ role: "user", content }], stream },
      { headers: { "X-Program-Id": id, "X-Program-Call": String(number) } },
    );
  const first = await ask(1, "What may I borrow?", false);
  let text = "";
  let reason = null;
  for await (const chunk of await ask(2, "Over twelve years?", true)) {
    text += chunk.choices[0]?.delta?.content ?? "";
    reason = chunk.choices[0]?.finish_reason ?? reason;
  }
  assert.ok(reason === "stop" || reason === "length");
  const history = await (await fetch(`${CALLERS}/v1/programs/${id}/history`)).json();
  assert.deepEqual(
    history.messages.map((message) => message.role),
    ["user", "assistant", "user", "assistant"],
  );
  assert.equal(history.messages[1].content, first.choices[0].message.content);
  assert.equal(history.messages[3].content, text);

  const replay = await ask(1, "What may I borrow?", false);
  assert.deepEqual(replay, first, "a retried call returns the first response");
  const conflict = await ask(1, "Something else?", false).then(() => null, (error) => error);
  assert.ok(conflict instanceof OpenAI.APIError);
  assert.equal(conflict.status, 409);
}

// First, as it creates the pool and the policy that testCallers() uses.
await testOperators();
await testCallers();
console.log("100%: public clients passed");
