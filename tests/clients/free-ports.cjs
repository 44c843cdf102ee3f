// Prints as many free ports as asked: bound all at once, and given back before they are printed.
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
