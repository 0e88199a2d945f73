import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { test } from "node:test";
import { sendRequest, startProxy } from "./setup.js";

test("an extra response on an idle connection is not the response to the next request", async t => {
    let requests = 0;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            const body = `answer ${++requests}`;
            const sendId = /bm-send-id: \S+\r\n/.exec(chunk.toString("latin1"))?.[0] ?? "";
            const response = `HTTP/1.1 200 OK\r\n${sendId}Content-Length: ${body.length}\r\n\r\n${body}`;
            socket.write(response);
            setTimeout(() => socket.write(response), 20);
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const proxy = await startProxy({ ports: [(server.address() as AddressInfo).port] });
    t.after(async () => {
        server.close();
        await proxy.server.stop(0);
    });
    for (let i = 1; i <= 3; i++) {
        assert.equal((await sendRequest(proxy.port)).text, `answer ${i}`);
        await new Promise(resolve => setTimeout(resolve, 60));
    }
});
