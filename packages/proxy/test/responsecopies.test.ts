import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { sendOrder, sendRequest, setUp, startProxy, type TestProxy, type TestResponse } from "./setup.js";

/** A request as a server received it. */
interface ReceivedRequest {
    readonly socket: Socket;
    readonly head: string;
    /** Number of the request, from 1. */
    readonly number: number;
    /** Header lines with which the server repeats the send's id. */
    readonly echo: string;
}

interface RawServer {
    readonly requests: ReceivedRequest[];
    readonly connections: () => number;
    readonly proxy: TestProxy;
}

/** Starts a proxy in front of a server, or of a peer that dispatches the service, whose responses the handler writes. */
const startServer = async (
    t: TestContext,
    handler: (request: ReceivedRequest) => void,
    role: "server" | "peer" = "server",
): Promise<RawServer> => {
    const requests: ReceivedRequest[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            for (let end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
                const head = text.slice(0, end + 2);
                const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
                if (text.length < end + 4 + length) {
                    return;
                }
                text = text.slice(end + 4 + length);
                const id = /\r\n(bm-send-id: \S+\r\n)/i.exec(head)?.[1];
                const request = { socket, head, number: requests.length + 1, echo: id ?? "" };
                requests.push(request);
                handler(request);
            }
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const proxy = await startProxy(
        role === "server" ? { ports: [port] } : { ports: [], passTo: () => [`127.0.0.1:${port}`] },
    );
    t.after(async () => {
        server.close();
        sockets.forEach(it => it.destroy());
        await proxy.server.stop(0);
    });
    return { requests, connections: () => sockets.size, proxy };
};

const responseText = (echo: string, status: string, body: string, extra = ""): string =>
    `HTTP/1.1 ${status}\r\n${echo}${extra}Content-Length: ${body.length}\r\n\r\n${body}`;

const chunkedText = (echo: string, body: string): string =>
    `HTTP/1.1 200 OK\r\n${echo}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

/** Sends a lookup that isn't retried. */
const sendLookup = (
    proxy: TestProxy,
    headers: Readonly<Record<string, string>> = {},
): Promise<TestResponse> => sendRequest(proxy.port, { headers: { "bm-retry-budget": "0", ...headers } });

/** Waits until the proxy has put the connection of a complete response back. */
const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 20));

/** Whether a response says that the request may have run, and names no server's response. */
const isLost = ({ headers }: TestResponse): boolean =>
    headers["bm-error"] === "server-lost" && headers["bm-ran"] === "outcome unknown";

const copies: readonly (readonly [string, (echo: string) => string])[] = [
    ["success", echo => responseText(echo, "200 OK", "answer 1")],
    ["success in chunks", echo => chunkedText(echo, "answer 1")],
    ["failure", echo => responseText(echo, "500 Failed", "answer 1")],
];

for (const [kind, format] of copies) {
    for (const pieces of [1, 2]) {
        test(`a copy of an earlier ${kind}, in ${pieces} pieces, isn't the response to the next lookup`, async t => {
            const { proxy, requests } = await startServer(t, ({ socket, number, echo }) => {
                if (number === 1) {
                    socket.write(format(echo));
                    return;
                }
                const copy = format(requests[0]?.echo ?? "");
                const cut = pieces === 1 ? copy.length : 30;
                socket.write(copy.slice(0, cut));
                setTimeout(() => {
                    socket.write(copy.slice(cut) + responseText(echo, "200 OK", `answer ${number}`));
                }, 20);
            });
            assert.equal((await sendLookup(proxy)).text, "answer 1");
            await settle();
            const response = await sendLookup(proxy);
            assert.ok(isLost(response), `${response.status} ${response.text}`);
        });
    }
}

test("a copy of an earlier refusal doesn't promise that the next order hasn't run", async t => {
    const refusal = (echo: string): string => responseText(echo, "503 Full", "", "bm-refused: shed\r\n");
    const { proxy, requests } = await startServer(t, ({ socket, number, echo }) => {
        if (number === 1) {
            socket.write(refusal(echo));
        } else {
            socket.write(refusal(requests[0]?.echo ?? ""));
            setTimeout(() => socket.write(responseText(echo, "200 OK", "ran")), 20);
        }
    });
    const ticket = proxy.issueTicket();
    const first = await sendOrder(proxy, "o", { ticket, headers: { "bm-retry-budget": "0" } });
    assert.equal(first.headers["bm-ran"], "not run");
    await settle();
    const second = await sendOrder(proxy, "o", {
        ticket,
        headers: { "bm-attempt": "2", "bm-retry-budget": "0" },
    });
    assert.equal(requests.length, 2);
    assert.ok(isLost(second), `${second.status} ${second.text}`);
});

test("a copy that arrives on an idle connection isn't the response to the next call", async t => {
    const { proxy } = await startServer(t, ({ socket, number, echo }) => {
        const response = responseText(echo, "200 OK", `answer ${number}`);
        socket.write(response);
        setTimeout(() => socket.write(response), 10);
    });
    for (let i = 1; i <= 3; i++) {
        const { text } = await sendLookup(proxy);
        assert.ok(text === `answer ${i}` || text.includes("server-lost"), text);
        await settle();
    }
});

test("the connection of a server that doesn't repeat the send's id carries one request", async t => {
    const { proxy, connections } = await startServer(t, ({ socket, number }) => {
        socket.write(responseText("", "200 OK", `answer ${number}`));
    });
    for (let i = 1; i <= 3; i++) {
        assert.equal((await sendLookup(proxy)).text, `answer ${i}`);
        await settle();
    }
    assert.equal(connections(), 3);
});

test("a response without the send's id on a connection that has carried another isn't the send's", async t => {
    const { proxy } = await startServer(t, ({ socket, number, echo }) => {
        socket.write(responseText(number === 1 ? echo : "", "200 OK", `answer ${number}`));
    });
    assert.equal((await sendLookup(proxy)).text, "answer 1");
    await settle();
    assert.ok(isLost(await sendLookup(proxy)));
});

test("the send's id is the entry VM's own, and stays between it and the server", async t => {
    const { proxy, requests, connections } = await startServer(t, ({ socket, number, echo }) => {
        socket.write(responseText(echo, "200 OK", `answer ${number}`));
    });
    const responses: TestResponse[] = [];
    for (let i = 1; i <= 2; i++) {
        responses.push(await sendLookup(proxy, { "bm-send-id": "caller" }));
        await settle();
    }
    const echoes = requests.map(it => it.echo);
    assert.equal(new Set(echoes).size, 2);
    assert.ok(echoes.every(it => it !== "" && !it.includes("caller")));
    assert.deepEqual(
        responses.map(it => it.headers["bm-send-id"]),
        [undefined, undefined],
    );
    assert.equal(connections(), 1);
});

test("a call that is forwarded to a peer of any version carries no send's id, and its connection is kept", async t => {
    const { proxy, requests, connections } = await startServer(
        t,
        ({ socket, number }) => socket.write(responseText("", "200 OK", `answer ${number}`)),
        "peer",
    );
    for (let i = 1; i <= 2; i++) {
        const { text } = await sendLookup(proxy, { "bm-send-id": "caller" });
        assert.equal(text, `answer ${i}`);
        await settle();
    }
    assert.deepEqual(
        requests.map(it => it.echo),
        ["", ""],
    );
    assert.equal(connections(), 1);
});

test("calls to a server that repeats the send's id share a connection, refused ones too", async t => {
    const { proxy, backends } = await setUp(t);
    for (let i = 0; i < 3; i++) {
        await sendLookup(proxy);
        await settle();
    }
    Object.assign(backends[0]!.behavior, { shedAt: 0 });
    await sendLookup(proxy);
    await settle();
    await sendLookup(proxy);
    assert.equal(backends[0]?.counts.refused, 2);
    assert.equal(backends[0]?.counts.connections, 1);
});

/** Returns a reproducible sequence of numbers of at least 0 and below 1. */
const createRandom = (seed: number): (() => number) => {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
};

test("behind a server that repeats its responses, no call gets another's and no order that ran gets a promise", async t => {
    const random = createRandom(1);
    const runs = new Map<string, number>();
    const { proxy } = await startServer(t, ({ socket, head, echo }) => {
        const id = /\r\nbm-request-id: (\S+)/.exec(head)?.[1] ?? "";
        const isRefused = random() < 0.2;
        if (!isRefused) {
            runs.set(id, (runs.get(id) ?? 0) + 1);
        }
        const text = isRefused
            ? responseText(echo, "503 Full", "", "bm-refused: shed\r\n")
            : responseText(echo, "200 OK", `ran ${id}`);
        setTimeout(() => {
            socket.write(text);
            if (random() < 0.3) {
                setTimeout(() => socket.writable && socket.write(text), random() * 15);
            }
        }, random() * 8);
    });
    const ticket = proxy.issueTicket();
    let answered = 0;
    const sendAll = async (caller: number): Promise<void> => {
        for (let i = 0; i < 40; i++) {
            const id = `${caller}-${i}`;
            const headers = { "bm-request-id": id };
            const {
                status,
                text,
                headers: received,
            } = i % 2 === 0
                ? await sendLookup(proxy, headers)
                : await sendOrder(proxy, id, { ticket, headers: { ...headers, "bm-retry-budget": "0" } });
            if (status === 200) {
                answered++;
                assert.equal(text, `ran ${id}`);
            }
            assert.ok(received["bm-ran"] !== "not run" || !runs.has(id), `${id} ran: ${text}`);
            assert.ok((runs.get(id) ?? 0) <= 1, `${id} ran ${runs.get(id)} times`);
        }
    };
    await Promise.all([1, 2, 3, 4].map(sendAll));
    assert.ok(answered > 60, `${answered} answered`);
});
