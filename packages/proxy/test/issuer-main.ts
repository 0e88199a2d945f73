/** Runs a call server as a separate process that tests can pause or kill. Usage: node issuer-main.js BACKEND-PORT */

import { startProxy } from "./setup.js";

const proxy = await startProxy({ ports: [Number(process.argv[2])], incarnation: "inc-child" });
console.log(JSON.stringify({ port: proxy.port, ticket: proxy.issueTicket() }));
