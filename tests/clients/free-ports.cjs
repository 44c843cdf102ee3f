// Prints the given number of free ports: binds all of them together, so that they differ, and releases them.
const net = require("node:net");

const count = Number(process.argv[2]);
const listen = () =>
  new Promise((resolve) => {
    const server = net.createServer().listen(0, "127.0.0.1", () => resolve(server));
  });
const close = (server) => new Promise((resolve) => server.close(resolve));

(async () => {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map(close));
  console.log(ports.join(" "));
})();
